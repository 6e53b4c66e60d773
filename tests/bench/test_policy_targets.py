"""Checks the stated targets of the policy on a few seeds of virtual time."""

from functools import cache

import pytest

from bench.policy.measure import TARGETS, measure_scenario
from bench.policy.runs import LACEWINGLUG

SEEDS = (0, 1)
WORKERS = 2
BASELINES = {"mix_shift": ("static_roles",), "crest": ("least_requests",)}


@cache
def measure(scenario: str) -> dict[str, float]:
    policies = (LACEWINGLUG, *BASELINES.get(scenario, ()))
    figures = measure_scenario(scenario, SEEDS, policies=policies, workers=WORKERS)
    return {item.name: item.value for item in figures if item.subject == LACEWINGLUG}


@pytest.mark.parametrize("key", TARGETS)
def test_target(key):
    scenario, name = key.split(".")
    target = TARGETS[key]
    value = measure(scenario)[name]
    assert target.is_met(value), (
        f"{key} is {value:.4f}, {target.direction} {target.limit}"
    )
