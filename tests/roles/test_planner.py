"""Tests of the role planner."""

import pytest

from lacewinglug.roles.demand import DemandTracker
from lacewinglug.roles.planner import (
    Demand,
    EngineRoleState,
    NoChange,
    RoleChange,
    RoleOption,
    max_load_factor,
    plan_role_change,
)
from tests.routing.helpers import ROLES

ROLE_OPTIONS = {
    role: RoleOption(rates=rates, change_s=6.0) for role, rates in ROLES.items()
}
DECODE_HEAVY = Demand(prefill_tokens_per_s=15000, output_tokens_per_s=11000)
PREFILL_HEAVY = Demand(prefill_tokens_per_s=60000, output_tokens_per_s=5400)


def make_engines(prefill, decode, mixed=0, **fields):
    roles = ["prefill"] * prefill + ["decode"] * decode + ["mixed"] * mixed
    return [
        EngineRoleState(name=f"r{index}", role=role, **fields)
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
def test_max_load_factor(counts, demand, low, high):
    assert low < max_load_factor(counts, ROLE_OPTIONS, demand) < high


def test_a_demand_shift_changes_one_engine_to_the_needed_role():
    change = plan_role_change(make_engines(1, 5), ROLE_OPTIONS, PREFILL_HEAVY)
    assert isinstance(change, RoleChange)
    assert change.role == "prefill"
    assert change.runner != "r0"


def test_the_engine_with_the_least_load_changes():
    runners = make_engines(1, 4, in_flight=9)
    runners.append(EngineRoleState(name="idle", role="decode", in_flight=1))
    assert plan_role_change(runners, ROLE_OPTIONS, PREFILL_HEAVY).runner == "idle"


@pytest.mark.parametrize(
    ("runners", "demand", "reason"),
    [
        (make_engines(1, 5), DECODE_HEAVY, "costs"),
        (make_engines(1, 5, is_changing=True), PREFILL_HEAVY, "in progress"),
        (make_engines(1, 5, is_pinned=True), PREFILL_HEAVY, "costs"),
        (
            make_engines(1, 5),
            Demand(prefill_tokens_per_s=6e4, output_tokens_per_s=5e3, age_s=6.0),
            "too old",
        ),
    ],
)
def test_roles_do_not_change(runners, demand, reason):
    result = plan_role_change(runners, ROLE_OPTIONS, demand)
    assert isinstance(result, NoChange)
    assert reason in result.reason


def test_short_term_noise_changes_no_role():
    noisy = Demand(prefill_tokens_per_s=73000, output_tokens_per_s=5400)
    assert isinstance(
        plan_role_change(make_engines(3, 3), ROLE_OPTIONS, noisy), RoleChange
    )
    result = plan_role_change(make_engines(3, 3), ROLE_OPTIONS, noisy, PREFILL_HEAVY)
    assert isinstance(result, NoChange)


def test_demand_is_available_after_a_while_and_follows_the_counters():
    tracker = DemandTracker(time_constant_s=3.0)
    demands = [
        tracker.update(prefill_tokens=100.0 * t, output_tokens=10.0 * t, now_s=t)
        for t in range(12)
    ]
    assert demands[1] is None
    assert demands[-1].prefill_tokens_per_s == pytest.approx(100.0)
    assert demands[-1].output_tokens_per_s == pytest.approx(10.0)
