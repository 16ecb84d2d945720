"""An answer stops short by the length of the media node's next message: the viewer gets both as one."""

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
    Writer,
    member,
    rtsp,
    run_case,
    start_message,
)

FIRST, SECOND = "00000000000000a1", "00000000000000a2"
NOTE_AFTER_S = 0.3  # from the answer that stops short to the node's next message on this connection
NOTE = rtsp(
    f"ANNOUNCE rtsp://media/{FIRST} RTSP/1.0", FIRST, 7, "Fail-Word: link\r\nX-Reading: 0.5\r\n"
)  # how full its link is, on a session that stands


async def case(record: Record) -> str:
    """Return what was broken, or nothing."""
    node = await MediaNode(record, 1).start()
    made: dict[str, str] = {}  # descriptions that the media node gave

    def on_setup(tag: str, headers: dict[str, str], body: bytes, writer: Writer) -> bool:
        description = b"node\r\n" + body + b"a=rung:3\r\n" * 20
        made[tag] = description.decode()
        answer = rtsp("RTSP/1.0 200 OK", tag, 1, "", description)
        node.standing[tag] = writer
        if tag == SECOND:
            record(f"same connection as for {FIRST}: {writer is node.standing[FIRST]}")
            if TROUBLE:
                answer = answer[: -len(NOTE)]
            asyncio.get_running_loop().call_later(NOTE_AFTER_S, send_note, writer)
        writer.write(answer)
        record(f"{node.name} answers 200 to {tag}; {len(answer)} bytes of the answer arrive")
        return True

    def send_note(writer: Writer) -> None:
        if not writer.is_closing():
            writer.write(NOTE)
            record(f"{node.name} sends a note on {FIRST}, {len(NOTE)} bytes")

    node.on_setup = on_setup
    coordinator = await Coordinator(record).start()
    director = DirectorProcess(record, [member(node.number, node.address)], coordinator.address)
    try:
        await director.start()
        viewer = await Client.connect(director.address)
        for tag in (FIRST, SECOND):
            viewer.send(start_message(tag, "paid"))
            answer = await viewer.answer(tag, 5)
            record(f"viewer got {answer}")
            if answer is None:
                raise CannotRunError(f"no answer to {tag}")
            if answer["verb"] == "STARTED" and answer["blob"] != made[tag]:
                extra = answer["blob"][-len(NOTE) :]
                return f"the viewer of {tag} was served with what no media node made for it: {extra!r}"
            if tag == FIRST and answer["verb"] != "STARTED":
                raise CannotRunError(f"{answer} before the trouble")
            await asyncio.sleep(0.3)
        return ""
    finally:
        director.end()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
