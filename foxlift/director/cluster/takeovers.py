"""Takeover orders to servers, and the schedule of those that follow from a director's death or restart."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from foxlift.boxes.takeover import TakeoverRequest, TakeoverResponse, read_takeover_response
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.epoch_renewal import EpochRenewal
from foxlift.director.cluster.ports import Host
from foxlift.http import Failure, Response
from foxlift.peers.messages import PeerState
from foxlift.recovery import takeover
from foxlift.recovery.takeover import TakeoverFailure

CONFLICT = 409


class TakeoverOrders:
    """Sends takeover orders. Sessions that a server hands over go to the host before `done` is called."""

    def __init__(self, context: ClusterContext, host: Host, renewal: EpochRenewal) -> None:
        self._context, self._host, self._renewal = context, host, renewal

    def send(
        self,
        box: str,
        owner: str,
        up_to_epoch: int,
        certain: bool,
        done: Callable[[TakeoverResponse | TakeoverFailure], None],
        only_set_up: str | None = None,
    ) -> None:
        """Ask a box for the sessions of `owner` in epochs up to `up_to_epoch` (0: the latest it knows)."""
        context = self._context
        epoch = context.boot_epoch
        order = TakeoverRequest(owner, up_to_epoch, context.name, epoch, certain, only_set_up)

        def answered(result: Response | Failure) -> None:
            if context.closed:
                return
            answer = _answer_of(result)
            if answer is None or epoch != context.boot_epoch:
                done(self._refusal_of(result, epoch))
                return
            if answer.sessions and owner != context.name:
                context.counters.add("taken over", amount=len(answer.sessions))
            self._host.adopt(box, answer)
            done(answer)

        if not self._host.send_takeover(box, order, answered):
            done(TakeoverFailure.SILENT)

    def _refusal_of(self, result: Response | Failure, epoch: int) -> TakeoverFailure:
        """Why the takeover failed. Where a server has fenced this director off, a new epoch begins."""
        if not isinstance(result, Response) or result.status != CONFLICT:
            return TakeoverFailure.SILENT
        if result.header("foxlift-refusal") == "alive":
            return TakeoverFailure.ALIVE
        if epoch == self._context.boot_epoch:
            self._renewal.renew(result)
        return TakeoverFailure.FENCED


def _answer_of(result: Response | Failure) -> TakeoverResponse | None:
    if isinstance(result, Response) and result.status == 200:
        return read_takeover_response(result.body)
    return None


class TakeoverSchedule:
    """Carries out `foxlift.recovery.takeover`: whose sessions this director takes over, where and when."""

    def __init__(self, context: ClusterContext, orders: TakeoverOrders) -> None:
        config = context.config
        self._context, self._orders = context, orders
        self._takeovers = takeover.Takeovers(
            context.name, context.members, config.seed, config.peers.period_ms
        )

    def epoch_begun(self) -> None:
        """Take over the sessions of earlier epochs of this director."""
        self._handle(takeover.EpochBegun(self._context.boot_epoch))

    def boxes_listed(self, boxes: frozenset[str]) -> None:
        """The box list has changed."""
        self._handle(takeover.BoxesListed(boxes))

    def peer_contacted(self, name: str) -> None:
        """A message of this peer has arrived."""
        self._handle(takeover.PeerContacted(name))

    def peer_changed(self, name: str, state: PeerState, epoch: int, alive: tuple[str, ...]) -> None:
        """The belief about a peer has changed; `alive`: all alive and suspected directors."""
        self._handle(takeover.PeerChanged(name, state, epoch, alive))

    def is_gone(self, name: str) -> bool:
        """Whether a director's sessions are to be taken over."""
        return self._takeovers.is_gone(name)

    def successor(self, name: str, box: str) -> str:
        """Which director takes over another's sessions at a box."""
        return self._takeovers.successor(name, box)

    def is_certain(self, name: str) -> bool:
        """Whether a box is to hand over a director's sessions even while it hears from it."""
        return self._takeovers.certain(self._context.now(), name)

    def own_done(self, box: str) -> bool:
        """Whether the sessions of earlier epochs at this box belong to the present one now."""
        return self._takeovers.own_done(box)

    def _handle(self, event: takeover.Event) -> None:
        for action in self._takeovers.handle(self._context.now(), event):
            match action:
                case takeover.RequestTakeover(work, box, owner, up_to_epoch, certain):
                    self._orders.send(box, owner, up_to_epoch, certain, partial(self._answered, work))
                case takeover.StartTimer(delay_ms, due):
                    self._context.later(delay_ms, partial(self._handle, due))

    def _answered(self, work: int, answer: TakeoverResponse | TakeoverFailure) -> None:
        if self._context.closed:
            return
        if isinstance(answer, TakeoverFailure):
            self._handle(takeover.TakeoverFailed(work, answer))
        else:
            self._handle(takeover.TakenOver(work, answer.more))
