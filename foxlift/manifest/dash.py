"""DASH manifests (ISO/IEC 23009-1): read a source once, write it for each session.

What a session is shown differs from the source in this, and in nothing else:

- `MPD/BaseURL` is the session's own, on its media box, with the session's path-borne token; what the source
  states further down is relative and resolves against it (5.6.4).
- Of each video AdaptationSet only the Representations from the class's floor up to the rung in force stay.
  Rungs count from 0 by @bandwidth within the set. Audio, text and other sets are left alone.
- `MPD/Location` (5.3.1.2) names the session's manifest, @minimumUpdatePeriod brings the player back to it,
  so that a change of rung reaches it. The standard allows @minimumUpdatePeriod with @type "dynamic" only: a
  static source is shown as a dynamic one that starts with the session, all of it available from then on
  (@availabilityTimeOffset "INF", 5.3.9.5), its @mediaPresentationDuration kept.

The bytes for a pair of floor and rung are made once; a session's own parts are then put in by joining.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass
from xml.sax.saxutils import escape

from lxml import etree

NAMESPACE = "urn:mpeg:dash:schema:mpd:2011"
XLINK = "http://www.w3.org/1999/xlink"
MAX_BYTES = 4 << 20
MAX_REPRESENTATIONS = 1000
_Q = f"{{{NAMESPACE}}}"
_BASE, _LOCATION, _START, _PERIOD = "__foxlift_base__", "__foxlift_location__", "__foxlift_start__", "7177177"
_URL_ATTRIBUTES = ("media", "initialization", "index", "bitstreamSwitching", "sourceURL")


class ManifestError(ValueError):
    """A source manifest cannot be used; says which one, where in it, and why."""


@dataclass(frozen=True, slots=True)
class SessionView:
    """What is a session's own in its manifest. `start` is an xs:dateTime, the period whole seconds."""

    base_url: str
    location: str
    start: str
    update_period_s: float
    rung: int
    floor: int = 0


class DashSource:
    """A checked source manifest."""

    def __init__(self, data: bytes, name: str) -> None:
        """Raises ManifestError."""
        self.name = name
        if len(data) > MAX_BYTES:
            raise ManifestError(f"{name}: larger than {MAX_BYTES} bytes")
        parser = etree.XMLParser(
            resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False, remove_comments=True
        )
        try:
            self._root = etree.fromstring(data, parser)
        except etree.XMLSyntaxError as error:
            raise ManifestError(f"{name}:{error.lineno or 1}: not XML: {error.msg}") from error
        except ValueError as error:
            raise ManifestError(f"{name}:1: not XML: {error}") from error
        if self._root.getroottree().docinfo.doctype:
            raise ManifestError(f"{name}:1: a document type is not accepted (entities could expand)")
        if self._root.tag != f"{_Q}MPD":
            raise ManifestError(f"{name}:1: the root is {self._root.tag!r}, not MPD in {NAMESPACE}")
        self._check()
        self.is_live = self._root.get("type") == "dynamic"
        self.rungs = self._count_rungs()
        self._parts: dict[tuple[int, int], list[tuple[str, bytes]]] = {}

    # ---- Reading ------------------------------------------------------------------------------------------
    def _fail(self, element: etree._Element, why: str) -> ManifestError:
        return ManifestError(f"{self.name}:{element.sourceline}: {etree.QName(element).localname}: {why}")

    def _check(self) -> None:
        representations = 0
        if self._root.find(f"{_Q}Period") is None:
            raise self._fail(self._root, "holds no Period")
        for element in self._root.iter():
            if not isinstance(element.tag, str):
                if isinstance(element, etree._Entity):
                    raise ManifestError(f"{self.name}:{element.sourceline}: an entity is not accepted")
                continue
            if element.get(f"{{{XLINK}}}href") is not None:
                raise self._fail(element, "remote elements (xlink:href) are not fetched")
            if element.tag == f"{_Q}BaseURL":
                self._check_url(element, (element.text or "").strip())
            for attribute in _URL_ATTRIBUTES:
                value = element.get(attribute)
                if value is not None and element.tag.startswith(_Q):
                    self._check_url(element, value)
            if element.tag == f"{_Q}Representation":
                representations += 1
                if not (element.get("bandwidth") or "").isdigit():
                    raise self._fail(element, "@bandwidth is missing or no whole number")
        if not representations:
            raise self._fail(self._root, "holds no Representation")
        if representations > MAX_REPRESENTATIONS:
            raise self._fail(self._root, f"more than {MAX_REPRESENTATIONS} Representations")

    def _check_url(self, element: etree._Element, url: str) -> None:
        """Segments must resolve below the session's own BaseURL: nothing absolute, no way up."""
        if "://" in url or url.startswith("/") or ".." in url.split("?")[0].split("/") or "\\" in url:
            raise self._fail(element, "a URL here must be relative and lead down only")

    def _video_sets(self, root: etree._Element) -> list[etree._Element]:
        return [s for s in root.iter(f"{_Q}AdaptationSet") if _is_video(s)]

    def _count_rungs(self) -> int:
        counts = [len(_by_bandwidth(s)) for s in self._video_sets(self._root)]
        if not counts:
            raise self._fail(self._root, "holds no video AdaptationSet: there is nothing to shape")
        return max(counts)

    # ---- Writing ------------------------------------------------------------------------------------------
    def write(self, view: SessionView) -> bytes:
        """The manifest as one session sees it."""
        values = {
            _BASE: escape(view.base_url).encode(),
            _LOCATION: escape(view.location).encode(),
            _START: view.start.encode(),
            _PERIOD: f"{view.update_period_s:g}".encode(),
        }
        parts = self._template(view.floor, view.rung)
        return b"".join(data + values.get(slot, b"") for slot, data in parts)

    def _template(self, floor: int, rung: int) -> list[tuple[str, bytes]]:
        key = (min(floor, self.rungs), min(rung, self.rungs))
        if key not in self._parts:
            self._parts[key] = _split(self._shape(floor, rung))
        return self._parts[key]

    def _shape(self, floor: int, rung: int) -> bytes:
        root = copy.deepcopy(self._root)
        for video in self._video_sets(root):
            ordered = _by_bandwidth(video)
            first = min(floor, len(ordered) - 1)
            last = max(min(rung, len(ordered) - 1), first)
            for k, representation in enumerate(ordered):
                if not first <= k <= last:
                    video.remove(representation)
        for location in root.findall(f"{_Q}Location"):
            root.remove(location)
        bases = root.findall(f"{_Q}BaseURL")
        below = (bases[0].text or "").strip() if bases else ""
        for base in bases:
            root.remove(base)
        root.set("minimumUpdatePeriod", f"PT{_PERIOD}S")
        base = etree.Element(f"{_Q}BaseURL")
        base.text = _BASE + below
        if not self.is_live:
            root.set("type", "dynamic")
            root.set("availabilityStartTime", _START)
            root.set("publishTime", _START)
            base.set("availabilityTimeOffset", "INF")
        location = etree.Element(f"{_Q}Location")
        location.text = _LOCATION
        # ProgramInformation comes before BaseURL, BaseURL before Location (the schema's sequence)
        at = len(root.findall(f"{_Q}ProgramInformation"))
        root.insert(at, base)
        root.insert(at + 1, location)
        return etree.tostring(root, xml_declaration=True, encoding="UTF-8")


def _is_video(adaptation_set: etree._Element) -> bool:
    kinds = [adaptation_set.get("contentType"), adaptation_set.get("mimeType")]
    kinds += [r.get("mimeType") for r in adaptation_set.findall(f"{_Q}Representation")]
    kinds += [c.get("contentType") for c in adaptation_set.findall(f"{_Q}ContentComponent")]
    return any(kind is not None and kind.split("/")[0] == "video" for kind in kinds)


def _by_bandwidth(adaptation_set: etree._Element) -> list[etree._Element]:
    found = adaptation_set.findall(f"{_Q}Representation")
    return sorted(found, key=lambda r: int(r.get("bandwidth", "0")))


def _split(data: bytes) -> list[tuple[str, bytes]]:
    """Cut at the slots: each part is the bytes before a slot, and the slot that follows them."""
    parts: list[tuple[str, bytes]] = []
    while True:
        found = [(data.find(slot.encode()), slot) for slot in (_BASE, _LOCATION, _START, _PERIOD)]
        at, slot = min(((at, slot) for at, slot in found if at >= 0), default=(-1, ""))
        if at < 0:
            return [*parts, ("", data)]
        parts.append((slot, data[:at]))
        data = data[at + len(slot) :]
