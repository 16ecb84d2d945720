"""Rule 7: a session's media server sends it no more than its rung's rate pays for.

That is so many times the booked rate over a window, and a credit beside it.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator, Sequence

from foxlift.standins.checker.capture import Stream
from foxlift.standins.checker.messages import Exchange, Message
from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import REORDERING_S, Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 7
WINDOW_S = 3.0
SEGMENT_S = 8.0  # the longest that a segment may take that was begun at a higher rung
BYTES_PER_KB = 1000

Arrival = tuple[float, int]  # when, and how many bytes
Rate = tuple[float, float]  # since when, and how many kB in a second


def check_booked_rate(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """The first window of each session that holds more than was booked."""
    if not terms.bytes_scale:
        return
    rates, sent = _read_sessions(traffic)
    for setup_id, arrivals in sent.items():
        if setup_id in rates:
            yield from _check_session(setup_id, sorted(arrivals), sorted(rates[setup_id]), terms)


def _read_sessions(traffic: Traffic) -> tuple[dict[str, list[Rate]], dict[str, list[Arrival]]]:
    """By set-up: the rates that were booked for it, and the bytes that it was sent."""
    rates: dict[str, list[Rate]] = defaultdict(list)
    sent: dict[str, list[Arrival]] = defaultdict(list)
    for setup in traffic.setups:
        rates[setup.identifier].append((setup.sent, setup.order["rate-kb"]))
    for exchange in traffic.to_servers():
        parts = exchange.path_parts
        if _books_rate(exchange):
            rates[parts[2]].append((exchange.asked.first, json.loads(exchange.asked.body)["rate-kb"]))
        elif parts[1] == "s" and exchange.answer is not None:
            sent[parts[2]] += _body_arrivals(exchange.connection.down, exchange.answer)
    return rates, sent


def _books_rate(exchange: Exchange) -> bool:
    parts = exchange.path_parts
    return exchange.method == "PUT" and len(parts) == 4 and parts[3] in ("rung", "resume")


def _body_arrivals(stream: Stream, message: Message) -> Iterator[Arrival]:
    """When how many bytes of a body came: the header section is no part of what is booked."""
    begin, end = message.span
    body_begin = end - len(message.body)
    for at, start, stop in stream.arrivals(begin, end):
        size = stop - max(start, body_begin)
        if size > 0:
            yield at, size


def _check_session(
    setup_id: str, arrivals: Sequence[Arrival], rates: Sequence[Rate], terms: Terms
) -> Iterator[Broken]:
    first, total = 0, 0
    largest = max((size for _, size in arrivals), default=0)
    for at, size in arrivals:
        total += size
        while arrivals[first][0] <= at - WINDOW_S:
            total -= arrivals[first][1]
            first += 1
        rate = _highest_rate(rates, at) * BYTES_PER_KB * terms.bytes_scale
        allowed = rate * (terms.ahead * (WINDOW_S + REORDERING_S) + terms.credit_s) + 2 * largest
        if total > allowed:
            what = f"{setup_id}: {total} bytes in {WINDOW_S:g} s, {allowed:.0f} are booked"
            yield Broken(RULE, at, what)
            return


def _highest_rate(rates: Sequence[Rate], at: float) -> float:
    """The highest rate in force in the window that ends at this time, in kB a second.

    A segment that was begun at a higher rung goes on at the rate at which it was begun: rates of as long
    before the window count too.
    """
    begin = at - WINDOW_S - SEGMENT_S
    held = max([rate for since, rate in rates if begin < since <= at] or [0.0])
    before = [rate for since, rate in rates if since <= begin]
    return max(held, before[-1] if before else 0.0)
