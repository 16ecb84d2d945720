"""Counts paid tokens that were lost to their viewers without need."""

from __future__ import annotations

from collections import defaultdict

from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import SERVER_DEATHS, ManifestRequest, Setup, Traffic

SPENT = (410, 502, 504)  # answers that tell that a token ran or may have run


def count_spent_tokens(traffic: Traffic, terms: Terms) -> int:
    """Tokens told that they may have run, or ran, whose media server never died nor ended their session."""
    by_token: dict[str, list[Setup]] = defaultdict(list)
    for setup in traffic.setups:
        by_token[setup.order["claim"]].append(setup)
    dead = {mark.server for mark in traffic.marks if mark.text in SERVER_DEATHS}
    spent: set[str] = set()
    for request in traffic.requests:
        token = str(request.claims["jti"])
        if not _is_told_spent(request, terms) or token in spent:
            continue
        setups = by_token[token]
        if dead.isdisjoint(setup.server for setup in setups) and not _had_ended(request, setups, traffic):
            spent.add(token)
    return len(spent)


def _is_told_spent(request: ManifestRequest, terms: Terms) -> bool:
    class_terms = terms.classes.get(str(request.claims["class"]))
    return request.exchange.status in SPENT and class_terms is not None and class_terms.paid


def _had_ended(request: ManifestRequest, setups: list[Setup], traffic: Traffic) -> bool:
    """Whether a session of the token was known to have ended when the request came."""
    ends = traffic.known_ends
    return any(ends.get(setup.identifier, float("inf")) < request.begun for setup in setups)
