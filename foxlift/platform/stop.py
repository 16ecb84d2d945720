"""Decides when a director that received a stop signal may exit. No I/O.

    state     event                                   next      action
    SERVING   begin                                   DRAINING
    DRAINING  check, requests may still arrive        DRAINING
    DRAINING  check, work is pending                  DRAINING
    DRAINING  check, FINAL_ANSWERS_MS before the kill DRAINING  answer every open request
    DRAINING  check, nothing pending or out of time   CHECKING  check the sockets again
    CHECKING  check, new input, not out of time       CHECKING  the count of quiet checks starts again
    CHECKING  check, work is pending, not out of time DRAINING
    CHECKING  MIN_QUIET_CHECKS checks, nothing new    ENDED     exit

Several quiet checks are needed because a request may still lie in the kernel's buffers or accept queue after
all received requests are answered, and such a request counts as accepted. One iteration of the loop accepts a
connection, the next reads it, the next sees its end.

Open requests are answered shortly before the kill, as only answers sent before it count. The platform kills a
director ARRIVAL_WINDOW_MS plus its longest deadline (at most `MAX_DEADLINE_MS`) after the stop signal.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

ARRIVAL_WINDOW_MS = 700.0  # by the protocol page, requests may arrive this long after the stop signal
MAX_DEADLINE_MS = 3000.0  # the protocol page caps deadlines at this value for the stop
ARRIVAL_SLACK_MS = 250.0
FINAL_ANSWERS_MS = 200.0  # before the kill: requests still open are answered
FINAL_WRITES_MS = 100.0  # before the kill: exit even with unsent bytes
MIN_QUIET_CHECKS = 5  # consecutive iterations of the loop without new input


class State(Enum):
    """State of a stopping director."""

    SERVING = "serving"
    DRAINING = "staying"
    CHECKING = "looking"
    ENDED = "ended"


class Step(Enum):
    """Result of a check."""

    WAIT = "wait for the next look in its own time"
    ANSWER = "answer what is open, then as LOOK"
    CHECK = "look at the sockets once more, then here again"
    END = "end"


@dataclass(frozen=True, slots=True)
class PendingWork:
    """What is pending at a check, and how much input was received."""

    unanswered: int  # requests accepted and not answered
    unsent: int  # bytes and messages not yet accepted by the kernel, connections with unhandled messages
    received: int  # number of connections and reads; more than at the last check means new input


class GracefulStop:
    """Decides when the process exits. `deadlines`: deadlines of the session classes, ms."""

    def __init__(self, deadlines: Iterable[float]) -> None:
        self.killed_after_ms = min(max(deadlines, default=0.0), MAX_DEADLINE_MS) + ARRIVAL_WINDOW_MS
        self.state = State.SERVING
        self._stop_at = 0.0
        self._received = -1
        self._quiet_checks = 0  # consecutive checks without new input

    def begin(self, now: float) -> bool:
        """Handle the stop signal. Return False if it was received before. `now` in ms."""
        if self.state is not State.SERVING:
            return False
        self.state, self._stop_at = State.DRAINING, now
        return True

    def check(self, now: float, pending: PendingWork) -> Step:
        """Return the next step after the sockets have been read. `now` in ms."""
        if self.state in (State.SERVING, State.ENDED):
            return Step.WAIT
        elapsed_ms = now - self._stop_at
        remaining_ms = self.killed_after_ms - elapsed_ms
        if remaining_ms <= FINAL_ANSWERS_MS and pending.unanswered:
            return Step.ANSWER
        out_of_time = remaining_ms <= FINAL_WRITES_MS
        if elapsed_ms < min(
            ARRIVAL_WINDOW_MS + ARRIVAL_SLACK_MS, self.killed_after_ms - FINAL_ANSWERS_MS
        ) or ((pending.unanswered or pending.unsent) and not out_of_time):
            self.state, self._quiet_checks = State.DRAINING, 0
            return Step.WAIT
        new, self._received = pending.received != self._received, pending.received
        self._quiet_checks = 0 if new and not out_of_time else self._quiet_checks + 1
        if self._quiet_checks >= MIN_QUIET_CHECKS:
            self.state = State.ENDED
            return Step.END
        self.state = State.CHECKING
        return Step.CHECK
