"""Rule 5, rungs: no session under its class's floor, no manifest beyond what its viewer may see."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass

from foxlift.standins.checker.manifests import shown_rungs
from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import ManifestRequest, Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 5


def check_rungs(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Orders under the floor, and manifests that show rungs outside floor and best."""
    for order in _ordered_rungs(traffic):
        yield from _check_order(order, terms)
    for request in traffic.requests:
        yield from _check_manifest(request, terms)


@dataclass(frozen=True)
class OrderedRung:
    """A rung at which a media server was ordered to send."""

    at: float
    setup_id: str
    class_name: str
    rung: int


def _ordered_rungs(traffic: Traffic) -> Iterator[OrderedRung]:
    """Rungs at which sessions were set up, then those to which they were changed."""
    class_of: dict[str, str] = {}
    for setup in traffic.setups:
        order = setup.order
        class_of[setup.identifier] = order["class"]
        yield OrderedRung(setup.sent, setup.identifier, order["class"], order["rung"])
    for exchange in traffic.to_servers():
        parts = exchange.path_parts
        is_change = exchange.method == "PUT" and len(parts) == 4 and parts[3] == "rung"
        if is_change and parts[2] in class_of:
            rung = json.loads(exchange.asked.body)["rung"]
            yield OrderedRung(exchange.asked.first, parts[2], class_of[parts[2]], rung)


def _check_order(order: OrderedRung, terms: Terms) -> Iterator[Broken]:
    if order.rung < terms.classes[order.class_name].floor:
        what = f"{order.setup_id}: rung {order.rung} under the floor of {order.class_name}"
        yield Broken(RULE, order.at, what)


def _check_manifest(request: ManifestRequest, terms: Terms) -> Iterator[Broken]:
    class_terms = terms.classes.get(str(request.claims.get("class")))
    answer = request.exchange.answer
    if request.exchange.status != 200 or answer is None or class_terms is None:
        return
    rungs = shown_rungs(answer, terms, class_terms)
    best = min(class_terms.top, int(request.claims.get("best", class_terms.top)))
    if not rungs or min(rungs) < class_terms.floor or max(rungs) > max(best, class_terms.floor):
        yield Broken(RULE, answer.first, f"{request.claims['jti']}: shown rungs {sorted(rungs)}")
