"""Ledgers merged, held against the taps, and on the command line."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path
from typing import Any, get_args

import pyarrow.parquet as pq
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from memory import MemoryFiles
from sockets import World, ask, base_of, run
from terms import TERMS
from test_cli import write_settings as cli_files

from foxlift.cli.main import main
from foxlift.director.daemon import Daemon
from foxlift.ledger import Account, Ended, Journal, Started, read_records, read_tariff
from foxlift.ledger.export import lines_of
from foxlift.ledger.parquet import SCHEMA, write_parquet
from foxlift.ledger.reconcile import Duplicate, Gap, Reconciler
from foxlift.ledger.records import Charged, Closed, Opened, Record
from foxlift.ledger.tariff import period_start
from foxlift.rehearsal.billing import compare_ledgers
from foxlift.standins.checker import Checker
from foxlift.store import FilePort

JAN = period_start("2026-01")
TARIFF = """(tariff (currency "EUR") (versions (from (date "2020-01-01") (prices
  (price (class "graded") (attempt-micros 1500000)) (price (class "briefing") (hour-micros 3600000))))))"""


def charge(token: str, when: int = JAN, estimated: bool = False) -> Charged:
    return Charged(when, when, f"s-{token}", token, "north", "graded", estimated)


def numbered(*records: Record) -> list[tuple[int, Record]]:
    return list(enumerate(records, 1))


@given(st.data(), st.integers(1, 7))
def test_merged_totals_are_a_plain_count_whatever_the_order_and_the_memory(
    tmp_path_factory: Any, data: st.DataObject, most: int
) -> None:
    tokens = st.builds(charge, st.sampled_from("abcdefgh"), st.integers(JAN, JAN + 5).map(int), st.booleans())
    ledgers = {name: data.draw(st.lists(tokens, max_size=8)) for name in ("d0", "d1", "d2")}
    merger = Reconciler(tmp_path_factory.mktemp("runs"), most)
    order = data.draw(st.permutations(sorted(ledgers)))
    for name in order:
        merger.add(name, numbered(*ledgers[name]))
    result = merger.finish()
    every = [record for records in ledgers.values() for record in records]
    total = sum(use.attempts for use in result.totals.values())
    estimated = sum(use.attempts_estimated for use in result.totals.values())
    assert total == len({record.token for record in every})
    sure = {record.token for record in every if not record.estimated}
    assert estimated == total - len(sure)
    assert result.whole


def test_the_record_that_stands_is_certain_then_earlier_then_of_the_first_name(tmp_path: Path) -> None:
    merger = Reconciler(tmp_path, 2)
    merger.add("d2", numbered(charge("a", JAN, True), charge("b", JAN + 5), charge("c", JAN)))
    merger.add("d1", numbered(charge("a", JAN + 9), charge("b", JAN + 6), charge("c", JAN)))
    assert sorted(merger.finish().duplicates, key=lambda d: d.token) == [
        Duplicate("a", "d1", "d2"),
        Duplicate("b", "d2", "d1"),
        Duplicate("c", "d1", "d2"),
    ]
    assert not list(tmp_path.iterdir())


def test_missing_records_are_named_and_repeated_ones_passed_over(tmp_path: Path) -> None:
    records = numbered(*(charge(str(k)) for k in range(9)))
    merger = Reconciler(tmp_path)
    merger.add("d0", [*records[:3], *records[1:4], *records[6:]])
    result = merger.finish()
    assert result.gaps == [Gap("d0", 5, 6)]
    assert not result.whole
    assert result.repeated == 2
    assert sum(use.attempts for use in result.totals.values()) == 7


def test_more_attempts_than_memory_may_hold_are_merged_on_disk(tmp_path: Path) -> None:
    chance = random.Random(1)
    merger = Reconciler(tmp_path, most=100)
    tokens = [f"t{k}" for k in range(3000)]
    for name in ("d0", "d1"):
        chance.shuffle(tokens)
        merger.add(name, numbered(*map(charge, tokens[:2500])))
        assert merger.held < 100
    result = merger.finish()
    total = sum(use.attempts for use in result.totals.values())
    assert 2500 <= total <= 3000
    assert total == 5000 - result.duplicate_count


# ---- On sockets -------------------------------------------------------------------------------------------
def records_of(data: dict[str, bytes]) -> list[Record]:
    return [linked.record for _, linked in read_records(MemoryFiles(data))]


def account_of(data: dict[str, bytes]) -> Account:
    account = Account()
    for record in records_of(data):
        account.apply(record)
    return account


@pytest.mark.parametrize("moment", ["before the record", "after the record"])
def test_a_director_killed_around_the_record_of_an_attempt_charges_it_once(
    tmp_path: Path, moment: str
) -> None:
    disk = MemoryFiles()

    async def test(world: World) -> None:
        assert (await world.manifest(world.token("a", "graded"))).status == 200
        world.kill()
        if moment == "before the record":
            # the ledger's segment never reached the disk; the intent did, before its set-up left
            for name in disk.names():
                if name.startswith("ledger-"):
                    disk.remove(name)
        again = world.new_director(files=MemoryFiles(disk.data))
        await again.start()
        account = again.journal.book.account
        assert set(account.charged) == {"a"}
        (use,) = [use for line, use in account.lines.items() if line.rung < 0]
        assert use.attempts == 1
        assert use.attempts_estimated == 0 or moment == "before the record"
        assert account.open == {}
        third = world.new_director(files=MemoryFiles(again.files.data))  # type: ignore[attr-defined]
        await third.start()
        assert sum(use.attempts for use in third.journal.book.account.lines.values()) == 1

    run(tmp_path, test, files=disk)


def test_a_token_that_ended_while_its_director_was_down_is_still_charged_once(tmp_path: Path) -> None:
    disk = MemoryFiles()

    async def test(world: World) -> None:
        assert (await world.manifest(world.token("a", "graded"))).status == 200
        world.kill()
        for name in disk.names():
            if name.startswith("ledger"):
                disk.remove(name)  # killed before the ledger's record lasted; the intent did
        files: FilePort = disk
        for hours in (50, 51, 99):
            later = 2_000_000_000 + hours * 3600.0
            again = Daemon(world.director.config, world.loop, files=files, unix_s=later)
            world.extra.append(again)
            await again.start()
            account = again.journal.book.account
            assert [use.attempts for use in account.lines.values()] == [1]
            again.close()
            files = MemoryFiles(disk.data)
        assert again.intent_log.recovered == {}, "an intent that the ledger has is not kept for ever"

    run(tmp_path, test, files=disk)


def test_a_set_up_done_whose_answer_was_lost_is_charged_as_estimated_and_a_refusal_is_not(
    tmp_path: Path,
) -> None:
    disk = MemoryFiles()

    async def test(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.command("lose-answers", name, 1.0)
        assert (await world.manifest(world.token("a", "graded"))).status == 504
        for name in world.fleet.boxes:
            world.fleet.command("drain", name)
        await world.until(lambda: all(b.status.value == 0 for b in world.director.core.boxes.values()))
        assert (await world.manifest(world.token("b", "graded"))).status == 503
        account = world.director.journal.book.account
        assert set(account.charged) == {"a"}
        assert [use.attempts_estimated for use in account.lines.values()] == [1]
        assert sorted(what for _, _, _, what in account.counts) == ["failed", "refused"]
        assert world.director.intent_log.recovered == {}
        assert account_of(disk.data).lines == account.lines

    run(tmp_path, test, files=disk)


def test_ledgers_are_held_against_the_taps_and_each_difference_is_seen(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        for box in world.fleet.boxes.values():
            box.idle_s = 0.3

        async def watch(k: int) -> None:
            shown = await world.manifest(world.token(f"c{k}", "graded" if k % 2 else "briefing"))
            assert shown.status == 200
            port, base = base_of(shown)
            for number in range(1, 81):
                assert (await ask(port, f"{base}vod/v0/{number}.m4s")).status == 200

        await asyncio.gather(*map(watch, range(4)))
        await world.until(lambda: not world.director.core.sessions)
        await world.until(
            lambda: world.director.journal.log.durable == world.director.journal.log.last_sequence
        )

    run(tmp_path, test, taps=True)
    state = tmp_path / "state-d0"
    checker = Checker(tmp_path / "taps.bin", TERMS)
    billing = compare_ledgers(checker, [state])
    assert billing.differences == []
    assert (billing.attempts, billing.sessions, billing.sessions_estimated) == (2, 4, 0)
    assert billing.ms == billing.ms_on_taps > 200

    def changed(change: Any) -> list[str]:
        data = {path.name: path.read_bytes() for path in state.iterdir()}
        other = MemoryFiles()
        journal = Journal(other)
        for record in records_of(data):
            for kept in change(record):
                journal._append([journal.book.write(kept)])
        folder = tmp_path / "changed"
        folder.mkdir(exist_ok=True)
        for name, content in other.data.items():
            (folder / name).write_bytes(content)
        return compare_ledgers(checker, [folder]).differences

    def longer(record: Record) -> list[Record]:
        if isinstance(record, Closed):
            return [Closed(record.at, record.when + 1, record.session)]
        return [record]

    def unpaid(record: Record) -> list[Record]:
        if isinstance(record, Opened) and record.paid:
            return [Opened(record.at, record.when, record.session, record.token, "n", "g", 0, False)]
        return [record]

    def invented(record: Record) -> list[Record]:
        return [record, charge("x")] if isinstance(record, Opened) else [record]

    assert changed(lambda record: [record]) == []
    assert any("ms in the ledger" in d for d in changed(longer))
    assert any("never charged" in d for d in changed(unpaid))
    assert changed(invented) == ["x: charged as certain, and no box confirmed it"]


# ---- Command line -----------------------------------------------------------------------------------------
def call(*arguments: object) -> Any:
    return CliRunner().invoke(main, ["ledger", *(str(argument) for argument in arguments)])


def test_statement_correction_closing_and_checking_from_the_command_line(tmp_path: Path) -> None:
    path = cli_files(tmp_path)
    assert call("statement", path, "--tenant", "north", "--period", "2026-01").exit_code == 2
    (tmp_path / "tariff.sexp").write_text(TARIFF)
    path.write_text(path.read_text().rstrip()[:-1] + ' (ledger (tariff "tariff.sexp")))')
    state = tmp_path / "state"
    state.mkdir()
    disk = MemoryFiles()
    journal = Journal(disk, read_tariff(TARIFF, "t"))
    journal.handle(JAN, Started(JAN, "s1", "t1", "north", "graded", 0, True))
    for name, data in disk.data.items():
        (state / name).write_bytes(data)
    first = call("statement", path, "--tenant", "north", "--period", "2026-01", "--json")
    assert json.loads(first.output)["total_micros"] == 1_500_000
    assert call("verify", path).output.startswith("1 records")
    assert call("close", path, "2026-01").exit_code == 6  # its grace is over long since: closed by the time
    words = ("--entry", "c1", "--tenant", "north", "--class", "graded", "--micros", -1_500_000)
    made = call("correct", path, *words, "--period", "2026-01", "--by", "ann", "--why", "twice")
    assert (made.exit_code, made.output) == (0, "written\n")
    again = call("statement", path, "--tenant", "north", "--period", "2026-01", "--json")
    assert json.loads(again.output)["lines"][0] == json.loads(first.output)["lines"][0]
    assert json.loads(again.output)["state"] == "closed"
    assert call("correct", path, *words, "--period", "2026-01", "--by", "a", "--why", "b").exit_code == 6
    assert call("void", path, "--entry", "c2", "--corrects", "c1", "--by", "a", "--why", "b").exit_code == 0
    assert "north" in call("statement", path, "--tenant", "north", "--period", "2026-01").output
    merged = call("reconcile", state, "--json")
    assert json.loads(merged.output)["totals"][0]["attempts"] == 1
    drop = tmp_path / "drop"
    assert call("export", path).exit_code == 2
    assert call("export", path, "--csv", tmp_path / "all.csv").exit_code == 0
    rows = (tmp_path / "all.csv").read_text().splitlines()
    assert rows[0].startswith("number,kind,at,when,session,token")
    assert rows[1].split(",")[:2] == ["1", "open"]
    first = call("export", path, "--to", drop)
    assert first.exit_code == 0, first.output
    kept = {file.name: file.read_bytes() for file in drop.glob("*.jsonl")}
    assert sum(data.count(b"\n") for data in kept.values()) >= 5
    assert call("export", path, "--to", drop).output == "0 records exported\n"
    assert {file.name: file.read_bytes() for file in drop.glob("*.jsonl")} == kept
    segment = next(state.glob("ledger-*.seg"))
    segment.write_bytes(segment.read_bytes()[:40] + b"\0" + segment.read_bytes()[41:])
    assert call("verify", path).exit_code == 3


# ---- From exports -----------------------------------------------------------------------------------------
def ledger_of(count: int, name: str, when: int = JAN, viewer: str = "ann", late: int = 0) -> MemoryFiles:
    """Sessions of a second each, one after another, whose director's clock is `late` ms ahead."""
    files = MemoryFiles()
    journal = Journal(files)
    for k in range(count):
        begin = when + 2000 * k
        session = f"{name}-{k}"
        made = Started(begin, session, f"{name}t{k}", "north", "graded", 0, True, 0, viewer, "b1")
        journal.handle(begin + late, made)
        journal.handle(begin + late + 1000, Ended(begin + 1000, session))
    return files


def exported(files: MemoryFiles, name: str, folder: Path, most: int = 3) -> None:
    rows = list(read_records(files))
    for k in range(0, len(rows), most):
        (folder / f"{name}-{k // most + 1:09d}.jsonl").write_bytes(lines_of(rows[k : k + most]))


def test_exports_of_several_directors_in_one_folder_are_enough_to_reconcile(tmp_path: Path) -> None:
    for name in ("d0", "d1"):
        exported(ledger_of(4, name), name, tmp_path)
    (tmp_path / "d0.exporter").write_text("1")
    result = json.loads(call("reconcile", tmp_path, "--json", "--expect", "d1").output)
    assert result["instances"] == ["d0", "d1"]
    (total,) = result["totals"]
    assert (result["records"], total["attempts"], total["ms"]) == (24, 8, 8000)  # each with an alive record
    assert not any(result[word] for word in ("gaps", "missing_batches", "changed", "absent"))


def test_missing_batches_changed_records_and_absent_directors_are_named(tmp_path: Path) -> None:
    for name in ("d0", "d1"):
        exported(ledger_of(6, name), name, tmp_path)
    (tmp_path / "d0-000000002.jsonl").unlink()
    third = tmp_path / "d1-000000003.jsonl"
    third.write_bytes(third.read_bytes().replace(b"d1t2", b"d1t9"))
    found = call("reconcile", tmp_path, "--expect", "d2")
    assert found.exit_code == 7
    assert "d0: batches 2 to 2 are missing" in found.output
    assert "d0: records 4 to 6 are missing" in found.output
    assert "d1: record 7 does not follow" in found.output
    assert "d2: no records of this director" in found.output


def test_a_batch_cut_short_and_a_director_given_twice_are_refused(tmp_path: Path) -> None:
    first, second = tmp_path / "a", tmp_path / "b"
    for folder in (first, second):
        folder.mkdir()
        exported(ledger_of(2, "d0"), "d0", folder)
    assert "d0: given twice" in call("reconcile", first, second).output
    batch = first / "d0-000000001.jsonl"
    batch.write_bytes(batch.read_bytes()[:-5])
    found = call("reconcile", first)
    assert found.exit_code == 3
    assert "d0-000000001.jsonl: offset" in found.output


def play(session: str, viewer: str, begin: int, end: int, number: int) -> list[tuple[int, Record]]:
    opened = Opened(begin, begin, session, f"t-{session}", "n", "g", 0, False, viewer=viewer)
    return [(number, opened), (number + 1, Closed(end, end, session))]


@given(
    st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 30), st.integers(1, 9)), max_size=12),
    st.integers(1, 5),
)
def test_play_of_one_viewer_at_once_is_found_whatever_the_directors_and_the_memory(
    tmp_path_factory: Any, plays: list[tuple[str, int, int]], most: int
) -> None:
    merger = Reconciler(tmp_path_factory.mktemp("runs"), most)
    for k, (viewer, begin, length) in enumerate(plays):
        merger.add(f"d{k}", play(f"s{k}", viewer, JAN + begin, JAN + begin + length, 1))
    spans = sorted((viewer, begin, begin + length) for viewer, begin, length in plays)
    overlapped = sum(
        any(v == viewer and b < begin + 1 and e > begin for v, b, e in spans[:k])
        for k, (viewer, begin, _) in enumerate(spans)
    )
    assert merger.finish().overlap_count == overlapped


def test_clocks_apart_are_named_for_directors_and_for_boxes(tmp_path: Path) -> None:
    def opened(director: int, box: int, number: int) -> tuple[int, Record]:
        at = JAN + (5000 if director == 2 else 0) + 20
        when = JAN - (7000 if box == 3 else 0)
        return number, Opened(at, when, f"s{director}{box}", "t", "n", "g", 0, False, box=f"b{box}")

    merger = Reconciler(tmp_path)
    for director in range(5):
        merger.add(f"d{director}", [opened(director, box, box + 1) for box in range(5)])
    assert [(c.of, c.ms) for c in merger.finish().clocks] == [("d2", 5000), ("b3", -7000)]


def test_the_ledger_as_parquet_holds_every_record(tmp_path: Path) -> None:
    path = tmp_path / "ledger.parquet"
    files = ledger_of(3, "d0")
    assert write_parquet(read_records(files), path) == 9
    rows = pq.read_table(path).to_pylist()
    assert [row["number"] for row in rows] == list(range(1, 10))
    first = [rows[0][name] for name in ("kind", "token", "paid", "micros")]
    assert first == ["open", "d0t0", True, None]
    kinds = {kind.__struct_config__.tag for kind in get_args(Record)}
    columns = {name for kind in get_args(Record) for name in kind.__struct_fields__}
    assert len(kinds) == 12 and columns <= set(SCHEMA.names)
    assert not list(tmp_path.glob("*.new"))
