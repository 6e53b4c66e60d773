"""Orders to engines: messages of a change, pulls of weights, appends to the log.

Everything runs on virtual time and is counted, so each run gives the same values.
"""

import asyncio
from dataclasses import replace

from bench.figures import Figure, Target
from harness.order_fakes import make_fleet
from harness.order_scene import OrderSimulation
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.upstream.messages import EngineTarget

PULL_LIMIT = 32
_PULL_S = 10.0
_SETTLE_S = 30.0
_UNBOUNDED = ChangeLimits(changes_per_service=10_000, pulls_per_store=10_000_000)
_V1 = EngineTarget(role="mixed", version="v1")
_DECODE = EngineTarget(role="decode", version="v1")


def run() -> list[Figure]:
    """Measure role changes, restarts of engines and changes of tenure."""
    return asyncio.run(_run())


async def _run() -> list[Figure]:
    figures: list[Figure] = []
    for unfenced, subject in ((0, "checks_fencing"), (1, "ignores_fencing")):
        figures += await _measure_role_change(unfenced, subject)
    figures += await _measure_restart(64, services=1, regions=3, share=0.0)
    figures += await _measure_restart(1300, services=10, regions=3, share=0.0)
    figures += await _measure_restart(64, services=1, regions=3, share=0.5)
    figures += await _measure_unbounded(64)
    figures += await _measure_tenures()
    return figures


async def _measure_role_change(unfenced: int, subject: str) -> list[Figure]:
    """Count what one role change of an idle engine takes."""
    scene = OrderSimulation(fleet=make_fleet(unfenced=unfenced))
    await scene.run(_SETTLE_S)
    client = scene.holder().client
    sent, reads, appends = (
        client.sent_orders,
        client.state_reads,
        len(scene.log.records),
    )
    runners = {
        name: replace(item, initial_role="decode")
        for name, item in scene.fleet.runners.items()
    }
    scene.publish(replace(scene.fleet, runners=runners))
    duration_s = await scene.run_until(lambda: scene.all_match(_DECODE))
    values = {
        "wanted_to_in_force_s": duration_s,
        "orders": float(client.sent_orders - sent),
        "reads": float(client.state_reads - reads),
        "appends": float(len(scene.log.records) - appends - 1),
    }
    return [
        Figure(scenario="role_change", name=name, subject=subject, value=value)
        for name, value in values.items()
    ]


async def _measure_restart(
    runners: int, *, services: int, regions: int, share: float
) -> list[Figure]:
    """Restart every engine with nothing loaded, then every steward."""
    unfenced = int(runners * share)
    scene = _make_empty_scene(
        runners, services=services, regions=regions, unfenced=unfenced
    )
    duration_s = await scene.run_until(lambda: scene.all_match(_V1), limit_s=20_000)
    subject = f"{runners}_runners" + ("_half_ignore_fencing" if share else "")
    figures = [
        Figure(
            scenario="engine_restart",
            name="pulls_at_once",
            subject=subject,
            value=float(scene.weights.peak_pulls),
            target=Target(limit=PULL_LIMIT, direction="at_most"),
        ),
        _figure("engine_restart", "all_loaded_s", subject, duration_s),
        _figure("engine_restart", "refused", subject, scene.weights.refused_checks),
    ]
    pulls, records = scene.weights.total_pulls, len(scene.log.records)
    for host in scene.fleet.hosts:
        scene.start_steward(host, "2")
    await scene.run(_SETTLE_S)
    return figures + [
        _figure("steward_restart", "pulls", subject, scene.weights.total_pulls - pulls),
        _figure(
            "steward_restart", "appends", subject, len(scene.log.records) - records
        ),
    ]


async def _measure_unbounded(runners: int) -> list[Figure]:
    """Restart every engine without limits on changes, as a baseline."""
    scene = _make_empty_scene(
        runners, services=1, regions=3, unfenced=0, limits=_UNBOUNDED
    )
    scene.weights.slots = runners
    await scene.run_until(lambda: scene.all_match(_V1), limit_s=20_000)
    subject = f"{runners}_runners_unbounded"
    return [
        _figure("engine_restart", "pulls_at_once", subject, scene.weights.peak_pulls)
    ]


def _make_empty_scene(
    runners: int,
    *,
    services: int,
    regions: int,
    unfenced: int,
    limits: ChangeLimits | None = None,
) -> OrderSimulation:
    fleet = make_fleet(
        runners=runners,
        unfenced=unfenced,
        services=services,
        regions=regions,
        hosts=3,
    )
    scene = OrderSimulation(
        fleet=fleet,
        initial_target=None,
        limits=limits or ChangeLimits(pulls_per_store=PULL_LIMIT),
    )
    scene.weights.slots = PULL_LIMIT
    scene.weights.pull_s = _PULL_S
    return scene


async def _measure_tenures() -> list[Figure]:
    """Count the appends when one holder of eight hosts dies."""
    scene = OrderSimulation(fleet=make_fleet(hosts=8))
    await scene.run(_SETTLE_S)
    start = len(scene.log.records)
    holder = scene.holder()
    host = holder.tenure_manager.claimant.host
    holder.paused = True
    scene.live_hosts.discard(host)
    duration_s = await scene.run_until(
        lambda: any(item.order_manager.changes for item in scene.other_stewards(holder))
    )
    await scene.run(_SETTLE_S)
    appends = len(scene.log.records) - start
    return [
        _figure("tenure_change", "appends", "8_hosts", appends),
        _figure("tenure_change", "suspected_to_held_s", "8_hosts", duration_s),
    ]


def _figure(scenario: str, name: str, subject: str, value: float) -> Figure:
    return Figure(scenario=scenario, name=name, subject=subject, value=float(value))
