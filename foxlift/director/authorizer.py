"""Authorisation of requests: what a request asks for and with which token, or why it is rejected. No I/O.

    /dash/{title}/manifest.mpd?token=...     the session's manifest; the token may come as Bearer instead
    ...&at={owner/run/box/set-up}            where directors take over each other's sessions: who owned the
                                             session when the manifest was written; only a hint
    /dash/{title}/back/{token or -}/{rest}   a segment whose box did not respond. The player is redirected to
                                             the session's present box, after a new set-up if it has none;
                                             `-` if the token is in the header

GET and HEAD; HEAD sets nothing up.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, quote, unquote

from foxlift.catalogue import Catalogue, Title
from foxlift.http import Headers, Request
from foxlift.tokens import SessionToken, TokenError, TokenFault, Verifier

MAX_VERIFIED = 10_000  # cached verified tokens: a repeated one needs no second check of its signature
MAX_SEGMENT_PATH_CHARS = 2000
MAX_HINT_CHARS = 500


class HttpProblem(Exception):
    """A rejected request: the status and problem details of its response."""

    def __init__(self, status: int, title: str, detail: str = "", extra: Headers = ()) -> None:
        super().__init__(title)
        self.status, self.title, self.detail, self.extra = status, title, detail, extra


@dataclass(frozen=True, slots=True)
class ManifestRequest:
    """What a request asks for.

    `url_token`: the token if it came in the URL, to be put into further URLs; a token from a header never
    goes into a URL. `segment_path`: None for a manifest, else the segment's path below the title. `hint`: the
    session's owner by the URL, may be outdated.
    """

    token: SessionToken
    title: Title
    url_token: str
    segment_path: str | None
    hint: str = ""


class RequestAuthorizer:
    """Authorises requests for one director."""

    def __init__(
        self,
        verifier: Verifier,
        catalogue: Catalogue,
        knows_class: Callable[[str], bool],
        knows_tenant: Callable[[str], bool],
    ) -> None:
        self._verifier, self._catalogue = verifier, catalogue
        self._knows_class, self._knows_tenant = knows_class, knows_tenant
        self._verified: OrderedDict[str, tuple[SessionToken, Title]] = OrderedDict()

    def authorize(self, request: Request) -> ManifestRequest:
        """Verify the token and return what the request asks for. Raises HttpProblem."""
        parts = request.path.split("/", 5)
        segment_path: str | None = None
        text = ""
        if len(parts) == 4 and parts[1] == "dash" and parts[3] == "manifest.mpd":
            text = _query_token(request.query)
        elif len(parts) == 6 and parts[1] == "dash" and parts[3] == "back":
            text, segment_path = (
                ("" if parts[4] == "-" else unquote(parts[4])),
                _segment_path(parts[5], request.query),
            )
        else:
            raise HttpProblem(404, "no such resource")
        if request.method not in ("GET", "HEAD"):
            raise HttpProblem(
                405, "only GET and HEAD are offered here", extra=(("allow", "GET, HEAD, OPTIONS"),)
            )
        bearer = _bearer(request.headers.get("authorization", ""))
        token, title = self._verify(unquote(parts[2]), bearer or text)
        hint = _hint(request.query) if segment_path is None and "at=" in request.query else ""
        return ManifestRequest(token, title, "" if bearer else text, segment_path, hint)

    def _verify(self, name: str, text: str) -> tuple[SessionToken, Title]:
        key = f"{name}\n{text}"
        known = self._verified.get(key)
        if known is not None:
            self._verified.move_to_end(key)
            return known
        if not text:
            raise HttpProblem(401, "no token", extra=(("www-authenticate", "Bearer"),))
        try:
            token = self._verifier.verify(text)
        except TokenError as error:
            challenge: Headers = ()
            if error.fault is not TokenFault.BAD_CLAIMS:
                challenge = (("www-authenticate", 'Bearer error="invalid_token"'),)
            raise HttpProblem(401, str(error), extra=challenge) from None
        title = self._catalogue.titles.get(name)
        if title is None:
            raise HttpProblem(404, "unknown title")
        if token.title != name:
            raise HttpProblem(403, "the token is for another title")
        if not self._knows_class(token.klass):
            raise HttpProblem(403, "the token's class is not known here")
        if not self._knows_tenant(token.tenant):
            raise HttpProblem(403, "the token's tenant is not known here")
        self._verified[key] = (token, title)
        if len(self._verified) > MAX_VERIFIED:
            self._verified.popitem(last=False)
        return token, title


def _bearer(header: str) -> str:
    if not header:
        return ""
    scheme, _, text = header.partition(" ")
    if scheme.lower() != "bearer":
        raise HttpProblem(401, "only Bearer is understood", extra=(("www-authenticate", "Bearer"),))
    return text.strip()


def _query_token(query: str) -> str:
    if query.startswith("token=") and "&" not in query and "%" not in query and "+" not in query:
        return query[6:]
    try:
        found = parse_qs(query, max_num_fields=50).get("token", [])
    except ValueError:
        raise HttpProblem(400, "the query cannot be read") from None
    if len(found) > 1:
        raise HttpProblem(400, "more than one token")
    return found[0] if found else ""


def _hint(query: str) -> str:
    """The hint of a query; empty if it is invalid, and the request is then served without one."""
    try:
        found = parse_qs(query, max_num_fields=50).get("at", [])
    except ValueError:
        return ""
    return found[0] if len(found) == 1 and len(found[0]) <= MAX_HINT_CHARS else ""


def _segment_path(path: str, query: str) -> str:
    """A segment's path that is safe in a Location header: no `..` parts, printable ASCII only."""
    whole = path + (f"?{query}" if query else "")
    if len(whole) > MAX_SEGMENT_PATH_CHARS or not whole.isascii() or not whole.isprintable() or " " in whole:
        raise HttpProblem(400, "the segment's path cannot be read")
    if any(unquote(part) in ("..", ".") or "\\" in unquote(part) for part in path.split("/")):
        raise HttpProblem(400, "the segment's path leads out of the title")
    return whole


def manifest_url(url: str, title: str, token: str, hint: str = "") -> str:
    """The URL from which a player reloads a session's manifest."""
    fields = ([f"token={quote(token)}"] if token else []) + ([f"at={quote(hint, safe='/')}"] if hint else [])
    return f"{url}/dash/{quote(title)}/manifest.mpd" + ("?" + "&".join(fields) if fields else "")


def back_url(url: str, title: str, token: str) -> str:
    """The URL for segments whose box did not respond; the segment's path is appended to it."""
    return f"{url}/dash/{quote(title)}/back/{quote(token, safe='') or '-'}/"
