"""Bad clients are answered 'served': figures out of range, two requests under one number."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

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

CELLS, RUNGS = 12, 4  # in the settings
USUAL = "home:0;copies:3;top:3;viewer:00000000b4d65521"
BAD = {
    "copies": "home:0;copies:60000;top:3;viewer:00000000b4d65521",
    "top": "home:0;copies:3;top:250;viewer:00000000b4d65521",
    "home": "home:12;copies:3;top:3;viewer:00000000b4d65521",  # refused: for comparison
}


async def case(record: Record) -> str:
    """Return what was broken, or nothing."""
    nodes = [await MediaNode(record, number).start() for number in (1, 2, 3)]
    coordinator = await Coordinator(record).start()
    members = [member(node.number, node.address, cell) for cell, node in enumerate(nodes)]
    director = DirectorProcess(record, members, coordinator.address, family_info__cells=CELLS)
    served = []
    try:
        await director.start()
        for number, (name, extras) in enumerate(BAD.items()):
            asked = [start_message(f"{number + 1:016x}", extras=extras if TROUBLE else USUAL)]
            if await is_served(director, record, asked):
                served.append(name)
        asked = [start_message("00000000000000aa", "free", "00000000000000b1")]
        if TROUBLE:  # another request under the same id
            asked.append(start_message("00000000000000aa", "paid", "00000000000000b2"))
        if await is_served(director, record, asked):
            served.append("two requests under one number")
        if not TROUBLE and len(served) <= len(BAD):
            raise CannotRunError("usual requests were not served")
        return f"bad clients were served: {', '.join(served)}" if TROUBLE and served else ""
    finally:
        director.end()


async def is_served(director: DirectorProcess, record: Record, asked: list[dict[str, Any]]) -> bool:
    """Send the requests at once, on a new connection. Whether one is answered 'served' within 6 s."""
    client = await Client.connect(director.address)
    client.writer.write(b"".join(json.dumps(message).encode() + b"\n" for message in asked))
    for message in asked:
        record(f"client sends {json.dumps(message)}")
    answer = await client.answer(asked[0]["tag"], 6)
    record(f"client got {answer} {client.end}")
    client.close()
    return answer is not None and answer["verb"] == "STARTED"


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
