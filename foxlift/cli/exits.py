"""Exit codes that commands share, and how errors become exit codes."""

from __future__ import annotations

import sys
from collections.abc import Coroutine
from typing import Any, NoReturn

import click
import uvloop

from foxlift.config import ConfigError
from foxlift.store import LogError

EXIT_BAD_FILES, EXIT_SYSTEM_ERROR, EXIT_CHILD_FAILED = 3, 4, 5


def fail(code: int, message: str) -> NoReturn:
    """Print an error and exit with this code."""
    click.echo(f"foxlift: {message}", err=True)
    sys.exit(code)


def run_service(work: Coroutine[Any, Any, None]) -> None:
    """Run a service until it has stopped. Exits with an error if its files, ports or disk cannot be used."""
    try:
        uvloop.run(work)
    except OSError as error:
        fail(EXIT_SYSTEM_ERROR, f"cannot run: {error}")
    except (ConfigError, LogError, ValueError) as error:
        fail(EXIT_BAD_FILES, str(error))
