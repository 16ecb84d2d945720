"""Claimants and replicas of registers in virtual time, under a scheduler that may do anything to messages.

The scheduler picks what happens next: any message that is out is delivered, delivered twice or lost; any
process is killed and comes back with its disk; a disk finishes or not. What was decided is judged by what
each claimant was told, and from nothing inside.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from foxlift.consensus import Proposer, Record, Replica, replicas_of
from foxlift.consensus import register as rg
from foxlift.consensus import replica as rp

NOW, EXPIRES, LONGEST, LEEWAY = 1_000_000, 2_000_000, 3_600_000, 5_000


@dataclass
class Disk:
    """What lasts of a replica."""

    records: dict[str, Record] = field(default_factory=dict)
    disk_lost_at: int = 0


@dataclass
class World:
    """One key, three replicas, some claimants; a claimant's run is part of its name."""

    seed: int
    claimants: int = 2
    make_replica: Callable[..., Replica] = Replica
    make_registers: Callable[[str, int], Proposer] = Proposer
    key: str = "token"
    loss: float = 0.05
    told: list[tuple[str, str, rg.Decided | rg.NoQuorum]] = field(default_factory=list)  # who, wanted, what

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.names = replicas_of(self.key, [f"d{k}" for k in range(5)])
        self.disks = {name: Disk() for name in self.names}
        self.replicas = {name: self._replica(name) for name in self.names}
        self.runs = [0] * self.claimants
        self.registers = [self._claimant(k) for k in range(self.claimants)]
        self.out: list[Callable[[], None]] = []  # everything that may happen next
        self.late: list[Callable[[], None]] = []  # deadlines
        self.numbers = 0

    def _replica(self, name: str) -> Replica:
        disk = self.disks[name]
        return self.make_replica(LONGEST, LEEWAY, disk.disk_lost_at, dict(disk.records))

    def _claimant(self, k: int) -> Proposer:
        return self.make_registers(f"c{k}.{self.runs[k]}", self.seed)

    # ---- What may happen ----------------------------------------------------------------------------------
    def want(self, k: int, value: str, expected: str | None = None) -> None:
        self.numbers += 1
        change = rg.Change(self.numbers, self.key, self.names, value, EXPIRES, 1000.0, expected)
        self._do(k, self.registers[k], value, self.registers[k].handle(NOW, change))

    def kill_claimant(self, k: int) -> None:
        self.runs[k] += 1
        self.registers[k] = self._claimant(k)

    def kill_replica(self, name: str) -> None:
        self.replicas[name] = self._replica(name)

    def lose_disk(self, name: str) -> None:
        """At some moment between now and the key's end: what was promised there is gone."""
        self.disks[name] = Disk(disk_lost_at=NOW + 1)
        self.kill_replica(name)

    def _do(self, k: int, registers: Proposer, value: str, actions: list[rg.Action]) -> None:
        for action in actions:
            match action:
                case rg.Send():
                    self.out.append(lambda a=action: self._arrives(k, registers, value, a))  # type: ignore[misc]
                case rg.StartTimer(_, rg.DeadlineDue() as event):
                    self.late.append(lambda e=event: self._tell(k, registers, value, e))  # type: ignore[misc]
                case rg.StartTimer(_, event):
                    self.out.append(lambda e=event: self._tell(k, registers, value, e))  # type: ignore[misc]
                case rg.Decided() | rg.NoQuorum():
                    self.told.append((f"c{k}.{self.runs[k]}", value, action))

    def _tell(self, k: int, registers: Proposer, value: str, event: rg.Event) -> None:
        if self.registers[k] is registers:
            self._do(k, registers, value, registers.handle(NOW, event))

    def _arrives(self, k: int, registers: Proposer, value: str, send: rg.Send) -> None:
        replica = self.replicas[send.to]
        self.numbers += 1
        for action in replica.handle(NOW, rp.RequestReceived(self.numbers, send.message)):
            self._replica_does(k, registers, value, send, replica, action)

    def _replica_does(
        self, k: int, registers: Proposer, value: str, send: rg.Send, replica: Replica, action: rp.Action
    ) -> None:
        match action:
            case rp.Store(request, record):

                def lasts() -> None:
                    if self.replicas[send.to] is not replica:
                        return  # the process died before: it may or may not be on disk, and nobody was told
                    self.disks[send.to].records[record.key] = record
                    for more in replica.handle(NOW, rp.Stored(request)):
                        self._replica_does(k, registers, value, send, replica, more)

                self._in_order(send.to, lasts)
            case rp.Reply(_, answer):
                event = rg.ResponseReceived(send.request_id, answer)
                self.out.append(lambda: self._tell(k, registers, value, event))

    def _in_order(self, name: str, lasts: Callable[[], None]) -> None:
        """A disk finishes what it was given in order."""
        queue = self._disk_queues.setdefault(name, [])
        queue.append(lasts)
        self.out.append(lambda: queue.pop(0)() if queue else None)

    _disk_queues: dict[str, list[Callable[[], None]]] = field(default_factory=dict)

    # ---- The scheduler ------------------------------------------------------------------------------------
    def step(self) -> bool:
        """Something happens; False where nothing can any more."""
        if not self.out or self.random.random() < 0.002:
            if not self.late:
                return bool(self.out)
            self.late.pop(0)()  # a deadline comes long after most of the rest
            return True
        chance = self.random.random()
        if chance < 0.01:
            self.kill_replica(self.random.choice(self.names))
        elif chance < 0.013:
            self.kill_claimant(self.random.randrange(self.claimants))
        index = self.random.randrange(len(self.out))
        if self.random.random() < 0.1:
            self.out[index]()  # and once more later
        elif self.random.random() < self.loss:
            self.out.pop(index)
        else:
            self.out.pop(index)()
        return True

    def decided(self) -> set[str]:
        """Every value that anybody was told is decided."""
        return {what.value for _, _, what in self.told if isinstance(what, rg.Decided)}
