"""Owners of the sessions at a box, which arbitrates between directors. No I/O, no clock.

    session   event                                              next         what is done
    (none)    set-up of a run that is not fenced                 owned        by its sender, term 1
    (none)    set-up of a run that is fenced                     (none)       refused: it can never run
    owned     takeover, owner and run as stated, not heard
              from the owner, or `certain`                       owned        by the new owner, term + 1
    owned     takeover, owner or run differ                      owned        nothing
    owned     a command of its owner                             owned        carried out
    owned     a command of another director                      owned        409
    owned     it ends                                            remembered   for ENDED_MEMORY_S

A takeover fences the former owner's runs up to the stated one, for known and unknown sessions: a set-up that
was on its way is either found here or can never run. Fences only rise: one entry for each director is enough.

A takeover that names no run fences the latest one that the box knows. A new run opens its stream only after
its first requests. So such a takeover counts the owner as heard from for RECENT_REQUEST_MS after a request.
"""

from __future__ import annotations

from dataclasses import dataclass, field

ENDED_MEMORY_S = 600.0
MAX_REMEMBERED_ENDS = 100_000
RECENT_REQUEST_MS = 2000  # shorter than the time between two takeovers that name no run
MAX_REPORTED_LOSSES = 1000  # sessions that one director lost to others


@dataclass(slots=True)
class Owned:
    """A session's owner. `since_ms`: Unix ms; `taken`: by a takeover and not by its set-up."""

    name: str
    run: int
    since_ms: int
    term: int = 1
    taken: bool = False


@dataclass(frozen=True, slots=True)
class Taken:
    """Result of a takeover: set-ups whose owner changed; whether more are left."""

    set_ups: tuple[str, ...]
    more: bool


@dataclass(slots=True)
class Owners:
    """The owners of one box's sessions, kept until its process ends."""

    sessions: dict[str, Owned] = field(default_factory=dict)
    fences: dict[str, int] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)
    last_request_ms: dict[str, int] = field(default_factory=dict)  # of a run that is not fenced
    streams: dict[str, int] = field(default_factory=dict)  # runs that have a notice stream open
    ended: dict[str, int] = field(default_factory=dict)  # when, Unix ms; in order
    # by old owner and set-up: when it was taken, and by whom
    lost: dict[str, dict[str, tuple[int, str]]] = field(default_factory=dict)
    forgot_ms: int = 0  # time of the latest end that was dropped

    def fenced(self, name: str, run: int, now_ms: int) -> bool:
        """Whether requests of this run are refused; if not, the run and the request's time are recorded."""
        if run <= self.fences.get(name, 0):
            return True
        self.seen[name] = max(run, self.seen.get(name, 0))
        self.last_request_ms[name] = now_ms
        return False

    def hears_from(self, name: str, upto: int, now_ms: int) -> bool:
        """Whether a takeover from this director up to a run, 0 for any, finds it alive unless `certain`."""
        if name in self.streams:
            return True
        since_ms = now_ms - self.last_request_ms.get(name, now_ms - RECENT_REQUEST_MS)
        return not upto and 0 <= since_ms < RECENT_REQUEST_MS

    def begin(self, set_up: str, name: str, run: int, now_ms: int) -> None:
        """A session has begun."""
        self.sessions[set_up] = Owned(name, run, now_ms)

    def over(self, set_up: str, now_ms: int) -> None:
        """A session has ended."""
        if self.sessions.pop(set_up, None) is None:
            return
        self.ended[set_up] = now_ms
        while self.ended:
            first, at = next(iter(self.ended.items()))
            if at > now_ms - ENDED_MEMORY_S * 1000 and len(self.ended) <= MAX_REMEMBERED_ENDS:
                break
            self.forgot_ms = max(self.forgot_ms, at)
            del self.ended[first]

    def may_command(self, set_up: str, name: str, run: int) -> bool:
        """Whether the sender owns the session. True for unknown sessions: the caller handles those."""
        owned = self.sessions.get(set_up)
        return owned is None or (owned.name, owned.run) == (name, run)

    def take(
        self, of: str, upto: int, by: str, run: int, now_ms: int, only: str | None = None, most: int = 1000
    ) -> Taken:
        """Change the owner of matching sessions. The caller has checked `streams` and `fenced`."""
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
                while len(told) > MAX_REPORTED_LOSSES:
                    del told[next(iter(told))]
            self.sessions[set_up] = Owned(
                by, run, owned.since_ms if of == by else now_ms, owned.term + 1, True
            )
        return Taken(tuple(found[:most]), len(found) > most)

    def became(self, set_up: str, by: str) -> tuple[str, str]:
        """State and owner of a set-up. `never` is final once its run is fenced."""
        owned = self.sessions.get(set_up)
        if owned is not None:
            return ("yours" if owned.name == by else "other"), owned.name
        return ("ended" if set_up in self.ended else "never"), ""
