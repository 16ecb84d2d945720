"""Reads the claims of a token (JWT, RFC 7519) from a request."""

from __future__ import annotations

import base64
import json
from typing import Any


def read_claims(target: str, headers: dict[str, str]) -> dict[str, Any] | None:
    """What a token says; its signature is the director's matter, not the checker's.

    None where the request carries no token, or one that cannot be read.
    """
    parts = _find_token(target, headers).split(".")
    if len(parts) != 3:
        return None
    payload = parts[1]
    padding = "=" * (-len(payload) % 4)
    try:
        return dict(json.loads(base64.urlsafe_b64decode(payload + padding)))
    except ValueError:
        return None


def _find_token(target: str, headers: dict[str, str]) -> str:
    """From the authorization header, the path of a return to a session, or the query, in this order."""
    path, _, tail = target.partition("?")
    query = dict(pair.partition("=")[::2] for pair in tail.split("&"))
    steps = path.split("/")
    in_path = steps[4] if len(steps) > 5 and steps[3] == "back" else ""
    return headers.get("authorization", "").partition(" ")[2] or in_path or query.get("token", "")
