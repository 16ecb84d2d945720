"""Claims, takeovers, disk checks and routing in virtual time, under random schedules.

The failure guarded against: a paid token is set up twice. It would come about if a box ignored a fence or
forgot an ended session, if a claim of another epoch were replaced, or if a restarted box counted as proof.
"""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise
from typing import Any

import pytest
from recovery_world import BOX, AtomicRegisters, World

from foxlift.peers.messages import PeerState as PeerState
from foxlift.recovery import claims as rc
from foxlift.recovery import disk_check as dc
from foxlift.recovery import route as rt
from foxlift.recovery import takeover as tk
from foxlift.standins.owners import Owners, Taken

SCHEDULES = 20_000


def play(world: World, most: int = 220) -> World:
    for _ in range(most):
        world.step()
    return world


@pytest.mark.parametrize("part", range(8))
def test_a_paid_token_is_set_up_once_in_twenty_thousand_random_schedules(part: int) -> None:
    ran: Counter[int] = Counter()
    taken = 0
    for seed in range(part * SCHEDULES // 8, (part + 1) * SCHEDULES // 8):
        world = play(World(seed))
        assert len(world.ran) <= 1, f"seed {seed}: {world.ran}"
        ran[len(world.ran)] += 1
        taken += any(owned.taken for owned in world.owners.sessions.values())
    print(f"seeds {part * SCHEDULES // 8} on: ran {dict(ran)}, taken over at the end {taken}")
    assert ran[1] > SCHEDULES // 16 and taken > 20  # most schedules set a token up, and takeovers happen


# ---- Each guard switched off ------------------------------------------------------------------------------
class WithoutFences(Owners):
    """A box that forgets every fence."""

    def take(self, *args: Any, **more: Any) -> Taken:
        before = dict(self.fences)
        found = super().take(*args, **more)
        self.fences = before
        return found


class ForgetsEnded(Owners):
    """A box that forgets ended sessions."""

    def over(self, set_up: str, now_ms: int) -> None:
        self.sessions.pop(set_up, None)


class TrustsAnyBoxProcess(rt.Routes):
    """Trusts the response of a box process that the set-up was not for."""

    def _box_responded(self, wish: rt.RouteRequested, told: rt.BoxResponded) -> list[rt.Action]:
        boot = wish.claim.boot if wish.claim is not None else ""
        return super()._box_responded(
            wish, rt.BoxResponded(told.request, told.set_up_state, told.owner, 0, boot)
        )


class ReplacesOtherEpochs(rc.PaidClaims):
    """Replaces claims of earlier boot epochs."""

    def _decided(self, now: float, asked: Any, value: str) -> list[rc.Action]:
        found = rc.read_claim(value)
        if found is not None and found.owner == self.name and value != asked.request.claim.write():
            return self._change(now, type(asked)(asked.request, value, 2))
        return super()._decided(now, asked, value)


class GrantsWithoutRegister(rc.PaidClaims):
    """Grants every claim without a register."""

    def handle(self, now: float, event: rc.Event) -> list[rc.Action]:
        return [rc.Granted(event.number)] if isinstance(event, rc.ClaimRequested) else []


@pytest.mark.parametrize(
    "off",
    [
        {"make_owners": WithoutFences},
        {"make_owners": ForgetsEnded},
        {"make_routes": TrustsAnyBoxProcess},
        {"make_claims": ReplacesOtherEpochs},
        {"make_claims": GrantsWithoutRegister},
        {"done_looks_again": False},
        {"asks_boot": False},
    ],
    ids=["fence", "memory", "whose memory", "own earlier run", "claim", "look when done", "boot"],
)
def test_without_each_safety_rule_a_token_is_set_up_twice(off: dict[str, Any]) -> None:
    assert any(len(play(World(seed, **off)).ran) > 1 for seed in range(20_000))


# ---- Every order of a small world -------------------------------------------------------------------------
class Small(World):
    """Two directors, one box; every message arrives once, in any order, or never."""

    def choices(self) -> list[str]:
        found = [f"out {k}" for k in range(len(self.out))]
        for name, process in self.processes.items():
            if process.up and not process.spent and not process.pending and process.asked < 2:
                found.append(f"ask {name}")
            if process.up and self.runs[name] < 2:
                found.append(f"kill {name}")
            if not process.up and self.runs[name] < 2:
                found.append(f"start {name}")
        if self.boots < 1:
            found.append("box")
        return found

    def do(self, choice: str) -> None:
        what, _, which = choice.partition(" ")
        self.now += 100
        match what:
            case "out":
                self.out.pop(int(which))[1]()
            case "ask":
                self.ask(which)
            case "kill":
                self.kill(which)
            case "start":
                self.start(which)
            case "box":
                self.box_dies()

    def fingerprint(self) -> tuple[Any, ...]:
        directors = tuple(
            (
                p.name,
                p.run,
                p.up,
                p.spent,
                tuple(sorted(p.playing)),
                p.asked,
                p.set_ups,
                len(p.pending),
                len(p.routes),
            )
            for p in self.processes.values()
        )
        value = rc.read_claim(self.store["value"] or "")
        held = None if value is None else (value.owner, value.boot_epoch, value.set_up)
        old = value is not None and value.boot == str(self.boots)
        sessions = tuple(sorted((s, o.name, o.run) for s, o in self.owners.sessions.items()))
        fences = tuple(sorted(self.owners.fences.items()))
        streams = tuple(sorted(self.owners.streams.items()))
        return (
            directors, held, old, sessions, fences, streams, tuple(sorted(self.owners.ended)), self.boots,
            tuple(self.ran), tuple(sorted(what for what, _ in self.out)),
        )  # fmt: skip


def test_a_token_is_set_up_once_in_every_message_order_of_a_small_world() -> None:
    seen: set[tuple[Any, ...]] = set()
    stack: list[tuple[str, ...]] = [()]
    transitions = most = 0
    while stack:
        path = stack.pop()
        world = Small(1, directors=2, atomic=True)
        for choice in path:
            world.do(choice)
        for choice in world.choices():
            if len(path) >= 10:
                break
            again = Small(1, directors=2, atomic=True)
            for step in (*path, choice):
                again.do(step)
            transitions += 1
            assert len(again.ran) <= 1, (*path, choice)
            mark = again.fingerprint()
            if mark not in seen:
                seen.add(mark)
                most = max(most, len(path) + 1)
                stack.append((*path, choice))
    print(f"{len(seen)} states, {transitions} transitions, {most} steps deep")
    assert len(seen) > 1000


@pytest.mark.parametrize("told", [True, False])
def test_the_claim_of_a_set_up_that_was_taken_over_is_not_replaced(told: bool) -> None:
    """A stalled director continues, and its viewer asks again before the next boot epoch has begun."""
    registers = AtomicRegisters("d0.1", 1)
    registers.store = {"value": None}
    claims = rc.PaidClaims("d0", 1, registers)

    def want(number: int) -> list[rc.Action]:
        claim = rc.Claim("d0", 1, BOX, f"d0.1-{number}-0", 1000, "b0#1")
        return claims.handle(0.0, rc.ClaimRequested(number, "t", claim, 10**9, 1000.0, ("d0",)))

    assert want(1) == [rc.Granted(1)]
    if told:
        claims.lose("d0.1-1-0")
    (answer,) = want(2)
    assert isinstance(
        answer, rc.OwnedElsewhere if told else rc.Granted
    )  # else it would be set up a second time


# ---- Takeovers --------------------------------------------------------------------------------------------
NAMES = frozenset(f"d{k}" for k in range(9))
BOXES = frozenset(f"b{k}" for k in range(24))


def there(*without: str) -> tuple[str, ...]:
    return tuple(sorted(NAMES - set(without)))


def taker(name: str, seed: int = 1) -> tk.Takeovers:
    made = tk.Takeovers(name, NAMES, seed)
    made.handle(0.0, tk.EpochBegun(100))
    made.handle(0.0, tk.BoxesListed(BOXES))
    for other in sorted(NAMES - {name}):
        made.handle(0.0, tk.PeerChanged(other, PeerState.ALIVE, 7, there()))
    return made


def run(
    made: tk.Takeovers, now: float, actions: list[tk.Action], until: float
) -> list[tuple[float, tk.RequestTakeover]]:
    """Run timers; every takeover succeeds at once."""
    timers = [(now + a.delay_ms, k, a.event) for k, a in enumerate(actions) if isinstance(a, tk.StartTimer)]
    found: list[tuple[float, tk.RequestTakeover]] = []
    count = len(timers)
    while timers:
        timers.sort()
        at, _, event = timers.pop(0)
        if at > until:
            break
        queue = made.handle(at, event)
        while queue:
            action = queue.pop(0)
            if isinstance(action, tk.RequestTakeover):
                found.append((at, action))
                queue += made.handle(at, tk.TakenOver(action.work))
            else:
                count += 1
                timers.append((at + action.delay_ms, count, action.event))
    return found


def test_each_box_of_a_dead_director_is_taken_over_by_one_survivor() -> None:
    takes: Counter[str] = Counter()
    sweeps: Counter[str] = Counter()
    by: Counter[str] = Counter()
    for name in sorted(NAMES - {"d3"}):
        made = taker(name)
        actions = made.handle(10.0, tk.PeerChanged("d3", PeerState.DEAD, 7, there("d3")))
        for at, take in run(made, 10.0, actions, 600_000.0):
            if take.owner == "d3" and take.up_to_epoch == 7:
                takes[take.box] += 1
                by[name] += 1
                assert at < 5000.0
            elif take.owner == "d3":
                assert (take.up_to_epoch, take.certain) == (0, False)
                sweeps[take.box] += 1
    assert takes == Counter(dict.fromkeys(BOXES, 1))
    assert sweeps == Counter(dict.fromkeys(BOXES, tk.MAX_SWEEPS))  # and no more after that
    assert max(by.values()) <= 8  # of 24 boxes: the load is spread


def test_the_delays_of_sweeps_grow_even_if_the_box_hears_from_the_owner() -> None:
    made = taker("d0")
    made.handle(10.0, tk.PeerChanged("d3", PeerState.DEAD, 7, there("d3")))
    work = next(w for w in made._work.values() if w.owner == "d3")
    now, waits = 300.0, []
    made.handle(now, tk.AttemptDue(work.number, work.round_id))
    answers: list[tk.Event] = [
        tk.TakenOver(work.number),
        *[tk.TakeoverFailed(work.number, tk.TakeoverFailure.ALIVE)] * 3,
    ]
    for answer in answers:
        (timer,) = made.handle(now, answer)
        assert isinstance(timer, tk.StartTimer)
        waits.append(timer.delay_ms)
        now += timer.delay_ms
        (take,) = made.handle(now, timer.event)
        assert isinstance(take, tk.RequestTakeover) and (take.up_to_epoch, take.certain) == (0, False)
    assert made.handle(now, tk.TakeoverFailed(work.number, tk.TakeoverFailure.ALIVE)) == []
    assert all(later > 1.1 * sooner for sooner, later in pairwise(waits)), waits
    assert waits[0] >= 0.75 * tk.CERTAIN_MS


def test_a_director_that_is_back_is_not_swept_any_more() -> None:
    made = taker("d0")
    actions = made.handle(10.0, tk.PeerChanged("d3", PeerState.DEAD, 7, there("d3")))
    first = run(made, 10.0, actions, 1000.0)
    assert any(take.owner == "d3" for _, take in first)
    swept = [made._by_number[w.number] for w in made._work.values() if w.owner == "d3"]
    assert swept and all(w.sweeps == 1 for w in swept)
    made.handle(1500.0, tk.PeerChanged("d3", PeerState.ALIVE, 8, there()))
    for work in swept:
        assert made.handle(9000.0, tk.AttemptDue(work.number, work.round_id)) == []


def test_own_earlier_epochs_are_taken_over_at_every_box() -> None:
    made = tk.Takeovers("d0", NAMES, 1)
    first = made.handle(0.0, tk.EpochBegun(100))
    found = run(made, 0.0, [*first, *made.handle(0.0, tk.BoxesListed(BOXES))], 5000.0)
    assert {take.box for _, take in found} == BOXES
    assert {(take.owner, take.up_to_epoch, take.certain) for _, take in found} == {("d0", 99, True)}
    assert all(made.own_done(box) for box in BOXES)


def test_few_takeovers_are_in_progress_at_once_however_many_directors_die() -> None:
    made = taker("d0")
    for name in sorted(NAMES - {"d0"}):
        made.handle(10.0, tk.PeerChanged(name, PeerState.DEAD, 7, ("d0",)))
    out = 0
    for number in list(made._by_number):
        for action in made.handle(500.0, tk.AttemptDue(number, made._by_number[number].round_id)):
            out += isinstance(action, tk.RequestTakeover)
    assert out == tk.MAX_CONCURRENT


def test_a_director_that_refuted_its_death_is_not_taken_over() -> None:
    made = taker("d0")
    actions = made.handle(10.0, tk.PeerChanged("d3", PeerState.DEAD, 7, there("d3")))
    made.handle(11.0, tk.PeerChanged("d3", PeerState.ALIVE, 7, there()))
    assert not [take for _, take in run(made, 10.0, actions, 5000.0) if take.owner == "d3"]
    assert not made.is_gone("d3")


@pytest.mark.parametrize("heard, certain", [(4, True), (3, False)])
def test_a_death_is_certain_only_after_contact_with_a_majority(heard: int, certain: bool) -> None:
    made = taker("d0")
    for name in ("d1", "d2", "d3", "d4"):
        made.handle(5.0, tk.PeerContacted(name))  # before the death: does not count
    made.handle(10.0, tk.PeerChanged("d8", PeerState.DEAD, 7, there("d8")))
    made.handle(11.0, tk.PeerContacted("d8"))  # of itself
    for k in range(1, heard + 1):
        made.handle(20.0, tk.PeerContacted(f"d{k}"))
    assert not made.certain(3000.0, "d8")
    assert made.certain(5000.0, "d8") is certain


def test_a_director_that_announced_its_leave_is_taken_over_at_once_and_for_certain() -> None:
    made = taker("d0")
    actions = made.handle(10.0, tk.PeerChanged("d3", PeerState.LEFT, 7, there("d3")))
    found = [(at, take) for at, take in run(made, 10.0, actions, 300.0) if take.owner == "d3"]
    assert found and all(take.certain and at < 10.0 + tk.FIRST_DELAY_MAX_MS + 1 for at, take in found)


def test_a_refused_takeover_is_retried_with_growing_delays_for_good() -> None:
    made = taker("d0")
    made.handle(10.0, tk.PeerChanged("d3", PeerState.DEAD, 7, there("d3")))
    work = next(w for w in made._work.values() if w.owner == "d3")
    waits = []
    now = 300.0
    for _ in range(10):
        assert any(
            isinstance(a, tk.RequestTakeover)
            for a in made.handle(now, tk.AttemptDue(work.number, work.round_id))
        )
        (timer,) = made.handle(now, tk.TakeoverFailed(work.number, tk.TakeoverFailure.ALIVE))
        assert isinstance(timer, tk.StartTimer)
        waits.append(timer.delay_ms)
        now += timer.delay_ms
    assert max(waits) <= tk.RETRY_MAX_MS and min(waits[5:]) >= tk.RETRY_MAX_MS / 2


def test_tables_are_bounded_by_names_and_boxes_under_random_events() -> None:
    chance = random.Random(5)
    made = taker("d0")
    now = 0.0
    for turn in range(1200):
        now += chance.uniform(0, 300)
        name = chance.choice(sorted(NAMES))
        state = chance.choice([PeerState.ALIVE, PeerState.SUSPECTED, PeerState.DEAD, PeerState.LEFT])
        made.handle(now, tk.PeerChanged(name, state, turn, there(name)))
        if turn % 7 == 0:
            made.handle(now, tk.BoxesListed(frozenset(f"b{chance.randrange(500)}" for _ in range(24))))
        for number in list(made._by_number)[:3]:
            for action in made.handle(now, tk.AttemptDue(number, made._by_number[number].round_id)):
                if isinstance(action, tk.RequestTakeover):
                    made.handle(now, tk.TakeoverFailed(action.work, tk.TakeoverFailure.SILENT))
    sizes = made.sizes()
    assert sizes["gone"] <= 9 and sizes["work"] <= 9 * 24


# ---- Disk check -------------------------------------------------------------------------------------------
OTHERS = [f"d{k}" for k in range(1, 9)]


def told(standing: dc.DiskCheck, befores: dict[str, int]) -> list[dc.Action]:
    return [
        action
        for peer, before in befores.items()
        for action in standing.handle(dc.EpochReported(peer, before))
    ]


def test_a_new_director_trusts_its_disk_after_more_than_half_of_the_peers_responded() -> None:
    made = dc.DiskCheck(OTHERS, 0, 1)
    assert {a.peer for a in made.start() if isinstance(a, dc.QueryEpoch)} == set(OTHERS)
    assert not [a for a in told(made, dict.fromkeys(OTHERS[:4], 0)) if isinstance(a, dc.Trust)]
    assert told(made, dict.fromkeys(OTHERS[:4], 0)) == []  # the same ones again count once
    assert told(made, {OTHERS[4]: 0}) == [dc.Trust(False)]


@pytest.mark.parametrize("last, lost", [(0, True), (40, True), (50, False)])
def test_a_peer_that_knows_a_later_epoch_than_the_disk_shows_that_it_is_lost(last: int, lost: bool) -> None:
    made = dc.DiskCheck(OTHERS, last, 1)
    made.start()
    actions = told(made, {**dict.fromkeys(OTHERS[:4], 0), OTHERS[4]: 50})
    assert actions == [dc.Trust(lost)]


def test_any_two_majorities_of_the_peers_share_one() -> None:
    """So one of the peers that a new epoch asks has stored the last one."""
    for others in range(1, 12):
        need = others // 2 + 1
        assert 2 * need > others


def test_silent_peers_are_asked_again_with_growing_delays() -> None:
    made = dc.DiskCheck(OTHERS, 5, 1)
    waits = [a.delay_ms for a in made.start() if isinstance(a, dc.StartTimer)]
    for _ in range(8):
        actions = made.handle(dc.RetryDue())
        waits += [a.delay_ms for a in actions if isinstance(a, dc.StartTimer)]
        assert sum(isinstance(a, dc.QueryEpoch) for a in actions) == 8
    assert max(waits) <= 1.5 * dc.RETRY_MAX_MS and waits[-1] > waits[0]


# ---- Routing ----------------------------------------------------------------------------------------------
CLAIM = rc.Claim("d1", 7, BOX, "d1.7-1-0", 1000, "b0#1")


def routes(gone: bool = False, there: bool = True, successor: str = "d2") -> rt.Routes:
    return rt.Routes("d0", 1, lambda n: gone, lambda n: there, lambda of, box: successor, 50)


def test_a_request_is_forwarded_to_the_owner_or_after_its_death_to_the_successor() -> None:
    assert routes().handle(rt.RouteRequested(1, CLAIM)) == [rt.Forward(1, "d1")]
    assert routes(gone=True).handle(rt.RouteRequested(1, CLAIM)) == [rt.Forward(1, "d2")]
    assert routes(gone=True, successor="d0").handle(rt.RouteRequested(1, CLAIM)) == [rt.QueryBox(1, CLAIM)]


def test_a_request_is_forwarded_once_at_most() -> None:
    (tell,) = routes().handle(rt.RouteRequested(1, CLAIM, forwarded=True))
    assert isinstance(tell, rt.Resolved) and tell.outcome is rt.RouteOutcome.NOT_HERE


def test_an_unreachable_owner_means_come_back_after_random_times() -> None:
    made = routes()
    waits = set()
    for number in range(50):
        made.handle(rt.RouteRequested(number, CLAIM))
        (tell,) = made.handle(rt.ForwardFailed(number))
        assert isinstance(tell, rt.Resolved) and tell.outcome is rt.RouteOutcome.COME_BACK
        waits.add(round(tell.come_back_ms))
    assert len(waits) > 40 and min(waits) >= rt.COME_BACK_MIN_MS and max(waits) <= rt.COME_BACK_MAX_MS
    assert len(made) == 0


@pytest.mark.parametrize(
    "became, since, boot, verdict",
    [
        ("yours", 0, "b0#1", rt.RouteOutcome.SHOW),
        ("ended", 0, "b0#1", rt.RouteOutcome.PLAYED),
        ("never", 0, "b0#1", rt.RouteOutcome.OPEN),
        ("never", 0, "b0#2", rt.RouteOutcome.FAILED),  # from another process of that box
        ("never", 900, "b0#1", rt.RouteOutcome.OPEN),
        ("never", 960, "b0#1", rt.RouteOutcome.FAILED),  # within the difference between clocks
        ("never", 5000, "b0#1", rt.RouteOutcome.FAILED),
    ],
)
def test_the_box_s_response_decides_the_outcome(
    became: str, since: int, boot: str, verdict: rt.RouteOutcome
) -> None:
    made = routes(gone=True, successor="d0")
    made.handle(rt.RouteRequested(1, CLAIM))
    (tell,) = made.handle(rt.BoxResponded(1, became, "", since, boot))
    assert isinstance(tell, rt.Resolved) and tell.outcome is verdict
    assert (tell.replaces == CLAIM) is (verdict is rt.RouteOutcome.OPEN)


def test_a_hint_alone_never_refuses_a_request() -> None:
    made = routes(gone=True, successor="d0")
    events: tuple[rt.Event, ...] = (
        rt.BoxResponded(0, "ended", "", 0, "b0#1"),
        rt.BoxFailed(1, True),
        rt.BoxFailed(2),
    )
    for number, event in enumerate(events):
        made.handle(rt.RouteRequested(number, CLAIM, hint=True))
        (tell,) = made.handle(event)
        assert isinstance(tell, rt.Resolved)
        assert tell.outcome is rt.RouteOutcome.OPEN and tell.replaces is None


def test_if_the_box_is_gone_the_set_up_may_have_run() -> None:
    made = routes(gone=True, successor="d0")
    made.handle(rt.RouteRequested(1, CLAIM))
    (tell,) = made.handle(rt.BoxFailed(1, gone=True))
    assert isinstance(tell, rt.Resolved) and tell.outcome is rt.RouteOutcome.FAILED


def test_routed_requests_are_bounded_and_removed_when_their_viewers_leave() -> None:
    made = routes()
    for number in range(rt.MAX_REQUESTS + 5):
        made.handle(rt.RouteRequested(number, CLAIM))
    assert len(made) == rt.MAX_REQUESTS
    for number in range(rt.MAX_REQUESTS):
        made.handle(rt.ViewerLeft(number))
    assert len(made) == 0
