"""Engines never get conflicting orders; each rule is shown to fail without it."""

import asyncio
import random

import pytest

from harness.order_fakes import make_fleet
from harness.order_scene import OrderScene
from lacewinglug.authority import orders
from lacewinglug.steward.tenures import HOST_LIST_OPERATOR
from tests.steward.order_faults import (
    V1,
    V2,
    change_under_many_holders,
    crash_in_change,
    cut_from_log,
    heal,
    host_of,
    late_order,
    late_order_of_former_holder,
    log_down,
    many_restarts,
    publish,
    settled_scene,
    show_fault,
    streams_during_change,
    wake_after_takeover,
    withdrawn_holder,
)
from tests.steward.order_mutants import (
    change_without_drain,
    ignore_fences,
    ignore_numbers,
    keep_withdrawn_holder,
    number_by_tenure_only,
    order_while_changing,
    pass_exclusive_tenures,
    pull_at_once,
    raise_no_fence,
    take_no_turns,
    trust_stale_state,
)

FENCED, UNFENCED = 0, 1
CASES = [
    (wake_after_takeover, FENCED, ignore_fences),
    (wake_after_takeover, UNFENCED, pass_exclusive_tenures),
    (cut_from_log, FENCED, ignore_numbers),
    (cut_from_log, UNFENCED, trust_stale_state),
    (late_order, FENCED, number_by_tenure_only),
    (late_order_of_former_holder, FENCED, raise_no_fence),
    (crash_in_change, FENCED, order_while_changing),
    (crash_in_change, UNFENCED, order_while_changing),
    (streams_during_change, FENCED, change_without_drain),
    (streams_during_change, UNFENCED, change_without_drain),
    (log_down, UNFENCED, trust_stale_state),
    (withdrawn_holder, UNFENCED, keep_withdrawn_holder),
    (many_restarts, FENCED, pull_at_once),
    (change_under_many_holders, UNFENCED, take_no_turns),
]
HOLDING = [*((fault, kind) for fault, kind, _ in CASES)] + [
    (log_down, FENCED),
    (late_order, UNFENCED),
    (withdrawn_holder, FENCED),
]


@pytest.mark.parametrize(("fault", "unfenced"), HOLDING)
async def test_fault_breaks_no_promise(fault, unfenced):
    assert await fault(unfenced) == []


@pytest.mark.parametrize(("fault", "unfenced", "mutant"), CASES)
async def test_fault_is_caught_without_the_rule(fault, unfenced, mutant, monkeypatch):
    mutant(monkeypatch)
    try:
        caught = await asyncio.wait_for(fault(unfenced), 20)
    except AssertionError as error:
        caught = [str(error)]
    assert caught


# Tenures.


async def test_exclusive_tenure_stays_with_a_silent_holder():
    scene, holder = await settled_scene(unfenced=1)
    holder.paused = True
    scene.live.discard(host_of(holder))
    publish(scene, version="v2")
    await scene.run(3600)
    engine = scene.engines["e0"]
    assert (engine.state, scene.agree(V1)) == ("ready", True)
    assert not scene.others(holder)[0].manager.changes


async def test_exclusive_tenure_passes_when_the_host_left_the_list():
    scene, holder = await settled_scene(unfenced=1)
    holder.paused = True
    scene.live.discard(host_of(holder))
    scene.listed.discard(host_of(holder))
    publish(scene, version="v2")
    await scene.run_until(lambda: scene.agree(V2))
    records = [data for data in scene.log.records if b"host_withdrawn" in data]
    assert len(records) == 1
    assert HOST_LIST_OPERATOR.encode() in records[0]


async def test_list_without_the_reader_is_not_believed():
    scene, holder = await settled_scene(unfenced=1)
    holder.paused = True
    scene.live.discard(host_of(holder))
    scene.listed.clear()
    await scene.run(300)
    assert not scene.others(holder)[0].manager.changes


@pytest.mark.parametrize("unfenced", [FENCED, UNFENCED])
async def test_next_incarnation_on_the_host_takes_over(unfenced):
    scene, holder = await settled_scene(unfenced=unfenced)
    scene.start_steward(host_of(holder), "2")
    publish(scene, version="v2")
    await scene.run_until(lambda: scene.agree(V2))
    assert scene.holder() is scene.stewards[host_of(holder)]
    assert scene.violations() == []


@pytest.mark.parametrize("unfenced", [FENCED, UNFENCED])
async def test_drained_host_hands_its_tenures_on(unfenced):
    scene, holder = await settled_scene(unfenced=unfenced)
    holder.state.draining.add(host_of(holder))
    scene.others(holder)[0].state.draining.add(host_of(holder))
    await holder.manager.release_when_draining()
    await scene.run_until(lambda: bool(scene.others(holder)[0].manager.changes))
    assert not holder.manager.changes


@pytest.mark.parametrize("outstanding", [False, True])
async def test_shutdown_releases_what_has_no_outstanding_order(outstanding):
    scene, holder = await settled_scene(unfenced=1)
    holder.manager.changes["e0"].has_outstanding_order = outstanding
    task = asyncio.create_task(holder.manager.run())
    await scene.clock.advance(0.1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    holder.paused = True
    released = any(b"tenure_released" in data for data in scene.log.records)
    assert released is not outstanding


@pytest.mark.parametrize("loss", ["lose_replies", "lose_appends"])
async def test_lost_claim_is_settled_by_the_replay(loss):
    scene = OrderScene(fleet=make_fleet())
    setattr(scene.log, loss, 1)
    await scene.run(20)
    tenures_seen = {
        item.state.tenures["s0/r0"].offset for item in scene.stewards.values()
    }
    assert len(tenures_seen) == 1
    assert scene.agree(V1) and scene.holder().keeper.held()


async def test_tenure_is_renewed_below_a_higher_number():
    scene, holder = await settled_scene()
    scene.engines["e0"].fencing_number = orders.make_fencing_number(4, 1)
    publish(scene, version="v2")
    await scene.run_until(lambda: scene.agree(V2))
    assert holder.keeper.held()["s0/r0"] >= 4


async def test_halted_replay_gives_no_orders():
    scene, holder = await settled_scene()
    holder.state.halted = "needs a newer version"
    publish(scene, version="v2")
    await scene.run(30)
    assert holder.keeper.held() == {} and scene.agree(V1)


async def test_store_outage_keeps_engines_serving():
    scene, _ = await settled_scene(runners=3)
    scene.weights.down = True
    publish(scene, version="v2")
    await scene.run(600)
    assert scene.agree(V1)
    tries_per_engine = 600 / 30 + 8  # 8 doublings, then half of the 60 s cap
    assert scene.weights.refused <= 3 * tries_per_engine
    scene.weights.down = False
    await scene.run_until(lambda: scene.agree(V2))
    assert scene.violations() == []


async def test_drained_runner_accepts_no_work_until_undrained():
    scene, holder = await settled_scene()
    holder.state.draining.add("e0")
    await scene.run(3)
    assert scene.engines["e0"].state == "draining"
    holder.state.draining.discard("e0")
    await scene.run(3)
    assert scene.engines["e0"].state == "ready"


RANDOM_SEEDS = (0, 1, 2, 9, 18, 21)


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
async def test_random_faults_break_no_promise(seed):
    """Any mix of faults, two at a time, and engines that agree at the end."""
    rng = random.Random(seed)
    scene = OrderScene(fleet=make_fleet(runners=4, unfenced=1, hosts=3), seed=seed)
    versions = ["v1", "v2"]
    for _ in range(60):
        publish(
            scene, version=rng.choice(versions), role=rng.choice(["mixed", "decode"])
        )
        for _ in range(2):
            show_fault(scene, rng)
        await scene.run(rng.choice([0.5, 3, 20]))
        assert scene.violations() == []
    heal(scene)
    publish(scene, version="v2")
    await scene.run_until(lambda: scene.agree(V2), limit_s=900)
    assert scene.violations() == []


async def test_random_faults_are_caught_without_the_rule(monkeypatch):
    ignore_numbers(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in RANDOM_SEEDS:
            await test_random_faults_break_no_promise(seed)
