"""Faults of stewards, engines and connections.

Each scenario returns descriptions of violated invariants.
"""

from dataclasses import dataclass, field

from harness.order_fakes import make_fleet
from harness.order_scene import OrderSimulation
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.authority.records import HostWithdrawn
from lacewinglug.upstream.messages import EngineTarget

V1 = EngineTarget(role="mixed", version="v1")
V2 = EngineTarget(role="mixed", version="v2")


@dataclass
class FixedRoles:
    """Role source that returns the roles set by a test."""

    roles: dict = field(default_factory=dict)

    def desired_roles(self, inputs):
        return self.roles


async def start_converged_simulation(*, unfenced=0, runners=1, **options):
    """Return a simulation with converged engines, and the holder of e0."""
    simulation = OrderSimulation(
        fleet=make_fleet(runners=runners, unfenced=unfenced), **options
    )
    await simulation.run(20)
    assert simulation.all_match(V1)
    return simulation, simulation.holder()


def publish(simulation, **changes):
    """Publish the configuration of the simulation with another role or version."""
    unfenced = sum(
        not item.checks_fencing for item in simulation.fleet.runners.values()
    )
    count = len(simulation.fleet.runners)
    simulation.publish(make_fleet(runners=count, unfenced=unfenced, **changes))


def host_name(steward):
    return steward.tenure_manager.claimant.host


def withdraw_host(simulation, host):
    record = HostWithdrawn(
        record_id=f"withdraw-{host}",
        as_of=len(simulation.log.records),
        target=host,
        operator="operator",
    )
    simulation.log.add(record)


async def resume_after_takeover(unfenced):
    """A holder pauses before sending an order and resumes after a takeover."""
    simulation, holder = await start_converged_simulation(unfenced=unfenced)
    holder.client.toggle_gate()
    publish(simulation, version="v2")
    await simulation.run(1)
    holder.paused = True
    simulation.live_hosts.discard(host_name(holder))
    await simulation.run(120)
    faults = [] if unfenced or simulation.all_match(V2) else ["no takeover"]
    holder.client.toggle_gate()
    holder.paused = False
    simulation.live_hosts.add(host_name(holder))
    await simulation.run(5)
    await simulation.run_until(lambda: simulation.all_match(V2))
    return faults + simulation.find_violations()


async def lose_log_connection(unfenced):
    """A holder loses its log connection but still reaches its engines.

    Its host is withdrawn if the engine ignores fencing numbers.
    """
    simulation, holder = await start_converged_simulation(unfenced=unfenced)
    holder.log_connection.broken = True
    simulation.live_hosts.discard(host_name(holder))
    if unfenced:
        withdraw_host(simulation, host_name(holder))
    await simulation.run_until(
        lambda: simulation.other_stewards(holder)[0].order_manager.changes
    )
    publish(simulation, version="v2")
    await simulation.run(5)
    for steward in simulation.stewards.values():
        roles = ["decode", "prefill"] if steward is holder else ["mixed", "mixed"]
        steward.order_manager.role_source = FixedRoles({"e0": roles[0]})
    await simulation.run_until(lambda: simulation.all_match(V2))
    await simulation.run(60)
    return simulation.find_violations() + (
        [] if simulation.all_match(V2) else ["a stale order took effect"]
    )


async def deliver_order_late(unfenced):
    """An order receives no reply and arrives after newer ones."""
    simulation, holder = await start_converged_simulation(unfenced=unfenced)
    holder.client.lose_orders = 1
    publish(simulation, version="v2")
    await simulation.run_until(lambda: simulation.all_match(V2))
    if not unfenced:
        holder.client.deliver_in_flight()
    await simulation.run(10)
    return simulation.find_violations() + (
        [] if simulation.all_match(V2) else ["a late order took effect"]
    )


async def deliver_former_holder_order_late(unfenced):
    """An order of a former holder arrives after the next holder read the engine."""
    simulation, holder = await start_converged_simulation()
    holder.client.lose_orders = 1
    publish(simulation, version="v2")
    await simulation.run(1)
    holder.paused = True
    simulation.live_hosts.discard(host_name(holder))
    publish(simulation, version="v1")
    await simulation.run_until(
        lambda: bool(simulation.other_stewards(holder)[0].order_manager.changes)
    )
    await simulation.run(5)
    holder.client.deliver_in_flight()
    return (
        [] if simulation.all_match(V1) else ["an order of a former holder took effect"]
    )


async def crash_during_change(unfenced):
    """The engine restarts during two changes and loses its fencing number."""
    simulation, _ = await start_converged_simulation(unfenced=unfenced)
    simulation.engines["e0"].faults.crash_changes = 2
    simulation.engines["e0"].faults.forget_fence = True
    publish(simulation, version="v2")
    await simulation.run(100)
    return simulation.find_violations() + (
        [] if simulation.all_match(V2) else ["engines did not converge"]
    )


async def run_prompt_during_change(unfenced):
    """A change is required while a prompt runs past the drain deadline."""
    simulation, _ = await start_converged_simulation(unfenced=unfenced)
    simulation.running_prompts["e0"] = 1
    publish(simulation, version="v2")
    engine = simulation.engines["e0"]
    await simulation.run_until(lambda: engine.state != "ready")
    await simulation.run_until(lambda: engine.state == "ready")
    faults = (
        []
        if simulation.running_prompts["e0"] == 0 or simulation.all_match(V1)
        else ["not restored"]
    )
    simulation.running_prompts["e0"] = 0
    await simulation.run_until(lambda: simulation.all_match(V2))
    return faults + simulation.find_violations()


async def take_log_down(unfenced):
    """A role change is required during a long log outage."""
    simulation, holder = await start_converged_simulation(unfenced=unfenced)
    simulation.log.down = True
    decode = EngineTarget(role="decode", version="v1")
    holder.order_manager.role_source = FixedRoles({"e0": "decode"})
    await simulation.run(300)
    desired = V1 if unfenced else decode
    faults = (
        []
        if simulation.all_match(desired)
        else [f"runs {simulation.engines['e0'].target}"]
    )
    simulation.log.down = False
    await simulation.run_until(lambda: simulation.all_match(decode))
    return faults + simulation.find_violations()


async def withdraw_holder(unfenced):
    """The host of the holder is withdrawn during a change."""
    simulation, holder = await start_converged_simulation(unfenced=unfenced)
    publish(simulation, version="v2")
    await simulation.run_until(lambda: simulation.engines["e0"].is_changing)
    withdraw_host(simulation, host_name(holder))
    publish(simulation, version="v1")
    await simulation.run_until(
        lambda: simulation.all_match(V1) and simulation.holder() is not holder
    )
    return simulation.find_violations()


async def load_many_engines(unfenced):
    """Twelve engines start without weights; at most four may pull at once."""
    fleet = make_fleet(runners=12)
    simulation = OrderSimulation(
        fleet=fleet, initial_target=None, limits=ChangeLimits(pulls_per_store=4)
    )
    await simulation.run_until(lambda: simulation.all_match(V1), limit_s=1200)
    return simulation.find_violations() + (
        [] if simulation.weights.peak_pulls <= 4 else ["too many pulls"]
    )


async def change_with_many_holders(unfenced):
    """Six engines of a service, each in its own domain, change version."""
    simulation = OrderSimulation(fleet=make_fleet(runners=6, unfenced=6, hosts=4))
    await simulation.run(40)
    simulation.publish(make_fleet(runners=6, unfenced=6, hosts=4, version="v2"))
    await simulation.run_until(lambda: simulation.all_match(V2), limit_s=1200)
    holders = {
        simulation.holder(name).tenure_manager.claimant.host
        for name in simulation.engines
    }
    faults = [] if len(holders) > 1 else ["one holder only"]
    return faults + (
        []
        if simulation.max_unavailable == 1
        else [f"{simulation.max_unavailable} unavailable"]
    )


def toggle_random_fault(simulation, rng):
    """Start or end a random fault."""
    steward = rng.choice(list(simulation.stewards.values()))
    engine = simulation.engines[rng.choice(list(simulation.engines))]
    match rng.randrange(13):
        case 0:
            steward.paused = not steward.paused
        case 1:
            steward.log_connection.broken = not steward.log_connection.broken
        case 2:
            simulation.live_hosts.symmetric_difference_update({host_name(steward)})
        case 3:
            simulation.log.down = not simulation.log.down
        case 4:
            simulation.log.lose_replies = 1
        case 5:
            steward.client.lose_replies = 1
        case 6:
            engine.faults.crash_changes = 1
        case 7:
            simulation.weights.down = not simulation.weights.down
        case 8:
            steward.client.lose_orders = 1
            rng.choice(
                list(simulation.stewards.values())
            ).client.deliver_in_flight_to_fenced()
        case 9:
            simulation.start_steward(host_name(steward), f"{rng.random()}")
        case 10 if engine.state == "ready":
            name = next(
                key for key, item in simulation.engines.items() if item is engine
            )
            simulation.running_prompts[name] = 1
        case 10:
            simulation.running_prompts.clear()
        case 11 | 12:
            steward.client.toggle_gate()


def clear_faults(simulation):
    """End all faults."""
    simulation.log.down = simulation.weights.down = False
    simulation.running_prompts.clear()
    simulation.live_hosts.update(simulation.stewards)
    for steward in simulation.stewards.values():
        steward.paused = steward.log_connection.broken = False
        if steward.client.gate is not None:
            steward.client.toggle_gate()
