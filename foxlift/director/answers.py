"""Pending requests and their responses: manifests, redirects to boxes, refusals and cached reloads."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

import structlog

from foxlift.config import DirectorConfig
from foxlift.decide.token_sessions import RejectionReason
from foxlift.director import events as ev
from foxlift.director.authorizer import ManifestRequest, back_url, manifest_url
from foxlift.http import Exchange, Headers
from foxlift.http.messages import encode_head
from foxlift.manifest import SessionView

MAX_CACHED_RELOADS = 4  # distinct request texts for one session
MPD: Headers = (("content-type", "application/dash+xml"), ("cache-control", "no-store"))

# status, title, Retry-After in seconds
_REJECTIONS: dict[RejectionReason, tuple[int, str, int | None]] = {
    RejectionReason.EXPIRED: (403, "the token has expired", None),
    RejectionReason.MAY_HAVE_RUN: (
        502,
        "the session may have been set up already; this token starts no other",
        None,
    ),
    RejectionReason.SESSION_OVER: (410, "the session of this token is over", None),
    RejectionReason.CANCELLING: (503, "the session of this token is being called off", 1),
    RejectionReason.TOO_MANY_WAITING: (429, "too many requests wait on this token", 1),
    RejectionReason.OWNER_UNREACHABLE: (503, "nobody can tell now who has the session of this token", 1),
    RejectionReason.NOT_HERE: (421, "the session of this token is not here", None),
}


def _come_back_headers(come_back_ms: float) -> Headers:
    """Retry-After in whole seconds (RFC 9110 section 10.2.3), and the exact time for clients that read it."""
    seconds = max(round(come_back_ms / 1000 + 0.499), 1)
    return (("retry-after", str(seconds)), ("foxlift-come-back-ms", f"{come_back_ms:g}"))


def cmsd(max_kbps: int) -> Headers:
    """The header with the rung's cap for the player: CTA-5006 section 3.2, `mb` in kbit/s."""
    return (("cmsd-dynamic", f'"foxlift";mb={max_kbps}'),)


@dataclass(slots=True)
class PendingRequest:
    """A request without a response so far."""

    exchange: Exchange
    manifest_request: ManifestRequest
    expired: bool = False
    forwarded: bool = False  # forwarded by another director
    lookups: int = 0  # how often another director or box was searched for it


class Answers:
    """The pending requests of one director; responds to each of them once."""

    def __init__(
        self,
        config: DirectorConfig,
        address: Callable[[int], tuple[str, int]],
        set_up_id: Callable[[ev.Session], str],
        rate_kb: Callable[[ev.Session, int], float],
        reservation: Callable[[ev.Session, int], ev.Reservation],
    ) -> None:
        # names the session's owner, for its Location
        self.hint: Callable[[ev.Session], str] = lambda session: ""
        self._config, self._address, self._set_up_id = config, address, set_up_id
        self._rate_kb, self._reservation = rate_kb, reservation
        self.url = ""
        self.pending: dict[int, PendingRequest] = {}
        self.cached_reloads = 0
        self._cached: dict[bytes, tuple[ev.Session, object, bytes]] = {}
        self._cached_keys: dict[int, list[bytes]] = {}
        self._log = structlog.get_logger().bind(director=config.name)

    def add_pending(
        self,
        number: int,
        exchange: Exchange,
        manifest_request: ManifestRequest,
        expired: bool,
        forwarded: bool,
    ) -> None:
        """Keep a request until its response or its client's disconnect."""
        self.pending[number] = PendingRequest(exchange, manifest_request, expired, forwarded)

    def remove(self, number: int) -> bool:
        """Remove the request of a client that has disconnected; whether it was still pending."""
        return self.pending.pop(number, None) is not None

    def _take(self, request: int) -> PendingRequest | None:
        pending = self.pending.pop(request, None)
        if pending is not None:
            pending.exchange.on_disconnect = None
        return pending

    # ---- Manifests ----------------------------------------------------------------------------------------
    def show(self, request: int, session: ev.Session) -> str:
        """Respond with the session's manifest, or redirect a segment request to its box.

        Returns the name of the counter for it: "manifests", "sent back" or "gone".
        """
        pending = self._take(request)
        if pending is None:
            return "gone"
        if pending.manifest_request.segment_path is not None:
            self._redirect(pending.exchange, session, pending.manifest_request.segment_path)
            return "sent back"
        headers, body = self.manifest(session, pending.manifest_request.url_token)
        if not pending.forwarded:
            pending.exchange.on_raw_request(lambda data: self._cache_reload(data, session, pending.exchange))
        pending.exchange.reply(200, headers, body)
        return "manifests"

    def _redirect(self, exchange: Exchange, session: ev.Session, segment_path: str) -> None:
        headers = (("location", self._base(session) + segment_path), ("cache-control", "no-store"))
        # 307 keeps the method (RFC 9110 section 15.4.8); not cached, as the next segment may need another box
        exchange.reply(307, headers)

    def _base(self, session: ev.Session) -> str:
        host, port = self._address(session.node)
        path = f"/s/{self._set_up_id(session)}/{session.path_token}"
        return f"http://{host}:{port}{path}/{quote(session.title.name)}/"

    def manifest(self, session: ev.Session, url_token: str) -> tuple[Headers, bytes]:
        """The last manifest served, or a new one if the rung or the token in the URL has changed."""
        key = (session.rung, url_token)
        if session.manifest is not None and session.manifest[0] == key:
            return session.manifest[1:]
        name = session.title.name
        view = SessionView(
            base_url=self._base(session),
            back_url=back_url(self.url, name, url_token),
            location=manifest_url(self.url, name, url_token, self.hint(session)),
            update_period_s=self._config.front.update_period_s,
            floor_kb=self._rate_kb(session, self._floor(session)),
            rate_kb=self._rate_kb(session, session.rung),
            top_kb=self._rate_kb(session, max(session.top, session.rung)),
        )
        headers = MPD + cmsd(self._reservation(session, session.rung).max_kbps)
        session.manifest = (key, headers, session.title.source.write(view))
        return headers, session.manifest[2]

    def _floor(self, session: ev.Session) -> int:
        return self._config.fleet.classes[session.klass].floor

    def reply_to_head(
        self, exchange: Exchange, manifest_request: ManifestRequest, session: ev.Session | None
    ) -> None:
        """Respond to HEAD as to GET for a playing session; without one, status 200 and no length."""
        if session is None:
            exchange.start_stream(200, MPD).finish()
        elif manifest_request.segment_path is not None:
            self._redirect(exchange, session, manifest_request.segment_path)
        else:
            exchange.reply(200, *self.manifest(session, manifest_request.url_token))

    # ---- Reloads ------------------------------------------------------------------------------------------
    def _cache_reload(self, data: bytes, session: ev.Session, exchange: Exchange) -> None:
        """A player's reloads repeat the same bytes: cache the response under them while the session plays."""
        keys = self._cached_keys.setdefault(session.number, [])
        if session.closed or session.manifest is None or len(keys) >= MAX_CACHED_RELOADS:
            return
        keys.append(data)
        _, headers, body = session.manifest
        head = encode_head(200, headers + exchange.common_headers, len(body), close=False)
        self._cached[data] = (session, session.manifest, head + body)

    def cached_response(self, data: bytes) -> bytes | None:
        """The encoded response to a request of exactly these bytes, if it is cached and still valid."""
        found = self._cached.get(data)
        if found is None:
            return None
        session, cached_manifest, response = found
        current = session.manifest
        if (
            session.closed
            or current is None
            or current is not cached_manifest
            or current[0][0] != session.rung
        ):
            del self._cached[data]
            self._cached_keys[session.number].remove(data)
            return None
        self.cached_reloads += 1
        return response

    def session_closed(self, session: ev.Session) -> None:
        """Drop the cached responses of a session that has ended."""
        for data in self._cached_keys.pop(session.number, ()):
            self._cached.pop(data, None)

    # ---- Other responses ----------------------------------------------------------------------------------
    def refuse(self, request: int, session: int, come_back_ms: float) -> None:
        """Respond 503; `come_back_ms` above 0: with the time after which the viewer may come back."""
        pending = self._take(request)
        if pending is None:
            return
        extra = _come_back_headers(come_back_ms) if come_back_ms > 0 else ()
        pending.exchange.reply_problem(503, "refused: no room for this session now", extra=extra)
        self._log.info("refused", session=session)

    def fail(self, request: int, session: int) -> None:
        """Respond 504: the session may have been set up."""
        self._respond(request, 504, "the session could not be set up in time", session=session)

    def reject(self, request: int, reason: RejectionReason, come_back_ms: float = 0.0) -> None:
        """Respond with a problem, without a session."""
        status, title, seconds = _REJECTIONS[reason]
        if come_back_ms > 0:
            pending = self._take(request)
            if pending is not None:
                pending.exchange.reply_problem(status, title, extra=_come_back_headers(come_back_ms))
            return
        self._respond(request, status, title, seconds)

    def relay(self, request: int, status: int, headers: Headers, body: bytes) -> None:
        """Send a viewer the response of the director that has its session."""
        pending = self._take(request)
        if pending is not None:
            pending.exchange.reply(status, headers, body)
            self._log.info("passed on", status=status)

    def _respond(
        self, request: int, status: int, title: str, seconds: int | None = None, session: int | None = None
    ) -> None:
        pending = self._take(request)
        if pending is None:
            return
        extra: Headers = () if seconds is None else (("retry-after", str(seconds)),)
        pending.exchange.reply_problem(status, title, extra=extra)
        self._log.info("answered", status=status, reason=title, session=session)
