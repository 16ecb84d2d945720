"""Structured logs (structlog): JSON for collectors, console for people; no token or key ever in a line."""

from __future__ import annotations

import logging
import re
import sys
from collections.abc import MutableMapping
from typing import Any, Literal, TextIO

import structlog

_JWT = re.compile(r"[A-Za-z0-9_-]{10,}\.[A-Za-z0-9_-]{10,}\.[A-Za-z0-9_-]*")
_SECRET_KEYS = frozenset({"token", "authorization", "key", "secret", "path_token"})


def hide_secrets(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Blank what looks like a token, or is named as one: the last guard, not the first."""
    for key, value in line.items():
        if key in _SECRET_KEYS:
            line[key] = "[hidden]"
        elif isinstance(value, str) and _JWT.search(value):
            line[key] = _JWT.sub("[hidden]", value)
    return line


def _drop_empty(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    return {key: value for key, value in line.items() if value is not None and value != ""}


def configure_logs(
    form: Literal["json", "console"] = "console", level: str = "info", out: TextIO | None = None
) -> None:
    """Set up logging for the process; lines go to standard error."""
    renderer: Any = structlog.processors.JSONRenderer(sort_keys=True)
    if form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _drop_empty,
            hide_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(out or sys.stderr),
        cache_logger_on_first_use=False,
    )
