"""Register messages between two directors' cluster services on loopback, one of them slow."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from types import SimpleNamespace
from typing import Any
from urllib.parse import urlsplit

import pytest
import uvloop

from foxlift.consensus import Ballot, Prepare, Reject
from foxlift.consensus.register import RequestFailed, ResponseReceived, Send
from foxlift.director.cluster.client import PeerClient
from foxlift.director.cluster.registers import RegisterEndpoint
from foxlift.director.cluster.server import PeerServer
from foxlift.http import Exchange
from foxlift.telemetry import Counters

Answer = ResponseReceived | RequestFailed


def cluster_context(name: str, addresses: dict[str, Any]) -> Any:
    """What the registers read of a director's cluster context."""
    peers = SimpleNamespace(host="127.0.0.1", port=0, pass_ms=1000.0, makers=())
    return SimpleNamespace(
        name=name,
        boot_epoch=7,
        loop=asyncio.get_running_loop(),
        closed=False,
        addresses=addresses,
        members=frozenset({"d0", "d1"}),
        counters=Counters(),
        config=SimpleNamespace(peers=peers),
    )


class Director:
    """A director's registers. Its replica trusts no disk, so it rejects each message."""

    def __init__(self, name: str, addresses: dict[str, Any]) -> None:
        self.context = cluster_context(name, addresses)
        self.client = PeerClient(self.context)
        self.server = PeerServer(self.context, lambda _: 0, lambda _: None)
        self.registers = RegisterEndpoint(self.context, self.client, self.server)
        self.requests: Counter[str] = Counter()

    def slow_down(self, seconds: float, paths: tuple[str, ...] = ()) -> None:
        """Handle each request to these paths (all without any named) so much later."""
        for path, handler in list(self.server._handlers.items()):
            if not paths or path in paths:
                self.server.add_handler(path, self._later(path, seconds, handler))

    def _later(self, path: str, seconds: float, handler: Callable[[Exchange], None]) -> Any:
        def handle(exchange: Exchange) -> None:
            self.requests[path] += 1
            self.context.loop.call_later(seconds, handler, exchange)

        return handle

    def forget(self, path: str) -> None:
        """Be a version that does not know this path."""
        del self.server._handlers[path]

    async def ask(self, count: int, to: str = "d1") -> list[Answer]:
        """Send so many messages at once; returns all answers, in the order of the messages."""
        answers: dict[int, Answer] = {}
        done = asyncio.Event()

        def received(number: int, answer: Answer) -> None:
            assert number not in answers
            answers[number] = answer
            if len(answers) == count:
                done.set()

        for number in range(count):
            message = Prepare(f"t/{number}", Ballot(1, f"{self.context.name}.7"), 10**12)
            self.registers.send(Send(to, number, message), partial(received, number))
        await asyncio.wait_for(done.wait(), 20)
        return [answers[number] for number in range(count)]


def rejected(answers: list[Answer]) -> list[str]:
    """Keys of the messages that were answered."""
    messages = [answer.message for answer in answers if isinstance(answer, ResponseReceived)]
    return [message.key for message in messages if isinstance(message, Reject)]


def play(test: Callable[[Director, Director], Awaitable[None]]) -> None:
    async def main() -> None:
        addresses: dict[str, Any] = {"d0": urlsplit("http://127.0.0.1:1")}
        asking, asked = Director("d0", addresses), Director("d1", addresses)
        port = await asked.server.listen()
        addresses["d1"] = urlsplit(f"http://127.0.0.1:{port}")
        try:
            await test(asking, asked)
        finally:
            asking.client.close()
            await asked.server.stop(0)

    uvloop.run(main())


@pytest.mark.parametrize("seconds", [0.02, 0.1])
def test_five_hundred_messages_at_once_are_answered_by_a_peer_that_is_slow(seconds: float) -> None:
    """As after the death of a director with five hundred sessions."""

    async def test(asking: Director, asked: Director) -> None:
        asked.slow_down(seconds)
        answers = await asking.ask(500)
        failed = [answer for answer in answers if isinstance(answer, RequestFailed)]
        assert not failed, f"{len(failed)} of 500 without an answer"
        assert rejected(answers) == [f"t/{number}" for number in range(500)]
        assert asked.requests.total() <= 20

    play(test)


def test_few_messages_go_alone_and_at_once() -> None:
    async def test(asking: Director, asked: Director) -> None:
        asked.slow_down(0.1)
        assert len(rejected(await asking.ask(4))) == 4
        assert asked.requests == {"/peers/registers": 4}

    play(test)


def test_a_peer_of_a_version_without_batches_gets_single_messages() -> None:
    async def test(asking: Director, asked: Director) -> None:
        asked.forget("/peers/register-batches")
        assert len(rejected(await asking.ask(40))) == 40
        assert asked.context.counters.total("peers refused") <= 4
        before = asked.context.counters.total("peers refused")
        assert len(rejected(await asking.ask(40))) == 40
        assert asked.context.counters.total("peers refused") == before

    play(test)


def test_a_peer_that_was_started_again_in_a_newer_version_gets_batches() -> None:
    async def test(asking: Director, asked: Director) -> None:
        batches = asked.server._handlers["/peers/register-batches"]
        asked.forget("/peers/register-batches")
        await asking.ask(40)
        asked.server.add_handler("/peers/register-batches", batches)
        asked.context.boot_epoch = 8
        asked.slow_down(0.001)
        await asking.ask(40)
        assert asked.requests["/peers/register-batches"] > 0

    play(test)


def test_messages_to_a_peer_that_does_not_answer_fail_one_and_all() -> None:
    async def test(asking: Director, asked: Director) -> None:
        asked.slow_down(30)
        begin = asking.context.loop.time()
        answers = await asking.ask(500)
        assert all(isinstance(answer, RequestFailed) for answer in answers)
        assert asking.context.loop.time() - begin < 2
        assert [answer.request_id for answer in answers] == list(range(500))

    play(test)


def test_a_message_whose_record_the_disk_refused_fails_alone_in_its_batch() -> None:
    async def test(asking: Director, asked: Director) -> None:
        handle = asked.registers.replica.handle

        def fail_one(ask: Any, reply: Any) -> None:
            if ask.key == "t/20":
                asked.context.loop.call_later(0.01, reply, None)
            else:
                handle(ask, reply)

        asked.registers.replica.handle = fail_one  # type: ignore[method-assign]
        answers = await asking.ask(40)
        failed = [answer.request_id for answer in answers if isinstance(answer, RequestFailed)]
        assert failed == [20]
        assert rejected(answers) == [f"t/{number}" for number in range(40) if number != 20]

    play(test)


def test_an_unreadable_batch_is_refused() -> None:
    async def test(asking: Director, asked: Director) -> None:
        for body in (b'{"sender":"d0","run":7,"asks":[]}', b'{"sender":"d0","run":7,"asks":[{"type":"x"}]}'):
            status: asyncio.Future[Any] = asking.context.loop.create_future()
            asking.client.call("d1", "/peers/register-batches", body, 1000, status.set_result)
            assert (await status).status == 400

    play(test)


def test_a_probe_does_not_wait_behind_register_messages() -> None:
    async def test(asking: Director, asked: Director) -> None:
        asked.server.add_handler("/peers/view", lambda exchange: exchange.reply(200, (), b"{}"))
        asked.slow_down(0.3, ("/peers/registers", "/peers/register-batches"))
        messages = asyncio.ensure_future(asking.ask(500))
        await asyncio.sleep(0.01)
        result: asyncio.Future[Any] = asking.context.loop.create_future()
        asking.client.request("d1", "/peers/view", b"{}", 150.0, lambda body: body, result.set_result)
        assert await result == b"{}"
        await messages

    play(test)
