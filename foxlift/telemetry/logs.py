"""Structured logs (structlog): JSON for collectors, console for people, both without tokens and keys."""

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
    """Replace values that look like a token or have a secret's key; callers must not log secrets anyway."""
    for key, value in line.items():
        if key in _SECRET_KEYS:
            line[key] = "[hidden]"
        elif isinstance(value, str) and _JWT.search(value):
            line[key] = _JWT.sub("[hidden]", value)
    return line


def _drop_empty(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    return {key: value for key, value in line.items() if value is not None and value != ""}


def configure_logs(
    line_format: Literal["json", "console"] = "console", level: str = "info", out: TextIO | None = None
) -> None:
    """Configure logging of the process; `out` defaults to standard error."""
    renderer: Any = structlog.processors.JSONRenderer(sort_keys=True)
    if line_format == "console":
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
