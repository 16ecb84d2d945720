"""A receiver of exports: keeps batches by number, loses answers, restarts with or without its memory."""

from __future__ import annotations

import asyncio
import json
from hashlib import blake2b

from foxlift.http import Exchange, Limits, Server


class Receiver:
    """Counts every record of every batch that it keeps."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.batches: dict[tuple[str, int], bytes] = {}
        self.exporters: dict[str, int] = {}
        self.deliveries = 0
        self.lose_answers = 0  # so many next deliveries are kept and not answered
        self.cut_off = 0  # so many next deliveries are broken off and not kept
        self.server = Server(loop, self._asked, Limits(max_body_bytes=64 << 20))

    async def start(self) -> int:
        """Listen; gives back the port."""
        return await self.server.listen("127.0.0.1", 0)

    def forget(self) -> None:
        """Restart without memory."""
        self.batches.clear()
        self.exporters.clear()

    def _asked(self, exchange: Exchange) -> None:
        self.deliveries += 1
        parts = exchange.request.path.strip("/").split("/")
        ledger, batch = parts[-2], int(parts[-1])
        exporter = int(exchange.request.headers["foxlift-exporter"])
        if self.cut_off:
            self.cut_off -= 1
            exchange.abort()
            return
        if exporter < self.exporters.get(ledger, 0):
            exchange.reply_problem(409, "a later exporter has begun")
            return
        self.exporters[ledger] = exporter
        kept = self.batches.setdefault((ledger, batch), exchange.request.body)
        if self.lose_answers:
            self.lose_answers -= 1
            exchange.abort()
            return
        content = blake2b(kept, digest_size=16).hexdigest()
        body = json.dumps({"batch": batch, "content": content}).encode()
        exchange.reply(201, (("content-type", "application/json"),), body)

    def numbers(self, ledger: str) -> list[int]:
        """Numbers of all records kept, in the order of the batches."""
        keys = sorted(key for key in self.batches if key[0] == ledger)
        return [json.loads(line)["n"] for key in keys for line in self.batches[key].splitlines()]
