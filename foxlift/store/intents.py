"""The log of paid set-ups: an intent is durable before its set-up is sent.

After a crash, an intent without an outcome means that the set-up may have run: its token is never set up
again. Outcomes are written with the next group and need not be durable: if one is lost, its token counts as
one that may have run. Records are JSON, one in each frame: `{"k": "i", "t": token id, "x": expiry (Unix s),
"b": box, "s": set-up id}` and `{"k": "o", "t": token id, "v": outcome}`.
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
    """The outcome of a recorded set-up."""

    NEVER_RAN = "never"
    MAY_HAVE_RUN = "may"
    STARTED = "started"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Intent:
    """A paid set-up that is about to be sent. `expires`: from when its token starts nothing (Unix s)."""

    token: str
    expires: int
    box: str
    set_up: str
    tenant: str = ""
    klass: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredIntent:
    """An intent and its outcome, as read from the log after a restart."""

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
    """The log of intents, written in groups: see `GroupWriter`.

    After a disk error every later intent fails at once: no paid set-up is sent without a durable intent.
    """

    def __init__(self, files: FilePort, keep_from: float) -> None:
        """Reads the log and rewrites it without the intents that expired up to `keep_from` (Unix s).

        Expired intents stay until the ledger certainly has them: a director that was down past the expiry of
        a token must still charge its attempt. Raises OSError and LogError.
        """
        self._files = files
        self.recovered = self._load(keep_from)
        self._sequence = 0
        self._rewrite()
        self._writer = GroupWriter(files, LOG_NAME)

    @property
    def failed(self) -> OSError | None:
        """The disk error after which nothing more is written, None if there was none."""
        return self._writer.failed

    def _load(self, keep_from: float) -> dict[str, RecoveredIntent]:
        data = self._files.read(LOG_NAME)
        intents: dict[str, RecoveredIntent] = {}
        if data is None:
            return intents
        reader = LogReader(LOG_NAME, data)
        for number, payload in enumerate(reader.payloads, 1):
            try:
                record = msgspec.json.decode(payload, type=_Record)
                if record.k == "i":
                    intents[record.t] = RecoveredIntent(
                        record.t, record.x, record.b, record.s, IntentOutcome.MAY_HAVE_RUN, record.n, record.c
                    )
                elif record.t in intents:
                    intents[record.t] = replace(intents[record.t], outcome=IntentOutcome(record.v))
            except (msgspec.MsgspecError, ValueError) as error:
                raise LogError(f"{LOG_NAME}: record {number}: {error}") from error
        started = {
            token: intent
            for token, intent in intents.items()
            if intent.outcome is not IntentOutcome.NEVER_RAN
        }
        return {token: intent for token, intent in started.items() if intent.expires > keep_from}

    def _rewrite(self) -> None:
        """Write a new log of the recovered intents only, so that its size is bounded by unexpired tokens."""
        data = encode_header()
        for intent in self.recovered.values():
            data += self._encode_record(
                _Record(
                    "i",
                    intent.token,
                    intent.expires,
                    intent.box,
                    intent.set_up,
                    n=intent.tenant,
                    c=intent.klass,
                )
            )
            if intent.outcome is not IntentOutcome.MAY_HAVE_RUN:
                data += self._encode_record(_Record("o", intent.token, v=intent.outcome.value))
        self._files.replace(LOG_NAME, data)

    def _encode_record(self, record: _Record) -> bytes:
        self._sequence += 1
        return encode_frame(self._sequence, msgspec.json.encode(record))

    def record_intent(self, intent: Intent, done: Callable[[OSError | None], None]) -> None:
        """Record an intent; `done(None)` once it is durable, `done(error)` if it may not be."""
        record = _Record(
            "i", intent.token, intent.expires, intent.box, intent.set_up, n=intent.tenant, c=intent.klass
        )
        self._writer.append(self._encode_record(record), done)

    def record_outcome(self, token: str, outcome: IntentOutcome) -> None:
        """Record the outcome of a token's intent with the next group."""
        self._writer.append(self._encode_record(_Record("o", token, v=outcome.value)))

    @property
    def flushed(self) -> bool:
        """Whether nothing is waiting to be written."""
        return self._writer.flushed

    def close(self) -> None:
        """Close the file. Records that are not yet written fail: wait for `flushed` first."""
        self._writer.close()
