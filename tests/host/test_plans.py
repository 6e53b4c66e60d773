"""Measured times update the pace of engines and links, without wait and distance."""

import pytest

from lacewinglug.host.engines import EngineTracker
from lacewinglug.host.model import Stage
from lacewinglug.host.plans import (
    ColocatedPlan,
    DisaggregatedPlan,
    record_prefill_time,
    record_transfer_time,
)
from tests.host.samples import PROFILE, make_engine


@pytest.fixture
def engines():
    return EngineTracker().track(
        [make_engine("prefill-1", stage=Stage.PREFILL), make_engine("decode-1")],
        PROFILE,
    )


def make_disaggregated_plan(prefill_engine, decode_engine, *, idle=True):
    return DisaggregatedPlan(
        prefill_engine=prefill_engine,
        decode_engine=decode_engine,
        fetch_from=None,
        prefill_latency_s=0.45,
        decode_latency_s=0.12,
        transfer_s=0.07,
        idle=idle,
        prefill_compute_s=0.4,
        new_tokens=20_000,
        cost_s=0.6,
    )


def test_prefill_in_the_expected_time_keeps_the_pace(engines):
    plan = make_disaggregated_plan(*engines)
    for _ in range(20):
        record_prefill_time(plan, elapsed_s=0.45)
    assert engines[0].prefill_slowdown.factor == pytest.approx(1.0)


def test_slow_prefill_raises_the_pace_of_the_prefill_engine_only(engines):
    plan = make_disaggregated_plan(*engines)
    for _ in range(5):
        record_prefill_time(plan, elapsed_s=1.2)
    assert engines[0].prefill_slowdown.factor > 1.5
    assert engines[1].prefill_slowdown.factor == 1.0


def test_queued_prefill_leaves_the_pace_unchanged(engines):
    record_prefill_time(make_disaggregated_plan(*engines, idle=False), elapsed_s=5.0)
    assert engines[0].prefill_slowdown.factor == 1.0


def test_slow_prefill_on_a_decode_engine_raises_its_pace(engines):
    plan = ColocatedPlan(
        decode_engine=engines[1],
        fetch_from=None,
        expected_ttft_s=0.3,
        idle=True,
        prefill_compute_s=0.25,
        new_tokens=5_000,
        cost_s=0.3,
    )
    for _ in range(5):
        record_prefill_time(plan, elapsed_s=0.9)
    assert engines[1].prefill_slowdown.factor > 1.5


def test_slow_transfer_raises_the_link_pace_of_both_engines_only(engines):
    for _ in range(4):
        record_transfer_time(make_disaggregated_plan(*engines), elapsed_s=0.6)
    assert all(engine.link_slowdown.factor > 3.0 for engine in engines)
    assert all(engine.prefill_slowdown.factor == 1.0 for engine in engines)
