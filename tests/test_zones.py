"""Zones: health from evidence, plans that overload no zone, one plan a number under every schedule.

The failures guarded against: a zone is emptied because of faulty or old reports, a plan overloads its targets
or empties every zone, and two plans have the same number.
"""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from zones_world import ZONES, Fleet, anything, broken

from foxlift.consensus import Promise, Proposer
from foxlift.director.cluster.zone_planning import shares_of
from foxlift.zones import agreement as ag
from foxlift.zones.evidence import Evidence, Report, ZoneAssessment, ZoneHealth, ZoneObservation
from foxlift.zones.plan import (
    MAX_FILL,
    RETURN_STEP,
    RETURN_STEP_MS,
    STEADY_MS,
    OperatorOrder,
    Plan,
    Planner,
    ZonePlan,
    ZoneState,
    read_plan,
    write_plan,
)

NAMES = tuple(ZONES)


# ---- Evidence ---------------------------------------------------------------------------------------------
def sees(broken: set[str] = frozenset(), **more: ZoneObservation) -> dict[str, ZoneObservation]:  # type: ignore[assignment]
    return {
        z: more.get(z, ZoneObservation(4, silent=4 if z in broken else 0, gives=1000.0, asked=500.0))
        for z in NAMES
    }


def report(zone: str, number: int = 0, **more: Any) -> Report:
    plain = Report(f"{zone}-{number}", 1, zone, 1000.0, 0.0, 1.0, sees())
    return replace(plain, **more)


def judge(*reports: Report, now: float = 1500.0) -> dict[str, ZoneAssessment]:
    evidence = Evidence(NAMES)
    for one in reports:
        evidence.add(one)
    return evidence.assess(now)


def test_an_unreachable_zone_is_gone_and_one_with_good_reports_from_inside_is_cut() -> None:
    outside = [report(zone, observations=sees({"n1"})) for zone in NAMES if zone != "n1"]
    assert judge(*outside)["n1"].health is ZoneHealth.GONE
    assert judge(*outside, report("n1"))["n1"].health is ZoneHealth.CUT
    assert judge(*outside, report("n1", observations=sees({"n1"})))["n1"].health is ZoneHealth.GONE
    assert judge(*outside)["n2"].health is ZoneHealth.FINE


def test_each_place_counts_once_however_many_directors_it_has() -> None:
    many = [report("s1", k, observations=sees({"n1"})) for k in range(50)]
    others = [report(zone) for zone in NAMES if zone not in ("n1", "s1")]
    assert judge(*many, *others)["n1"].health is ZoneHealth.FINE


@pytest.mark.parametrize("more", [{"lag_ms": 5000.0}, {"reachable_share": 0.3}, {"at": -9000.0}])
def test_reports_that_are_faulty_or_old_are_ignored(more: dict[str, Any]) -> None:
    sick = [report(zone, 0, observations=sees({"n1"}), **more) for zone in ("s1", "s2", "w1")]
    assert judge(*sick, report("n2"), report("w2"))["n1"].health is ZoneHealth.FINE


def test_reports_of_the_only_director_that_sees_all_zones_broken_are_ignored() -> None:
    liar = report("s1", observations=sees(set(NAMES) - {"s1"}))
    found = judge(liar, *(report(zone) for zone in ("n1", "w1")))
    assert all(judgement.health is ZoneHealth.FINE for judgement in found.values())


def test_overload_is_distinguished_from_failure() -> None:
    full = ZoneObservation(4, delivered=0.7, gives=1000.0, asked=1000.0)
    weak = ZoneObservation(4, delivered=0.7, gives=1000.0, asked=400.0)
    slow = ZoneObservation(4, slow=3, gives=1000.0, asked=400.0)
    for sight, verdict in ((full, ZoneHealth.FULL), (weak, ZoneHealth.WEAK), (slow, ZoneHealth.WEAK)):
        found = judge(*(report(zone, observations=sees(n1=sight)) for zone in NAMES))
        assert found["n1"].health is verdict


def test_an_old_or_replayed_report_changes_nothing_and_tables_are_bounded() -> None:
    evidence = Evidence(NAMES)
    new = report("s1", boot_epoch=2, at=2000.0)
    evidence.add(new)
    evidence.add(report("s1", boot_epoch=1, at=9000.0, observations=sees({"n1"})))
    evidence.add(report("s1", boot_epoch=2, at=1000.0, observations=sees({"n1"})))
    assert list(evidence._reports.values()) == [new]
    for k in range(6000):
        evidence.add(report("s2", k))
    assert len(evidence) <= 4096
    evidence.forget(1e9)
    assert len(evidence) == 0


def test_without_reports_health_is_unknown() -> None:
    assert {j.health for j in judge().values()} == {ZoneHealth.UNKNOWN}


# ---- Plans ------------------------------------------------------------------------------------------------
FINE = ZoneAssessment(ZoneHealth.FINE, 1.0, 1000.0, 500.0, 500.0)
GONE = ZoneAssessment(ZoneHealth.GONE, 0.0, 1000.0, 500.0, 500.0)


def after(planner: Planner, judged: dict[str, ZoneAssessment], plan: Plan, begin: float, ms: float) -> Plan:
    """Make a plan every 500 ms."""
    now = begin
    while now <= begin + ms:
        plan = planner.next(now, judged, plan) or plan
        now += 500.0
    return plan


def test_a_zone_that_is_gone_is_emptied_into_its_region_first() -> None:
    planner = Planner(dict(ZONES))
    judged = {**dict.fromkeys(NAMES, FINE), "n1": GONE}
    assert planner.next(0.0, judged, Plan()) is None  # not on the first word
    plan = after(planner, judged, Plan(), 500.0, 1500.0)
    assert plan.number == 1 and plan.for_zone("n1").state is ZoneState.EMPTIED
    assert list(plan.for_zone("n1").to) == [
        "n2",
        "s1",
    ]  # 400 kB/s are free there below the mark, the rest goes on
    assert plan.for_zone("n1").to["n2"] == pytest.approx(0.8) and plan.for_zone("n1").away == pytest.approx(
        1.0
    )
    assert planner.next(5000.0, judged, plan) is None  # nothing new is no plan


def test_a_weak_zone_sends_away_what_it_cannot_serve() -> None:
    planner = Planner(dict(ZONES))
    weak = ZoneAssessment(ZoneHealth.WEAK, 0.5, 1000.0, 500.0, 900.0)
    plan = after(planner, {**dict.fromkeys(NAMES, FINE), "s1": weak}, Plan(), 0.0, 2000.0)
    assert plan.for_zone("s1").state is ZoneState.LEANING and plan.for_zone("s1").away == pytest.approx(0.5)
    assert list(plan.for_zone("s1").to) == ["s2", "n1"]


def test_a_zone_that_is_cut_off_serves_its_own_viewers_only() -> None:
    planner = Planner(dict(ZONES))
    fine = dict.fromkeys(NAMES, FINE)
    plan = after(planner, {**fine, "n1": replace(FINE, health=ZoneHealth.CUT)}, Plan(), 0.0, 2000.0)
    assert plan.for_zone("n1") == ZonePlan(ZoneState.ALONE, 0.0, {})
    assert shares_of(plan, "n1", NAMES)[0] == 1.0  # for its own directors
    elsewhere = shares_of(plan, "s1", NAMES)
    assert elsewhere[0] == 0.0 and elsewhere[NAMES.index("s1")] == 1.0 and min(elsewhere[1:]) > 0
    assert after(planner, fine, plan, 3000.0, STEADY_MS + 1000.0).for_zone("n1").state is ZoneState.NEAR


def test_shares_avoid_emptied_zones_and_keep_a_tiny_share_for_the_rest() -> None:
    assert shares_of(Plan(), "n1", NAMES) == ()
    plan = Plan(1, {"n1": ZonePlan(ZoneState.EMPTIED, 0.9, {"n2": 0.8, "s1": 0.1})})
    own = dict(zip(NAMES, shares_of(plan, "n1", NAMES), strict=True))
    assert own["n1"] == 0.0 and own["n2"] == 0.8 and own["s1"] == 0.1 and 0 < own["w1"] < 0.001
    full = Plan(1, {"n1": ZonePlan(ZoneState.EMPTIED, 0.0, {})})  # nobody has room: rather there than refused
    assert shares_of(full, "n1", NAMES)[0] == 1.0


def test_at_95_percent_load_no_zone_has_capacity_and_nothing_moves() -> None:
    planner = Planner(dict(ZONES))
    busy = ZoneAssessment(ZoneHealth.FINE, 1.0, 1000.0, 950.0, 950.0)
    plan = after(
        planner, {**dict.fromkeys(NAMES, busy), "n1": replace(GONE, demand=950.0)}, Plan(), 0.0, 3000.0
    )
    assert (
        plan.for_zone("n1").state is ZoneState.EMPTIED
        and plan.for_zone("n1").away == 0.0
        and not plan.for_zone("n1").to
    )


def test_the_last_good_zone_is_never_emptied() -> None:
    planner = Planner(dict(ZONES))
    plan = after(planner, dict.fromkeys(NAMES, GONE), Plan(), 0.0, 20_000.0)
    assert plan == Plan()  # if nobody reaches anything, the evidence is what is broken
    judged = {**dict.fromkeys(NAMES, GONE), "w2": FINE}
    plan = after(planner, judged, plan, 30_000.0, 20_000.0)
    assert plan.for_zone("w2").state is ZoneState.NEAR
    assert sum(plan.for_zone(z).state is ZoneState.EMPTIED for z in NAMES) == 5


def test_a_zone_returns_step_by_step_after_it_was_steady() -> None:
    planner = Planner(dict(ZONES))
    fine = dict.fromkeys(NAMES, FINE)
    plan = after(planner, {**fine, "n1": GONE}, Plan(), 0.0, 2000.0)
    shares = []
    now = 3000.0
    while plan.for_zone("n1").state is not ZoneState.NEAR:
        found = planner.next(now, fine, plan)
        if found is not None:
            shares.append((now, found.for_zone("n1").away))
            plan = found
        now += 250.0
        assert now < 60_000.0
    assert shares[0][0] >= 3000.0 + STEADY_MS
    assert all(b >= a + RETURN_STEP_MS - 1 for (a, _), (b, _) in itertools.pairwise(shares))
    steps = [1.0, *(share for _, share in shares)]
    assert all(0 <= a - b <= RETURN_STEP + 1e-6 for a, b in itertools.pairwise(steps))


def test_a_zone_that_flaps_every_three_seconds_stays_away() -> None:
    planner, plan = Planner(dict(ZONES)), Plan()
    fine = dict.fromkeys(NAMES, FINE)
    states = []
    for turn in range(240):
        now = turn * 500.0
        judged = {**fine, "n1": GONE} if (turn // 6) % 2 else fine
        plan = planner.next(now, judged, plan) or plan
        states.append(plan.for_zone("n1").state)
    left = sum(a is not ZoneState.EMPTIED and b is ZoneState.EMPTIED for a, b in itertools.pairwise(states))
    assert left == 1  # in two minutes: it never comes back, for it is never steady


def test_a_zone_that_fails_again_and_again_has_to_be_steady_for_longer() -> None:
    planner, plan = Planner(dict(ZONES)), Plan()
    fine = dict.fromkeys(NAMES, FINE)
    waits, now = [], 0.0
    for _ in range(4):
        plan = after(planner, {**fine, "n1": GONE}, plan, now, 2000.0)
        begin = now = now + 2500.0
        while plan.for_zone("n1").state is ZoneState.EMPTIED:
            plan = planner.next(now, fine, plan) or plan
            now += 250.0
        waits.append(now - begin)
    assert waits == sorted(waits) and waits[-1] > 3 * waits[0]


def test_an_operator_s_order_overrides_health_and_expires_after_a_day() -> None:
    planner = Planner(dict(ZONES))
    fine = dict.fromkeys(NAMES, FINE)
    planner.order(0.0, "s2", OperatorOrder.EMPTY)
    plan = after(planner, fine, Plan(), 0.0, 1000.0)
    assert plan.for_zone("s2").state is ZoneState.EMPTIED and plan.for_zone("s2").away == pytest.approx(1.0)
    planner.order(2000.0, "s2", OperatorOrder.HOLD)
    assert after(planner, fine, plan, 2000.0, 30_000.0) == plan
    planner.order(40_000.0, "s2", OperatorOrder.RETURN)
    plan = after(planner, {**fine, "s2": GONE}, plan, 40_000.0, 30_000.0)
    assert plan.for_zone("s2").state is ZoneState.NEAR  # against the evidence
    planner.order(80_000.0, "s2", OperatorOrder.EMPTY)
    plan = after(planner, fine, plan, 80_000.0, 2000.0)
    forgotten = 80_000.0 + 86_400_000.0
    plan = after(planner, fine, plan, forgotten, 60_000.0)
    assert plan.for_zone("s2").state is ZoneState.NEAR
    with pytest.raises(KeyError):
        planner.order(0.0, "x", OperatorOrder.EMPTY)


judgements = st.builds(
    ZoneAssessment,
    st.sampled_from(list(ZoneHealth)),
    st.floats(0, 1),
    st.floats(0, 5000),
    st.floats(0, 5000),
    st.floats(0, 5000),
)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 4000), st.fixed_dictionaries({z: judgements for z in NAMES})), max_size=12
    )
)
def test_no_plan_ever_overloads_a_target_or_empties_all(
    days: list[tuple[float, dict[str, ZoneAssessment]]],
) -> None:
    planner, plan, now = Planner(dict(ZONES)), Plan(), 0.0
    for passed, judged in days:
        now += passed
        made = planner.next(now, judged, plan)
        if made is None:
            continue
        assert made.number == plan.number + 1
        for zone in NAMES:
            part = made.for_zone(zone)
            assert part.away <= 1.0 + 1e-6 and zone not in part.to
            if part.state is not ZoneState.EMPTIED or judged[zone].demand > 0:
                assert sum(part.to.values()) == pytest.approx(part.away, abs=1e-4)
            given = sum(made.for_zone(o).to.get(zone, 0.0) * judged[o].demand for o in NAMES)
            if given > 0.01:
                assert judged[zone].health is ZoneHealth.FINE
                assert given + judged[zone].demand <= judged[zone].gives * MAX_FILL * (1 + 1e-4) + 0.01
        assert any(made.for_zone(zone).state is not ZoneState.EMPTIED for zone in NAMES)
        assert read_plan(write_plan(made)) == made
        plan = made


# ---- In common --------------------------------------------------------------------------------------------
def test_all_directors_apply_one_plan_soon_after_a_zone_is_lost_and_after_its_return() -> None:
    fleet = Fleet(1)
    fleet.run(5000.0)
    fleet.dead_zones = {"n1"}
    begin = fleet.now
    known = fleet.run(10_000.0, lambda: fleet.all_follow("n1", ZoneState.EMPTIED))
    assert known - begin < 4500.0, known - begin
    fleet.dead_zones = set()
    fleet.run(40_000.0, lambda: fleet.all_follow("n1", ZoneState.NEAR))
    assert fleet.all_follow("n1", ZoneState.NEAR)
    assert all(len(texts) == 1 for texts in fleet.by_number.values())


def test_after_the_loss_of_a_region_with_the_proposer_another_planner_proposes() -> None:
    fleet = Fleet(2)
    fleet.run(5000.0)
    fleet.dead_zones = {"n1", "n2"}
    for name in fleet.names:
        if fleet.zone_of[name] in ("n1", "n2"):
            fleet.kill(name)
    fleet.run(
        15_000.0,
        lambda: fleet.all_follow("n1", ZoneState.EMPTIED) and fleet.all_follow("n2", ZoneState.EMPTIED),
    )
    assert fleet.all_follow("n1", ZoneState.EMPTIED) and fleet.all_follow("n2", ZoneState.EMPTIED)


def test_without_a_majority_of_planners_no_plan_is_made_and_the_old_one_is_suspended() -> None:
    fleet = Fleet(3)
    fleet.run(3000.0)
    fleet.dead_zones = {"w2"}
    fleet.run(12_000.0, lambda: fleet.all_follow("w2", ZoneState.EMPTIED))
    parts = [{"n1", "n2"}, {"s1", "s2"}, {"w1", "w2"}]
    fleet.cut = {(a, b) for one in parts for a in one for other in parts if other is not one for b in other}
    before = max(fleet.by_number)
    fleet.run(ag.PLANNER_TIMEOUT_MS + 20_000.0)
    assert max(fleet.by_number) == before
    assert all(fleet.members[name].fallen_back for name in fleet.up)
    assert all(not fleet.followed[name].zones for name in fleet.up)  # nothing that serves waits for a plan
    fleet.cut = set()
    fleet.run(30_000.0, lambda: not any(fleet.members[name].fallen_back for name in fleet.up))
    assert not any(fleet.members[name].fallen_back for name in fleet.up)


def test_an_old_plan_that_arrives_late_is_ignored() -> None:
    fleet = Fleet(4, loss=0.0)
    fleet.run(1000.0)
    member = fleet.members["s1-1"]
    fleet.tell("s1-1", member, ag.PlanReceived(Plan(7, {"n1": ZonePlan(ZoneState.EMPTIED, 0.0)}), 0.0))
    fleet.tell("s1-1", member, ag.PlanReceived(Plan(6, {"n2": ZonePlan(ZoneState.EMPTIED, 0.0)}), 0.0))
    assert fleet.followed["s1-1"].number == 7


SCHEDULES = 250  # a part; `python -m bench.zones` plays 20,000


@pytest.mark.parametrize("part", range(8))
def test_one_plan_a_number_in_two_thousand_schedules(part: int) -> None:
    """Lost, duplicated and late messages, partitions, deaths and restarts, zones lost and back."""
    numbers = 0
    for seed in range(part * SCHEDULES, (part + 1) * SCHEDULES):
        fleet = anything(seed)
        assert not broken(fleet), seed
        numbers += len(fleet.by_number)
    assert numbers > SCHEDULES / 3  # and there is something to disagree on


class IgnoresAcceptedValues(Proposer):
    """Writes its own value whatever is found."""

    def _write(self, number, change):  # type: ignore[no-untyped-def]
        change.promises = {n: Promise(p.key, p.ballot) for n, p in change.promises.items()}
        return super()._write(number, change)


class AcceptsAnyMinority(Proposer):
    """One replica counts as a majority."""

    def _majority(self, change, names):  # type: ignore[no-untyped-def]
        return len(names) >= 1


class AppliesBeforeDecided(ag.PlanAgreement):
    """Applies its own plan before it is decided."""

    def _propose(self, now, plan):  # type: ignore[no-untyped-def]
        return [*super()._propose(now, plan), *self._receive(now, plan)]


@pytest.mark.parametrize(
    "off",
    [
        {"make_proposer": IgnoresAcceptedValues},
        {"make_proposer": AcceptsAnyMinority},
        {"make_agreement": AppliesBeforeDecided},
    ],
    ids=lambda o: str(o),
)
def test_without_each_safety_rule_two_plans_have_one_number(off: dict[str, type]) -> None:
    assert any(broken(anything(seed, **off)) for seed in range(4000))
