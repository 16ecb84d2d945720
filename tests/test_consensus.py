"""Consensus proposer: one value is decided under every schedule, and each safety rule is shown to be needed.

The failure guarded against: two proposers are both told that their value is decided. It would come about if a
replica answered before its disk, accepted a lower ballot or forgot a promise, if a proposer ignored accepted
values, or if less than a majority were enough.
"""

from __future__ import annotations

import copy
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from consensus_world import EXPIRES, LEEWAY, LONGEST, NOW, Disk, World

from foxlift.consensus import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Proposer,
    Reject,
    Replica,
    replicas_of,
)
from foxlift.consensus import register as rg
from foxlift.consensus import replica as rp

SCHEDULES = 20_000
KEY = "token"


def play(world: World, most: int = 400) -> World:
    """Proposers change the register again and again, under random faults."""
    for k in range(world.proposer_count):
        world.want(k, f"c{k}")
    for _ in range(most):
        if world.random.random() < 0.03 and world.numbers < 60:
            k = world.random.randrange(world.proposer_count)
            world.want(k, f"c{k}")
        if not world.step():
            break
    return world


@pytest.mark.parametrize("part", range(8))
def test_one_value_is_decided_in_twenty_thousand_random_schedules(part: int) -> None:
    """Seeds 0 to 19,999: messages reordered, lost, duplicated; replicas and proposers restarted."""
    ends: Counter[str] = Counter()
    for seed in range(part * SCHEDULES // 8, (part + 1) * SCHEDULES // 8):
        world = play(World(seed, proposer_count=2 + seed % 2), 150)
        decided = world.decided()
        assert len(decided) <= 1, f"seed {seed}: {sorted(decided)}"
        ends["decided" if decided else "undecided"] += 1
        ends["no quorum"] += any(isinstance(what, rg.NoQuorum) for _, _, what in world.results)
    assert ends["decided"] > SCHEDULES / 24 and ends["no quorum"]


def broken(world: type[World], made: dict[str, Any]) -> bool:
    return any(len(play(world(seed, 3, **made), 250).decided()) > 1 for seed in range(3000))


class RespondsBeforeStored(World):
    """Replicas respond before the record is on the disk."""

    def _replica_does(self, k, proposer, value, send, replica, action):  # type: ignore[no-untyped-def]
        if isinstance(action, rp.Store):
            for more in replica.handle(NOW, rp.Stored(action.request)):
                super()._replica_does(k, proposer, value, send, replica, more)
            return
        super()._replica_does(k, proposer, value, send, replica, action)


class AcceptsLowerBallots(Replica):
    """Answers a ballot below the promised one."""

    def _request(self, now, request, message):  # type: ignore[no-untyped-def]
        known = self.records.get(message.key)
        if known is not None and message.ballot < known.promised:
            self.records[message.key] = rp.Record(
                known.key, known.expires, message.ballot, known.accepted, known.value
            )
        return super()._request(now, request, message)


class IgnoresAcceptedValues(Proposer):
    """Writes its own value whatever was accepted before."""

    def _write(self, number, change):  # type: ignore[no-untyped-def]
        change.promises = {name: Promise(p.key, p.ballot) for name, p in change.promises.items()}
        return super()._write(number, change)


class AcceptsAnyMinority(Proposer):
    """One replica counts as a majority."""

    def _majority(self, change, names):  # type: ignore[no-untyped-def]
        return len(names) >= 1


@pytest.mark.parametrize(
    ("world", "made"),
    [
        (RespondsBeforeStored, {}),
        (World, {"make_replica": AcceptsLowerBallots}),
        (World, {"make_proposer": IgnoresAcceptedValues}),
        (World, {"make_proposer": AcceptsAnyMinority}),
    ],
)
def test_without_each_safety_rule_two_values_are_decided(world: type[World], made: dict[str, Any]) -> None:
    assert broken(world, made)


def test_one_value_is_decided_in_every_message_order_of_a_small_world() -> None:
    """Two proposers, three replicas, one attempt each: every order of every message, depth first.

    A lost message is one that never arrives, so each prefix of an order covers its losses. The replicas'
    responses arrive at once; a proposer that finds a higher ballot stops.
    """
    names = ("x", "y", "z")
    seen: set[tuple[object, ...]] = set()
    outcomes: Counter[frozenset[str]] = Counter()
    transitions = 0

    class Small:
        """The states of two proposers and three replicas, and the messages in flight."""

        def __init__(self) -> None:
            self.replicas = {name: Replica(LONGEST, LEEWAY) for name in names}
            self.proposers = [Proposer(f"c{k}", 1) for k in range(2)]
            self.pending: dict[tuple[int, str, str], rg.Send] = {}
            self.decided: frozenset[str] = frozenset()
            for k, proposer in enumerate(self.proposers):
                change = rg.Change(1, KEY, names, f"c{k}", EXPIRES, 500.0)
                self.does(k, proposer.handle(0.0, change))

        def does(self, k: int, actions: list[rg.Action]) -> None:
            for action in actions:
                if isinstance(action, rg.Send):
                    self.pending[k, action.to, type(action.message).__name__] = action
                elif isinstance(action, rg.Decided):
                    self.decided |= {action.value}

        def copy(self) -> Small:
            made = Small.__new__(Small)
            made.replicas = {name: replace(h, records=dict(h.records)) for name, h in self.replicas.items()}
            made.proposers = [copy.copy(proposer) for proposer in self.proposers]
            for proposer in made.proposers:
                proposer._pending = dict(proposer._pending)
                proposer._changes = {
                    number: replace(
                        c, promises=dict(c.promises), accepted_by=set(c.accepted_by), failed=set(c.failed)
                    )
                    for number, c in proposer._changes.items()
                }
            made.pending, made.decided = dict(self.pending), self.decided
            return made

        def mark(self) -> tuple[object, ...]:
            held = tuple(tuple(h.records.values()) for h in self.replicas.values())
            changes = tuple(
                (
                    c.state,
                    c.ballot,
                    frozenset(c.promises.values()),
                    frozenset(c.accepted_by | c.failed),
                    c.value,
                )
                for proposer in self.proposers
                for c in proposer._changes.values()
            )
            requests = tuple(frozenset(proposer._pending) for proposer in self.proposers)
            return held, changes, requests, frozenset(self.pending), self.decided

        def deliver(self, key: tuple[int, str, str]) -> None:
            send, proposer = self.pending.pop(key), self.proposers[key[0]]
            replica = self.replicas[send.to]
            actions = replica.handle(NOW, rp.RequestReceived(1, send.message))
            if isinstance(actions[0], rp.Store):
                actions = replica.handle(NOW, rp.Stored(1))
            [reply] = actions
            assert isinstance(reply, rp.Reply)
            self.does(key[0], proposer.handle(NOW, rg.ResponseReceived(send.request_id, reply.message)))

    stack = [Small()]
    while stack:
        world = stack.pop()
        assert len(world.decided) <= 1
        outcomes[world.decided] += 1
        for key in world.pending:
            gives_up = key[0] == 0 and key[2] == "Accept"  # it may give up on a message in flight
            for waited_for in (True, False) if gives_up else (True,):
                after = world.copy()
                if waited_for:
                    after.deliver(key)
                else:
                    nobody = rg.RequestFailed(world.pending[key].request_id)
                    after.does(key[0], after.proposers[key[0]].handle(1.0, nobody))
                transitions += 1
                mark = after.mark()
                if mark not in seen:
                    seen.add(mark)
                    stack.append(after)
    print(f"{len(seen)} states, {transitions} transitions")
    assert len(seen) > 1000
    assert set(outcomes) == {frozenset(), frozenset({"c0"}), frozenset({"c1"})}


# ---- One replica -------------------------------------------------------------------------------------------
def replica(**made: object) -> Replica:
    return Replica(LONGEST, LEEWAY, **made)  # type: ignore[arg-type]


def test_a_replica_responds_only_for_what_is_stored_and_not_after_a_failed_write() -> None:
    made = replica()
    ask = Prepare(KEY, Ballot(1, "a"), EXPIRES)
    [store] = made.handle(NOW, rp.RequestReceived(1, ask))
    assert isinstance(store, rp.Store) and store.record.promised == ask.ballot
    assert made.handle(NOW, rp.Stored(1)) == [rp.Reply(1, Promise(KEY, ask.ballot))]
    made.handle(NOW, rp.RequestReceived(2, Accept(KEY, Ballot(1, "a"), EXPIRES, "v")))
    assert made.handle(NOW, rp.StoreFailed(2)) == [] == made.handle(NOW, rp.Stored(2))
    [late] = made.handle(NOW, rp.RequestReceived(3, Prepare(KEY, Ballot(0, "z"), EXPIRES)))
    assert late == rp.Reply(3, Reject(KEY, Ballot(0, "z"), Ballot(1, "a")))


def test_a_replica_with_a_lost_disk_answers_only_for_keys_newer_than_the_loss() -> None:
    made = replica(disk_lost_at=NOW)
    old = Prepare(KEY, Ballot(1, "a"), NOW + LONGEST)
    assert made.handle(NOW, rp.RequestReceived(1, old)) == [rp.Reply(1, Reject(KEY, old.ballot))]
    later = NOW + 2 * LEEWAY
    young = Prepare(KEY, Ballot(1, "a"), NOW + LONGEST + LEEWAY + 1)
    assert isinstance(made.handle(later, rp.RequestReceived(2, young))[0], rp.Store)


def test_one_lost_disk_causes_rejections_but_never_a_second_decision() -> None:
    for seed in range(1500):
        world = World(seed, 3)
        for k in range(3):
            world.want(k, f"c{k}")
        lost = False
        for _ in range(200):
            if not lost and world.random.random() < 0.02:
                world.lose_disk(world.random.choice(world.names))
                lost = True
            if world.random.random() < 0.05 and world.numbers < 60:
                k = world.random.randrange(3)
                world.want(k, f"c{k}")
            if not world.step():
                break
        assert len(world.decided()) <= 1, f"seed {seed}"


def test_without_that_rule_lost_disks_cause_a_second_decision() -> None:
    class NoLossRule(Replica):
        def _can_answer(self, now, message, known):  # type: ignore[no-untyped-def]
            return True

    def decides_twice(seed: int, make: type[Replica]) -> bool:
        world = World(seed, 2, make_replica=make, loss=0.0)
        world.want(0, "c0")
        while not world.results and world.step():
            pass
        world.lose_disk(world.names[0])
        world.lose_disk(world.names[1])
        world.want(1, "c1")
        for _ in range(60):
            world.step()
        return len(world.decided()) > 1

    assert any(decides_twice(seed, NoLossRule) for seed in range(50))
    assert not any(decides_twice(seed, Replica) for seed in range(50))


@pytest.mark.parametrize(
    ("now", "expires", "is_answered"),
    [
        (NOW, NOW + 1, True),
        (NOW, NOW - LEEWAY + 1, True),  # a proposer's clock may be behind
        (NOW, NOW - LEEWAY, False),
        (NOW, NOW + LONGEST + LEEWAY, True),
        (NOW, NOW + LONGEST + LEEWAY + 1, False),  # no token lives that long
    ],
)
def test_keys_that_have_ended_or_live_too_long_are_rejected(
    now: int, expires: int, is_answered: bool
) -> None:
    [action] = replica().handle(now, rp.RequestReceived(1, Prepare(KEY, Ballot(1, "a"), expires)))
    assert isinstance(action, rp.Store) == is_answered


def test_expired_keys_are_deleted_and_not_accepted_again() -> None:
    made = replica()
    made.handle(NOW, rp.RequestReceived(1, Accept(KEY, Ballot(1, "a"), NOW + 10, "v")))
    made.handle(NOW, rp.Stored(1))
    assert made.records
    later = NOW + 10 + 2 * LEEWAY + 1
    [answer] = made.handle(later, rp.RequestReceived(2, Prepare(KEY, Ballot(9, "b"), NOW + 10)))
    assert not made.records and answer == rp.Reply(2, Reject(KEY, Ballot(9, "b")))


def test_a_request_for_a_known_key_with_another_end_is_rejected() -> None:
    made = replica()
    made.handle(NOW, rp.RequestReceived(1, Accept(KEY, Ballot(1, "a"), EXPIRES, "v")))
    [answer] = made.handle(NOW, rp.RequestReceived(2, Prepare(KEY, Ballot(2, "b"), EXPIRES + 1)))
    assert answer == rp.Reply(2, Reject(KEY, Ballot(2, "b")))


# ---- One proposer -----------------------------------------------------------------------------------------
def claim(proposer: Proposer, **more: object) -> list[rg.Send]:
    change = rg.Change(1, KEY, ("x", "y", "z"), "mine", EXPIRES, 500.0, **more)  # type: ignore[arg-type]
    return [a for a in proposer.handle(0.0, change) if isinstance(a, rg.Send)]


def test_without_a_majority_a_change_ends_with_no_quorum_at_once_or_at_its_deadline() -> None:
    proposer = Proposer("c", 1)
    requests = claim(proposer)
    assert proposer.handle(1.0, rg.RequestFailed(requests[0].request_id)) == []
    assert proposer.handle(1.0, rg.RequestFailed(requests[1].request_id)) == [rg.NoQuorum(1)]
    assert not proposer and proposer.handle(1.0, rg.DeadlineDue(1)) == []
    claim(proposer)
    assert proposer.handle(501.0, rg.DeadlineDue(1)) == [rg.NoQuorum(1)]


def test_a_value_found_at_a_replica_is_written_again_and_reported() -> None:
    proposer = Proposer("c", 1)
    requests = claim(proposer)
    ballot = requests[0].message.ballot
    proposer.handle(
        1.0, rg.ResponseReceived(requests[0].request_id, Promise(KEY, ballot, Ballot(0, "o"), "other"))
    )
    writes = proposer.handle(1.0, rg.ResponseReceived(requests[1].request_id, Promise(KEY, ballot)))
    again = Accept(KEY, ballot, EXPIRES, "other")
    assert [w.message for w in writes if isinstance(w, rg.Send)] == [again] * 3
    sends = [w for w in writes if isinstance(w, rg.Send)]
    assert proposer.handle(1.0, rg.ResponseReceived(sends[0].request_id, Accepted(KEY, ballot))) == []
    assert (
        proposer.handle(1.0, rg.ResponseReceived(sends[0].request_id, Accepted(KEY, ballot))) == []
    )  # a duplicate
    assert proposer.handle(1.0, rg.ResponseReceived(sends[2].request_id, Accepted(KEY, ballot))) == [
        rg.Decided(1, "other")
    ]


def test_a_value_is_replaced_only_if_it_is_the_expected_one() -> None:
    for held, expected, written in (("a", "a", "mine"), ("b", "a", "b"), ("b", None, "b")):
        proposer = Proposer("c", 1)
        requests = claim(proposer, expected=expected)
        ballot = requests[0].message.ballot
        promise = Promise(KEY, ballot, Ballot(0, "o"), held)
        proposer.handle(1.0, rg.ResponseReceived(requests[0].request_id, promise))
        writes = proposer.handle(1.0, rg.ResponseReceived(requests[2].request_id, promise))
        assert {w.message.value for w in writes if isinstance(w, rg.Send)} == {written}  # type: ignore[union-attr]


def test_competing_proposers_back_off_for_random_times() -> None:
    """Without random back-offs two proposers could outbid each other until both reach their deadlines."""
    proposer = Proposer("c", 1)
    requests = claim(proposer)
    seen = Ballot(7, "o")
    [again] = proposer.handle(
        1.0, rg.ResponseReceived(requests[0].request_id, Reject(KEY, requests[0].message.ballot, seen))
    )
    assert isinstance(again, rg.StartTimer) and rg.RETRY_MIN_MS / 2 <= again.delay_ms <= rg.RETRY_MAX_MS
    next_asks = proposer.handle(30.0, again.event)
    assert all(a.message.ballot > seen for a in next_asks if isinstance(a, rg.Send))
    assert (
        len(proposer._pending) == 2 + 3
    )  # two of the former round are still pending; their responses are ignored


def test_the_number_of_changes_in_progress_is_bounded() -> None:
    proposer = Proposer("c", 1)
    change = rg.Change(0, KEY, ("x",), "v", EXPIRES, 500.0)
    for number in range(rg.MAX_CHANGES):
        proposer.handle(0.0, rg.Change(number, KEY, ("x",), "v", EXPIRES, 500.0))
    assert proposer.handle(0.0, rg.Change(-1, KEY, ("x",), "v", EXPIRES, 500.0)) == [rg.NoQuorum(-1)]
    assert proposer.handle(0.0, change) == [rg.NoQuorum(0)]  # a number that is in use


# ---- Placement of replicas --------------------------------------------------------------------------------
def test_replicas_are_the_same_everywhere_evenly_spread_and_rarely_move() -> None:
    names = [f"d{k}" for k in range(9)]
    held: Counter[str] = Counter()
    for k in range(3000):
        three = replicas_of(f"t{k}", names)
        assert three == replicas_of(f"t{k}", reversed(names)) and len(set(three)) == 3
        held.update(three)
        fewer = replicas_of(f"t{k}", names[:-1])
        assert "d8" in three or fewer == three
    assert all(800 < held[name] < 1200 for name in names)
    assert replicas_of("token-1", names) == ("d8", "d4", "d5")  # placement must not change between versions
    assert replicas_of("x", ["a", "b"]) in (("a", "b"), ("b", "a"))


@pytest.mark.parametrize("bound", ["MAX_KEYS", "MAX_WAITING"])
def test_a_replica_s_tables_are_bounded_and_excess_requests_are_rejected(
    bound: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rp, bound, 2)
    made = replica()
    ballot = Ballot(1, "a")
    asked = [made.handle(NOW, rp.RequestReceived(k, Prepare(f"k{k}", ballot, EXPIRES))) for k in range(3)]
    assert [isinstance(actions[0], rp.Store) for actions in asked] == [True, True, False]
    assert asked[2] == [rp.Reply(2, Reject("k2", ballot))]
    if bound == "MAX_WAITING":  # after the write it answers again
        made.handle(NOW, rp.Stored(0))
        assert isinstance(
            made.handle(NOW, rp.RequestReceived(3, Prepare("k2", ballot, EXPIRES)))[0], rp.Store
        )


# ---- Another number of directors --------------------------------------------------------------------------
class Changing(World):
    """Three replicas before, three after, one of them in both; proposers know one group or both."""

    knows: tuple[str, str] = ("old", "both")

    def __post_init__(self) -> None:
        super().__post_init__()
        self.names = tuple(f"h{k}" for k in range(5))
        self.disks = {name: Disk() for name in self.names}
        self.replicas = {name: self._replica(name) for name in self.names}

    def want(self, k: int, value: str, expected: str | None = None) -> None:
        self.numbers += 1
        old, new = self.names[:3], self.names[2:]
        replicas, former = {"old": (old, ()), "new": (new, ()), "both": (new, old)}[self.knows[k]]
        change = rg.Change(self.numbers, self.key, replicas, value, EXPIRES, 1000.0, expected, former)
        self._carry_out(k, self.proposers[k], value, self.proposers[k].handle(NOW, change))


class FromBoth(Changing):
    """The first proposer knows both groups of replicas, the second only the new one."""

    knows = ("both", "new")


class AtOnce(Changing):
    """The first proposer knows only the old group of replicas, the second only the new one."""

    knows = ("old", "new")


@pytest.mark.parametrize("world", [Changing, FromBoth])
def test_proposers_that_know_different_fleets_decide_one_value(world: type[World]) -> None:
    decided: Counter[int] = Counter()
    for seed in range(2000):
        found = play(world(seed), 250).decided()
        assert len(found) <= 1, f"seed {seed}: {sorted(found)}"
        decided[len(found)] += 1
    assert decided[1] > 500


def test_without_the_former_replicas_two_values_are_decided() -> None:
    assert any(len(play(AtOnce(seed), 250).decided()) > 1 for seed in range(200))


def test_a_replica_rejects_a_value_longer_than_its_own_limit() -> None:
    """Other proposer may hold longer values, up to the limit of the messages."""
    ballot = Ballot(1, "a")
    made = Replica(10_000, 0)
    for length, is_accepted in ((rp.MAX_VALUE_CHARS, True), (rp.MAX_VALUE_CHARS + 1, False)):
        key = f"t/{length}"
        actions = made.handle(0.0, rp.RequestReceived(1, Accept(key, ballot, 5000, "x" * length)))
        assert [type(action) for action in actions] == [rp.Store if is_accepted else rp.Reply]
