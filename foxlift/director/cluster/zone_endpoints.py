"""The zone plan's messages on the peers' listener.

POST /peers/zones    a director's report to a planner
POST /peers/plan     a plan passed on by a peer
POST /peers/order    an operator's order for a zone, passed on to every planner
"""

from __future__ import annotations

import msgspec

from foxlift.director.cluster.server import PeerServer
from foxlift.director.cluster.zone_planning import OrderMessage, PlanMessage, ReportMessage, ZonePlanning
from foxlift.http import Exchange


class ZoneEndpoints:
    """Passes messages to the zone planning. Only exists where the settings name planners."""

    def __init__(self, server: PeerServer, planning: ZonePlanning) -> None:
        self._server, self._planning = server, planning
        server.add_handler("/peers/zones", self._receive_report)
        server.add_handler("/peers/plan", self._receive_plan)
        server.add_handler("/peers/order", self._receive_order)

    def _receive_report(self, exchange: Exchange) -> None:
        message = msgspec.json.decode(exchange.request.body, type=ReportMessage)
        if self._server.admits(exchange, message.sender, message.boot_epoch):
            self._planning.receive_report(message)
            exchange.reply(204)

    def _receive_plan(self, exchange: Exchange) -> None:
        message = msgspec.json.decode(exchange.request.body, type=PlanMessage)
        if self._server.admits(exchange, message.sender, message.boot_epoch):
            self._planning.receive_plan(message)
            exchange.reply(204)

    def _receive_order(self, exchange: Exchange) -> None:
        message = msgspec.json.decode(exchange.request.body, type=OrderMessage)
        if message.sender and not self._server.admits(exchange, message.sender, message.boot_epoch):
            return
        if self._planning.receive_order(message):
            exchange.reply(204)
        else:
            self._server.refuse(exchange, 404, "the settings name no such zone")
