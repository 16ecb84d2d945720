"""The server list as the coordinator tells it from its first event on, applied as a whole. No I/O.

A list that is read again from event 0 begins with an old state. Applied one event at a time, it would take
servers out that were added since, with their sessions, and let draining ones be used. So the events are
collected until they reach the last one that was known, or until the coordinator has nothing more.
"""

from __future__ import annotations

from dataclasses import dataclass

from foxlift import interface as fl
from foxlift.platform.settings import ListedServer, ListUpdate


@dataclass(slots=True)
class ListRebuild:
    """The servers by the events collected so far. `target`: the last event that was known before."""

    number: int  # of the last event collected
    target: int
    servers: dict[int, ListedServer]
    empty_frames: int = 0  # consecutive ones since the last event

    @classmethod
    def begin(cls, whole: ListUpdate, target: int) -> ListRebuild:
        """Begin with a whole list."""
        rebuild = cls(whole.number, target, {})
        rebuild.add(whole)
        return rebuild

    def add(self, update: ListUpdate) -> None:
        """Add the next event."""
        self.number, self.empty_frames = update.number, 0
        if update.full:
            self.servers.clear()
        for server in update.servers:
            if server.info.status is fl.Status.GONE:
                self.servers.pop(server.info.node, None)
            else:
                self.servers[server.info.node] = server

    def empty_frame(self, number: int) -> None:
        """Note that the coordinator sent an empty frame with this number."""
        self.empty_frames += 1
        if number == self.number:
            self.target = number

    @property
    def is_complete(self) -> bool:
        """Whether no further event is to be expected; one in between two empty frames is told at once."""
        return self.number >= self.target or self.empty_frames >= 2

    def result(self) -> ListUpdate:
        """Return the whole list."""
        return ListUpdate(self.number, True, tuple(self.servers.values()))
