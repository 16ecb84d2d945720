"""A usual client's request is read, and its connection is closed with no answer, while bad clients ask."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins2"))

from world2 import (
    TROUBLE,
    CannotRunError,
    Client,
    Coordinator,
    DirectorProcess,
    MediaNode,
    Record,
    member,
    run_case,
    start_message,
)

SOCKETS = 256  # descriptor limit of a scored day: 256 to 1,024
VIEWERS = 70  # connections of usual viewers, each with a session that stands; at most a third is 85
BAD_CLIENTS = 70  # connections of bad clients
ASKED_AT_ONCE = 3  # by each of them: together hundreds of requests at once
ERROR_AFTER_S = 0.3  # until a media node answers a set-up that it can't use
REQUESTS = 10  # of usual clients, each on a new connection
LEFT_MS = 3000
RESENT_WITHIN_S = 0.05  # a set-up that crosses a close within 50 ms is sent again, once


async def case(record: Record) -> str:
    """Return what was broken, or nothing."""
    nodes = [await MediaNode(record, number).start() for number in (1, 2, 3)]
    loop = asyncio.get_running_loop()
    for node in nodes:

        def on_setup(
            tag: str,
            headers: dict[str, str],
            body: bytes,
            writer: asyncio.StreamWriter,
            node: MediaNode = node,
        ) -> bool:
            if not tag.startswith("b"):
                return False
            loop.call_later(ERROR_AFTER_S, node.refuse, 500, tag, writer)  # a title that it does not know
            return True

        node.on_setup = on_setup
    coordinator = await Coordinator(record).start()
    members = [member(node.number, node.address, cell) for cell, node in enumerate(nodes)]
    director = DirectorProcess(record, members, coordinator.address, sockets=SOCKETS)
    tasks: list[asyncio.Task[None]] = []
    try:
        await director.start()
        viewers = []
        for number in range(1, VIEWERS + 1):
            viewers.append(await ask_and_keep(director, f"{number:016x}"))
        record(f"{VIEWERS} usual viewers have a session that stands, each on a connection of its own")
        if TROUBLE:
            tasks = [asyncio.create_task(ask_badly(director, record, k)) for k in range(BAD_CLIENTS)]
            await asyncio.sleep(1.0)
            record(f"{BAD_CLIENTS} bad clients ask, {ASKED_AT_ONCE} requests at once on each connection")
        lost = 0
        for number in range(REQUESTS):
            lost += not await ask_as_usual(director, record, f"00ff{number:012x}")
            await asyncio.sleep(0.3)
        record(f"director holds {director.descriptors()} descriptors")
        return (
            f"{lost} of {REQUESTS} requests were read and their connection closed with no answer"
            if lost
            else ""
        )
    finally:
        for task in tasks:
            task.cancel()
        director.end()


async def ask_and_keep(director: DirectorProcess, tag: str) -> Client:
    """A usual viewer whose session stands until the case is over."""
    client = await Client.connect(director.address)
    client.send(start_message(tag, left=str(LEFT_MS)))
    answer = await client.answer(tag, 4)
    if answer is None or answer["verb"] != "STARTED":
        raise CannotRunError(f"a usual viewer got {answer} before the trouble")
    return client


async def ask_badly(director: DirectorProcess, record: Record, number: int) -> None:
    """Ask for a title that no media node knows, and again the moment it is turned away."""
    serial = 0
    while True:
        try:
            client = await Client.connect(director.address)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        for _ in range(ASKED_AT_ONCE):
            serial += 1
            client.send(start_message(f"b{number:05x}{serial:010x}", title="00000000deadbeef"))
        while (message := await client.read(10)) is not None:
            if message["verb"] == "STARTED":
                raise CannotRunError("a bad client was served")
            if message["verb"] == "FINISH":
                serial += 1
                client.send(start_message(f"b{number:05x}{serial:010x}", title="00000000deadbeef"))
        client.close()


async def ask_as_usual(director: DirectorProcess, record: Record, tag: str) -> bool:
    """Whether a usual client's request got an answer, or its connection ended with the request unread."""
    for attempt in ("first", "second"):
        client = await Client.connect(director.address)
        client.send(start_message(tag, left=str(LEFT_MS)))
        sent_at = time.monotonic()
        record(f"usual client sends START {tag} on a new connection, {attempt} time")
        answer = await client.answer(tag, LEFT_MS / 1000 + 0.6)
        after_s = time.monotonic() - sent_at
        if answer is not None:
            record(
                f"usual client got {answer['verb']} {answer.get('rc', '')} for {tag} after {after_s:.3f} s"
            )
            client.close()
            return True
        record(f"usual client got no answer for {tag}: {client.end or 'silence'} after {after_s:.3f} s")
        client.close()
        if client.end != "end of stream":
            return client.end != ""  # reset: bytes were left unread; silence: never answered
        if after_s > RESENT_WITHIN_S:
            return False
    return False


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
