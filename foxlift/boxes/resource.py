"""The session resource of a box: `PUT /sessions/{id}`, `PUT /sessions/{id}/rung`, `DELETE /sessions/{id}`."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift import interface as fl

Id = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._~-]+$")]


class SetUpRequest(msgspec.Struct, frozen=True, rename="kebab"):
    """Body of the set-up request. `claim` is the id of the viewer's token, never the token.

    `max_kbps`: the cap for what the player chooses, video and audio together. The box sends it to the player
    as CMSD `mb` (CTA-5006) on every segment. 0: no cap is sent.

    `boot_epoch`: the director's. Above 0, other directors can take the session over: the box keeps it for
    `grace_ms` without its owner's notice stream, with `note` for the director that takes it over.

    `boot`: only the box process with this boot id runs the set-up; empty: any. `within_ms`: how long the
    director waits for the response.
    """

    director: str
    title: str
    klass: str = msgspec.field(name="class")
    tenant: str
    claim: str
    paid: bool
    rung: Annotated[int, Meta(ge=0, le=31)]
    rate_kb: Annotated[float, Meta(gt=0, le=1e9)]
    path_token: Id
    within_ms: float
    max_kbps: Annotated[int, Meta(ge=0)] = 0
    boot_epoch: Annotated[int, Meta(ge=0, lt=2**53)] = msgspec.field(name="run", default=0)
    grace_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = 0.0
    note: Annotated[str, Meta(max_length=1000)] = ""
    boot: Annotated[str, Meta(max_length=200)] = ""


class SetUpResponse(msgspec.Struct, frozen=True):
    """Body of the 201 response. `counter`: the box's number of set-ups, this one included.

    `at`: when the session began to run, Unix ms by the box's clock. Charges count from it.
    """

    boot: str
    counter: int
    at: int = 0


class RungRequest(msgspec.Struct, frozen=True, rename="kebab"):
    """Body of a rung change; `max_kbps` as in the set-up."""

    rung: Annotated[int, Meta(ge=0, le=31)]
    rate_kb: Annotated[float, Meta(gt=0, le=1e9)]
    max_kbps: Annotated[int, Meta(ge=0)] = 0


def read_set_up(body: bytes) -> SetUpResponse | None:
    """Parses the body of a set-up response; None if it is invalid."""
    try:
        return msgspec.json.decode(body, type=SetUpResponse)
    except msgspec.MsgspecError:
        return None


def box_outcome(status: int, refusal: str | None) -> fl.Outcome:
    """The outcome of a set-up that a box answered with another status than 201.

    Only a `foxlift-refusal` header of the box (`full`, `draining`, `cold`, `fenced`, `rebooted`) proves that
    nothing ran: a 503 without it may come from any proxy in between.
    """
    if status == 503 and refusal in ("full", "draining", "cold", "fenced", "rebooted"):
        return fl.Outcome.FULL
    return fl.Outcome.ERROR
