"""Rule 9: a session that plays ends for a cause that shows."""

from __future__ import annotations

from collections.abc import Iterator

from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import SERVER_DEATHS, Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 9


def check_unexplained_ends(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Sessions that their media server no longer knows, though it neither said that they ended nor died."""
    if not terms.takeover:
        return
    known_setups = {setup.identifier for setup in traffic.setups}
    reported: set[str] = set()
    for exchange in traffic.to_servers():
        parts = exchange.path_parts
        if parts[1] != "s" or exchange.status != 404 or parts[2] in reported or parts[2] not in known_setups:
            continue
        at = exchange.asked.first
        ended = traffic.known_ends.get(parts[2], float("inf")) <= at
        if not ended and not _died_before(traffic, exchange.connection.endpoint, at):
            reported.add(parts[2])
            yield Broken(RULE, at, f"{parts[2]}: its box knows it no more, and nothing had ended it")


def _died_before(traffic: Traffic, server: str, at: float) -> bool:
    return any(
        mark.text in SERVER_DEATHS and mark.server == server and mark.at < at for mark in traffic.marks
    )
