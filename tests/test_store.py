"""The log formats and the intent log: truncated, torn and damaged files, and disk errors."""

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


def test_a_log_truncated_at_any_byte_keeps_exactly_the_whole_records() -> None:
    for cut in range(len(LOG) + 1):
        reader = LogReader("log", LOG[:cut])
        whole = sum(1 for end in ENDS[1:] if end <= cut)
        assert reader.payloads == PAYLOADS[:whole]
        assert reader.valid_bytes + reader.torn_bytes == cut


def test_a_flipped_bit_in_any_byte_is_detected() -> None:
    for at in range(len(LOG)):
        damaged = bytearray(LOG)
        damaged[at] ^= 0x40
        try:
            found = LogReader("log", bytes(damaged)).payloads
        except LogError as error:
            assert str(error).startswith("log: ")
        else:
            # damage in the last record looks like a torn tail: that record is dropped, the others are read
            assert at >= ENDS[-2]
            assert found == PAYLOADS[:-1]


def test_foreign_files_newer_formats_and_too_large_records_are_rejected() -> None:
    with pytest.raises(LogError, match="not a log of this program"):
        LogReader("log", b"SQLite format 3\0" + b"\0" * 50)
    newer = b"FOXLLOG1" + (9).to_bytes(4, "little")
    import google_crc32c

    with pytest.raises(LogError, match="newer program"):
        LogReader("log", newer + int(google_crc32c.value(newer)).to_bytes(4, "little"))
    with pytest.raises(LogError, match=r"record too large: 2097152 bytes; 1048576 are allowed"):
        encode_frame(1, b"y" * (1 << 21))


def open_intent_log(files: MemoryFiles, now: float = 0.0) -> IntentLog:
    return IntentLog(files, now)


def record_intent(intent_log: IntentLog, token: str, expires: int = 100) -> list[OSError | None]:
    results: list[OSError | None] = []
    intent_log.record_intent(Intent(token, expires, "b1", f"d-{token}-0"), results.append)
    return results


def test_an_intent_without_outcome_may_have_run() -> None:
    files = MemoryFiles()
    intent_log = open_intent_log(files)
    assert record_intent(intent_log, "a") == [None]
    assert record_intent(intent_log, "b") == [None]
    assert record_intent(intent_log, "c") == [None]
    intent_log.record_outcome("b", IntentOutcome.NEVER_RAN)
    intent_log.record_outcome("c", IntentOutcome.STARTED)
    reopened = open_intent_log(files)
    assert {t: k.outcome for t, k in reopened.recovered.items()} == {
        "a": IntentOutcome.MAY_HAVE_RUN,
        "c": IntentOutcome.STARTED,
    }
    assert reopened.recovered["a"].box == "b1"
    # the log rewritten at the start reads the same
    assert open_intent_log(files).recovered == reopened.recovered


def test_expired_intents_are_dropped_at_a_restart() -> None:
    files = MemoryFiles()
    record_intent(open_intent_log(files), "a", expires=100)
    assert set(open_intent_log(files, 99.0).recovered) == {"a"}
    assert set(open_intent_log(files, 100.0).recovered) == set()
    assert set(open_intent_log(files, 0.0).recovered) == set()


def test_an_intent_log_truncated_at_any_byte_keeps_every_acknowledged_intent() -> None:
    files = MemoryFiles()
    intent_log = open_intent_log(files)
    sizes = {}
    for token in "abc":
        record_intent(intent_log, token)
        sizes[token] = len(files.data["intents.log"])
    data = files.data["intents.log"]
    for cut in range(len(data) + 1):
        reopened = open_intent_log(MemoryFiles({"intents.log": data[:cut]}))
        assert set(reopened.recovered) == {token for token, size in sizes.items() if size <= cut}


def test_intents_are_grouped_during_a_sync_and_acknowledged_only_when_durable() -> None:
    files = MemoryFiles()
    intent_log = open_intent_log(files)
    files.hold = True
    first, second, third = (
        record_intent(intent_log, "a"),
        record_intent(intent_log, "b"),
        record_intent(intent_log, "c"),
    )
    assert (first, second, third) == ([], [], [])
    assert len(files.held) == 1
    files.release()
    assert (first, second, third) == ([None], [], [])
    files.release()
    assert (second, third) == ([None], [None])


def test_after_a_disk_error_the_intent_log_stays_failed() -> None:
    files = MemoryFiles()
    intent_log = open_intent_log(files)
    files.broken = True
    results = record_intent(intent_log, "a")
    assert [type(error) for error in results] == [OSError]
    assert intent_log.failed is not None


@given(st.binary(max_size=120))
def test_any_bytes_are_read_or_rejected(data: bytes) -> None:
    try:
        intent_log = open_intent_log(MemoryFiles({"intents.log": data}))
    except LogError:
        return
    assert intent_log.recovered == {}


def test_a_real_file_is_durable_and_writes_nothing_after_a_failure(tmp_path: Path) -> None:
    async def main() -> None:
        files = DiskFiles(tmp_path / "state", asyncio.get_running_loop())
        intent_log = IntentLog(files, 0.0)
        done = asyncio.get_running_loop().create_future()
        intent_log.record_intent(Intent("a", 100, "b1", "d-1-0"), done.set_result)
        assert await done is None
        intent_log.close()
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


def test_a_file_is_replaced_atomically(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
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


# ---- Segmented log ----------------------------------------------------------------------------------------
def entries(files: MemoryFiles, after: int = 0) -> list[tuple[int, bytes]]:
    return [(entry.sequence, entry.payload) for entry in read_log(files, "l", after)]


def test_a_log_continues_across_segments_and_restarts() -> None:
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


def test_a_last_segment_truncated_at_any_byte_keeps_its_whole_records_and_continues() -> None:
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
        reopened = SegmentedLog(damaged, "l", segment_bytes=100)
        assert reopened.last_sequence == len(kept)
        reopened.append(b"more")
        assert entries(damaged) == [(k, b"record %d" % k) for k in kept] + [(len(kept) + 1, b"more")]


def test_a_missing_or_truncated_segment_before_others_is_reported() -> None:
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


def test_appends_wait_for_the_running_sync_and_all_fail_after_an_error() -> None:
    files = MemoryFiles()
    log = SegmentedLog(files, "l")
    results: list[tuple[int, bool]] = []
    files.hold = True
    for k in range(4):
        log.append(b"%d" % k, lambda error, k=k: results.append((k, error is None)))  # type: ignore[misc]
    assert (results, len(files.held), log.durable) == ([], 1, 0)
    files.release()
    assert (results, log.durable) == ([(0, True)], 1)
    files.broken = True
    files.release()
    assert results == [(0, True), (1, False), (2, False), (3, False)]
    files.hold = files.broken = False
    log.append(b"later", lambda error: results.append((9, error is None)))
    assert results[-1] == (9, False)
    assert entries(files) == [(1, b"0")]
