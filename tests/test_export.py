"""Exports: each record exactly once, through cuts, lost answers, restarts and two exporters."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from exporting import JAN, Exporting
from hypothesis import given, settings
from hypothesis import strategies as st
from memory import MemoryFiles
from sockets import World, run

from foxlift.director.exports import ExportRunner, FileDrop
from foxlift.ledger import Journal, Started, read_records
from foxlift.ledger import export as ex
from foxlift.ledger.records import Batched
from foxlift.standins.receiver import Receiver


class Model:
    """A receiver without sockets, and a ledger whose process dies on command."""

    def __init__(self) -> None:
        self.files = MemoryFiles()
        self.kept: dict[int, bytes] = {}
        self.highest = 0
        self.count = 0
        self.start()

    def start(self) -> None:
        self.journal = Journal(self.files)
        self.run = Exporting(self.files, self.journal, most=3)

    def die(self) -> None:
        self.files = MemoryFiles(self.files.data)
        self.start()

    def bill(self) -> None:
        self.count += 1
        self.journal.handle(JAN, Started(JAN, f"s{self.count}", f"t{self.count}", "n", "g", 0, True))

    def step(self, how: str) -> None:
        """What becomes of the next thing that is out."""
        if not self.run.out:
            return
        action = self.run.out.pop(0)
        if isinstance(action, ex.RetryLater):
            self.run.tell(ex.RetryDue())
        elif isinstance(action, ex.Deliver):
            if how != "cut off":
                assert action.exporter >= self.highest
                self.highest = action.exporter
                self.kept.setdefault(action.batch, self.run.lines(action.first, action.last))
            if how == "received":
                self.run.tell(ex.Accepted(action.batch, ex.content_of(self.kept[action.batch])))
            else:
                self.run.tell(ex.Lost())


@given(st.lists(st.sampled_from(["bill", "due", "received", "cut off", "answer lost", "die"]), max_size=60))
@settings(max_examples=150, deadline=None)
def test_whatever_is_cut_off_each_record_arrives_exactly_once(script: list[str]) -> None:
    model = Model()
    for word in script:
        match word:
            case "bill":
                model.bill()
            case "due":
                model.run.due()
            case "die":
                model.die()
            case _:
                model.step(word)
    for _ in range(200):  # and then all goes well
        model.run.due()
        model.step("received")
    numbers = [n for batch in sorted(model.kept) for n, _ in ex.read_lines(model.kept[batch])]
    assert numbers == sorted(set(numbers))
    billed = [n for n, linked in read_records(model.files) if n <= model.journal.last_billed]
    assert numbers == billed
    assert sorted(model.kept) == list(range(1, len(model.kept) + 1))


def test_exports_of_exports_do_not_go_on_for_ever() -> None:
    model = Model()
    model.bill()
    for _ in range(20):
        model.run.due()
        model.step("received")
    assert len(model.kept) == 1


def test_a_receiver_that_holds_something_else_stops_the_exports() -> None:
    model = Model()
    model.bill()
    model.run.due()
    (sent,) = model.run.out
    assert isinstance(sent, ex.Deliver)
    assert model.run.exporter.handle(JAN, ex.Accepted(sent.batch + 5, "other")) == []
    (stop,) = model.run.exporter.handle(JAN, ex.Accepted(sent.batch, "other"))
    assert stop == ex.Stop("the receiver holds another batch 1")
    assert model.run.exporter.handle(JAN, ex.Due(9)) == []


def test_waits_between_deliveries_double_up_to_a_bound() -> None:
    model = Model()
    model.bill()
    model.run.due()
    waits = []
    for _ in range(10):
        model.run.tell(ex.Lost())
        waits += [a.delay_ms for a in model.run.out if isinstance(a, ex.RetryLater)]
        model.run.out.clear()
        model.run.tell(ex.RetryDue())
    assert waits[:3] == [500.0, 1000.0, 2000.0]
    assert max(waits) == waits[-1] == 32_000.0


def test_two_exporters_on_one_drop_the_earlier_one_is_fenced_off(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        folder = tmp_path / "drop"
        ends: list[Any] = []
        for exporter in (2, 1):
            drop = FileDrop(world.loop, folder, "d0")
            drop.deliver(ex.Deliver(exporter, 1, 1, 1, "x"), b"{}\n", ends.append)
            await world.until(lambda exporter=exporter: len(ends) == 3 - exporter)  # type: ignore[misc]
            drop.close()
        assert ends == [ex.Accepted(1, ex.content_of(b"{}\n")), ex.FencedOff()]

    run(tmp_path, test)


@pytest.mark.parametrize("trouble", ["none", "cut off", "answers lost", "forgets"])
def test_a_directors_records_reach_a_receiver_once_each(tmp_path: Path, trouble: str) -> None:
    async def test(world: World) -> None:
        receiver = Receiver(world.loop)
        port = await receiver.start()
        from foxlift.director.exports import HttpReceiver

        daemon = world.director
        if trouble == "cut off":
            receiver.cut_off = 1
        elif trouble == "answers lost":
            receiver.lose_answers = 1
        target = HttpReceiver(world.loop, f"http://127.0.0.1:{port}/in", "d0")
        daemon.exports = ExportRunner(daemon.journal, daemon.files, target, daemon.timeline, 30.0)
        for k in range(4):
            assert (await world.manifest(world.token(f"c{k}", "graded"))).status == 200
        daemon.exports.begin()
        await world.until(lambda: daemon.journal.standing.last >= 4)
        if trouble == "forgets":
            receiver.forget()
        for k in range(4, 8):
            assert (await world.manifest(world.token(f"c{k}", "graded"))).status == 200
        last = daemon.journal.last_billed
        await world.until(lambda: daemon.journal.standing.last >= last)
        numbers = receiver.numbers("d0")
        assert numbers == sorted(set(numbers))
        if trouble != "forgets":
            assert numbers == list(range(1, max(numbers) + 1))
        assert receiver.deliveries > len(receiver.batches) or trouble in ("none", "forgets")
        await receiver.server.stop(50.0)

    run(tmp_path, test)


def test_a_file_drop_is_filled_by_a_running_director_and_goes_on_after_its_death(tmp_path: Path) -> None:
    files = MemoryFiles()
    folder = tmp_path / "drop"
    edit = f'(seed 0) => (seed 0) (ledger (export-folder "{folder}") (export-every-ms 20))'

    async def test(world: World) -> None:
        assert (await world.manifest(world.token("a", "graded"))).status == 200
        await world.until(lambda: list(folder.glob("*.jsonl")))
        world.kill()
        again = world.new_director(files=MemoryFiles(files.data))
        await again.start()
        billed = again.journal.last_billed
        target = FileDrop(world.loop, folder, "d0")
        again.exports = ExportRunner(again.journal, again.files, target, again.timeline, 20.0)
        again.exports.begin()
        await world.until(lambda: again.journal.standing.last >= billed)
        rows = [row for path in sorted(folder.glob("*.jsonl")) for row in ex.read_lines(path.read_bytes())]
        assert [n for n, _ in rows] == list(range(1, len(rows) + 1))
        assert not list(folder.glob("*.new"))
        assert any(isinstance(linked.record, Batched) for _, linked in read_records(again.files))

    run(tmp_path, test, files=files, edit="(catalogue => (seed 0) (catalogue\n" + edit)
