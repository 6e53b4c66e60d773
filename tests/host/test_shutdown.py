"""A host that shuts down ends what it has accepted, and refuses the rest as not run."""

import asyncio

import pytest

from lacewinglug.host.shutdown import (
    DURATION_WINDOW_S,
    DurationWindow,
    RouteDurations,
    ShutdownSchedule,
)
from tests.host.test_relay import make_app_runner, make_engines, running_scene
from tests.platform.standin import FakeRunner

GRACE_S = 2.0
ADDRESS_TTL_S = 0.3
BOUNDS = {"GraceS": GRACE_S, "ttl_max_s": ADDRESS_TTL_S}
"""A grace period as long as the timeout of the routes."""


def make_schedule(now_s=100.0):
    return ShutdownSchedule.begin(now_s=now_s, grace_s=8.0, address_ttl_s=1.5)


@pytest.mark.parametrize(
    ("age_s", "time_limit_s", "typical_s", "accepted"),
    [
        (0.0, 7.5, None, True),
        (0.0, 7.7, None, False),
        (1.0, 9.0, 6.0, True),
        (1.0, 9.0, 7.0, False),
        (1.4, 9.0, None, False),
        (1.6, 9.0, 0.1, False),
        (1.6, 5.9, 0.1, True),
        (3.6, 6.0, 0.1, False),
        (5.0, 2.0, None, True),
        (7.7, 0.1, None, False),
    ],
)
def test_a_request_is_accepted_if_it_ends_in_time(
    age_s, time_limit_s, typical_s, accepted
):
    now_s = 100.0 + age_s
    found = make_schedule().can_finish(
        now_s=now_s, expires_s=now_s + time_limit_s, typical_s=typical_s
    )
    assert found is accepted


def test_the_steps_of_a_shutdown_are_in_order_within_the_grace_period():
    schedule = make_schedule()
    assert (
        schedule.started_s
        < schedule.notified_s
        < schedule.accept_until_s
        < schedule.finish_by_s
        < schedule.flush_by_s
        < schedule.started_s + 8.0
    )


def test_the_longest_recent_duration_counts_and_is_forgotten_later():
    window = DurationWindow()
    assert window.longest_s(now_s=0.0) is None
    for now_s, duration_s in ((0.0, 2.0), (1.0, 5.0), (2.0, 1.0)):
        window.record(duration_s, now_s=now_s)
    assert window.longest_s(now_s=DURATION_WINDOW_S + 0.5) == 5.0
    window.record(3.0, now_s=DURATION_WINDOW_S + 1.0)
    assert window.longest_s(now_s=2 * DURATION_WINDOW_S + 1.5) == 3.0
    assert window.longest_s(now_s=5 * DURATION_WINDOW_S) is None


def test_durations_are_kept_for_each_route():
    durations = RouteDurations()
    durations.record("ask", 2.0, now_s=0.0)
    assert durations.longest_s("ask", now_s=1.0) == 2.0
    assert durations.longest_s("notes", now_s=1.0) is None


async def stop(scene, *, after_s=0.0):
    """Request a shutdown and wait for some time since."""
    scene.process.stop_requested.set()
    while scene.process.ready:
        await asyncio.sleep(0.01)
    await asyncio.sleep(after_s)


# Guards against a prompt that a host accepts when clients know that it leaves, and cuts
# when its process ends.
async def test_a_prompt_that_could_not_end_in_time_is_refused_as_not_run():
    prefiller, engine = make_engines()
    async with running_scene(prefiller, engine, bounds=BOUNDS) as scene:
        assert (await scene.send_request("/ask/1")).status == 200
        engine.mode, engine.pause_s = "pause", 1.8
        await stop(scene, after_s=ADDRESS_TTL_S + 0.1)
        answer = await scene.send_request("/ask/1")
        assert (answer.status, answer.complete) == (503, True)
        assert answer.headers["connection"] == "close"
        assert float(answer.headers["retry-after"]) > 1.0
        assert len(engine.runs) == 1
        engine.mode = "serve"
        short = await scene.send_request("/ask/1", X_Lacewinglug_Deadline_Ms="700")
        assert (short.status, short.complete) == (200, True)


async def test_a_prompt_that_usually_ends_in_time_is_accepted_at_first():
    async with running_scene(*make_engines(), bounds=BOUNDS) as scene:
        assert (await scene.send_request("/ask/1")).status == 200
        await stop(scene)
        assert (await scene.send_request("/ask/1")).status == 200
        unknown = await scene.send_request("/notes/1")
        assert unknown.status == 503


async def test_clients_come_back_soon_while_another_host_serves():
    async with running_scene(make_app_runner(), bounds=BOUNDS) as scene:
        scene.process.state.other_hosts_serve = lambda: True
        await stop(scene, after_s=ADDRESS_TTL_S + 0.1)
        answer = await scene.send_request("/unlock/7")
        assert answer.status == 503
        assert 0.0 < float(answer.headers["retry-after"]) <= 0.2


# Guards against a connection that is closed without an answer although none has begun.
async def test_a_request_in_progress_gets_an_answer_before_the_host_stops():
    runner = make_app_runner()
    async with running_scene(runner, bounds=BOUNDS | {"GraceS": 1.0}) as scene:
        runner.mode = "hang"
        waiting = asyncio.create_task(scene.send_request("/unlock/7"))
        while not runner.runs:
            await asyncio.sleep(0.01)
        await stop(scene)
        answer = await waiting
    assert (answer.status, answer.complete) == (504, True)


class MutePrefiller(FakeRunner):
    """Prefill engine that does not answer the release of a KV cache."""

    async def handle(self, request, exchange):
        if request.method == b"DELETE":
            self.released_handles.append(request.target.decode())
            await asyncio.sleep(600)
        await super().handle(request, exchange)


# Guards against tasks that outlive the event loop and end with a traceback in the log.
async def test_a_stopped_host_leaves_no_task_behind():
    _, engine = make_engines()
    prefiller = MutePrefiller("reader-1", "llm", stage="prefill")
    async with running_scene(prefiller, engine, bounds=BOUNDS) as scene:
        tasks_before = asyncio.all_tasks()
        engine.mode = "hang"
        waiting = asyncio.create_task(scene.send_request("/ask/1"))
        while not engine.runs:
            await asyncio.sleep(0.01)
        await stop(scene)
        await scene.process.ended
        state = scene.process.state
        assert not state.background_tasks
        assert scene.process._client_listener.registry.tasks == set()
        assert len(prefiller.released_handles) == 1
        assert (await waiting).status == 504
        tasks_after = asyncio.all_tasks() - tasks_before
        for fake in (scene.store, prefiller, engine):
            tasks_after -= fake.registry.tasks
        assert tasks_after == set()
