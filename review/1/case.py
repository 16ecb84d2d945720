"""A release that a media node sent on a connection of no further use is never asked for again."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    BROKEN,
    HELD,
    TROUBLE,
    Coordinator,
    Director,
    Link,
    Node,
    NotRunError,
    Record,
    Viewers,
    play,
)

WITHIN_S = 8.0  # "if no release could be sent, within 8 s of its end"; the larger of the two bounds
SLACK_S = 0.05  # "every time limit is 50 ms longer"
LENGTH_MS = 60000.0
KINDS = [("graded-lesson", 3000), ("briefing-replay", 5000)]  # class, and how long its viewer waits


async def case(record: Record) -> int:
    """Start everything, judge, and end everything."""
    nodes = [await Node(record, 0x00C41F70 + k, k).start() for k in range(6)]
    coordinator = await Coordinator(record).start()
    director = Director(record, coordinator.address, [node.member() for node in nodes])
    try:
        viewers = await Viewers.connect(record, director.address)
        await viewers.test()
        first = await twelve_sessions(viewers)
        await one_spoilt_answer(record, nodes[:3], viewers)
        ended = await ends(nodes[:3], viewers, first)
        return await judge(record, viewers, ended)
    finally:
        director.end()
        for node in nodes:
            node.close()
        coordinator.close()


async def twelve_sessions(viewers: Viewers) -> list[str]:
    """Twelve viewers come at once, so that each holder of the title has a few connections."""
    first = [viewers.start(*KINDS[k % 2], home=0, hint_ms=LENGTH_MS) for k in range(12)]
    if not await viewers.until(lambda: all(map(viewers.stands, first)), 6):
        raise NotRunError("the first sessions do not stand")
    await asyncio.sleep(1.0)
    return first


async def one_spoilt_answer(record: Record, holders: list[Node], viewers: Viewers) -> None:
    """One more viewer: the answer to it stops short, on a connection that stays open."""
    struck: list[str] = []

    async def stop_short(node: Node, link: Link, tag: str, answer: bytes) -> bool:
        if struck:
            return False
        struck.append(f"{node.name}, connection {link.number}")
        if TROUBLE:
            node.write(f"its answer to {tag} stops short on connection {link.number}, which stays open")
            link.write(answer[: len(answer) // 2])
            link.cut = True
        return TROUBLE

    for node in holders:
        node.behave = stop_short
    viewers.start(*KINDS[1], home=0, hint_ms=LENGTH_MS)
    await asyncio.sleep(0.1)
    if not struck:
        raise NotRunError("the set-up did not arrive")
    record.write(f"the connection in question: {struck[0]}")
    # six viewers a tenth of a second later, and then one each second: their answers are whole
    later = [viewers.start(*KINDS[1], home=0, hint_ms=LENGTH_MS) for _ in range(6)]
    await viewers.until(lambda: all(tag in viewers.answers for tag in later), 5)
    for _ in range(2):
        viewers.start(*KINDS[1], home=0, hint_ms=LENGTH_MS)
        await asyncio.sleep(1.0)


async def ends(holders: list[Node], viewers: Viewers, first: list[str]) -> dict[str, float]:
    """All of the first sessions come to their end at the holders; return when. Traffic goes on."""
    for holder in holders:
        for tag in first:
            holder.release(tag)
    ended = {tag: at for holder in holders for tag, at in holder.released.items()}
    if set(ended) != set(first):
        raise NotRunError("some of the first sessions did not stand until then")
    for _ in range(10):
        viewers.start(*KINDS[1], home=0, hint_ms=LENGTH_MS)
        await asyncio.sleep(1.0)
    await viewers.until(lambda: all(tag in viewers.over for tag in first), 20)
    return ended


async def judge(record: Record, viewers: Viewers, ended: dict[str, float]) -> int:
    """Each viewer has to be told within the bound."""
    broken = False
    for tag, at in ended.items():
        told = viewers.over.get(tag)
        took = (time.time() if told is None else told) - at
        late = took > WITHIN_S + SLACK_S
        broken |= late
        text = "not released" if told is None else "released"
        record.raw(f"session {tag}: {text} to its viewer {took:.3f} s after its end{' LATE' if late else ''}")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
