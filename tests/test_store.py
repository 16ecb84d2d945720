"""The log's format and the record of paid set-ups: what is cut, torn or damaged, and disks that fail."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from memory import MemoryFiles

from foxlift.store import (
    DiskFiles,
    Intent,
    IntentLog,
    IntentOutcome,
    LogError,
    LogReader,
    SegmentedLog,
    encode_frame,
    encode_header,
    read_log,
)

PAYLOADS = [b"one", b"", b"three" * 20, b"4"]
LOG = encode_header() + b"".join(encode_frame(k, p) for k, p in enumerate(PAYLOADS, 1))
ENDS = [16]
for _payload in PAYLOADS:
    ENDS.append(ENDS[-1] + 16 + len(_payload))


def test_a_log_cut_at_any_byte_holds_every_record_before_the_cut_and_no_part_of_one() -> None:
    for cut in range(len(LOG) + 1):
        reader = LogReader("log", LOG[:cut])
        whole = sum(1 for end in ENDS[1:] if end <= cut)
        assert reader.payloads == PAYLOADS[:whole]
        assert reader.valid_bytes + reader.torn_bytes == cut


def test_every_byte_flipped_is_found() -> None:
    for at in range(len(LOG)):
        damaged = bytearray(LOG)
        damaged[at] ^= 0x40
        try:
            found = LogReader("log", bytes(damaged)).payloads
        except LogError as error:
            assert str(error).startswith("log: ")
        else:
            # damage in the last record looks like a torn tail: that one is not taken, the others are
            assert at >= ENDS[-2]
            assert found == PAYLOADS[:-1]


def test_another_programs_file_and_a_newer_format_are_refused() -> None:
    with pytest.raises(LogError, match="not a log of this program"):
        LogReader("log", b"SQLite format 3\0" + b"\0" * 50)
    newer = b"FOXLLOG1" + (9).to_bytes(4, "little")
    import google_crc32c

    with pytest.raises(LogError, match="newer program"):
        LogReader("log", newer + int(google_crc32c.value(newer)).to_bytes(4, "little"))
    with pytest.raises(LogError, match=r"record too large: 2097152 bytes, at most 1048576"):
        encode_frame(1, b"y" * (1 << 21))


def book(files: MemoryFiles, now: float = 0.0) -> IntentLog:
    return IntentLog(files, now)


def intend(made: IntentLog, token: str, expires: int = 100) -> list[OSError | None]:
    told: list[OSError | None] = []
    made.record_intent(Intent(token, expires, "b1", f"d-{token}-0"), told.append)
    return told


def test_an_intent_without_outcome_may_have_run() -> None:
    files = MemoryFiles()
    made = book(files)
    assert intend(made, "a") == [None]
    assert intend(made, "b") == [None]
    assert intend(made, "c") == [None]
    made.record_outcome("b", IntentOutcome.NEVER_RAN)
    made.record_outcome("c", IntentOutcome.STARTED)
    again = book(files)
    assert {t: k.outcome for t, k in again.recovered.items()} == {
        "a": IntentOutcome.MAY_HAVE_RUN,
        "c": IntentOutcome.STARTED,
    }
    assert again.recovered["a"].box == "b1"
    # written anew at the start, it reads the same
    assert book(files).recovered == again.recovered


def test_what_has_expired_is_forgotten() -> None:
    files = MemoryFiles()
    intend(book(files), "a", expires=100)
    assert set(book(files, 99.0).recovered) == {"a"}
    assert set(book(files, 100.0).recovered) == set()
    assert set(book(files, 0.0).recovered) == set()


def test_a_record_cut_at_any_byte_keeps_every_acknowledged_intent() -> None:
    files = MemoryFiles()
    made = book(files)
    sizes = {}
    for token in "abc":
        intend(made, token)
        sizes[token] = len(files.data["intents.log"])
    data = files.data["intents.log"]
    for cut in range(len(data) + 1):
        again = book(MemoryFiles({"intents.log": data[:cut]}))
        assert set(again.recovered) == {token for token, size in sizes.items() if size <= cut}


def test_intents_gather_while_a_sync_runs_and_nothing_is_told_before_it_lasts() -> None:
    files = MemoryFiles()
    made = book(files)
    files.hold = True
    first, second, third = intend(made, "a"), intend(made, "b"), intend(made, "c")
    assert (first, second, third) == ([], [], [])
    assert len(files.held) == 1
    files.release()
    assert (first, second, third) == ([None], [], [])
    files.release()
    assert (second, third) == ([None], [None])


def test_a_disk_that_failed_is_not_trusted_again() -> None:
    files = MemoryFiles()
    made = book(files)
    files.broken = True
    told = intend(made, "a")
    assert [type(error) for error in told] == [OSError]
    assert made.failed is not None


@given(st.binary(max_size=120))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    try:
        made = book(MemoryFiles({"intents.log": data}))
    except LogError:
        return
    assert made.recovered == {}


def test_a_real_file_lasts_and_its_first_failure_is_its_last(tmp_path: Path) -> None:
    async def main() -> None:
        files = DiskFiles(tmp_path / "state", asyncio.get_running_loop())
        made = IntentLog(files, 0.0)
        done = asyncio.get_running_loop().create_future()
        made.record_intent(Intent("a", 100, "b1", "d-1-0"), done.set_result)
        assert await done is None
        made.close()
        assert set(IntentLog(files, 0.0).recovered) == {"a"}
        file = files.open_append("other")
        file.close()
        for _ in range(2):
            failed = asyncio.get_running_loop().create_future()
            file.write_sync(b"x", failed.set_result)
            error = await failed
            assert error is not None
            assert error.errno == errno.EBADF
        files.close()

    asyncio.run(main())


def test_a_file_is_replaced_whole_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        files = DiskFiles(tmp_path, asyncio.get_running_loop())
        files.replace("list", b"old")

        def fail(*_: object) -> None:
            raise OSError(errno.ENOSPC, "no space left")

        monkeypatch.setattr(os, "fsync", fail)
        with pytest.raises(OSError, match="no space"):
            files.replace("list", b"new")
        assert files.read("list") == b"old"
        files.close()

    asyncio.run(main())


# ---- The log in segments ----------------------------------------------------------------------------------
def entries(files: MemoryFiles, after: int = 0) -> list[tuple[int, bytes]]:
    return [(entry.sequence, entry.payload) for entry in read_log(files, "l", after)]


def test_a_log_goes_on_over_segments_and_restarts() -> None:
    files = MemoryFiles()
    for begin in (1, 11, 21):
        log = SegmentedLog(files, "l", segment_bytes=120)
        assert log.last_sequence == begin - 1
        for k in range(begin, begin + 10):
            assert log.append(b"record %d" % k) == k
        assert log.durable == log.last_sequence
        log.close()
    assert len(files.names()) > 5
    assert entries(files) == [(k, b"record %d" % k) for k in range(1, 31)]
    assert entries(files, 17) == [(k, b"record %d" % k) for k in range(18, 31)]


def test_the_last_segment_cut_at_any_byte_keeps_what_was_acknowledged_and_goes_on() -> None:
    files = MemoryFiles()
    log, ends = SegmentedLog(files, "l", segment_bytes=100), {}
    for k in range(1, 9):
        log.append(b"record %d" % k)
        ends[k] = (files.names()[-1], len(files.data[files.names()[-1]]))
    last = files.names()[-1]
    for cut in range(len(files.data[last]) + 1):
        damaged = MemoryFiles(files.data)
        damaged.data[last] = damaged.data[last][:cut]
        kept = [k for k, (name, end) in ends.items() if name != last or end <= cut]
        again = SegmentedLog(damaged, "l", segment_bytes=100)
        assert again.last_sequence == len(kept)
        again.append(b"more")
        assert entries(damaged) == [(k, b"record %d" % k) for k in kept] + [(len(kept) + 1, b"more")]


def test_a_segment_lost_or_cut_with_others_behind_it_is_reported() -> None:
    files = MemoryFiles()
    log = SegmentedLog(files, "l", segment_bytes=60)
    for k in range(9):
        log.append(b"record %d" % k)
    first, second, *_ = files.names()
    lost = MemoryFiles({name: data for name, data in files.data.items() if name != second})
    with pytest.raises(LogError, match=first):
        entries(lost)
    cut = MemoryFiles({**files.data, first: files.data[first][:-1]})
    with pytest.raises(LogError, match=first):
        entries(cut)


def test_appends_wait_for_the_sync_before_and_fail_together_after_a_failure() -> None:
    files = MemoryFiles()
    log = SegmentedLog(files, "l")
    told: list[tuple[int, bool]] = []
    files.hold = True
    for k in range(4):
        log.append(b"%d" % k, lambda error, k=k: told.append((k, error is None)))  # type: ignore[misc]
    assert (told, len(files.held), log.durable) == ([], 1, 0)
    files.release()
    assert (told, log.durable) == ([(0, True)], 1)
    files.broken = True
    files.release()
    assert told == [(0, True), (1, False), (2, False), (3, False)]
    files.hold = files.broken = False
    log.append(b"later", lambda error: told.append((9, error is None)))
    assert told[-1] == (9, False)
    assert entries(files) == [(1, b"0")]
