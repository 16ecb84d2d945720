"""Writes the intents of paid set-ups to the disk before the set-ups are sent."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from foxlift.config import DirectorConfig
from foxlift.decide import attempts
from foxlift.director import events
from foxlift.director.timeline import Timeline
from foxlift.store import Intent, IntentLog
from foxlift.telemetry import Counters


class IntentWriter:
    """One director's. `feed` gets one event for each intent: whether it is durable."""

    def __init__(
        self,
        config: DirectorConfig,
        timeline: Timeline,
        counters: Counters,
        intent_log: IntentLog,
        feed: Callable[[events.Event], None],
    ) -> None:
        self._config, self._timeline, self._counters = config, timeline, counters
        self._intent_log, self._feed = intent_log, feed
        self._log = structlog.get_logger().bind(director=config.name)

    def write(self, request: events.PersistIntent) -> None:
        """Write an intent. If it is not durable within `intent-ms`, it counts as failed.

        The set-up is not sent then. The late intent is followed in the log by the outcome that it never ran.
        """
        pending = True

        def written(error: OSError | None) -> None:
            nonlocal pending
            if not pending:
                return
            pending = False
            if error is None:
                self._feed(attempts.IntentDurable(request.session, request.attempt))
                return
            self._counters.add("intents not kept")
            self._log.error("the record of paid set-ups cannot be written", detail=str(error))
            self._feed(attempts.IntentFailed(request.session, request.attempt))

        def too_late() -> None:
            nonlocal pending
            if not pending:
                return
            pending = False
            self._counters.add("intents too late")
            self._log.error("the disk is too slow for paid set-ups", session=request.session)
            self._feed(attempts.IntentFailed(request.session, request.attempt))

        self._intent_log.record_intent(self._intent(request), written)
        self._timeline.later(self._config.front.intent_ms, too_late)

    def _intent(self, request: events.PersistIntent) -> Intent:
        token = request.token
        expires_s = token.expires + self._config.tokens.leeway_s
        return Intent(token.id, expires_s, request.box, request.set_up, token.tenant, token.klass)
