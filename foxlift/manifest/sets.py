"""Which AdaptationSets of a Period belong together, and what follows when one of them is taken out."""

from __future__ import annotations

from collections import defaultdict
from itertools import count

from lxml import etree

from foxlift.manifest.renditions import Choice, Rendition

NAMESPACE = "urn:mpeg:dash:schema:mpd:2011"
Q = f"{{{NAMESPACE}}}"
SWITCHING = "urn:mpeg:dash:adaptation-set-switching:2016"  # ISO/IEC 23009-1 5.3.3.5
TRICK_MODE = "http://dashif.org/guidelines/trickmode"  # DASH-IF IOP 3.2.9

_FAMILIES = {
    "avc1": "avc",
    "avc3": "avc",
    "hvc1": "hevc",
    "hev1": "hevc",
    "dvh1": "dolby-vision",
    "dvhe": "dolby-vision",
    "vvc1": "vvc",
    "vvi1": "vvc",
    "av01": "av1",
    "vp08": "vp8",
    "vp09": "vp9",
    "vp9": "vp9",
    "mp4a": "aac",
}


def kind_of(adaptation_set: etree._Element) -> str:
    """`video`, `audio`, `text`, `image` or another top-level media type (5.3.3.2, @contentType)."""
    stated = adaptation_set.get("contentType")
    if stated:
        return stated
    for element in (adaptation_set, *adaptation_set.findall(f"{Q}Representation")):
        mime = element.get("mimeType", "")
        if mime == "application/mp4":
            codecs = element.get("codecs", adaptation_set.get("codecs", ""))
            return "text" if codecs.startswith(("stpp", "wvtt")) else "application"
        if mime:
            return mime.split("/")[0]
    component = adaptation_set.find(f"{Q}ContentComponent")
    if component is not None and component.get("contentType"):
        return str(component.get("contentType"))
    codecs = adaptation_set.get("codecs", "")
    return "audio" if family_of(codecs) in ("aac", "ec-3", "ac-3", "opus") else "video" if codecs else "other"


def family_of(codecs: str) -> str:
    """The codec family of an @codecs value (RFC 6381): what a player that can decode one of it can decode."""
    first = codecs.split(",")[0].strip().split(".")[0]
    return _FAMILIES.get(first, first)


def _descriptors(adaptation_set: etree._Element, name: str) -> tuple[str, ...]:
    found = adaptation_set.findall(f"{Q}{name}")
    return tuple(sorted(f"{d.get('schemeIdUri')}={d.get('value', '')}" for d in found))


def is_trick(adaptation_set: etree._Element) -> bool:
    """Whether a set is for fast play only, and refers to the set that it belongs to."""
    return any(
        d.get("schemeIdUri") == TRICK_MODE
        for name in ("EssentialProperty", "SupplementalProperty")
        for d in adaptation_set.findall(f"{Q}{name}")
    )


def _switching(adaptation_set: etree._Element) -> list[str]:
    found = [
        d.get("value", "")
        for name in ("SupplementalProperty", "EssentialProperty")
        for d in adaptation_set.findall(f"{Q}{name}")
        if d.get("schemeIdUri") == SWITCHING
    ]
    return [name.strip() for value in found for name in value.split(",") if name.strip()]


def choices_of(period: etree._Element, numbers: dict[etree._Element, int]) -> tuple[Choice, ...]:
    """What a player may choose between in a Period.

    Sets are one choice where the switching property joins them, or where they agree in all that a viewer or a
    decoder would tell them apart by and hold one Representation each, as ffmpeg writes them. Within a set,
    codec families are choices of their own: a player that decodes one of them needs its lowest.
    """
    rows: dict[tuple[object, ...], list[Rendition]] = defaultdict(list)
    alone = count()
    joined: dict[str, int] = {}
    for adaptation_set in period.findall(f"{Q}AdaptationSet"):
        found = adaptation_set.findall(f"{Q}Representation")
        same = (
            kind_of(adaptation_set),
            adaptation_set.get("lang", ""),
            _descriptors(adaptation_set, "Role"),
            _descriptors(adaptation_set, "Accessibility"),
            _descriptors(adaptation_set, "Viewpoint"),
            is_trick(adaptation_set),
        )
        partners = _switching(adaptation_set)
        name = adaptation_set.get("id", "")
        group: object
        if partners:
            known = [joined[p] for p in (name, *partners) if p in joined]
            group = min(known) if known else next(alone)
            for partner in (name, *partners):
                joined[partner] = group
        elif name and name in joined:
            group = joined[name]
        elif len(found) == 1:
            group = "single"
        else:
            group = next(alone)
        for representation in found:
            codecs = representation.get("codecs", adaptation_set.get("codecs", ""))
            mime = representation.get("mimeType", adaptation_set.get("mimeType", ""))
            # dependent Representations need those they depend on: they are no choice of a player that cannot
            layered = bool(representation.get("dependencyId"))
            key = (*same, group, mime, family_of(codecs), layered)
            kbps = int(representation.get("bandwidth", "0")) / 1000
            rows[key].append(Rendition(numbers[representation], representation.get("id", ""), kbps))
    return tuple(
        Choice(
            str(key[0]), f"{key[0]} {key[1]} {key[-2]}".strip(), tuple(sorted(found, key=lambda r: r.kbps))
        )
        for key, found in rows.items()
    )


def keep_only(root: etree._Element, numbers: dict[etree._Element, int], listed: frozenset[int]) -> None:
    """Take out every Representation that is not listed, sets left empty, and what refers to those sets."""
    for period in root.findall(f"{Q}Period"):
        for adaptation_set in period.findall(f"{Q}AdaptationSet"):
            found = adaptation_set.findall(f"{Q}Representation")
            kept = {r.get("id") for r in found if numbers[r] in listed}
            # what a kept Representation is decoded with stays, however low its own rate
            for representation in found:
                if numbers[representation] in listed:
                    kept |= set(representation.get("dependencyId", "").split())
            for representation in found:
                if numbers[representation] not in listed and representation.get("id") not in kept:
                    adaptation_set.remove(representation)
            if found and adaptation_set.find(f"{Q}Representation") is None:
                period.remove(adaptation_set)
        _mend_references(period)


def _mend_references(period: etree._Element) -> None:
    sets = period.findall(f"{Q}AdaptationSet")
    names = {s.get("id") for s in sets if s.get("id") is not None}
    for adaptation_set in sets:
        for name in ("SupplementalProperty", "EssentialProperty"):
            for descriptor in adaptation_set.findall(f"{Q}{name}"):
                scheme, value = descriptor.get("schemeIdUri"), descriptor.get("value", "")
                if scheme == SWITCHING:
                    left = [part for part in value.replace(" ", "").split(",") if part in names]
                    if left:
                        descriptor.set("value", ",".join(left))
                    else:
                        adaptation_set.remove(descriptor)
                elif scheme == TRICK_MODE and value and not set(value.split()) & names:
                    main = _main_video(sets)
                    if main is not None:
                        descriptor.set("value", main)
    for subset in period.findall(f"{Q}Subset"):
        left = [part for part in subset.get("contains", "").split() if part in names]
        if left:
            subset.set("contains", " ".join(left))
        else:
            period.remove(subset)


def _main_video(sets: list[etree._Element]) -> str | None:
    main = (s for s in sets if kind_of(s) == "video" and not is_trick(s))
    return next((s.get("id") for s in main if s.get("id")), None)
