"""Load for the measurements: processes that ask as fast as they are answered, and a bare responder."""

from __future__ import annotations

import asyncio
import multiprocessing as mp
import time
from collections.abc import Callable
from functools import partial
from multiprocessing.connection import Connection
from typing import Any, cast

import httptools
import uvloop


class _Asker(asyncio.Protocol):
    """One connection that asks again as soon as it has its answer; answers are told apart by their length."""

    def __init__(self, request: bytes, size: int, count: list[int]) -> None:
        self.request, self.size, self.count = request, size, count
        self.got = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        self.got += len(data)
        while self.got >= self.size:
            self.got -= self.size
            self.count[0] += 1
            self.transport.write(self.request)


def ask_for(port: int, asks: list[tuple[bytes, int]], seconds: float) -> float:
    """Answers a second in this process, on one connection for each request and the length of its answer."""

    async def main() -> float:
        loop = asyncio.get_running_loop()
        count = [0]
        for request, size in asks:
            await loop.create_connection(partial(_Asker, request, size, count), "127.0.0.1", port)
        await asyncio.sleep(seconds * 0.2)
        before, start = count[0], time.perf_counter()
        await asyncio.sleep(seconds)
        return (count[0] - before) / (time.perf_counter() - start)

    return uvloop.run(main())


def many_ask(port: int, asks: list[tuple[bytes, int]], processes: int, seconds: float) -> float:
    """The same from several processes at once."""
    with mp.get_context("spawn").Pool(processes) as pool:
        parts = [(port, asks[k::processes], seconds) for k in range(processes)]
        return sum(pool.starmap(ask_for, parts))


class _Bare(asyncio.Protocol):
    """The least that answers HTTP/1.1: httptools reads the request, a ready answer is written."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.transport.write(self.answer)


def bare_server(pipe: Connection, answer: bytes) -> None:
    """A process with the bare responder; sends its port."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _Bare(answer), "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await loop.run_in_executor(None, pipe.recv)

    uvloop.run(main())


def in_process(target: Callable[..., None], *arguments: Any) -> tuple[Any, Connection, Any]:
    """Start a process; its first message, the pipe to it, and the process."""
    context = mp.get_context("spawn")
    here, there = context.Pipe()
    process = context.Process(target=target, args=(there, *arguments), daemon=True)
    process.start()
    return here.recv(), here, process
