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
from foxlift.wiresettings import LOAD_FIELDS, NOTES, Params, SettingsError, settings_of

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
_LISTS = {0: api.ListKind.FULL, 1: api.ListKind.FAILED, 2: api.ListKind.DELTA, 4: api.ListKind.CACHED}
_STATUSES = {status.value: status for status in api.Status}


class HostError(ValueError):
    """The input follows the wire's form but makes no sense."""


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
                settings = settings_of(params)
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
        named = {LOAD_FIELDS[c]: v for c, v in zip(columns, values, strict=False) if c in LOAD_FIELDS}
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
            kind = NOTES.get(f["what"])  # kinds may be added: an unknown note is passed over
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
    except (wire.WireError, HostError, SettingsError) as error:
        print(f"foxlift.wirehost: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
