"""Rule 2: no second set-up where the first may have run or may still be out."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import pairwise

from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import REORDERING_S, Setup, Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 2


def check_setups(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Paid set-ups made again, attempts side by side, and tokens refused as unused that may have run."""
    paid_by_token: dict[str, list[Setup]] = defaultdict(list)
    by_session: dict[str, list[Setup]] = defaultdict(list)
    for setup in traffic.setups:
        if setup.order["paid"]:
            paid_by_token[setup.order["claim"]].append(setup)
        by_session[setup.session].append(setup)
    for token, setups in paid_by_token.items():
        yield from _check_paid_again(token, setups, traffic)
    for session, setups in by_session.items():
        yield from _check_overlap(session, setups)
    # where its register keeps a token from a second set-up, coming back is harmless while it plays
    if not terms.takeover:
        yield from _check_refusals(paid_by_token, traffic)


def _check_paid_again(token: str, setups: list[Setup], traffic: Traffic) -> Iterator[Broken]:
    for index, later in enumerate(setups):
        if any(not _never_ran(earlier, traffic) for earlier in setups[:index]):
            yield Broken(RULE, later.sent, f"{token}: paid and set up again ({later.identifier})")


def _check_overlap(session: str, setups: Iterable[Setup]) -> Iterator[Broken]:
    for earlier, later in pairwise(setups):
        ended = earlier.exchange.ended
        if ended is None or ended > later.sent + REORDERING_S:
            yield Broken(RULE, later.sent, f"{session}: two attempts out at once")


def _check_refusals(paid_by_token: dict[str, list[Setup]], traffic: Traffic) -> Iterator[Broken]:
    for request in traffic.requests:
        answer = request.exchange.answer
        if request.exchange.status != 503 or answer is None:
            continue
        for setup in paid_by_token.get(str(request.claims["jti"]), ()):
            # the taps' clock has whole milliseconds: on a fast machine both may fall into one
            if setup.sent <= answer.first and not _never_ran(setup, traffic):
                yield Broken(RULE, answer.first, f"{request.claims['jti']}: refused, and it may have run")


def _never_ran(setup: Setup, traffic: Traffic) -> bool:
    """Only the media server's own word proves it: in its answer, or in a later one to another director."""
    if setup.identifier in traffic.never_run:
        return True
    answer = setup.exchange.whole_answer
    return answer is not None and setup.exchange.status == 503 and "foxlift-refusal" in answer.headers
