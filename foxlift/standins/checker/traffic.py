"""A read-only view of a day's traffic, shared by all rules.

Exchanges stand in the order in which their requests began. What several rules need of them is read once.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from foxlift.standins.checker.capture import Capture, Connection, Mark
from foxlift.standins.checker.messages import Exchange, StrayAnswer, read_exchanges
from foxlift.standins.checker.tokens import read_claims

# How the taps at each kind of process are named.
DIRECTOR_TAP = "director:"
SERVER_TAP = "box:"
DISCOVERY_TAP = "list:"

# Two sockets of one director may show their bytes in the other order by so much.
REORDERING_S = 0.06
# A director's connections are over within so much of a kill.
KILL_MATCH_S = 0.5

CREATED = (200, 201)  # answers that confirm a set-up
SERVER_DEATHS = ("die", "fallen")  # marks of a media server that stopped

ENDED_EVENT = b"event: ended\n"
HELLO_EVENT = b"event: hello\ndata: "


@dataclass(frozen=True)
class ManifestRequest:
    """A viewer's request to a director, with the claims of its token."""

    exchange: Exchange
    claims: dict[str, Any]

    @property
    def director(self) -> str:
        """Name of the director that was asked."""
        return self.exchange.connection.endpoint

    @property
    def begun(self) -> float:
        """When its first byte came."""
        return self.exchange.asked.first

    @property
    def is_return(self) -> bool:
        """Whether it returns to a session, and does not ask for a manifest by its title."""
        return self.exchange.path_parts[3:4] == ["back"]

    @property
    def label(self) -> str:
        """Director and token, as a broken rule names them."""
        return f"{self.director}: {self.claims['jti']}"


@dataclass(frozen=True)
class Setup:
    """A set-up sent to a media server, with what it orders."""

    exchange: Exchange
    order: dict[str, Any]

    @property
    def identifier(self) -> str:
        """Identifier of the attempt: that of its session, a dash, and the number of the attempt."""
        return self.exchange.path_parts[2]

    @property
    def session(self) -> str:
        """Identifier of the session that the attempt is for."""
        return self.identifier.rpartition("-")[0]

    @property
    def is_first_attempt(self) -> bool:
        """Whether no attempt was made before it for its session."""
        return self.identifier.rpartition("-")[2] == "0"

    @property
    def server(self) -> str:
        """Name of the media server that it was sent to."""
        return self.exchange.connection.endpoint

    @property
    def director(self) -> str:
        """Name of the director that it says it is of."""
        return str(self.order["director"])

    @property
    def sent(self) -> float:
        """When its first byte came."""
        return self.exchange.asked.first

    @property
    def is_confirmed(self) -> bool:
        """Whether the media server answered that the session is set up."""
        return self.exchange.status in CREATED


@dataclass(frozen=True)
class Takeover:
    """A takeover that a media server carried out: what was ordered, what was answered and when."""

    answered: float
    order: dict[str, Any]
    answer: dict[str, Any]


class Traffic:
    """What was captured on a day."""

    def __init__(self, capture: Capture) -> None:
        self.marks: tuple[Mark, ...] = tuple(capture.marks)
        self.connections: Mapping[int, Connection] = capture.connections
        exchanges: list[Exchange] = []
        strays: list[StrayAnswer] = []
        for connection in capture.connections.values():
            found, stray = read_exchanges(connection)
            exchanges += found
            if stray is not None and connection.tap.startswith(DIRECTOR_TAP):
                strays.append(stray)
        self.exchanges: tuple[Exchange, ...] = tuple(sorted(exchanges, key=lambda found: found.asked.first))
        self.stray_answers: tuple[StrayAnswer, ...] = tuple(strays)  # of directors

    def to_directors(self) -> Iterator[Exchange]:
        """Requests to directors."""
        return self._through(DIRECTOR_TAP)

    def to_servers(self) -> Iterator[Exchange]:
        """Requests to media servers, of directors and of viewers."""
        return self._through(SERVER_TAP)

    def to_discovery(self) -> Iterator[Exchange]:
        """Requests to the box list."""
        return self._through(DISCOVERY_TAP)

    def _through(self, tap: str) -> Iterator[Exchange]:
        return (found for found in self.exchanges if found.connection.tap.startswith(tap))

    @cached_property
    def requests(self) -> tuple[ManifestRequest, ...]:
        """Requests for manifests and returns to sessions that carry a token that can be read."""
        found = []
        for exchange in self.to_directors():
            if exchange.method != "GET" or not _asks_for_play(exchange):
                continue
            claims = read_claims(exchange.target, exchange.asked.headers)
            if claims is not None:
                found.append(ManifestRequest(exchange, claims))
        return tuple(found)

    @cached_property
    def setups(self) -> tuple[Setup, ...]:
        """Set-ups sent to media servers, whatever came back."""
        return tuple(
            Setup(exchange, json.loads(exchange.asked.body))
            for exchange in self.to_servers()
            if is_setup(exchange)
        )

    @cached_property
    def takeovers(self) -> tuple[Takeover, ...]:
        """Takeovers that media servers carried out."""
        found = []
        for exchange in self.to_servers():
            if exchange.method != "POST" or exchange.target != "/takeovers":
                continue
            answer = exchange.whole_answer
            if answer is not None and exchange.status == 200:
                order = json.loads(exchange.asked.body)
                found.append(Takeover(answer.first, order, json.loads(answer.body)))
        return tuple(found)

    @cached_property
    def never_run(self) -> frozenset[str]:
        """Set-ups of which a takeover's answer says that they never ran and never will."""
        return frozenset(
            takeover.order["only"] for takeover in self.takeovers if takeover.answer.get("only") == "never"
        )

    @cached_property
    def known_ends(self) -> Mapping[str, float]:
        """When a director heard, or itself said, that a set-up is over."""
        ended: dict[str, float] = {}
        for connection in self.connections.values():
            if connection.tap.startswith(SERVER_TAP):
                _add_notices(ended, connection)
        for takeover in self.takeovers:
            for gone in takeover.answer["gone"]:
                if not gone["by"]:
                    ended.setdefault(gone["set-up"], 0.0)  # by then, for certain
        for exchange in self.to_servers():
            if exchange.method == "DELETE":
                name = exchange.path_parts[2]
                ended[name] = min(ended.get(name, float("inf")), exchange.asked.first)
        return ended

    def director_was_killed(self, director: str, at: float) -> bool:
        """Whether the rehearsal killed it at about this time."""
        return any(
            mark.text == "kill" and mark.director == director and abs(mark.at - at) < KILL_MATCH_S
            for mark in self.marks
        )


def is_setup(exchange: Exchange) -> bool:
    """Whether a request to a media server sets up a session."""
    return exchange.method == "PUT" and len(exchange.path_parts) == 3


def _asks_for_play(exchange: Exchange) -> bool:
    return "/manifest.mpd" in exchange.target or exchange.path_parts[3:4] == ["back"]


def _add_notices(ended: dict[str, float], connection: Connection) -> None:
    """Ends that a media server told on an event stream, one by one or at its beginning."""
    data = bytes(connection.down.data)
    at = data.find(ENDED_EVENT)
    while at >= 0:
        line = data[at:].split(b"\n", 2)[1].removeprefix(b"data: ")
        ended.setdefault(json.loads(line)["session"], connection.down.when(at))
        at = data.find(ENDED_EVENT, at + 1)
    for piece in data.split(HELLO_EVENT)[1:]:
        heard = connection.down.when(0)
        for late in json.loads(piece.split(b"\n", 1)[0]).get("ended", ()):
            ended.setdefault(late["session"], heard)
