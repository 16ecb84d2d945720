"""Manifest reloads and preflights a second of one director against a bare httptools responder, in one run.

Run: python -m bench.reloads [rounds]
"""

from __future__ import annotations

import asyncio
import json
import socket
import statistics
import sys
import tempfile
from multiprocessing.connection import Connection
from pathlib import Path

import uvloop

from bench.load import bare_server, in_process, many_ask
from bench.world import FleetAndDirector
from foxlift.telemetry import configure_logs

SESSIONS = 96


def director(pipe: Connection, folder: str, remembers: bool) -> None:
    """A process with a director and playing sessions; sends its port, their reloads and one answer.

    Without `remembers` every reload takes the whole way: parser, token, claims, manifest.
    """
    configure_logs(level="error")

    async def main() -> None:
        loop = asyncio.get_running_loop()
        world = FleetAndDirector(Path(folder), loop)
        port = await world.start()
        if not remembers:
            world.daemon.server.cached_response = lambda data: None
        asks = []
        for k in range(SESSIONS):
            target = f"/dash/t{k % 12}/manifest.mpd?token={world.token(f'r{k}', title=f't{k % 12}')}"
            request = f"GET {target} HTTP/1.1\r\nhost: x\r\naccept: */*\r\nuser-agent: bench\r\n\r\n".encode()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            answers = []
            for _ in range(3):
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                answers.append(head + await reader.readexactly(size))
            assert len(set(answers)) == 1, answers
            assert answers[0].startswith(b"HTTP/1.1 200")
            asks.append((request, len(answers[0])))
            writer.close()
        world.keep_sessions()
        pipe.send((port, asks, answers[0]))
        await loop.run_in_executor(None, pipe.recv)

    uvloop.run(main())


def _preflight(request: bytes) -> bytes:
    """What a browser sends before a reload with a token in a header."""
    target = request.split(b" ")[1].partition(b"?")[0]
    return (
        b"OPTIONS " + target + b" HTTP/1.1\r\nhost: x\r\norigin: http://page.example\r\n"
        b"access-control-request-method: GET\r\naccess-control-request-headers: authorization\r\n\r\n"
    )


def preflight_size(port: int, request: bytes) -> int:
    """Length of the answer to a preflight, which has no body."""
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.sendall(request)
        answer = b""
        while not answer.endswith(b"\r\n\r\n"):
            answer += connection.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 204"), answer
    return len(answer)


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
        (port, asks, answer), pipe, process = in_process(director, one, True)
        (slow_port, slow_asks, _), slow_pipe, slow = in_process(director, two, False)
        bare_port, bare_pipe, bare = in_process(bare_server, answer)
        bare_asks = [(request, len(answer)) for request, _ in asks]
        preflights = [(_preflight(request), preflight_size(port, _preflight(request))) for request, _ in asks]
        rows = []
        for _ in range(rounds):
            known = many_ask(port, asks, 3, 2.0)
            least = many_ask(bare_port, bare_asks, 3, 2.0)
            whole = many_ask(slow_port, slow_asks, 3, 2.0)
            before = many_ask(port, preflights, 3, 2.0)
            rows.append((known, whole, before, least, known / least, whole / least, before / whole))
            print(
                f"reload {known:8.0f}/s  whole way {whole:8.0f}/s  preflight {before:8.0f}/s"
                f"  bare {least:8.0f}/s  ratios {rows[-1][4]:.2f} {rows[-1][5]:.2f} {rows[-1][6]:.2f}",
                flush=True,
            )
        for end, child in ((pipe, process), (slow_pipe, slow), (bare_pipe, bare)):
            end.send("stop")
            child.terminate()
    middle = [statistics.median(column) for column in zip(*rows, strict=True)]
    rates = ("reload", "whole_way", "preflight", "bare")
    names = (*rates, "reload_ratio", "whole_way_ratio", "preflight_to_whole_way")
    print(json.dumps({**dict(zip(names, middle, strict=True)), "body": len(answer), "sessions": SESSIONS}))


if __name__ == "__main__":
    main()
