"""Clients of a platform director that send without a pause: `python -m foxlift.standins.flood`.

Each sender writes the messages of one kind on one connection as fast as the director reads them, and connects
again when it is closed. It ends by itself after the given time. Prints the number of bytes written.
"""

from __future__ import annotations

import argparse
import itertools
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from foxlift.standins.platform import finish_line, start_line

BATCH_MESSAGES = 200  # written with one call
SOCKET_TIMEOUT_S = 0.5


def _echo_line(tag: str) -> bytes:
    return json.dumps({"verb": "ECHO", "tag": tag, "opts": {}, "rc": 0}).encode() + b"\n"


def _unsound_line(tag: str) -> bytes:
    return start_line(tag, klass="none")


def _new_title_line(tag: str) -> bytes:
    return start_line(tag, title=tag)


KINDS: dict[str, Callable[[str], bytes]] = {
    "tests": _echo_line,
    "unknown-ends": finish_line,
    "unsound": _unsound_line,
    "new-titles": _new_title_line,
}


@dataclass(frozen=True, slots=True)
class Flood:
    """What the senders do: `kind` is one of `KINDS`; `reads`: whether they read what they are answered."""

    address: str
    kind: str
    senders: int
    seconds: float
    reads: bool


def _batches(kind: str, sender: int) -> Iterator[bytes]:
    line = KINDS[kind]
    numbers = itertools.count(((sender + 1) << 40) + 1)
    while True:
        yield b"".join(line(f"{next(numbers):016x}") for _ in range(BATCH_MESSAGES))


def _discard_answers(connection: socket.socket) -> None:
    try:
        while connection.recv(1 << 16):
            pass
    except OSError:
        pass


def _send(connection: socket.socket, data: bytes, end_s: float) -> int:
    """Write until `end_s` at most; return the number of bytes written. Raises OSError."""
    written = 0
    while written < len(data) and time.monotonic() < end_s:
        try:
            written += connection.send(data[written:])
        except TimeoutError:
            continue
    return written


def _flood(flood: Flood, sender: int, totals: list[int]) -> None:
    end_s = time.monotonic() + flood.seconds
    host, port = flood.address.split(":")
    batches = _batches(flood.kind, sender)
    while time.monotonic() < end_s:
        try:
            with socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S) as connection:
                if flood.reads:
                    threading.Thread(target=_discard_answers, args=(connection,), daemon=True).start()
                while time.monotonic() < end_s:
                    totals[sender] += _send(connection, next(batches), end_s)
        except OSError:
            time.sleep(0.01)


def run(flood: Flood) -> int:
    """Run all senders to their end; return the number of bytes that they have written."""
    totals = [0] * flood.senders
    threads = [threading.Thread(target=_flood, args=(flood, n, totals)) for n in range(flood.senders)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(totals)


def main() -> None:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("senders", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("--unread", action="store_true", help="answers are not read")
    args = parser.parse_args()
    print(run(Flood(args.address, args.kind, args.senders, args.seconds, not args.unread)))


if __name__ == "__main__":
    main()
