"""Rule 8: a command that a media server carried out is its owner's, from set-up and from each takeover on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from foxlift.standins.checker.messages import Exchange
from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import REORDERING_S, Traffic, is_setup
from foxlift.standins.checker.verdict import Broken

RULE = 8
NOT_THE_OWNER = 409


@dataclass
class Owners:
    """By set-up: since when which director owns it."""

    since: dict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    changes: int = 0

    def at(self, setup_id: str, at: float) -> str | None:
        """Its owner at a time; None before its set-up."""
        before = [owner for since, owner in sorted(self.since[setup_id]) if since <= at]
        return before[-1] if before else None

    def during(self, setup_id: str, begin: float, end: float) -> set[str | None]:
        """All its owners from one time to another."""
        later = {owner for since, owner in self.since[setup_id] if begin < since <= end}
        return {self.at(setup_id, begin), *later}

    def around(self, setup_id: str, at: float) -> set[str]:
        """Owners whose turn began at about this time.

        An answer and a takeover may show in the other order on two sockets, or the takeover's be lost.
        """
        return {owner for since, owner in self.since[setup_id] if abs(since - at) <= REORDERING_S}


def read_owners(traffic: Traffic) -> Owners:
    """Owners by the set-ups and takeovers that media servers confirmed."""
    owners = Owners()
    for setup in traffic.setups:
        if setup.is_confirmed:
            owners.since[setup.identifier].append((setup.sent, setup.order["director"]))
    for takeover in traffic.takeovers:
        owner = takeover.order["by"]
        for held in takeover.answer["sessions"]:
            turns = owners.since[held["set-up"]]
            if not turns or turns[-1][1] != owner:
                owners.changes += 1
            turns.append((takeover.answered, owner))
    return owners


def check_ownership(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Commands that were carried out for a director that did not own the session.

    A server carries a command out at some time between its request and its answer. A takeover in that time
    may have come before or after it: answers on two connections may pass in the other order.
    """
    if not terms.takeover:
        return
    owners = read_owners(traffic)
    for setup_id, exchange in _commands(traffic, owners):
        if not 200 <= exchange.status < 300 or exchange.answer is None:
            continue
        asked_at, at = exchange.asked.last, exchange.answer.first
        sender = exchange.asked.headers.get("foxlift-owner", "").partition("/")[0]
        owners_meanwhile = owners.during(setup_id, asked_at, at)
        if sender not in owners_meanwhile and sender not in owners.around(setup_id, at):
            owner = owners.at(setup_id, at)
            owned_by = "nobody" if owner is None else owner
            yield Broken(RULE, at, f"{setup_id}: commanded by {sender}, owned by {owned_by}")


def count_refused_commands(traffic: Traffic) -> int:
    """Commands that media servers refused because they were not their owner's."""
    commands = _commands(traffic, read_owners(traffic))
    return sum(1 for _, exchange in commands if exchange.status == NOT_THE_OWNER)


def _commands(traffic: Traffic, owners: Owners) -> Iterator[tuple[str, Exchange]]:
    """Commands to sessions whose owner is known, with their set-up."""
    for exchange in traffic.to_servers():
        parts = exchange.path_parts
        setup_id = parts[2] if len(parts) > 2 and parts[1] == "sessions" else ""
        is_command = exchange.method in ("PUT", "DELETE") and not is_setup(exchange)
        if is_command and setup_id in owners.since:
            yield setup_id, exchange
