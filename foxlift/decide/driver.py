"""Tells the module one event after another, and has each answer carried out whole before the next is told.

What an action brings about may itself be an event (a set-up that cannot leave, a drain heard in between). It
waits its turn: the module must see the world change in one order, and never while it is being answered.

A fault of the module must not cost a viewer the answer that is owed, so what is owed is kept here too:

    request   event                            next      what is done
    (none)    Ask                              WAITS
    WAITS     SetUp                            OUT
    OUT       Ended, not final                 WAITS     it may have run, unless the outcome proves otherwise
    any       Started, Withdrawn, final Ended  (none)
    any       Refuse, Fail                     (none)    carried out
    WAITS     a fault that concerns it         (none)    Fail if it is paid and may have run, else Refuse

What the module had decided before it raised is carried out: it believes so. What concerns whom: an event its
own session; a Wake every request that waits. The module is told of what is given up, so that it keeps no
seat, place or rate for it. An end that raised is told again without its report, a list line by line. A Wake
that raised comes again, for the module may wait for it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from foxlift import interface as fl
from foxlift.logic import Director

RETRY_WAKE_MS = 100.0  # ms; shorter than any hold, and no load on a loop if the fault lasts
FAULT_LOG_INTERVAL_MS = (
    100.0  # ms; least time between two words on faults: a lasting one must not flood a log
)

Trace = Callable[[float, fl.Event, list[fl.Action]], None]
Fault = Callable[[str], None]


@dataclass(slots=True)
class _Request:
    """A request that is owed its answer."""

    paid: bool
    out: bool = False  # an attempt is
    may_have_run: bool = False


class Driver:
    """The module, the events that it is still to be told, and the requests that are not answered.

    `fault` hears of each exception, in words without names of viewers. `trace` is for tests and replays.
    """

    def __init__(
        self,
        module: Director,
        carry_out: Callable[[fl.Action], None],
        fault: Fault,
        trace: Trace | None = None,
    ) -> None:
        self.module = module
        self._carry_out, self._fault, self._trace = carry_out, fault, trace
        self._events: deque[fl.Event] = deque()
        self._requests: dict[int, _Request] = {}
        self._now = 0.0
        self._said_at, self._unsaid = -FAULT_LOG_INTERVAL_MS, 0

    @property
    def unanswered(self) -> int:
        """Requests that are owed their answer."""
        return len(self._requests)

    def may_have_run(self, number: int) -> bool:
        """Whether an attempt of a request has ended that is not proven never to have run."""
        request = self._requests.get(number)
        return request is not None and request.may_have_run

    def deliver(self, now: float, event: fl.Event) -> None:
        """Tell the module, now or, from inside an action, when its turn comes. `now` in ms."""
        self._events.append(event)
        if len(self._events) > 1:
            return
        self._now = now
        try:
            while self._events:
                self._deliver(now, self._seen(self._events[0]))
                self._events.popleft()
        except BaseException:
            # what ends the process or a test: nothing of it is told later
            self._events.clear()
            raise

    def _deliver(self, now: float, event: fl.Event) -> None:
        before, failed = self.module.actions, False
        try:
            decided = self.module.handle(now, event)
        except Exception as error:
            failed = True
            self._say(type(event).__name__, error)
            decided = [] if self.module.actions is before else self.module.actions
        if self._trace is not None:
            self._trace(now, event, decided)
        for action in decided:
            self._do(action)
        if failed:
            self._settle(event)

    # ---- What is owed -------------------------------------------------------------------------------------
    def _seen(self, event: fl.Event) -> fl.Event:
        """Keep account of what the event says of a request; the event as the module is to hear it."""
        match event:
            case fl.Ask(number, klass):
                paid = self.module.settings.classes[klass].repeat is not fl.Repeat.FREE
                self._requests[number] = _Request(paid)
            case fl.Started(number) | fl.Withdrawn(number):
                self._requests.pop(number, None)
            case fl.Ended(number, outcome=outcome, final=final):
                request = self._requests.get(number)
                if request is None:  # it has its answer, maybe from here
                    return event if final else replace(event, final=True)
                request.out = False
                request.may_have_run |= not outcome.proves_unrun
                if final:
                    del self._requests[number]
        return event

    def _do(self, action: fl.Action) -> None:
        match action:
            case fl.SetUp(number):
                if (request := self._requests.get(number)) is not None:
                    request.out = True
            case fl.Refuse(number) | fl.Fail(number):
                self._requests.pop(number, None)
        try:
            self._carry_out(action)
        except Exception as error:
            self._say(type(action).__name__, error)
            if isinstance(action, fl.SetUp) and action.session in self._requests:
                # whether it has left is not known: nobody waits for it, and it counts as one that may
                self._do(fl.Cancel(action.session, 0))
                self._requests[action.session].may_have_run = True
                self._give_up(action.session)

    # ---- Faults -------------------------------------------------------------------------------------------
    def _settle(self, event: fl.Event) -> None:
        """After a fault at this event: answers that nobody else would give, and the module's tables."""
        match event:
            case fl.Ended(number, load=load) if load is not None:
                request = self._requests.get(number)
                if request is None or not request.out:
                    self._events.insert(1, replace(event, load=None))
            case fl.Ask(number) | fl.Ended(number) if self._waits(number):
                self._give_up(number)
            case fl.Wake(token):
                for number in filter(self._waits, list(self._requests)):
                    self._give_up(number)
                self._do(fl.SetTimer(RETRY_WAKE_MS, token))
            case fl.NodeList(kind, nodes) if len(nodes) > 1 or kind is not fl.ListKind.DELTA:
                self._list_by_line(kind, nodes)

    def _waits(self, number: int) -> bool:
        request = self._requests.get(number)
        return request is not None and not request.out

    def _give_up(self, number: int) -> None:
        request = self._requests.pop(number)
        self._do(fl.Fail(number) if request.paid and request.may_have_run else fl.Refuse(number))
        stuck = self.module.sessions.get(number)
        if stuck is not None and stuck.node is not None:
            # the fault was while this one was sent: no other end may come
            how = fl.Outcome.CANCELLED if request.may_have_run else fl.Outcome.NEVER_SENT
            ended = fl.Ended(number, stuck.node.info.node, stuck.attempts - 1, how, True, 0.0)
            self._events.append(ended)
        self._events.append(fl.Withdrawn(number))

    def _list_by_line(self, kind: fl.ListKind, nodes: tuple[fl.NodeInfo, ...]) -> None:
        """One line that the module cannot take in must not cost the others."""
        lines = list(nodes)
        if kind in (fl.ListKind.FULL, fl.ListKind.CACHED):
            named = {info.node for info in nodes}
            gone = [node.info for name, node in self.module.nodes.items() if name not in named]
            lines += [replace(info, status=fl.Status.GONE) for info in gone]
        if kind is fl.ListKind.CACHED:  # any of its nodes may have started since, and counts as cold from now
            lines = [replace(info, started_ms=max(info.started_ms, self._now)) for info in lines]
        self._events.extend(fl.NodeList(fl.ListKind.DELTA, (line,)) for line in lines)

    def _say(self, what: str, error: Exception) -> None:
        if self._now - self._said_at < FAULT_LOG_INTERVAL_MS:
            self._unsaid += 1
            return
        more = f", {self._unsaid} more before" if self._unsaid else ""
        self._said_at, self._unsaid = self._now, 0
        self._fault(f"{what}: {type(error).__name__}{_place(error)}{more}")


def _place(error: Exception) -> str:
    frames = error.__traceback__
    while frames is not None and frames.tb_next is not None:
        frames = frames.tb_next
    code = frames.tb_frame.f_code if frames is not None else None
    return f" at {code.co_filename.rpartition('/')[2]}:{frames.tb_lineno}" if code and frames else ""
