"""Rule 1: every request for a manifest has one answer, in its class's time."""

from __future__ import annotations

from collections.abc import Iterator

from foxlift.standins.checker.manifests import shown_kbps
from foxlift.standins.checker.messages import Message
from foxlift.standins.checker.terms import Terms
from foxlift.standins.checker.traffic import ManifestRequest, Traffic
from foxlift.standins.checker.verdict import Broken

RULE = 1
UNKNOWN_CLASS_DEADLINE_S = 5.0


def check_answers(traffic: Traffic, terms: Terms) -> Iterator[Broken]:
    """Answers that are late, missing, empty, or to no request."""
    for stray in traffic.stray_answers:
        what = f"{stray.connection.tap}: an answer to nothing ({stray.answer.line})"
        yield Broken(RULE, stray.answer.first, what)
    for request in traffic.requests:
        limit = _latest_answer(request, terms)
        answer = request.exchange.whole_answer
        if answer is not None:
            yield from _check_answer(request, answer, limit)
        else:
            yield from _check_missing_answer(request, limit, traffic)


def _latest_answer(request: ManifestRequest, terms: Terms) -> float:
    class_terms = terms.classes.get(str(request.claims.get("class")))
    deadline_s = class_terms.deadline_s if class_terms else UNKNOWN_CLASS_DEADLINE_S
    return request.begun + deadline_s + terms.slack_s


def _check_answer(request: ManifestRequest, answer: Message, limit: float) -> Iterator[Broken]:
    if request.exchange.status == 200 and not shown_kbps(answer.body)[0]:
        yield Broken(RULE, answer.last, f"{request.label}: answered 200 without a manifest")
    if answer.last > limit:
        yield Broken(RULE, answer.last, f"{request.label}: answered {answer.last - limit:.3f} s late")


def _check_missing_answer(request: ManifestRequest, limit: float, traffic: Traffic) -> Iterator[Broken]:
    """A viewer may leave before its time is over, and a director that is killed answers nothing."""
    connection = request.exchange.connection
    if connection.shut_by == "up":
        if connection.shut is not None and connection.shut > limit:
            yield Broken(RULE, limit, f"{request.label}: no answer in the viewer's time")
        return
    at = connection.shut or limit
    if not traffic.director_was_killed(request.director, at):
        yield Broken(RULE, at, f"{request.label}: no answer")
