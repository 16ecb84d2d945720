"""Cross-origin access for pages, by the Fetch standard (WHATWG, 3.2 CORS protocol). No I/O.

Credentials are never allowed: access to a title is granted by the token in the request, and a page without
one gains nothing. Preflight responses are encoded once and cached.
"""

from __future__ import annotations

from collections.abc import Mapping

from foxlift.http.messages import Headers, encode_head

ANY = "*"
ALLOWED_METHODS = "GET, HEAD, OPTIONS"
# request headers that a player may send: token, range, CMCD (CTA-5004 section 2), and those of a page's fetch
REQUEST_HEADERS = (
    "authorization",
    "range",
    "cmcd-object",
    "cmcd-request",
    "cmcd-session",
    "cmcd-status",
    "if-none-match",
    "if-modified-since",
    "content-type",
    "accept",
)
EXPOSED_HEADERS = (
    "CMSD-Static",
    "CMSD-Dynamic",
    "Content-Length",
    "Content-Range",
    "Date",
    "ETag",
    "Retry-After",
    "foxlift-come-back-ms",
)
MAX_CACHED_PREFLIGHTS = 256  # one for each origin


class Cors:
    """The allowed origins: any, or a list."""

    def __init__(self, origins: tuple[str, ...] = (ANY,), max_age_s: int = 7200) -> None:
        self._any = ANY in origins
        self._origins = frozenset(origins)
        self._max_age_s = max_age_s
        self._preflights: dict[str, bytes] = {}
        self._any_headers = self._headers(ANY)

    def _headers(self, origin: str) -> Headers:
        vary: Headers = () if origin == ANY else (("vary", "Origin"),)
        return (
            ("access-control-allow-origin", origin),
            ("access-control-expose-headers", ", ".join(EXPOSED_HEADERS)),
            ("timing-allow-origin", origin),
            *vary,
        )

    def headers(self, request_headers: Mapping[str, str]) -> Headers:
        """The response headers that let a page read the response."""
        if self._any:
            return self._any_headers
        origin = request_headers.get("origin", "")
        # without Vary a shared cache would serve one origin's response to another
        return self._headers(origin) if origin in self._origins else (("vary", "Origin"),)

    @property
    def allows_any(self) -> bool:
        """Whether every origin is allowed, so that responses are the same for all."""
        return self._any

    def allows(self, origin: str) -> bool:
        """Whether a page of this origin may read responses."""
        return self._any or origin in self._origins

    def preflight(self, request_headers: Mapping[str, str]) -> bytes:
        """The whole response to an OPTIONS request, on a connection that stays open."""
        origin = request_headers.get("origin", "")
        key = ANY if self._any and "access-control-request-method" in request_headers else origin
        if "access-control-request-method" not in request_headers:
            key = ""
        response = self._preflights.get(key)
        if response is None:
            response = self._encode(key)
            if len(self._preflights) < MAX_CACHED_PREFLIGHTS:
                self._preflights[key] = response
        return response

    def _encode(self, origin: str) -> bytes:
        headers: Headers = (("allow", ALLOWED_METHODS),)
        if origin and self.allows(origin):
            headers += (
                ("access-control-allow-origin", origin),
                ("access-control-allow-methods", ALLOWED_METHODS),
                ("access-control-allow-headers", ", ".join(REQUEST_HEADERS)),
                ("access-control-max-age", str(self._max_age_s)),
            )
        if not self._any:
            headers += (("vary", "Origin"),)
        return encode_head(204, headers, None, close=False)
