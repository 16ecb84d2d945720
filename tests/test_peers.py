"""Membership in virtual time: deaths are detected, live directors are not believed dead, and the cost is
bounded.

The failures guarded against: a dead director that stays believed alive, or a live one believed dead, after
loss, delays, partitions, restarts, or while the observing director is slow itself.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from peers_world import Fleet

from foxlift import peers as pr
from foxlift.peers import view as vw
from foxlift.peers import view_messages
from foxlift.peers.messages import MAX_UPDATES, encode

ALIVE, SUSPECTED, DEAD, LEFT = (
    pr.PeerState.ALIVE,
    pr.PeerState.SUSPECTED,
    pr.PeerState.DEAD,
    pr.PeerState.LEFT,
)


def settled(fleet: Fleet) -> Fleet:
    fleet.run(60_000, lambda: all(fleet.all_believe(name, ALIVE) for name in fleet.names))
    assert all(fleet.all_believe(name, ALIVE) for name in fleet.names)
    return fleet


@pytest.mark.parametrize(("count", "seed"), [(2, 1), (9, 1), (9, 2), (9, 3), (60, 4)])
def test_directors_that_start_together_find_each_other_and_all_detect_a_death(count: int, seed: int) -> None:
    fleet = settled(Fleet(count, seed))
    fleet.kill("d1")
    begin = fleet.now
    took = fleet.run(60_000, lambda: fleet.all_believe("d1", DEAD)) - begin
    assert fleet.all_believe("d1", DEAD) and took < 25_000
    assert fleet.deaths() == {"d1"}


@pytest.mark.parametrize("seed", range(4))
def test_no_live_director_is_believed_dead_on_a_lossy_network(seed: int) -> None:
    fleet = settled(Fleet(9, seed, loss=0.1, duplicated=0.1))
    fleet.run(120_000)
    assert not fleet.deaths()


def test_a_stalled_director_learns_that_it_is_believed_dead_and_refutes_it() -> None:
    fleet = settled(Fleet(9))
    fleet.members["d3"].still_until = fleet.now + 30_000
    fleet.run(30_000)
    assert fleet.all_believe("d3", DEAD)
    fleet.run(30_000, lambda: fleet.all_believe("d3", ALIVE))
    assert fleet.all_believe("d3", ALIVE)
    assert fleet.deaths(fleet.now - 30_000 + 5_000) <= {"d3"}


def wrong_suspicions(make: type[pr.Peers], seed: int) -> int:
    """How often a slow director suspected others; all its messages are up to 350 ms late."""
    fleet = settled(Fleet(12, seed, make=make))
    fleet.members["d0"].slow_ms = 350.0
    fleet.run(90_000)
    return sum(1 for _, by, c in fleet.changes if c.state is SUSPECTED and by == "d0")


def test_a_director_that_is_slow_itself_suspects_others_less() -> None:
    class WithoutLocalHealth(pr.Peers):
        def _adjust_health(self, change: int) -> None:
            pass

    with_health = sum(wrong_suspicions(pr.Peers, seed) for seed in range(3))
    without = sum(wrong_suspicions(WithoutLocalHealth, seed) for seed in range(3))
    assert with_health * 2 < without


def test_in_a_partition_each_half_knows_whether_it_is_a_majority_and_it_heals() -> None:
    fleet = settled(Fleet(9))
    ones, others = set(fleet.names[:4]), set(fleet.names[4:])
    fleet.part(ones, others)
    fleet.run(60_000)
    for name, member in fleet.members.items():
        mine = ones if name in ones else others
        assert set(member.view.reachable()) == mine
        assert member.view.majority == (name in others)
    fleet.cut.clear()
    fleet.run(120_000, lambda: all(fleet.all_believe(name, ALIVE) for name in fleet.names))
    assert all(fleet.all_believe(name, ALIVE) for name in fleet.names)


def test_a_director_that_only_helpers_reach_is_not_believed_dead() -> None:
    fleet = settled(Fleet(9))
    fleet.part({"d0"}, {"d1"})  # each is reached through others
    fleet.run(60_000)
    assert not fleet.deaths()


def test_a_director_that_receives_but_cannot_send_is_believed_dead() -> None:
    fleet = settled(Fleet(9))
    fleet.part({"d2"}, set(fleet.names) - {"d2"}, both=False)
    fleet.run(60_000, lambda: fleet.all_believe("d2", DEAD))
    assert fleet.all_believe("d2", DEAD) and fleet.deaths() <= {"d2"}


def test_a_later_boot_epoch_takes_the_name_and_the_earlier_one_is_superseded() -> None:
    fleet = settled(Fleet(5))
    old = fleet.members["d1"]
    fleet.start("d1", 2)  # the old process still runs, but no message reaches it
    fleet.run(
        30_000, lambda: all(m.view.peers["d1"].boot_epoch == 2 for n, m in fleet.members.items() if n != "d1")
    )
    assert all(m.view.peers["d1"].boot_epoch == 2 for n, m in fleet.members.items() if n != "d1")
    late = pr.Ping("d1", 1, (pr.Update("d1", ALIVE, 1, 99), pr.Update("d2", DEAD, 1, 99)))
    actions = fleet.members["d2"].view.handle(fleet.now, pr.RequestReceived(1, late))
    assert not actions and fleet.members["d2"].view.peers["d1"].boot_epoch == 2
    newer = pr.Ping("d2", 1, (pr.Update("d1", ALIVE, 2, 0),))
    assert old.view.handle(fleet.now, pr.RequestReceived(1, newer)) == [pr.Superseded(2)]
    assert old.view.handle(fleet.now, pr.TimerDue(view_messages.NextProbe())) == []


def test_a_director_that_announces_its_leave_is_known_to_have_left_and_not_suspected() -> None:
    fleet = settled(Fleet(9))
    fleet._do("d4", fleet.members["d4"].view.handle(fleet.now, pr.Leave()))
    fleet.run(500)
    fleet.kill("d4")
    fleet.run(30_000, lambda: fleet.all_believe("d4", LEFT))
    assert fleet.all_believe("d4", LEFT) and not fleet.deaths()
    fleet.start("d4", 2)
    fleet.run(30_000, lambda: fleet.all_believe("d4", ALIVE))
    assert fleet.all_believe("d4", ALIVE)


def test_replayed_old_and_foreign_messages_change_nothing() -> None:
    fleet = settled(Fleet(5))
    fleet.kill("d1")
    fleet.run(60_000)
    view = fleet.members["d0"].view
    before = {name: (p.boot_epoch, p.incarnation, p.state) for name, p in view.peers.items()}
    chance = random.Random(1)
    for sender, to, body in chance.sample(fleet.wire, 300):
        fleet.ask(sender, "d0" if to == "d0" else to, body, lambda answer: None)
    nameless, negative = b'{"type":"ping"}', b'{"type":"ping","sender":"d2","run":-1}'
    for body in (b"", b"{", b"[]", nameless, negative, b"\xff" * 99):
        fleet.ask("d2", "d0", body, lambda answer: None)
    stranger = pr.Ping("zz", 9, (pr.Update("d2", DEAD, 9, 9), pr.Update("zz", ALIVE, 9, 0)))
    fleet.ask("d2", "d0", encode(stranger), lambda answer: None)
    fleet.run(1_000)
    assert {name: (p.boot_epoch, p.incarnation, p.state) for name, p in view.peers.items()} == before
    assert view.handle(fleet.now, pr.ResponseReceived(10**6, pr.Ack("d2", 1))) == []


def test_directors_reconfigured_one_after_another_agree_on_the_new_fleet() -> None:
    fleet = settled(Fleet(5))
    new = frozenset(fleet.names[:4]) | {"d5"}
    fleet.names = sorted(new)
    for name in fleet.names[:4]:
        fleet._do(name, fleet.members[name].view.handle(fleet.now, pr.Reconfigured(new)))
        fleet.run(700)
    fleet.kill("d4")
    fleet.start("d5", 1)
    fleet.run(30_000)
    for name in fleet.names:
        assert fleet.members[name].view.reachable() == [name, *(n for n in fleet.names if n != name)]
        assert not any(key not in new for key in fleet.members[name].view.peers)


@dataclass
class Cost:
    """Messages and bytes a second of the busiest director, by size of the fleet, the smallest first."""

    messages: list[float] = field(default_factory=list)
    sizes: list[float] = field(default_factory=list)


def test_the_cost_of_one_director_does_not_grow_with_the_fleet() -> None:
    """Messages and bytes a second of the busiest director, while a death is detected and spread."""
    cost = Cost()
    for count in (9, 100):
        fleet = settled(Fleet(count))
        fleet.kill("d0")
        fleet.sent.clear()
        fleet.sent_bytes.clear()
        fleet.run(20_000)
        cost.messages.append(max(fleet.sent.values()) / 20)
        cost.sizes.append(max(fleet.sent_bytes.values()) / 20)
        bound = {
            "peers": count,
            "asks": 1 + vw.HELPERS,
            "asks for others": vw.MAX_INDIRECT_REQUESTS,
            "news": count,
        }
        for member in fleet.members.values():
            assert all(size <= bound[table] for table, size in member.view.sizes().items())
    small, large = cost.messages
    assert large < 2 * small and cost.sizes[1] < 3 * cost.sizes[0]
    assert MAX_UPDATES * 60 * large > cost.sizes[1]


def test_a_seed_gives_the_same_views_and_another_seed_other_probes() -> None:
    one, same, other = (Fleet(5, seed) for seed in (1, 1, 2))
    for fleet in (one, same, other):
        fleet.run(10_000)
    assert one.wire == same.wire != other.wire


def test_every_order_of_updates_ends_in_the_same_belief() -> None:
    updates = [
        pr.Update("d1", state, run, inc, "d2")
        for run in (1, 2)
        for inc in (0, 1)
        for state in (ALIVE, SUSPECTED, DEAD)
    ]
    ends = set()
    for seed in range(50):
        random.Random(seed).shuffle(updates)
        view = pr.Peers("d0", 1, ["d0", "d1", "d2"], 1)
        for update in updates:
            view.handle(1.0, pr.RequestReceived(1, pr.Ping("d2", 1, (update,))))
        peer = view.peers["d1"]
        ends.add((peer.boot_epoch, peer.incarnation, peer.state))
    assert ends == {(2, 1, DEAD)}


def send_updates(view: pr.Peers, now: float, *updates: pr.Update, sender: str = "d2") -> list[pr.Action]:
    return view.handle(now, pr.RequestReceived(1, pr.Ping(sender, 1, updates)))


def test_the_more_directors_agree_the_sooner_a_suspicion_becomes_a_death() -> None:
    """By published Lifeguard: from four periods where three agree to sixteen where nobody does."""
    for confirmers, waits in ((0, 8_000.0), (3, 2_000.0)):
        view = pr.Peers("d0", 1, [f"d{k}" for k in range(6)], 1)
        send_updates(view, 1.0, pr.Update("d1", ALIVE, 1, 0))
        send_updates(view, 1.0, pr.Update("d1", SUSPECTED, 1, 0, "d2"))
        for k in range(confirmers):
            send_updates(view, 2.0, pr.Update("d1", SUSPECTED, 1, 0, f"d{k + 3}"), sender=f"d{k + 3}")
            again = send_updates(view, 2.0, pr.Update("d1", SUSPECTED, 1, 0, f"d{k + 3}"), sender="d2")
            assert [type(action) for action in again] == [pr.Reply]  # the same director counts once
        timeout = pr.TimerDue(pr.SuspicionTimeout("d1", 1, 0))
        view.handle(waits - 100.0, timeout)
        assert view.state("d1") is SUSPECTED
        view.handle(waits + 100.0, timeout)
        assert view.state("d1") is DEAD


def test_the_timeout_of_a_refuted_suspicion_does_nothing() -> None:
    view = pr.Peers("d0", 1, ["d0", "d1", "d2"], 1)
    send_updates(view, 1.0, pr.Update("d1", SUSPECTED, 1, 0, "d2"))
    send_updates(view, 2.0, pr.Update("d1", ALIVE, 1, 1), pr.Update("d1", SUSPECTED, 1, 1, "d2"))
    assert view.handle(3.0, pr.TimerDue(pr.SuspicionTimeout("d1", 1, 0))) == []


def test_indirect_probes_are_bounded() -> None:
    view = pr.Peers("d0", 1, ["d0", "d1", "d2"], 1)
    for k in range(vw.MAX_INDIRECT_REQUESTS + 1):
        actions = view.handle(1.0, pr.RequestReceived(k, pr.PingFor("d2", 1, "d1")))
    assert [type(action) for action in actions if not isinstance(action, pr.PeerChanged)] == [pr.Reply]
    assert view.sizes()["asks for others"] == vw.MAX_INDIRECT_REQUESTS


def test_a_quiet_fleet_sends_no_updates() -> None:
    fleet = settled(Fleet(9))
    fleet.run(60_000)
    assert not any(member.view.sizes()["news"] for member in fleet.members.values())
    assert fleet.wire[-1][2].endswith(b'"updates":[]}')


@pytest.mark.parametrize("suspecters", [1, 2, 3])
def test_a_suspicion_ends_in_death_when_the_director_itself_becomes_slow_meanwhile(suspecters: int) -> None:
    """A director that is suspected itself stretches its waits; the timer of a suspicion must follow."""
    view = vw.Peers("d0", 1, [f"d{k}" for k in range(6)], seed=1, period_ms=100.0)
    timers: list[tuple[float, view_messages.Timer]] = []

    def handle(now: float, event: view_messages.Event) -> None:
        actions = view.handle(now, event)
        timers.extend((now + a.delay_ms, a.timer) for a in actions if isinstance(a, view_messages.StartTimer))

    handle(0.0, view_messages.RequestReceived(1, pr.Ping("d1", 1)))
    for k in range(suspecters):
        by = f"d{2 + k}"
        handle(
            10.0 * k,
            view_messages.RequestReceived(2 + k, pr.Ping(by, 1, (pr.Update("d1", SUSPECTED, 1, 0, by),))),
        )
    handle(
        50.0, view_messages.RequestReceived(9, pr.Ping("d5", 1, (pr.Update("d0", SUSPECTED, 1, 0, "d5"),)))
    )
    assert view.state("d1") is SUSPECTED
    while timers:
        due, timer = min(timers, key=lambda entry: entry[0])
        timers.remove((due, timer))
        handle(due, view_messages.TimerDue(timer))
    assert view.state("d1") is DEAD
