"""Requests that wait for their answer, and the answers: manifests, ways back, refusals, reloads by bytes."""

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

MAX_CACHED_RELOADS = 4  # forms of the same reload kept for one session
MPD: Headers = (("content-type", "application/dash+xml"), ("cache-control", "no-store"))

# status, title, seconds to come back after
_DOWN: dict[RejectionReason, tuple[int, str, int | None]] = {
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


def _come_back(come_back_ms: float) -> Headers:
    """Whole seconds for any client (RFC 9110 section 10.2.3); the exact time for those that read it."""
    seconds = max(round(come_back_ms / 1000 + 0.499), 1)
    return (("retry-after", str(seconds)), ("foxlift-come-back-ms", f"{come_back_ms:g}"))


def cmsd(max_kbps: int) -> Headers:
    """The rung's cap for the player: CTA-5006 section 3.2, `mb` in kbit/s."""
    return (("cmsd-dynamic", f'"foxlift";mb={max_kbps}'),)


@dataclass(slots=True)
class PendingRequest:
    """A request that is not answered yet."""

    exchange: Exchange
    wanted: ManifestRequest
    expired: bool = False
    passed: bool = False  # by another director
    routed: int = 0  # how often it was looked for elsewhere


class Answers:
    """Every request of one director that is not answered yet; answers each of them once."""

    def __init__(
        self,
        config: DirectorConfig,
        address: Callable[[int], tuple[str, int]],
        set_up_id: Callable[[ev.Session], str],
        rate_kb: Callable[[ev.Session, int], float],
        reservation: Callable[[ev.Session, int], ev.Reservation],
    ) -> None:
        self.hint: Callable[[ev.Session], str] = lambda session: ""  # who has it, for its Location
        self._config, self._address, self._set_up_id = config, address, set_up_id
        self._rate_kb, self._reservation = rate_kb, reservation
        self.url = ""
        self.pending: dict[int, PendingRequest] = {}
        self.cached_reloads = 0
        self._cached: dict[bytes, tuple[ev.Session, object, bytes]] = {}
        self._cached_keys: dict[int, list[bytes]] = {}
        self._log = structlog.get_logger().bind(director=config.name)

    def add_pending(
        self, number: int, exchange: Exchange, wanted: ManifestRequest, expired: bool, passed: bool
    ) -> None:
        """Keep a request until it is answered or gone."""
        self.pending[number] = PendingRequest(exchange, wanted, expired, passed)

    def gone(self, number: int) -> bool:
        """The client has left; whether an answer was still owed."""
        return self.pending.pop(number, None) is not None

    def _take(self, request: int) -> PendingRequest | None:
        pending = self.pending.pop(request, None)
        if pending is not None:
            pending.exchange.on_disconnect = None
        return pending

    # ---- Manifests ----------------------------------------------------------------------------------------
    def show(self, request: int, session: ev.Session) -> str:
        """Answer with the session's manifest, or send the player to its box; tells which."""
        pending = self._take(request)
        if pending is None:
            return "gone"
        if pending.wanted.rest is not None:
            self._send_there(pending.exchange, session, pending.wanted.rest)
            return "sent back"
        headers, body = self.manifest(session, pending.wanted.url_token)
        if not pending.passed:
            pending.exchange.on_raw_request(lambda data: self._cache_reload(data, session, pending.exchange))
        pending.exchange.reply(200, headers, body)
        return "manifests"

    def _send_there(self, exchange: Exchange, session: ev.Session, rest: str) -> None:
        where = (("location", self._base(session) + rest), ("cache-control", "no-store"))
        # 307: the method stays (RFC 9110 section 15.4.8); each segment may lead elsewhere
        exchange.reply(307, where)

    def _base(self, session: ev.Session) -> str:
        host, port = self._address(session.node)
        path = f"/s/{self._set_up_id(session)}/{session.path_token}"
        return f"http://{host}:{port}{path}/{quote(session.title.name)}/"

    def manifest(self, session: ev.Session, url_token: str) -> tuple[Headers, bytes]:
        """The manifest as last shown, unless its rung has changed since."""
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

    def peek(self, exchange: Exchange, wanted: ManifestRequest, session: ev.Session | None) -> None:
        """Answer a HEAD: what GET would say of a session that plays, and no length where none does yet."""
        if session is None:
            exchange.start_stream(200, MPD).finish()
        elif wanted.rest is not None:
            self._send_there(exchange, session, wanted.rest)
        else:
            exchange.reply(200, *self.manifest(session, wanted.url_token))

    # ---- Reloads ------------------------------------------------------------------------------------------
    def _cache_reload(self, data: bytes, session: ev.Session, exchange: Exchange) -> None:
        """A player's reloads are the same bytes each time: keep the answer by them while it plays."""
        known = self._cached_keys.setdefault(session.number, [])
        if session.closed or session.manifest is None or len(known) >= MAX_CACHED_RELOADS:
            return
        known.append(data)
        _, headers, body = session.manifest
        head = encode_head(200, headers + exchange.common_headers, len(body), close=False)
        self._cached[data] = (session, session.manifest, head + body)

    def cached_response(self, data: bytes) -> bytes | None:
        """The whole answer to a request of these bytes, where it is known and still holds."""
        found = self._cached.get(data)
        if found is None:
            return None
        session, shown, answer = found
        current = session.manifest
        if session.closed or current is None or current is not shown or current[0][0] != session.rung:
            del self._cached[data]
            self._cached_keys[session.number].remove(data)
            return None
        self.cached_reloads += 1
        return answer

    def session_over(self, session: ev.Session) -> None:
        """Nothing of the session is shown any more."""
        for data in self._cached_keys.pop(session.number, ()):
            self._cached.pop(data, None)

    # ---- The rest -----------------------------------------------------------------------------------------
    def refused(self, request: int, session: int, come_back_ms: float) -> None:
        """Answer 503, with the time to come back after where that is allowed."""
        pending = self._take(request)
        if pending is None:
            return
        extra = _come_back(come_back_ms) if come_back_ms > 0 else ()
        pending.exchange.reply_problem(503, "refused: no room for this session now", extra=extra)
        self._log.info("refused", session=session)

    def failed(self, request: int, session: int) -> None:
        """Answer 504: it may have been set up."""
        self._tell(request, 504, "the session could not be set up in time", session=session)

    def down(self, request: int, why: RejectionReason, come_back_ms: float = 0.0) -> None:
        """Answer without a session."""
        status, title, seconds = _DOWN[why]
        if come_back_ms > 0:
            pending = self._take(request)
            if pending is not None:
                pending.exchange.reply_problem(status, title, extra=_come_back(come_back_ms))
            return
        self._tell(request, status, title, seconds)

    def relay(self, request: int, status: int, headers: Headers, body: bytes) -> None:
        """Give a viewer the answer of the director that has its session."""
        pending = self._take(request)
        if pending is not None:
            pending.exchange.reply(status, headers, body)
            self._log.info("passed on", status=status)

    def _tell(
        self, request: int, status: int, title: str, seconds: int | None = None, session: int | None = None
    ) -> None:
        pending = self._take(request)
        if pending is None:
            return
        extra: Headers = () if seconds is None else (("retry-after", str(seconds)),)
        pending.exchange.reply_problem(status, title, extra=extra)
        self._log.info("answered", status=status, reason=title, session=session)
