"""Crashes of engines are told apart from answers that were lost otherwise."""

import asyncio

import pytest

from tests.host.hosting import running_host
from tests.platform.scene import HostTestbed
from tests.platform.standin import FakeRunner

LOG_LINE = "engine crashed while it began an answer"


@pytest.fixture
async def testbed():
    testbed = await HostTestbed().open(FakeRunner("i-1", "llm", stage="decode"))
    yield testbed
    testbed.close()


def count_crashes(process):
    return process.state.metrics.engine_crashes.labels("llm")._value.get()


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def settle(process):
    """Wait until all checks of engines have ended."""
    await wait_until(lambda: not process.state.background_tasks)


# Guards against a crash that no log line connects with the prompts it interrupted.
async def test_crash_is_logged_with_the_parts_of_the_prompt(testbed, caplog):
    runner = testbed.runners[0]
    runner.mode = "hang"
    async with running_host(testbed.settings) as process:
        await testbed.wait_until_ready()
        request = asyncio.create_task(
            testbed.send_request("/ask/x", X_Lacewinglug_Request_Id="00000000000000aa")
        )
        await wait_until(lambda: runner.runs)
        runner.close()
        assert (await request).status in (502, 503)
        await settle(process)
        assert count_crashes(process) == 1
    (line,) = [item for item in caplog.records if item.message == LOG_LINE]
    assert line.request_id == "00000000000000aa"
    assert line.runner == "i-1"
    assert list(line.parts) == ["a1"]


@pytest.mark.parametrize("mode", ["cut", "stray"])
async def test_answer_that_is_lost_otherwise_is_no_crash(testbed, caplog, mode):
    testbed.runners[0].mode = mode
    async with running_host(testbed.settings) as process:
        await testbed.wait_until_ready()
        await testbed.send_request("/ask/x")
        await settle(process)
        assert count_crashes(process) == 0
    assert LOG_LINE not in [item.message for item in caplog.records]
