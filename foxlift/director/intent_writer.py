"""Intents of paid set-ups: written to the disk before the set-up leaves."""

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
    """One director's. `feed` is told once of each intent whether it lasts."""

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

    def write(self, keep: events.PersistIntent) -> None:
        """Write the intent; a disk that does not make it last within `intent-ms` counts as one that failed.

        The set-up never left then. The late record is followed by the word that it never ran, in this order.
        """
        waiting = True

        def written(error: OSError | None) -> None:
            nonlocal waiting
            if not waiting:
                return
            waiting = False
            if error is None:
                self._feed(attempts.IntentDurable(keep.session, keep.attempt))
                return
            self._counters.add("intents not kept")
            self._log.error("the record of paid set-ups cannot be written", detail=str(error))
            self._feed(attempts.IntentFailed(keep.session, keep.attempt))

        def too_late() -> None:
            nonlocal waiting
            if not waiting:
                return
            waiting = False
            self._counters.add("intents too late")
            self._log.error("the disk is too slow for paid set-ups", session=keep.session)
            self._feed(attempts.IntentFailed(keep.session, keep.attempt))

        self._intent_log.record_intent(self._intent(keep), written)
        self._timeline.later(self._config.front.intent_ms, too_late)

    def _intent(self, keep: events.PersistIntent) -> Intent:
        token = keep.token
        until = token.expires + self._config.tokens.leeway_s
        return Intent(token.id, until, keep.box, keep.set_up, token.tenant, token.klass)
