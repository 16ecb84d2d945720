"""What a DASH manifest shows its viewer, in rates and in rungs of the bitrate ladder."""

from __future__ import annotations

import xml.etree.ElementTree as ET
from bisect import bisect_right

from foxlift.standins.checker.messages import Message
from foxlift.standins.checker.terms import ClassTerms, Terms

NS = "{urn:mpeg:dash:schema:mpd:2011}"
BITS_PER_BYTE = 8
ROUNDING_KBPS = 1  # a listed rate is a whole number of kbit/s: it may lie above its rung by so much


def shown_kbps(body: bytes) -> tuple[set[float], float]:
    """Rates of the first Period's video, and of its best sound; no video where there is no manifest."""
    try:
        period = ET.fromstring(body).find(f"{NS}Period")
    except ET.ParseError:
        return set(), 0.0
    found: dict[str, set[float]] = {"video": set(), "audio": set()}
    for adaptation_set in period.findall(f"{NS}AdaptationSet") if period is not None else ():
        kind = adaptation_set.get("contentType") or (adaptation_set.get("mimeType") or "").split("/")[0]
        rates = (int(r.get("bandwidth") or 0) / 1000 for r in adaptation_set.findall(f"{NS}Representation"))
        found.setdefault(kind, set()).update(rates)
    return found["video"], max(found["audio"], default=0.0)


def ladder_kbps(terms: Terms, class_terms: ClassTerms) -> list[float]:
    """The most that each rung carries for a class, in kbit/s, lowest first."""
    return [kb * class_terms.scale * BITS_PER_BYTE + ROUNDING_KBPS for kb in terms.ladder_kb]


def shown_rungs(answer: Message, terms: Terms, class_terms: ClassTerms) -> set[int]:
    """The rungs that the listed video needs, with the sound beside it; one past the ladder for more."""
    kbps, sound = shown_kbps(answer.body)
    ladder = ladder_kbps(terms, class_terms)
    return {bisect_right(ladder, rate + sound) for rate in kbps}
