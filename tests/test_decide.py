"""Token sessions, attempts and links: rows of their state tables; invariants under any order of events."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from foxlift import interface as fl
from foxlift.decide import attempts as at
from foxlift.decide import links as ln
from foxlift.decide import token_sessions as ts


# ---- Token sessions ---------------------------------------------------------------------------------------
def ask(
    sessions: ts.TokenSessions, request: int, paid: bool = True, expired: bool = False
) -> list[ts.Action]:
    return sessions.handle(0.0, ts.Requested(request, "t", paid, 100.0, expired))


def test_requests_with_one_token_share_a_session_and_are_all_answered() -> None:
    sessions = ts.TokenSessions()
    assert ask(sessions, 1) == [ts.OpenSession(1, 1)]
    assert ask(sessions, 2) == []
    assert sessions.handle(0.0, ts.SessionStarted(1)) == [ts.SendManifest(1, 1), ts.SendManifest(2, 1)]
    assert ask(sessions, 3, expired=True) == [ts.SendManifest(3, 1)]
    assert ask(ts.TokenSessions(), 1, expired=True) == [ts.Reject(1, ts.RejectionReason.EXPIRED)]


@pytest.mark.parametrize("paid", [True, False])
def test_a_token_opens_another_session_after_the_end_only_if_it_is_free(paid: bool) -> None:
    sessions = ts.TokenSessions()
    ask(sessions, 1, paid)
    sessions.handle(0.0, ts.SessionStarted(1))
    sessions.handle(0.0, ts.SessionEnded(1))
    assert ask(sessions, 2, paid) == (
        [ts.Reject(2, ts.RejectionReason.SESSION_OVER)] if paid else [ts.OpenSession(2, 2)]
    )
    failed = ts.TokenSessions()
    ask(failed, 1, paid)
    assert failed.handle(0.0, ts.Failed(1)) == [ts.SendFailure(1, 1)]
    assert ask(failed, 2, paid) == (
        [ts.Reject(2, ts.RejectionReason.MAY_HAVE_RUN)] if paid else [ts.OpenSession(2, 2)]
    )


def test_a_refused_token_may_open_a_session_later() -> None:
    sessions = ts.TokenSessions()
    ask(sessions, 1)
    assert sessions.handle(0.0, ts.Refused(1)) == [ts.SendRefusal(1, 1)]
    assert ask(sessions, 2) == [ts.OpenSession(2, 2)]


@pytest.mark.parametrize(("ran", "paid"), [(True, True), (False, True), (True, False)])
def test_the_session_is_withdrawn_when_the_last_waiting_client_disconnects(ran: bool, paid: bool) -> None:
    sessions = ts.TokenSessions()
    ask(sessions, 1, paid)
    ask(sessions, 2, paid)
    assert sessions.handle(0.0, ts.ClientDisconnected(1)) == []
    assert sessions.handle(0.0, ts.ClientDisconnected(2)) == [ts.Withdraw(1)]
    assert ask(sessions, 3, paid) == [
        ts.Reject(3, ts.RejectionReason.MAY_HAVE_RUN if paid else ts.RejectionReason.CANCELLING)
    ]
    assert sessions.handle(0.0, ts.SessionStarted(1)) == []
    sessions.handle(0.0, ts.SessionEnded(1, ran))
    spent = paid and ran
    assert ask(sessions, 4, paid) == (
        [ts.Reject(4, ts.RejectionReason.MAY_HAVE_RUN)] if spent else [ts.OpenSession(2, 4)]
    )


def test_a_spent_token_is_dropped_when_it_expires_and_not_before() -> None:
    sessions = ts.TokenSessions()
    sessions.handle(0.0, ts.Restored("t", 100.0, played=False))
    assert ask(sessions, 1) == [ts.Reject(1, ts.RejectionReason.MAY_HAVE_RUN)]
    sessions.handle(99.9, ts.ClientDisconnected(7))
    assert not sessions.is_new("t")
    sessions.handle(100.0, ts.ClientDisconnected(7))
    assert sessions.is_new("t")
    assert len(sessions) == 0


class TokenSessionsMachine(RuleBasedStateMachine):
    """Any order of events: each request is answered once; a paid token opens one session unless refused."""

    @initialize()
    def begin(self) -> None:
        self.token_sessions = ts.TokenSessions()
        self.request = 0
        self.open: dict[int, str] = {}  # sessions without an answer of the module
        self.playing: dict[int, str] = {}
        self.left: dict[int, str] = {}
        self.waiting: set[int] = set()
        self.answered: set[int] = set()
        self.spent: set[str] = set()
        # parked and resumed: no new set-up, so nothing is spent
        self.adopted_parked: set[str] = set()

    def take(self, actions: list[ts.Action], token: str = "") -> None:
        for action in actions:
            if isinstance(action, ts.OpenSession):
                assert token not in self.spent
                busy = {*self.open.values(), *self.playing.values(), *self.left.values()}
                assert token not in busy or token in self.adopted_parked
                self.open[action.session] = token
            elif isinstance(action, ts.Withdraw):
                self.left[action.session] = self.open.pop(action.session)
            else:
                assert not isinstance(action, ts.Adopted | ts.DuplicateSetUp)
                assert action.request in self.waiting
                assert action.request not in self.answered
                self.answered.add(action.request)
                self.waiting.discard(action.request)

    @rule(token=st.sampled_from(["paid-1", "paid-2", "free-1"]), expired=st.booleans())
    def requested(self, token: str, expired: bool) -> None:
        self.request += 1
        self.waiting.add(self.request)
        paid = token.startswith("paid")
        self.take(
            self.token_sessions.handle(0.0, ts.Requested(self.request, token, paid, 1e9, expired)), token
        )

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def hung_up(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.discard(request)
        self.take(self.token_sessions.handle(0.0, ts.ClientDisconnected(request)))

    @precondition(lambda self: self.open)
    @rule(data=st.data(), how=st.sampled_from([ts.SessionStarted, ts.Refused, ts.Failed]))
    def answered_by_module(self, data: st.DataObject, how: Any) -> None:
        session = data.draw(st.sampled_from(sorted(self.open)))
        token = self.open.pop(session)
        if how is ts.SessionStarted:
            self.playing[session] = token
        elif how is ts.Failed and token.startswith("paid") and token not in self.adopted_parked:
            self.spent.add(token)
        self.take(self.token_sessions.handle(0.0, how(session)))

    @precondition(lambda self: self.playing or self.left)
    @rule(data=st.data(), ran=st.booleans())
    def over(self, data: st.DataObject, ran: bool) -> None:
        session = data.draw(st.sampled_from(sorted({**self.playing, **self.left})))
        ran = ran or session in self.playing
        token = self.playing.pop(session, None) or self.left.pop(session)
        if ran and token.startswith("paid") and token not in self.adopted_parked:
            self.spent.add(token)
        self.take(self.token_sessions.handle(0.0, ts.SessionEnded(session, ran)))

    @invariant()
    def requests_wait_only_on_open_sessions(self) -> None:
        if hasattr(self, "open"):
            assert bool(self.waiting) == bool(self.open)


TestTokenSessionsMachine = TokenSessionsMachine.TestCase
TestTokenSessionsMachine.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


class FleetTokenSessionsMachine(TokenSessionsMachine):
    """The same where directors take over each other's sessions: a request may also be forwarded, once."""

    @initialize()
    def begin(self) -> None:
        super().begin()
        self.token_sessions = ts.TokenSessions(fleet=True)
        self.adopted = 0

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def claimed_elsewhere(self, data: st.DataObject) -> None:
        session = data.draw(st.sampled_from(sorted(self.open)))
        del self.open[session]
        self.take(self.token_sessions.handle(0.0, ts.OwnedElsewhere(session)))

    @precondition(lambda self: self.playing)
    @rule(data=st.data())
    def taken_over(self, data: st.DataObject) -> None:
        session = data.draw(st.sampled_from(sorted(self.playing)))
        token = self.playing.pop(session)
        self.take(self.token_sessions.handle(0.0, ts.OwnedElsewhere(session)))
        assert self.token_sessions.is_new(token) and self.token_sessions.playing_session(token) is None

    @rule(token=st.sampled_from(["paid-1", "paid-2", "free-1"]), parked=st.booleans())
    def adopt(self, token: str, parked: bool) -> None:
        self.adopted += 1
        parked &= token.startswith("paid")  # boxes park no others
        if parked:
            self.adopted_parked.add(token)
        plays = token in self.playing.values()
        place = ts.ParkedLocation(7, f"set-up-{self.adopted}", "path")
        adopt = ts.Adopt(token, token.startswith("paid"), 1e9, place, 1e9 if parked else 0.0)
        actions = self.token_sessions.handle(0.0, adopt)
        assert (ts.DuplicateSetUp() in actions) is plays
        for action in actions:
            if isinstance(action, ts.Adopted):
                self.playing[action.session] = token
        self.take([a for a in actions if not isinstance(a, ts.Adopted | ts.DuplicateSetUp)])
        assert plays or parked or self.token_sessions.playing_session(token) is not None
        self.spent.discard(token)

    @precondition(lambda self: self.adopted)
    @rule()
    def parked_is_taken_over(self) -> None:
        self.token_sessions.handle(0.0, ts.ParkedTakenOver(f"set-up-{self.adopted}"))


TestFleetTokenSessionsMachine = FleetTokenSessionsMachine.TestCase
TestFleetTokenSessionsMachine.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_a_restored_token_queries_its_owner_if_directors_take_over_sessions() -> None:
    for fleet in (False, True):
        sessions = ts.TokenSessions(fleet)
        sessions.handle(0.0, ts.Restored("t", 100.0, True))
        (answer,) = sessions.handle(1.0, ts.Requested(1, "t", True, 100.0, False))
        assert answer == (ts.QueryOwner(1) if fleet else ts.Reject(1, ts.RejectionReason.SESSION_OVER))


def test_an_adopted_session_answers_waiting_requests_and_withdraws_the_one_asked_for() -> None:
    sessions = ts.TokenSessions(fleet=True)
    (opened,) = sessions.handle(0.0, ts.Requested(1, "t", True, 100.0, False))
    assert isinstance(opened, ts.OpenSession)
    actions = sessions.handle(0.0, ts.Adopt("t", True, 100.0, ts.ParkedLocation(7, "d1.1-1-0", "p")))
    assert actions == [ts.Withdraw(opened.session), ts.Adopted(2), ts.SendManifest(1, 2)]
    assert sessions.handle(0.0, ts.SessionEnded(opened.session, ran=False)) == []
    assert sessions.playing_session("t") == 2  # the end of the withdrawn session does not end the adopted one


def test_set_ups_of_an_earlier_run_keep_their_ids_when_the_prefix_changes() -> None:
    attempts = at.Attempts("d0.a")
    attempts.handle(0.0, at.Send(1, 0, 7, 2, False, 1000.0))
    attempts.handle(1.0, DONE)
    attempts.handle(2.0, at.PrefixChanged("d0.b"))
    attempts.handle(3.0, at.Send(2, 0, 7, 2, False, 1000.0))
    assert (attempts.set_up_id(1, 0), attempts.set_up_id(2, 0)) == ("d0.a-1-0", "d0.b-2-0")
    assert attempts.attempt_of("d0.a-1-0") == (1, 0) and attempts.is_known("d0.a-1-0")
    assert attempts.attempt_of("d0.a-9-0") is None  # of the earlier run, but not known
    assert attempts.handle(4.0, at.EndedAtBox(1, 0, fl.Outcome.OK))
    assert attempts.attempt_of("d0.a-1-0") is None and len(attempts._set_up_ids) == 0


# ---- Attempts ---------------------------------------------------------------------------------------------
SEND = at.Send(1, 0, 7, 2, False, 1000.0)
PAID = at.Send(1, 0, 7, 2, True, 1000.0)
DONE = at.Answered(1, 0, True, fl.Outcome.OK, 5, "boot")


def outcomes(actions: list[at.Action]) -> list[fl.Outcome]:
    return [action.outcome for action in actions if isinstance(action, at.ReportEnded)]


def kinds(actions: list[at.Action]) -> list[type]:
    return [type(action) for action in actions]


def test_a_free_set_up_is_sent_at_once_and_a_paid_one_after_its_intent() -> None:
    free, paid = at.Attempts("d"), at.Attempts("d")
    assert kinds(free.handle(0.0, SEND)) == [at.StartSetUp]
    assert kinds(paid.handle(0.0, PAID)) == [at.WriteIntent]
    assert kinds(paid.handle(1.0, at.IntentDurable(1, 0))) == [at.StartSetUp]
    assert kinds(paid.handle(2.0, DONE)) == [at.ReportStarted]


@pytest.mark.parametrize("why", ["drains", "gone", "late", "unwanted", "disk"])
def test_a_paid_set_up_that_must_not_be_sent_any_more_ends_as_never_sent(why: str) -> None:
    attempts = at.Attempts("d")
    attempts.handle(0.0, PAID)
    now = 1.0
    event: at.Event = at.IntentDurable(1, 0)
    if why in ("drains", "gone"):
        attempts.handle(0.0, at.BoxDraining(7, why == "gone"))
    elif why == "late":
        now = 1000.0
    elif why == "unwanted":
        assert attempts.handle(0.0, at.CancelSession(1)) == []
    else:
        event = at.IntentFailed(1, 0)
    actions = attempts.handle(now, event)
    assert kinds(actions) == [at.ReportEnded]
    assert outcomes(actions) == [fl.Outcome.NEVER_SENT]
    assert not attempts.has_attempt(1)


@pytest.mark.parametrize(
    ("failure", "sent", "outcome", "orphan"),
    [
        (at.CallFailure.CONNECT, False, fl.Outcome.CONNECT_FAILED, False),
        (at.CallFailure.TIMEOUT, False, fl.Outcome.NEVER_SENT, False),
        (at.CallFailure.CANCELLED, False, fl.Outcome.NEVER_SENT, False),
        (at.CallFailure.RESET, True, fl.Outcome.RESET, True),
        (at.CallFailure.TIMEOUT, True, fl.Outcome.TIMEOUT, True),
        (at.CallFailure.UNREADABLE, True, fl.Outcome.ERROR, True),
        (at.CallFailure.CANCELLED, True, fl.Outcome.CANCELLED, True),
    ],
)
def test_a_failed_call_ends_as_unrun_only_if_nothing_was_sent(
    failure: at.CallFailure, sent: bool, outcome: fl.Outcome, orphan: bool
) -> None:
    attempts = at.Attempts("d")
    attempts.handle(0.0, SEND)
    actions = attempts.handle(1.0, at.CallFailed(1, 0, failure, sent))
    assert outcomes(actions) == [outcome]
    assert attempts.orphan_count == orphan
    assert outcome.proves_unrun is not orphan
    if orphan:
        assert actions[0] == at.Release("d-1-0", 7)
        assert attempts.handle(2.0, at.ReleaseFailed("d-1-0")) == [at.Release("d-1-0", 7, retry=True)]
        attempts.handle(3.0, at.Released("d-1-0"))
        assert attempts.orphan_count == 0
        assert attempts.handle(4.0, at.ReleaseFailed("d-1-0")) == []


def test_a_failed_intent_after_the_set_up_was_sent_changes_nothing() -> None:
    attempts = at.Attempts("d")
    attempts.handle(0.0, SEND)
    assert attempts.handle(0.0, at.IntentFailed(1, 0)) == []
    attempts.handle(0.0, DONE)
    assert attempts.handle(0.0, at.IntentFailed(1, 0)) == []
    assert attempts.playing_at(1) == (7, 0)


def test_a_drain_stops_only_set_ups_that_are_unsent() -> None:
    attempts = at.Attempts("d")
    attempts.handle(0.0, SEND)
    assert attempts.handle(0.0, at.BoxDraining(7, False)) == [at.AbortSetUp(1, 0, if_unsent=True)]
    assert attempts.handle(0.0, at.BoxDraining(7, False)) == []


def test_an_answer_after_the_viewer_left_leaves_an_orphan() -> None:
    attempts = at.Attempts("d")
    attempts.handle(0.0, SEND)
    attempts.handle(0.0, at.CancelSession(1))
    actions = attempts.handle(1.0, DONE)
    assert kinds(actions) == [at.Release, at.ReportEnded]
    assert outcomes(actions) == [fl.Outcome.CANCELLED]


def test_a_rung_changed_during_the_set_up_is_sent_after_the_answer() -> None:
    attempts = at.Attempts("d")
    attempts.handle(0.0, SEND)
    assert attempts.handle(0.0, at.RungChanged(1, 1)) == []
    assert attempts.handle(1.0, DONE)[1] == at.SendRung(1, 0, 7, 1)
    assert attempts.handle(2.0, at.RungChanged(1, 0)) == [at.SendRung(1, 0, 7, 0)]
    assert attempts.handle(2.0, at.RungChanged(1, 0)) == []


def test_sessions_that_a_box_does_not_report_are_lost_by_its_process_and_counter() -> None:
    def playing() -> at.Attempts:
        attempts = at.Attempts("d")
        attempts.handle(0.0, SEND)
        attempts.handle(0.0, DONE)
        return attempts

    assert playing().handle(1.0, at.BoxLost(7, "boot", frozenset({"d-1-0"}), 5)) == []
    assert (
        playing().handle(1.0, at.BoxLost(7, "boot", frozenset(), 4)) == []
    )  # the hello was sent before the set-up
    assert outcomes(playing().handle(1.0, at.BoxLost(7, "boot", frozenset(), 5))) == [fl.Outcome.RESET]
    assert outcomes(playing().handle(1.0, at.BoxLost(7, "other", frozenset(), 0))) == [fl.Outcome.RESET]
    assert outcomes(playing().handle(1.0, at.BoxLost(7))) == [fl.Outcome.RESET]
    assert playing().handle(1.0, at.BoxLost(8)) == []
    unknown = playing().handle(1.0, at.BoxLost(7, "boot", frozenset({"d-1-0", "d.old-4-0", "x"}), 5))
    assert unknown == [at.Release("d.old-4-0", 7), at.Release("x", 7)]


def test_two_attempts_of_a_session_are_never_out_at_once() -> None:
    attempts = at.Attempts("d")
    attempts.handle(0.0, SEND)
    with pytest.raises(RuntimeError, match="has an attempt out already"):
        attempts.handle(0.0, at.Send(1, 1, 8, 2, False, 1000.0))


EVENTS = st.one_of(
    st.builds(at.IntentDurable, st.integers(1, 3), st.integers(0, 1)),
    st.builds(at.IntentFailed, st.integers(1, 3), st.integers(0, 1)),
    st.builds(
        at.Answered,
        st.integers(1, 3),
        st.integers(0, 1),
        st.booleans(),
        st.sampled_from([fl.Outcome.FULL, fl.Outcome.ERROR]),
        st.integers(0, 5),
        st.sampled_from(["x", "y"]),
    ),
    st.builds(
        at.CallFailed, st.integers(1, 3), st.integers(0, 1), st.sampled_from(at.CallFailure), st.booleans()
    ),
    st.builds(at.CancelSession, st.integers(1, 3)),
    st.builds(at.RungChanged, st.integers(1, 3), st.integers(0, 2)),
    st.builds(
        at.EndedAtBox,
        st.integers(1, 3),
        st.integers(0, 1),
        st.sampled_from([fl.Outcome.OK, fl.Outcome.RESET]),
    ),
    st.builds(
        at.BoxLost, st.integers(7, 8), st.sampled_from([None, "x", "y"]), st.just(frozenset()), st.just(3)
    ),
    st.builds(at.BoxDraining, st.integers(7, 8), st.booleans()),
    st.builds(at.BoxReady, st.integers(7, 8)),
)


@given(st.lists(st.tuples(EVENTS, st.booleans(), st.integers(7, 8)), max_size=60))
def test_each_attempt_ends_once_and_none_is_sent_to_a_closed_box_under_any_events(
    script: list[tuple[at.Event, bool, int]],
) -> None:
    attempts = at.Attempts("d")
    sent: dict[int, int] = {}
    out: dict[tuple[int, int], str] = {}
    closed: set[int] = set()
    orphans: set[str] = set()

    def take(actions: list[at.Action], durable: bool = False) -> None:
        for action in actions:
            if isinstance(action, at.StartSetUp):
                assert out[action.session, action.attempt] == "asked"
                assert not (durable and action.node in closed)
                out[action.session, action.attempt] = "sent"
            elif isinstance(action, at.ReportStarted):
                assert out[action.session, action.attempt] == "sent"
                out[action.session, action.attempt] = "playing"
            elif isinstance(action, at.ReportEnded):
                was = out.pop((action.session, action.attempt))
                assert action.had_started == (was == "playing")
                unrun = action.outcome.proves_unrun
                assert not (unrun and was == "playing")
                if was == "sent" and not unrun and action.outcome is not fl.Outcome.ERROR:
                    assert f"d-{action.session}-{action.attempt}" in orphans
            elif isinstance(action, at.Release):
                orphans.add(action.set_up)

    for event, paid, node in script:
        session = len(sent) % 3 + 1
        if not attempts.has_attempt(session) and node not in closed:
            attempt = sent.get(session, -1) + 1
            sent[session] = attempt
            out[session, attempt] = "asked"
            take(attempts.handle(0.0, at.Send(session, attempt, node, 1, paid, 1e9)))
        if isinstance(event, at.BoxDraining):
            closed.add(event.node)
        elif isinstance(event, at.BoxReady):
            closed.discard(event.node)
        take(attempts.handle(0.0, event), durable=isinstance(event, at.IntentDurable))
        assert {session for session, _ in out} == {s for s in (1, 2, 3) if attempts.has_attempt(s)}
        assert len({session for session, _ in out}) == len(out)  # one attempt out at a time


# ---- Links ------------------------------------------------------------------------------------------------
def test_a_stream_is_kept_open_and_its_box_is_lost_only_after_the_loss_timer() -> None:
    link = ln.Link(250.0, 2000.0)
    assert link.handle(ln.StreamNeeded()) == [ln.OpenStream(), ln.StartLossTimer(2000.0, 1)]
    assert link.handle(ln.StreamNeeded()) == []
    assert link.handle(ln.HelloReceived()) == [ln.CompareSessions()]
    assert link.handle(ln.LossTimeout(1)) == []  # of an earlier generation
    broken = link.handle(ln.Disconnected())
    assert broken == [ln.StartLossTimer(2000.0, 3), ln.StartRetryTimer(0.0, 3)]
    assert link.handle(ln.RetryDue(3)) == [ln.OpenStream()]
    assert link.handle(ln.Disconnected()) == [ln.StartRetryTimer(250.0, 3)]
    assert link.handle(ln.LossTimeout(3)) == [ln.AllSessionsLost(), ln.StartLossTimer(2000.0, 3)]
    assert link.handle(ln.RetryDue(3)) == [ln.OpenStream()]
    assert link.handle(ln.HelloReceived()) == [ln.CompareSessions()]
    assert link.open
    assert link.handle(ln.StreamUnneeded()) == [ln.CloseStream()]
    assert link.handle(ln.Disconnected()) == []


@given(st.lists(st.sampled_from(["wanted", "unwanted", "greeted", "broken", "retry", "loss"]), max_size=40))
def test_a_link_never_opens_a_stream_twice_and_reports_a_loss_only_while_it_is_closed(
    script: list[str],
) -> None:
    link = ln.Link(250.0, 2000.0)
    opened = 0
    waits: list[ln.StartRetryTimer] = []
    awaited: list[ln.StartLossTimer] = []
    for step in script:
        event: ln.Event
        match step:
            case "wanted":
                event = ln.StreamNeeded()
            case "unwanted":
                event = ln.StreamUnneeded()
            case "greeted":
                event = ln.HelloReceived()
            case "broken":
                event = ln.Disconnected()
            case "retry" if waits:
                event = ln.RetryDue(waits.pop(0).generation)
            case "loss" if awaited:
                event = ln.LossTimeout(awaited.pop(0).generation)
            case _:
                continue
        was_open = link.open
        actions = link.handle(event)
        opened += kinds_of(actions, ln.OpenStream) - kinds_of(actions, ln.CloseStream)
        if step == "broken" and kinds_of(actions, ln.StartRetryTimer):
            opened -= 1
        assert 0 <= opened <= 1
        if kinds_of(actions, ln.AllSessionsLost):
            assert not was_open
        waits += [action for action in actions if isinstance(action, ln.StartRetryTimer)]
        awaited += [action for action in actions if isinstance(action, ln.StartLossTimer)]


def kinds_of(actions: list[ln.Action], kind: type) -> int:
    return sum(isinstance(action, kind) for action in actions)


def test_parked_sessions_are_dropped_when_their_tokens_expire_and_not_before() -> None:
    sessions = ts.TokenSessions()
    for k in range(500):
        token, now = f"t{k}", float(k)
        (opened,) = sessions.handle(now, ts.Requested(k, token, True, now + 100.0, False))
        assert isinstance(opened, ts.OpenSession) and opened.location is None
        sessions.handle(now, ts.SessionStarted(opened.session))
        sessions.handle(now, ts.Parked(opened.session, now + 30.0, ts.ParkedLocation(1, f"s{k}", "p")))
        assert len(sessions) <= 101
    # parked for too long, but the token has not expired: it must not count as new and be set up again
    assert sessions.handle(540.0, ts.Requested(900, "t499", True, 599.0, False)) == [
        ts.Reject(900, ts.RejectionReason.SESSION_OVER)
    ]
    sessions.handle(700.0, ts.ClientDisconnected(0))
    assert len(sessions) == 0


def test_a_resumed_session_keeps_its_parked_location_until_it_plays() -> None:
    sessions, place = ts.TokenSessions(), ts.ParkedLocation(3, "s1", "p")
    (opened,) = sessions.handle(0.0, ts.Requested(1, "t", True, 100.0, False))
    assert isinstance(opened, ts.OpenSession)
    sessions.handle(0.0, ts.SessionStarted(opened.session))
    sessions.handle(1.0, ts.Parked(opened.session, 50.0, place))
    for end in (ts.Refused, ts.Failed):
        (again,) = sessions.handle(2.0, ts.Requested(2, "t", True, 100.0, True))  # expired meanwhile
        assert isinstance(again, ts.OpenSession) and again.location == place
        assert len(sessions.handle(2.0, end(again.session))) == 1  # answered, and nothing is spent
    (again,) = sessions.handle(3.0, ts.Requested(3, "t", True, 100.0, False))
    assert isinstance(again, ts.OpenSession) and again.location == place
    assert sessions.handle(3.0, ts.SessionStarted(again.session)) == [ts.SendManifest(3, again.session)]
    assert sessions.playing_session("t") == again.session
