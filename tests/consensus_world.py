"""Proposers and replicas of proposer in virtual time, under a random scheduler.

The scheduler picks what happens next: a message in flight is delivered, delivered twice or lost; a process is
restarted with its disk; a disk write completes. What was decided is judged only by what proposers were told.
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
    """What a replica's disk holds."""

    records: dict[str, Record] = field(default_factory=dict)
    disk_lost_at: int = 0


@dataclass
class World:
    """One key, three replicas, some proposers; a proposer's boot epoch is part of its name."""

    seed: int
    proposer_count: int = 2
    make_replica: Callable[..., Replica] = Replica
    make_proposer: Callable[[str, int], Proposer] = Proposer
    key: str = "token"
    loss: float = 0.05
    results: list[tuple[str, str, rg.Decided | rg.NoQuorum]] = field(
        default_factory=list
    )  # proposer, value, result

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.names = replicas_of(self.key, [f"d{k}" for k in range(5)])
        self.disks = {name: Disk() for name in self.names}
        self.replicas = {name: self._replica(name) for name in self.names}
        self.boot_epochs = [0] * self.proposer_count
        self.proposers = [self._proposer(k) for k in range(self.proposer_count)]
        self.out: list[Callable[[], None]] = []  # what may happen next
        self.late: list[Callable[[], None]] = []  # deadlines
        self.numbers = 0

    def _replica(self, name: str) -> Replica:
        disk = self.disks[name]
        return self.make_replica(LONGEST, LEEWAY, disk.disk_lost_at, dict(disk.records))

    def _proposer(self, k: int) -> Proposer:
        return self.make_proposer(f"c{k}.{self.boot_epochs[k]}", self.seed)

    # ---- What may happen ----------------------------------------------------------------------------------
    def want(self, k: int, value: str, expected: str | None = None) -> None:
        self.numbers += 1
        change = rg.Change(self.numbers, self.key, self.names, value, EXPIRES, 1000.0, expected)
        self._carry_out(k, self.proposers[k], value, self.proposers[k].handle(NOW, change))

    def kill_proposer(self, k: int) -> None:
        self.boot_epochs[k] += 1
        self.proposers[k] = self._proposer(k)

    def kill_replica(self, name: str) -> None:
        self.replicas[name] = self._replica(name)

    def lose_disk(self, name: str) -> None:
        """The disk is lost before the key's end, and with it every promise."""
        self.disks[name] = Disk(disk_lost_at=NOW + 1)
        self.kill_replica(name)

    def _carry_out(self, k: int, proposer: Proposer, value: str, actions: list[rg.Action]) -> None:
        for action in actions:
            match action:
                case rg.Send():
                    self.out.append(lambda a=action: self._deliver_to_replica(k, proposer, value, a))  # type: ignore[misc]
                case rg.StartTimer(_, rg.DeadlineDue() as event):
                    self.late.append(lambda e=event: self._deliver_to_proposer(k, proposer, value, e))  # type: ignore[misc]
                case rg.StartTimer(_, event):
                    self.out.append(lambda e=event: self._deliver_to_proposer(k, proposer, value, e))  # type: ignore[misc]
                case rg.Decided() | rg.NoQuorum():
                    self.results.append((f"c{k}.{self.boot_epochs[k]}", value, action))

    def _deliver_to_proposer(self, k: int, proposer: Proposer, value: str, event: rg.Event) -> None:
        if self.proposers[k] is proposer:
            self._carry_out(k, proposer, value, proposer.handle(NOW, event))

    def _deliver_to_replica(self, k: int, proposer: Proposer, value: str, send: rg.Send) -> None:
        replica = self.replicas[send.to]
        self.numbers += 1
        for action in replica.handle(NOW, rp.RequestReceived(self.numbers, send.message)):
            self._replica_does(k, proposer, value, send, replica, action)

    def _replica_does(
        self, k: int, proposer: Proposer, value: str, send: rg.Send, replica: Replica, action: rp.Action
    ) -> None:
        match action:
            case rp.Store(request, record):

                def stored() -> None:
                    if self.replicas[send.to] is not replica:
                        return  # the process has died: nobody got a response
                    self.disks[send.to].records[record.key] = record
                    for more in replica.handle(NOW, rp.Stored(request)):
                        self._replica_does(k, proposer, value, send, replica, more)

                self._in_order(send.to, stored)
            case rp.Reply(_, answer):
                event = rg.ResponseReceived(send.request_id, answer)
                self.out.append(lambda: self._deliver_to_proposer(k, proposer, value, event))

    def _in_order(self, name: str, stored: Callable[[], None]) -> None:
        """A disk completes its writes in order."""
        queue = self._disk_queues.setdefault(name, [])
        queue.append(stored)
        self.out.append(lambda: queue.pop(0)() if queue else None)

    _disk_queues: dict[str, list[Callable[[], None]]] = field(default_factory=dict)

    # ---- The scheduler ------------------------------------------------------------------------------------
    def step(self) -> bool:
        """Let one thing happen; False if nothing can happen any more."""
        if not self.out or self.random.random() < 0.002:
            if not self.late:
                return bool(self.out)
            self.late.pop(0)()  # deadlines pass long after most messages
            return True
        chance = self.random.random()
        if chance < 0.01:
            self.kill_replica(self.random.choice(self.names))
        elif chance < 0.013:
            self.kill_proposer(self.random.randrange(self.proposer_count))
        index = self.random.randrange(len(self.out))
        if self.random.random() < 0.1:
            self.out[index]()  # a duplicate: it stays in flight
        elif self.random.random() < self.loss:
            self.out.pop(index)
        else:
            self.out.pop(index)()
        return True

    def decided(self) -> set[str]:
        """Every value that was reported as decided."""
        return {what.value for _, _, what in self.results if isinstance(what, rg.Decided)}
