"""The ledger: what is charged, periods, corrections, the chain, and crashes, against a plain model."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from memory import MemoryFiles

from foxlift.config import ConfigError
from foxlift.ledger import (
    AttemptRecovered,
    Book,
    Close,
    Correct,
    Ended,
    ForgetDue,
    Journal,
    LedgerError,
    RungChanged,
    Started,
    TimePassed,
    TurnedAway,
    Void,
    encode,
    find_break,
    owed,
    read_account,
    read_records,
    read_tariff,
    verify,
)
from foxlift.ledger.export import Standing
from foxlift.ledger.journal import SNAPSHOT
from foxlift.ledger.records import EMPTY_CHAIN, Acknowledged, Batched, Fenced, Opened, link
from foxlift.ledger.tariff import period_start
from foxlift.store import LogError

TARIFF = read_tariff(
    """(tariff (currency "EUR") (versions
  (from (date "2026-01-01") (prices (price (class "graded") (attempt-micros 1500000))
    (price (class "briefing") (hour-micros 3600000 7200000))))
  (from (date "2026-02-10") (prices (price (class "graded") (attempt-micros 2000000))
    (price (class "briefing") (hour-micros 7200000 14400000))))))""",
    "tariff.sexp",
)
JAN, FEB, MAR, APR = (period_start(f"2026-0{k}") for k in (1, 2, 3, 4))
HOUR = 3_600_000


def start(when: int, session: str = "s1", klass: str = "briefing", **more: Any) -> Started:
    values = {"token": f"t-{session}", "rung": 0, "paid": klass == "graded", "tenant": "north", **more}
    return Started(when, session, klass=klass, **values)


def book(*script: tuple[int, Any]) -> Book:
    made = Book(TARIFF, grace_ms=HOUR)
    for now, event in script:
        made.handle(now, event)
    return made


def micros(made: Book, period: str, tenant: str = "north") -> list[tuple[str, int, int]]:
    return [(line.what, line.amount, line.micros) for line in owed(made.account, TARIFF, tenant, period)]


def test_an_attempt_is_charged_once_for_its_token_whatever_the_session() -> None:
    made = book(
        (JAN, start(JAN, "s1", "graded", token="t")),
        (JAN + 5, Ended(JAN + 5, "s1")),
        (JAN + 6, start(JAN + 6, "s2", "graded", token="t")),
        (JAN + 7, AttemptRecovered(JAN + 7, "s3", "t", "north", "graded", True)),
        (JAN + 8, AttemptRecovered(JAN + 8, "s4", "u", "north", "graded", True)),
    )
    (attempts,) = [line for line in owed(made.account, TARIFF, "north", "2026-01") if line.unit == "attempts"]
    assert (attempts.amount, attempts.micros, attempts.estimated) == (2, 3_000_000, 1)


def test_play_is_charged_by_rung_to_the_millisecond() -> None:
    made = book(
        (JAN, start(JAN)),
        (JAN + 1000, RungChanged(JAN + 1000, "s1", 1)),
        (JAN + 1000, RungChanged(JAN + 1000, "s1", 1)),
        (JAN + 4000, Ended(JAN + 4000, "s1")),
        (JAN + 9000, Ended(JAN + 9000, "s1")),
    )
    assert micros(made, "2026-01") == [("play at rung 0", 1000, 1000), ("play at rung 1", 3000, 6000)]


def test_a_rung_change_in_the_millisecond_of_the_end_costs_nothing_and_loses_nothing() -> None:
    made = book(
        (JAN, start(JAN)), (JAN + 500, RungChanged(JAN + 500, "s1", 1)), (JAN + 500, Ended(JAN + 500, "s1"))
    )
    assert micros(made, "2026-01") == [("play at rung 0", 500, 500)]


def test_a_session_across_a_periods_end_and_a_tariff_change_is_cut_there() -> None:
    change = FEB + 9 * 24 * HOUR
    made = book((FEB - 1000, start(FEB - 1000)), (change + 2000, Ended(change + 2000, "s1")))
    assert micros(made, "2026-01") == [("play at rung 0", 1000, 1000)]
    assert micros(made, "2026-02") == [
        ("play at rung 0", change - FEB, (change - FEB)),
        ("play at rung 0", 2000, 4000),
    ]


def test_what_plays_across_a_periods_end_is_booked_up_to_it_before_it_closes() -> None:
    made = book((FEB - 2000, start(FEB - 2000)), (FEB + 2 * HOUR, TimePassed()))
    assert micros(made, "2026-01") == [("play at rung 0", 2000, 2000)]
    made.handle(FEB + 3 * HOUR, Ended(FEB + 3 * HOUR, "s1"))
    assert micros(made, "2026-01") == [("play at rung 0", 2000, 2000)]
    assert micros(made, "2026-02") == [("play at rung 0", 3 * HOUR, 3 * HOUR)]


def test_a_clock_that_steps_back_books_nothing_twice() -> None:
    made = book(
        (JAN + 5000, start(JAN + 5000)),
        (JAN + 4000, RungChanged(JAN + 4000, "s1", 1)),
        (JAN + 1000, TimePassed()),
        (JAN + 8000, Ended(JAN + 8000, "s1")),
    )
    assert sum(use.ms for use in made.account.lines.values()) == 3000
    assert made.account.last_at == JAN + 8000


def test_a_period_closes_after_its_grace_and_takes_late_records_until_then() -> None:
    made = book((JAN, start(JAN)), (FEB + 10, TimePassed()))
    assert made.account.state("2026-01") == "closing"
    made.handle(FEB + HOUR - 1, Ended(FEB - 1, "s1"))
    assert micros(made, "2026-01") == [("play at rung 0", FEB - 1 - JAN, FEB - 1 - JAN)]
    made.handle(FEB + HOUR, TimePassed())
    assert made.account.state("2026-01") == "closed"


def test_use_of_a_closed_period_is_booked_late_and_changes_nothing_in_it() -> None:
    made = book((JAN, start(JAN, "s0")), (JAN + 9, Ended(JAN + 9, "s0")), (FEB + 2 * HOUR, TimePassed()))
    before = micros(made, "2026-01")
    made.handle(FEB + 3 * HOUR, start(FEB - 2000))  # told of only now
    made.handle(FEB + 3 * HOUR, Ended(FEB + 1000, "s1"))
    assert micros(made, "2026-01") == before == [("play at rung 0", 9, 9)]
    assert micros(made, "2026-02") == [
        ("play at rung 0", 1000, 1000),
        ("play at rung 0, used in 2026-01", 2000, 2000),
    ]


def correct(entry: str, period: str = "", corrects: str = "", amount: int = -5) -> Correct:
    return Correct(entry, "north", "graded", -1, 0, amount, "ann", "billed twice", period, corrects)


def test_a_correction_to_a_closed_period_stands_in_the_open_one_and_leaves_a_trail() -> None:
    made = book((JAN, start(JAN, klass="graded")), (FEB + 2 * HOUR, TimePassed()))
    january = micros(made, "2026-01")
    made.handle(FEB + 3 * HOUR, correct("c1", "2026-01"))
    made.handle(FEB + 3 * HOUR, correct("c2", corrects="c1", amount=3))
    made.handle(FEB + 3 * HOUR, Void("c3", "c2", "bob", "c1 was right"))
    assert micros(made, "2026-01") == january
    assert micros(made, "2026-02") == [
        ("correction of 2026-01: billed twice (ann)", -1, -5),
        ("correction of c1: billed twice (ann)", -1, 3),
        ("void of c2: c1 was right (bob)", 1, -3),
    ]


@pytest.mark.parametrize(
    ("event", "words"),
    [
        (correct("c1", "2026-01"), "an entry of this name"),
        (correct("c9", corrects="c8"), "no such entry"),
        (correct("c9", corrects="c2"), "is void"),
        (correct("c9", "January"), "a period is a month"),
        (Correct("c9", "n", "g", 0, 0, 1, " ", "x", "2026-01"), "by whom and why"),
        (Void("c9", "c2", "ann", "x"), "void already"),
        (Void("c9", "c3", "ann", "x"), "itself a void"),
        (Void("c1", "c1", "ann", "x"), "an entry of this name"),
        (Close("2026-01"), "closed already"),
        (Close("2026-02"), "is not over"),
        (Close("2026-05"), "has not begun"),
        (Close("x"), "a period is a month"),
    ],
)
def test_what_the_operator_may_not_do_is_refused_and_writes_nothing(event: Any, words: str) -> None:
    made = book(
        (JAN, start(JAN)),
        (FEB + 2 * HOUR, TimePassed()),
        (FEB + 2 * HOUR, correct("c1", "2026-01")),
        (FEB + 2 * HOUR, correct("c2", corrects="c1")),
        (FEB + 2 * HOUR, Void("c3", "c2", "ann", "x")),
    )
    chain = made.chain
    with pytest.raises(LedgerError, match=words):
        made.handle(FEB + 3 * HOUR, event)
    assert made.chain == chain


def test_refusals_and_failures_are_counted_at_no_charge() -> None:
    made = book(
        (JAN, TurnedAway("north", "graded", "refused")), (JAN, TurnedAway("north", "graded", "refused"))
    )
    assert micros(made, "2026-01") == [("refused", 2, 0)]


def test_a_changed_a_missing_and_an_added_record_are_located() -> None:
    made = Book(TARIFF)
    linked = [record for k in range(6) for record in made.handle(JAN + k, start(JAN + k, f"s{k}"))]
    assert find_break(linked) is None
    for k in range(len(linked)):
        other = link(EMPTY_CHAIN, linked[k - 1].record)
        changed = [*linked[:k], type(linked[k])(linked[k].chain, other.record), *linked[k + 1 :]]
        assert find_break(changed) == k + 1
        missing = linked[:k] + linked[k + 1 :]
        assert find_break(missing) == (None if k + 1 == len(linked) else k + 1)
        added = [*linked[:k], linked[0], *linked[k:]]
        assert find_break(added) == (2 if k in (0, 1) else k + 1)


def test_a_log_edited_with_its_checksums_mended_is_found(tmp_path: Any) -> None:
    files = MemoryFiles()
    journal = Journal(files, TARIFF)
    for k in range(5):
        journal.handle(JAN + k, start(JAN + k, f"s{k}", "graded"))
    assert verify(files) == len(list(read_records(files)))
    from foxlift.store import SegmentedLog

    edited = MemoryFiles()
    log = SegmentedLog(edited, "ledger")
    for number, linked in read_records(files):
        payload = encode(linked)
        log.append(payload.replace(b"t-s2", b"t-s1") if number == 4 else payload)
    with pytest.raises(LogError, match="record 4 does not follow"):
        verify(edited)
    with pytest.raises(LogError, match="record 4 does not follow"):
        Journal(edited, TARIFF)


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("2026-02-10", "2025-02-10", "does not follow"),
        ("2026-02-10", "2026-02-30", "day"),
        ('"EUR"', '"euro"', "currency"),
        ("1500000", "1.5", "attempt-micros"),
        ('(class "briefing") (hour-micros 3600000', '(class "graded") (hour-micros 3600000', "two prices"),
    ],
)
def test_a_tariff_that_cannot_be_used_is_refused(old: str, new: str, words: str) -> None:
    text = """(tariff (currency "EUR") (versions
      (from (date "2026-01-01") (prices (price (class "graded") (attempt-micros 1500000))
        (price (class "briefing") (hour-micros 3600000 7200000))))
      (from (date "2026-02-10") (prices (price (class "graded") (attempt-micros 2000000))))))"""
    assert old in text
    with pytest.raises(ConfigError, match=words):
        read_tariff(text.replace(old, new, 1), "t")


class LedgerMachine(RuleBasedStateMachine):
    """Sessions, clocks, periods, corrections, a director that dies at any point, against a plain count."""

    @initialize()
    def begin(self) -> None:
        self.files = MemoryFiles()
        self.journal = Journal(self.files, TARIFF, HOUR, segment_bytes=600, snapshot_every=5)
        self.now = FEB - 5000
        self.sessions = 0
        self.playing: dict[str, int] = {}
        self.tokens: set[str] = set()
        self.certain = 0
        self.estimated: list[str] = []
        self.entries: list[str] = []
        self.closed: dict[str, Any] = {}

    def booked(self) -> int:
        """Of sessions that play: what a period that closed has booked up to its end."""
        found = self.journal.book.account.open
        return sum(max(found[name].since - since, 0) for name, since in self.playing.items())

    def done(self) -> None:
        account = self.journal.book.account
        for period, state in account.states.items():
            if state == "closed" and period not in self.closed:
                self.closed[period] = owed(account, TARIFF, "north", period)

    @rule(klass=st.sampled_from(["graded", "briefing"]), token=st.integers(0, 5))
    def play(self, klass: str, token: int) -> None:
        self.sessions += 1
        name = f"s{self.sessions}"
        self.journal.handle(self.now, start(self.now, name, klass, token=f"t{token}"))
        self.playing[name] = self.now
        if klass == "graded":
            self.tokens.add(f"t{token}")

    @precondition(lambda self: self.playing)
    @rule(data=st.data(), rung=st.integers(0, 2))
    def turn(self, data: st.DataObject, rung: int) -> None:
        name = data.draw(st.sampled_from(sorted(self.playing)))
        account = self.journal.book.account
        if account.open[name].rung != rung:
            self.certain += max(self.now - self.playing[name], 0)
            self.playing[name] = max(self.now, self.playing[name])
        self.journal.handle(self.now, RungChanged(self.now, name, rung))

    @precondition(lambda self: self.playing)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.playing)))
        self.certain += max(self.now - self.playing.pop(name), 0)
        self.journal.handle(self.now, Ended(self.now, name))

    @rule(step=st.sampled_from([1, 700, 2500, HOUR, 40 * 24 * HOUR, -3000]))
    def time(self, step: int) -> None:
        self.now += step
        self.journal.handle(self.now, TimePassed())
        self.done()

    @rule(period=st.sampled_from(["2026-01", "2026-02"]))
    def correct(self, period: str) -> None:
        name = f"c{len(self.entries)}"
        self.journal.handle(self.now, correct(name, period))
        self.entries.append(name)

    @rule()
    def forget(self) -> None:
        """Tokens here have no known end: none is forgotten, whatever the time."""
        self.journal.handle(self.now, ForgetDue())

    @rule(cut=st.integers(0, 40))
    def crash(self, cut: int) -> None:
        """The process dies; a write that was never acknowledged may be torn (here: after the end)."""
        segments = [name for name in self.files.names() if name.endswith(".seg")]
        name = segments[-1] if segments else None
        self.files = MemoryFiles(self.files.data)
        if name is not None:
            self.files.data[name] += b"\x99" * cut
        self.certain += self.booked()
        self.journal = Journal(self.files, TARIFF, HOUR, segment_bytes=600, snapshot_every=5)
        self.playing.clear()
        self.done()

    @invariant()
    def totals_are_the_plain_count(self) -> None:
        if not hasattr(self, "journal"):
            return
        account = self.journal.book.account
        lines = account.lines.values()
        assert sum(use.ms - use.ms_estimated for use in lines) == self.certain + self.booked()
        assert sum(use.attempts for use in lines) == len(self.tokens)
        assert set(account.open) == set(self.playing)
        assert len(account.adjusted) == len(self.entries)

    @invariant()
    def the_log_tells_the_same_and_closed_periods_never_change(self) -> None:
        if not hasattr(self, "journal"):
            return
        again = read_account(self.files, TARIFF)
        account = self.journal.book.account
        assert again.lines == account.lines
        assert (again.open, again.charged) == (account.open, account.charged)
        assert again.adjusted == account.adjusted
        for period, statement in self.closed.items():
            assert owed(again, TARIFF, "north", period) == statement


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(max_examples=50, stateful_step_count=25, deadline=None)


# ---- Snapshots, and tokens that are forgotten -------------------------------------------------------------
def filled(files: MemoryFiles, count: int, every: int, first: int = 0) -> Journal:
    journal = Journal(files, TARIFF, HOUR, segment_bytes=2000, snapshot_every=every)
    for k in range(first, first + count):
        when = JAN + 3000 * k
        journal.handle(when, start(when, f"s{k}", "graded" if k % 2 else "briefing", token=f"t{k}"))
        if k % 3:
            journal.handle(when + 500, Ended(when + 500, f"s{k}"))
    journal.handle(JAN + 3000 * (first + count), correct(f"c{first}", "2025-12"))
    return journal


def same(one: Journal, other: Journal) -> bool:
    a, b = one.book.account, other.book.account
    parts = ("lines", "counts", "open", "charged", "forgot", "states", "adjusted", "voided", "last_at")
    return all(getattr(a, part) == getattr(b, part) for part in parts) and (
        (one.book.chain, one.book.seen, one.standing, one.last_billed)
        == (other.book.chain, other.book.seen, other.standing, other.last_billed)
    )


def test_a_start_from_a_snapshot_is_a_start_from_the_whole_log() -> None:
    files = MemoryFiles()
    filled(files, 40, 25)
    assert SNAPSHOT in files.names()
    short = Journal(MemoryFiles(files.data), TARIFF, HOUR)
    whole = MemoryFiles(files.data)
    whole.remove(SNAPSHOT)
    long = Journal(whole, TARIFF, HOUR)
    assert short.read_from > 0 and long.read_from == 0
    assert same(short, long)


def test_a_snapshot_that_does_not_fit_is_passed_over() -> None:
    files = MemoryFiles()
    filled(files, 40, 25)
    good = files.data[SNAPSHOT]
    plain = Journal(MemoryFiles(files.data), TARIFF, HOUR)
    for at in (0, 9, 22, len(good) // 2, len(good) - 1):
        for bad in (good[:at], good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :]):
            found = Journal(MemoryFiles({**files.data, SNAPSHOT: bad}), TARIFF, HOUR)
            assert found.read_from == 0
            assert same(found, plain)
    # a tariff that cuts elsewhere, and a log brought back from an earlier day that then went on differently
    assert Journal(MemoryFiles(files.data), None, HOUR).read_from == 0
    other = MemoryFiles()
    filled(other, 10, 10_000)
    assert Journal(MemoryFiles({**other.data, SNAPSHOT: good}), TARIFF, HOUR).read_from == 0
    filled(other, 60, 10_000, first=100)
    assert Journal(MemoryFiles({**other.data, SNAPSHOT: good}), TARIFF, HOUR).read_from == 0


def test_a_snapshot_is_not_written_before_the_log_lasts_up_to_it() -> None:
    files = MemoryFiles()
    files.hold = True
    journal = filled(files, 20, 10)
    assert SNAPSHOT not in files.names()
    while files.held:
        files.release()
    assert SNAPSHOT in files.names() and journal.log.flushed


def test_exports_stand_where_they_stood_after_a_start_from_a_snapshot() -> None:
    files = MemoryFiles()
    journal = Journal(files, TARIFF, HOUR, snapshot_every=4)
    second = Batched(JAN, 2, 4, 5, "bb")
    for record in (Fenced(JAN, 7), Batched(JAN, 1, 1, 3, "aa"), Acknowledged(JAN, 1), second):
        journal.write(record, lambda: None)
    journal.handle(JAN, start(JAN))
    again = Journal(files, TARIFF, HOUR)
    assert again.read_from == 5
    assert again.standing == Standing(7, 1, 3, Batched(JAN, 2, 4, 5, "bb"))


def test_charged_tokens_are_forgotten_an_hour_after_they_ended_and_are_not_charged_again() -> None:
    made = book((JAN, start(JAN, "s1", "graded", token="t", until=JAN + 60_000)))
    made.handle(JAN + HOUR, ForgetDue())
    assert made.account.charged == {"t": JAN + 60_000}
    made.handle(JAN + HOUR + 70_000, ForgetDue())
    assert made.account.charged == {}
    late = AttemptRecovered(JAN + HOUR + 80_000, "s2", "t", "north", "graded", True, JAN + 60_000)
    kinds = [type(linked.record).__name__ for linked in made.handle(JAN + HOUR + 80_000, late)]
    assert "Charged" not in kinds


def test_an_attempt_left_in_doubt_is_charged_though_its_token_ended_while_the_director_was_down() -> None:
    made = book((JAN, start(JAN, "s1", "graded", token="t", until=JAN + 60_000)))
    # hours later: what is recalled comes before anything is forgotten
    later = JAN + 9 * HOUR
    lapsed = AttemptRecovered(later, "s2", "u", "north", "graded", True, JAN + 50_000)
    assert [type(linked.record).__name__ for linked in made.handle(later, lapsed)][-1] == "Charged"
    made.handle(later, ForgetDue())
    assert made.account.charged == {}


def test_the_set_of_charged_tokens_is_bounded_by_their_life() -> None:
    made, most = Book(TARIFF, HOUR), 0
    for k in range(3000):
        now = JAN + k * 10_000
        made.handle(now, start(now, f"s{k}", "graded", token=f"t{k}", until=now + 60_000))
        made.handle(now + 1, Ended(now + 1, f"s{k}"))
        made.handle(now + 2, ForgetDue())
        most = max(most, len(made.account.charged))
    assert most < (HOUR + 60_000 + 700_000) / 10_000


def test_records_of_earlier_versions_keep_their_chain() -> None:
    old = (
        b'{"type":"open","at":1,"when":1,"session":"s","token":"t",'
        b'"tenant":"n","klass":"g","rung":0,"paid":true}'
    )
    record = msgspec.json.decode(old, type=Opened)
    assert msgspec.json.encode(record) == old
    assert link(EMPTY_CHAIN, record).chain == "7b2b4504bda44701be1f954d2eabffaa"
