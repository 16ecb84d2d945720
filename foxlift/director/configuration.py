"""A director's configuration from the log of changes: watches a relay, applies titles, acknowledges versions.

Used only if the settings name relays. `foxlift.rollout.agent` makes the decisions; this module connects it to
the network, the disk and the catalogue. While no relay responds, the director keeps the configuration it has.
"""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

import msgspec
import structlog

from foxlift.catalogue import Catalogue
from foxlift.catalogue.changes import TitleChanges
from foxlift.config import DirectorConfig
from foxlift.director.timeline import Timeline
from foxlift.http import NamedPools, PoolLimits
from foxlift.rollout import agent, watcher
from foxlift.rollout.agent import Agent
from foxlift.rollout.entry import Change
from foxlift.rollout.messages import MAX_RESPONSE_BYTES, WATCH_PATH, WatchResponse
from foxlift.rollout.stores import DirectorStore
from foxlift.store import FilePort
from foxlift.telemetry import Counters

WATCH_TIMEOUT_MS = watcher.POLL_TIMEOUT_MS + 500.0
POOL_LIMITS = PoolLimits(connect_ms=1000.0, max_connections=2, max_response_bytes=MAX_RESPONSE_BYTES)
_decode_answer = msgspec.json.Decoder(WatchResponse).decode


class ConfigurationFeed:
    """One director's configuration: applies the stored one when created, and new versions after `start`."""

    def __init__(
        self,
        config: DirectorConfig,
        loop: asyncio.AbstractEventLoop,
        timeline: Timeline,
        files: FilePort,
        counters: Counters,
        catalogue: Catalogue,
    ) -> None:
        """Reads the state folder. Raises OSError."""
        self._timeline, self._counters = timeline, counters
        self._log = structlog.get_logger().bind(director=config.name)
        self._titles = TitleChanges(catalogue, Path(config.catalogue.folder), config.fleet.cells)
        self._store = DirectorStore(files)
        self._disk_failed = False
        self._apply_stored()
        relays = config.configuration.relays
        self._client = NamedPools(loop, {relay.name: relay.url for relay in relays}, POOL_LIMITS)
        self._agent = Agent(
            config.name,
            int(timeline.now()),
            tuple(relay.name for relay in relays),
            config.seed,
            self._titles.check,
            self._store.version,
            self._store.content,
        )

    def _apply_stored(self) -> None:
        if self._store.unusable_reason:
            self._log.error("configuration on disk not used", detail=self._store.unusable_reason)
        stored = Change(dict(self._store.content.values))
        problem = self._titles.check(stored)
        if problem is None:
            self._titles.apply(stored)
            return
        detail = f"{problem.key}: {problem.cause}"
        self._log.error("configuration on disk not used", detail=detail)
        self._store.reset(detail)

    @property
    def version(self) -> int:
        """The version in force, 0 for none."""
        return self._agent.version

    @property
    def flushed(self) -> bool:
        """Whether nothing is waiting to be written to the disk."""
        return self._store.flushed

    def start(self) -> None:
        """Start watching the first relay."""
        self._log.info("configuration in force", version=self.version)
        self._carry_out(self._agent.start())

    def close(self) -> None:
        """Close connections and files."""
        self._client.close()
        self._store.close()

    def _handle(self, event: agent.Event) -> None:
        if not self._client.closed:
            self._carry_out(self._agent.handle(event))

    def _carry_out(self, actions: list[agent.Action]) -> None:
        for action in actions:
            match action:
                case agent.SendWatch():
                    self._send(action)
                case agent.Apply(version, change):
                    self._titles.apply(change)
                    self._counters.add("configuration changes")
                    self._log.info("configuration in force", version=version, keys=len(change.puts))
                case agent.Persist(version, change, whole):
                    self._store.store_change(version, change, whole, self._persisted)
                case agent.WriteLog(what, version, key, cause):
                    self._counters.add(what)
                    self._log.error(what, version=version, key=key, detail=cause)
                case watcher.StartTimer(delay_ms, event):
                    self._timeline.later(delay_ms, partial(self._handle, event))

    def _send(self, send: agent.SendWatch) -> None:
        def finished(answer: WatchResponse | None) -> None:
            self._handle(agent.WatchAnswered(send.watch_id, answer))

        body = msgspec.json.encode(send.watch)
        self._client.request(send.source, WATCH_PATH, body, WATCH_TIMEOUT_MS, _decode_answer, finished)

    def _persisted(self, error: OSError | None) -> None:
        if error is not None and not self._disk_failed:
            self._disk_failed = True
            self._log.error("configuration not kept on disk, but in force", detail=str(error))
