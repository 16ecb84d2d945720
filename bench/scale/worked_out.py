"""Figures of the page that follow from the plan and the program's own constants, without a measurement."""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec.inspect

from bench.scale.planned_size import PLANNED, SECONDS_PER_DAY, SECONDS_PER_HOUR
from foxlift.config.settings import LedgerConfig, PeersConfig
from foxlift.ledger import export
from foxlift.platform import core, descriptors
from foxlift.zones import evidence

HOLDERS = 5
"""Of a paid token's register, unless the settings say otherwise."""
MAKERS = 5


@dataclass(frozen=True, slots=True)
class WorkedOut:
    """A figure, and in words how it follows."""

    text: str
    words: str


def max_named_peers() -> int:
    """How many peers a settings file may name."""
    fields = {field.name: field.type for field in _fields_of(PeersConfig)}
    others = fields["others"]
    assert isinstance(others, msgspec.inspect.VarTupleType) and others.max_length is not None
    return others.max_length


def _fields_of(kind: type[msgspec.Struct]) -> tuple[msgspec.inspect.Field, ...]:
    info = msgspec.inspect.type_info(kind)
    assert isinstance(info, msgspec.inspect.StructType)
    return info.fields


def unreached_share(reachable: float) -> float:
    """Share of registers of which more than half of the holders are out of reach.

    Holders are drawn by rendezvous over the whole fleet, so each is in reach with this probability.
    """
    needed = HOLDERS // 2 + 1
    return sum(
        math.comb(HOLDERS, there) * reachable**there * (1 - reachable) ** (HOLDERS - there)
        for there in range(needed)
    )


def descriptors_needed() -> int:
    """The limit of descriptors under which a director admits the planned connections."""
    limit = PLANNED.connections_per_director
    while descriptors.max_client_connections(limit) < PLANNED.connections_per_director:
        limit += 1
    return limit


def export_records_per_s() -> float:
    """One batch is cut at each tick of the exporter, however many records wait."""
    return export.MAX_BATCH_RECORDS / (LedgerConfig().export_every_ms / 1000)


def hellos_per_s() -> float:
    """Each start asks every peer which run it knows."""
    return PLANNED.restarts_per_s * (PLANNED.directors - 1)


def changes_missed() -> int:
    """While a region is cut off."""
    return round(PLANNED.changes_per_s * SECONDS_PER_HOUR * PLANNED.cut_hours)


def _percent(share: float) -> str:
    return f"{share * 100:.1f}%"


def worked_out() -> dict[str, WorkedOut]:
    """All of them by name."""
    plan = PLANNED
    zone_left = 1 - 1 / plan.zones
    region, rest = 1 / plan.regions, 1 - 1 / plan.regions
    fewest_s = 2 * plan.connections_per_director / export_records_per_s()
    return {
        "connections_per_director": WorkedOut(
            f"{plan.connections_per_director:,}", f"{plan.connections:,} / {plan.directors:,}"
        ),
        "deliveries_per_director": WorkedOut(
            f"{plan.deliveries_per_director_s:,}/s", f"{plan.deliveries_per_s:,} / {plan.directors:,}"
        ),
        "shards_per_director": WorkedOut(
            f"{plan.shards_per_director:.0f}", f"{plan.shards:,} / {plan.directors:,}"
        ),
        "directors_of_largest_topic": WorkedOut(
            f"{plan.largest_topic / plan.connections_per_director:.0f}",
            f"{plan.largest_topic:,} / {plan.connections_per_director:,}",
        ),
        "directors_per_zone": WorkedOut(f"{plan.directors_per_zone:,}", f"{plan.directors:,} / {plan.zones}"),
        "directors_per_region": WorkedOut(
            f"{plan.directors_per_region:,}", f"{plan.directors:,} / {plan.regions}"
        ),
        "changes_per_s": WorkedOut(
            f"{plan.changes_per_s:.2f}/s", f"{plan.changes_per_day:,} / {SECONDS_PER_DAY:,} s"
        ),
        "restarts_per_s": WorkedOut(
            f"{plan.restarts_per_s:.3f}/s", f"{plan.restarts_per_day:,} / {SECONDS_PER_DAY:,} s"
        ),
        "changes_missed": WorkedOut(f"{changes_missed():,}", f"{plan.changes_per_s:.2f}/s for an hour"),
        "hellos_per_start": WorkedOut(f"{plan.directors - 1:,}", "one to each peer"),
        "hellos_per_s": WorkedOut(f"{hellos_per_s():,.0f}/s", "restarts a second times peers"),
        "max_named_peers": WorkedOut(f"{max_named_peers():,}", "`PeersConfig.others`"),
        "max_reports": WorkedOut(f"{evidence.MAX_REPORTS:,}", "`MAX_REPORTS`"),
        "max_handovers": WorkedOut(f"{core.MAX_HANDOVERS:,}", "`MAX_HANDOVERS`"),
        "descriptors_needed": WorkedOut(
            f"{descriptors_needed():,}", f"so that {plan.connections_per_director:,} connections are admitted"
        ),
        "export_records_per_s": WorkedOut(
            f"{export_records_per_s():,.0f}/s",
            f"{export.MAX_BATCH_RECORDS:,} records at each tick of the exporter",
        ),
        "export_mean_life": WorkedOut(
            f"{fewest_s / 60:.0f} min", "two records a session, all connections with a session each"
        ),
        "export_batches_per_s": WorkedOut(
            f"{plan.directors / (LedgerConfig().export_every_ms / 1000):,.0f}/s",
            "one batch a director and tick",
        ),
        "reports_per_s": WorkedOut(f"{plan.directors:,}/s", "one a director and second"),
        "registers_if_all_paid": WorkedOut(
            f"{plan.connections * HOLDERS / plan.directors:,.0f}",
            f"{HOLDERS} holders for each connection's token, were all paid",
        ),
        "unreached_zone_lost": WorkedOut(
            _percent(unreached_share(zone_left)), f"3 of {HOLDERS} holders or more in the lost zone"
        ),
        "unreached_in_cut_region": WorkedOut(
            _percent(unreached_share(region)), f"under 3 of {HOLDERS} holders in the region"
        ),
        "unreached_in_the_rest": WorkedOut(
            _percent(unreached_share(rest)), f"under 3 of {HOLDERS} holders in the other two regions"
        ),
        "directors_per_control_machine": WorkedOut(
            f"{plan.directors / plan.control_machines:.0f}", f"{plan.directors:,} / {plan.control_machines}"
        ),
    }
