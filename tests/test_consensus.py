"""Proposer of three replicas: one value decided, whatever happens; every guard shown to be needed."""

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
    """Claimants want the token, again and again, while anything happens."""
    for k in range(world.claimants):
        world.want(k, f"c{k}")
    for _ in range(most):
        if world.random.random() < 0.03 and world.numbers < 60:
            k = world.random.randrange(world.claimants)
            world.want(k, f"c{k}")
        if not world.step():
            break
    return world


@pytest.mark.parametrize("part", range(8))
def test_one_value_in_twenty_thousand_schedules(part: int) -> None:
    """Seeds 0 to 19,999: messages in any order, lost, doubled; replicas and claimants killed."""
    ends: Counter[str] = Counter()
    for seed in range(part * SCHEDULES // 8, (part + 1) * SCHEDULES // 8):
        world = play(World(seed, claimants=2 + seed % 2), 150)
        decided = world.decided()
        assert len(decided) <= 1, f"seed {seed}: {sorted(decided)}"
        ends["decided" if decided else "nothing told"] += 1
        ends["unreached"] += any(isinstance(what, rg.NoQuorum) for _, _, what in world.told)
    assert ends["decided"] > SCHEDULES / 24 and ends["unreached"]


def broken(world: type[World], made: dict[str, Any]) -> bool:
    return any(len(play(world(seed, 3, **made), 250).decided()) > 1 for seed in range(3000))


class Forgetful(World):
    """Its replicas answer before the disk has it."""

    def _replica_does(self, k, registers, value, send, replica, action):  # type: ignore[no-untyped-def]
        if isinstance(action, rp.Store):
            for more in replica.handle(NOW, rp.Stored(action.request)):
                super()._replica_does(k, registers, value, send, replica, more)
            return
        super()._replica_does(k, registers, value, send, replica, action)


class Lax(Replica):
    """Lets a lower ballot pass."""

    def _request(self, now, request, message):  # type: ignore[no-untyped-def]
        known = self.records.get(message.key)
        if known is not None and message.ballot < known.promised:
            self.records[message.key] = rp.Record(
                known.key, known.expires, message.ballot, known.accepted, known.value
            )
        return super()._request(now, request, message)


class Deaf(Proposer):
    """Writes its own value whatever was taken before."""

    def _write(self, number, change):  # type: ignore[no-untyped-def]
        change.promises = {name: Promise(p.key, p.ballot) for name, p in change.promises.items()}
        return super()._write(number, change)


class Minority(Proposer):
    """One replica is enough for it."""

    def _majority(self, change, names):  # type: ignore[no-untyped-def]
        return len(names) >= 1


@pytest.mark.parametrize(
    ("world", "made"),
    [
        (Forgetful, {}),
        (World, {"make_replica": Lax}),
        (World, {"make_registers": Deaf}),
        (World, {"make_registers": Minority}),
    ],
)
def test_each_guard_switched_off_lets_two_be_decided(world: type[World], made: dict[str, Any]) -> None:
    assert broken(world, made)


def test_every_order_of_a_small_world() -> None:
    """Two claimants, three replicas, one try each: every order of every message, depth first.

    A loss is a message that never comes, so each prefix of an order stands for its losses. The replicas'
    answers come at once; a claimant that meets a higher ballot goes no further.
    """
    names = ("x", "y", "z")
    seen: set[tuple[object, ...]] = set()
    outcomes: Counter[frozenset[str]] = Counter()
    transitions = 0

    class Small:
        """Two claimants' and three replicas' states, and the messages that are out."""

        def __init__(self) -> None:
            self.replicas = {name: Replica(LONGEST, LEEWAY) for name in names}
            self.registers = [Proposer(f"c{k}", 1) for k in range(2)]
            self.pending: dict[tuple[int, str, str], rg.Send] = {}
            self.decided: frozenset[str] = frozenset()
            for k, registers in enumerate(self.registers):
                change = rg.Change(1, KEY, names, f"c{k}", EXPIRES, 500.0)
                self.does(k, registers.handle(0.0, change))

        def does(self, k: int, actions: list[rg.Action]) -> None:
            for action in actions:
                if isinstance(action, rg.Send):
                    self.pending[k, action.to, type(action.message).__name__] = action
                elif isinstance(action, rg.Decided):
                    self.decided |= {action.value}

        def copy(self) -> Small:
            made = Small.__new__(Small)
            made.replicas = {name: replace(h, records=dict(h.records)) for name, h in self.replicas.items()}
            made.registers = [copy.copy(registers) for registers in self.registers]
            for registers in made.registers:
                registers._pending = dict(registers._pending)
                registers._changes = {
                    number: replace(
                        c, promises=dict(c.promises), accepted_by=set(c.accepted_by), failed=set(c.failed)
                    )
                    for number, c in registers._changes.items()
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
                for registers in self.registers
                for c in registers._changes.values()
            )
            asks = tuple(frozenset(registers._pending) for registers in self.registers)
            return held, changes, asks, frozenset(self.pending), self.decided

        def deliver(self, key: tuple[int, str, str]) -> None:
            send, registers = self.pending.pop(key), self.registers[key[0]]
            replica = self.replicas[send.to]
            actions = replica.handle(NOW, rp.RequestReceived(1, send.message))
            if isinstance(actions[0], rp.Store):
                actions = replica.handle(NOW, rp.Stored(1))
            [reply] = actions
            assert isinstance(reply, rp.Reply)
            self.does(key[0], registers.handle(NOW, rg.ResponseReceived(send.request_id, reply.message)))

    stack = [Small()]
    while stack:
        world = stack.pop()
        assert len(world.decided) <= 1
        outcomes[world.decided] += 1
        for key in world.pending:
            gives_up = key[0] == 0 and key[2] == "Accept"  # one may stop waiting for what arrives yet
            for waited_for in (True, False) if gives_up else (True,):
                after = world.copy()
                if waited_for:
                    after.deliver(key)
                else:
                    nobody = rg.RequestFailed(world.pending[key].request_id)
                    after.does(key[0], after.registers[key[0]].handle(1.0, nobody))
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


def test_a_replica_answers_only_what_lasts_and_nothing_where_the_disk_failed() -> None:
    made = replica()
    ask = Prepare(KEY, Ballot(1, "a"), EXPIRES)
    [store] = made.handle(NOW, rp.RequestReceived(1, ask))
    assert isinstance(store, rp.Store) and store.record.promised == ask.ballot
    assert made.handle(NOW, rp.Stored(1)) == [rp.Reply(1, Promise(KEY, ask.ballot))]
    made.handle(NOW, rp.RequestReceived(2, Accept(KEY, Ballot(1, "a"), EXPIRES, "v")))
    assert made.handle(NOW, rp.StoreFailed(2)) == [] == made.handle(NOW, rp.Stored(2))
    [late] = made.handle(NOW, rp.RequestReceived(3, Prepare(KEY, Ballot(0, "z"), EXPIRES)))
    assert late == rp.Reply(3, Reject(KEY, Ballot(0, "z"), Ballot(1, "a")))


def test_a_lost_disk_vouches_only_for_what_it_can_never_have_held() -> None:
    made = replica(disk_lost_at=NOW)
    old = Prepare(KEY, Ballot(1, "a"), NOW + LONGEST)
    assert made.handle(NOW, rp.RequestReceived(1, old)) == [rp.Reply(1, Reject(KEY, old.ballot))]
    later = NOW + 2 * LEEWAY
    young = Prepare(KEY, Ballot(1, "a"), NOW + LONGEST + LEEWAY + 1)
    assert isinstance(made.handle(later, rp.RequestReceived(2, young))[0], rp.Store)


def test_one_lost_disk_costs_refusals_and_never_a_second_claim() -> None:
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


def test_without_that_guard_a_lost_disk_is_a_second_claim() -> None:
    class Sure(Replica):
        def _can_answer(self, now, message, known):  # type: ignore[no-untyped-def]
            return True

    def doubled(seed: int, make: type[Replica]) -> bool:
        world = World(seed, 2, make_replica=make, loss=0.0)
        world.want(0, "c0")
        while not world.told and world.step():
            pass
        world.lose_disk(world.names[0])
        world.lose_disk(world.names[1])
        world.want(1, "c1")
        for _ in range(60):
            world.step()
        return len(world.decided()) > 1

    assert any(doubled(seed, Sure) for seed in range(50))
    assert not any(doubled(seed, Replica) for seed in range(50))


@pytest.mark.parametrize(
    ("now", "expires", "vouched"),
    [
        (NOW, NOW + 1, True),
        (NOW, NOW - LEEWAY + 1, True),  # a claimant's clock may be behind
        (NOW, NOW - LEEWAY, False),
        (NOW, NOW + LONGEST + LEEWAY, True),
        (NOW, NOW + LONGEST + LEEWAY + 1, False),  # it would be kept for longer than any token lives
    ],
)
def test_keys_past_their_end_or_too_long_are_not_vouched_for(now: int, expires: int, vouched: bool) -> None:
    [action] = replica().handle(now, rp.RequestReceived(1, Prepare(KEY, Ballot(1, "a"), expires)))
    assert isinstance(action, rp.Store) == vouched


def test_what_ended_is_forgotten_and_cannot_come_back() -> None:
    made = replica()
    made.handle(NOW, rp.RequestReceived(1, Accept(KEY, Ballot(1, "a"), NOW + 10, "v")))
    made.handle(NOW, rp.Stored(1))
    assert made.records
    later = NOW + 10 + 2 * LEEWAY + 1
    [answer] = made.handle(later, rp.RequestReceived(2, Prepare(KEY, Ballot(9, "b"), NOW + 10)))
    assert not made.records and answer == rp.Reply(2, Reject(KEY, Ballot(9, "b")))


def test_a_key_with_another_end_is_not_the_key_that_is_known() -> None:
    made = replica()
    made.handle(NOW, rp.RequestReceived(1, Accept(KEY, Ballot(1, "a"), EXPIRES, "v")))
    [answer] = made.handle(NOW, rp.RequestReceived(2, Prepare(KEY, Ballot(2, "b"), EXPIRES + 1)))
    assert answer == rp.Reply(2, Reject(KEY, Ballot(2, "b")))


# ---- One claimant -----------------------------------------------------------------------------------------
def claim(registers: Proposer, **more: object) -> list[rg.Send]:
    change = rg.Change(1, KEY, ("x", "y", "z"), "mine", EXPIRES, 500.0, **more)  # type: ignore[arg-type]
    return [a for a in registers.handle(0.0, change) if isinstance(a, rg.Send)]


def test_without_two_replicas_a_claim_is_unreached_at_once_and_at_its_deadline() -> None:
    registers = Proposer("c", 1)
    asks = claim(registers)
    assert registers.handle(1.0, rg.RequestFailed(asks[0].request_id)) == []
    assert registers.handle(1.0, rg.RequestFailed(asks[1].request_id)) == [rg.NoQuorum(1)]
    assert not registers and registers.handle(1.0, rg.DeadlineDue(1)) == []
    claim(registers)
    assert registers.handle(501.0, rg.DeadlineDue(1)) == [rg.NoQuorum(1)]


def test_what_another_holds_is_written_again_and_told() -> None:
    registers = Proposer("c", 1)
    asks = claim(registers)
    ballot = asks[0].message.ballot
    registers.handle(
        1.0, rg.ResponseReceived(asks[0].request_id, Promise(KEY, ballot, Ballot(0, "o"), "other"))
    )
    writes = registers.handle(1.0, rg.ResponseReceived(asks[1].request_id, Promise(KEY, ballot)))
    again = Accept(KEY, ballot, EXPIRES, "other")
    assert [w.message for w in writes if isinstance(w, rg.Send)] == [again] * 3
    sends = [w for w in writes if isinstance(w, rg.Send)]
    assert registers.handle(1.0, rg.ResponseReceived(sends[0].request_id, Accepted(KEY, ballot))) == []
    assert (
        registers.handle(1.0, rg.ResponseReceived(sends[0].request_id, Accepted(KEY, ballot))) == []
    )  # the same one twice
    assert registers.handle(1.0, rg.ResponseReceived(sends[2].request_id, Accepted(KEY, ballot))) == [
        rg.Decided(1, "other")
    ]


def test_a_value_is_replaced_only_where_it_is_the_expected_one() -> None:
    for held, expected, written in (("a", "a", "mine"), ("b", "a", "b"), ("b", None, "b")):
        registers = Proposer("c", 1)
        asks = claim(registers, expected=expected)
        ballot = asks[0].message.ballot
        promise = Promise(KEY, ballot, Ballot(0, "o"), held)
        registers.handle(1.0, rg.ResponseReceived(asks[0].request_id, promise))
        writes = registers.handle(1.0, rg.ResponseReceived(asks[2].request_id, promise))
        assert {w.message.value for w in writes if isinstance(w, rg.Send)} == {written}  # type: ignore[union-attr]


def test_two_that_meet_wait_apart_and_one_of_them_wins_soon() -> None:
    """Against each other for good they would both run out of time: the waits differ by the seed and grow."""
    registers = Proposer("c", 1)
    asks = claim(registers)
    seen = Ballot(7, "o")
    [again] = registers.handle(
        1.0, rg.ResponseReceived(asks[0].request_id, Reject(KEY, asks[0].message.ballot, seen))
    )
    assert isinstance(again, rg.StartTimer) and rg.RETRY_MIN_MS / 2 <= again.delay_ms <= rg.RETRY_MAX_MS
    next_asks = registers.handle(30.0, again.event)
    assert all(a.message.ballot > seen for a in next_asks if isinstance(a, rg.Send))
    assert len(registers._pending) == 2 + 3  # of the turn before, two may still be answered; nobody listens


def test_claims_at_once_are_bounded() -> None:
    registers = Proposer("c", 1)
    change = rg.Change(0, KEY, ("x",), "v", EXPIRES, 500.0)
    for number in range(rg.MAX_CHANGES):
        registers.handle(0.0, rg.Change(number, KEY, ("x",), "v", EXPIRES, 500.0))
    assert registers.handle(0.0, rg.Change(-1, KEY, ("x",), "v", EXPIRES, 500.0)) == [rg.NoQuorum(-1)]
    assert registers.handle(0.0, change) == [rg.NoQuorum(0)]  # a number in use


# ---- Who holds --------------------------------------------------------------------------------------------
def test_replicas_are_the_same_everywhere_even_and_move_little() -> None:
    names = [f"d{k}" for k in range(9)]
    held: Counter[str] = Counter()
    for k in range(3000):
        three = replicas_of(f"t{k}", names)
        assert three == replicas_of(f"t{k}", reversed(names)) and len(set(three)) == 3
        held.update(three)
        fewer = replicas_of(f"t{k}", names[:-1])
        assert "d8" in three or fewer == three
    assert all(800 < held[name] < 1200 for name in names)
    assert replicas_of("token-1", names) == ("d8", "d4", "d5")  # a place that must not move between versions
    assert replicas_of("x", ["a", "b"]) in (("a", "b"), ("b", "a"))


@pytest.mark.parametrize("bound", ["MAX_KEYS", "MAX_WAITING"])
def test_a_replica_s_tables_are_bounded_and_what_is_over_is_not_vouched_for(
    bound: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rp, bound, 2)
    made = replica()
    ballot = Ballot(1, "a")
    asked = [made.handle(NOW, rp.RequestReceived(k, Prepare(f"k{k}", ballot, EXPIRES))) for k in range(3)]
    assert [isinstance(actions[0], rp.Store) for actions in asked] == [True, True, False]
    assert asked[2] == [rp.Reply(2, Reject("k2", ballot))]
    if bound == "MAX_WAITING":  # once the disk has caught up it vouches again
        made.handle(NOW, rp.Stored(0))
        assert isinstance(
            made.handle(NOW, rp.RequestReceived(3, Prepare("k2", ballot, EXPIRES)))[0], rp.Store
        )


# ---- Another number of directors --------------------------------------------------------------------------
class Changing(World):
    """Three replicas before, three after, one of them the same; claimants know one, the other or both."""

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
        self._do(k, self.registers[k], value, self.registers[k].handle(NOW, change))


class FromBoth(Changing):
    """The first claimant knows both sets of replicas, the second the new one alone."""

    knows = ("both", "new")


class AtOnce(Changing):
    """The first claimant knows the old set of replicas alone, the second the new one alone."""

    knows = ("old", "new")


@pytest.mark.parametrize("world", [Changing, FromBoth])
def test_two_directors_that_count_the_fleet_differently_claim_one_token_once(world: type[World]) -> None:
    decided: Counter[int] = Counter()
    for seed in range(2000):
        found = play(world(seed), 250).decided()
        assert len(found) <= 1, f"seed {seed}: {sorted(found)}"
        decided[len(found)] += 1
    assert decided[1] > 500


def test_without_the_former_replicas_both_would_claim_it() -> None:
    assert any(len(play(AtOnce(seed), 250).decided()) > 1 for seed in range(200))


def test_a_token_s_replica_takes_no_value_longer_than_its_own_bound() -> None:
    """Other registers may hold more: the bound of the messages is theirs."""
    ballot = Ballot(1, "a")
    made = Replica(10_000, 0)
    for length, is_taken in ((rp.MAX_VALUE_CHARS, True), (rp.MAX_VALUE_CHARS + 1, False)):
        key = f"t/{length}"
        actions = made.handle(0.0, rp.RequestReceived(1, Accept(key, ballot, 5000, "x" * length)))
        assert [type(action) for action in actions] == [rp.Store if is_taken else rp.Reply]
