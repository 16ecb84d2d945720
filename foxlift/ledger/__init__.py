"""Use by tenant: what is charged, when a period closes, what a correction does. No I/O, no clock."""

from foxlift.ledger.account import Account, Line, Owed, Use, owed
from foxlift.ledger.book import (
    Book,
    Close,
    Correct,
    Ended,
    ForgetDue,
    LedgerError,
    Ran,
    Rerung,
    Started,
    TimeCame,
    TurnedAway,
    Void,
)
from foxlift.ledger.journal import Journal, read_account, read_records, verify
from foxlift.ledger.records import Linked, Record, decode, encode, find_break
from foxlift.ledger.tariff import Tariff, load_tariff, period_of, read_tariff

__all__ = [
    "Account",
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
    "Ran",
    "Record",
    "Rerung",
    "Started",
    "Tariff",
    "TimeCame",
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
