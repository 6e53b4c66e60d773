"""Runners that take requests share those that others push back.

Each test guards against one way in which requests could pile on a runner, or be
repeated too often, while other runners answer 503 with ``Retry-After``.
"""

import asyncio
import contextlib

import pytest

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
"""Time that a runner takes for a request, so that all of a wave overlap."""
PATHS = ("/status/", "/notes/1")


class CountingRunner(FakeRunner):
    """Runner that counts how many requests it runs at once.

    :param most_running: highest number so far.
    """

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.mode, self.pause_s = "pause", ANSWER_S
        self.running = 0
        self.most_running = 0

    async def serve(self, request, exchange):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await super().serve(request, exchange)
        finally:
            self.running -= 1


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
    routes = [
        make_route("status", "safe", "app", TargetLatencyMs=4000, MaxAttempts=4),
        make_route("notes", "streaming", "llm", TargetLatencyMs=4000, MaxAttempts=4),
    ]
    configuration = make_configuration(routes=routes)
    async with running_scene(
        *runners, configuration=configuration, bounds=bounds
    ) as scene:
        yield scene, pushing, taking


async def send_request(scene, path):
    if path == "/status/":
        return await scene.send_request(path, method="GET", body=b"")
    return await scene.send_request(path, **SHORT_PROMPT)


async def send_at_once(scene, path, count):
    """Send requests at once, and return all answers."""
    return await asyncio.gather(*(send_request(scene, path) for _ in range(count)))


async def send_in_turn(scene, path, count):
    """Send each request when the one before has arrived, and return all answers."""
    tasks = []
    for _ in range(count):
        arrivals = sum(count_arrivals(scene.runners))
        tasks.append(asyncio.create_task(send_request(scene, path)))
        while sum(count_arrivals(scene.runners)) == arrivals:
            await asyncio.sleep(0.001)
    return await asyncio.gather(*tasks)


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
async def test_runners_that_take_requests_share_them(path):
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
async def test_runners_that_take_requests_share_those_above_their_slots(path):
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
