"""Tests of the role planner."""

import pytest

from lacewinglug.roles.demand import DemandTracker
from lacewinglug.roles.planner import (
    Demand,
    Hold,
    PlannedRole,
    PlannedRunner,
    RoleChange,
    plan_change,
    served_ratio,
)
from tests.routing.helpers import ROLES

PLANNED = {
    role: PlannedRole(rates=rates, change_s=6.0) for role, rates in ROLES.items()
}
DECODE_HEAVY = Demand(prefill_tokens_per_s=15000, output_tokens_per_s=11000)
PREFILL_HEAVY = Demand(prefill_tokens_per_s=60000, output_tokens_per_s=5400)


def fleet(prefill, decode, mixed=0, **fields):
    roles = ["prefill"] * prefill + ["decode"] * decode + ["mixed"] * mixed
    return [
        PlannedRunner(name=f"r{index}", role=role, **fields)
        for index, role in enumerate(roles)
    ]


@pytest.mark.parametrize(
    ("counts", "demand", "low", "high"),
    [
        ({"prefill": 1, "decode": 5}, DECODE_HEAVY, 1.1, 1.3),
        ({"prefill": 1, "decode": 5}, PREFILL_HEAVY, 0.4, 0.6),
        ({"prefill": 3, "decode": 3}, PREFILL_HEAVY, 1.0, 1.2),
        ({"mixed": 6}, PREFILL_HEAVY, 0.65, 0.8),
    ],
)
def test_served_ratio(counts, demand, low, high):
    assert low < served_ratio(counts, PLANNED, demand) < high


def test_a_shift_is_followed_one_change_at_a_time():
    change = plan_change(fleet(1, 5), PLANNED, PREFILL_HEAVY)
    assert isinstance(change, RoleChange)
    assert change.role == "prefill"
    assert change.runner != "r0"


def test_the_engine_with_the_least_work_changes():
    runners = fleet(1, 4, in_flight=9)
    runners.append(PlannedRunner(name="idle", role="decode", in_flight=1))
    assert plan_change(runners, PLANNED, PREFILL_HEAVY).runner == "idle"


@pytest.mark.parametrize(
    ("runners", "demand", "reason"),
    [
        (fleet(1, 5), DECODE_HEAVY, "costs"),
        (fleet(1, 5, changing=True), PREFILL_HEAVY, "under way"),
        (fleet(1, 5, frozen=True), PREFILL_HEAVY, "costs"),
        (
            fleet(1, 5),
            Demand(prefill_tokens_per_s=6e4, output_tokens_per_s=5e3, age_s=6.0),
            "too old",
        ),
    ],
)
def test_roles_are_held(runners, demand, reason):
    held = plan_change(runners, PLANNED, demand)
    assert isinstance(held, Hold)
    assert reason in held.reason


def test_noise_of_the_last_seconds_changes_nothing():
    noisy = Demand(prefill_tokens_per_s=73000, output_tokens_per_s=5400)
    assert isinstance(plan_change(fleet(3, 3), PLANNED, noisy), RoleChange)
    held = plan_change(fleet(3, 3), PLANNED, noisy, PREFILL_HEAVY)
    assert isinstance(held, Hold)


def test_demand_is_known_after_a_while_and_follows_the_counters():
    tracker = DemandTracker(smoothing_s=3.0)
    demands = [
        tracker.update(prefill_tokens=100.0 * t, output_tokens=10.0 * t, now_s=t)
        for t in range(12)
    ]
    assert demands[1] is None
    assert demands[-1].prefill_tokens_per_s == pytest.approx(100.0)
    assert demands[-1].output_tokens_per_s == pytest.approx(10.0)
