"""Which boxes of gone directors this director takes over, updated change by change. No I/O, no clock.

The successor of a gone director at a box is the first reachable director by rendezvous hashing of both
names. For each gone director and box, one reachable director that ranks before this one is remembered; the
others are looked at again only when that one becomes unreachable. So where hundreds of directors die one
after another, each death costs few ranks, where computing all anew costs some for each pair.
"""

from __future__ import annotations

import zlib
from array import array
from collections.abc import Iterable, Set
from itertools import filterfalse

from foxlift.consensus import rendezvous

NONE_BEFORE = 0  # instead of a director's id: this director is the successor


class Succession:
    """The part of the director `name`. `wanted`: pairs of gone director and box that it is successor for.

    This director's own earlier epochs are always its own to take over, at every box.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.wanted: set[tuple[str, str]] = set()
        self._boxes: frozenset[str] = frozenset()
        self._places: dict[str, int] = {}  # of each box in a row
        self._reachable: frozenset[str] = frozenset((name,))
        self._order = [name]  # the reachable ones
        self._ids: dict[str, int] = {}  # of directors, from 1
        # by gone director: at each box's place the id of a reachable director that ranks before this one
        self._rows: dict[str, array[int]] = {}

    def update(self, boxes: frozenset[str], gone: Set[str], reachable: Iterable[str]) -> None:
        """Bring `wanted` up to date. This director counts as reachable in any case."""
        for owner in self._rows.keys() - gone:
            del self._rows[owner]
            self.wanted -= {(owner, box) for box in self._boxes}
        self._update_reachable(frozenset((self.name, *reachable)))
        self._update_boxes(boxes)
        for owner in gone - self._rows.keys():
            self._rows[owner] = array("I", [NONE_BEFORE]) * len(boxes)
            for box in self._places:
                self._search(owner, box)

    def _update_boxes(self, boxes: frozenset[str]) -> None:
        if boxes == self._boxes:
            return
        added, before = boxes - self._boxes, self._places
        self._boxes = boxes
        self._places = {box: place for place, box in enumerate(sorted(boxes))}
        self.wanted = {(owner, box) for owner, box in self.wanted if box in boxes}
        for owner, row in self._rows.items():
            kept = (NONE_BEFORE if box in added else row[before[box]] for box in self._places)
            self._rows[owner] = array("I", kept)
            for box in added:
                self._search(owner, box)

    def _update_reachable(self, reachable: frozenset[str]) -> None:
        added, removed = reachable - self._reachable, self._reachable - reachable
        if not added and not removed:
            return
        self._reachable = reachable
        # in the order of the changes, so that the same changes cost the same ranks in every process
        self._order = [*filterfalse(removed.__contains__, self._order), *sorted(added)]
        removed_ids = {self._ids[name] for name in removed if name in self._ids}
        for owner, row in self._rows.items():
            if not removed_ids.isdisjoint(row):
                for box, place in self._places.items():
                    if row[place] in removed_ids:
                        self._search(owner, box)
        for name in added:
            self._yield_to(name)

    def _search(self, owner: str, box: str) -> None:
        """Look for a reachable director that ranks before this one; without one, the pair is wanted."""
        found = NONE_BEFORE if owner == self.name else self._find_before(owner, box)
        self._rows[owner][self._places[box]] = found
        if found == NONE_BEFORE:
            self.wanted.add((owner, box))

    def _find_before(self, owner: str, box: str) -> int:
        key = _key(owner, box)
        # each pair begins elsewhere, so that no director is remembered for very many of them
        order, start = self._order, zlib.crc32(key.encode())
        candidates = (order[(start + step) % len(order)] for step in range(len(order)))
        found = rendezvous.name_before(key, self.name, (name for name in candidates if name != owner))
        return NONE_BEFORE if found is None else self._id_of(found)

    def _id_of(self, name: str) -> int:
        return self._ids.setdefault(name, len(self._ids) + 1)

    def _yield_to(self, name: str) -> None:
        """Leave to a director that has become reachable what it ranks before this one for."""
        for owner, box in list(self.wanted):
            if owner in (self.name, name):
                continue
            if rendezvous.name_before(_key(owner, box), self.name, (name,)) is not None:
                self._rows[owner][self._places[box]] = self._id_of(name)
                self.wanted.discard((owner, box))


def _key(owner: str, box: str) -> str:
    """What the reachable directors are ranked for: the same as in `Takeovers.successor`."""
    return f"{owner}/{box}"
