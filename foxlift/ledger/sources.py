"""Reads the records to be merged from the batches that directors have exported.

Directors share nothing, so a merge has only their exports. Batches may come in any order, repeated or not at
all. Each row carries the hash chain, which shows whether anything between two rows was changed.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from foxlift.ledger.export import read_lines
from foxlift.ledger.records import EMPTY_CHAIN, Linked, Record, link
from foxlift.store import LogError

_BATCH = re.compile(r"^(?P<ledger>.+)-(?P<batch>\d{9})\.jsonl$")


@dataclass(frozen=True, slots=True)
class Missing:
    """Batches that are missing although later ones exist."""

    instance: str
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class Break:
    """A record whose hash does not follow from the record before: one was changed, removed or inserted."""

    instance: str
    number: int


def batches_of(names: Iterable[str]) -> dict[str, list[tuple[int, str]]]:
    """Batch files by instance, in order of their numbers; other files are ignored."""
    found: dict[str, list[tuple[int, str]]] = {}
    for name in names:
        match = _BATCH.match(name)
        if match is not None:
            found.setdefault(match["ledger"], []).append((int(match["batch"]), name))
    return {ledger: sorted(batches) for ledger, batches in sorted(found.items())}


def missing_batches(instance: str, numbers: Iterable[int]) -> list[Missing]:
    """Gaps in the numbers, from batch 1 on. Batches missing after the last one cannot be detected."""
    found, expected = [], 1
    for number in sorted(set(numbers)):
        if number > expected:
            found.append(Missing(instance, expected, number - 1))
        expected = number + 1
    return found


def read_batches(
    batches: Iterable[tuple[int, str]], read: Callable[[str], bytes]
) -> Iterator[tuple[int, Linked]]:
    """The rows of batch files, one file in memory at a time. Raises LogError that names it, and OSError."""
    for _, name in batches:
        data = read(name)
        if data and not data.endswith(b"\n"):
            raise LogError(f"{name}: offset {len(data)}: cut short in its last line")
        try:
            yield from read_lines(data)
        except msgspec.MsgspecError as error:
            raise LogError(f"{name}: {error}") from error


@dataclass
class Chained:
    """Yields rows as records and collects breaks of the chain."""

    instance: str
    breaks: list[Break] = field(default_factory=list)

    def records(self, rows: Iterable[tuple[int, Linked]]) -> Iterator[tuple[int, Record]]:
        """The records with their numbers. After a gap the chain continues with the next row."""
        last, chain = 0, EMPTY_CHAIN
        for number, linked in rows:
            if number == last + 1 and link(chain, linked.record).chain != linked.chain:
                self.breaks.append(Break(self.instance, number))
            if number > last:
                last, chain = number, linked.chain
            yield number, linked.record
