"""Delivers events to the module one at a time and carries out all actions of one before delivering the next.

Carrying out an action may itself cause an event (a set-up that cannot be sent, a drain that is received
meanwhile). Such an event is queued: the module sees all changes in one order and is never called recursively.

A fault of the module must not cost a viewer the final answer, so the driver keeps the state of each request:

    request   event                            next      what is done
    (none)    Ask                              WAITS
    WAITS     SetUp                            OUT
    OUT       Ended, not final                 WAITS     it may have run, unless the outcome proves otherwise
    any       Started, Withdrawn, final Ended  (none)
    any       Refuse, Fail                     (none)    carried out
    WAITS     a fault that concerns it         (none)    Fail if it is paid and may have run, else Refuse

(WAITS: no attempt is out. OUT: an attempt is out.)

Actions that the module decided on before it raised are carried out, because its own state counts them.
A fault at an event concerns the event's session; a fault at a Wake concerns every request that waits. The
module receives a Withdrawn for each request that the driver gives up, so that it frees the request's seat,
node and rate. If an Ended with a load report raised, it is delivered again without the report; if a node list
raised, it is delivered again one entry at a time. A Wake that raised is repeated after RETRY_WAKE_MS, because
the module may depend on it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from foxlift import interface as fl
from foxlift.logic import Director

RETRY_WAKE_MS = 100.0  # shorter than any hold of a request; no load on the event loop if the fault lasts
FAULT_LOG_INTERVAL_MS = 100.0  # at most one log line on faults in it: a lasting fault must not flood the log

Trace = Callable[[float, fl.Event, list[fl.Action]], None]
LogFault = Callable[[str], None]


@dataclass(slots=True)
class _Request:
    """A request without a final answer."""

    paid: bool
    attempt_out: bool = False
    may_have_run: bool = False


class Driver:
    """The module, the queue of events not yet delivered to it, and the unanswered requests.

    `log_fault` gets one line for each exception, without names of viewers. `trace` is for tests and replays.
    """

    def __init__(
        self,
        module: Director,
        carry_out: Callable[[fl.Action], None],
        log_fault: LogFault,
        trace: Trace | None = None,
    ) -> None:
        self.module = module
        self._carry_out, self._log_fault, self._trace = carry_out, log_fault, trace
        self._events: deque[fl.Event] = deque()
        self._requests: dict[int, _Request] = {}
        self._now = 0.0
        self._logged_at, self._suppressed = -FAULT_LOG_INTERVAL_MS, 0

    @property
    def unanswered(self) -> int:
        """Number of requests without a final answer."""
        return len(self._requests)

    def may_have_run(self, number: int) -> bool:
        """Whether an attempt of the request has ended without proof that it never ran."""
        request = self._requests.get(number)
        return request is not None and request.may_have_run

    def deliver(self, now: float, event: fl.Event) -> None:
        """Deliver the event to the module: at once, or after the events queued before it. `now` is in ms."""
        self._events.append(event)
        if len(self._events) > 1:
            return
        self._now = now
        try:
            while self._events:
                self._deliver(now, self._track(self._events[0]))
                self._events.popleft()
        except BaseException:
            # the process or the test is ending: deliver nothing of the queue later
            self._events.clear()
            raise

    def _deliver(self, now: float, event: fl.Event) -> None:
        before, failed = self.module.actions, False
        try:
            decided = self.module.handle(now, event)
        except Exception as error:
            failed = True
            self._write_fault(type(event).__name__, error)
            decided = [] if self.module.actions is before else self.module.actions
        if self._trace is not None:
            self._trace(now, event, decided)
        for action in decided:
            self._perform(action)
        if failed:
            self._recover(event)

    # ---- Unanswered requests -------------------------------------------------------------------------------
    def _track(self, event: fl.Event) -> fl.Event:
        """Update the state of the event's request. Returns the event to deliver, changed where necessary."""
        match event:
            case fl.Ask(number, klass):
                paid = self.module.settings.classes[klass].repeat is not fl.Repeat.FREE
                self._requests[number] = _Request(paid)
            case fl.Started(number) | fl.Withdrawn(number):
                self._requests.pop(number, None)
            case fl.Ended(number, outcome=outcome, final=final):
                request = self._requests.get(number)
                if request is None:  # already answered, possibly by this driver
                    return event if final else replace(event, final=True)
                request.attempt_out = False
                request.may_have_run |= not outcome.proves_unrun
                if final:
                    del self._requests[number]
        return event

    def _perform(self, action: fl.Action) -> None:
        match action:
            case fl.SetUp(number):
                if (request := self._requests.get(number)) is not None:
                    request.attempt_out = True
            case fl.Refuse(number) | fl.Fail(number):
                self._requests.pop(number, None)
        try:
            self._carry_out(action)
        except Exception as error:
            self._write_fault(type(action).__name__, error)
            if isinstance(action, fl.SetUp) and action.session in self._requests:
                # unknown whether the set-up was sent: cancel it and treat it as one that may have run
                self._perform(fl.Cancel(action.session, 0))
                self._requests[action.session].may_have_run = True
                self._give_up(action.session)

    # ---- Faults -------------------------------------------------------------------------------------------
    def _recover(self, event: fl.Event) -> None:
        """After a fault at this event, give the answers still due and bring the module's state up to date."""
        match event:
            case fl.Ended(number, load=load) if load is not None:
                request = self._requests.get(number)
                if request is None or not request.attempt_out:
                    self._events.insert(1, replace(event, load=None))
            case fl.Ask(number) | fl.Ended(number) if self._is_waiting(number):
                self._give_up(number)
            case fl.Wake(token):
                for number in filter(self._is_waiting, list(self._requests)):
                    self._give_up(number)
                self._perform(fl.SetTimer(RETRY_WAKE_MS, token))
            case fl.NodeList(kind, nodes) if len(nodes) > 1 or kind is not fl.ListKind.DELTA:
                self._split_list(kind, nodes)

    def _is_waiting(self, number: int) -> bool:
        request = self._requests.get(number)
        return request is not None and not request.attempt_out

    def _give_up(self, number: int) -> None:
        request = self._requests.pop(number)
        self._perform(fl.Fail(number) if request.paid and request.may_have_run else fl.Refuse(number))
        stuck = self.module.sessions.get(number)
        if stuck is not None and stuck.node is not None:
            # the fault came while this attempt was being sent: no other Ended may follow
            outcome = fl.Outcome.CANCELLED if request.may_have_run else fl.Outcome.NEVER_SENT
            ended = fl.Ended(number, stuck.node.info.node, stuck.attempts - 1, outcome, True, 0.0)
            self._events.append(ended)
        self._events.append(fl.Withdrawn(number))

    def _split_list(self, kind: fl.ListKind, nodes: tuple[fl.NodeInfo, ...]) -> None:
        """Deliver each entry by itself, so that one that the module fails on does not cost the others."""
        entries = list(nodes)
        if kind in (fl.ListKind.FULL, fl.ListKind.CACHED):
            listed = {info.node for info in nodes}
            gone = [node.info for name, node in self.module.nodes.items() if name not in listed]
            entries += [replace(info, status=fl.Status.GONE) for info in gone]
        if (
            kind is fl.ListKind.CACHED
        ):  # a node may have restarted since the list was stored: treat it as cold
            entries = [replace(info, started_ms=max(info.started_ms, self._now)) for info in entries]
        self._events.extend(fl.NodeList(fl.ListKind.DELTA, (entry,)) for entry in entries)

    def _write_fault(self, subject: str, error: Exception) -> None:
        if self._now - self._logged_at < FAULT_LOG_INTERVAL_MS:
            self._suppressed += 1
            return
        suppressed = f", {self._suppressed} more not logged" if self._suppressed else ""
        self._logged_at, self._suppressed = self._now, 0
        self._log_fault(f"{subject}: {type(error).__name__}{_source_of(error)}{suppressed}")


def _source_of(error: Exception) -> str:
    frames = error.__traceback__
    while frames is not None and frames.tb_next is not None:
        frames = frames.tb_next
    code = frames.tb_frame.f_code if frames is not None else None
    return f" at {code.co_filename.rpartition('/')[2]}:{frames.tb_lineno}" if code and frames else ""
