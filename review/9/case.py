"""A new configuration names a coordinator that answers slowly: set-ups go to a node that drains."""

from __future__ import annotations

import asyncio
import signal
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
    entry,
    member,
    run_case,
    start_message,
)

ANSWERS_AFTER_S = (
    3.8  # the slow coordinator, each call; less than the 4 s after which its news counts as told
)
TOLD_AFTER_S = 4.0  # from SIGHUP on
GRACE_S = 1.0 + 0.05  # in the settings, and the slack on sockets
OLD_CLOSES_AFTER_S = 1.5
DRAINS_AFTER_S = 0.5  # from SIGHUP on
SETUPS_PER_S = 10
WATCH_S = 14.0


async def case(record: Record) -> str:
    """Return how many set-ups came too late at the node that drains."""
    nodes = [await MediaNode(record, number).start() for number in (1, 2)]
    old = await Coordinator(record, "old coordinator").start()
    new = await Coordinator(record, "new coordinator").start()
    if TROUBLE:
        new.answers_after_s = ANSWERS_AFTER_S
    members = [member(node.number, node.address, cell) for cell, node in enumerate(nodes)]
    director = DirectorProcess(record, members, old.address)
    stopped = asyncio.Event()
    try:
        await director.start()
        traffic = asyncio.create_task(ask(director, stopped))
        await asyncio.sleep(2.0)
        director.write_config(new.address)
        director.signal(signal.SIGHUP)
        reloaded_at = time.time()
        old.stop_accepting()
        loop = asyncio.get_running_loop()
        loop.call_later(OLD_CLOSES_AFTER_S, old.close_connections)
        await asyncio.sleep(DRAINS_AFTER_S)
        draining = nodes[0]
        new.tell(2, entry(draining.number, draining.address, 1))
        record(f"{draining.name} drains")
        await asyncio.sleep(WATCH_S - DRAINS_AFTER_S)
        stopped.set()
        served = await traffic
        before = sum(1 for at, _ in draining.setups if at < reloaded_at)
        if served < 20 or not before:
            raise CannotRunError(f"{served} requests served, {before} set-ups at the node before the drain")
        limit = reloaded_at + TOLD_AFTER_S + GRACE_S
        late = [at - reloaded_at for at, _ in draining.setups if at > limit]
        record(f"set-ups at {draining.name} after the limit, s from SIGHUP: {[round(at, 2) for at in late]}")
        record(f"new coordinator was called {len(new.asked)} times")
        if late:
            return f"{len(late)} set-ups at a draining node, the last {late[-1]:.2f} s after SIGHUP"
        return ""
    finally:
        director.end()


async def ask(director: DirectorProcess, stopped: asyncio.Event) -> int:
    """Usual viewers ask at a steady pace and end their sessions soon. How many were served."""
    client = await Client.connect(director.address)
    number = served = 0
    while not stopped.is_set():
        number += 1
        tag = f"{number:016x}"
        client.send(start_message(tag))
        answer = await client.answer(tag, 4)
        if answer is None:
            raise CannotRunError(f"no answer to {tag}: {client.end}")
        if answer["verb"] == "STARTED":
            served += 1
            client.send({"verb": "FINISH", "tag": tag, "opts": {}, "rc": 16})
        await asyncio.sleep(1 / SETUPS_PER_S)
    return served


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
