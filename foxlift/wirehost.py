"""Hosts many directors on standard input and output, and turns wire records into interface types and back.

No policy: every decision is made by `foxlift.logic.Director`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from typing import Any, BinaryIO

from foxlift import interface as api
from foxlift import wire
from foxlift.logic import Director

_OUTCOMES = {
    0: api.Outcome.OK,
    249: api.Outcome.NEVER_SENT,
    250: api.Outcome.CANCELLED,
    251: api.Outcome.RESET,
    252: api.Outcome.CONNECT_FAILED,
    253: api.Outcome.TIMEOUT,
    254: api.Outcome.FULL,
    255: api.Outcome.ERROR,
}
_REPEATS = {
    "retryable": api.Repeat.FREE,
    "dedup": api.Repeat.WINDOWED,
    "fragile": api.Repeat.ONCE,
}
_LISTS = {0: api.ListKind.FULL, 1: api.ListKind.FAILED, 2: api.ListKind.DELTA, 4: api.ListKind.CACHED}
_STATUSES = {status.value: status for status in api.Status}
_NOTES = {1: api.NoteKind.DELIVERED, 2: api.NoteKind.RUNG, 3: api.NoteKind.LINK, 4: api.NoteKind.UPLINK}
_LOAD_FIELDS = {"x0": "link", "busy": "link_up_to_one", "x1": "uplink", "rif": "streams"}


class HostError(ValueError):
    """The input follows the wire's form but makes no sense."""


class Params:
    """The settings text: path=value lines. A missing path with no default is an error that names it."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            path, sign, value = line.partition("=")
            if line.strip() and not sign:
                raise HostError(f"settings: no '=' in {line!r}")
            self.values[path.strip()] = value.strip()

    def text(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            raise HostError(f"settings: {path} is missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        text = self.text(path, None if default is None else str(default))
        try:
            return float(text)
        except ValueError as error:
            raise HostError(f"settings: {path}={text!r} is not a number") from error

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
            raise HostError(f"settings: {path} is not a list of numbers") from error


def _classes(params: Params, rungs: int) -> tuple[api.SessionClass, ...]:
    count = params.whole("categories.count")
    info = "family_info."
    scale = params.numbers(info + "class_scale", ",".join(["1"] * count))
    floor = params.numbers(info + "lowest_rung", ",".join(["0"] * count))
    top = params.numbers(info + "top_by_class", ",".join([str(rungs - 1)] * count))
    seats = params.numbers(info + "licence_cap", ",".join(["0"] * count))
    live = params.items(info + "is_live", ",".join(["false"] * count))
    if min(len(scale), len(floor), len(top), len(seats), len(live)) < count:
        raise HostError("settings: a family_info list is shorter than categories.count")
    classes = []
    for k in range(count):
        at = f"categories.{k}."
        repeat = params.text(at + "idempotency")
        if repeat not in _REPEATS:
            raise HostError(f"settings: {at}idempotency={repeat!r} is not known")
        classes.append(
            api.SessionClass(
                name=params.text(at + "name", ""),
                repeat=_REPEATS[repeat],
                wanted_ms=params.number(at + "aim_ms"),
                deadline_ms=params.number(at + "deadline_ms"),
                worth=params.number(at + "gain", 1.0),
                rate_scale=scale[k],
                floor=int(floor[k]),
                top=int(top[k]),
                seats=int(seats[k]),
                live=live[k] == "true",
            )
        )
    return tuple(classes)


def read_settings(text: str) -> api.Settings:
    """Turn the settings text into Settings; keys not named here are dropped."""
    params = Params(text)
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
        price_move=params.number("fees.moves", 0.0),
        price_probe=params.number("fees.probe", 0.0),
        price_late=params.number("fees.late_fail", 0.0),
        score_worst_window=params.number("score_parts.worst_window", 0.0),
        score_worst_class=params.number("score_parts.worst_class", 0.0),
        score_worst_tenant=params.number("score_parts.worst_tenant", 0.0),
    )


def _known(table: Mapping[int, Any], code: int, what: str) -> Any:
    if code not in table:
        raise HostError(f"unknown {what} {code}")
    return table[code]


def _ask(f: Mapping[str, Any]) -> api.Ask:
    return api.Ask(
        session=f["handle"],
        klass=f["qos"],
        title=f["show"],
        first_cell=int(f["start_cell"]),
        holders=int(f["holders"]),
        best_rung=int(f["best_rung"]),
        ttl_ms=f["ttl_ms"],
        tenant=f["tenant"],
        viewer=f["partition_key"],
        length_ms=f["weight_hint_ms"] if f["opts"] & 1 else None,
        moved=bool(f["opts"] & 8),
        again=bool(f["opts"] & 16),
    )


def _node_info(f: Mapping[str, Any]) -> api.NodeInfo:
    return api.NodeInfo(
        node=f["node"],
        zone=f["rack_zone"],
        kind=f["sku"],
        cell=f["cell"],
        status=_known(_STATUSES, f["status"], "node status"),
        weight=f["heft"],
        started_ms=f["born_ms"],
    )


# action -> (wire record, interface attribute per wire field)
_ACTIONS: dict[type, tuple[str, tuple[tuple[str, str], ...]]] = {
    api.SetUp: ("ASSIGN", (("handle", "session"), ("node", "node"), ("within_ms", "within_ms"))),
    api.SetRung: ("RATE", (("handle", "session"), ("tier_no", "rung"))),
    api.Refuse: ("TURN_AWAY", (("handle", "session"), ("backoff_ms", "come_back_ms"))),
    api.Fail: ("END_FAILED", (("handle", "session"),)),
    api.Cancel: ("CANCEL", (("handle", "session"), ("copy", "attempt"))),
    api.Move: ("MIGRATE", (("handle", "session"),)),
    api.SetTimer: ("NOTIFY_ME", (("delay_ms", "delay_ms"), ("tag", "token"))),
    api.Probe: ("SOUND_OUT", (("node", "node"),)),
    api.WatchList: ("KEEP_INFORMED", (("on", "on"),)),
    api.FetchList: ("GET_LIST", ()),
    api.Log: ("EMIT", (("note_text", "text"),)),
}


class Host:
    """The directors of one process, their load columns and the numbered node lists."""

    def __init__(self, make: Callable[[api.Settings, int], Director] = Director) -> None:
        self.make = make
        self.directors: dict[int, tuple[Director, tuple[str, ...], int]] = {}
        self.lists: dict[int, tuple[api.NodeInfo, ...]] = {}

    def batch(self, clock: float, records: list[wire.Record]) -> list[wire.Record]:
        """Handle one batch and give back the actions in order."""
        replies: list[wire.Record] = []
        for name, f in records:
            if name == "LEDGER":
                self.lists[f["buffer"]] = tuple(_node_info(entry) for entry in f["entries"])
            elif name == "SPAWN":
                params = Params(f["params"])
                settings = read_settings(f["params"])
                columns = tuple(params.items("telemetry.columns", ""))
                self.directors[f["i"]] = (self.make(settings, f["entropy"]), columns, len(settings.classes))
            elif f["i"] not in self.directors:
                raise HostError(f"{name} for unknown director {f['i']}")
            elif name == "STOP":
                del self.directors[f["i"]]
            else:
                event = self._event(name, f)
                if event is not None:
                    for action in self.directors[f["i"]][0].handle(clock, event):
                        kind, fields = _ACTIONS[type(action)]
                        record = {key: getattr(action, attribute) for key, attribute in fields}
                        replies.append((kind, {"i": f["i"], **record}))
        return replies

    def _load(self, director: int, values: tuple[float, ...]) -> api.Load | None:
        columns = self.directors[director][1]
        named = {_LOAD_FIELDS[c]: v for c, v in zip(columns, values, strict=False) if c in _LOAD_FIELDS}
        return api.Load(**named) if named else None

    def _event(self, name: str, f: Mapping[str, Any]) -> api.Event | None:
        if name == "ENDPOINTS":
            kind = _known(_LISTS, f["kind"], "list kind")
            if kind is api.ListKind.FAILED:
                return api.NodeList(kind)
            return api.NodeList(kind, _known(self.lists, f["buffer"], "list number"))
        if name in ("ASK", "RESUMED"):
            if f["qos"] >= self.directors[f["i"]][2]:
                raise HostError(f"{name} of unknown class {f['qos']}")
            ask = _ask(f)
            return ask if name == "ASK" else api.Resumed(ask, f["node"])
        if name == "STREAMING":
            return api.Started(f["handle"], f["node"], f["copy"], f["elapsed_ms"])
        if name == "REPLY":
            outcome = _known(_OUTCOMES, f["result"], "outcome")
            load = self._load(f["i"], f["health_info"])
            final = bool(f["no_more"])
            return api.Ended(f["handle"], f["node"], f["copy"], outcome, final, f["elapsed_ms"], load)
        if name == "HINT_UPDATE":
            kind = _NOTES.get(f["what"])  # kinds may be added: an unknown note is passed over
            return api.Note(f["handle"], f["node"], kind, f["amount"]) if kind else None
        if name == "WITHDRAWN":
            return api.Withdrawn(f["handle"])
        if name == "WAKE":
            return api.Wake(f["tag"])
        if name == "CHECK_RESULT":
            outcome = _known(_OUTCOMES, f["result"], "outcome")
            return api.Probed(f["node"], outcome, f["elapsed_ms"], self._load(f["i"], f["health_info"]))
        return None  # WHISPER: directors do not talk to one another


def _read_exact(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while head := _read_exact(source, 4):
        if len(head) < 4:
            raise wire.WireError("input ends inside a frame's length")
        size = int.from_bytes(head, "little")
        body = _read_exact(source, size)
        if len(body) < size:
            raise wire.WireError("input ends inside a frame")
        clock, records = wire.decode_batch(body)
        sink.write(wire.encode_reply(host.batch(clock, records)))
        sink.flush()


def main() -> int:
    """Run the host; malformed input is named in one line on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, HostError) as error:
        print(f"foxlift.wirehost: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
