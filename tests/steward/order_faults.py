"""Faults of stewards, engines and paths; each returns the promises broken."""

from dataclasses import dataclass, field

from harness.order_fakes import make_fleet
from harness.order_scene import OrderScene
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.authority.records import HostWithdrawn
from lacewinglug.upstream.messages import EngineTarget

V1 = EngineTarget(role="mixed", version="v1")
V2 = EngineTarget(role="mixed", version="v2")


@dataclass
class WantedRoles:
    """Wants the roles that a test sets."""

    roles: dict = field(default_factory=dict)

    def wanted_roles(self, inputs):
        return self.roles


async def settled_scene(*, unfenced=0, runners=1, **options):
    """Return a scene whose engines run what is wanted, and the holder of e0."""
    scene = OrderScene(fleet=make_fleet(runners=runners, unfenced=unfenced), **options)
    await scene.run(20)
    assert scene.agree(V1)
    return scene, scene.holder()


def publish(scene, **changes):
    """Publish the scene's configuration with another role or version."""
    unfenced = sum(not item.checks_fencing for item in scene.fleet.runners.values())
    count = len(scene.fleet.runners)
    scene.publish(make_fleet(runners=count, unfenced=unfenced, **changes))


def host_of(steward):
    return steward.keeper.claimant.host


def withdraw(scene, host):
    record = HostWithdrawn(
        record_id=f"withdraw-{host}",
        as_of=len(scene.log.records),
        target=host,
        operator="operator",
    )
    scene.log.add(record)


async def wake_after_takeover(unfenced):
    """A holder stops between its check and its send, and wakes much later."""
    scene, holder = await settled_scene(unfenced=unfenced)
    holder.client.switch_gate()
    publish(scene, version="v2")
    await scene.run(1)
    holder.paused = True
    scene.live.discard(host_of(holder))
    await scene.run(120)
    faults = [] if unfenced or scene.agree(V2) else ["no takeover"]
    holder.client.switch_gate()
    holder.paused = False
    scene.live.add(host_of(holder))
    await scene.run(5)
    await scene.run_until(lambda: scene.agree(V2))
    return faults + scene.violations()


async def cut_from_log(unfenced):
    """A holder is cut from the log, but not from its engines, and withdrawn."""
    scene, holder = await settled_scene(unfenced=unfenced)
    holder.path.cut = True
    scene.live.discard(host_of(holder))
    if unfenced:
        withdraw(scene, host_of(holder))
    await scene.run_until(lambda: scene.others(holder)[0].manager.changes)
    publish(scene, version="v2")
    await scene.run(5)
    for steward in scene.stewards.values():
        roles = ["decode", "prefill"] if steward is holder else ["mixed", "mixed"]
        steward.manager.roles = WantedRoles({"e0": roles[0]})
    await scene.run_until(lambda: scene.agree(V2))
    await scene.run(60)
    return scene.violations() + ([] if scene.agree(V2) else ["a stale order won"])


async def late_order(unfenced):
    """An order gets no answer and arrives after newer ones."""
    scene, holder = await settled_scene(unfenced=unfenced)
    holder.client.lose_orders = 1
    publish(scene, version="v2")
    await scene.run_until(lambda: scene.agree(V2))
    if not unfenced:
        holder.client.deliver_late()
    await scene.run(10)
    return scene.violations() + ([] if scene.agree(V2) else ["a late order won"])


async def late_order_of_former_holder(unfenced):
    """An order of a dead holder arrives after the next one read the engine."""
    scene, holder = await settled_scene()
    holder.client.lose_orders = 1
    publish(scene, version="v2")
    await scene.run(1)
    holder.paused = True
    scene.live.discard(host_of(holder))
    publish(scene, version="v1")
    await scene.run_until(lambda: bool(scene.others(holder)[0].manager.changes))
    await scene.run(5)
    holder.client.deliver_late()
    return [] if scene.agree(V1) else ["an order of a former holder won"]


async def crash_in_change(unfenced):
    """The engine restarts in the middle of two changes, and forgets its fence."""
    scene, _ = await settled_scene(unfenced=unfenced)
    scene.engines["e0"].faults.crash_changes = 2
    scene.engines["e0"].faults.forget_fence = True
    publish(scene, version="v2")
    await scene.run(100)
    return scene.violations() + ([] if scene.agree(V2) else ["no agreement"])


async def streams_during_change(unfenced):
    """A change is wanted while prompts run past the drain deadline."""
    scene, _ = await settled_scene(unfenced=unfenced)
    scene.running["e0"] = 1
    publish(scene, version="v2")
    engine = scene.engines["e0"]
    await scene.run_until(lambda: engine.state != "ready")
    await scene.run_until(lambda: engine.state == "ready")
    faults = [] if scene.running["e0"] == 0 or scene.agree(V1) else ["not restored"]
    scene.running["e0"] = 0
    await scene.run_until(lambda: scene.agree(V2))
    return faults + scene.violations()


async def log_down(unfenced):
    """A role change is wanted while the log is down for long."""
    scene, holder = await settled_scene(unfenced=unfenced)
    scene.log.down = True
    decode = EngineTarget(role="decode", version="v1")
    holder.manager.roles = WantedRoles({"e0": "decode"})
    await scene.run(300)
    wanted = V1 if unfenced else decode
    faults = [] if scene.agree(wanted) else [f"runs {scene.engines['e0'].target}"]
    scene.log.down = False
    await scene.run_until(lambda: scene.agree(decode))
    return faults + scene.violations()


async def withdrawn_holder(unfenced):
    """The holder's host is withdrawn in the middle of a change."""
    scene, holder = await settled_scene(unfenced=unfenced)
    publish(scene, version="v2")
    await scene.run_until(lambda: scene.engines["e0"].is_changing)
    withdraw(scene, host_of(holder))
    publish(scene, version="v1")
    await scene.run_until(lambda: scene.agree(V1) and scene.holder() is not holder)
    return scene.violations()


async def many_restarts(unfenced):
    """Twelve engines restart at once; four may pull at the same time."""
    fleet = make_fleet(runners=12)
    scene = OrderScene(fleet=fleet, loaded=None, limits=ChangeLimits(pulls_per_store=4))
    await scene.run_until(lambda: scene.agree(V1), limit_s=1200)
    return scene.violations() + ([] if scene.weights.peak <= 4 else ["too many pulls"])


async def change_under_many_holders(unfenced):
    """Six engines of a service, each a domain of its own, change version."""
    scene = OrderScene(fleet=make_fleet(runners=6, unfenced=6, hosts=4))
    await scene.run(40)
    scene.publish(make_fleet(runners=6, unfenced=6, hosts=4, version="v2"))
    await scene.run_until(lambda: scene.agree(V2), limit_s=1200)
    holders = {scene.holder(name).keeper.claimant.host for name in scene.engines}
    faults = [] if len(holders) > 1 else ["one holder only"]
    return faults + ([] if scene.most_away == 1 else [f"{scene.most_away} away"])


def show_fault(scene, rng):
    """Show, or end, one fault drawn at random."""
    steward = rng.choice(list(scene.stewards.values()))
    engine = scene.engines[rng.choice(list(scene.engines))]
    match rng.randrange(13):
        case 0:
            steward.paused = not steward.paused
        case 1:
            steward.path.cut = not steward.path.cut
        case 2:
            scene.live.symmetric_difference_update({host_of(steward)})
        case 3:
            scene.log.down = not scene.log.down
        case 4:
            scene.log.lose_replies = 1
        case 5:
            steward.client.lose_replies = 1
        case 6:
            engine.faults.crash_changes = 1
        case 7:
            scene.weights.down = not scene.weights.down
        case 8:
            steward.client.lose_orders = 1
            rng.choice(list(scene.stewards.values())).client.deliver_late_to_fenced()
        case 9:
            scene.start_steward(host_of(steward), f"{rng.random()}")
        case 10 if engine.state == "ready":
            name = next(key for key, item in scene.engines.items() if item is engine)
            scene.running[name] = 1
        case 10:
            scene.running.clear()
        case 11 | 12:
            steward.client.switch_gate()


def heal(scene):
    """End every fault."""
    scene.log.down = scene.weights.down = False
    scene.running.clear()
    scene.live.update(scene.stewards)
    for steward in scene.stewards.values():
        steward.paused = steward.path.cut = False
        if steward.client.gate is not None:
            steward.client.switch_gate()
