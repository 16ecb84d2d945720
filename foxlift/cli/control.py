"""`foxlift control` runs a control server; `foxlift configuration` changes the directors' configuration."""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from foxlift.cli.exits import EXIT_BAD_FILES, EXIT_SYSTEM_ERROR, fail, run_service
from foxlift.cli.http_request import send_request
from foxlift.cli.stopping import stop_requested
from foxlift.config import ConfigError
from foxlift.config.control import load_control
from foxlift.control import messages
from foxlift.control.service import ControlService
from foxlift.http import Failure, Response
from foxlift.rollout.entry import Change, EntryError, check_change
from foxlift.rollout.kinds import check_values
from foxlift.rollout.messages import ChangeRequest, ChangeResponse, Outcome
from foxlift.telemetry import configure_logs

EXIT_REFUSED, EXIT_UNKNOWN = 1, 6
REQUEST_TIMEOUT_MS = 12_000.0  # a member without a quorum replies "unknown" after about 7 s
MAX_STATUS_BYTES = 1 << 20

_decode_change = msgspec.json.Decoder(dict[str, Any]).decode
_decode_response = msgspec.json.Decoder(ChangeResponse).decode
_decode_status = msgspec.json.Decoder(messages.Status).decode


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--log-format", type=click.Choice(["console", "json"]), default="console")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def control(settings: Path, log_format: str, log_level: str) -> None:
    """Run a control server until SIGTERM or SIGINT: a member of the group, or a relay.

    Prints one line of JSON with its port on standard output once it listens; logs go to standard error.

    \b
    Example:
      foxlift control /etc/foxlift/control.sexp
    """
    configure_logs(log_format, log_level)  # type: ignore[arg-type]
    try:
        config = load_control(settings)
    except ConfigError as error:
        fail(EXIT_BAD_FILES, str(error))

    async def work() -> None:
        loop = asyncio.get_running_loop()
        stop = stop_requested(loop)
        service = ControlService(config, loop)
        port = await service.start()
        click.echo(json.dumps({"port": port}))
        sys.stdout.flush()
        await stop.wait()
        await service.stop()

    run_service(work())


_at = click.option("--at", "url", required=True, help="A member of the group, as http://host:port.")
_request = click.option(
    "--request", help="Id of the request; the same id sent again is carried out once. Default: a random one."
)


@click.group()
def configuration() -> None:
    """Change the configuration of all directors, and see how far a change has come."""


@configuration.command()
@click.argument("file", type=click.Path(path_type=Path))
@_at
@_request
def put(file: Path, url: str, request: str | None) -> None:
    """Set the keys of a JSON file; the value null withdraws a title.

    The file is an object; a key consists of kind and name (`titles/t1`), its value depends on the kind. The
    member "removes" lists keys that return to the state of each director's own files. Exit code 0: committed;
    1: refused; 6: unknown, the same request may be sent again with its id.

    \b
    Example:
      foxlift configuration put titles.json --at http://10.0.0.9:7100
    """
    try:
        change = _read_change(file)
    except (OSError, EntryError) as error:
        fail(EXIT_BAD_FILES, f"{file}: {error}")
        return
    _send(url, ChangeRequest(request or secrets.token_hex(8), change))


@configuration.command()
@click.argument("version", type=click.IntRange(1))
@_at
@_request
def withdraw(version: int, url: str, request: str | None) -> None:
    """Revert a version: restore the keys that it changed, except those that a later version has changed.

    \b
    Example:
      foxlift configuration withdraw 1207 --at http://10.0.0.9:7100
    """
    _send(url, ChangeRequest(request or secrets.token_hex(8), withdraw=version))


@configuration.command()
@click.option("--at", "url", required=True, help="Any control server, as http://host:port.")
def status(url: str) -> None:
    """Print a control server's status as JSON: versions, applied version, refusals, reverted changes."""
    answer = _call(url, "GET", messages.STATUS_PATH, b"")
    click.echo(json.dumps(msgspec.to_builtins(_decode_status(answer.body)), indent=2))


def _read_change(file: Path) -> Change:
    """Read and check a change file. Raises OSError, and EntryError that names key and field."""
    try:
        values = _decode_change(file.read_bytes())
    except msgspec.MsgspecError as error:
        raise EntryError(str(error)) from error
    removes = values.pop("removes", [])
    raw = {"puts": {key: json.dumps(value) for key, value in values.items()}, "removes": removes}
    try:
        change = msgspec.convert(raw, Change)
    except msgspec.ValidationError as error:
        raise EntryError(str(error)) from error
    check_change(change)
    check_values(change)
    return change


def _send(url: str, request: ChangeRequest) -> None:
    answer = _decode_response(_call(url, "POST", messages.CHANGES_PATH, msgspec.json.encode(request)).body)
    if answer.outcome is Outcome.COMMITTED:
        click.echo(json.dumps({"request": request.request_id, "version": answer.version}))
        return
    code = EXIT_REFUSED if answer.outcome is Outcome.REFUSED else EXIT_UNKNOWN
    fail(code, f"request {request.request_id}: {answer.outcome.value}: {answer.reason}")


def _call(url: str, method: str, path: str, body: bytes) -> Response:
    response = send_request(
        url, method, path, body, timeout_ms=REQUEST_TIMEOUT_MS, max_response_bytes=MAX_STATUS_BYTES
    )
    if isinstance(response, Failure):
        fail(
            EXIT_UNKNOWN if response.sent and method == "POST" else EXIT_SYSTEM_ERROR,
            f"{url}: {response.kind.value}",
        )
    if response.status != 200:
        fail(EXIT_SYSTEM_ERROR, f"{url}: {response.status} {response.body[:200].decode(errors='replace')}")
    return response
