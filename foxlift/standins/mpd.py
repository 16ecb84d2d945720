"""The little of DASH that the stand-in player reads, by itself: no code of the program is used."""

from __future__ import annotations

import re
import xml.etree.ElementTree as ET
from dataclasses import dataclass

NS = "{urn:mpeg:dash:schema:mpd:2011}"
_PADDED = re.compile(r"\$Number%0(\d+)d\$")
_DURATION = re.compile(r"^PT(?:(\d+)H)?(?:(\d+)M)?(?:([\d.]+)S)?$")


@dataclass(frozen=True)
class Track:
    """Renditions of one kind that a player switches between, from the lowest rate up: id and kbit/s."""

    renditions: tuple[tuple[str, float], ...]
    media: str
    init: str
    segment_s: float
    first_number: int

    def pick(self, cap_kbps: float) -> str:
        """The best within a cap, else the lowest."""
        fits = (name for name, kbps in reversed(self.renditions) if kbps <= cap_kbps)
        return next(fits, self.renditions[0][0])

    def kbps(self, name: str) -> float:
        """Rate of a rendition, kbit/s."""
        return dict(self.renditions)[name]

    def segment(self, name: str, at_s: float) -> str:
        """Path of the segment that holds a media time."""
        number = self.first_number + int(at_s / self.segment_s + 1e-6)
        path = self.media.replace("$RepresentationID$", name).replace("$Number$", str(number))
        return _PADDED.sub(lambda found: str(number).zfill(int(found[1])), path)

    def initialization(self, name: str) -> str:
        """Path of a rendition's initialization segment."""
        return self.init.replace("$RepresentationID$", name)


@dataclass(frozen=True)
class Mpd:
    """A manifest as the player sees it. `length_s`: None where it is not stated."""

    bases: tuple[str, ...]
    live: bool
    location: str
    period_s: float
    length_s: float | None
    video: Track
    audio: Track | None


def duration_s(text: str) -> float | None:
    """Seconds of an xs:duration without days."""
    matched = _DURATION.match(text)
    if matched is None:
        return None
    hours, minutes, seconds = (float(part or 0) for part in matched.groups())
    return hours * 3600 + minutes * 60 + seconds


def _track(adaptation_sets: list[ET.Element]) -> Track | None:
    found: list[tuple[str, float]] = []
    template: ET.Element | None = None
    for adaptation_set in adaptation_sets:
        own = adaptation_set.find(f"{NS}SegmentTemplate")
        for representation in adaptation_set.findall(f"{NS}Representation"):
            nearer = representation.find(f"{NS}SegmentTemplate")
            template = template if template is not None else own if own is not None else nearer
            name, kbps = representation.get("id", ""), int(representation.get("bandwidth", "0")) / 1000
            found.append((name, kbps))
    if template is None or not found:
        return None
    scale = float(template.get("timescale", "1"))
    return Track(
        tuple(sorted(found, key=lambda row: row[1])),
        template.get("media", ""),
        template.get("initialization", ""),
        float(template.get("duration", "2")) / scale,
        int(template.get("startNumber", "1")),
    )


def read_mpd(body: bytes) -> Mpd:
    """Raises ValueError (ElementTree's errors among them)."""
    root = ET.fromstring(body)
    kinds: dict[str, list[ET.Element]] = {"video": [], "audio": []}
    period = root.find(f"{NS}Period")
    for adaptation_set in period.findall(f"{NS}AdaptationSet") if period is not None else ():
        kind = adaptation_set.get("contentType") or (adaptation_set.get("mimeType") or "").split("/")[0]
        if kind in kinds:
            kinds[kind].append(adaptation_set)
    video = _track(kinds["video"])
    if video is None:
        raise ValueError("no video")
    return Mpd(
        tuple((base.text or "").strip() for base in root.findall(f"{NS}BaseURL")),
        root.get("type") == "dynamic",
        (root.findtext(f"{NS}Location") or "").strip(),
        duration_s(root.get("minimumUpdatePeriod", "")) or 4.0,
        duration_s(root.get("mediaPresentationDuration", "")),
        video,
        _track(kinds["audio"]),
    )
