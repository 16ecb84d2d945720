"""Tells the module one event after another, and has each answer carried out whole before the next is told.

What an action brings about may itself be an event (a set-up that cannot leave, a drain heard in between). It
waits its turn: the module must see the world change in one order, and never while it is being answered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from foxlift import interface as fl
from foxlift.logic import Director

Trace = Callable[[float, fl.Event, list[fl.Action]], None]


class Driver:
    """The module and the events that it is still to be told. `trace` is for tests and replays."""

    def __init__(
        self, module: Director, carry_out: Callable[[fl.Action], None], trace: Trace | None = None
    ) -> None:
        self.module = module
        self._carry_out, self._trace = carry_out, trace
        self._events: deque[fl.Event] = deque()

    def tell(self, now: float, event: fl.Event) -> None:
        """Tell the module, now or, from inside an action, when its turn comes. `now` in ms."""
        self._events.append(event)
        if len(self._events) > 1:
            return
        try:
            while self._events:
                actions = self.module.handle(now, self._events[0])
                if self._trace is not None:
                    self._trace(now, self._events[0], actions)
                for action in actions:
                    self._carry_out(action)
                self._events.popleft()
        except BaseException:
            # a fault ends what was being told, not all that is told from now on
            self._events.clear()
            raise
