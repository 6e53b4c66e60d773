"""Plays one seed of the soak."""

import asyncio
import os
from pathlib import Path

from tests.soak.clients import ClientGroup
from tests.soak.faults import FaultInjector
from tests.soak.fleet import SoakFleet
from tests.soak.judge import judge
from tests.soak.records import Evidence

WARM_S = 1.0
"""Calm time before the first fault, in s."""


def play(seed: int, folder: Path) -> tuple[Evidence, list[str]]:
    """Play a seed; return what was seen and the promises that were broken.

    :param folder: where the settings and logs of the hosts go.
    """
    evidence = Evidence()
    asyncio.run(_play(seed, folder, evidence))
    return evidence, judge(evidence)


async def _play(seed, folder, evidence):
    fleet = SoakFleet(seed=seed, folder=folder, evidence=evidence)
    # Soaks that run side by side use other addresses of loopback.
    high, low = divmod(os.getpid() % 62_500, 250)
    try:
        await fleet.open(f"127.{1 + high}.{low}.{{}}")
        clients = ClientGroup(fleet)
        evidence.unrecovered = await clients.find_unrecovered()
        running = asyncio.create_task(clients.run())
        await asyncio.sleep(WARM_S)
        await FaultInjector(fleet).run()
        evidence.unrecovered += await clients.find_unrecovered()
        clients.stopping = True
        await running
        evidence.exits = [host.name for host in fleet.hosts if host.ended_by_itself]
    finally:
        await fleet.close()
