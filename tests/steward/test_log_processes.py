"""Tests of stewards and the log client against the process of the log stand-in."""

import asyncio

import aiohttp
import pytest

from harness.deployment import Deployment, reserve_port_block
from lacewinglug.authority.reading import read_state
from lacewinglug.authority.records import SnapshotTaken, encode_record
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.log import CONTROL_STREAM, HttpLogClient
from lacewinglug.clock import SystemClock
from lacewinglug.metrics import Metrics
from lacewinglug.standin.relay import PathState, TcpRelay
from lacewinglug.steward.replica import Replica
from lacewinglug.steward.tail import LogTail
from tests.steward.test_control_processes import serves_revision, wait_for

pytestmark = pytest.mark.processes


@pytest.fixture
def platform(tmp_path):
    with Deployment(example="volt-trottoir", folder=tmp_path) as deployment:
        deployment.start_platform()
        deployment.publish()
        yield deployment


async def test_host_starts_on_a_log_trimmed_up_to_the_snapshot(platform):
    async with aiohttp.ClientSession() as session:
        log = HttpLogClient(session=session, base_url=platform.platform_url)
        stale = await read_state(log)
        platform.run_command("drain", "entry-7")
        state = await read_state(log)
        for number, item in enumerate((state, stale)):
            record = SnapshotTaken(
                record_id=f"s{number}", as_of=item.next_offset, state=item
            )
            await log.append(CONTROL_STREAM, encode_record(record))
        trim = f"{platform.platform_url}/streams/{CONTROL_STREAM}/trim"
        params = {"first_offset": str(state.next_offset)}
        async with session.post(trim, params=params) as response:
            assert response.status == 200
        platform.start_hosts(["entry-1"])
        await asyncio.to_thread(
            wait_for,
            lambda: serves_revision(platform, "entry-1", 1),
            "revision 1 is not in force",
        )
        reread = await read_state(log)
    assert (reread.revision, reread.draining) == (1, {"entry-7"})


async def test_connection_to_the_log_is_replaced_when_it_goes_silent_or_is_cut(
    platform,
):
    guard, port = reserve_port_block()
    relay = TcpRelay(port=port, target_port=int(platform.platform_url[-5:]))
    await relay.start()
    async with aiohttp.ClientSession() as session:
        tail = LogTail(
            log=HttpLogClient(session=session, base_url=f"http://127.0.0.1:{port}"),
            replica=Replica(state=ControlState()),
            clock=SystemClock(),
            wait_s=0.2,
            metrics=Metrics(),
        )
        for _ in range(2):
            assert await tail.read_once()
        relay.silence_open_connections()
        assert not await tail.read_once()
        assert await tail.read_once()
        relay.state = PathState.CUT
        relay.cut_open_connections()
        assert not await tail.read_once()
        assert (tail.reachable, tail.replica.state.revision) == (False, 1)
        relay.state = PathState.FORWARD
        assert await tail.read_once()
    await relay.stop()
    guard.close()
