"""Rule 6: a director makes further attempts only within a budget of its requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import REORDERING_S, ManifestRequest, Setup, Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 6
TURNED_DOWN = (401, 403, 404, 410, 429)  # nothing was tried for these
PLAYS = (200, 307)


def check_attempt_budget(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Attempts beyond a session's first, in each span, against the requests in it."""
    if terms.extra_span_s <= 0:
        return
    admitted = _admitted(traffic)
    further: dict[str, list[float]] = defaultdict(list)
    for setup in traffic.setups:
        if setup.is_first_attempt:
            continue
        director, at = setup.director, setup.sent
        further[director].append(at)
        begin = at - terms.extra_span_s
        made = sum(1 for when in further[director] if when > begin + REORDERING_S)
        asked = sum(1 for when in admitted[director] if begin - REORDERING_S < when <= at)
        if made > terms.extra_free + terms.extra_ratio * asked:
            yield Broken(RULE, at, f"{director}: {made} further attempts for {asked} requests")


def _admitted(traffic: Traffic) -> dict[str, list[float]]:
    """By director: when the requests came that it took sessions for."""
    admitted: dict[str, list[float]] = defaultdict(list)
    playing: set[tuple[str, str]] = set()  # director, token
    for request in traffic.requests:
        key = (request.director, str(request.claims["jti"]))
        if request.is_return and not _was_set_up_for(request, traffic.setups):
            continue  # its session plays on: none was set up for it
        status = request.exchange.status
        if (key not in playing or request.is_return) and status not in TURNED_DOWN:
            admitted[request.director].append(request.begun)
        if status in PLAYS:
            playing.add(key)
    return admitted


def _was_set_up_for(request: ManifestRequest, setups: Iterable[Setup]) -> bool:
    """Whether a set-up for the token left while the request waited."""
    end = request.exchange.ended or float("inf")
    return any(
        setup.order["claim"] == request.claims["jti"]
        and request.begun - REORDERING_S <= setup.sent <= end + REORDERING_S
        for setup in setups
    )
