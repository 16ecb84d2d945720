"""The files of a day: keys, catalogue, source manifests, directors' settings, the fleet's plan."""

from __future__ import annotations

import json
import random
from pathlib import Path

import msgspec
from joserfc.jwk import KeySet, OctKey

from foxlift.rehearsal.scenario import Scenario
from foxlift.standins.checker import ClassTerms, Terms
from foxlift.standins.fleet import BoxPlan, FleetPlan

ISSUER, AUDIENCE = "rehearsal", "foxlift"


def make_keys(folder: Path) -> KeySet:
    """A fresh signing key, written for the directors."""
    key = OctKey.generate_key(256, {"kid": "rehearsal"})
    keys = KeySet([key])
    path = folder / "keys.json"
    path.write_text(json.dumps(keys.as_dict(private=True)))
    path.chmod(0o600)
    return keys


def rates_of(scenario: Scenario) -> list[int]:
    """Rates (kbit/s) that video and sound take together: one for each rung of each class's scale."""
    scales = {mix.terms.rate_scale for mix in scenario.classes}
    return sorted({int(kb * 8 * scale) for kb in scenario.ladder_kb for scale in scales})


def rendition_rates(scenario: Scenario) -> dict[str, float]:
    """Renditions of a title's source by name, kB/s."""
    rates = rates_of(scenario)
    audio = audio_kbps(scenario)
    return {f"v{rate - audio}": (rate - audio) / 8 for rate in rates} | {"a": audio / 8}


def audio_kbps(scenario: Scenario) -> int:
    """Sound at a fifth of the lowest rate, 128 kbit/s at most."""
    return min(rates_of(scenario)[0] // 5, 128)


def source_manifest(scenario: Scenario) -> str:
    """A static source: video with a Representation for each rate that some class books, and sound."""
    audio = audio_kbps(scenario)
    rungs = "\n".join(
        f'   <Representation id="v{rate - audio}" bandwidth="{(rate - audio) * 1000}" codecs="avc1.4d401f"/>'
        for rate in rates_of(scenario)
    )
    return f"""<?xml version="1.0" encoding="UTF-8"?>
<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" type="static" profiles="urn:mpeg:dash:profile:isoff-live:2011"
  mediaPresentationDuration="PT600S" minBufferTime="PT{scenario.segment_s:g}S">
 <Period id="p0">
  <AdaptationSet contentType="video" mimeType="video/mp4" segmentAlignment="true">
   <SegmentTemplate media="$RepresentationID$/$Number$.m4s" initialization="$RepresentationID$/init.mp4"
     timescale="1000" duration="{int(scenario.segment_s * 1000)}" startNumber="1"/>
{rungs}
  </AdaptationSet>
  <AdaptationSet contentType="audio" mimeType="audio/mp4">
   <SegmentTemplate media="$RepresentationID$/$Number$.m4s" initialization="$RepresentationID$/init.mp4"
     timescale="1000" duration="{int(scenario.segment_s * 1000)}" startNumber="1"/>
   <Representation id="a" bandwidth="{audio * 1000}" codecs="mp4a.40.2"/>
  </AdaptationSet>
 </Period>
</MPD>
"""


def make_catalogue(folder: Path, scenario: Scenario) -> None:
    """One source for all titles; title k lies on the cells from k on."""
    folder.mkdir(exist_ok=True)
    (folder / "source.mpd").write_text(source_manifest(scenario))
    lines = [
        f'  (title (name "t{k}") (first-cell {k % scenario.boxes}) (holders {scenario.holders})'
        ' (manifest "source.mpd"))'
        for k in range(scenario.titles)
    ]
    text = "(catalogue (version 1) (titles\n" + "\n".join(lines) + "))\n"
    (folder / "catalogue.sexp").write_text(text)


def zone_of(scenario: Scenario, number: int) -> str:
    """Zones go round, over boxes by rack and over directors by number."""
    return scenario.zones[number % len(scenario.zones)]


def fleet_plan(scenario: Scenario, announce: list[dict[str, int]], seed: int) -> FleetPlan:
    """Box k stands in cell k and in rack k modulo the racks, as the module counts them."""
    boxes = tuple(
        BoxPlan(
            name=f"b{k}",
            zone=zone_of(scenario, k % scenario.racks),
            kind="std",
            cell=k,
            rack=f"r{k % scenario.racks}",
            places=scenario.places,
            link_kb=scenario.link_kb,
            announce_to=announce[k],
        )
        for k in range(scenario.boxes)
    )
    return FleetPlan(
        boxes=boxes,
        uplink_kb=scenario.uplink_kb,
        cold_from=scenario.cold_from,
        warm_up_ms=scenario.warm_up_ms,
        cold_multiple=scenario.cold_multiple,
        cold_window_ms=scenario.cold_window_ms,
        set_up_ms=scenario.set_up_ms,
        scale=scenario.scale,
        segment_s=scenario.segment_s,
        rates=rendition_rates(scenario),
        sides=("a",),
        idle_s=scenario.idle_s,
        park_s=scenario.park_s,
        seed=seed,
    )


def _form(key: str, value: object) -> str:
    name = key.replace("_", "-")
    if isinstance(value, bool):
        return f"({name} {'true' if value else 'false'})"
    if isinstance(value, str):
        return f"({name} {json.dumps(value)})"
    if isinstance(value, tuple):
        return f"({name} {' '.join(json.dumps(v) for v in value)})"
    return f"({name} {value})"


def region_of(zone: str) -> str:
    """A zone's region: its name up to the last "-"."""
    return zone.rpartition("-")[0]


def zone_of_end(scenario: Scenario, end: str) -> str:
    """The zone of a director or box, by its name."""
    number = int(end[1:])
    return zone_of(scenario, number % scenario.racks if end.startswith("b") else number)


def ends_apart(scenario: Scenario, director: str, end: str) -> bool:
    """Whether a director and what it talks to lie in different regions; the list is everywhere."""
    if end == "list":
        return False
    here, there = zone_of_end(scenario, director), zone_of_end(scenario, end)
    return region_of(here) != region_of(there)


def clock_ahead_s(scenario: Scenario, number: int, seed: int) -> float:
    """How far a director's clock is set off."""
    return round(random.Random(f"clocks {seed} {number}").uniform(-1, 1) * scenario.clocks_s, 3)


def director_settings(
    scenario: Scenario, number: int, list_port: int, url: str, seed: int, peers: dict[str, int] | None = None
) -> str:
    """The settings file of director `number`; its paths are relative to the file.

    `peers`: ports at which it reaches the other directors' peers' listeners.
    """
    others = " ".join(
        f'(peer (name "{name}") (url "http://127.0.0.1:{port}"))' for name, port in (peers or {}).items()
    )
    regions = " ".join(region_of(zone) or zone for zone in scenario.zones)
    plans = f" (makers {' '.join(scenario.makers)}) (regions {regions})" if scenario.makers else ""
    apart_ms = int(2000 * scenario.clocks_s) + 500
    known = (
        f"(peers (period-ms {scenario.peer_ms}) (grace-ms {scenario.grace_s * 1000}) (claim-ms 400)"
        f" (holders {scenario.token_holders}){plans}"
        f" (clocks-apart-ms {apart_ms}) (others {others}))"
        if others
        else ""
    )
    classes = "\n".join(
        "(class " + " ".join(_form(k, v) for k, v in msgspec.structs.asdict(mix.terms).items()) + ")"
        for mix in scenario.classes
    )
    tenants = " ".join(f'(tenant (name "{t.name}") (share {t.part}))' for t in scenario.tenants)
    same = (
        "ladder_kb",
        "ladder_worth",
        "warm_up_ms",
        "cold_from",
        "cold_multiple",
        "cold_window_ms",
        "drain_grace_ms",
        "uplink_kb",
        "come_back_max_ms",
        "max_attempts",
        "extra_free",
        "extra_ratio",
        "extra_span_ms",
    )
    fleet = " ".join(_form(key, getattr(scenario, key)) for key in same)
    zones = " ".join(scenario.zones)
    exports = f'(export-folder "export-d{number}") (export-every-ms 300)' if scenario.exports else ""
    return f"""; director {number} of the rehearsal {scenario.name}
(director (name "d{number}") (number {number}) (directors {scenario.directors})
  (zone {zone_of(scenario, number)}) (state "state-d{number}") (seed {seed * 100 + number})
  (fleet {fleet}
    (cells {scenario.boxes}) (racks {scenario.racks}) (zones {zones}) (kinds std) (kind-slots
    {scenario.places}) (link-kb-per-weight {scenario.link_kb}) (note-late-ms 700) (report-every-ms 3000)
    (stall-cost 6) (rung-change-s 0.5) (classes
{classes})
    (tenants {tenants}))
  (front (port 0) (url "{url}") (update-period-s 4) (stop-time-ms 2000))
  (tokens (keys "keys.json") (issuer "{ISSUER}") (audience "{AUDIENCE}"))
  (catalogue (folder "catalogue"))
  (ledger {exports})
  (boxes (park-s {scenario.park_s}))
  {known}
  (box-list (url "http://127.0.0.1:{list_port}/v3/discovery:endpoints") (poll-ms 5000) (retry-ms 200)))
"""


def terms_of(scenario: Scenario) -> Terms:
    """What the checker judges by: from the scenario, not from any director's settings."""
    return Terms(
        classes={
            mix.terms.name: ClassTerms(
                paid=mix.terms.repeat != "free",
                wanted_s=mix.terms.wanted_ms / 1000,
                deadline_s=mix.terms.deadline_ms / 1000,
                worth=mix.terms.worth,
                floor=mix.terms.floor,
                top=mix.terms.top,
                seats=mix.terms.seats,
                scale=mix.terms.rate_scale,
            )
            for mix in scenario.classes
        },
        ladder_worth=scenario.ladder_worth,
        ladder_kb=scenario.ladder_kb,
        bytes_scale=scenario.scale,
        places={f"b{k}": scenario.places for k in range(scenario.boxes)},
        drain_grace_s=scenario.drain_grace_ms / 1000,
        cold_multiple=scenario.cold_multiple,
        cold_window_s=scenario.cold_window_ms / 1000,
        warm_up_s=scenario.warm_up_ms / 1000,
        cold_from=scenario.cold_from,
        extra_free=scenario.extra_free,
        extra_ratio=scenario.extra_ratio,
        extra_span_s=scenario.extra_span_ms / 1000,
        takeover=scenario.takeover,
    )
