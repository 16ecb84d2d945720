"""Runs all rules and measures over one capture file."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path

from foxlift.standins.checker.capture import Connection, read_capture
from foxlift.standins.checker.messages import Exchange
from foxlift.standins.checker.rules.answers import check_answers
from foxlift.standins.checker.rules.attempt_budget import check_attempt_budget
from foxlift.standins.checker.rules.booked_rate import check_booked_rate
from foxlift.standins.checker.rules.cold_start import check_cold_starts
from foxlift.standins.checker.rules.drains import check_drains
from foxlift.standins.checker.rules.ownership import check_ownership, count_refused_commands, read_owners
from foxlift.standins.checker.rules.rungs import check_rungs
from foxlift.standins.checker.rules.seats import check_seats
from foxlift.standins.checker.rules.setups import check_setups
from foxlift.standins.checker.rules.unexplained_ends import check_unexplained_ends
from foxlift.standins.checker.service import measure_service
from foxlift.standins.checker.spent_tokens import count_spent_tokens
from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import Traffic
from foxlift.standins.checker.verdict import Broken, Verdict

Rule = Callable[[Traffic, Terms], Iterator[Broken]]

# Breaches of one moment stand in this order in a verdict.
RULES: tuple[Rule, ...] = (
    check_answers,
    check_setups,
    check_drains,
    check_cold_starts,
    check_rungs,
    check_seats,
    check_attempt_budget,
    check_booked_rate,
    check_ownership,
    check_unexplained_ends,
)


class Checker:
    """Reads a capture file and judges it."""

    def __init__(self, path: Path, terms: Terms) -> None:
        self.terms = terms
        self.traffic = Traffic(read_capture(path))

    @property
    def connections(self) -> Mapping[int, Connection]:
        """Captured connections by their number."""
        return self.traffic.connections

    @property
    def exchanges(self) -> tuple[Exchange, ...]:
        """Whole requests with their answers, in the order in which they began."""
        return self.traffic.exchanges

    def judge(self) -> Verdict:
        """All rules, and the service."""
        traffic, terms = self.traffic, self.terms
        verdict = Verdict(requests=len(traffic.requests), set_ups=len(traffic.setups))
        verdict.answers = dict(Counter(request.exchange.status for request in traffic.requests))
        for rule in RULES:
            verdict.broken += rule(traffic, terms)
        verdict.broken.sort(key=lambda broken: broken.at)
        if terms.takeover:
            verdict.taken_over = read_owners(traffic).changes
            verdict.refused_commands = count_refused_commands(traffic)
            verdict.spent = count_spent_tokens(traffic, terms)
        measure_service(traffic, terms, verdict)
        return verdict
