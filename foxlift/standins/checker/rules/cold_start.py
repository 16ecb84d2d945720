"""Rule 4: a media server that was just started is warmed up, not flooded."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from foxlift.standins.checker.capture import Mark
from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 4
ROUNDING_SLACK = 2  # set-ups that a window may hold beyond its budget: the media server rounds up itself


def check_cold_starts(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Media servers that fell over, and set-ups beyond what one carries while it is cold."""
    sent: dict[str, list[float]] = defaultdict(list)
    for setup in traffic.setups:
        sent[setup.server].append(setup.sent)
    for mark in traffic.marks:
        if mark.text == "fallen":
            yield Broken(RULE, mark.at, f"{mark.server}: pushed over")
        elif mark.text == "return":
            yield from _check_warm_up(mark, sent[mark.server], terms)


def _check_warm_up(start: Mark, sent: Sequence[float], terms: Terms) -> Iterator[Broken]:
    times = [at for at in sent if start.at <= at < start.at + terms.warm_up_s]
    for at in times:
        in_window = sum(1 for other in times if at - terms.cold_window_s < other <= at)
        if in_window > _window_budget(start.server, at - start.at, terms):
            window = f"{in_window} set-ups in a window {at - start.at:.1f} s after its start"
            yield Broken(RULE, at, f"{start.server}: {window}")


def _window_budget(server: str, age_s: float, terms: Terms) -> float:
    """Set-ups that a window may hold at this age."""
    warmth = min(terms.cold_from + (1 - terms.cold_from) * age_s / terms.warm_up_s, 1.0)
    pace = terms.places[server] / terms.warm_up_s * warmth
    return terms.cold_multiple * pace * terms.cold_window_s + ROUNDING_SLACK
