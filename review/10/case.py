"""A good answer arrives spoilt: the session that stands is never released, and its seat is given again."""

from __future__ import annotations

import asyncio
import sys
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
    rtsp,
    run_case,
    start_message,
)

SEATS = 1  # of each title and class
LOOK_AFTER_S = 10.0  # for how long the sessions may be counted as crossing each other
TITLE = "00000000000000aa"


async def case(record: Record) -> str:
    """Return what was broken, or nothing."""
    nodes = [await MediaNode(record, number).start() for number in (1, 2)]
    spoilt: list[str] = []
    for node in nodes:

        def on_setup(
            tag: str,
            headers: dict[str, str],
            body: bytes,
            writer: asyncio.StreamWriter,
            node: MediaNode = node,
        ) -> bool:
            if spoilt or not TROUBLE:
                return False
            spoilt.append(tag)
            node.standing[tag] = writer
            record(f"{node.name} answers 200 to {tag}: the session stands; the answer arrives spoilt")
            good = rtsp("RTSP/1.0 200 OK", tag, 1, "", b"node\r\n" + body)
            writer.write(b"\x00\x8f\x1b" + good[3:])
            return True

        node.on_setup = on_setup
    coordinator = await Coordinator(record).start()
    members = [member(node.number, node.address, cell) for cell, node in enumerate(nodes)]
    director = DirectorProcess(record, members, coordinator.address, family_info__licence_cap=[0, SEATS])
    try:
        await director.start()
        viewer = await Client.connect(director.address)
        for tag in ("00000000000000c1", "00000000000000c2"):
            viewer.send(start_message(tag, "free", TITLE))
            record(f"viewer sends START {tag}, class free, title {TITLE}")
            answer = await viewer.answer(tag, 6)
            if answer is None:
                raise CannotRunError(f"no answer to {tag}")
            record(f"viewer got {answer['verb']} {answer.get('rc', '')} for {tag}")
        fewest = 99
        for second in range(int(LOOK_AFTER_S) + 1):
            standing = [(node.name, tag) for node in nodes for tag in node.standing]
            fewest = min(fewest, len(standing))
            record(f"after {second} s, sessions of title {TITLE} and class free that stand: {standing}")
            await asyncio.sleep(1)
        if fewest < 1:
            raise CannotRunError("no session stands")
        if fewest > SEATS:
            return f"{fewest} sessions of one title and class for {LOOK_AFTER_S} s, with {SEATS} seat"
        return ""
    finally:
        director.end()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
