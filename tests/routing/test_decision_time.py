"""Benchmark of a routing decision, without a limit on its result.

Run with ``pytest --benchmark-only``.
"""

import pytest

from tests.routing.helpers import make_policy, make_profile


@pytest.mark.parametrize("runners", [6, 1300])
def test_decision_time(benchmark, runners):
    policy = make_policy(runners, entry_count=8 if runners == 6 else 370)
    profile = make_profile(prompt_tokens=5000, prefix_hashes=(1, 2))
    benchmark(policy.decide, profile, now_s=0.1)
