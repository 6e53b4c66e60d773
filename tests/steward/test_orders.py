"""Tests that engines never receive conflicting orders under faults.

Each fault is also run with one rule disabled, and must then be detected.
"""

import asyncio
import random

import pytest

from harness.order_fakes import make_fleet
from harness.order_scene import OrderSimulation
from lacewinglug.authority import orders
from lacewinglug.steward.tenures import HOST_LIST_OPERATOR
from tests.steward.order_faults import (
    V1,
    V2,
    change_with_many_holders,
    clear_faults,
    crash_during_change,
    deliver_former_holder_order_late,
    deliver_order_late,
    host_name,
    load_many_engines,
    lose_log_connection,
    publish,
    resume_after_takeover,
    run_prompt_during_change,
    start_converged_simulation,
    take_log_down,
    toggle_random_fault,
    withdraw_holder,
)
from tests.steward.order_mutants import (
    accept_any_number,
    change_without_drain,
    ignore_change_limits,
    ignore_fencing_numbers,
    ignore_turns,
    keep_tenures_of_withdrawn_host,
    omit_sequence_from_numbers,
    order_while_changing,
    skip_raising_fence,
    skip_tenure_confirmation,
    transfer_exclusive_tenures,
)

FENCED, UNFENCED = 0, 1
FAULTS_WITH_MUTANTS = [
    (resume_after_takeover, FENCED, accept_any_number),
    (resume_after_takeover, UNFENCED, transfer_exclusive_tenures),
    (lose_log_connection, FENCED, ignore_fencing_numbers),
    (lose_log_connection, UNFENCED, skip_tenure_confirmation),
    (deliver_order_late, FENCED, omit_sequence_from_numbers),
    (deliver_former_holder_order_late, FENCED, skip_raising_fence),
    (crash_during_change, FENCED, order_while_changing),
    (crash_during_change, UNFENCED, order_while_changing),
    (run_prompt_during_change, FENCED, change_without_drain),
    (run_prompt_during_change, UNFENCED, change_without_drain),
    (take_log_down, UNFENCED, skip_tenure_confirmation),
    (withdraw_holder, UNFENCED, keep_tenures_of_withdrawn_host),
    (load_many_engines, FENCED, ignore_change_limits),
    (change_with_many_holders, UNFENCED, ignore_turns),
]
FAULTS = [*((fault, kind) for fault, kind, _ in FAULTS_WITH_MUTANTS)] + [
    (take_log_down, FENCED),
    (deliver_order_late, UNFENCED),
    (withdraw_holder, FENCED),
]


@pytest.mark.parametrize(("fault", "unfenced"), FAULTS)
async def test_fault_violates_no_invariant(fault, unfenced):
    assert await fault(unfenced) == []


@pytest.mark.parametrize(("fault", "unfenced", "mutant"), FAULTS_WITH_MUTANTS)
async def test_fault_is_detected_without_the_rule(fault, unfenced, mutant, monkeypatch):
    mutant(monkeypatch)
    try:
        caught = await asyncio.wait_for(fault(unfenced), 20)
    except AssertionError as error:
        caught = [str(error)]
    assert caught


async def test_exclusive_tenure_is_kept_by_unresponsive_holder():
    simulation, holder = await start_converged_simulation(unfenced=1)
    holder.paused = True
    simulation.live_hosts.discard(host_name(holder))
    publish(simulation, version="v2")
    await simulation.run(3600)
    engine = simulation.engines["e0"]
    assert (engine.state, simulation.all_match(V1)) == ("ready", True)
    assert not simulation.other_stewards(holder)[0].order_manager.changes


async def test_exclusive_tenure_is_transferred_when_host_is_unlisted():
    simulation, holder = await start_converged_simulation(unfenced=1)
    holder.paused = True
    simulation.live_hosts.discard(host_name(holder))
    simulation.listed_hosts.discard(host_name(holder))
    publish(simulation, version="v2")
    await simulation.run_until(lambda: simulation.all_match(V2))
    records = [data for data in simulation.log.records if b"host_withdrawn" in data]
    assert len(records) == 1
    assert HOST_LIST_OPERATOR.encode() in records[0]


async def test_host_list_without_own_host_is_ignored():
    simulation, holder = await start_converged_simulation(unfenced=1)
    holder.paused = True
    simulation.live_hosts.discard(host_name(holder))
    simulation.listed_hosts.clear()
    await simulation.run(300)
    assert not simulation.other_stewards(holder)[0].order_manager.changes


@pytest.mark.parametrize("unfenced", [FENCED, UNFENCED])
async def test_next_incarnation_on_the_host_takes_over(unfenced):
    simulation, holder = await start_converged_simulation(unfenced=unfenced)
    simulation.start_steward(host_name(holder), "2")
    publish(simulation, version="v2")
    await simulation.run_until(lambda: simulation.all_match(V2))
    assert simulation.holder() is simulation.stewards[host_name(holder)]
    assert simulation.find_violations() == []


@pytest.mark.parametrize("unfenced", [FENCED, UNFENCED])
async def test_drained_host_releases_its_tenures(unfenced):
    simulation, holder = await start_converged_simulation(unfenced=unfenced)
    holder.state.draining.add(host_name(holder))
    simulation.other_stewards(holder)[0].state.draining.add(host_name(holder))
    await holder.order_manager.release_when_draining()
    await simulation.run_until(
        lambda: bool(simulation.other_stewards(holder)[0].order_manager.changes)
    )
    assert not holder.order_manager.changes


@pytest.mark.parametrize("outstanding", [False, True])
async def test_shutdown_releases_domains_without_outstanding_order(outstanding):
    simulation, holder = await start_converged_simulation(unfenced=1)
    holder.order_manager.changes["e0"].has_outstanding_order = outstanding
    task = asyncio.create_task(holder.order_manager.run())
    await simulation.clock.advance(0.1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    holder.paused = True
    released = any(b"tenure_released" in data for data in simulation.log.records)
    assert released is not outstanding


@pytest.mark.parametrize("loss", ["lose_replies", "lose_appends"])
async def test_lost_claim_is_resolved_by_replay(loss):
    simulation = OrderSimulation(fleet=make_fleet())
    setattr(simulation.log, loss, 1)
    await simulation.run(20)
    tenures_seen = {
        item.state.tenures["s0/r0"].offset for item in simulation.stewards.values()
    }
    assert len(tenures_seen) == 1
    assert (
        simulation.all_match(V1) and simulation.holder().tenure_manager.held_tenures()
    )


async def test_tenure_is_renewed_if_engine_has_higher_number():
    simulation, holder = await start_converged_simulation()
    simulation.engines["e0"].fencing_number = orders.make_fencing_number(4, 1)
    publish(simulation, version="v2")
    await simulation.run_until(lambda: simulation.all_match(V2))
    assert holder.tenure_manager.held_tenures()["s0/r0"] >= 4


async def test_halted_replay_sends_no_orders():
    simulation, holder = await start_converged_simulation()
    holder.state.halted = "needs a newer version"
    publish(simulation, version="v2")
    await simulation.run(30)
    assert holder.tenure_manager.held_tenures() == {} and simulation.all_match(V1)


async def test_store_outage_keeps_engines_serving():
    simulation, _ = await start_converged_simulation(runners=3)
    simulation.weights.down = True
    publish(simulation, version="v2")
    await simulation.run(600)
    assert simulation.all_match(V1)
    attempts_per_engine = (
        600 / 30 + 8
    )  # 8 doublings, then at least half of the 60 s cap
    assert simulation.weights.refused_checks <= 3 * attempts_per_engine
    simulation.weights.down = False
    await simulation.run_until(lambda: simulation.all_match(V2))
    assert simulation.find_violations() == []


async def test_drained_runner_accepts_no_work_until_drain_ends():
    simulation, holder = await start_converged_simulation()
    holder.state.draining.add("e0")
    await simulation.run(3)
    assert simulation.engines["e0"].state == "draining"
    holder.state.draining.discard("e0")
    await simulation.run(3)
    assert simulation.engines["e0"].state == "ready"


RANDOM_SEEDS = (0, 1, 2, 9, 18, 21)


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
async def test_random_faults_violate_no_invariant(seed):
    """Random pairs of faults violate no invariant, and the engines converge."""
    rng = random.Random(seed)
    simulation = OrderSimulation(
        fleet=make_fleet(runners=4, unfenced=1, hosts=3), seed=seed
    )
    versions = ["v1", "v2"]
    for _ in range(60):
        publish(
            simulation,
            version=rng.choice(versions),
            role=rng.choice(["mixed", "decode"]),
        )
        for _ in range(2):
            toggle_random_fault(simulation, rng)
        await simulation.run(rng.choice([0.5, 3, 20]))
        assert simulation.find_violations() == []
    clear_faults(simulation)
    publish(simulation, version="v2")
    await simulation.run_until(lambda: simulation.all_match(V2), limit_s=900)
    assert simulation.find_violations() == []


async def test_random_faults_are_detected_without_the_rule(monkeypatch):
    ignore_fencing_numbers(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in RANDOM_SEEDS:
            await test_random_faults_violate_no_invariant(seed)
