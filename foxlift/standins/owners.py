"""Whose each session at a box is: the box as arbiter between directors. No I/O; times are handed in.

    session   event                                            next          what is done
    (none)    set-up of a run that is not fenced               owned         by its sender, term 1
    (none)    set-up of a run that is fenced                   (none)        refused: it can never run
    owned     take, owner and run as stated, not heard any
              more or `certain`                                owned         by the taker, term + 1
    owned     take, owner or run another                       owned         nothing
    owned     a command of its owner                           owned         carried out
    owned     a command of anybody else                        owned         409
    owned     it ends                                          remembered    for MEMORY_S

A take fences the old owner's runs up to the stated one, for sessions that the box knows and for those that it
does not: a set-up that was on its way is either found here or can never run. Fences only rise, so there is
one entry a director, whatever becomes of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MEMORY_S = 600.0
MOST_REMEMBERED = 100_000
MOST_TAKEN_TOLD = 1000  # of one director's sessions that others took


@dataclass(slots=True)
class Owned:
    """A session's owner, since when (Unix ms); `taken`: not by its set-up, but by a take."""

    name: str
    run: int
    since_ms: int
    term: int = 1
    taken: bool = False


@dataclass(frozen=True, slots=True)
class Taken:
    """What a take brought: set-ups that changed hands; whether there are more."""

    set_ups: tuple[str, ...]
    more: bool


@dataclass(slots=True)
class Owners:
    """The owners of one box's sessions, as long as its process lives."""

    sessions: dict[str, Owned] = field(default_factory=dict)
    fences: dict[str, int] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)
    streams: dict[str, int] = field(default_factory=dict)  # runs that the box has a stream to
    ended: dict[str, int] = field(default_factory=dict)  # when, Unix ms; in order
    # by old owner and set-up: when it was taken, and by whom
    lost: dict[str, dict[str, tuple[int, str]]] = field(default_factory=dict)
    forgot_ms: int = 0  # the latest end that is remembered no more

    def fenced(self, name: str, run: int) -> bool:
        """Whether this run's set-ups and takes are refused; notes the run otherwise."""
        if run <= self.fences.get(name, 0):
            return True
        self.seen[name] = max(run, self.seen.get(name, 0))
        return False

    def begin(self, set_up: str, name: str, run: int, now_ms: int) -> None:
        """A session runs from now on."""
        self.sessions[set_up] = Owned(name, run, now_ms)

    def over(self, set_up: str, now_ms: int) -> None:
        """It runs no more."""
        if self.sessions.pop(set_up, None) is None:
            return
        self.ended[set_up] = now_ms
        while self.ended:
            first, at = next(iter(self.ended.items()))
            if at > now_ms - MEMORY_S * 1000 and len(self.ended) <= MOST_REMEMBERED:
                break
            self.forgot_ms = max(self.forgot_ms, at)
            del self.ended[first]

    def may_command(self, set_up: str, name: str, run: int) -> bool:
        """Whether a command of this sender counts; an unknown session is nobody's and not judged here."""
        owned = self.sessions.get(set_up)
        return owned is None or (owned.name, owned.run) == (name, run)

    def take(
        self, of: str, upto: int, by: str, run: int, now_ms: int, only: str | None = None, most: int = 1000
    ) -> Taken:
        """Compare and set. The caller has looked at `streams` and `fenced`."""
        upto = upto or (self.seen.get(of, 0) if of != by else 0)
        # what may still be on its way is fenced with the rest
        self.fences[of] = max(upto, self.fences.get(of, 0))
        found = [
            set_up
            for set_up, owned in self.sessions.items()
            if owned.name == of and owned.run <= upto and only in (None, set_up)
        ]
        for set_up in found[:most]:
            owned = self.sessions[set_up]
            self.lost.get(by, {}).pop(set_up, None)  # it may have been its once before
            if of != by:
                told = self.lost.setdefault(of, {})
                told[set_up] = (now_ms, by)
                while len(told) > MOST_TAKEN_TOLD:
                    del told[next(iter(told))]
            self.sessions[set_up] = Owned(
                by, run, owned.since_ms if of == by else now_ms, owned.term + 1, True
            )
        return Taken(tuple(found[:most]), len(found) > most)

    def became(self, set_up: str, by: str) -> tuple[str, str]:
        """What the box knows of a set-up, and whose it is; once its run is fenced, `never` is for good."""
        owned = self.sessions.get(set_up)
        if owned is not None:
            return ("yours" if owned.name == by else "other"), owned.name
        return ("ended" if set_up in self.ended else "never"), ""
