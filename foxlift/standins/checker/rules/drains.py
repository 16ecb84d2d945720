"""Rule 3: no new work for a media server that drains, once its director was told and had time to heed it."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator

from foxlift.standins.checker.discovery import listed_servers
from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 3

# By director and media server: when the director was told of it, and whether it was closed to new work.
Reports = dict[tuple[str, str], list[tuple[float, bool]]]


def check_drains(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Set-ups that left more than the grace after the box list said that their media server drains."""
    reports = _read_reports(traffic)
    for setup in traffic.setups:
        since = _closed_since(reports[setup.director, setup.server], setup.sent)
        if since is not None and setup.sent > since + terms.drain_grace_s:
            after = f"{setup.sent - since:.3f} s after it was told of a drain"
            yield Broken(RULE, setup.sent, f"{setup.director} to {setup.server}: {after}")


def _read_reports(traffic: Traffic) -> Reports:
    reports: Reports = defaultdict(list)
    for exchange in traffic.to_discovery():
        answer = exchange.whole_answer
        if answer is None or exchange.status != 200:
            continue
        for server, closed in listed_servers(json.loads(answer.body)):
            reports[exchange.connection.endpoint, server].append((answer.last, closed))
    return reports


def _closed_since(reports: Iterable[tuple[float, bool]], at: float) -> float | None:
    """Since when it was told at this time to be closed; None: it was open, or not told of."""
    since: float | None = None
    for when, closed in reports:
        if when > at:
            break
        if not closed:
            since = None
        elif since is None:
            since = when
    return since
