"""DASH manifests (ISO/IEC 23009-1): read a source once, write it for each session.

What a session is shown differs from the source in this, and in nothing else:

- `MPD/BaseURL` is the session's own: first its media box, with the session's path-borne token, then the way
  back through the director, which a player falls to when the first fails (5.6.5). What the source states
  further down is relative and resolves against both (5.6.4); of several MPD/BaseURL of the source the first
  one's path is kept.
- Only Representations stay that the session may ever see: for a static title from its floor to its best rung,
  for a live one to the rung in force (`foxlift.manifest.renditions`). AdaptationSets left empty go, and so
  does what refers to them. Which of those listed may be played now is said by CMSD, beside the manifest.
- A static title stays static: no @minimumUpdatePeriod, no Location; it is not loaded again. A live one keeps
  its own timeline, and gets `MPD/Location` (5.3.1.2) and a @minimumUpdatePeriod no longer than the source's.
- PatchLocation and ContentSteering of the source would lead away from what is shown here: they go.

The bytes for a set of Representations are made once; a session's own parts are then put in by joining.
"""

from __future__ import annotations

import copy
import re
from dataclasses import dataclass
from xml.sax.saxutils import escape

from lxml import etree

from foxlift.manifest.renditions import VIDEO, Renditions
from foxlift.manifest.sets import NAMESPACE, Q, choices_of, keep_only

XLINK = "http://www.w3.org/1999/xlink"
MAX_BYTES = 4 << 20
MAX_REPRESENTATIONS = 1000
KEPT_FORMS = 64  # of one source, by what they list
_BASE, _BACK, _LOCATION, _PERIOD = "__foxlift_base__", "__foxlift_back__", "__foxlift_location__", "7177177"
_URL_ATTRIBUTES = ("media", "initialization", "index", "bitstreamSwitching", "sourceURL")
_BASE_KEPT = ("availabilityTimeOffset", "availabilityTimeComplete", "timeShiftBufferDepth")
_DURATION = re.compile(r"^P(?:(\d+)D)?(?:T(?:(\d+)H)?(?:(\d+)M)?(?:([\d.]+)S)?)?$")


class ManifestError(ValueError):
    """A source manifest cannot be used; says which one, where in it, and why."""


@dataclass(frozen=True, slots=True)
class SessionView:
    """What is a session's own in its manifest. Rates are kB/s, the period whole seconds.

    `back_url`: where a player goes on when the box fails it; "" for none.
    """

    base_url: str
    back_url: str
    location: str
    update_period_s: float
    floor_kb: float
    rate_kb: float
    top_kb: float


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
        if self._root.tag != f"{Q}MPD":
            raise ManifestError(f"{name}:1: the root is {self._root.tag!r}, not MPD in {NAMESPACE}")
        self._check()
        self.is_live = self._root.get("type") == "dynamic"
        representations = list(self._root.iter(f"{Q}Representation"))
        self._numbers = {element: k for k, element in enumerate(representations)}
        self._lines = [element.sourceline or 0 for element in representations]
        periods = self._root.findall(f"{Q}Period")
        self.renditions = Renditions(choices_of(period, self._numbers) for period in periods)
        if VIDEO not in self.renditions.kinds and "audio" not in self.renditions.kinds:
            raise self._fail(self._root, "holds neither video nor audio: there is nothing to shape")
        self._parts: dict[frozenset[int], list[tuple[bytes, str]]] = {}

    # ---- Reading ------------------------------------------------------------------------------------------
    def _fail(self, element: etree._Element, why: str) -> ManifestError:
        return ManifestError(f"{self.name}:{element.sourceline}: {etree.QName(element).localname}: {why}")

    def _check(self) -> None:
        representations = 0
        if self._root.find(f"{Q}Period") is None:
            raise self._fail(self._root, "holds no Period")
        for element in self._root.iter():
            if not isinstance(element.tag, str):
                if isinstance(element, etree._Entity):
                    raise ManifestError(f"{self.name}:{element.sourceline}: an entity is not accepted")
                continue
            if element.get(f"{{{XLINK}}}href") is not None:
                raise self._fail(element, "remote elements (xlink:href) are not fetched")
            if element.tag == f"{Q}BaseURL":
                self._check_url(element, (element.text or "").strip())
            for attribute in _URL_ATTRIBUTES:
                value = element.get(attribute)
                if value is not None and element.tag.startswith(Q):
                    self._check_url(element, value)
            if element.tag == f"{Q}Representation":
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

    def line_of(self, index: int) -> int:
        """The source's line of a Representation."""
        return self._lines[index]

    # ---- Writing ------------------------------------------------------------------------------------------
    def write(self, view: SessionView) -> bytes:
        """The manifest of a session."""
        top = view.rate_kb if self.is_live else view.top_kb
        slots = {
            "": b"",
            _BASE: escape(view.base_url).encode(),
            _BACK: escape(view.back_url).encode(),
            _LOCATION: escape(view.location).encode(),
            _PERIOD: f"{self._period_s(view.update_period_s):g}".encode(),
        }
        return b"".join(
            part + slots[slot] for part, slot in self._template(view.floor_kb, top, bool(view.back_url))
        )

    def _template(self, floor_kb: float, top_kb: float, back: bool) -> list[tuple[bytes, str]]:
        listed = self.renditions.listed(floor_kb, top_kb)
        key = listed | {-1} if back else listed
        found = self._parts.get(key)
        if found is None:
            if len(self._parts) >= KEPT_FORMS:
                self._parts.pop(next(iter(self._parts)))
            found = self._parts[key] = _split(self._shape(listed, back))
        return found

    def _period_s(self, wanted_s: float) -> float:
        """Never longer than the source's own: a live player must still hear of what is new there."""
        matched = _DURATION.match(self._root.get("minimumUpdatePeriod", ""))
        if matched is None:
            return wanted_s
        days, hours, minutes, seconds = (float(part or 0) for part in matched.groups())
        own = ((days * 24 + hours) * 60 + minutes) * 60 + seconds
        return min(wanted_s, own) if own > 0 else wanted_s

    def _shape(self, listed: frozenset[int], back: bool) -> bytes:
        root = copy.deepcopy(self._root)
        numbers = {element: k for k, element in enumerate(root.iter(f"{Q}Representation"))}
        keep_only(root, numbers, listed)
        for name in ("Location", "PatchLocation", "ContentSteering"):
            for element in root.findall(f"{Q}{name}"):
                root.remove(element)
        bases = root.findall(f"{Q}BaseURL")
        below = (bases[0].text or "").strip() if bases else ""
        kept = {name: bases[0].get(name, "") for name in _BASE_KEPT if bases and bases[0].get(name)}
        for base in bases:
            root.remove(base)
        made = []
        for slot, where in ((_BASE, "box"), (_BACK, "front")):
            if slot is _BACK and not back:
                continue
            element = etree.Element(f"{Q}BaseURL", {"serviceLocation": where})
            for name, value in kept.items():
                element.set(name, value)
            element.text = slot + below
            made.append(element)
        if self.is_live:
            root.set("minimumUpdatePeriod", f"PT{_PERIOD}S")
            location = etree.Element(f"{Q}Location")
            location.text = _LOCATION
            made.append(location)
        # ProgramInformation comes before BaseURL, BaseURL before Location (the schema's sequence)
        at = len(root.findall(f"{Q}ProgramInformation"))
        for k, element in enumerate(made):
            root.insert(at + k, element)
        return etree.tostring(root, xml_declaration=True, encoding="UTF-8")


def _split(data: bytes) -> list[tuple[bytes, str]]:
    """Cut at the slots: each part is the bytes before a slot, and the slot that follows them."""
    parts: list[tuple[bytes, str]] = []
    while True:
        found = [(data.find(slot.encode()), slot) for slot in (_BASE, _BACK, _LOCATION, _PERIOD)]
        at, slot = min(((at, slot) for at, slot in found if at >= 0), default=(-1, ""))
        if at < 0:
            return [*parts, (data, "")]
        parts.append((data[:at], slot))
        data = data[at + len(slot) :]
