"""`foxlift zone`: an operator's order for a zone."""

from __future__ import annotations

import json

import click

from foxlift.cli.exits import EXIT_BAD_FILES, EXIT_SYSTEM_ERROR, fail
from foxlift.cli.http_request import send_request
from foxlift.http import Failure

REQUEST_TIMEOUT_MS = 5000.0
MAX_RESPONSE_BYTES = 64 << 10


@click.command()
@click.argument("order", type=click.Choice(["empty", "return", "hold", "clear"]))
@click.argument("name")
@click.option("--at", "url", required=True, help="A director's listener for peers, as http://host:port.")
def zone(order: str, name: str, url: str) -> None:
    """Give the directors an order for a zone, which overrides what they observe.

    empty: move its viewers to other zones as far as those have room; return: move them back step by step,
    whatever is reported; hold: keep the present state; clear: follow observations again. An order that nobody
    clears ends after a day. Any director accepts the order and passes it on to the directors that plan.

    \b
    Example:
      foxlift zone empty north-1 --at http://10.0.0.4:7000
    """
    body = json.dumps({"zone": name, "order": None if order == "clear" else order}).encode()
    response = send_request(
        url,
        "POST",
        "/peers/order",
        body,
        timeout_ms=REQUEST_TIMEOUT_MS,
        max_response_bytes=MAX_RESPONSE_BYTES,
    )
    if isinstance(response, Failure):
        fail(EXIT_SYSTEM_ERROR, f"{url}: {response.kind.value}")
    elif response.status != 204:
        title = json.loads(response.body or b"{}").get("title", "")
        fail(EXIT_BAD_FILES, f"{url}: {response.status} {title}")
    else:
        click.echo(f"{name}: {order}; accepted by {url}")
