"""Claims, takeovers and a box's session owners in virtual time, under a random scheduler.

One paid token, some directors, one box. Each director's view of the others is random at every use: what is
safe here is safe under any view. Judged only by which set-ups ran at the box.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from foxlift.consensus import Proposer, Replica, replicas_of
from foxlift.consensus import register as rg
from foxlift.consensus import replica as rp
from foxlift.recovery import claims as rc
from foxlift.recovery import route as rt
from foxlift.standins.owners import Owners

TOKEN, BOX, EXPIRES, APART = "token", "b0", 10_000_000, 50


class AtomicRegisters(Proposer):
    """One register that answers at once, for worlds that are explored completely."""

    value: str | None = None

    def handle(self, now: float, event: rg.Event) -> list[rg.Action]:
        if not isinstance(event, rg.Change):
            return []
        if self.store["value"] in (None, event.expected):
            self.store["value"] = event.value
        return [rg.Decided(event.number, str(self.store["value"]))]

    store: dict[str, str | None]


@dataclass
class Process:
    """A director's process."""

    name: str
    run: int
    claims: rc.PaidClaims
    routes: rt.Routes
    up: bool = True
    playing: set[str] = field(default_factory=set)
    spent: bool = False  # its set-up has left: `decide.token_sessions` lets no other leave in this run
    asked: int = 0
    set_ups: int = 0
    pending: dict[int, rc.Claim] = field(default_factory=dict)  # claims that are being made


@dataclass
class World:
    """`step` lets one thing happen; `out` holds what may happen, by name."""

    seed: int
    directors: int = 3
    atomic: bool = False
    loss: float = 0.05
    make_claims: Callable[..., rc.PaidClaims] = rc.PaidClaims
    make_routes: Callable[..., rt.Routes] = rt.Routes
    make_owners: Callable[[], Owners] = Owners
    asks_boot: bool = True  # a box runs only set-ups for its own process
    done_looks_again: bool = True  # a box checks its fences also when a set-up completes
    ran: list[str] = field(default_factory=list)
    now: int = 1000

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.names = [f"d{k}" for k in range(self.directors)]
        self.out: list[tuple[str, Callable[[], None]]] = []
        self.late: list[Callable[[], None]] = []  # deadlines
        self.owners = self.make_owners()
        self.boots = 0
        self.store: dict[str, str | None] = {"value": None}
        self.disks: dict[str, dict[str, rp.Record]] = {name: {} for name in self.names}
        self.replicas = {name: Replica(EXPIRES, 0, 0, self.disks[name]) for name in self.names}
        self.processes: dict[str, Process] = {}
        self.runs = dict.fromkeys(self.names, 0)
        self.numbers = 0
        for name in self.names:
            self.start(name)

    # ---- Processes ----------------------------------------------------------------------------------------
    def start(self, name: str) -> None:
        self.runs[name] += 1
        run = self.runs[name]
        registers: Proposer
        if self.atomic:
            registers = AtomicRegisters(f"{name}.{run}", self.seed)
            registers.store = self.store
        else:
            registers = Proposer(f"{name}.{run}", self.seed)
        claims = self.make_claims(name, run, registers)
        routes = self.make_routes(
            name, self.seed, lambda other: self.any(), lambda other: True, lambda of, box: name, APART
        )
        self.processes[name] = Process(name, run, claims, routes)
        self.owners.streams[name] = run

    def any(self) -> bool:
        return self.atomic or self.random.random() < 0.7

    def kill(self, name: str) -> None:
        self.processes[name].up = False
        self.owners.streams.pop(name, None)
        if not self.atomic:
            # an unfinished write may or may not be on the disk; nobody got a response
            self.replicas[name] = Replica(EXPIRES, 0, 0, self.disks[name])

    def box_dies(self) -> None:
        """The box restarts: it has forgotten all sessions, and reports since when it remembers."""
        self.boots += 1
        self.owners = self.make_owners()
        for name, process in self.processes.items():
            if process.up:
                self.owners.streams[name] = process.run

    def send(self, what: str, then: Callable[[], None]) -> None:
        self.out.append((what, then))

    # ---- A director ---------------------------------------------------------------------------------------
    def ask(self, name: str) -> None:
        """A viewer sends the token to a director."""
        process = self.processes[name]
        if not process.up or process.spent or process.pending or process.asked > 3:
            return
        self.want(process, None)

    def want(self, process: Process, instead_of: rc.Claim | None) -> None:
        process.asked += 1
        process.set_ups += 1
        self.numbers += 1
        set_up = f"{process.name}.{process.run}-{process.set_ups}"
        boot = str(max(self.boots - self.random.choice((0, 0, 0, 1)), 0))  # possibly outdated
        claim = rc.Claim(process.name, process.run, BOX, set_up, self.now, boot)
        process.pending[self.numbers] = claim
        replicas = replicas_of(TOKEN, self.names)
        want = rc.ClaimRequested(self.numbers, TOKEN, claim, EXPIRES, 1000.0, replicas, instead_of)
        self.do_claims(process, process.claims.handle(self.now, want))

    def of(self, process: Process, then: Callable[[], None]) -> Callable[[], None]:
        """Wraps `then` so that it runs only while the process does."""

        def go() -> None:
            if process.up and self.processes[process.name] is process:
                then()

        return go

    def do_claims(self, process: Process, actions: list[rc.Action]) -> None:
        for action in actions:
            match action:
                case rc.Granted(number):
                    claim = process.pending.pop(number)
                    process.spent = True
                    self.send(f"set-up {claim.set_up}", lambda c=claim: self.set_up_comes(process, c))  # type: ignore[misc]
                case rc.OwnedElsewhere(number, found):
                    process.pending.pop(number, None)
                    self.route(process, rt.RouteRequested(number, found))
                case rc.ClaimUndecided(number):
                    process.pending.pop(number, None)
                case rg.Send():
                    self.send("ask", lambda s=action: self.replica_asked(process, s))  # type: ignore[misc]
                case rg.StartTimer(_, rg.DeadlineDue() as event):
                    self.late.append(self.of(process, lambda e=event: self.register(process, e)))  # type: ignore[misc]
                case rg.StartTimer(_, event):
                    self.send("timer", self.of(process, lambda e=event: self.register(process, e)))  # type: ignore[misc]

    def register(self, process: Process, event: rg.Event) -> None:
        assert not isinstance(event, rg.Change)
        self.do_claims(process, process.claims.handle(self.now, rc.RegisterProgress(event)))

    def replica_asked(self, process: Process, send: rg.Send) -> None:
        if not self.processes[send.to].up:
            return
        self.numbers += 1
        replica = self.replicas[send.to]
        for action in replica.handle(self.now, rp.RequestReceived(self.numbers, send.message)):
            self.replica_does(process, send, replica, action)

    def replica_does(self, process: Process, send: rg.Send, replica: Replica, action: rp.Action) -> None:
        match action:
            case rp.Store(request, _):
                for more in replica.handle(self.now, rp.Stored(request)):
                    self.replica_does(process, send, replica, more)
            case rp.Reply(_, message):
                event = rg.ResponseReceived(send.request_id, message)
                self.send("answer", self.of(process, lambda: self.register(process, event)))

    def route(self, process: Process, event: rt.Event) -> None:
        for action in process.routes.handle(event):
            match action:
                case rt.QueryBox(request, claim):
                    self.send(f"take {claim.set_up}", lambda r=request, c=claim: self.take(process, r, c))  # type: ignore[misc]
                case rt.Resolved(_, verdict, _, instead_of):
                    single = (
                        not process.spent and not process.pending
                    )  # further viewers would join the session
                    if verdict is rt.RouteOutcome.OPEN and process.asked < 5 and single:
                        self.want(process, instead_of)

    # ---- The box ------------------------------------------------------------------------------------------
    def set_up_comes(self, process: Process, claim: rc.Claim) -> None:
        if self.owners.fenced(claim.owner, claim.boot_epoch, self.now):
            return
        if self.asks_boot and claim.boot != str(self.boots):
            return
        boots = self.boots

        def done() -> None:
            if boots != self.boots or claim.set_up in self.ran:
                return
            if self.done_looks_again and self.owners.fenced(claim.owner, claim.boot_epoch, self.now):
                return
            self.ran.append(claim.set_up)
            self.owners.begin(claim.set_up, claim.owner, claim.boot_epoch, self.now)
            self.send("started", self.of(process, lambda: process.playing.add(claim.set_up)))

        self.send(f"done {claim.set_up}", done)

    def take(self, process: Process, request: int, claim: rc.Claim) -> None:
        """The request may come from a process that has died since; `certain` is random."""
        owners = self.owners
        own = claim.owner == process.name
        if owners.fenced(process.name, process.run, self.now) or (own and claim.boot_epoch >= process.run):
            return
        if not own and claim.owner in owners.streams and not self.any():
            return
        taken = owners.take(claim.owner, claim.boot_epoch, process.name, process.run, self.now, claim.set_up)
        became, owner = owners.became(claim.set_up, process.name)
        told = rt.BoxResponded(request, became, owner, owners.forgot_ms, str(self.boots))

        def heard() -> None:
            process.playing |= set(taken.set_ups)
            process.spent |= bool(taken.set_ups)
            self.route(process, told)

        self.send("told", self.of(process, heard))

    def session_ends(self) -> None:
        for set_up in list(self.owners.sessions):
            self.owners.over(set_up, self.now)

    # ---- The scheduler ------------------------------------------------------------------------------------
    def step(self) -> None:
        self.now += self.random.choice((0, 1, 40))
        chance = self.random.random()
        if chance < 0.05 or not self.out:
            self.ask(self.random.choice(self.names))
        elif chance < 0.065:
            name = self.random.choice(self.names)
            if self.processes[name].up:
                self.kill(name)
            else:
                self.start(name)
        elif chance < 0.068:
            self.box_dies()
        elif chance < 0.072:
            self.session_ends()
        elif chance < 0.077 and self.late:
            self.late.pop(0)()  # deadlines pass long after most messages
        elif self.out:
            index = self.random.randrange(len(self.out))
            much = self.random.random()
            if much < 0.1:
                self.out[index][1]()  # a duplicate: it stays in flight
            elif much < 0.1 + self.loss:
                self.out.pop(index)
            else:
                self.out.pop(index)[1]()
