"""Directors' ledgers, their exports and the merge of those, against plain counts, with deaths at any step."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from exporting import JAN, Exporting
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from memory import MemoryFiles

from foxlift.ledger import AttemptRecovered, Ended, ForgetDue, Journal, RungChanged, Started, TimePassed
from foxlift.ledger import export as ex
from foxlift.ledger.reconcile import Reconciled, Reconciler
from foxlift.ledger.sources import Chained, batches_of, missing_batches, read_batches

HOUR = 3_600_000


class Director:
    """A ledger with its exporter; a drop that lasts; a process that dies on command."""

    def __init__(self, name: str) -> None:
        self.name, self.files = name, MemoryFiles()
        self.drop: dict[str, bytes] = {}
        self.playing: dict[str, int] = {}
        self.begin()

    def begin(self) -> None:
        self.journal = Journal(self.files, None, HOUR, segment_bytes=700, snapshot_every=6)
        self.run = Exporting(self.files, self.journal, most=4)

    def die(self) -> None:
        self.files = MemoryFiles(self.files.data)
        self.playing.clear()
        self.begin()

    def deliver(self, how: str) -> None:
        """What becomes of the next thing that is out."""
        if not self.run.out:
            return
        action = self.run.out.pop(0)
        if isinstance(action, ex.RetryLater):
            self.run.tell(ex.RetryDue())
        elif isinstance(action, ex.Deliver):
            file = f"{self.name}-{action.batch:09d}.jsonl"
            if how != "cut off":
                self.drop.setdefault(file, self.run.lines(action.first, action.last))
            received = ex.Accepted(action.batch, ex.content_of(self.drop.get(file, b"")))
            self.run.tell(received if how == "received" else ex.Lost())


class WholeLedger(RuleBasedStateMachine):
    """Two directors, tokens that reach both, clocks that go on, exports that are cut off."""

    @initialize()
    def start(self) -> None:
        self.directors = [Director("d0"), Director("d1")]
        self.now, self.sessions, self.certain = JAN, 0, 0
        self.attempts: dict[str, bool] = {}  # by token: whether a certain record of it exists

    directors_drawn = st.integers(0, 1)

    @rule(which=directors_drawn, token=st.integers(0, 5), paid=st.booleans())
    def play(self, which: int, token: int, paid: bool) -> None:
        director = self.directors[which]
        self.sessions += 1
        name, until = f"d{which}-{self.sessions}", self.now + 60_000
        made = Started(self.now, name, f"t{token}", "n", "g" if paid else "f", 0, paid, until, "ann", "b1")
        director.journal.handle(self.now, made)
        director.playing[name] = self.now
        if paid:
            self.attempts[f"t{token}"] = True

    @rule(which=directors_drawn, token=st.integers(0, 5))
    def left_in_doubt(self, which: int, token: int) -> None:
        """An attempt whose answer was lost: charged as estimated, unless something better is known."""
        event = AttemptRecovered(
            self.now, f"x{self.sessions}", f"t{token}", "n", "g", True, self.now + 60_000
        )
        self.directors[which].journal.handle(self.now, event)
        self.attempts.setdefault(f"t{token}", False)

    @precondition(lambda self: any(director.playing for director in self.directors))
    @rule(data=st.data(), turn=st.booleans())
    def end_or_turn(self, data: st.DataObject, turn: bool) -> None:
        both = [(d, name) for d in self.directors for name in sorted(d.playing)]
        director, name = data.draw(st.sampled_from(both))
        begun = director.playing[name]
        if not turn:
            director.journal.handle(self.now, Ended(self.now, name))
            del director.playing[name]
            self.certain += self.now - begun
            return
        rung = director.journal.book.account.open[name].rung + 1
        director.journal.handle(self.now, RungChanged(self.now, name, rung))
        director.playing[name] = self.now
        self.certain += self.now - begun

    @rule(step=st.sampled_from([1, 900, 5000, 2 * HOUR]))
    def time(self, step: int) -> None:
        self.now += step
        for director in self.directors:
            director.journal.handle(self.now, TimePassed())
            director.journal.handle(self.now, ForgetDue())

    @rule(which=directors_drawn)
    def die(self, which: int) -> None:
        self.directors[which].die()

    @rule(which=directors_drawn, how=st.sampled_from(["received", "cut off", "answer lost"]))
    def export(self, which: int, how: str) -> None:
        self.directors[which].run.due()
        self.directors[which].deliver(how)

    def merged(self, drops: list[dict[str, bytes]]) -> tuple[Reconciled, list[Any]]:
        with tempfile.TemporaryDirectory() as folder:
            merger = Reconciler(Path(folder), 3)
            troubles: list[Any] = []
            for drop in drops:
                for name, batches in batches_of(drop).items():
                    troubles += missing_batches(name, (number for number, _ in batches))
                    chained = Chained(name)
                    merger.add(name, chained.records(read_batches(batches, drop.__getitem__)))
                    troubles += chained.breaks
            return merger.finish(), troubles

    @invariant()
    def what_was_exported_so_far_is_whole_and_nobodys_invention(self) -> None:
        if not hasattr(self, "directors"):
            return
        result, troubles = self.merged([director.drop for director in self.directors])
        assert troubles == [] and result.gaps == [] and result.repeated == 0
        assert sum(use.attempts for use in result.totals.values()) <= len(self.attempts)

    def teardown(self) -> None:
        """Then all goes well: what all directors exported, merged, is what was played."""
        if not hasattr(self, "directors"):
            return
        for director in self.directors:
            for name, begun in sorted(director.playing.items()):
                director.journal.handle(self.now, Ended(self.now, name))
                self.certain += self.now - begun
            director.playing.clear()
            for _ in range(400):
                director.run.due()
                director.deliver("received")
                if director.journal.standing.last >= director.journal.last_billed:
                    break
        result, troubles = self.merged([director.drop for director in self.directors])
        assert troubles == [] and result.gaps == []
        totals = result.totals.values()
        assert sum(use.ms - use.ms_estimated for use in totals) == self.certain
        assert sum(use.attempts for use in totals) == len(self.attempts)
        sure = sum(use.attempts - use.attempts_estimated for use in totals)
        assert sure == sum(self.attempts.values())


TestWholeLedger = WholeLedger.TestCase
TestWholeLedger.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
