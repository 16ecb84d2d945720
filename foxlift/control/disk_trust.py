"""Whether a member's disk is the one of its last run: asked of the other members at the start.

Carries the messages of `foxlift.recovery.disk_check`, in both directions. A member whose
disk is lost learns from the answers up to which version it must say nothing (`foxlift.rollout.acceptor`).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import msgspec

from foxlift.config.control import ControlConfig
from foxlift.control.messages import HELLO, Hello, HelloResponse
from foxlift.director.timeline import Timeline
from foxlift.http import NamedPools
from foxlift.recovery import disk_check
from foxlift.rollout.stores import ServerStore

HELLO_TIMEOUT_MS = 1000.0
_decode_answer = msgspec.json.Decoder(HelloResponse).decode


class DiskTrust:
    """One member's question; `on_trusted(lost, highest)` is called once."""

    def __init__(
        self,
        config: ControlConfig,
        store: ServerStore,
        client: NamedPools,
        timeline: Timeline,
        on_trusted: Callable[[bool, int], None],
    ) -> None:
        others = [member.name for member in config.members if member.name != config.name]
        self._name, self._store, self._client, self._timeline = config.name, store, client, timeline
        self._on_trusted = on_trusted
        self._highest = 0
        self._disk_check = disk_check.DiskCheck(
            others, store.previous_boot_epoch, config.seed, config.trust_disk
        )

    def start(self) -> None:
        """Ask the others."""
        self._carry_out(self._disk_check.start())

    def _handle(self, event: disk_check.Event) -> None:
        self._carry_out(self._disk_check.handle(event))

    def _carry_out(self, actions: list[disk_check.Action]) -> None:
        for action in actions:
            match action:
                case disk_check.QueryEpoch(peer):
                    self._say_hello(peer)
                case disk_check.StartTimer(delay_ms):
                    self._timeline.later(delay_ms, partial(self._handle, disk_check.RetryDue()))
                case disk_check.Trust(lost):
                    self._on_trusted(lost, self._highest)

    def _say_hello(self, member: str) -> None:
        def answered(answer: HelloResponse | None) -> None:
            if answer is not None and answer.sender == member:
                self._highest = max(self._highest, answer.highest_version)
                self._handle(disk_check.EpochReported(member, answer.previous_boot_epoch))

        body = msgspec.json.encode(Hello(self._name, self._store.boot_epoch))
        self._client.request(member, HELLO, body, HELLO_TIMEOUT_MS, _decode_answer, answered)
