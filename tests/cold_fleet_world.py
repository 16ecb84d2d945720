"""A fleet of directors and media servers in virtual time that measures the load on cold servers.

The directors are the real decision module. The servers, their list, the viewers and the verdict follow the
operators' pages and share no code with the module. A server that has just started falls (stops working) when
the work that reaches it within `cold_window_ms` exceeds N + 2 x root of N + 2 requests of mean work. N is
`cold_multiple` times its pace times the window; the pace is `kind_slots / warm_up_ms`, times a share that
rises from `cold_from` to 1. The pages do not say how it rises: here evenly over `warm_up_ms`, the latest time
at which a server is warm, and each window is measured by the pace at its start. The rule is broken if more
than two thirds of the work at a server's first fall came from directors that had received its start in the
list, had seen it fail, or had started later.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from foxlift import interface as fl
from foxlift.logic import Director

CLASSES = (
    fl.SessionClass("lesson", fl.Repeat.ONCE, wanted_ms=1500, deadline_ms=3000, worth=3, top=2),
    fl.SessionClass("replay", fl.Repeat.FREE, wanted_ms=1000, deadline_ms=5000, worth=1, top=2),
)
CLASS_SHARE = (0.35, 0.65)
CLASS_WORK = (0.6, 1.215)  # work of a set-up relative to the mean; directors do not know it
SETTINGS = fl.Settings(
    director=0,
    directors=1,
    classes=CLASSES,
    ladder_kb=(200.0, 700.0, 2000.0),
    ladder_worth=(0.25, 0.6, 1.0),
    cells=8,
    racks=1,
    link_kb_per_weight=1e6,  # links are never full here
    kind_slots=(30,),
    answer_slack_ms=40.0,
    cold_from=0.4,
    warm_up_ms=12_000.0,
    cold_multiple=2.5,
    cold_window_ms=1500.0,
    tick_ms=10.0,
    max_attempts=5,
    come_back=True,
    come_back_max_ms=500.0,
)
HOLDERS = 3  # cells in a row that hold a title
SESSION_MS = 15_000.0  # mean length of a session
NETWORK_MS = (1.0, 8.0)  # from a director to a server, and back
SET_UP_MS = (40.0, 160.0)
RETURN_MS = (500.0, 3000.0)  # until a viewer requests again after a refusal or a break
RETURN_SHARE = 0.9
BUSY_INTERVAL = 6  # one director in six is busy: it gets BUSY_WEIGHT times as many requests
BUSY_WEIGHT = 5.0
CENTRAL_MS = 500.0  # how long a request may wait for a central dispatcher, and how often it is tried
CENTRAL_STEP_MS = 50.0
NOTICE_MS = (100.0, 1500.0)  # delay until a director receives a change of the list


@dataclass(frozen=True, slots=True)
class Plan:
    """Size and load of one run."""

    directors: int
    servers: int
    per_server: float = 0.6  # new viewers a second for each server
    popular: float = 0.0  # share of all viewers that want title 0
    seed: int = 1


@dataclass(slots=True)
class Arrival:
    """One set-up that reached a server."""

    at: float
    work: float
    informed: bool  # its director had received the start, saw the failure, or started later


@dataclass(slots=True)
class Server:
    """A media server: whether it runs, since when, and what reached it while it was cold."""

    info: fl.NodeInfo
    up: bool = True
    started: float = -math.inf
    ended: float = math.inf
    sessions: dict[int, int] = field(default_factory=dict)  # session to director
    recent: deque[Arrival] = field(default_factory=deque)
    cold_arrivals: int = 0
    fullest: float = 0.0  # most work within a window, over the limit
    fallen_informed: float | None = None  # share of the work from informed directors at the first fall


@dataclass(slots=True)
class Viewer:
    """A viewer who wants a title until some time, and how the requests went."""

    klass: int
    title: int
    until: float
    first_asked: float
    served_at: float | None = None
    refusals: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A viewer's request as a director got it."""

    at: float
    klass: int
    first_cell: int


@dataclass(slots=True)
class Instance:
    """A running director process."""

    number: int
    module: Director
    started: float
    informed_of: dict[int, float] = field(default_factory=dict)  # by server: the latest start it knows of
    up: bool = True


@dataclass(frozen=True, slots=True)
class Verdict:
    """Load and falls of the cold servers, and the cost to the viewers."""

    fullest: float  # highest work within a window over the limit, of any cold server; above 1 it fell
    falls: int
    broken: int  # falls of which over two thirds came from informed directors
    cold_arrivals: int  # set-ups sent to cold servers
    cold_capacity: float  # mean work that their budgets allowed meanwhile
    viewers: int
    refusals: int
    central_refusals: int  # that a central dispatcher that knows all budgets would give
    unserved: int
    mean_wait_ms: float  # from the first request to the first start


class World:
    """One fleet. Times are in ms; runs with the same plan are identical."""

    def __init__(self, plan: Plan, settings: fl.Settings = SETTINGS) -> None:
        self.plan, self.settings = plan, replace(settings, directors=plan.directors)
        self.random = random.Random(plan.seed)
        self.now = 1_000_000.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.sessions: dict[int, tuple[Viewer, Instance]] = {}
        self.attempts: dict[int, int] = {}
        self.viewers: list[Viewer] = []
        self.requests: list[Request] = []
        self.busy_offset = 0
        self.asking = True
        self.listing = True
        self.retired: list[Server] = []
        self.servers: dict[int, Server] = {}
        for number in range(plan.servers):
            self.servers[number] = Server(self._info(number, number, 0.0))
        listed = fl.NodeList(fl.ListKind.FULL, self._entries())
        self.instances = [self._instance(number) for number in range(plan.directors)]
        for instance in self.instances:
            self._handle(instance, listed)
        self._schedule(self._gap(), self._arrive)

    # ---- Time ---------------------------------------------------------------------------------------------
    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now + delay, self.order, action))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def _between(self, bounds: tuple[float, float]) -> float:
        return self.random.uniform(*bounds)

    # ---- Directors ----------------------------------------------------------------------------------------
    def _instance(self, number: int) -> Instance:
        settings = replace(self.settings, director=number)
        return Instance(number, Director(settings, self.random.getrandbits(32)), self.now)

    def _handle(self, instance: Instance, event: fl.Event) -> None:
        if not instance.up:
            return
        for action in instance.module.handle(self.now, event):
            if isinstance(action, fl.SetUp):
                self._send(instance, action)
            elif isinstance(action, fl.SetTimer):
                wake = fl.Wake(action.token)
                self._schedule(action.delay_ms, lambda wake=wake: self._handle(instance, wake))  # type: ignore[misc]
            elif isinstance(action, fl.Refuse | fl.Fail):
                self._refused(action.session)

    def restart_directors(self, numbers: Sequence[int], down_ms: tuple[float, float]) -> None:
        """Kill directors; each restarts with the present list as its cached list."""
        stale = fl.NodeList(fl.ListKind.CACHED, self._entries())
        for number in numbers:
            old = self.instances[number]
            old.up = False
            for server in self.servers.values():
                for session in [s for s, owner in server.sessions.items() if owner == number]:
                    del server.sessions[session]
            for session in [s for s, (_, owner) in self.sessions.items() if owner is old]:
                self._request_again(self.sessions.pop(session)[0])
            self._schedule(self._between(down_ms), lambda number=number: self._restart(number, stale))  # type: ignore[misc]

    def _restart(self, number: int, stale: fl.NodeList) -> None:
        instance = self.instances[number] = self._instance(number)
        self._handle(instance, stale)
        self._schedule(self._between(NOTICE_MS), lambda: self._send_full_list(instance))

    def _send_full_list(self, instance: Instance) -> None:
        if not self.listing:
            self._schedule(self._between(NOTICE_MS), lambda: self._send_full_list(instance))
            return
        self._send_list(instance, fl.NodeList(fl.ListKind.FULL, self._entries()))

    def _send_list(self, instance: Instance, node_list: fl.NodeList) -> None:
        for entry in node_list.nodes:
            instance.informed_of[entry.node] = max(
                instance.informed_of.get(entry.node, 0.0), entry.started_ms
            )
        self._handle(instance, node_list)

    # ---- Servers and their list ---------------------------------------------------------------------------
    def _info(self, number: int, cell: int, started: float) -> fl.NodeInfo:
        return fl.NodeInfo(number, 0, 0, cell % self.settings.cells, fl.Status.READY, 1.0, started)

    def _entries(self) -> tuple[fl.NodeInfo, ...]:
        return tuple(server.info for server in self.servers.values())

    def announce(self, *entries: fl.NodeInfo) -> None:
        """Deliver a change to each director after a delay, unless discovery is silent."""
        for instance in self.instances:
            node_list = fl.NodeList(fl.ListKind.DELTA, entries)
            self._schedule(self._between(NOTICE_MS), lambda i=instance, n=node_list: self._announced(i, n))  # type: ignore[misc]

    def _announced(self, instance: Instance, node_list: fl.NodeList) -> None:
        if self.listing:
            self._send_list(instance, node_list)

    def silence_discovery(self, ms: float) -> None:
        self.listing = False
        self._schedule(ms, self._discovery_returns)

    def _discovery_returns(self) -> None:
        self.listing = True
        for instance in self.instances:
            self._schedule(self._between(NOTICE_MS), lambda i=instance: self._send_full_list(i))  # type: ignore[misc]

    def crash(self, number: int) -> None:
        """End the process; its viewers request again."""
        server = self.servers[number]
        server.up, server.ended = False, self.now
        for session in list(server.sessions):
            self._end(session, number, fl.Outcome.RESET)
        server.sessions.clear()

    def start(self, number: int, listed: bool = True) -> None:
        """Start the process again, cold; the list reports it now, or when discovery is back."""
        old = self.servers[number]
        self.retired.append(old)
        self.servers[number] = Server(self._info(number, old.info.cell, self.now), True, self.now)
        if listed:
            self.announce(self.servers[number].info)

    def replace_server(self, number: int) -> None:
        """A machine with a new id takes the place of an old one."""
        old = self.servers.pop(number)
        old.up, old.ended = False, self.now
        self.retired.append(old)
        fresh = max(self.servers) + 1000
        self.servers[fresh] = Server(self._info(fresh, old.info.cell, self.now), True, self.now)
        for session in list(old.sessions):
            self._end(session, number, fl.Outcome.RESET)
        self.announce(replace(old.info, status=fl.Status.GONE), self.servers[fresh].info)

    def _send(self, instance: Instance, sent: fl.SetUp) -> None:
        attempt = self.attempts.get(sent.session, 0)
        self.attempts[sent.session] = attempt + 1
        self._schedule(self._between(NETWORK_MS), lambda: self._reach(instance, sent, attempt))

    def _reach(self, instance: Instance, sent: fl.SetUp, attempt: int) -> None:
        server = self.servers.get(sent.node)
        if sent.session not in self.sessions:
            return
        if server is None or not server.up:
            instance.informed_of[sent.node] = math.inf  # it saw the server fail
            self._finish(instance, sent, attempt, fl.Outcome.CONNECT_FAILED)
            return
        klass = self.sessions[sent.session][0].klass
        if self.now - server.started < self.settings.warm_up_ms:
            informed = instance.started >= server.started or (
                instance.informed_of.get(sent.node, -math.inf) >= server.started
            )
            self._count_arrival(server, Arrival(self.now, CLASS_WORK[klass], informed))
        server.sessions[sent.session] = instance.number
        elapsed = self._between(SET_UP_MS)
        self._schedule(elapsed, lambda: self._started(instance, sent, attempt, elapsed, server))

    def _count_arrival(self, server: Server, arrival: Arrival) -> None:
        server.recent.append(arrival)
        server.cold_arrivals += 1
        while server.recent[0].at <= self.now - self.settings.cold_window_ms:
            server.recent.popleft()
        work = sum(one.work for one in server.recent)
        begun = self.now - server.started - self.settings.cold_window_ms
        limit = allowed_work(self.settings, max(begun, 0.0))
        server.fullest = max(server.fullest, work / limit)
        if work > limit and server.fallen_informed is None:
            informed = sum(one.work for one in server.recent if one.informed)
            server.fallen_informed = informed / work

    def _started(
        self, instance: Instance, sent: fl.SetUp, attempt: int, elapsed: float, server: Server
    ) -> None:
        if sent.session not in self.sessions or sent.session not in server.sessions:
            return
        viewer = self.sessions[sent.session][0]
        if viewer.served_at is None:
            viewer.served_at = self.now
        self._handle(instance, fl.Started(sent.session, sent.node, attempt, elapsed))
        left = max(viewer.until - self.now, 1.0)
        self._schedule(left, lambda: self._end(sent.session, sent.node, fl.Outcome.OK))

    def _finish(self, instance: Instance, sent: fl.SetUp, attempt: int, outcome: fl.Outcome) -> None:
        ended = fl.Ended(sent.session, sent.node, attempt, outcome, False, 5.0)
        self._schedule(self._between(NETWORK_MS), lambda: self._handle(instance, ended))

    def _end(self, session: int, number: int, outcome: fl.Outcome) -> None:
        if session not in self.sessions:
            return
        viewer, instance = self.sessions.pop(session)
        if number in self.servers:
            self.servers[number].sessions.pop(session, None)
        if outcome is not fl.Outcome.OK:
            instance.informed_of[number] = math.inf
            self._request_again(viewer)
        ended = fl.Ended(session, number, self.attempts[session] - 1, outcome, True, 5.0)
        self._schedule(self._between(NETWORK_MS), lambda: self._handle(instance, ended))

    # ---- Viewers ------------------------------------------------------------------------------------------
    def _gap(self) -> float:
        return self.random.expovariate(self.plan.per_server * self.plan.servers / 1000.0)

    def _arrive(self) -> None:
        if self.asking:
            self._schedule(self._gap(), self._arrive)
        klass = 0 if self.random.random() < CLASS_SHARE[0] else 1
        popular = self.random.random() < self.plan.popular
        title = 0 if popular else self.random.randrange(1, 5 * self.plan.servers)
        length = self.random.expovariate(1 / SESSION_MS)
        viewer = Viewer(klass, title, self.now + length, self.now)
        self.viewers.append(viewer)
        self._ask(viewer)

    def multiply_traffic(self, times: float) -> None:
        self.plan = replace(self.plan, per_server=times * self.plan.per_server)

    def shift_traffic(self) -> None:
        """Make other directors the busy ones."""
        self.busy_offset += 1

    def _weight(self, instance: Instance) -> float:
        busy = (instance.number + self.busy_offset) % BUSY_INTERVAL == 0
        return BUSY_WEIGHT if busy else 1.0

    def _ask(self, viewer: Viewer) -> None:
        running = [instance for instance in self.instances if instance.up]
        if not running or (self.now > viewer.until and viewer.first_asked < self.now):
            return
        (instance,) = self.random.choices(running, [self._weight(one) for one in running])
        session = len(self.attempts) + 1
        self.attempts[session] = 0
        self.sessions[session] = (viewer, instance)
        first_cell = viewer.title * 5 % self.settings.cells
        self.requests.append(Request(self.now, viewer.klass, first_cell))
        ttl = self.settings.classes[viewer.klass].deadline_ms
        asked = fl.Ask(session, viewer.klass, viewer.title, first_cell, HOLDERS, 2, ttl)
        self._handle(instance, asked)

    def _refused(self, session: int) -> None:
        if session in self.sessions:
            viewer, _ = self.sessions.pop(session)
            viewer.refusals += 1
            self._request_again(viewer)

    def _request_again(self, viewer: Viewer) -> None:
        if self.asking and self.random.random() < RETURN_SHARE:
            self._schedule(self._between(RETURN_MS), lambda: self._ask(viewer))

    # ---- Verdict ------------------------------------------------------------------------------------------
    def _central_refusals(self) -> int:
        """Requests that a central dispatcher could not place within `CENTRAL_MS`.

        It sends at most N requests of mean work in each window and knows each start and end at once.
        """
        by_cell: dict[int, list[tuple[Server, deque[tuple[float, float]]]]] = {}
        for server in (*self.servers.values(), *self.retired):
            by_cell.setdefault(server.info.cell, []).append((server, deque()))
        waiting = [(request.at, k, request) for k, request in enumerate(self.requests)]
        heapq.heapify(waiting)
        refused = 0
        while waiting:
            at, k, request = heapq.heappop(waiting)
            cells = [(request.first_cell + j) % self.settings.cells for j in range(HOLDERS)]
            holders = [holder for cell in cells for holder in by_cell.get(cell, ())]
            if any(self._central_send(at, request, *holder) for holder in holders):
                continue
            if at + CENTRAL_STEP_MS > request.at + CENTRAL_MS:
                refused += 1
            else:
                heapq.heappush(waiting, (at + CENTRAL_STEP_MS, k, request))
        return refused

    def _central_send(
        self, at: float, request: Request, server: Server, sent: deque[tuple[float, float]]
    ) -> bool:
        age = at - server.started
        if age < 0 or at >= server.ended:
            return False
        if age >= self.settings.warm_up_ms:
            return True
        while sent and sent[0][0] <= at - self.settings.cold_window_ms:
            sent.popleft()
        work = CLASS_WORK[request.klass]
        if sum(one for _, one in sent) + work > budget(self.settings, age):
            return False
        sent.append((at, work))
        return True

    def verdict(self) -> Verdict:
        cold = [s for s in (*self.servers.values(), *self.retired) if s.started > -math.inf]
        pace = budget(self.settings, 0.0) / self.settings.cold_window_ms
        spans = [min(self.now - server.started, self.settings.warm_up_ms) for server in cold]
        falls = [s.fallen_informed for s in cold if s.fallen_informed is not None]
        waits = [v.served_at - v.first_asked for v in self.viewers if v.served_at is not None]
        return Verdict(
            fullest=max((server.fullest for server in cold), default=0.0),
            falls=len(falls),
            broken=sum(share > 2 / 3 for share in falls),
            cold_arrivals=sum(server.cold_arrivals for server in cold),
            cold_capacity=sum(span * pace for span in spans),
            viewers=len(self.viewers),
            refusals=sum(viewer.refusals for viewer in self.viewers),
            central_refusals=self._central_refusals(),
            unserved=sum(viewer.served_at is None for viewer in self.viewers),
            mean_wait_ms=sum(waits) / max(len(waits), 1),
        )


def budget(settings: fl.Settings, age_ms: float) -> float:
    """N: the requests that a server of this age may get within a window."""
    share = settings.cold_from + (1 - settings.cold_from) * min(age_ms / settings.warm_up_ms, 1.0)
    pace = min(settings.kind_slots) / settings.warm_up_ms * share
    return settings.cold_multiple * pace * settings.cold_window_ms


def allowed_work(settings: fl.Settings, age_ms: float) -> float:
    """The most mean work within a window at which a server of this age does not fall."""
    allowed = budget(settings, age_ms)
    return allowed + 2 * math.sqrt(allowed) + 2
