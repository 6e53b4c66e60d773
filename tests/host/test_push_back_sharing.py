"""Runners that take requests share those that others push back.

Each test guards against one way in which requests could pile on a runner, or be
repeated too often, while other runners answer 503 with ``Retry-After``.
"""

import asyncio
import contextlib

import pytest

from lacewinglug.host.engines import TrackedEngine
from tests.host.test_notices import SHORT_PROMPT
from tests.host.test_push_back import push_back
from tests.host.test_relay import running_scene
from tests.platform.scene import make_configuration, make_route
from tests.platform.standin import FakeRunner

RUNNER_COUNT = 6
PUSHING_COUNT = 3
SLOTS = 6
"""Slots of each runner, as it registers them."""
WAVE = SLOTS * (RUNNER_COUNT - PUSHING_COUNT)
"""Number of requests that fill the slots of the runners that take them."""
ANSWER_S = 0.8
"""Time that a runner takes for a call, so that all of those sent at once overlap."""
EVENT_INTERVAL_S = 0.1
"""Time between two events of a stream; it has as many as its test lets it have."""
SLOWDOWN_STEP = 0.14
"""Difference of the slowdowns of two engines, for a short prompt about 3 ms; less than
the cost of a stream above an equal share of the slots."""
SLOWDOWN_STEP_ABOVE_SLOTS = 0.09
"""The same for an equal share of twice as many streams."""
TIMEOUT_MS = 30_000
TARGET_LATENCY_MS = 30_000
"""Target latency, so long that no call is sent again while its answer is held."""
PATHS = ("/status/", "/notes/1")


class CountingRunner(FakeRunner):
    """Runner that counts how many requests it runs at once.

    :param most_running: highest number so far.
    :param may_end: whether requests may end.
    """

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.mode, self.pause_s = "pause", ANSWER_S
        self.running = 0
        self.most_running = 0
        self.may_end = asyncio.Event()
        self.may_end.set()

    async def serve(self, request, exchange):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if self.stage is None:
                await self.may_end.wait()
            await super().serve(request, exchange)
        finally:
            self.running -= 1

    async def stream(self, request, exchange):
        await exchange.start_response(200, self.response_headers(request))
        await exchange.write(b"id: 1\ndata: w\n\n")
        while not self.may_end.is_set():
            await asyncio.sleep(EVENT_INTERVAL_S)
            await exchange.write(b"data: w\n\n")
        await exchange.finish()


@contextlib.asynccontextmanager
async def running_fleet(path, *, bounds=None):
    """Run a host, runners that push back, and runners that take requests."""
    service, stage = ("app", None) if path == "/status/" else ("llm", "decode")
    runners = [
        CountingRunner(f"runner-{number}", service, stage=stage)
        for number in range(RUNNER_COUNT)
    ]
    pushing, taking = runners[:PUSHING_COUNT], runners[PUSHING_COUNT:]
    for runner in pushing:
        push_back(runner)
    fields = {
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": TARGET_LATENCY_MS,
        "MaxAttempts": 4,
    }
    routes = [
        make_route("status", "safe", "app", **fields),
        make_route("notes", "streaming", "llm", **fields),
    ]
    configuration = make_configuration(routes=routes)
    async with running_scene(
        *runners, configuration=configuration, bounds=bounds
    ) as scene:
        yield scene, pushing, taking


async def send_request(scene, path):
    headers = {"X_Lacewinglug_Deadline_Ms": str(TIMEOUT_MS)}
    if path == "/status/":
        return await scene.send_request(path, method="GET", body=b"", **headers)
    return await scene.send_request(path, **SHORT_PROMPT, **headers)


async def send_at_once(scene, path, count):
    """Send requests at once, and return all answers."""
    return await asyncio.gather(*(send_request(scene, path) for _ in range(count)))


async def send_in_turn(scene, path, count):
    """Send each request when the one before has arrived, and return all answers.

    No request ends before all have arrived, and each is sent when the host expects no
    prefill to be in progress.
    """
    tasks = []
    for runner in scene.runners:
        runner.may_end.clear()
    for _ in range(count):
        arrivals = sum(count_arrivals(scene.runners))
        tasks.append(asyncio.create_task(send_request(scene, path)))
        while sum(count_arrivals(scene.runners)) == arrivals or expects_prefill(scene):
            await asyncio.sleep(0.001)
    for runner in scene.runners:
        runner.may_end.set()
    return await asyncio.gather(*tasks)


def expects_prefill(scene):
    """Return whether the host expects an engine to have prefill work."""
    state = scene.process.state
    engines = [state.engines.get(runner.instance) for runner in scene.runners]
    return any(
        engine is not None and not engine.backlog.idle(now_s=state.now_s())
        for engine in engines
    )


def set_slowdowns(monkeypatch, step):
    """Let the host measure each engine as slower than the one before, by a fixed step.

    A stream is also placed by the measured speed, and on a busy machine the first
    events of stand-ins differ by more than one stream costs.
    """

    def set_slowdown(engine, *_, **__):
        rank = int(engine.entry.instance.rpartition("-")[2]) - PUSHING_COUNT
        engine.prefill_slowdown.factor = 1.0 + step * max(0, rank)

    monkeypatch.setattr(TrackedEngine, "record_prefill", set_slowdown)


async def learn_push_back(scene, path, pushing):
    """Send requests until each of the runners has turned one away."""
    while min(count_arrivals(pushing)) == 0:
        answers = await send_at_once(scene, path, 1)
        assert {answer.status for answer in answers} == {200}


def count_arrivals(runners):
    return [len(runner.received) for runner in runners]


def count_most_running(runners):
    return [runner.most_running for runner in runners]


# Guards against a queue at one runner while another one has free slots.
@pytest.mark.parametrize("path", PATHS)
async def test_runners_that_take_requests_share_them(path, monkeypatch):
    set_slowdowns(monkeypatch, SLOWDOWN_STEP)
    async with running_fleet(path) as (scene, pushing, taking):
        await learn_push_back(scene, path, pushing)
        turned_away = count_arrivals(pushing)
        for _ in range(2):
            answers = await send_in_turn(scene, path, WAVE)
            assert {answer.status for answer in answers} == {200}
        assert count_arrivals(pushing) == turned_away
        assert count_most_running(taking) == [SLOTS] * len(taking)


# Guards against a longer queue at one runner once all slots are taken.
@pytest.mark.parametrize("path", PATHS)
async def test_runners_that_take_requests_share_those_above_their_slots(
    path, monkeypatch
):
    set_slowdowns(monkeypatch, SLOWDOWN_STEP_ABOVE_SLOTS)
    async with running_fleet(path) as (scene, pushing, taking):
        await learn_push_back(scene, path, pushing)
        answers = await send_in_turn(scene, path, 2 * WAVE)
        assert {answer.status for answer in answers} == {200}
        assert count_most_running(taking) == [2 * SLOTS] * len(taking)


# Guards against calls that all choose the runner to which no connection is open yet.
async def test_runners_share_calls_that_come_before_a_connection_is_open():
    async with running_fleet("/status/") as (scene, _, taking):
        answers = await send_at_once(scene, "/status/", WAVE)
        assert {answer.status for answer in answers} == {200}
        assert max(count_most_running(taking)) <= SLOTS


# Guards against a retry of each request that a runner turns away.
@pytest.mark.parametrize("path", PATHS)
async def test_requests_are_not_retried_after_push_back_without_budget(path):
    bounds = {"RetryBudgetRatio": 0.0, "RetryBudgetSlack": 0}
    async with running_fleet(path, bounds=bounds) as (scene, pushing, taking):
        answers = await send_in_turn(scene, path, WAVE)
        refused = [answer for answer in answers if answer.status != 200]
        assert {answer.status for answer in refused} == {503}
        assert all(answer.body.startswith(b"not run") for answer in refused)
        assert len(refused) == sum(count_arrivals(pushing)) >= len(pushing)
        assert sum(count_arrivals(taking)) == WAVE - len(refused)


# Guards against retries of all calls that were on their way to a runner that turns
# them away.
async def test_retries_of_calls_at_once_after_push_back_keep_to_the_budget():
    count, ratio = 4 * WAVE, 0.2
    bounds = {"RetryBudgetRatio": ratio, "RetryBudgetSlack": 0}
    async with running_fleet("/status/", bounds=bounds) as (scene, pushing, taking):
        answers = await send_at_once(scene, "/status/", count)
        arrivals = sum(count_arrivals([*pushing, *taking]))
        assert count < arrivals <= count * (1 + ratio)
        refused = [answer for answer in answers if answer.status != 200]
        assert {answer.status for answer in refused} == {503}
        assert all(answer.body.startswith(b"not run") for answer in refused)
