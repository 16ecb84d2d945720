"""When a director that was told to stop may end. No I/O.

    state     event                                   next      what is done
    SERVING   Told                                    STAYING
    STAYING   Look, requests may still arrive         STAYING
    STAYING   Look, something is owed                 STAYING
    STAYING   Look, the last moments for answers      STAYING   every request still open gets its answer
    STAYING   Look, nothing owed or no time left      LOOKING   look at the sockets again
    LOOKING   Look, something came or is owed         STAYING   unless no time is left
    LOOKING   the LOOKS-th Look with nothing new      ENDED     end

Why the looks: when nothing is owed by what was read, a request may lie in the machine's buffers or in the
accept queue, and it was taken all the same. One turn of the loop accepts, the next reads, the next hears an
end.

Why the last moment: the platform kills a director its longest deadline (at most `MOST_DEADLINE_MS`) and
`ARRIVE_MS` after it told it to stop; what is answered by then has its answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

ARRIVAL_WINDOW_MS = 700.0  # after the word to stop: so long requests may still arrive, by the protocol page
MAX_DEADLINE_MS = 3000.0  # the page counts no deadline as longer here
ARRIVAL_SLACK_MS = 250.0
FINAL_ANSWERS_MS = 200.0  # before the kill: what is still open is answered then
FINAL_WRITES_MS = 100.0  # before the kill: an end with something unsent, for it cannot get any better
MIN_QUIET_CHECKS = 5  # turns of the loop without anything new


class State(Enum):
    """Of a director as its end goes."""

    SERVING = "serving"
    DRAINING = "staying"
    CHECKING = "looking"
    ENDED = "ended"


class Step(Enum):
    """What a look leads to."""

    WAIT = "wait for the next look in its own time"
    ANSWER = "answer what is open, then as LOOK"
    CHECK = "look at the sockets once more, then here again"
    END = "end"


@dataclass(frozen=True, slots=True)
class PendingWork:
    """What a director owes at a look, and how much it has heard so far."""

    unanswered: int  # requests taken and not answered
    unsent: int  # bytes or messages that are written and not taken by the machine
    received: int  # connections and reads so far: more than at the last look means something came


class GracefulStop:
    """Decides when the process ends. `deadlines`: of the settings' classes, ms."""

    def __init__(self, deadlines: Iterable[float]) -> None:
        self.killed_after_ms = min(max(deadlines, default=0.0), MAX_DEADLINE_MS) + ARRIVAL_WINDOW_MS
        self.state = State.SERVING
        self._stop_at = 0.0
        self._received = -1
        self._quiet_checks = 0  # looks in a row with nothing new

    def begin(self, now: float) -> bool:
        """The word to stop came; False where it had come before. `now` in ms."""
        if self.state is not State.SERVING:
            return False
        self.state, self._stop_at = State.DRAINING, now
        return True

    def check(self, now: float, pending: PendingWork) -> Step:
        """The sockets were read; what to do now. `now` in ms."""
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
