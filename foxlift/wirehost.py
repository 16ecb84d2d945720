"""Runs many directors over standard input and output, and converts wire records to interface types and back.

All decisions are made by `foxlift.logic.Director`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from typing import Any, BinaryIO

from foxlift import interface as api
from foxlift import wire
from foxlift.logic import Director
from foxlift.wiresettings import LOAD_FIELDS, NOTE_KINDS, Params, SettingsError, settings_of

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
_LIST_KINDS = {0: api.ListKind.FULL, 1: api.ListKind.FAILED, 2: api.ListKind.DELTA, 4: api.ListKind.CACHED}
_STATUSES = {status.value: status for status in api.Status}


class HostError(ValueError):
    """The input follows the wire format, but names a director, code or list that does not exist."""


def _lookup(table: Mapping[int, Any], code: int, description: str) -> Any:
    if code not in table:
        raise HostError(f"unknown {description} {code}")
    return table[code]


def _ask(fields: Mapping[str, Any]) -> api.Ask:
    return api.Ask(
        session=fields["handle"],
        klass=fields["qos"],
        title=fields["show"],
        first_cell=int(fields["start_cell"]),
        holders=int(fields["holders"]),
        best_rung=int(fields["best_rung"]),
        ttl_ms=fields["ttl_ms"],
        tenant=fields["tenant"],
        viewer=fields["partition_key"],
        length_ms=fields["weight_hint_ms"] if fields["opts"] & 1 else None,
        moved=bool(fields["opts"] & 8),
        again=bool(fields["opts"] & 16),
    )


def _node_info(fields: Mapping[str, Any]) -> api.NodeInfo:
    return api.NodeInfo(
        node=fields["node"],
        zone=fields["rack_zone"],
        kind=fields["sku"],
        cell=fields["cell"],
        status=_lookup(_STATUSES, fields["status"], "node status"),
        weight=fields["heft"],
        started_ms=fields["born_ms"],
    )


# by action: its wire record, and for each wire field the action's attribute
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
    """The directors of one process with their load columns, and the numbered node lists."""

    def __init__(self, make_director: Callable[[api.Settings, int], Director] = Director) -> None:
        self.make_director = make_director
        self.directors: dict[int, tuple[Director, tuple[str, ...], int]] = {}
        self.node_lists: dict[int, tuple[api.NodeInfo, ...]] = {}

    def batch(self, clock: float, records: list[wire.Record]) -> list[wire.Record]:
        """Handle one batch. Returns the actions in order."""
        replies: list[wire.Record] = []
        for name, fields in records:
            if name == "LEDGER":
                self.node_lists[fields["buffer"]] = tuple(_node_info(entry) for entry in fields["entries"])
            elif name == "SPAWN":
                params = Params(fields["params"])
                settings = settings_of(params)
                columns = tuple(params.items("telemetry.columns", ""))
                self.directors[fields["i"]] = (
                    self.make_director(settings, fields["entropy"]),
                    columns,
                    len(settings.classes),
                )
            elif fields["i"] not in self.directors:
                raise HostError(f"{name} for unknown director {fields['i']}")
            elif name == "STOP":
                del self.directors[fields["i"]]
            else:
                event = self._event(name, fields)
                if event is not None:
                    for action in self.directors[fields["i"]][0].handle(clock, event):
                        record_name, attributes = _ACTIONS[type(action)]
                        action_fields = {key: getattr(action, attribute) for key, attribute in attributes}
                        replies.append((record_name, {"i": fields["i"], **action_fields}))
        return replies

    def _load(self, director: int, values: tuple[float, ...]) -> api.Load | None:
        columns = self.directors[director][1]
        named = {LOAD_FIELDS[c]: v for c, v in zip(columns, values, strict=False) if c in LOAD_FIELDS}
        return api.Load(**named) if named else None

    def _event(self, name: str, fields: Mapping[str, Any]) -> api.Event | None:
        if name == "ENDPOINTS":
            kind = _lookup(_LIST_KINDS, fields["kind"], "list kind")
            if kind is api.ListKind.FAILED:
                return api.NodeList(kind)
            return api.NodeList(kind, _lookup(self.node_lists, fields["buffer"], "list number"))
        if name in ("ASK", "RESUMED"):
            if fields["qos"] >= self.directors[fields["i"]][2]:
                raise HostError(f"{name} of unknown class {fields['qos']}")
            ask = _ask(fields)
            return ask if name == "ASK" else api.Resumed(ask, fields["node"])
        if name == "STREAMING":
            return api.Started(fields["handle"], fields["node"], fields["copy"], fields["elapsed_ms"])
        if name == "REPLY":
            outcome = _lookup(_OUTCOMES, fields["result"], "outcome")
            load = self._load(fields["i"], fields["health_info"])
            final = bool(fields["no_more"])
            return api.Ended(
                fields["handle"], fields["node"], fields["copy"], outcome, final, fields["elapsed_ms"], load
            )
        if name == "HINT_UPDATE":
            kind = NOTE_KINDS.get(fields["what"])  # unknown kinds are ignored: the wire may add some
            return api.Note(fields["handle"], fields["node"], kind, fields["amount"]) if kind else None
        if name == "WITHDRAWN":
            return api.Withdrawn(fields["handle"])
        if name == "WAKE":
            return api.Wake(fields["tag"])
        if name == "CHECK_RESULT":
            outcome = _lookup(_OUTCOMES, fields["result"], "outcome")
            return api.Probed(
                fields["node"], outcome, fields["elapsed_ms"], self._load(fields["i"], fields["health_info"])
            )
        return None  # WHISPER: directors do not exchange messages


def _read_exact(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch with a reply until the input ends."""
    host = Host()
    while head := _read_exact(source, 4):
        if len(head) < 4:
            raise wire.WireError(f"input ends within a frame's length field: got {len(head)} of 4 bytes")
        size = int.from_bytes(head, "little")
        body = _read_exact(source, size)
        if len(body) < size:
            raise wire.WireError(f"input ends within a frame: got {len(body)} of {size} bytes")
        clock, records = wire.decode_batch(body)
        sink.write(wire.encode_reply(host.batch(clock, records)))
        sink.flush()


def main() -> int:
    """Run the host; malformed input ends it with one line on standard error and exit code 2."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, HostError, SettingsError) as error:
        print(f"foxlift.wirehost: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
