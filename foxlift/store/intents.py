"""The record of paid set-ups: an intent is durable before its set-up leaves the director.

After a kill, an intent without outcome means that the set-up may have run: that token is never set up again.
Outcomes are written with the next group and need not last: losing one only makes a token more careful.
Records are JSON, one an entry: `{"k": "i", "t": token id, "x": expiry (Unix s), "b": box, "s": set-up id}`
and `{"k": "o", "t": token id, "v": outcome}`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from foxlift.store.files import FilePort
from foxlift.store.groups import GroupWriter
from foxlift.store.log import LogError, LogReader, encode_frame, encode_header

LOG_NAME = "intents.log"


class IntentOutcome(Enum):
    """What became of an intent."""

    NEVER_RAN = "never"
    MAY_HAVE_RUN = "may"
    STARTED = "started"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Intent:
    """A paid set-up about to be sent. `expires`: when its token can start nothing any more, Unix seconds."""

    token: str
    expires: int
    box: str
    set_up: str
    tenant: str = ""
    klass: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredIntent:
    """A token as the record shows it after a restart."""

    token: str
    expires: int
    box: str
    set_up: str
    outcome: IntentOutcome
    tenant: str = ""
    klass: str = ""


class _Record(msgspec.Struct, omit_defaults=True):
    k: str
    t: str
    x: int = 0
    b: str = ""
    s: str = ""
    v: str = ""
    n: str = ""
    c: str = ""


class IntentLog:
    """Writes intents in groups: while one sync runs, what comes gathers for the next.

    Once the disk has failed, every later intent fails at once: no paid set-up leaves without its record.
    """

    def __init__(self, files: FilePort, keep_from: float) -> None:
        """Reads the record and writes it anew without what expired by `keep_from` (Unix s).

        Expired intents are kept until the ledger has them for certain: a director that was down past a
        token's expiry still owes its attempt. Raises OSError and LogError.
        """
        self._files = files
        self.recovered = self._load(keep_from)
        self._sequence = 0
        self._rewrite()
        self._writer = GroupWriter(files, LOG_NAME)

    @property
    def failed(self) -> OSError | None:
        """What the disk failed with, for good."""
        return self._writer.failed

    def _load(self, keep_from: float) -> dict[str, RecoveredIntent]:
        data = self._files.read(LOG_NAME)
        known: dict[str, RecoveredIntent] = {}
        if data is None:
            return known
        reader = LogReader(LOG_NAME, data)
        for number, payload in enumerate(reader.payloads, 1):
            try:
                record = msgspec.json.decode(payload, type=_Record)
                if record.k == "i":
                    known[record.t] = RecoveredIntent(
                        record.t, record.x, record.b, record.s, IntentOutcome.MAY_HAVE_RUN, record.n, record.c
                    )
                elif record.t in known:
                    known[record.t] = replace(known[record.t], outcome=IntentOutcome(record.v))
            except (msgspec.MsgspecError, ValueError) as error:
                raise LogError(f"{LOG_NAME}: record {number}: {error}") from error
        spent = {t: k for t, k in known.items() if k.outcome is not IntentOutcome.NEVER_RAN}
        return {t: k for t, k in spent.items() if k.expires > keep_from}

    def _rewrite(self) -> None:
        """Start a log that holds only what still matters: it is bounded by tokens that have not expired."""
        data = encode_header()
        for known in self.recovered.values():
            data += self._frame(
                _Record(
                    "i", known.token, known.expires, known.box, known.set_up, n=known.tenant, c=known.klass
                )
            )
            if known.outcome is not IntentOutcome.MAY_HAVE_RUN:
                data += self._frame(_Record("o", known.token, v=known.outcome.value))
        self._files.replace(LOG_NAME, data)

    def _frame(self, record: _Record) -> bytes:
        self._sequence += 1
        return encode_frame(self._sequence, msgspec.json.encode(record))

    def record_intent(self, intent: Intent, done: Callable[[OSError | None], None]) -> None:
        """Record an intent; `done(None)` once it is durable. Never called from inside `record_intent`."""
        record = _Record(
            "i", intent.token, intent.expires, intent.box, intent.set_up, n=intent.tenant, c=intent.klass
        )
        self._writer.append(self._frame(record), done)

    def record_outcome(self, token: str, outcome: IntentOutcome) -> None:
        """Record what became of it, with the next group."""
        self._writer.append(self._frame(_Record("o", token, v=outcome.value)))

    @property
    def flushed(self) -> bool:
        """Whether nothing waits to be written."""
        return self._writer.flushed

    def close(self) -> None:
        """Let go of the file; what waits to be written fails: flush before."""
        self._writer.close()
