"""Crashes of engines are told apart from answers that were lost otherwise."""

import asyncio

import pytest

from lacewinglug.host.crashes import ANSWER_START_S
from lacewinglug.host.model import PromptPart
from lacewinglug.host.quarantine import CRASHES_TO_QUARANTINE_PROVEN, Crash
from lacewinglug.host.residency import hash_part
from tests.host.hosting import running_host
from tests.platform.scene import HostTestbed, make_configuration
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


# Guards against a request that crashes one engine after the other in one attempt.
async def test_request_that_crashed_an_engine_is_not_sent_to_the_next(testbed):
    first = testbed.runners[0]
    second = await FakeRunner("i-2", "llm", stage="decode").open()
    testbed.runners.append(second)
    first.mode = second.mode = "hang"
    async with running_host(testbed.settings) as process:
        await testbed.wait_until_ready()
        await testbed.store.put("keyed.servers", "i-2", second.entry())
        await wait_until(lambda: len(process.state.fleet.entries) == 2)
        request = asyncio.create_task(testbed.send_request("/ask/x"))
        await wait_until(lambda: first.runs or second.runs)
        crashed = first if first.runs else second
        crashed.close()
        assert (await request).status == 502
    assert len(first.runs) + len(second.runs) == 1


# Guards against sound prompts that are not resumed when their engine ends.
async def test_prompt_whose_parts_were_answered_is_sent_to_another_engine(testbed):
    first = testbed.runners[0]
    second = await FakeRunner("i-2", "llm", stage="decode").open()
    testbed.runners.append(second)
    async with running_host(testbed.settings) as process:
        await testbed.wait_until_ready()
        assert (await testbed.send_request("/ask/x")).status == 200
        first.mode = "hang"
        request = asyncio.create_task(testbed.send_request("/ask/x"))
        await wait_until(lambda: len(first.runs) == 2)
        await testbed.store.put("keyed.servers", "i-2", second.entry())
        await wait_until(lambda: len(process.state.fleet.entries) == 2)
        first.close()
        assert (await request).status == 200
    assert len(second.runs) == 1


async def test_quarantined_prompt_is_refused_before_any_engine_gets_it(testbed):
    async with running_host(testbed.settings) as process:
        await testbed.wait_until_ready()
        now_s = process.state.now_s()
        key = hash_part("m", PromptPart(part_id="a1", tokens=13_000)).key
        for engine in (1, 2):
            crash = Crash(engine=engine, at_s=now_s - 10 * engine)
            process.state.quarantine.record_crash([key], crash, now_s=now_s)
        response = await testbed.send_request("/ask/x")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 10
        assert b"crash" in response.body
        sound = {"X_Lacewinglug_Prompt_Prefix": "c3:13000,b2:4000"}
        assert (await testbed.send_request("/ask/x", **sound)).status == 200
    assert len(testbed.runners[0].runs) == 1


# Guards against an error of the engine itself that releases a part.
async def test_error_of_a_runner_proves_no_part(testbed):
    configuration = make_configuration(version=2)
    configuration["Routes"][2] |= {"Kind": "safe", "MaxAttempts": 1}
    testbed.runners[0].mode = "fail"
    await testbed.store.put("keyed.op", "config", configuration)
    async with running_host(testbed.settings) as process:
        await testbed.wait_until_ready()
        assert (await testbed.send_request("/ask/x")).status == 500
        key = hash_part("m", PromptPart(part_id="a1", tokens=13_000)).key
        assert not process.state.quarantine.is_proven(key)


class LongStream(FakeRunner):
    """Sends two events apart, and the last one when it is told to."""

    async def stream(self, request, exchange):
        self.last_allowed = asyncio.Event()
        await exchange.start_response(200, self.response_headers(request))
        await exchange.write(b"id: 1\ndata: w1\n\n")
        await asyncio.sleep(2 * ANSWER_START_S)
        await exchange.write(b"id: 2\ndata: w2\n\n")
        await self.last_allowed.wait()
        await exchange.write(b"id: 3\ndata: w3\n\n")
        await exchange.finish()


# Guards against a deadly part that is released by the end of an answer that began
# before the crashes.
async def test_end_of_an_answer_that_began_before_the_crashes_releases_no_part():
    runner = LongStream("i-1", "llm", stage="decode")
    testbed = await HostTestbed().open(runner)
    key = hash_part("m", PromptPart(part_id="a1", tokens=13_000)).key
    async with running_host(testbed.settings) as process:
        await testbed.wait_until_ready()
        quarantine, now_s = process.state.quarantine, process.state.now_s()
        request = asyncio.create_task(testbed.send_request("/ask/x"))
        await wait_until(lambda: quarantine.is_proven(key))
        for engine in range(CRASHES_TO_QUARANTINE_PROVEN):
            crash = Crash(engine=engine, at_s=now_s + engine)
            quarantine.record_crash([key], crash, now_s=now_s + engine)
        assert quarantine.quarantined_parts() == [key]
        runner.last_allowed.set()
        assert (await request).complete
        assert quarantine.quarantined_parts() == [key]
    testbed.close()
