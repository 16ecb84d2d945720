"""The session resource of a box: `PUT /sessions/{id}`, `PUT /sessions/{id}/rung`, `DELETE /sessions/{id}`."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift import interface as fl

Id = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._~-]+$")]


class SetUpRequest(msgspec.Struct, frozen=True, rename="kebab"):
    """Body of the set-up. `claim` is the id of the viewer's token, never the token.

    `max_kbps` caps what the player should choose, video and sound together: it goes to it as CMSD `mb`
    (CTA-5006) on every segment. 0: no cap is told.

    `run` above 0 is the director's, and makes the session one that other directors can take over; it is kept
    for `grace_ms` without its owner's stream, and `note` with it, for whoever takes it over. Only the box's
    process `boot` runs it; empty: any.
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
    """Body of the answer 201. `counter` is the box's number of set-ups with this one.

    `at` is when it began to run, Unix ms by the box's clock: what is charged goes by it.
    """

    boot: str
    counter: int
    at: int = 0


class RungRequest(msgspec.Struct, frozen=True, rename="kebab"):
    """Body of the rung change; the cap as in the set-up."""

    rung: Annotated[int, Meta(ge=0, le=31)]
    rate_kb: Annotated[float, Meta(gt=0, le=1e9)]
    max_kbps: Annotated[int, Meta(ge=0)] = 0


def read_set_up(body: bytes) -> SetUpResponse | None:
    """The body of a set-up's answer, None where it cannot be read."""
    try:
        return msgspec.json.decode(body, type=SetUpResponse)
    except msgspec.MsgspecError:
        return None


def box_outcome(status: int, refusal: str | None) -> fl.Outcome:
    """What a box's answer other than 201 says of the set-up.

    Only a box's own word in `foxlift-refusal` (`full`, `draining`, `cold`, `fenced`, `rebooted`) proves that
    nothing ran: a bare 503 may come from anything between.
    """
    if status == 503 and refusal in ("full", "draining", "cold", "fenced", "rebooted"):
        return fl.Outcome.FULL
    return fl.Outcome.ERROR
