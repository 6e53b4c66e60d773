"""Planning of engine stages: changes are rare, and both stages keep engines."""

from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.model import Stage
from lacewinglug.host.stages import (
    DECODE_LOST_AFTER_S,
    MIN_ENGINES_TO_BALANCE,
    plan_stages,
)
from tests.host.samples import make_engine

ZONES = ["mtl-a", "qc-a", "sher-a"]


def make_fleet(prefill, decode):
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        make_engine(f"e{index}", stage=stage, zone=ZONES[index % 3])
        for index, stage in enumerate(stages)
    ]


def test_small_imbalance_changes_nothing():
    assert plan_stages(make_fleet(3, 3), streams=10) == []
    assert plan_stages(make_fleet(3, 2), streams=10) == []


def test_large_imbalance_is_corrected():
    changes = plan_stages(make_fleet(2, 4), streams=10)
    assert [change.stage for change in changes] == [Stage.PREFILL] * 2


def test_many_streams_keep_their_decode_engines():
    assert plan_stages(make_fleet(4, 8), streams=320) == []


def test_a_stage_without_engines_gets_some():
    changes = plan_stages(make_fleet(4, 0), streams=0)
    assert {change.stage for change in changes} == {Stage.DECODE}
    changes = plan_stages(make_fleet(0, 4), streams=0)
    assert {change.stage for change in changes} == {Stage.PREFILL}


def test_small_fleet_without_decode_engines_gets_one():
    """All decode engines crash, and the prefill engines alone cannot serve prompts.

    Seen on a simulated day with stage orders, seed 22: three of six engines crashed
    and no prompt was served.
    """
    for prefill in (1, 2, 3):
        fleet = make_fleet(prefill, 0)
        changes = plan_stages(fleet, streams=0, without_decode_s=DECODE_LOST_AFTER_S)
        assert [change.stage for change in changes] == [Stage.DECODE]


def test_decode_engines_that_crashed_recently_are_waited_for():
    """A change ordered at once takes effect only after the crashed engines return.

    Seen on the same simulated day.
    """
    assert plan_stages(make_fleet(3, 0), streams=0, without_decode_s=10.0) == []


def test_small_fleet_with_a_decode_engine_is_not_changed():
    for fleet in (make_fleet(2, 1), make_fleet(0, 3)):
        assert plan_stages(fleet, streams=0, without_decode_s=100.0) == []


@given(
    prefill=st.integers(0, 30), decode=st.integers(0, 30), streams=st.floats(0, 3000)
)
def test_both_stages_keep_engines_and_the_plan_is_stable(prefill, decode, streams):
    fleet = {item.instance: item for item in make_fleet(prefill, decode)}
    lost_s = DECODE_LOST_AFTER_S
    changes = plan_stages(
        list(fleet.values()), streams=streams, without_decode_s=lost_s
    )
    for change in changes:
        fleet[change.entry.instance] = make_engine(
            change.entry.instance, stage=change.stage, zone=change.entry.zone
        )
    after = list(fleet.values())
    assert plan_stages(after, streams=streams, without_decode_s=lost_s) == []
    stages = {item.stage for item in after}
    assert not after or Stage.DECODE in stages
    if len(after) >= MIN_ENGINES_TO_BALANCE:
        assert stages == {Stage.PREFILL, Stage.DECODE}
