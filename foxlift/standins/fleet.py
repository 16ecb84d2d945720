"""All boxes of a rehearsal in one process, the box list service, and the control socket."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from foxlift.http import Exchange, Limits, Server
from foxlift.standins.box import BoxServer
from foxlift.standins.media import Filler, Folder, Media
from foxlift.standins.model import BoxModel, Rack


class BoxPlan(msgspec.Struct, frozen=True, tag="box"):
    """One box; `announce` is the port that the list names, where a tap listens, or 0 for its own.

    `announce_to` names another for an asker by its node id: each director has a way of its own to the box.
    """

    name: str
    zone: str
    kind: str
    cell: int
    rack: str
    places: Annotated[int, Meta(ge=1)]
    link_kb: float
    port: int = 0
    announce: int = 0
    announce_to: dict[str, int] = {}


class FleetPlan(msgspec.Struct, frozen=True):
    """All that the stand-in fleet reads."""

    boxes: tuple[BoxPlan, ...]
    uplink_kb: float
    cold_from: float = 0.4
    warm_up_ms: float = 12_000.0
    cold_multiple: float = 2.5
    cold_window_ms: float = 1500.0
    set_up_ms: float = 40.0
    scale: float = 0.001
    segment_s: float = 2.0
    report_ms: float = 400.0
    told_late_ms: float = 700.0
    tell_every_ms: float = 3000.0
    notice_ms: float = 500.0
    silent_notice_ms: float = 3000.0
    list_port: int = 0
    control_port: int = 0
    rates: dict[str, float] = {}  # of renditions by name, kB/s
    sides: tuple[str, ...] = ()  # which of them are audio, text and the like
    folder: str = ""  # serve this folder's files instead of filler, as they are
    idle_s: float = 3.0
    park_s: float = 600.0
    origins: tuple[str, ...] = ("*",)
    seed: int = 1


@dataclass
class _Line:
    """What the list says of a box, and since which version."""

    plan: BoxPlan
    health: str = "HEALTHY"
    started_unix_ms: float = 0.0
    version: int = 1
    listed: bool = True


class ListService:
    """Answers long polls with the whole list or with what changed; knows only what it is told."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.version = 1
        self.lines: dict[str, _Line] = {}
        self.down = False
        self.polls = 0
        self.stale: bytes | None = None  # sent instead of the next answer, for tests of old answers
        self._waiting: list[tuple[Exchange, int, str, asyncio.TimerHandle]] = []
        self.server = Server(loop, self._asked, Limits(idle_time_ms=60_000.0))

    def change(self, name: str, **news: Any) -> None:
        """Change what is said of a box, and tell all who wait."""
        self.version += 1
        line = self.lines[name]
        for key, value in news.items():
            setattr(line, key, value)
        line.version = self.version
        waiting, self._waiting = self._waiting, []
        for exchange, version, asker, timer in waiting:
            timer.cancel()
            if not exchange.disconnected:
                self._answer(exchange, version, asker)

    def _asked(self, exchange: Exchange) -> None:
        self.polls += 1
        if self.down:
            exchange.reply_problem(503, "down")
            return
        if self.stale is not None:
            body, self.stale = self.stale, None
            exchange.reply(200, (("content-type", "application/json"),), body)
            return
        try:
            asked = json.loads(exchange.request.body)
            version = int(asked.get("version_info") or 0)
            asker = str(asked.get("node", {}).get("id", ""))
        except (ValueError, AttributeError):
            exchange.reply_problem(400, "malformed request")
            return
        prefer = exchange.request.headers.get("prefer", "")
        wait_s = float(prefer.partition("wait=")[2] or 0)
        if version != self.version or not wait_s:
            self._answer(exchange, version, asker)
            return
        timer = self.loop.call_later(wait_s, self._nothing, exchange)
        self._waiting.append((exchange, version, asker, timer))

    def _nothing(self, exchange: Exchange) -> None:
        self._waiting = [entry for entry in self._waiting if entry[0] is not exchange]
        if not exchange.disconnected:
            exchange.reply(304)

    def _answer(self, exchange: Exchange, version: int, asker: str) -> None:
        whole = version <= 0 or version > self.version
        body = self.full(asker) if whole else self.delta(version, asker)
        exchange.reply(200, (("content-type", "application/json"),), json.dumps(body).encode())

    def full(self, asker: str = "") -> dict[str, Any]:
        """A DiscoveryResponse."""
        zones: dict[str, list[Any]] = {}
        for line in self.lines.values():
            if line.listed:
                zones.setdefault(line.plan.zone, []).append(self._endpoint(line, asker))
        groups = [{"locality": {"zone": zone}, "lb_endpoints": found} for zone, found in zones.items()]
        kind = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
        assignment = {"@type": kind, "cluster_name": "media", "endpoints": groups}
        return {"version_info": str(self.version), "type_url": kind, "resources": [assignment]}

    def delta(self, since: int, asker: str = "") -> dict[str, Any]:
        """A DeltaDiscoveryResponse."""
        changed = [line for line in self.lines.values() if line.version > since]
        return {
            "system_version_info": str(self.version),
            "resources": [
                {"name": n, "version": str(line.version), "resource": self._endpoint(line, asker)}
                for n, line in ((line.plan.name, line) for line in changed)
                if line.listed
            ],
            "removed_resources": [line.plan.name for line in changed if not line.listed],
        }

    def _endpoint(self, line: _Line, asker: str) -> dict[str, Any]:
        plan = line.plan
        port = plan.announce_to.get(asker) or plan.announce or plan.port
        own = {
            "name": plan.name,
            "cell": plan.cell,
            "kind": plan.kind,
            "started_unix_ms": line.started_unix_ms,
            "zone": plan.zone,
        }
        address = {"address": "127.0.0.1", "port_value": port}
        return {
            "endpoint": {"address": {"socket_address": address}},
            "health_status": line.health,
            "load_balancing_weight": 1000,
            "metadata": {"filter_metadata": {"foxlift": own}},
        }


@dataclass
class Fleet:
    """The boxes, their racks, the list service and the control socket."""

    plan: FleetPlan
    loop: asyncio.AbstractEventLoop
    boxes: dict[str, BoxServer] = field(default_factory=dict)
    racks: dict[str, Rack] = field(default_factory=dict)
    fallen: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start all of it, warm."""
        plan = self.plan
        self.list = ListService(self.loop)
        filler = Filler(plan.rates, frozenset(plan.sides), plan.segment_s, plan.scale)
        media: Media = Folder(Path(plan.folder)) if plan.folder else filler
        for k, box in enumerate(plan.boxes):
            rack = self.racks.setdefault(box.rack, Rack(box.rack, plan.uplink_kb))
            model = BoxModel(
                box.name,
                box.zone,
                box.kind,
                box.cell,
                rack,
                box.places,
                box.link_kb,
                plan.cold_from,
                plan.warm_up_ms / 1000,
                plan.cold_multiple,
                plan.cold_window_ms / 1000,
                plan.set_up_ms / 1000,
                plan.seed * 1000 + k,
            )
            server = BoxServer(
                model,
                self.loop,
                scale=plan.scale,
                segment_s=plan.segment_s,
                report_s=plan.report_ms / 1000,
                told_late_s=plan.told_late_ms / 1000,
                tell_every_s=plan.tell_every_ms / 1000,
                idle_s=plan.idle_s,
                park_s=plan.park_s,
                media=media,
                origins=plan.origins,
                on_fallen=lambda fell: self.fallen.append(fell.model.name),
            )
            await server.start(box.port)
            self.boxes[box.name] = server
            listed = msgspec.structs.replace(box, port=server.port)
            self.list.lines[box.name] = _Line(listed)
        self.list_port = await self.list.server.listen("127.0.0.1", plan.list_port)
        self.control = Server(self.loop, self._control, Limits())
        self.control_port = await self.control.listen("127.0.0.1", plan.control_port)

    async def stop(self) -> None:
        """End all of it."""
        for box in self.boxes.values():
            box.die()
        await self.list.server.stop(100.0)
        await self.control.stop(100.0)

    def _control(self, exchange: Exchange) -> None:
        """`POST /` with {"box": name, "do": command, "value": ...}; `GET /` tells the state."""
        if exchange.request.method == "GET":
            exchange.reply(200, (("content-type", "application/json"),), json.dumps(self.state()).encode())
            return
        try:
            order = json.loads(exchange.request.body)
            self.command(str(order["do"]), str(order.get("box", "")), order.get("value"))
        except (ValueError, KeyError, TypeError) as error:
            exchange.reply_problem(400, "cannot be done", str(error))
            return
        exchange.reply(204)

    def command(self, do: str, name: str = "", value: Any = None) -> None:
        """Carry out one command. Raises ValueError and KeyError."""
        notice_s, silent_s = self.plan.notice_ms / 1000, self.plan.silent_notice_ms / 1000
        if do == "list-down":
            self.list.down = bool(value)
            return
        if do == "weaken-rack":
            self.racks[name].factor = float(value)
            return
        box = self.boxes[name]
        if do == "die":
            box.die()
            self.loop.call_later(silent_s, self._list_dead, name, box.model.boots)
        elif do == "return":
            task = self.loop.create_task(box.start(cold=True))
            task.add_done_callback(lambda _: self._returned(name, time.time() * 1000))
        elif do == "drain":
            box.command(do, False)  # the list tells of it; the box itself goes on serving
            health = "DRAINING" if value is None or value else "HEALTHY"
            self.loop.call_later(notice_s, lambda: self.list.change(name, health=health))
        else:
            box.command(do, value)

    def _list_dead(self, name: str, boots: int) -> None:
        box = self.boxes[name]
        if not box.up and box.model.boots == boots:
            self.list.change(name, health="UNHEALTHY")

    def _returned(self, name: str, unix_ms: float) -> None:
        notice_s = self.plan.notice_ms / 1000
        self.loop.call_later(
            notice_s, lambda: self.list.change(name, health="HEALTHY", started_unix_ms=unix_ms)
        )

    def state(self) -> dict[str, Any]:
        """What an operator of the rehearsal may see."""
        return {
            "fallen": self.fallen,
            "boxes": {
                name: {
                    "up": box.up,
                    "sessions": len(box.model.sessions),
                    "use": round(box.model.use, 3),
                    "set_ups": box.set_ups,
                }
                for name, box in self.boxes.items()
            },
        }
