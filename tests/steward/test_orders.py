"""Engines never get conflicting orders; each rule is shown to fail without it."""

import asyncio
import random
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from harness.order_scene import OrderScene, make_fleet
from lacewinglug.authority import orders, replay
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.authority.records import HostWithdrawn
from lacewinglug.steward import engine_change, tenures
from lacewinglug.steward.tenures import HOST_LIST_OPERATOR, TenureKeeper
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


# Faults: each returns what went against the promises.


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
    await scene.run_until(lambda: scene.agree(V2))
    return scene.violations()


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


# Mutants: each takes one rule away.


def ignore_fences(monkeypatch):
    original = OrderScene._make_engine
    monkeypatch.setattr(
        OrderScene, "_make_engine", lambda self, name, _: original(self, name, False)
    )


def ignore_numbers(monkeypatch):
    ignore_fences(monkeypatch)
    monkeypatch.setattr(orders, "tenure_of", lambda _: -1)


def pass_exclusive_tenures(monkeypatch):
    monkeypatch.setattr(replay, "may_pass", lambda *_: True)
    decide = tenures.decide_tenure
    monkeypatch.setattr(
        tenures,
        "decide_tenure",
        lambda state, domain, **options: decide(_as_passing(state), domain, **options),
    )


def _as_passing(state):
    passing = {
        name: replace(item, exclusive=False) for name, item in state.tenures.items()
    }
    return replace(state, tenures=passing)


def trust_stale_state(monkeypatch):
    async def confirm(self, domain, tenure):
        return True

    monkeypatch.setattr(TenureKeeper, "confirm", confirm)


def number_by_tenure_only(monkeypatch):
    monkeypatch.setattr(orders, "fencing_number", lambda tenure, _: tenure << 16)


def raise_no_fence(monkeypatch):
    edit_steps(monkeypatch, lambda change, reading: setattr(change, "fence", 0))


def edit_steps(monkeypatch, before=lambda *_: None, **edits):
    """Change what the decision on the next step sees."""
    decide = engine_change.next_step

    def next_step(change, reading, wanted, **options):
        before(change, reading)
        seen = msgspec.structs.replace(reading, **edits)
        return decide(change, seen, wanted, **options)

    monkeypatch.setattr(engine_change, "next_step", next_step)


def order_while_changing(monkeypatch):
    edit_steps(monkeypatch, state="ready", running=0)


def change_without_drain(monkeypatch):
    edit_steps(monkeypatch, running=0)


def keep_withdrawn_holder(monkeypatch):
    monkeypatch.setattr(replay, "_end_tenures", lambda *_: None)


def pull_at_once(monkeypatch):
    monkeypatch.setattr(ChangeLimits, "may_begin", lambda *_, **__: True)


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
    scene.engines["e0"].fencing_number = orders.fencing_number(4, 1)
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
