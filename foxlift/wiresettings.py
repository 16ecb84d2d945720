"""Converts the settings of the operators' bench and of the platform to the module's Settings.

The bench's wire sends them as text, one path=value per line; the platform's configuration has the same object
as nested JSON. Both become the same dotted paths here, so that one reader serves both.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from foxlift import interface as api

_REPEATS = {
    "retryable": api.Repeat.FREE,
    "dedup": api.Repeat.WINDOWED,
    "fragile": api.Repeat.ONCE,
}
NOTE_KINDS = {1: api.NoteKind.DELIVERED, 2: api.NoteKind.RUNG, 3: api.NoteKind.LINK, 4: api.NoteKind.UPLINK}
LOAD_FIELDS = {"x0": "link", "busy": "link_up_to_one", "x1": "uplink", "rif": "streams"}


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names its path."""


def _scalar_text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _flatten(path: str, value: Any) -> Iterator[tuple[str, str]]:
    """Paths and texts of a nested value, as on the wire: lists of scalars are joined, objects numbered."""
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from _flatten(f"{path}.{key}" if path else str(key), inner)
    elif isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
        yield f"{path}.count", str(len(value))
        for k, inner in enumerate(value):
            yield from _flatten(f"{path}.{k}", inner)
    elif isinstance(value, list):
        yield path, ",".join(_scalar_text(item) for item in value)
    elif value is not None:
        yield path, _scalar_text(value)


class Params:
    """Settings by path, from path=value lines. Reading a missing path without a default is an error."""

    def __init__(self, text: str = "") -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            path, sign, value = line.partition("=")
            if line.strip() and not sign:
                raise SettingsError(f"settings: no '=' in {line!r}")
            self.values[path.strip()] = value.strip()

    @classmethod
    def nested(cls, settings: Mapping[str, Any]) -> Params:
        """The same paths from nested JSON."""
        params = cls()
        params.values.update(_flatten("", settings))
        return params

    def text(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            raise SettingsError(f"settings: {path} is missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        text = self.text(path, None if default is None else str(default))
        try:
            return float(text)
        except ValueError as error:
            raise SettingsError(f"settings: {path}={text!r} is not a number") from error

    def whole(self, path: str, default: int | None = None) -> int:
        return int(self.number(path, default))

    def flag(self, path: str, default: str = "false") -> bool:
        return self.text(path, default) == "true"

    def items(self, path: str, default: str | None = None) -> list[str]:
        text = self.text(path, default)
        return text.split(",") if text else []

    def numbers(self, path: str, default: str | None = None) -> tuple[float, ...]:
        try:
            return tuple(float(item) for item in self.items(path, default))
        except ValueError as error:
            raise SettingsError(
                f"settings: {path}={self.text(path, default)!r} is not a list of numbers"
            ) from error


def _classes(params: Params, rungs: int) -> tuple[api.SessionClass, ...]:
    count = params.whole("categories.count")
    info = "family_info."
    scale = params.numbers(info + "class_scale", ",".join(["1"] * count))
    floor = params.numbers(info + "lowest_rung", ",".join(["0"] * count))
    top = params.numbers(info + "top_by_class", ",".join([str(rungs - 1)] * count))
    seats = params.numbers(info + "licence_cap", ",".join(["0"] * count))
    live = params.items(info + "is_live", ",".join(["false"] * count))
    if min(len(scale), len(floor), len(top), len(seats), len(live)) < count:
        raise SettingsError(f"settings: a family_info list is shorter than categories.count={count}")
    classes = []
    for k in range(count):
        prefix = f"categories.{k}."
        repeat = params.text(prefix + "idempotency")
        if repeat not in _REPEATS:
            raise SettingsError(f"settings: {prefix}idempotency={repeat!r} is unknown")
        classes.append(
            api.SessionClass(
                name=params.text(prefix + "name", ""),
                repeat=_REPEATS[repeat],
                wanted_ms=params.number(prefix + "aim_ms"),
                deadline_ms=params.number(prefix + "deadline_ms"),
                worth=params.number(prefix + "gain", 1.0),
                rate_scale=scale[k],
                floor=int(floor[k]),
                top=int(top[k]),
                seats=int(seats[k]),
                live=live[k] == "true",
            )
        )
    return tuple(classes)


def settings_of(params: Params) -> api.Settings:
    """Convert paths and values to Settings; other paths are ignored."""
    ladder = params.numbers("family_info.ladder_kb")
    tenants = tuple(
        api.Tenant(
            name=params.text(f"orgs.{k}.name", ""),
            share=params.number(f"orgs.{k}.portion", 0.0),
            quota_per_s=params.number(f"orgs.{k}.quota_per_s", 0.0),
        )
        for k in range(params.whole("orgs.count", 0))
    )
    return api.Settings(
        director=params.whole("ordinal"),
        directors=params.whole("balancers"),
        classes=_classes(params, len(ladder)),
        ladder_kb=ladder,
        ladder_worth=params.numbers("family_info.ladder_worth"),
        cells=params.whole("family_info.cells"),
        racks=params.whole("family_info.racks"),
        link_kb_per_weight=params.number("family_info.kb_per_weight"),
        kind_slots=tuple(int(n) for n in params.numbers("family_info.kind_slots")),
        answer_slack_ms=params.number("invariants.answer_slack_ms"),
        cold_from=params.number("invariants.cold_from"),
        warm_up_ms=params.number("invariants.ramp_time_ms"),
        cold_multiple=params.number("invariants.fall_multiple"),
        cold_window_ms=params.number("invariants.overload_for_ms"),
        zone=params.whole("zone", 0),
        tenants=tenants,
        over_share_worth=params.number("over_share_worth", 1.0),
        uplink_kb=params.number("family_info.rack_link_kb", 0.0),
        node_full_from=params.number("family_info.full_from", 0.0),
        live_adds=params.number("family_info.shared_adds", 1.0),
        note_late_ms=params.number("family_info.told_late_ms", 0.0),
        report_every_ms=params.number("family_info.reports_every_ms", 0.0),
        stall_cost=params.number("family_info.stall_cost", 0.0),
        rung_change_s=params.number("family_info.change_costs_s", 0.0),
        tick_ms=params.number("tick_ms", 0.0),
        max_attempts=params.whole("limits.try_limit", 1),
        may_cancel=params.flag("limits.may_cancel"),
        may_probe=params.flag("limits.probes"),
        list_by_ask=params.text("discovery", "push") == "ask",
        ask_list_every_ms=params.number("invariants.ask_every_ms", 0.0),
        come_back=params.flag("limits.retry_after"),
        come_back_max_ms=params.number("limits.max_retry_after_ms", 0.0),
        connect_timeout_ms=params.number("limits.connect_timeout_ms", 0.0),
        drain_grace_ms=params.number("invariants.stop_sending_within_ms", 0.0),
        extra_free=params.number("invariants.extra_free", 0.0),
        extra_ratio=params.number("invariants.resend_ratio", 0.0),
        extra_span_ms=params.number("invariants.resend_span_ms", 0.0),
        price_crossing=params.number("fees.cross_zone", 0.0),
        price_connection=params.number("fees.handshake", 0.0),
        price_move=params.number("fees.moves", 0.0),
        price_probe=params.number("fees.probe", 0.0),
        price_late=params.number("fees.late_fail", 0.0),
        score_worst_window=params.number("score_parts.worst_window", 0.0),
        score_worst_class=params.number("score_parts.worst_class", 0.0),
        score_worst_tenant=params.number("score_parts.worst_tenant", 0.0),
    )
