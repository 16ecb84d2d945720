"""Checks at the start, with the other members, whether a member's disk is the one of its last run.

The rules are in `foxlift.recovery.disk_check`; this module sends and receives its messages. A member that
lost its disk learns from the responses up to which version it must not vote (`foxlift.rollout.acceptor`).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import msgspec

from foxlift.config.control import ControlConfig
from foxlift.control.messages import HELLO_PATH, Hello, HelloResponse
from foxlift.director.timeline import Timeline
from foxlift.http import NamedPools
from foxlift.recovery import disk_check
from foxlift.rollout.stores import ServerStore

HELLO_TIMEOUT_MS = 1000.0
_decode_response = msgspec.json.Decoder(HelloResponse).decode


class DiskTrust:
    """The check of one member. Calls `on_trusted(was_lost, highest_version)` once, when it has ended."""

    def __init__(
        self,
        config: ControlConfig,
        store: ServerStore,
        client: NamedPools,
        timeline: Timeline,
        on_trusted: Callable[[bool, int], None],
    ) -> None:
        other_members = [member.name for member in config.members if member.name != config.name]
        self._name, self._store, self._client, self._timeline = config.name, store, client, timeline
        self._on_trusted = on_trusted
        self._highest_version = 0
        self._disk_check = disk_check.DiskCheck(
            other_members, store.previous_boot_epoch, config.seed, config.trust_disk
        )

    def start(self) -> None:
        """Send hello to the other members."""
        self._execute(self._disk_check.start())

    def _handle(self, event: disk_check.Event) -> None:
        self._execute(self._disk_check.handle(event))

    def _execute(self, actions: list[disk_check.Action]) -> None:
        for action in actions:
            match action:
                case disk_check.QueryEpoch(peer):
                    self._send_hello(peer)
                case disk_check.StartTimer(delay_ms):
                    self._timeline.later(delay_ms, partial(self._handle, disk_check.RetryDue()))
                case disk_check.Trust(lost):
                    self._on_trusted(lost, self._highest_version)

    def _send_hello(self, member: str) -> None:
        def handle_response(response: HelloResponse | None) -> None:
            if response is not None and response.sender == member:
                self._highest_version = max(self._highest_version, response.highest_version)
                self._handle(disk_check.EpochReported(member, response.previous_boot_epoch))

        body = msgspec.json.encode(Hello(self._name, self._store.boot_epoch))
        self._client.request(member, HELLO_PATH, body, HELLO_TIMEOUT_MS, _decode_response, handle_response)
