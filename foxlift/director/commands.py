"""Commands to media servers (set up, resume, change the rung, release) and their results."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from foxlift import interface as fl
from foxlift.boxes import SetUpRequest, box_outcome, read_load, read_set_up
from foxlift.boxes.orca import LOAD_HEADER
from foxlift.boxes.resource import RungRequest
from foxlift.config import DirectorConfig
from foxlift.decide import attempts
from foxlift.director import events
from foxlift.director.ownership import Ownership
from foxlift.director.server_pools import ServerPools
from foxlift.director.timeline import Timeline
from foxlift.http import Call, Failure, FailureKind, Headers, Response
from foxlift.telemetry import Counters

COMMAND_TIMEOUT_MS = 2000.0  # for commands that no viewer waits for
JSON_HEADERS: Headers = (("content-type", "application/json"),)

_LOSS_OF_FAILURE = {
    FailureKind.CONNECT: attempts.CallFailure.CONNECT,
    FailureKind.RESET: attempts.CallFailure.RESET,
    FailureKind.TIMEOUT: attempts.CallFailure.TIMEOUT,
    FailureKind.INVALID: attempts.CallFailure.UNREADABLE,
    FailureKind.TOO_LARGE: attempts.CallFailure.UNREADABLE,
    FailureKind.CANCELLED: attempts.CallFailure.CANCELLED,
}

Command = events.SendSetUp | events.ChangeRung | attempts.AbortSetUp | attempts.Release
AttemptKey = tuple[int, int]  # session, attempt


class ServerCommands:
    """Sends one director's commands and reports their results."""

    def __init__(
        self,
        config: DirectorConfig,
        timeline: Timeline,
        counters: Counters,
        pools: ServerPools,
        ownership: Ownership,
        feed: Callable[[events.Event], None],
    ) -> None:
        self._config, self._timeline, self._counters = config, timeline, counters
        self._pools, self._ownership, self._feed = pools, ownership, feed
        self.set_ups: dict[AttemptKey, Call] = {}  # without a response so far

    def send(self, command: Command) -> None:
        """Send a command of the core."""
        match command:
            case events.SendSetUp() if command.session.parked_at is None:
                self._set_up(command)
            case events.SendSetUp():
                self._resume(command)
            case events.ChangeRung():
                self._change_rung(command)
            case attempts.AbortSetUp():
                self._abort(command)
            case attempts.Release():
                self._release(command)

    def _set_up(self, put: events.SendSetUp) -> None:
        key = (put.session.number, put.attempt)

        def finished(result: Response | Failure) -> None:
            self.set_ups.pop(key, None)
            self._ownership.is_refused(result, node=put.node)
            self._feed(_outcome_of(key, result))

        self._counters.add("set-ups sent")
        self.set_ups[key] = self._pools.pool(put.node).call(
            "PUT",
            f"/sessions/{put.set_up}",
            finished,
            headers=JSON_HEADERS,
            body=msgspec.json.encode(self._set_up_request(put)),
            timeout_ms=put.timeout_ms,
        )

    def _set_up_request(self, put: events.SendSetUp) -> SetUpRequest:
        session, token = put.session, put.session.token
        return SetUpRequest(
            director=self._config.name,
            title=session.title.name,
            klass=token.klass,
            tenant=token.tenant,
            claim=token.id,
            paid=session.paid,
            rung=put.rung,
            rate_kb=put.reservation.rate_kb,
            path_token=session.path_token,
            within_ms=put.timeout_ms,
            max_kbps=put.reservation.max_kbps,
            boot_epoch=self._ownership.boot_epoch,
            grace_ms=self._ownership.grace_ms,
            note=self._ownership.note(session),
            boot=session.boot if session.paid else "",
        )

    def _resume(self, put: events.SendSetUp) -> None:
        key = (put.session.number, put.attempt)

        def finished(result: Response | Failure) -> None:
            self.set_ups.pop(key, None)
            not_owner = self._ownership.is_refused(result, put.set_up)
            if isinstance(result, Response) and (not_owner or result.status in (404, 410)):
                self._feed(events.ParkedSessionMissing(put.session.number))
                # the server states that nothing runs
                self._feed(attempts.Answered(*key, False, fl.Outcome.FULL))
                return
            self._feed(_outcome_of(key, result))

        self._counters.add("taken up again")
        self.set_ups[key] = self._put_rung(put, "resume", put.timeout_ms, finished)

    def _change_rung(self, change: events.ChangeRung) -> None:
        def finished(result: Response | Failure) -> None:
            # the server's next rung notice reports the rung in force
            self._ownership.is_refused(result, change.set_up)

        self._put_rung(change, "rung", COMMAND_TIMEOUT_MS, finished)

    def _put_rung(
        self,
        command: events.SendSetUp | events.ChangeRung,
        resource: str,
        timeout_ms: float,
        finished: Callable[[Response | Failure], None],
    ) -> Call:
        reservation = command.reservation
        return self._pools.pool(command.node).call(
            "PUT",
            f"/sessions/{command.set_up}/{resource}",
            finished,
            headers=(*JSON_HEADERS, *self._ownership.headers()),
            body=msgspec.json.encode(RungRequest(command.rung, reservation.rate_kb, reservation.max_kbps)),
            timeout_ms=timeout_ms,
        )

    def _abort(self, abort: attempts.AbortSetUp) -> None:
        call = self.set_ups.get((abort.session, abort.attempt))
        if call is not None and not (abort.if_unsent and call.sent):
            call.cancel()

    def _release(self, release: attempts.Release) -> None:
        def finished(result: Response | Failure) -> None:
            not_owner = self._ownership.is_refused(result)
            if not_owner or (isinstance(result, Response) and result.status in (200, 204, 404)):
                self._feed(attempts.Released(release.set_up))
            else:
                self._feed(attempts.ReleaseFailed(release.set_up))

        def send() -> None:
            self._pools.pool(release.node).call(
                "DELETE",
                f"/sessions/{release.set_up}",
                finished,
                headers=self._ownership.headers(),
                timeout_ms=COMMAND_TIMEOUT_MS,
            )

        if release.retry:
            self._timeline.later(self._config.boxes.release_retry_ms, send)
        else:
            send()


def _outcome_of(key: AttemptKey, result: Response | Failure) -> attempts.Answered | attempts.CallFailed:
    """The result of an attempt from the result of its call."""
    if isinstance(result, Failure):
        return attempts.CallFailed(*key, _LOSS_OF_FAILURE[result.kind], result.sent)
    load = read_load(result.header(LOAD_HEADER))
    if result.status not in (200, 201):
        outcome = box_outcome(result.status, result.header("foxlift-refusal"))
        return attempts.Answered(*key, False, outcome, load=load)
    response = read_set_up(result.body)
    if response is None:
        # reported as done, but without a readable boot id and counter: treated as lost
        return attempts.CallFailed(*key, attempts.CallFailure.UNREADABLE, True)
    return attempts.Answered(*key, True, fl.Outcome.OK, response.counter, response.boot, load, response.at)
