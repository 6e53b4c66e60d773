"""Stages change rarely, and both parts of the work keep engines."""

from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.model import Stage
from lacewinglug.host.stages import FEWEST_ENGINES, LOST_FOR_S, plan_stages
from tests.host.samples import make_engine

ZONES = ["mtl-a", "qc-a", "sher-a"]


def make_fleet(readers, runners):
    stages = [Stage.PREFILL] * readers + [Stage.DECODE] * runners
    return [
        make_engine(f"e{index}", stage=stage, zone=ZONES[index % 3])
        for index, stage in enumerate(stages)
    ]


def test_a_fleet_near_its_plan_is_left_alone():
    assert plan_stages(make_fleet(3, 3), streams=10) == []
    assert plan_stages(make_fleet(3, 2), streams=10) == []


def test_a_fleet_far_from_its_plan_is_changed():
    changes = plan_stages(make_fleet(2, 4), streams=10)
    assert [change.stage for change in changes] == [Stage.PREFILL] * 2


def test_many_streams_keep_engines_for_them():
    assert plan_stages(make_fleet(4, 8), streams=320) == []


def test_a_part_of_the_work_without_engines_gets_one():
    changes = plan_stages(make_fleet(4, 0), streams=0)
    assert {change.stage for change in changes} == {Stage.DECODE}
    changes = plan_stages(make_fleet(0, 4), streams=0)
    assert {change.stage for change in changes} == {Stage.PREFILL}


def test_the_last_engines_serve_though_all_that_ran_streams_are_gone():
    """Own day of orders, seed 22: three of six crashed, nothing was served."""
    for readers in (1, 2, 3):
        fleet = make_fleet(readers, 0)
        changes = plan_stages(fleet, streams=0, without_runner_s=LOST_FOR_S)
        assert [change.stage for change in changes] == [Stage.DECODE]


def test_engines_that_crashed_a_moment_ago_are_waited_for():
    """The same day: an order at once came into force after their return."""
    assert plan_stages(make_fleet(3, 0), streams=0, without_runner_s=10.0) == []


def test_a_few_engines_are_left_alone_while_one_runs_streams():
    for fleet in (make_fleet(2, 1), make_fleet(0, 3)):
        assert plan_stages(fleet, streams=0, without_runner_s=100.0) == []


@given(
    readers=st.integers(0, 30), runners=st.integers(0, 30), streams=st.floats(0, 3000)
)
def test_both_stages_remain_and_the_plan_is_stable(readers, runners, streams):
    fleet = {item.instance: item for item in make_fleet(readers, runners)}
    lost_s = LOST_FOR_S
    changes = plan_stages(
        list(fleet.values()), streams=streams, without_runner_s=lost_s
    )
    for change in changes:
        fleet[change.entry.instance] = make_engine(
            change.entry.instance, stage=change.stage, zone=change.entry.zone
        )
    after = list(fleet.values())
    assert plan_stages(after, streams=streams, without_runner_s=lost_s) == []
    stages = {item.stage for item in after}
    assert not after or Stage.DECODE in stages
    if len(after) >= FEWEST_ENGINES:
        assert stages == {Stage.PREFILL, Stage.DECODE}
