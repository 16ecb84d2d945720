"""Claims, attempts and links: every row of their tables, and their promises under any order of events."""

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


# ---- Claims -----------------------------------------------------------------------------------------------
def ask(claims: ts.TokenSessions, request: int, paid: bool = True, expired: bool = False) -> list[ts.Action]:
    return claims.handle(0.0, ts.Requested(request, "t", paid, 100.0, expired))


def test_requests_with_one_token_join_and_all_are_answered() -> None:
    claims = ts.TokenSessions()
    assert ask(claims, 1) == [ts.OpenSession(1, 1)]
    assert ask(claims, 2) == []
    assert claims.handle(0.0, ts.SessionStarted(1)) == [ts.SendManifest(1, 1), ts.SendManifest(2, 1)]
    assert ask(claims, 3, expired=True) == [ts.SendManifest(3, 1)]
    assert ask(ts.TokenSessions(), 1, expired=True) == [ts.Reject(1, ts.RejectionReason.EXPIRED)]


@pytest.mark.parametrize("paid", [True, False])
def test_what_ended_opens_again_only_if_it_is_free(paid: bool) -> None:
    claims = ts.TokenSessions()
    ask(claims, 1, paid)
    claims.handle(0.0, ts.SessionStarted(1))
    claims.handle(0.0, ts.SessionEnded(1))
    assert ask(claims, 2, paid) == (
        [ts.Reject(2, ts.RejectionReason.SESSION_OVER)] if paid else [ts.OpenSession(2, 2)]
    )
    failed = ts.TokenSessions()
    ask(failed, 1, paid)
    assert failed.handle(0.0, ts.Failed(1)) == [ts.SendFailure(1, 1)]
    assert ask(failed, 2, paid) == (
        [ts.Reject(2, ts.RejectionReason.MAY_HAVE_RUN)] if paid else [ts.OpenSession(2, 2)]
    )


def test_a_refusal_leaves_the_token_as_it_was() -> None:
    claims = ts.TokenSessions()
    ask(claims, 1)
    assert claims.handle(0.0, ts.Refused(1)) == [ts.SendRefusal(1, 1)]
    assert ask(claims, 2) == [ts.OpenSession(2, 2)]


@pytest.mark.parametrize(("ran", "paid"), [(True, True), (False, True), (True, False)])
def test_the_last_to_hang_up_withdraws(ran: bool, paid: bool) -> None:
    claims = ts.TokenSessions()
    ask(claims, 1, paid)
    ask(claims, 2, paid)
    assert claims.handle(0.0, ts.ClientDisconnected(1)) == []
    assert claims.handle(0.0, ts.ClientDisconnected(2)) == [ts.Withdraw(1)]
    assert ask(claims, 3, paid) == [
        ts.Reject(3, ts.RejectionReason.MAY_HAVE_RUN if paid else ts.RejectionReason.CANCELLING)
    ]
    assert claims.handle(0.0, ts.SessionStarted(1)) == []
    claims.handle(0.0, ts.SessionEnded(1, ran))
    spent = paid and ran
    assert ask(claims, 4, paid) == (
        [ts.Reject(4, ts.RejectionReason.MAY_HAVE_RUN)] if spent else [ts.OpenSession(2, 4)]
    )


def test_what_is_spent_is_forgotten_at_its_expiry_and_no_sooner() -> None:
    claims = ts.TokenSessions()
    claims.handle(0.0, ts.Restored("t", 100.0, played=False))
    assert ask(claims, 1) == [ts.Reject(1, ts.RejectionReason.MAY_HAVE_RUN)]
    claims.handle(99.9, ts.ClientDisconnected(7))
    assert not claims.is_new("t")
    claims.handle(100.0, ts.ClientDisconnected(7))
    assert claims.is_new("t")
    assert len(claims) == 0


class ClaimsMachine(RuleBasedStateMachine):
    """Against any order of events: each request answered once, each paid token opened once unless refused."""

    @initialize()
    def begin(self) -> None:
        self.claims = ts.TokenSessions()
        self.request = 0
        self.open: dict[int, str] = {}  # sessions that the module still owes an answer
        self.playing: dict[int, str] = {}
        self.left: dict[int, str] = {}
        self.waiting: set[int] = set()
        self.answered: set[int] = set()
        self.spent: set[str] = set()
        # taken up again by whoever asks: no set-up, so nothing is spent
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
        self.take(self.claims.handle(0.0, ts.Requested(self.request, token, paid, 1e9, expired)), token)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def hung_up(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.discard(request)
        self.take(self.claims.handle(0.0, ts.ClientDisconnected(request)))

    @precondition(lambda self: self.open)
    @rule(data=st.data(), how=st.sampled_from([ts.SessionStarted, ts.Refused, ts.Failed]))
    def answered_by_module(self, data: st.DataObject, how: Any) -> None:
        session = data.draw(st.sampled_from(sorted(self.open)))
        token = self.open.pop(session)
        if how is ts.SessionStarted:
            self.playing[session] = token
        elif how is ts.Failed and token.startswith("paid") and token not in self.adopted_parked:
            self.spent.add(token)
        self.take(self.claims.handle(0.0, how(session)))

    @precondition(lambda self: self.playing or self.left)
    @rule(data=st.data(), ran=st.booleans())
    def over(self, data: st.DataObject, ran: bool) -> None:
        session = data.draw(st.sampled_from(sorted({**self.playing, **self.left})))
        ran = ran or session in self.playing
        token = self.playing.pop(session, None) or self.left.pop(session)
        if ran and token.startswith("paid") and token not in self.adopted_parked:
            self.spent.add(token)
        self.take(self.claims.handle(0.0, ts.SessionEnded(session, ran)))

    @invariant()
    def who_waits_waits_on_an_open_session(self) -> None:
        if hasattr(self, "open"):
            assert bool(self.waiting) == bool(self.open)


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


class FleetClaimsMachine(ClaimsMachine):
    """The same where directors take over each other's sessions: a request may also be handed on, once."""

    @initialize()
    def begin(self) -> None:
        super().begin()
        self.claims = ts.TokenSessions(fleet=True)
        self.adopted = 0

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def claimed_elsewhere(self, data: st.DataObject) -> None:
        session = data.draw(st.sampled_from(sorted(self.open)))
        del self.open[session]
        self.take(self.claims.handle(0.0, ts.OwnedElsewhere(session)))

    @precondition(lambda self: self.playing)
    @rule(data=st.data())
    def taken_over(self, data: st.DataObject) -> None:
        session = data.draw(st.sampled_from(sorted(self.playing)))
        token = self.playing.pop(session)
        self.take(self.claims.handle(0.0, ts.OwnedElsewhere(session)))
        assert self.claims.is_new(token) and self.claims.playing_session(token) is None

    @rule(token=st.sampled_from(["paid-1", "paid-2", "free-1"]), parked=st.booleans())
    def adopt(self, token: str, parked: bool) -> None:
        self.adopted += 1
        parked &= token.startswith("paid")  # boxes park no others
        if parked:
            self.adopted_parked.add(token)
        plays = token in self.playing.values()
        place = ts.ParkedLocation(7, f"set-up-{self.adopted}", "path")
        adopt = ts.Adopt(token, token.startswith("paid"), 1e9, place, 1e9 if parked else 0.0)
        actions = self.claims.handle(0.0, adopt)
        assert (ts.DuplicateSetUp() in actions) is plays
        for action in actions:
            if isinstance(action, ts.Adopted):
                self.playing[action.session] = token
        self.take([a for a in actions if not isinstance(a, ts.Adopted | ts.DuplicateSetUp)])
        assert plays or parked or self.claims.playing_session(token) is not None
        self.spent.discard(token)

    @precondition(lambda self: self.adopted)
    @rule()
    def parked_is_taken_over(self) -> None:
        self.claims.handle(0.0, ts.ParkedTakenOver(f"set-up-{self.adopted}"))


TestFleetClaimsMachine = FleetClaimsMachine.TestCase
TestFleetClaimsMachine.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_what_an_earlier_run_had_is_asked_about_where_others_may_have_it() -> None:
    for fleet in (False, True):
        claims = ts.TokenSessions(fleet)
        claims.handle(0.0, ts.Restored("t", 100.0, True))
        (answer,) = claims.handle(1.0, ts.Requested(1, "t", True, 100.0, False))
        assert answer == (ts.QueryOwner(1) if fleet else ts.Reject(1, ts.RejectionReason.SESSION_OVER))


def test_an_adopted_session_answers_whoever_waits_and_calls_its_own_off() -> None:
    claims = ts.TokenSessions(fleet=True)
    (opened,) = claims.handle(0.0, ts.Requested(1, "t", True, 100.0, False))
    assert isinstance(opened, ts.OpenSession)
    actions = claims.handle(0.0, ts.Adopt("t", True, 100.0, ts.ParkedLocation(7, "d1.1-1-0", "p")))
    assert actions == [ts.Withdraw(opened.session), ts.Adopted(2), ts.SendManifest(1, 2)]
    assert claims.handle(0.0, ts.SessionEnded(opened.session, ran=False)) == []
    assert claims.playing_session("t") == 2  # the end of the one called off is not the adopted one's


def test_set_ups_of_an_earlier_run_keep_their_names_when_a_run_begins() -> None:
    attempts = at.Attempts("d0.a")
    attempts.handle(0.0, at.Send(1, 0, 7, 2, False, 1000.0))
    attempts.handle(1.0, DONE)
    attempts.handle(2.0, at.PrefixChanged("d0.b"))
    attempts.handle(3.0, at.Send(2, 0, 7, 2, False, 1000.0))
    assert (attempts.set_up_id(1, 0), attempts.set_up_id(2, 0)) == ("d0.a-1-0", "d0.b-2-0")
    assert attempts.attempt_of("d0.a-1-0") == (1, 0) and attempts.is_known("d0.a-1-0")
    assert attempts.attempt_of("d0.a-9-0") is None  # of the earlier run, and not known to play
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


def test_a_free_set_up_goes_at_once_and_a_paid_one_after_its_record() -> None:
    free, paid = at.Attempts("d"), at.Attempts("d")
    assert kinds(free.handle(0.0, SEND)) == [at.StartSetUp]
    assert kinds(paid.handle(0.0, PAID)) == [at.WriteIntent]
    assert kinds(paid.handle(1.0, at.IntentDurable(1, 0))) == [at.StartSetUp]
    assert kinds(paid.handle(2.0, DONE)) == [at.ReportStarted]


@pytest.mark.parametrize("why", ["drains", "gone", "late", "unwanted", "disk"])
def test_a_paid_set_up_that_must_not_leave_any_more_was_never_sent(why: str) -> None:
    made = at.Attempts("d")
    made.handle(0.0, PAID)
    now = 1.0
    event: at.Event = at.IntentDurable(1, 0)
    if why in ("drains", "gone"):
        made.handle(0.0, at.BoxDraining(7, why == "gone"))
    elif why == "late":
        now = 1000.0
    elif why == "unwanted":
        assert made.handle(0.0, at.CancelSession(1)) == []
    else:
        event = at.IntentFailed(1, 0)
    actions = made.handle(now, event)
    assert kinds(actions) == [at.ReportEnded]
    assert outcomes(actions) == [fl.Outcome.NEVER_SENT]
    assert not made.has_attempt(1)


@pytest.mark.parametrize(
    ("loss", "left", "outcome", "ghost"),
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
def test_a_call_without_an_answer_is_never_sent_only_where_that_is_proved(
    loss: at.CallFailure, left: bool, outcome: fl.Outcome, ghost: bool
) -> None:
    made = at.Attempts("d")
    made.handle(0.0, SEND)
    actions = made.handle(1.0, at.CallFailed(1, 0, loss, left))
    assert outcomes(actions) == [outcome]
    assert made.orphan_count == ghost
    assert outcome.proves_unrun is not ghost
    if ghost:
        assert actions[0] == at.Release("d-1-0", 7)
        assert made.handle(2.0, at.ReleaseFailed("d-1-0")) == [at.Release("d-1-0", 7, retry=True)]
        made.handle(3.0, at.Released("d-1-0"))
        assert made.orphan_count == 0
        assert made.handle(4.0, at.ReleaseFailed("d-1-0")) == []


def test_a_word_on_the_record_after_the_set_up_left_changes_nothing() -> None:
    made = at.Attempts("d")
    made.handle(0.0, SEND)
    assert made.handle(0.0, at.IntentFailed(1, 0)) == []
    made.handle(0.0, DONE)
    assert made.handle(0.0, at.IntentFailed(1, 0)) == []
    assert made.playing_at(1) == (7, 0)


def test_a_drain_stops_only_what_has_not_left() -> None:
    made = at.Attempts("d")
    made.handle(0.0, SEND)
    assert made.handle(0.0, at.BoxDraining(7, False)) == [at.AbortSetUp(1, 0, if_unsent=True)]
    assert made.handle(0.0, at.BoxDraining(7, False)) == []


def test_an_answer_that_meets_its_viewers_leaving_becomes_a_ghost() -> None:
    made = at.Attempts("d")
    made.handle(0.0, SEND)
    made.handle(0.0, at.CancelSession(1))
    actions = made.handle(1.0, DONE)
    assert kinds(actions) == [at.Release, at.ReportEnded]
    assert outcomes(actions) == [fl.Outcome.CANCELLED]


def test_a_rung_set_during_the_set_up_reaches_the_box_after_it() -> None:
    made = at.Attempts("d")
    made.handle(0.0, SEND)
    assert made.handle(0.0, at.RungChanged(1, 1)) == []
    assert made.handle(1.0, DONE)[1] == at.SendRung(1, 0, 7, 1)
    assert made.handle(2.0, at.RungChanged(1, 0)) == [at.SendRung(1, 0, 7, 0)]
    assert made.handle(2.0, at.RungChanged(1, 0)) == []


def test_what_a_box_says_it_holds_is_judged_by_its_process_and_its_counter() -> None:
    def playing() -> at.Attempts:
        made = at.Attempts("d")
        made.handle(0.0, SEND)
        made.handle(0.0, DONE)
        return made

    assert playing().handle(1.0, at.BoxLost(7, "boot", frozenset({"d-1-0"}), 5)) == []
    assert playing().handle(1.0, at.BoxLost(7, "boot", frozenset(), 4)) == []  # hello was before it
    assert outcomes(playing().handle(1.0, at.BoxLost(7, "boot", frozenset(), 5))) == [fl.Outcome.RESET]
    assert outcomes(playing().handle(1.0, at.BoxLost(7, "other", frozenset(), 0))) == [fl.Outcome.RESET]
    assert outcomes(playing().handle(1.0, at.BoxLost(7))) == [fl.Outcome.RESET]
    assert playing().handle(1.0, at.BoxLost(8)) == []
    stranger = playing().handle(1.0, at.BoxLost(7, "boot", frozenset({"d-1-0", "d.old-4-0", "x"}), 5))
    assert stranger == [at.Release("d.old-4-0", 7), at.Release("x", 7)]


def test_two_attempts_of_a_session_are_never_out_at_once() -> None:
    made = at.Attempts("d")
    made.handle(0.0, SEND)
    with pytest.raises(RuntimeError, match="has an attempt out already"):
        made.handle(0.0, at.Send(1, 1, 8, 2, False, 1000.0))


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
def test_under_any_events_each_attempt_ends_once_and_none_leaves_for_a_closed_box(
    script: list[tuple[at.Event, bool, int]],
) -> None:
    made = at.Attempts("d")
    sent: dict[int, int] = {}
    out: dict[tuple[int, int], str] = {}
    closed: set[int] = set()
    ghosts: set[str] = set()

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
                    assert f"d-{action.session}-{action.attempt}" in ghosts
            elif isinstance(action, at.Release):
                ghosts.add(action.set_up)

    for event, paid, node in script:
        session = len(sent) % 3 + 1
        if not made.has_attempt(session) and node not in closed:
            attempt = sent.get(session, -1) + 1
            sent[session] = attempt
            out[session, attempt] = "asked"
            take(made.handle(0.0, at.Send(session, attempt, node, 1, paid, 1e9)))
        if isinstance(event, at.BoxDraining):
            closed.add(event.node)
        elif isinstance(event, at.BoxReady):
            closed.discard(event.node)
        take(made.handle(0.0, event), durable=isinstance(event, at.IntentDurable))
        assert {session for session, _ in out} == {s for s in (1, 2, 3) if made.has_attempt(s)}
        assert len({session for session, _ in out}) == len(out)  # one attempt out at a time


# ---- Links ------------------------------------------------------------------------------------------------
def test_a_stream_is_held_and_its_silence_counts_as_loss_only_in_the_end() -> None:
    link = ln.Link(250.0, 2000.0)
    assert link.handle(ln.StreamNeeded()) == [ln.OpenStream(), ln.StartLossTimer(2000.0, 1)]
    assert link.handle(ln.StreamNeeded()) == []
    assert link.handle(ln.HelloReceived()) == [ln.CompareSessions()]
    assert link.handle(ln.LossTimeout(1)) == []  # of a silence that is over
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
def test_a_link_never_opens_a_stream_twice_and_never_forgets_a_silence(script: list[str]) -> None:
    link = ln.Link(250.0, 2000.0)
    opened = 0
    waits: list[ln.StartRetryTimer] = []
    awaited: list[ln.StartLossTimer] = []
    for word in script:
        event: ln.Event
        match word:
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
        if word == "broken" and kinds_of(actions, ln.StartRetryTimer):
            opened -= 1
        assert 0 <= opened <= 1
        if kinds_of(actions, ln.AllSessionsLost):
            assert not was_open
        waits += [action for action in actions if isinstance(action, ln.StartRetryTimer)]
        awaited += [action for action in actions if isinstance(action, ln.StartLossTimer)]


def kinds_of(actions: list[ln.Action], kind: type) -> int:
    return sum(isinstance(action, kind) for action in actions)


def test_parked_sessions_are_forgotten_with_their_tokens_and_never_before() -> None:
    made = ts.TokenSessions()
    for k in range(500):
        token, now = f"t{k}", float(k)
        (opened,) = made.handle(now, ts.Requested(k, token, True, now + 100.0, False))
        assert isinstance(opened, ts.OpenSession) and opened.location is None
        made.handle(now, ts.SessionStarted(opened.session))
        made.handle(now, ts.Parked(opened.session, now + 30.0, ts.ParkedLocation(1, f"s{k}", "p")))
        assert len(made) <= 101
    # past its park but not past its token: it must not look like a new one, or it would be set up again
    assert made.handle(540.0, ts.Requested(900, "t499", True, 599.0, False)) == [
        ts.Reject(900, ts.RejectionReason.SESSION_OVER)
    ]
    made.handle(700.0, ts.ClientDisconnected(0))
    assert len(made) == 0


def test_what_is_taken_up_names_its_place_until_it_plays() -> None:
    made, place = ts.TokenSessions(), ts.ParkedLocation(3, "s1", "p")
    (opened,) = made.handle(0.0, ts.Requested(1, "t", True, 100.0, False))
    assert isinstance(opened, ts.OpenSession)
    made.handle(0.0, ts.SessionStarted(opened.session))
    made.handle(1.0, ts.Parked(opened.session, 50.0, place))
    for end in (ts.Refused, ts.Failed):
        (again,) = made.handle(2.0, ts.Requested(2, "t", True, 100.0, True))  # expired meanwhile
        assert isinstance(again, ts.OpenSession) and again.location == place
        assert len(made.handle(2.0, end(again.session))) == 1  # told, and nothing is spent
    (again,) = made.handle(3.0, ts.Requested(3, "t", True, 100.0, False))
    assert isinstance(again, ts.OpenSession) and again.location == place
    assert made.handle(3.0, ts.SessionStarted(again.session)) == [ts.SendManifest(3, again.session)]
    assert made.playing_session("t") == again.session
