"""Rule 5, seats: no more sessions of one title and class at one director than the class has seats."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping

from foxlift.standins.checker.capture import Mark
from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import REORDERING_S, Setup, Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 5


def check_seats(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Sessions count from their set-up's first byte to their known end."""
    known_ends = traffic.known_ends  # also on a day without seats: ends that cannot be read are an error
    steps: dict[tuple[str, str, str], list[tuple[float, int]]] = defaultdict(list)
    for setup in traffic.setups:
        order = setup.order
        if terms.classes[order["class"]].seats:
            key = (order["director"], order["title"], order["class"])
            end = _seat_end(setup, known_ends, traffic.marks)
            steps[key] += [(setup.sent, 1), (end - REORDERING_S, -1)]
    for (director, title, class_name), found in steps.items():
        held = 0
        for at, step in sorted(found):
            held += step
            if held > terms.classes[class_name].seats:
                yield Broken(RULE, at, f"{director}: {held} sessions of {title} in {class_name}")
                break


def _seat_end(setup: Setup, known_ends: Mapping[str, float], marks: Iterable[Mark]) -> float:
    """The first of its known end, its failure, and the death of its director or media server."""
    ends = [known_ends.get(setup.identifier, float("inf"))]
    if not setup.is_confirmed:
        ends.append(setup.exchange.ended or float("inf"))
    ends += [mark.at for mark in marks if _is_death(mark, setup) and mark.at > setup.sent]
    return min(ends)


def _is_death(mark: Mark, setup: Setup) -> bool:
    if mark.text == "kill":
        return mark.director == setup.director
    return mark.text == "die" and mark.server == setup.server
