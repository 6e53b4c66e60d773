"""What a run shows of its engines is told apart from waiting and from distance."""

import pytest

from lacewinglug.host.engines import EngineTracker
from lacewinglug.host.model import Stage
from lacewinglug.host.plans import DirectPlan, SplitPlan, learn_move, learn_reading
from tests.host.samples import PROFILE, make_engine


@pytest.fixture
def engines():
    return EngineTracker().track(
        [make_engine("reads", stage=Stage.PREFILL), make_engine("streams")], PROFILE
    )


def make_split(reader, runner, *, idle=True):
    return SplitPlan(
        reader=reader,
        runner=runner,
        fetch_from=None,
        read_s=0.45,
        stream_s=0.12,
        move_s=0.07,
        idle=idle,
        work_s=0.4,
        new_tokens=20_000,
        cost_s=0.6,
    )


def test_a_reader_that_answers_as_expected_keeps_its_pace(engines):
    plan = make_split(*engines)
    for _ in range(20):
        learn_reading(plan, took_s=0.45)
    assert engines[0].prefill_slowdown.factor == pytest.approx(1.0)


def test_a_reader_that_is_late_gets_slower_but_not_the_one_that_streams(engines):
    plan = make_split(*engines)
    for _ in range(5):
        learn_reading(plan, took_s=1.2)
    assert engines[0].prefill_slowdown.factor > 1.5
    assert engines[1].prefill_slowdown.factor == 1.0


def test_a_reading_that_waited_behind_others_says_nothing(engines):
    learn_reading(make_split(*engines, idle=False), took_s=5.0)
    assert engines[0].prefill_slowdown.factor == 1.0


def test_a_direct_run_tells_of_its_one_engine(engines):
    plan = DirectPlan(
        runner=engines[1],
        fetch_from=None,
        expected_s=0.3,
        idle=True,
        work_s=0.25,
        new_tokens=5_000,
        cost_s=0.3,
    )
    for _ in range(5):
        learn_reading(plan, took_s=0.9)
    assert engines[1].prefill_slowdown.factor > 1.5


def test_a_slow_move_slows_the_links_of_both_engines_only(engines):
    for _ in range(4):
        learn_move(make_split(*engines), took_s=0.6)
    assert all(engine.link_slowdown.factor > 3.0 for engine in engines)
    assert all(engine.prefill_slowdown.factor == 1.0 for engine in engines)
