"""A fleet's distribution of configuration in virtual time: control servers, relays, hollow directors.

The parts are the program's own cores (`foxlift.rollout`). The network between them delays, loses and cuts;
processes die, restart with the disk as it was, an older one or none, and stand still. One random generator
decides, so that a seed gives one run. What is judged is recorded from the outside: changes as they are put
in force, answers to orders, messages as they travel. Times are ms.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from foxlift.consensus import register as registers
from foxlift.rollout import agent, follower, server, watcher
from foxlift.rollout.acceptor import OpenVersion
from foxlift.rollout.agent import Agent, Problem
from foxlift.rollout.content import Content
from foxlift.rollout.entry import Change, Entry
from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import ChangeRequest, ChangeResponse, DirectorWatch, Outcome, Steps
from foxlift.rollout.server import ControlServer, ServerIdentity

BAD = '"bad"'  # a value that directors refuse
FATAL = '"fatal"'  # a value at which a director ends
HEADER_BYTES = 180  # of a request or an answer over HTTP/1.1, as the wiring sends them
RESET_MS = 1.0  # until a peer learns that a process is gone
REGISTER_TIMEOUT_MS = 400.0
DISK_MS = 2.0
MAX_COMPARED = 100  # directors: in larger fleets contents are compared at the end only

Deliver = Callable[[], None]


@dataclass(slots=True)
class Disk:
    """What a process has written: a server's log, or a director's content."""

    log: ConfigLog | None = None
    open: dict[int, OpenVersion] = field(default_factory=dict)
    version: int = 0
    values: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Process:
    """A process of the fleet. `run` rises with each start; messages for an earlier run go nowhere."""

    name: str
    region: int
    zone: int
    run: int = 0
    up: bool = False
    disk: Disk = field(default_factory=Disk)
    stalled_until: float = 0.0
    clock_ahead: float = 0.0
    disk_full: bool = False
    values: dict[str, str] = field(
        default_factory=dict
    )  # what a director has put in force, as it was told to
    core: Any = None
    held: dict[int, tuple[str, Callable[[Any], None]]] = field(default_factory=dict)  # asks to be answered
    bytes_in: int = 0
    bytes_out: int = 0
    messages: int = 0


@dataclass(slots=True)
class Record:
    """What was seen from the outside."""

    in_force: dict[int, dict[str, str]] = field(default_factory=dict)  # content by version
    disagreements: list[str] = field(default_factory=list)
    steps_back: list[str] = field(default_factory=list)
    committed: dict[str, int] = field(default_factory=dict)  # by request: the version that was answered
    outcomes: Counter[str] = field(default_factory=Counter)
    bad_offered: set[str] = field(default_factory=set)  # directors that were offered a bad value
    at: dict[str, dict[str, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )  # request: director: time
    said: Counter[str] = field(default_factory=Counter)


class RolloutWorld:
    """One fleet. `regions` of `zones` each; `members` of the group are spread over the regions."""

    def __init__(
        self,
        seed: int = 1,
        *,
        regions: int = 3,
        zones: int = 3,
        members: int = 5,
        relays: int = 1,
        directors: int = 2,
        loss: float = 0.0,
        count_bytes: bool = False,
        make_server: Callable[
            [ServerIdentity, ConfigLog, tuple[OpenVersion, ...]], ControlServer
        ] = ControlServer,
        make_agent: Callable[..., Agent] = Agent,
        far_ms: float = 40.0,
        kept: int = 16_384,
    ) -> None:
        """`relays`, `directors`: of each zone; `far_ms`: the least delay between two regions."""
        self.random, self.seed, self.now = random.Random(f"{seed} world"), seed, 0.0
        self.loss, self.count_bytes, self.kept, self.far_ms = loss, count_bytes, kept, far_ms
        self.make_server, self.make_agent = make_server, make_agent
        self.record = Record()
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self._due: list[tuple[float, int, Deliver]] = []
        self._last = 0
        self.processes: dict[str, Process] = {}
        self.members = tuple(f"c{k}" for k in range(members))
        self.relays_of: dict[int, list[str]] = {}
        self.directors: list[str] = []
        self.refuses: Callable[[str, str], bool] = lambda name, value: value == BAD
        for k, name in enumerate(self.members):
            self._add(name, k % regions, k % regions * zones)
        for zone in range(regions * zones):
            self.relays_of[zone] = [f"r{zone}-{k}" for k in range(relays)]
            for name in self.relays_of[zone]:
                self._add(name, zone // zones, zone)
            for k in range(directors):
                self.directors.append(f"d{zone}-{k}")
                self._add(self.directors[-1], zone // zones, zone)

    def _add(self, name: str, region: int, zone: int) -> None:
        self.processes[name] = Process(name, region, zone)

    # ---- Time ---------------------------------------------------------------------------------------------
    def later(self, delay_ms: float, deliver: Deliver) -> None:
        """Do something after so long."""
        self._last += 1
        heapq.heappush(self._due, (self.now + max(delay_ms, 0.0), self._last, deliver))

    def run(self, duration_ms: float) -> None:
        """Let so much time pass."""
        end = self.now + duration_ms
        while self._due and self._due[0][0] <= end:
            self.now, _, deliver = heapq.heappop(self._due)
            deliver()
        self.now = end

    def run_until(self, true: Callable[[], bool], at_most_ms: float) -> bool:
        """Let time pass until something is so; False where it is not in that time."""
        end = self.now + at_most_ms
        while not true():
            if not self._due or self._due[0][0] > end:
                self.now = end
                return true()
            self.now, _, deliver = heapq.heappop(self._due)
            deliver()
        return True

    # ---- Processes ----------------------------------------------------------------------------------------
    def start_all(self, spread_ms: float = 0.0) -> None:
        """Start every process, directors spread over a time."""
        for name in self.processes:
            delay = self.random.random() * spread_ms if name in self.directors else 0.0
            self.later(delay, partial(self.start, name))

    def start(self, name: str) -> None:
        """Start a process from its disk."""
        process = self.processes[name]
        if process.up:
            return
        process.run += 1
        process.up, process.held, process.stalled_until = True, {}, 0.0
        if name.startswith("d"):
            self._start_director(process)
        else:
            self._start_server(process)

    def _start_director(self, process: Process) -> None:
        relays = tuple(self.relays_of[process.zone])
        check = partial(self._check, process.name)
        disk = process.disk
        process.values = dict(disk.values)
        process.core = self.make_agent(
            process.name, process.run, relays, self.seed, check, disk.version, Content(disk.values)
        )
        self._do(process, process.core.start())

    def _check(self, name: str, change: Change) -> Problem | None:
        for key, value in change.puts.items():
            if self.refuses(name, value):
                return Problem(key, "not usable here")
        return None

    def _start_server(self, process: Process) -> None:
        disk = process.disk
        lost = disk.log is None and process.run > 1
        log = copy_log(disk.log, self.kept) if disk.log is not None else ConfigLog(self.kept)
        if disk.log is None:
            disk.log = ConfigLog(self.kept)
        plan = ServerIdentity(process.name, process.run, f"z{process.zone}", self.members, self.seed)
        process.core = self.make_server(plan, log, tuple(disk.open.values()))
        self._do(process, process.core.start(self.now + process.clock_ahead))
        if plan.is_member:
            self._trust(process, process.run, lost)

    def _trust(self, process: Process, run: int, lost: bool) -> None:
        """What the members' hello brings: whether the disk is the last one, and what the others have."""
        if process.run != run or not process.up:
            return
        if not lost:
            self._do(process, process.core.handle(self.now, server.DiskTrusted(False)))
            return
        others = [self.processes[m] for m in self.members if m != process.name and self.processes[m].up]
        reached = [other for other in others if not self.is_cut(process.name, other.name)]
        if 2 * len(reached) <= len(self.members) - 1:
            self.later(300.0, partial(self._trust, process, run, lost))
            return
        chosen = self.random.sample(reached, (len(self.members) - 1) // 2 + 1)
        highest = max(other.core.member.acceptor.highest_version for other in chosen)
        self._do(process, process.core.handle(self.now, server.DiskTrusted(True, highest)))

    def kill(self, name: str, disk: str = "kept") -> None:
        """End a process at once; its disk is `kept` or `lost`."""
        process = self.processes[name]
        process.up = False
        for sender, answered in process.held.values():
            self._travel(process.name, sender, 0, partial(answered, None), lost=RESET_MS)
        process.held = {}
        if disk == "lost":
            process.disk = Disk()

    def restart(self, name: str, after_ms: float, disk: str = "kept") -> None:
        """Kill a process and start it again after so long."""
        self.kill(name, disk)
        self.later(after_ms, partial(self.start, name))

    def stall(self, name: str, duration_ms: float) -> None:
        """Have a process stand still for so long: what comes meanwhile waits."""
        self.processes[name].stalled_until = self.now + duration_ms

    def cut(self, a: Iterable[str], b: Iterable[str]) -> None:
        """Nothing passes between two groups from now on."""
        self.cuts.append((frozenset(a), frozenset(b)))

    def heal(self) -> None:
        """Everything passes again."""
        self.cuts.clear()

    def is_cut(self, a: str, b: str) -> bool:
        """Whether nothing passes between two processes."""
        return any((a in x and b in y) or (a in y and b in x) for x, y in self.cuts)

    def of_region(self, region: int) -> list[str]:
        """All processes of a region."""
        return [name for name, process in self.processes.items() if process.region == region]

    def of_zone(self, zone: int) -> list[str]:
        """All processes of a zone."""
        return [name for name, process in self.processes.items() if process.zone == zone]

    # ---- Network ------------------------------------------------------------------------------------------
    def _delay(self, a: str, b: str) -> float:
        one, other = self.processes[a], self.processes[b]
        base = 0.5 if one.zone == other.zone else 2.0 if one.region == other.region else self.far_ms
        return base * (1.0 + self.random.random())

    def _travel(self, a: str, b: str, size: int, deliver: Deliver, lost: float | None = None) -> bool:
        """Carry a message; False where it is lost."""
        if self.is_cut(a, b) or (self.loss and lost is None and self.random.random() < self.loss):
            return False
        sender, receiver = self.processes[a], self.processes[b]
        sender.bytes_out += size
        receiver.bytes_in += size
        sender.messages += 1
        run = receiver.run

        def arrive() -> None:
            if receiver.run != run or not receiver.up:
                return
            if self.now < receiver.stalled_until:
                self.later(receiver.stalled_until - self.now, arrive)
                return
            deliver()

        self.later(self._delay(a, b), arrive)
        return True

    def _size(self, message: object) -> int:
        return HEADER_BYTES + len(msgspec.json.encode(message)) if self.count_bytes else 0

    def _call(
        self,
        a: str,
        b: str,
        message: object,
        ask: Callable[[Process, Callable[[Any], None]], None],
        answered: Callable[[Any], None],
        timeout_ms: float,
    ) -> None:
        """A request and its answer; `answered(None)` where there is none."""
        done = False

        def finish(answer: Any) -> None:
            nonlocal done
            if not done:
                done = True
                answered(answer)

        def answer_travels(answer: Any) -> None:
            self._travel(b, a, self._size(answer) if answer is not None else 0, partial(finish, answer))

        receiver = self.processes[b]
        if not receiver.up and not self.is_cut(a, b):
            self.later(RESET_MS + self._delay(a, b), partial(finish, None))
            return
        self._travel(a, b, self._size(message), lambda: ask(receiver, answer_travels))
        run = self.processes[a].run
        self.later(timeout_ms, lambda: finish(None) if self.processes[a].run == run else None)

    # ---- What cores want ----------------------------------------------------------------------------------
    def _handle(self, process: Process, run: int, event: object) -> None:
        if process.run != run or not process.up:
            return
        if self.now < process.stalled_until:
            self.later(process.stalled_until - self.now, partial(self._handle, process, run, event))
            return
        if isinstance(process.core, Agent):
            self._do(process, process.core.handle(event))  # type: ignore[arg-type]
        else:
            self._do(process, process.core.handle(self.now + process.clock_ahead, event))

    def _do(self, process: Process, actions: Iterable[object]) -> None:
        for action in actions:
            if not process.up:
                return  # a change has ended it
            self._do_one(process, action)

    def _do_one(self, process: Process, action: object) -> None:
        run = process.run
        match action:
            case server.StartTimer(delay_ms, event) | watcher.StartTimer(delay_ms, event):
                self.later(delay_ms, partial(self._handle, process, run, event))
            case agent.SendWatch(ask, source, watch):
                self._watch(process, source, watch, lambda answer: agent.WatchAnswered(ask, answer))
            case agent.Apply(version, change):
                self._applied(process, version, change)
            case agent.Persist(version):
                if not process.disk_full:
                    process.disk.version, process.disk.values = version, dict(process.values)
            case agent.WriteLog(what):
                self.record.said[what] += 1
            case server.SendWatch(source, ask, to, relay_watch):
                self._watch(
                    process,
                    to,
                    relay_watch,
                    lambda answer: server.FollowerEvent(source, follower.WatchAnswered(ask, answer)),
                )
            case server.ReplyWatch() | server.ReplyChange() | server.ReplyRegister():
                self._reply(process, action.correlation_id, action.response)
            case server.SendMessage(to, message):
                self._tell(process, to, message)
            case _:
                self._do_of_member(process, action)

    def _do_of_member(self, process: Process, action: object) -> None:
        run, disk = process.run, process.disk
        assert disk.log is not None
        match action:
            case server.StoreOpenVersion(number, record):
                if process.disk_full:
                    self.later(DISK_MS, partial(self._handle, process, run, server.Stored(number, False)))
                    return
                disk.open[record.version] = record
                self.later(DISK_MS, partial(self._handle, process, run, server.Stored(number, True)))
            case server.StoreEntry(entry):
                disk.log.append(entry)
                disk.open = {v: record for v, record in disk.open.items() if v > disk.log.head}
            case server.StoreSnapshot():
                disk.log = copy_log(process.core.log, self.kept)
                disk.open = {v: record for v, record in disk.open.items() if v > disk.log.head}
            case registers.Send():
                self._ask_register(process, action)
            case server.WriteLog(what):
                self.record.said[what] += 1

    def _applied(self, process: Process, version: int, change: Change) -> None:
        """A director has put a version in force."""
        values = process.values
        values.update(change.puts)
        for key in change.removes:
            values.pop(key, None)
        if len(self.directors) <= MAX_COMPARED:
            known = self.record.in_force.setdefault(version, dict(values))
            if known != values:
                self.record.disagreements.append(f"{process.name}: version {version} differs")
        if version < process.disk.version:
            self.record.steps_back.append(f"{process.name}: {process.disk.version} to {version}")
        for key in change.puts:
            self.record.at[key].setdefault(process.name, self.now)
        if FATAL in change.puts.values():
            self.kill(process.name)

    def _watch(self, process: Process, source: str, watch: object, event: Callable[[Any], object]) -> None:
        run = process.run

        def asked(receiver: Process, answered: Callable[[Any], None]) -> None:
            self._last += 1
            receiver.held[self._last] = process.name, answered
            self._handle(receiver, receiver.run, server.WatchReceived(self._last, watch))  # type: ignore[arg-type]

        def came(answer: Any) -> None:
            steps = answer.steps if isinstance(watch, DirectorWatch) and isinstance(answer, Steps) else ()
            if any(BAD in step.change.puts.values() for step in steps):
                self.record.bad_offered.add(process.name)
            self._handle(process, run, event(answer))

        self._call(process.name, source, watch, asked, came, watcher.POLL_TIMEOUT_MS + 1000.0)

    def _reply(self, process: Process, number: int, answer: object) -> None:
        _, answered = process.held.pop(number, ("", lambda _: None))
        answered(answer)

    def _tell(self, process: Process, to: str, message: object) -> None:
        receiver = self.processes[to]
        if receiver.up:
            heard = server.MessageReceived(message)  # type: ignore[arg-type]
            deliver = partial(self._handle, receiver, receiver.run, heard)
            self._travel(process.name, to, self._size(message), deliver)

    def _ask_register(self, process: Process, send: registers.Send) -> None:
        run = process.run

        def came(answer: Any) -> None:
            event = (
                registers.RequestFailed(send.request_id)
                if answer is None
                else registers.ResponseReceived(send.request_id, answer)
            )
            self._handle(process, run, server.RegisterEvent(event))

        def asked(receiver: Process, answered: Callable[[Any], None]) -> None:
            self._last += 1
            receiver.held[self._last] = process.name, answered
            self._handle(receiver, receiver.run, server.RegisterRequested(self._last, send.message))

        self._call(process.name, send.to, send.message, asked, came, REGISTER_TIMEOUT_MS)

    # ---- Operators ----------------------------------------------------------------------------------------
    def order(
        self,
        member: str,
        order: ChangeRequest,
        done: Callable[[ChangeResponse | None], None] = lambda _: None,
    ) -> None:
        """An operator's order to a member."""
        receiver = self.processes[member]

        def answered(answer: Any) -> None:
            outcome = answer.outcome.value if answer is not None else "no answer"
            self.record.outcomes[outcome] += 1
            if answer is not None and answer.outcome is Outcome.COMMITTED:
                before = self.record.committed.setdefault(order.request_id, answer.version)
                if before != answer.version:
                    self.record.disagreements.append(
                        f"{order.request_id}: versions {before}, {answer.version}"
                    )
            done(answer)

        if not receiver.up:
            answered(None)
            return
        self._last += 1
        receiver.held[self._last] = member, answered
        self._handle(receiver, receiver.run, server.ChangeRequested(self._last, order))

    # ---- What is seen -------------------------------------------------------------------------------------
    def log_of(self, name: str) -> ConfigLog:
        """A server's log."""
        found: ConfigLog = self.processes[name].core.log
        return found

    def up_directors(self) -> list[str]:
        """Directors that run."""
        return [name for name in self.directors if self.processes[name].up]

    def versions(self) -> Counter[int]:
        """How many directors have which version in force."""
        return Counter(self.processes[name].core.version for name in self.up_directors())


def settle(world: RolloutWorld, at_most_ms: float = 120_000.0) -> list[str]:
    """Let everything pass again, start what is down, wait for one version everywhere, and judge the run."""
    world.heal()
    for process in world.processes.values():
        process.disk_full = False
        world.start(process.name)

    def is_settled() -> bool:
        logs = [world.log_of(name) for name in world.processes if not name.startswith("d")]
        if len({log.head for log in logs}) > 1 or len({log.released for log in logs}) > 1:
            return False
        target = logs[0].last_change(logs[0].head)
        return target <= logs[0].released and set(world.versions()) == {target}

    faults = [] if world.run_until(is_settled, at_most_ms) else [f"not settled: {world.versions()}"]
    return [*faults, *judge(world)]


def judge(world: RolloutWorld) -> list[str]:
    """What was broken in a run, told from logs, contents and answers, by none of the program's own checks."""
    faults = [*world.record.disagreements, *world.record.steps_back]
    servers = [name for name in world.processes if not name.startswith("d") and world.processes[name].up]
    longest = max((world.log_of(name) for name in servers), key=lambda log: log.head)
    entries = {entry.version: entry for entry in longest.entries}
    for name in servers:
        for entry in world.log_of(name).entries:
            if entry != entries.get(entry.version, entry):
                faults.append(f"{name}: version {entry.version} is another entry")
    if longest.base == 0:
        by_request = Counter(entry.request_id for entry in entries.values())
        faults += [f"{request}: {count} entries" for request, count in by_request.items() if count > 1]
        for request, version in world.record.committed.items():
            found = entries.get(version)
            if found is None or found.request_id != request:
                faults.append(f"{request}: committed at {version}, and not there")
        for name in world.up_directors():
            core = world.processes[name].core
            plain = fold(entries[number] for number in range(1, core.version + 1))
            if not core.content.values == world.processes[name].values == plain:
                faults.append(f"{name}: not the content of version {core.version}")
    return faults


def copy_log(log: ConfigLog, kept: int) -> ConfigLog:
    """The log as a restarted process reads it from the disk."""
    made = ConfigLog(kept)
    if log.base:
        made.restore(log.base, log.base_content.values, log.requests)
    for entry in log.entries:
        made.append(entry)
    return made


def fold(entries: Iterable[Entry]) -> dict[str, str]:
    """The content that entries lead to, worked out plainly."""
    values: dict[str, str] = {}
    for entry in entries:
        values.update(entry.change.puts)
        for key in entry.change.removes:
            values.pop(key, None)
    return values
