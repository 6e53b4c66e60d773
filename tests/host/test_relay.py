"""What clients and runners see of a host, through the faults of runners."""

import asyncio
import contextlib

import pytest

from tests.host.hosting import hosting
from tests.platform.scene import (
    HostTestbed,
    connect,
    directory_addresses,
    encode_request,
    make_configuration,
    make_route,
)
from tests.platform.standin import FakeRunner

PATIENCE_S = 40.0
"""Ends a test that waits for what never comes; no bound on the program."""
STREAM = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in (1, 2, 3))


@contextlib.asynccontextmanager
async def running(*runners, configuration=None):
    """Run a host in this process between stand-ins."""
    scene = await HostTestbed().open(*runners, configuration=configuration)
    try:
        async with hosting(scene.settings) as process, asyncio.timeout(PATIENCE_S):
            await scene.wait_until_ready()
            scene.process = process
            yield scene
    finally:
        scene.close()


def app(instance="app-1"):
    return FakeRunner(instance, "app")


def engines():
    return (
        FakeRunner("reader-1", "llm", stage="prefill"),
        FakeRunner("runner-1", "llm", stage="decode"),
    )


async def test_a_call_reaches_the_runner_unchanged_and_its_answer_the_client():
    runner = app()
    async with running(runner) as scene:
        answer = await scene.send_request(
            "/unlock/7?bay=3",
            X_Extra="kept",
            X_Lacewinglug_Kv_Source="1.2.3.4:1/h",
            X_Lacewinglug_Pin_Ms="5",
            X_Lacewinglug_Request_Priority="0",
            Connection="X-Once",
            X_Once="dropped",
        )
    assert (answer.status, answer.body) == (200, b"done")
    assert answer.headers["x-lacewinglug-response-signature"] == "app-1"
    assert "x-lacewinglug-server-load" not in answer.headers
    (run,) = runner.runs
    names = {key.decode().lower(): value for key, value in run.headers}
    assert (run.method, run.target, run.body) == (b"POST", b"/unlock/7?bay=3", b"hi")
    assert names["x-extra"] == b"kept"
    assert names["x-lacewinglug-expect-instance"] == b"app-1"
    assert 0 < int(names["x-lacewinglug-deadline-ms"]) <= 2000
    for name in ("kv-source", "pin-ms", "request-priority"):
        assert f"x-lacewinglug-{name}" not in names
    assert "x-once" not in names


async def test_an_unsafe_call_that_may_have_run_is_never_repeated():
    cut, other = app("app-1"), app("app-2")
    cut.mode = other.mode = "cut"
    async with running(cut, other) as scene:
        answer = await scene.send_request("/unlock/7")
    assert answer.status == 502
    assert len(cut.runs) + len(other.runs) == 1


async def test_an_unsafe_call_that_a_runner_rejects_is_refused_as_not_run():
    runner = app()
    runner.mode = "reject"
    async with running(runner) as scene:
        answer = await scene.send_request("/unlock/7")
    assert answer.status == 503
    assert 0 < float(answer.headers["retry-after"]) < 1
    assert runner.runs == []


@pytest.mark.parametrize("mode", ["cut", "fail", "unsigned", "hang"])
async def test_a_safe_call_moves_on_to_another_runner(mode):
    bad, good = app("app-1"), app("app-2")
    bad.mode = mode
    async with running(bad, good) as scene:
        for _ in range(3):
            answer = await scene.send_request("/status/", method="GET", body=b"")
            assert (answer.status, answer.body) == (200, b"done")


async def test_a_safe_call_keeps_a_runners_own_failure_as_the_last_answer():
    bad, worse = app("app-1"), app("app-2")
    bad.mode = worse.mode = "fail"
    async with running(bad, worse) as scene:
        answer = await scene.send_request("/status/", method="GET", body=b"")
    assert answer.status == 500
    assert answer.headers["x-lacewinglug-response-signature"].startswith("app-")
    assert len(bad.runs) + len(worse.runs) == 2


async def test_an_answer_to_another_request_reaches_no_client():
    runner = app()
    async with running(runner) as scene:
        runner.mode = "stray"
        answer = await scene.send_request("/unlock/7", X_Lacewinglug_Deadline_Ms="300")
        assert answer.status in (502, 504)
        assert (await scene.send_request("/unlock/7")).status == 200


async def test_a_call_that_hangs_gets_its_final_answer_at_the_timeout():
    runner = app()
    runner.mode = "hang"
    async with running(runner) as scene:
        answer = await scene.send_request("/unlock/7", X_Lacewinglug_Deadline_Ms="300")
        assert answer.status == 504
        while not runner.cancelled_count:
            await asyncio.sleep(0.01)


async def test_the_client_leaving_ends_the_runners_work():
    runner = app()
    runner.mode = "hang"
    async with running(runner) as scene:
        _, writer = await connect(scene.listen_address("Frontend"))
        writer.write(encode_request("/unlock/7"))
        while not runner.runs:
            await asyncio.sleep(0.01)
        writer.close()
        while not runner.cancelled_count:
            await asyncio.sleep(0.01)


async def test_what_no_route_allows_is_refused():
    async with running(app()) as scene:
        assert (await scene.send_request("/other/")).status == 404
        assert (await scene.send_request("/status")).status == 404


async def test_without_runners_a_call_is_refused_at_once_as_not_run():
    async with running() as scene:
        answer = await scene.send_request("/unlock/7")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0


async def test_a_prompt_is_read_apart_and_streamed_whole():
    reader, runner = engines()
    async with running(reader, runner) as scene:
        answer = await scene.send_request("/ask/1")
    assert (answer.status, answer.body, answer.complete) == (200, STREAM, True)
    assert len(reader.prefills) == 1
    assert reader.runs == []
    (run,) = runner.runs
    names = {key.decode().lower(): value for key, value in run.headers}
    source = f"{reader.address}/h1".encode()
    assert names["x-lacewinglug-kv-source"] == source
    assert "x-lacewinglug-stage" not in names


async def test_a_broken_stream_goes_on_at_another_runner_without_a_seam():
    reader, broken = engines()
    broken.mode = "cut"
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running(reader, broken, other) as scene:
        answer = await scene.send_request("/ask/1")
    assert (answer.body, answer.complete) == (STREAM, True)
    assert len(broken.runs) == len(other.runs) == 1


async def test_a_stalled_stream_goes_on_at_another_runner():
    reader, stalled = engines()
    stalled.mode = "stall"
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running(reader, stalled, other) as scene:
        answer = await scene.send_request("/ask/1")
        assert (answer.body, answer.complete) == (STREAM, True)
        while not stalled.cancelled_count:
            await asyncio.sleep(0.01)


async def test_a_broken_stream_that_may_not_be_resumed_does_not_look_complete():
    reader, broken = engines()
    broken.mode = "cut"
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running(reader, broken, other) as scene:
        answer = await scene.send_request("/notes/1")
    assert not answer.complete
    assert STREAM.startswith(answer.body)
    assert other.runs == []


async def test_a_kv_cache_that_nobody_fetches_is_freed():
    reader, runner = engines()
    runner.mode = "reject"
    async with running(reader, runner) as scene:
        answer = await scene.send_request("/notes/1")
        assert answer.status == 503
        while not reader.released_handles:
            await asyncio.sleep(0.01)
    assert reader.released_handles == ["h1"]


async def test_a_draining_runner_gets_no_new_work():
    leaving, staying = app("app-1"), app("app-2")
    async with running(leaving, staying) as scene:
        await scene.store.put("keyed.servers", "app-1", leaving.entry("draining"))
        while len(scene.process.state.fleet.ready("app")) > 1:
            await asyncio.sleep(0.02)
        for _ in range(5):
            await scene.send_request("/unlock/7")
    assert leaving.runs == []
    assert len(staying.runs) == 5


async def test_entries_of_other_writers_are_left_out():
    runner = app()
    async with running(runner) as scene:
        for key, entry in (
            ("odd-1", {"Service": "app"}),
            ("odd-2", runner.entry() | {"Slots": "six"}),
            ("odd-3", runner.entry() | {"State": "asleep"}),
            ("odd-4", runner.entry() | {"Address": "nowhere"}),
        ):
            await scene.store.put("keyed.servers", key, entry)
        await scene.store.append("keyed.servers", b"\x05odd-5\xff\xfe{")
        read_s = scene.process.state.fleet.read_s
        while scene.process.state.fleet.read_s == read_s:
            await asyncio.sleep(0.02)
        assert (await scene.send_request("/unlock/7")).status == 200
        assert [item.instance for item in scene.process.state.fleet.entries] == [
            "app-1"
        ]


async def test_a_new_configuration_is_in_force_and_an_older_one_is_not():
    async with running(app()) as scene:
        routes = [make_route("added", "safe", "app")]
        await scene.store.put("keyed.op", "config", make_configuration(9, routes))
        while (
            await scene.send_request("/added/", method="GET", body=b"")
        ).status != 200:
            await asyncio.sleep(0.02)
        assert (await scene.send_request("/unlock/7")).status == 404
        await scene.store.put("keyed.op", "config", make_configuration(4))
        await scene.store.put("keyed.op", "other", {})
        await asyncio.sleep(0.3)
        assert (
            await scene.send_request("/added/", method="GET", body=b"")
        ).status == 200


async def test_an_outage_of_the_store_stops_nothing():
    async with running(app()) as scene:
        scene.store.down = True
        while not scene.process.state.fleet._away:
            await asyncio.sleep(0.02)
        assert (await scene.send_request("/unlock/7")).status == 200
        routes = [make_route("added", "safe", "app")]
        await scene.store.put("keyed.op", "config", make_configuration(9, routes))
        scene.store.down = False
        while (
            await scene.send_request("/added/", method="GET", body=b"")
        ).status != 200:
            await asyncio.sleep(0.05)


async def test_a_leaving_host_finishes_what_runs_and_names_others():
    runner = app()
    async with running(runner) as scene:
        runner.mode = "hang"
        waiting = asyncio.create_task(
            scene.send_request("/status/", method="GET", body=b"")
        )
        while not runner.runs:
            await asyncio.sleep(0.01)
        scene.process.stop_requested.set()
        while scene.process.ready:
            await asyncio.sleep(0.01)
        ready = await scene.send_request_to(
            scene.listen_address("Ready"), "/-/readyz", "GET"
        )
        assert ready.status == 503
        answer = await scene.send_request_to(
            scene.listen_address("Directory"),
            "/-/resolve?Name=a.example&Region=mtl&Zone=mtl-a",
            "GET",
        )
        assert directory_addresses(answer) == [scene.listen_address("Frontend")]
        runner.mode = "serve"
        late = await scene.send_request("/unlock/7")
        assert (late.status, late.headers["connection"]) == (200, "close")
        assert (await waiting).status == 504


async def test_metrics_and_unknown_paths():
    async with running(app()) as scene:
        await scene.send_request("/unlock/7")
        answer = await scene.send_request_to(
            scene.process.metrics_address, "/metrics", "GET"
        )
        assert b'lacewinglug_requests_total{outcome="answered"' in answer.body
        for name in ("Ready", "Directory"):
            assert (
                await scene.send_request_to(scene.listen_address(name), "/x", "GET")
            ).status == 404


async def test_a_runner_that_leaves_during_a_prefill_gets_no_stream():
    """Hunt of skibus-pladser, hunt-278c-23: a prefill took three seconds."""
    reader, leaving = engines()
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running(reader, leaving, other) as scene:
        reader.prefill_allowed.clear()
        waiting = asyncio.create_task(scene.send_request("/ask/1"))
        while not reader.prefills:
            await asyncio.sleep(0.01)
        await scene.store.put("keyed.servers", "runner-1", leaving.entry("draining"))
        while not scene.process.state.fleet.get("runner-1").draining:
            await asyncio.sleep(0.02)
        reader.prefill_allowed.set()
        answer = await waiting
    assert (answer.body, answer.complete) == (STREAM, True)
    assert leaving.runs == []


async def test_a_reader_that_cannot_be_reached_costs_no_attempt():
    reader, runner = engines()
    async with running(reader, runner) as scene:
        reader.close()
        answer = await scene.send_request("/notes/1")
    assert (answer.body, answer.complete) == (STREAM, True)
