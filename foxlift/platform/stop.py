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

ARRIVE_MS = 700.0  # after the word to stop: so long requests may still arrive, by the protocol page
MOST_DEADLINE_MS = 3000.0  # the page counts no deadline as longer here
STAY_SLACK_MS = 250.0
LAST_ANSWERS_MS = 200.0  # before the kill: what is still open is answered then
LAST_WRITES_MS = 100.0  # before the kill: an end with something unsent, for it cannot get any better
LOOKS = 5  # turns of the loop without anything new


class State(Enum):
    """Of a director as its end goes."""

    SERVING = "serving"
    STAYING = "staying"
    LOOKING = "looking"
    ENDED = "ended"


class Step(Enum):
    """What a look leads to."""

    WAIT = "wait for the next look in its own time"
    ANSWER = "answer what is open, then as LOOK"
    LOOK = "look at the sockets once more, then here again"
    END = "end"


@dataclass(frozen=True, slots=True)
class Owed:
    """What a director owes at a look, and how much it has heard so far."""

    unanswered: int  # requests taken and not answered
    unsent: int  # bytes or messages that are written and not taken by the machine
    heard: int  # connections and reads so far: more than at the last look means something came


class Stop:
    """Decides when the process ends. `deadlines`: of the settings' classes, ms."""

    def __init__(self, deadlines: Iterable[float]) -> None:
        self.killed_after_ms = min(max(deadlines, default=0.0), MOST_DEADLINE_MS) + ARRIVE_MS
        self.state = State.SERVING
        self._since = 0.0
        self._heard = -1
        self._quiet = 0  # looks in a row with nothing new

    def told(self, now: float) -> bool:
        """The word to stop came; False where it had come before. `now` in ms."""
        if self.state is not State.SERVING:
            return False
        self.state, self._since = State.STAYING, now
        return True

    def look(self, now: float, owed: Owed) -> Step:
        """The sockets were read; what to do now. `now` in ms."""
        if self.state in (State.SERVING, State.ENDED):
            return Step.WAIT
        stayed = now - self._since
        left = self.killed_after_ms - stayed
        if left <= LAST_ANSWERS_MS and owed.unanswered:
            return Step.ANSWER
        hurried = left <= LAST_WRITES_MS
        if stayed < min(ARRIVE_MS + STAY_SLACK_MS, self.killed_after_ms - LAST_ANSWERS_MS) or (
            (owed.unanswered or owed.unsent) and not hurried
        ):
            self.state, self._quiet = State.STAYING, 0
            return Step.WAIT
        new, self._heard = owed.heard != self._heard, owed.heard
        self._quiet = 0 if new and not hurried else self._quiet + 1
        if self._quiet >= LOOKS:
            self.state = State.ENDED
            return Step.END
        self.state = State.LOOKING
        return Step.LOOK
