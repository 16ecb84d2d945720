"""What a director's disk keeps for the fleet: registers that it holds, its own runs, runs of others it met.

Records are JSON, one an entry: `{"k": "b", "r": at}` the file's beginning (Unix ms, 0 for a first one),
`{"k": "r", "v": record}` a register, `{"k": "m", "n": name, "r": run, "p": run}` a director's run, its own
among them, and the one before it.
The file is written anew at the start and whenever most of it is out of date.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from foxlift.consensus import Record
from foxlift.store import FilePort, LogError, LogReader, encode_frame, encode_header
from foxlift.store.groups import GroupWriter

NAME = "registers.log"
LEAST_RECORDS = 4096  # in the file before it is written anew while the director runs


class _Entry(msgspec.Struct, omit_defaults=True):
    k: str
    n: str = ""
    r: int = 0
    p: int = 0
    v: Record | None = None


class RegisterBook:
    """The file of one director. `records` is shared with the holder, which forgets what is over."""

    def __init__(self, files: FilePort, name: str, now_ms: int) -> None:
        """Reads the file and begins a new run. Raises OSError and LogError.

        `run` is above any that this file has seen, and above that of an earlier clock: a lost file or a clock
        that was set back is what `foxlift.recovery.standing` finds out.
        """
        self._name, self._count = name, 0
        self.records: dict[str, Record] = {}
        self.met: dict[str, tuple[int, int]] = {}  # by name: its run, and the one before
        self.begun_at = 0
        self.fresh = self._load(files)
        self.last_run = self.met.get(name, (0, 0))[0]
        self.run = max(now_ms, self.last_run + 1)
        self.met[name] = self.run, self.last_run
        files.replace(NAME, self._whole())
        self._writer = GroupWriter(files, NAME)

    def _load(self, files: FilePort) -> bool:
        data = files.read(NAME)
        if data is None:
            return True
        reader = LogReader(NAME, data)
        for number, payload in enumerate(reader.payloads, 1):
            try:
                entry = msgspec.json.decode(payload, type=_Entry)
            except msgspec.MsgspecError as error:
                raise LogError(f"{NAME}: record {number}: {error}") from error
            if entry.k == "b":
                self.begun_at = entry.r
            elif entry.k == "m":
                self.met[entry.n] = max((entry.r, entry.p), self.met.get(entry.n, (0, 0)))
            elif entry.v is not None:
                self.records[entry.v.key] = entry.v
        return False

    def _whole(self) -> bytes:
        self._count = 0
        entries = [_Entry("b", r=self.begun_at)]
        entries += [_Entry("m", name, *runs) for name, runs in sorted(self.met.items())]
        entries += [_Entry("r", v=record) for record in self.records.values()]
        return encode_header() + b"".join(map(self._frame, entries))

    def _frame(self, entry: _Entry) -> bytes:
        self._count += 1
        return encode_frame(self._count, msgspec.json.encode(entry))

    def _append(self, entry: _Entry, done: Callable[[OSError | None], None]) -> None:
        if self._count > max(LEAST_RECORDS, 4 * len(self.records)):
            self._writer.replace(self._whole())
        self._writer.append(self._frame(entry), done)

    def keep(self, record: Record, done: Callable[[OSError | None], None]) -> None:
        """Make a register's record last; it must be in `records` already."""
        self._append(_Entry("r", v=record), done)

    def renew(self, now_ms: int, done: Callable[[OSError | None], None]) -> None:
        """Begin another run of this very process: `run` is the new one from here on."""
        before, self.run = self.run, max(now_ms, self.run + 1)
        self.met[self._name] = self.run, before
        self._append(_Entry("m", self._name, self.run, before), done)

    def meet(self, name: str, run: int, done: Callable[[int | None], None]) -> None:
        """Make it last that `name` is in this run; tells which it was in before, None if the disk failed.

        Told again it says the same again: an answer may have been lost.
        """
        known, before = self.met.get(name, (0, 0))
        if run < known:
            done(known)  # of a process that is no more
            return
        if run > known:
            before = known
            self.met[name] = run, before
        self._append(_Entry("m", name, run, before), lambda error: done(before if error is None else None))

    def begin_anew(self, at_ms: int) -> None:
        """What was here may be lost or old: nothing that may be older than this moment is vouched for."""
        self.begun_at = at_ms
        self._append(_Entry("b", r=at_ms), lambda error: None)

    @property
    def flushed(self) -> bool:
        """Whether nothing waits to be written."""
        return self._writer.flushed

    def close(self) -> None:
        """Let go of the file."""
        self._writer.close()
