"""Use by tenant: what is charged, when a period closes, what a correction does. No I/O, no clock."""

from foxlift.ledger.account import Account, Line, Owed, Use, owed
from foxlift.ledger.book import (
    AttemptRecovered,
    Book,
    Close,
    Correct,
    Ended,
    ForgetDue,
    LedgerError,
    RungChanged,
    Started,
    TimePassed,
    TurnedAway,
    Void,
)
from foxlift.ledger.journal import Journal, read_account, read_records, verify
from foxlift.ledger.records import Linked, Record, decode, encode, find_break
from foxlift.ledger.tariff import Tariff, load_tariff, period_of, read_tariff

__all__ = [
    "Account",
    "AttemptRecovered",
    "Book",
    "Close",
    "Correct",
    "Ended",
    "ForgetDue",
    "Journal",
    "LedgerError",
    "Line",
    "Linked",
    "Owed",
    "Record",
    "RungChanged",
    "Started",
    "Tariff",
    "TimePassed",
    "TurnedAway",
    "Use",
    "Void",
    "decode",
    "encode",
    "find_break",
    "load_tariff",
    "owed",
    "period_of",
    "read_account",
    "read_records",
    "read_tariff",
    "verify",
]
