"""Plays one seed of the soak."""

import asyncio
import os
import signal
from dataclasses import dataclass
from pathlib import Path

from tests.soak.clients import CALM_HABITS, ClientGroup, Habits
from tests.soak.faults import FaultInjector
from tests.soak.fleet import FleetShape, SoakFleet
from tests.soak.judge import judge
from tests.soak.planned import PlannedWork, make_calm_shape
from tests.soak.records import Evidence
from tests.soak.report import read_logs, write_record

WARM_S = 1.0
"""Calm time before the first fault, in s."""


@dataclass(frozen=True, kw_only=True)
class Unplanned:
    """A run with unplanned faults on three hosts."""


@dataclass(frozen=True, kw_only=True)
class Calm:
    """A run with planned work on sound runners, and trouble of the store.

    :param duration_s: time in which work begins.
    """

    hosts: int = 8
    duration_s: float = 10.0


def play(
    seed: int, folder: Path, *, run: Unplanned | Calm | None = None
) -> tuple[Evidence, list[str]]:
    """Play a seed; return what was seen and the promises that were broken.

    :param folder: where the settings and logs of the hosts go, and the record.
    """
    evidence = Evidence(calm=isinstance(run, Calm))
    asyncio.run(_play(seed, folder, run or Unplanned(), evidence))
    return evidence, judge(evidence)


async def _play(seed, folder, run, evidence):
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    match run:
        case Unplanned():
            shape, habits = FleetShape(), Habits()
        case Calm(hosts=hosts):
            shape, habits = make_calm_shape(hosts), CALM_HABITS
    evidence.grace_s = shape.grace_s
    fleet = SoakFleet(seed=seed, folder=folder, evidence=evidence, shape=shape)
    # Soaks that run side by side use other addresses of loopback.
    high, low = divmod(os.getpid() % 62_500, 250)
    try:
        await fleet.open(f"127.{1 + high}.{low}.{{}}")
        clients = ClientGroup(fleet, habits)
        evidence.unrecovered = await clients.find_unrecovered()
        running = asyncio.create_task(clients.run())
        await asyncio.sleep(WARM_S)
        match run:
            case Unplanned():
                await FaultInjector(fleet).run()
            case Calm(duration_s=duration_s):
                await PlannedWork(fleet, duration_s=duration_s).run()
        evidence.unrecovered += await clients.find_unrecovered()
        clients.stopping = True
        await running
        evidence.exits = [host.name for host in fleet.hosts if host.ended_by_itself]
    finally:
        await fleet.close()
        read_logs(fleet.hosts, evidence)
        write_record(folder / "record.txt", evidence, loop.time())
