"""Takeovers at a media server: who is alive, which sessions change owners, what the asker is answered."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from foxlift.boxes.notices import OwnershipLost, SessionEnded
from foxlift.boxes.takeover import (
    MAX_SESSIONS_PER_RESPONSE,
    HeldSession,
    LostSession,
    TakeoverRequest,
    TakeoverResponse,
)
from foxlift.standins.model import BoxModel, BoxSession
from foxlift.standins.notice_streams import NoticeStreams
from foxlift.standins.owners import Owners


def is_alive(order: TakeoverRequest, owners: Owners, now_ms: int) -> bool:
    """Whether the former owner is heard from, in a later run or where the order is not `certain`."""
    run = owners.streams.get(order.former_owner, 0)
    if 0 < order.max_epoch < run:
        return True
    return not order.force and owners.hears_from(order.former_owner, order.max_epoch, now_ms)


def take_over(
    order: TakeoverRequest,
    model: BoxModel,
    owners: Owners,
    streams: NoticeStreams,
    now: float,
    now_ms: int,
) -> tuple[TakeoverResponse, OwnershipLost | None]:
    """Change the owner of the sessions that an admitted order names; what the former owner is told, if any.

    `now`: loop seconds, `now_ms`: Unix.
    """
    taken = owners.take(
        order.former_owner,
        order.max_epoch,
        order.new_owner,
        order.boot_epoch,
        now_ms,
        order.only_set_up,
        MAX_SESSIONS_PER_RESPONSE,
    )
    for set_up in taken.set_ups:
        session = held_session(model, set_up)
        session.director = order.new_owner
        session.told_ms = max(session.told_ms, now_ms)
    model.counter += len(taken.set_ups)  # an earlier hello does not tell of them
    streams.expect(order.new_owner)
    lost = None
    if taken.set_ups and order.former_owner != order.new_owner:
        lost = OwnershipLost(taken.set_ups, order.new_owner, now_ms)
    ends = streams.kept_ends(order.new_owner)
    return make_answer(order, model, owners, ends, more=taken.more, now=now, now_ms=now_ms), lost


def held_session(model: BoxModel, set_up: str) -> BoxSession:
    """A session that plays or is parked here. Raises KeyError where there is none."""
    found = model.sessions.get(set_up)
    return found if found is not None else model.parked[set_up][0]


def make_answer(
    order: TakeoverRequest,
    model: BoxModel,
    owners: Owners,
    ends: Iterable[SessionEnded],
    *,
    more: bool,
    now: float,
    now_ms: int,
) -> TakeoverResponse:
    """The answer to an order that was carried out.

    `ends`: those kept for the asker; `more`: not all was taken at once; `now`: loop seconds, `now_ms`: Unix.
    """
    only, owner = owners.became(order.only_set_up, order.new_owner) if order.only_set_up else ("", "")
    own = order.former_owner == order.new_owner  # of its own earlier incarnations
    return TakeoverResponse(
        boot=model.boot,
        counter=model.counter,
        at=now_ms,
        forgotten_up_to=owners.forgot_ms,
        sessions=tuple(_describe(set_up, model, owners, now) for set_up in _taken_by(order, owners)),
        lost=_gone(order.new_owner, owners, ends) if own else (),
        more=more,
        set_up_state=only,  # type: ignore[arg-type]
        owner=owner,
    )


def _taken_by(order: TakeoverRequest, owners: Owners) -> Iterator[str]:
    """Set-ups that the asker owns by a takeover, through this order or an earlier one."""
    for set_up, owned in owners.sessions.items():
        is_owner = (owned.name, owned.run) == (order.new_owner, order.boot_epoch)
        if owned.taken and is_owner and order.only_set_up in (None, set_up):
            yield set_up


def _gone(director: str, owners: Owners, ends: Iterable[SessionEnded]) -> tuple[LostSession, ...]:
    """What others took of a director's sessions, and what ended."""
    gone = dict(owners.lost.get(director, {}))
    gone |= {end.session: (end.at, "") for end in ends}
    return tuple(LostSession(set_up, at, by) for set_up, (at, by) in gone.items())


def _describe(set_up: str, model: BoxModel, owners: Owners, now: float) -> HeldSession:
    session, owned = held_session(model, set_up), owners.sessions[set_up]
    _, until = model.parked.get(set_up, (None, 0.0))
    return HeldSession(
        set_up,
        session.title,
        session.klass,
        session.tenant,
        session.claim,
        session.paid,
        session.rung,
        session.path_token,
        session.note,
        owned.since_ms,
        max(int((until - now) * 1000), 1) if until else 0,
    )
