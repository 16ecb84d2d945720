"""The player's own HTTP client. It shares no code with the program."""

from __future__ import annotations

import asyncio


class PlayerConnection:
    """A persistent connection to one server. Connects at the first request."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def get(self, target: str) -> tuple[int, dict[str, str], bytes]:
        """Send a GET; returns status, headers and body. Raises OSError if the connection fails."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(self.host, self.port)
        assert self._reader is not None
        try:
            host = f"{self.host}:{self.port}"
            self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            head = await self._reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
            if headers.get("transfer-encoding") == "chunked":
                body = await self._read_chunks()
            else:
                body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            self.close()
            raise ConnectionResetError("connection closed within an answer") from error
        except BaseException:
            self.close()
            raise
        if headers.get("connection") == "close":
            self.close()
        return int(lines[0].split(" ")[1]), headers, body

    async def _read_chunks(self) -> bytes:
        assert self._reader is not None
        chunks = []
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
            chunks.append(await self._reader.readexactly(size + 2))
            if size == 0:
                return b"".join(chunk[:-2] for chunk in chunks)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
