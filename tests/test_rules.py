"""The six rules of the service, on single event sequences and in seeded random runs with a checker."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from fleet import FREE, ONCE, SETTINGS, ask, delta, director, full, info, only

from foxlift import interface as fl
from foxlift.logic import Director

UNRUN = (fl.Outcome.FULL, fl.Outcome.CONNECT_FAILED, fl.Outcome.NEVER_SENT)
RUN = (fl.Outcome.ERROR, fl.Outcome.TIMEOUT, fl.Outcome.RESET, fl.Outcome.CANCELLED)


def sent_node(actions: list[fl.Action]) -> int:
    (sent,) = only(actions, fl.SetUp)
    return int(sent.node)


def ended(session: int, node: int, attempt: int, outcome: fl.Outcome, final: bool = False) -> fl.Ended:
    return fl.Ended(session, node, attempt, outcome, final, 10.0)


def wake_until(module: Director, start: float, end: float) -> list[tuple[float, fl.Action]]:
    seen: list[tuple[float, fl.Action]] = []
    now = start
    while now < end:
        now += 50.0
        seen += [(now, action) for action in module.handle(now, fl.Wake(0))]
    return seen


@pytest.mark.parametrize("outcome", UNRUN)
def test_a_paid_set_up_is_sent_again_when_it_provably_never_ran(outcome: fl.Outcome) -> None:
    module = director()
    node = sent_node(module.handle(1.0, ask(1, ONCE)))
    again = sent_node(module.handle(20.0, ended(1, node, 0, outcome)))
    assert again != node


@pytest.mark.parametrize("outcome", RUN)
def test_a_paid_set_up_that_may_have_run_fails_at_once(outcome: fl.Outcome) -> None:
    module = director()
    node = sent_node(module.handle(1.0, ask(1, ONCE)))
    actions = module.handle(20.0, ended(1, node, 0, outcome))
    assert [type(action) for action in actions] == [fl.Fail]


@pytest.mark.parametrize("outcome", RUN)
def test_a_free_set_up_is_sent_again_whatever_happened(outcome: fl.Outcome) -> None:
    module = director()
    node = sent_node(module.handle(1.0, ask(1)))
    assert sent_node(module.handle(20.0, ended(1, node, 0, outcome))) != node


def test_a_time_out_at_the_viewers_deadline_is_answered() -> None:
    module = director()
    actions = module.handle(1.0, ask(1, ONCE, ttl_ms=300.0))
    (sent,) = only(actions, fl.SetUp)
    assert sent.within_ms == 300.0
    assert module.handle(301.0, ended(1, sent.node, 0, fl.Outcome.TIMEOUT)) == [fl.Fail(1)]


def test_a_request_without_a_usable_holder_is_refused_in_time_with_a_time_to_come_back() -> None:
    for nodes in ((), (info(0, fl.Status.DRAINING), info(1, fl.Status.DRAINING))):
        module = Director(SETTINGS, seed=1)
        module.handle(0.0, full(*nodes))
        assert only(module.handle(1.0, ask(1, ttl_ms=3000.0)), fl.Refuse) == []
        refused = [(at, a) for at, a in wake_until(module, 1.0, 2000.0) if isinstance(a, fl.Refuse)]
        assert [a.come_back_ms for _, a in refused] == [500.0]
        assert refused[0][0] < 600.0
        assert only(module.handle(2000.0, ask(2, ttl_ms=30.0)), fl.Refuse) == [fl.Refuse(2, 500.0)]


def test_no_set_up_goes_to_a_draining_or_gone_node() -> None:
    module = director(nodes=2)
    module.handle(5.0, delta(info(0, fl.Status.DRAINING)))
    assert {sent_node(module.handle(6.0, ask(k))) for k in range(1, 4)} == {1}
    module.handle(7.0, delta(info(0)))
    module.handle(8.0, delta(info(1, fl.Status.GONE)))
    assert sent_node(module.handle(9.0, ask(9))) == 0
    module.handle(10.0, full(info(1)))
    assert sent_node(module.handle(11.0, ask(10))) == 1


def test_seats_count_from_sending_to_the_end_and_for_resumed_sessions_too() -> None:
    module = director()
    module.handle(1.0, fl.Resumed(ask(1, ONCE), 0))
    node = sent_node(module.handle(2.0, ask(2, ONCE)))
    assert only(module.handle(3.0, ask(3, ONCE)), fl.SetUp) == []
    assert only(module.handle(3.0, ask(4, ONCE, title=2)), fl.SetUp)
    module.handle(4.0, ended(2, node, 0, fl.Outcome.OK, final=True))
    later = [a for _, a in wake_until(module, 4.0, 60.0)]
    assert [a.session for a in only(later, fl.SetUp)] == [3]


def test_floor_and_best_rung() -> None:
    module = director()
    rungs = only(module.handle(1.0, ask(1, ONCE, best_rung=1)), fl.SetRung)
    assert [a.rung for a in rungs] == [1]
    assert only(module.handle(1.0, ask(2, best_rung=0)), fl.SetRung) == [fl.SetRung(2, 0)]
    assert only(module.handle(2.0, ask(3, ONCE, best_rung=0)), fl.SetUp) == []


def test_further_attempts_stay_within_a_stated_budget() -> None:
    module = director(extra_free=1.0, extra_ratio=0.0, extra_span_ms=1000.0)
    first = sent_node(module.handle(1.0, ask(1)))
    second = sent_node(module.handle(2.0, ask(2)))
    assert only(module.handle(3.0, ended(1, first, 0, fl.Outcome.FULL)), fl.SetUp)
    assert only(module.handle(4.0, ended(2, second, 0, fl.Outcome.FULL)), fl.SetUp) == []
    third = sent_node(module.handle(1100.0, ask(3)))
    assert only(module.handle(1101.0, ended(3, third, 0, fl.Outcome.ERROR)), fl.SetUp)


def test_a_new_director_with_a_cached_list_paces_every_node() -> None:
    module = Director(SETTINGS, seed=1)
    module.handle(50000.0, fl.NodeList(fl.ListKind.CACHED, (info(0),)))
    sends = [a for k in range(1, 150) for a in module.handle(50000.0 + 10.0 * k, ask(k))]
    assert 1 <= len(only(sends, fl.SetUp)) <= 4


@pytest.mark.parametrize("directors", (3, 30, 300))
def test_a_cold_node_is_used_but_not_overloaded_by_many_directors(directors: int) -> None:
    """30 requests a second in all, each of which could go to the one node that has just started."""
    base = replace(SETTINGS, directors=directors, link_kb_per_weight=1e6, uplink_kb=0.0)
    modules = [Director(replace(base, director=k), k) for k in range(directors)]
    for module in modules:
        module.handle(0.0, full(*(info(node) for node in range(20))))
        module.handle(60000.0, delta(info(0, started_ms=60000.0)))
    rng, sends = random.Random(5), []
    for k in range(900):
        now = 40000.0 + k * 1000.0 / 30.0
        actions = rng.choice(modules).handle(now, ask(k))
        sends += [now for a in only(actions, fl.SetUp) if now > 60000.0 and a.node == 0]
    budget = SETTINGS.cold_multiple * SETTINGS.cold_from * 30 / SETTINGS.warm_up_ms * SETTINGS.cold_window_ms
    most = max(sum(at - SETTINGS.cold_window_ms < t <= at for t in sends) for at in sends)
    assert len(sends) > 0 and most <= budget + 1


def test_late_and_unknown_events_are_ignored() -> None:
    module = director()
    for event in (
        ended(77, 3, 0, fl.Outcome.OK),
        fl.Started(77, 3, 0, 1.0),
        fl.Note(77, 99, fl.NoteKind.LINK, 0.5),
        fl.Withdrawn(77),
        fl.NodeList(fl.ListKind.FAILED),
        delta(info(99, fl.Status.GONE)),
        fl.Resumed(ask(5), 1234),
        ended(5, 1234, 0, fl.Outcome.RESET, final=True),
        fl.Probed(99, fl.Outcome.TIMEOUT, 1.0),
    ):
        assert only(module.handle(1.0, event), fl.SetUp) == []
    assert module.sessions == {}


def test_a_list_by_request_is_subscribed_to_and_requested_again_after_a_failure() -> None:
    module = Director(replace(SETTINGS, list_by_ask=True), seed=1)
    cached = fl.NodeList(fl.ListKind.CACHED, (info(0),))
    assert only(module.handle(0.0, cached), fl.WatchList) == [fl.WatchList(True)]
    module.handle(500.0, fl.NodeList(fl.ListKind.FAILED))
    asked = [at for at, a in wake_until(module, 500.0, 4000.0) if isinstance(a, fl.WatchList)]
    assert asked == [1500.0]
    assert [a for a in director().handle(1.0, ask(1)) if isinstance(a, fl.WatchList)] == []


def test_a_held_request_is_not_sent_again_when_the_attempt_budget_is_used_up() -> None:
    module = director(nodes=3, extra_free=1.0, extra_ratio=0.0, extra_span_ms=5000.0)
    first = sent_node(module.handle(1.0, ask(1, first_cell=0, holders=1)))
    assert only(module.handle(2.0, ended(1, first, 0, fl.Outcome.FULL)), fl.SetUp) == []
    second = sent_node(module.handle(3.0, ask(2)))
    assert sent_node(module.handle(4.0, ended(2, second, 0, fl.Outcome.ERROR))) != second
    module.handle(5.0, delta(replace(info(9), cell=0)))
    later = [a for _, a in wake_until(module, 5.0, 1000.0)]
    assert only(later, fl.SetUp) == [] and only(later, fl.Refuse) == [fl.Refuse(1, 500.0)]


def test_an_attempt_never_sent_does_not_count_in_the_budget() -> None:
    module = director(extra_free=1.0, extra_ratio=0.0, extra_span_ms=1000.0)
    first = sent_node(module.handle(1.0, ask(1)))
    second = sent_node(module.handle(2.0, ended(1, first, 0, fl.Outcome.FULL)))
    assert sent_node(module.handle(3.0, ended(1, second, 1, fl.Outcome.NEVER_SENT))) not in (first, second)


def test_ends_from_an_old_process_do_not_suspend_its_successor() -> None:
    module = director(nodes=1)
    sent_node(module.handle(1.0, ask(1)))
    module.handle(2.0, fl.Started(1, 0, 0, 1.0))
    module.handle(3.0, delta(info(0, fl.Status.GONE)))
    module.handle(4.0, delta(info(0)))
    module.handle(5.0, ended(1, 0, 0, fl.Outcome.RESET, final=True))
    assert sent_node(module.handle(6.0, ask(2))) == 0


class Checker:
    """Checks what one director does against the six rules, without knowledge of how it decides."""

    def __init__(self, settings: fl.Settings) -> None:
        self.settings = settings
        self.status: dict[int, fl.Status] = {}
        self.asked: dict[int, tuple[fl.Ask, float]] = {}
        self.answers: Counter[int] = Counter()
        self.attempts: dict[int, tuple[int, int]] = {}
        self.outcomes: dict[int, list[fl.Outcome]] = {}
        self.requested_at: list[float] = []
        self.extra_attempts: list[float] = []
        self.seats_taken: Counter[tuple[int, int]] = Counter()

    def klass(self, session: int) -> fl.SessionClass:
        return self.settings.classes[self.asked[session][0].klass]

    def unrun(self, session: int) -> bool:
        return all(o in UNRUN for o in self.outcomes[session])

    def act(self, now: float, action: fl.Action) -> None:
        if isinstance(action, fl.SetRung):
            asked = self.asked[action.session][0]
            assert self.klass(action.session).floor <= action.rung <= asked.best_rung
        elif isinstance(action, fl.Refuse | fl.Fail):
            self.answers[action.session] += 1
            assert self.answers[action.session] == 1 and action.session not in self.attempts
            if isinstance(action, fl.Refuse):
                assert self.klass(action.session).repeat is fl.Repeat.FREE or self.unrun(action.session)
        elif isinstance(action, fl.SetUp):
            asked, deadline = self.asked[action.session]
            attempt = len(self.outcomes[action.session])
            assert self.answers[action.session] == 0 and action.session not in self.attempts
            assert self.status.get(action.node) is fl.Status.READY
            assert now + action.within_ms <= deadline + 1e-6
            assert self.klass(action.session).repeat is fl.Repeat.FREE or self.unrun(action.session)
            self.attempts[action.session] = (action.node, attempt)
            seat = (asked.title, asked.klass)
            self.seats_taken[seat] += 1
            seats = self.klass(action.session).seats
            assert not seats or self.seats_taken[seat] <= seats
            if attempt:
                self.extra_attempts.append(now)
                span = now - self.settings.extra_span_ms
                allowed = self.settings.extra_ratio * sum(t > span for t in self.requested_at)
                assert sum(t > span for t in self.extra_attempts) <= self.settings.extra_free + allowed


class RandomRun:
    """Three directors of one fleet under random events; attempts end at random in all possible ways."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        base = replace(SETTINGS, directors=3, link_kb_per_weight=9000.0, uplink_kb=25000.0)
        base = replace(base, extra_free=3.0, extra_ratio=0.1, extra_span_ms=3000.0)
        self.directors = [Director(replace(base, director=k), seed + k) for k in range(3)]
        self.checks = [Checker(replace(base, director=k)) for k in range(3)]
        self.due: list[list[tuple[float, int, fl.Event]]] = [[], [], []]
        self.started: dict[int, float] = {node: 0.0 for node in range(8)}
        self.cold_sends: dict[int, list[float]] = {node: [] for node in range(8)}
        self.count = self.cold_total = 0

    def deliver(self, k: int, now: float, event: fl.Event) -> None:
        check = self.checks[k]
        if isinstance(event, fl.NodeList):
            check.status.update({n.node: n.status for n in event.nodes})
        elif isinstance(event, fl.Ask):
            check.asked[event.session] = (event, now + event.ttl_ms)
            check.outcomes[event.session] = []
            check.requested_at.append(now)
        elif isinstance(event, fl.Started):
            check.answers[event.session] += 1
        elif isinstance(event, fl.Ended):
            asked = check.asked[event.session][0]
            check.seats_taken[asked.title, asked.klass] -= 1
            check.outcomes[event.session].append(event.outcome)
            check.attempts.pop(event.session)
            if event.outcome is fl.Outcome.NEVER_SENT and event.attempt:
                check.extra_attempts.pop()
        for action in self.directors[k].handle(now, event):
            check.act(now, action)
            if isinstance(action, fl.SetTimer):
                self.schedule(k, now + action.delay_ms, fl.Wake(action.token))
            elif isinstance(action, fl.SetUp):
                self.decide_end(k, now, action)

    def schedule(self, k: int, at: float, event: fl.Event) -> None:
        self.count += 1
        self.due[k].append((at, self.count, event))

    def decide_end(self, k: int, now: float, sent: fl.SetUp) -> None:
        if self.started[sent.node] > 0.0 and now - self.started[sent.node] < SETTINGS.warm_up_ms:
            self.cold_sends[sent.node].append(now)
            self.cold_total += 1
        attempt = self.checks[k].attempts[sent.session][1]
        roll, delay = self.random.random(), self.random.uniform(20.0, 400.0)
        if delay >= sent.within_ms or roll < 0.05:
            self.schedule(
                k, now + sent.within_ms, ended(sent.session, sent.node, attempt, fl.Outcome.TIMEOUT)
            )
        elif roll < 0.75:
            self.schedule(k, now + delay, fl.Started(sent.session, sent.node, attempt, delay))
            end = self.random.choice((fl.Outcome.OK, fl.Outcome.RESET, fl.Outcome.CANCELLED))
            length = self.random.uniform(200.0, 6000.0)
            for kind, low, high in ((fl.NoteKind.LINK, 0.2, 0.9), (fl.NoteKind.DELIVERED, 0.9, 1.1)):
                note = fl.Note(sent.session, sent.node, kind, self.random.uniform(low, high))
                self.schedule(k, now + delay + self.random.uniform(0.0, length), note)
            self.schedule(k, now + delay + length, ended(sent.session, sent.node, attempt, end, final=True))
        else:
            outcome = self.random.choice(UNRUN + RUN)
            self.schedule(k, now + delay, ended(sent.session, sent.node, attempt, outcome))

    def change_list(self, now: float) -> None:
        node = self.random.randrange(8)
        down = self.random.choice((fl.Status.DRAINING, fl.Status.GONE))
        status = fl.Status.READY if self.random.random() < 0.7 else down
        if status is fl.Status.READY and self.checks[0].status[node] is not fl.Status.READY:
            self.started[node] = now
            self.cold_sends[node] = []
        for k in range(3):
            self.deliver(k, now, delta(info(node, status, self.started[node])))

    def run(self, length: float) -> None:
        for k in range(3):
            self.deliver(k, 0.0, full(*(info(node) for node in range(8))))
        now, session = 0.0, 0
        while now < length + 10000.0:
            now += 10.0
            for k in range(3):
                ready = sorted(item for item in self.due[k] if item[0] <= now)
                self.due[k] = [item for item in self.due[k] if item[0] > now]
                for _, _, event in ready:
                    self.deliver(k, now, event)
                if now < length and self.random.random() < 0.08:
                    session += 1
                    klass = self.random.choice((FREE, FREE, ONCE))
                    ttl = self.random.choice((5.0, 60.0, 500.0, 3000.0))
                    more = {"title": session % 3, "best_rung": self.random.randint(1, 3), "ttl_ms": ttl}
                    self.deliver(k, now, ask(session, klass, **more))
            if now < length and self.random.random() < 0.02:
                self.change_list(now)
            self.check_answers(now)
        for module, check in zip(self.directors, self.checks, strict=True):
            assert all(check.answers[session] == 1 for session in check.asked)
            assert module.sessions == {} and module.held == {} and module.seats == {}

    def check_answers(self, now: float) -> None:
        for check in self.checks:
            for session, (_, deadline) in check.asked.items():
                late = now > deadline + SETTINGS.answer_slack_ms
                assert not late or check.answers[session] == 1, (session, now, deadline)
        s = SETTINGS
        budget = s.cold_multiple * s.cold_from * s.kind_slots[0] / s.warm_up_ms * s.cold_window_ms
        for times in self.cold_sends.values():
            assert sum(t > now - s.cold_window_ms for t in times) <= budget + 1


@pytest.mark.parametrize("seed", range(20))
def test_random_runs_keep_all_six_rules(seed: int) -> None:
    simulation = RandomRun(seed)
    simulation.run(20000.0)
    assert sum(len(check.asked) for check in simulation.checks) > 300
    assert sum(len(check.extra_attempts) for check in simulation.checks) > 0
    assert simulation.cold_total > 0
