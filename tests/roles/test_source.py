"""Tests of role planning from load reports."""

from pathlib import Path

import pytest

from lacewinglug.config.loading import load_config
from lacewinglug.roles.source import RolePlanner
from lacewinglug.upstream.messages import LoadReport

EXAMPLE = Path(__file__).parents[2] / "examples" / "volt-trottoir"
ENGINES = tuple(f"assistant-{index}" for index in range(1, 7))


@pytest.fixture(scope="module")
def fleet():
    return load_config(EXAMPLE).fleet


def run_plan(fleet, *, prefill_per_s, output_per_s, seconds, missing=None):
    """Report a constant demand once a second; return the target roles per second.

    :param missing: engine that does not report.
    """
    planner = RolePlanner()
    roles = dict.fromkeys(ENGINES, "mixed")
    history = []
    for now_s in range(seconds):
        reports = {
            name: LoadReport(
                role=roles[name],
                prefill_tokens_total=prefill_per_s * now_s // 6,
                output_tokens_total=output_per_s * now_s // 6,
            )
            for name in ENGINES
            if name != missing
        }
        target_roles = planner.plan_roles(fleet, reports, ENGINES, now_s=float(now_s))
        history.append(target_roles)
        roles = target_roles
    return history


def test_roles_change_one_at_a_time_when_mixed_engines_cannot_serve_demand(fleet):
    history = run_plan(fleet, prefill_per_s=60000, output_per_s=5000, seconds=60)
    assert set(history[-1].values()) > {"prefill"}
    for before, after in zip(history, history[1:], strict=False):
        assert sum(before[name] != after[name] for name in ENGINES) <= 1


@pytest.mark.parametrize(
    "fields",
    [
        {"prefill_per_s": 9000, "output_per_s": 2000},
        {"prefill_per_s": 60000, "output_per_s": 5000, "missing": "assistant-2"},
    ],
)
def test_roles_stay_when_demand_is_low_or_a_report_is_missing(fleet, fields):
    history = run_plan(fleet, seconds=60, **fields)
    assert set(history[-1].values()) == {"mixed"}
