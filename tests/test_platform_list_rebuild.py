"""The server list read again from event 0, in any order of unreadable frames, breaks and whole lists.

Guards against events that are passed over because their numbers are not above the last one known.
"""

from __future__ import annotations

import random

import pytest

from foxlift import interface as fl
from foxlift.platform import discovery_watch
from foxlift.platform.settings import Address, ListedServer, ListUpdate

Statuses = dict[int, fl.Status]


def change(number: int, node: int, status: fl.Status, full: bool = False) -> ListUpdate:
    return ListUpdate(number, full, (listed(node, status),))


def listed(node: int, status: fl.Status) -> ListedServer:
    return ListedServer(fl.NodeInfo(node, 0, 0, 0, status), Address("10.0.0.9", node))


class Director:
    """A watch and the list that it delivers."""

    def __init__(self) -> None:
        self.watch = discovery_watch.DiscoveryWatch(Address("10.0.0.1", 4222), 0, 1)
        self.servers: Statuses = {}
        self.removed: set[int] = set()  # servers that a delivered list has ever taken out
        self.asked_from: int | None = None  # of the present call; None: there is none
        self.now = 0.0
        self._timer = 0
        self._carry_out(self.watch.start())
        self.connect()

    def connect(self) -> None:
        while self.asked_from is None:
            self.now += 1000.0
            self.handle(discovery_watch.TimerExpired(self._timer))
            self.handle(discovery_watch.ConnectionOpened())

    def receive(self, *frames: discovery_watch.Frame) -> None:
        self.handle(discovery_watch.FramesReceived(frames))

    def invalid_frame(self) -> None:
        self._carry_out(self.watch.resynchronize())

    def handle(self, event: discovery_watch.Event) -> None:
        self._carry_out(self.watch.handle(self.now, event))

    def _carry_out(self, actions: list[discovery_watch.Action]) -> None:
        for action in actions:
            match action:
                case discovery_watch.RequestUpdates(data):
                    self.asked_from = int.from_bytes(data, "big")
                case discovery_watch.CloseConnection():
                    self.asked_from = None
                case discovery_watch.StartTimer(_, timer_id):
                    self._timer = timer_id
                case discovery_watch.DeliverUpdate(update):
                    self._apply(update)

    def _apply(self, update: ListUpdate) -> None:
        before = dict(self.servers)
        if update.full:
            self.servers = {}
        for server in update.servers:
            if server.info.status is fl.Status.GONE:
                self.servers.pop(server.info.node, None)
            else:
                self.servers[server.info.node] = server.info.status
        self.removed |= before.keys() - self.servers.keys()


def frames_of(*updates: ListUpdate) -> list[discovery_watch.Frame]:
    return [discovery_watch.Frame(update.number, update) for update in updates]


LOG = (
    change(1, 1, fl.Status.READY, full=True),
    change(2, 2, fl.Status.READY),
    change(3, 1, fl.Status.DRAINING),
    change(4, 3, fl.Status.READY),
)
IN_FORCE = {1: fl.Status.DRAINING, 2: fl.Status.READY, 3: fl.Status.READY}


def unreadable_until_the_list_is_requested(director: Director) -> None:
    for _ in range(discovery_watch.MAX_MISREADS):
        director.invalid_frame()
        director.connect()
    assert director.asked_from == 0


@pytest.mark.parametrize("at_once", [True, False])
def test_events_after_the_first_list_are_applied_when_it_is_read_again(at_once: bool) -> None:
    director = Director()
    director.receive(*frames_of(*LOG))
    assert director.servers == IN_FORCE
    unreadable_until_the_list_is_requested(director)
    if at_once:
        director.receive(*frames_of(*LOG))
    else:
        for frame in frames_of(*LOG):
            director.receive(frame)
            # the drain is never forgotten, and no server is taken out for a moment
            assert director.servers == IN_FORCE
    assert director.servers == IN_FORCE and director.watch.number == 4 and not director.removed
    director.receive(*frames_of(change(5, 2, fl.Status.DRAINING)))
    assert director.servers[2] is fl.Status.DRAINING


@pytest.mark.parametrize("numbered", [True, False], ids=["last event's number", "another number"])
def test_numbers_that_have_stepped_back_are_taken_over(numbered: bool) -> None:
    """The coordinator has fewer events than were known: its empty frames tell that there are no more."""
    director = Director()
    director.receive(*frames_of(*LOG))
    unreadable_until_the_list_is_requested(director)
    director.receive(*frames_of(change(1, 7, fl.Status.READY, full=True), change(2, 8, fl.Status.READY)))
    for _ in range(1 if numbered else 2):
        director.receive(discovery_watch.Frame(2 if numbered else 0, None))
    assert director.servers == {7: fl.Status.READY, 8: fl.Status.READY} and director.watch.number == 2


class RandomCoordinator:
    """Tells a director of random events, with whatever can go wrong on the way."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.director = Director()
        self.log = [change(1, 1, fl.Status.READY, full=True)]
        self.in_force: Statuses = {1: fl.Status.READY}
        self.sent = 0  # events that the present call has got

    def step(self) -> None:
        steps = [self.tell, self.tell, self.deliver_some, self.empty_frame]
        if self.director.asked_from is not None:
            steps += [self.director.invalid_frame, self.director.invalid_frame, self.break_off]
            steps += [self.repeat] if self.sent else []
        self.chance.choice(steps)()

    def tell(self) -> None:
        node, status = self.chance.randrange(1, 6), self.chance.choice(list(fl.Status))
        if whole := self.chance.random() < 0.1:
            self.in_force.clear()
            status = fl.Status.READY
        self.log.append(change(len(self.log) + 1, node, status, whole))
        if status is fl.Status.GONE:
            self.in_force.pop(node, None)
        else:
            self.in_force[node] = status

    def deliver_some(self) -> None:
        self.deliver(self.chance.randrange(1, 5))

    def deliver(self, count: int) -> None:
        if self.director.asked_from is None:
            self.director.connect()
            self.sent = self.director.asked_from or 0
        for update in self.log[self.sent : self.sent + count]:
            self.director.receive(*frames_of(update))
            self.sent += 1

    def empty_frame(self) -> None:
        self.director.receive(discovery_watch.Frame(len(self.log), None))

    def break_off(self) -> None:
        self.director.asked_from = None
        self.director.handle(discovery_watch.ConnectionClosed())

    def repeat(self) -> None:
        self.director.receive(*frames_of(self.log[self.sent - 1]))


@pytest.mark.parametrize("seed", range(200))
def test_the_list_in_force_is_known_after_any_order_of_events(seed: int) -> None:
    """Unreadable frames, breaks, repeated frames, empty ones and whole lists, then quiet."""
    coordinator = RandomCoordinator(seed)
    for _ in range(coordinator.chance.randrange(5, 80)):
        coordinator.step()
    coordinator.deliver(len(coordinator.log))
    coordinator.empty_frame()
    assert coordinator.director.servers == coordinator.in_force
