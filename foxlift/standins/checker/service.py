"""Measures the service: what was answered in time and shown, of what viewers asked."""

from __future__ import annotations

import re
from bisect import bisect_right
from dataclasses import dataclass
from typing import Any

from foxlift.standins.checker.manifests import ladder_kbps, shown_kbps, shown_rungs
from foxlift.standins.checker.messages import Message
from foxlift.standins.checker.terms import ClassTerms, Terms
from foxlift.standins.checker.traffic import ManifestRequest, Traffic
from foxlift.standins.checker.verdict import Service, Verdict

WINDOW_S = 10
MAX_BITRATE = re.compile(r";mb=(\d+)")  # of CMSD (CTA-5006), in kbit/s


@dataclass
class Viewer:
    """A viewer's first request, and the first manifest that it was shown."""

    first: ManifestRequest
    shown: Message | None = None


def measure_service(traffic: Traffic, terms: Terms, verdict: Verdict) -> None:
    """Add the service to every viewer to the verdict: in all, by class, by tenant, by window."""
    viewers = _read_viewers(traffic)
    if not viewers:
        return
    begin = min(viewer.first.begun for viewer in viewers)
    verdict.viewers = len(viewers)
    for viewer in viewers:
        claims = viewer.first.claims
        class_terms = terms.classes[str(claims["class"])]
        in_time, part = _measure_viewer(viewer, terms, class_terms)
        window = int((viewer.first.begun - begin) // WINDOW_S)
        for service in (
            verdict.service,
            verdict.by_class.setdefault(str(claims["class"]), Service()),
            verdict.by_tenant.setdefault(str(claims["tenant"]), Service()),
            verdict.windows.setdefault(window, Service()),
        ):
            service.add(class_terms.worth, in_time, part)


def _read_viewers(traffic: Traffic) -> list[Viewer]:
    """Viewers in the order in which they came; returns to a session are no requests of theirs."""
    viewers: dict[str, Viewer] = {}
    for request in traffic.requests:
        if request.is_return:
            continue
        viewer = viewers.setdefault(str(request.claims["sub"]), Viewer(request))
        answer = request.exchange.whole_answer
        if viewer.shown is None and request.exchange.status == 200 and answer is not None:
            viewer.shown = answer
    return list(viewers.values())


def _measure_viewer(viewer: Viewer, terms: Terms, class_terms: ClassTerms) -> tuple[bool, float]:
    """Whether it was shown a manifest in time, and what the rung shown earns over its best."""
    if viewer.shown is None:
        return False, 0.0
    in_time = viewer.shown.last - viewer.first.begun <= class_terms.wanted_s
    return in_time, _shown_part(viewer.shown, viewer.first.claims, terms, class_terms)


def _shown_part(answer: Message, claims: dict[str, Any], terms: Terms, class_terms: ClassTerms) -> float:
    """What the rung shown earns, over what the viewer's best would."""
    worth = terms.ladder_worth
    best = max(min(class_terms.top, int(claims.get("best", class_terms.top))), class_terms.floor)
    rungs = shown_rungs(answer, terms, class_terms)
    if not rungs:
        return 0.0
    highest = max(rungs)
    max_bitrate = MAX_BITRATE.search(answer.headers.get("cmsd-dynamic", ""))
    if max_bitrate is not None:
        highest = _rung_within(int(max_bitrate[1]), answer, ladder_kbps(terms, class_terms))
    return worth[min(highest, len(worth) - 1)] / worth[best]


def _rung_within(max_kbps: int, answer: Message, ladder: list[float]) -> int:
    """The rung that a player may take of those listed: the cap is that of video and sound together."""
    kbps, sound = shown_kbps(answer.body)
    allowed = [rate for rate in kbps if rate + sound <= max_kbps]
    return bisect_right(ladder, max(allowed or [min(kbps)]) + sound)
