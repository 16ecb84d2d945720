"""One HTTP request of a command to the listener that its option `--at` names."""

from __future__ import annotations

import asyncio
from urllib.parse import urlsplit

import click
import uvloop

from foxlift.http import JSON_HEADERS, Failure, Pool, PoolLimits, Response

CONNECT_TIMEOUT_MS = 2000.0


def send_request(
    url: str, method: str, path: str, body: bytes, *, timeout_ms: float, max_response_bytes: int
) -> Response | Failure:
    """Send a JSON body, or none if it is empty, and wait for the response.

    Raises BadParameter if `url` is not of the form http://host:port.
    """
    address = urlsplit(url)
    host, port = address.hostname, address.port
    if address.scheme != "http" or not host or not port:
        raise click.BadParameter(f"{url} is not http://host:port", param_hint="--at")

    async def work() -> Response | Failure:
        loop = asyncio.get_running_loop()
        result: asyncio.Future[Response | Failure] = loop.create_future()
        limits = PoolLimits(connect_ms=CONNECT_TIMEOUT_MS, max_response_bytes=max_response_bytes)
        pool = Pool(loop, host, port, limits)
        headers = JSON_HEADERS if body else ()
        pool.call(method, path, result.set_result, headers=headers, body=body, timeout_ms=timeout_ms)
        try:
            return await result
        finally:
            pool.close()

    return uvloop.run(work())
