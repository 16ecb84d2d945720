"""Membership views whose table of peers is shared until they differ: a whole fleet in one process.

A view of N peers is a table of N entries, so N plain views cost N x N of them: 18 million at 4,200 directors,
more than a machine's memory. In a fleet that knows itself nearly all of them say the same. Here each view
keeps only the entries in which it differs from a base table that is never changed. What it decides is the
program's own code, except that the target of the next probe is found without going through the whole table.
`tests/test_scale_fleet.py` proves that it sends the same messages as the program's own view.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from foxlift.peers import Peers, PeerState, Update
from foxlift.peers.view import ABSENT_PROBE_INTERVAL, PERIOD_MS, _Peer


@dataclass(frozen=True)
class BaseTable:
    """What every view begins with. Never changed: a view copies an entry before it changes it."""

    peers: dict[str, _Peer]
    position: dict[str, int] = field(init=False)
    all_there: bool = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "position", {name: index for index, name in enumerate(self.peers)})
        object.__setattr__(self, "all_there", all(peer.reachable for peer in self.peers.values()))


def base_table(names: Iterable[str], state: PeerState) -> BaseTable:
    """Every name in one state: ALIVE in its first run, or UNKNOWN."""
    run = 0 if state is PeerState.UNKNOWN else 1
    return BaseTable({name: _Peer(name, state, run) for name in sorted(names)})


class SharedTable:
    """The peers of one view: the base table without the view's own name, and what differs from it.

    Has those methods of a dictionary that a view uses.
    """

    def __init__(self, base: BaseTable, own_name: str) -> None:
        self._base, self._own_name = base, own_name
        self.changed: dict[str, _Peer] = {}

    def make_private(self, name: str) -> None:
        """Copy an entry that is about to be changed."""
        if name not in self.changed and name in self:
            shared = self._base.peers[name]
            self.changed[name] = _Peer(name, shared.state, shared.boot_epoch, shared.incarnation)

    def absent(self) -> list[str]:
        """Names of peers that are not there, in the table's order."""
        if not self._base.all_there:
            return [name for name, peer in self.items() if not peer.reachable]
        names = [name for name, peer in self.changed.items() if not peer.reachable]
        names.sort(key=self._base.position.__getitem__)
        return names

    def get(self, name: str) -> _Peer | None:
        """The entry of a peer, None for a name that is none or the view's own."""
        changed = self.changed.get(name)
        if changed is not None:
            return changed
        return None if name == self._own_name else self._base.peers.get(name)

    def items(self) -> Iterator[tuple[str, _Peer]]:
        """All entries in the base table's order."""
        changed, own_name = self.changed, self._own_name
        for name, shared in self._base.peers.items():
            if name != own_name:
                yield name, changed.get(name, shared)

    def __getitem__(self, name: str) -> _Peer:
        peer = self.get(name)
        if peer is None:
            raise KeyError(name)
        return peer

    def __iter__(self) -> Iterator[str]:
        return (name for name in self._base.peers if name != self._own_name)

    def __len__(self) -> int:
        return len(self._base.peers) - (self._own_name in self._base.peers)

    def __contains__(self, name: object) -> bool:
        return name != self._own_name and name in self._base.peers


class SharedPeers(Peers):
    """The program's view on a shared table. The names it knows are those of the table, and stay."""

    def __init__(self, name: str, run: int, base: BaseTable, seed: int, period_ms: float = PERIOD_MS) -> None:
        super().__init__(name, run, (), seed, period_ms)
        self.table = SharedTable(base, name)
        self.peers = self.table  # type: ignore[assignment]

    def _apply(self, update: Update) -> None:
        peer = self.table.get(update.name)
        if peer is not None and update.rank > (peer.boot_epoch, peer.incarnation, peer.state):
            self.table.make_private(update.name)
        super()._apply(update)

    def _next_target(self) -> str | None:
        """As the program's, but the whole table is gone through once a round and not at every probe."""
        absent = self.table.absent()
        self._probe_count += 1
        if absent and (self._probe_count % ABSENT_PROBE_INTERVAL == 0 or len(absent) == len(self.table)):
            return self._random.choice(absent)
        while self._order:
            name = self._order.pop()
            if name in self.table and self.table[name].reachable:
                return name
        self._order = [name for name, peer in self.table.items() if peer.reachable]
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None
