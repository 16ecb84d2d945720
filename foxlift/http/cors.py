"""Letting in pages of other origins, by the Fetch standard (WHATWG, 3.2 CORS protocol). No I/O.

No credentials are ever allowed with an origin: who may see a title is said by the token in the request, and a
page that has none gains nothing. A preflight is answered from bytes that were made once.
"""

from __future__ import annotations

from collections.abc import Mapping

from foxlift.http.messages import Headers, encode_head

ANY = "*"
METHODS = "GET, HEAD, OPTIONS"
# what a player may send: tokens, ranges, CMCD (CTA-5004 section 2), and what a page's own fetch may add
ALLOWED = (
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
EXPOSED = (
    "CMSD-Static",
    "CMSD-Dynamic",
    "Content-Length",
    "Content-Range",
    "Date",
    "ETag",
    "Retry-After",
    "foxlift-come-back-ms",
)
KEPT = 256  # preflight answers kept, by origin


class Cors:
    """The origins that are let in: any, or a list."""

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
            ("access-control-expose-headers", ", ".join(EXPOSED)),
            ("timing-allow-origin", origin),
            *vary,
        )

    def headers(self, asked: Mapping[str, str]) -> Headers:
        """What an answer carries so that a page may read it."""
        if self._any:
            return self._any_headers
        origin = asked.get("origin", "")
        # without Vary a shared cache would hand one origin's answer to another
        return self._headers(origin) if origin in self._origins else (("vary", "Origin"),)

    @property
    def allows_any(self) -> bool:
        """Whether answers are the same for every origin."""
        return self._any

    def allows(self, origin: str) -> bool:
        """Whether a page of this origin may read answers."""
        return self._any or origin in self._origins

    def preflight(self, asked: Mapping[str, str]) -> bytes:
        """The whole answer to an OPTIONS request, kept alive."""
        origin = asked.get("origin", "")
        key = ANY if self._any and "access-control-request-method" in asked else origin
        if "access-control-request-method" not in asked:
            key = ""
        answer = self._preflights.get(key)
        if answer is None:
            answer = self._make(key)
            if len(self._preflights) < KEPT:
                self._preflights[key] = answer
        return answer

    def _make(self, origin: str) -> bytes:
        headers: Headers = (("allow", METHODS),)
        if origin and self.allows(origin):
            headers += (
                ("access-control-allow-origin", origin),
                ("access-control-allow-methods", METHODS),
                ("access-control-allow-headers", ", ".join(ALLOWED)),
                ("access-control-max-age", str(self._max_age_s)),
            )
        if not self._any:
            headers += (("vary", "Origin"),)
        return encode_head(204, headers, None, close=False)
