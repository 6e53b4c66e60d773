"""Requests relayed by a host between real sockets, with runners that fail."""

import asyncio
import contextlib
import functools
import logging

import pytest

from lacewinglug.host.budget import USABLE_SLACK_FRACTION
from lacewinglug.host.crashes import ANSWER_START_S
from lacewinglug.host.prefills import MIN_FIRST_EVENT_TIMEOUT_S
from lacewinglug.host.streams import (
    GAP_TIMEOUT_FACTOR,
    MAX_OVERLAP_S,
    MAX_RETURN_INTERVAL_S,
    SOUND_SILENCE_S,
)
from lacewinglug.wire.delivery import LONG_REQUEST_BYTES
from lacewinglug.wire.messages import first_header
from lacewinglug.wire.server import ServerConnection
from tests.host.hosting import running_host
from tests.platform.scene import (
    LIMITS,
    HostTestbed,
    connect,
    directory_addresses,
    encode_request,
    make_configuration,
    make_route,
)
from tests.platform.standin import FakeRunner
from tests.turns import MAX_TURN_CPU_S, measure_longest_turn
from tests.wire.upstream import drop_packets, keep_packets

TEST_TIMEOUT_S = 40.0
"""Fails a test that waits for an event that never occurs; not a requirement."""
TARGET_GAP_S = 0.4
"""Target gap between events of the streaming routes of the test deployment."""
FREEZE_S = 1.3
"""Time for which the machine of a sound runner may acknowledge nothing."""
MAX_DETECTION_S = 2.0
"""Time in which a dead machine is found, so that another runner can respond."""
READ_PAUSE_S = 1.5
"""Time for which a sound runner may be silent."""
LONG_PART_BYTES = 8_192
"""Bytes read at once that only a long body has."""
LONG_BODY = b"x" * 1_000_000
"""Body that exceeds the receive window of a runner that does not read."""
STREAM = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in (1, 2, 3))


@contextlib.asynccontextmanager
async def running_scene(*runners, configuration=None, bounds=None):
    """Run a host in this process, with fake runners and a fake store.

    :param bounds: changes of the bounds in the settings of the host.
    """
    scene = await HostTestbed().open(*runners, configuration=configuration)
    scene.settings["Bounds"] |= bounds or {}
    try:
        async with (
            running_host(scene.settings) as process,
            asyncio.timeout(TEST_TIMEOUT_S),
        ):
            await scene.wait_until_ready()
            scene.process = process
            yield scene
    finally:
        scene.close()


def make_app_runner(instance="app-1"):
    return FakeRunner(instance, "app")


class PausingRunner(FakeRunner):
    """Sound runner that does not read for a while in the midst of each long request.

    :param pause_s: time for which it does not read, in s.
    """

    def __init__(self, *args, pause_s, **fields):
        super().__init__(*args, **fields)
        self.registry.make_connection = lambda: PausingConnection(
            registry=self.registry, pause_s=pause_s
        )


class PausingConnection(ServerConnection):
    """Connection on which the server reads a first part, and the rest after a pause."""

    def __init__(self, *, registry, pause_s):
        super().__init__(registry=registry)
        self._pause_s = pause_s
        self._paused = False

    def data_received(self, data):
        super().data_received(data)
        if len(data) >= LONG_PART_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(self._pause_s, self._transport.resume_reading)


class FrozenRunner(FakeRunner):
    """Runner whose machine acknowledges nothing at first.

    :param frozen_s: how long after its first connection for requests, in s; None for
        ever.
    """

    def __init__(self, *args, frozen_s=None, **fields):
        super().__init__(*args, **fields)
        self._frozen_s = frozen_s
        self._is_frozen = False
        self.frozen_connections = 0
        self.registry.make_connection = self._make_connection

    def freeze(self):
        """Freeze the machine when the next connection is made."""
        self._is_frozen = True

    def _make_connection(self):
        connection = ServerConnection(registry=self.registry)
        if self._is_frozen:
            accept = connection.connection_made
            connection.connection_made = lambda transport: self._drop(accept, transport)
        return connection

    def _drop(self, accept, transport):
        sock = transport.get_extra_info("socket")
        drop_packets(sock)
        self.frozen_connections += 1
        if self._frozen_s is not None:
            self._is_frozen = False
            loop = asyncio.get_running_loop()
            loop.call_later(self._frozen_s, keep_packets, sock)
        accept(transport)


def make_engines():
    return (
        FakeRunner("reader-1", "llm", stage="prefill"),
        FakeRunner("runner-1", "llm", stage="decode"),
    )


async def test_a_call_reaches_the_runner_unchanged_and_its_response_the_client():
    runner = make_app_runner()
    async with running_scene(runner) as scene:
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
    cut, other = make_app_runner("app-1"), make_app_runner("app-2")
    cut.mode = other.mode = "cut"
    async with running_scene(cut, other) as scene:
        answer = await scene.send_request("/unlock/7")
    assert answer.status == 502
    assert len(cut.runs) + len(other.runs) == 1


async def test_an_unsafe_call_that_a_runner_rejects_is_refused_as_not_run():
    runner = make_app_runner()
    runner.mode = "reject"
    async with running_scene(runner) as scene:
        answer = await scene.send_request("/unlock/7")
    assert answer.status == 503
    assert 0 < float(answer.headers["retry-after"]) < 1
    assert runner.runs == []


@pytest.mark.parametrize("mode", ["cut", "fail", "unsigned", "hang"])
async def test_a_safe_call_is_retried_at_another_runner(mode):
    bad, good = make_app_runner("app-1"), make_app_runner("app-2")
    bad.mode = mode
    async with running_scene(bad, good) as scene:
        for _ in range(3):
            answer = await scene.send_request("/status/", method="GET", body=b"")
            assert (answer.status, answer.body) == (200, b"done")


@pytest.mark.parametrize("mode", ["reject", "cut", "fail"])
async def test_a_safe_call_waits_for_a_silent_runner_if_no_other_one_answers(mode):
    """Regression test: the call was refused although its first runner was sound."""
    silent, other = make_app_runner("app-1"), make_app_runner("app-2")
    silent.mode, silent.pause_s = "pause", 0.8
    other.mode = mode
    async with running_scene(silent, other) as scene:
        while not silent.runs:
            answer = await scene.send_request("/status/", method="GET", body=b"")
        assert (answer.status, answer.body) == (200, b"done")
        assert silent.cancelled_count == 0


# Guards against a refusal as not run of a call that a silent runner has.
async def test_a_safe_call_waits_for_a_silent_runner_that_drains():
    one, two = make_app_runner("app-1"), make_app_runner("app-2")
    one.mode = two.mode = "pause"
    one.pause_s = two.pause_s = 1.0
    async with running_scene(one, two) as scene:
        fleet = scene.process.state.fleet
        ready = fleet.ready
        fleet.ready = lambda name: [] if one.runs or two.runs else ready(name)
        answer = await scene.send_request("/status/", method="GET", body=b"")
        assert (answer.status, answer.body) == (200, b"done")
        assert len(one.runs) + len(two.runs) == 1
        assert one.cancelled_count == two.cancelled_count == 0


# Guards against a call that is given up although a silent runner answers in time.
async def test_a_safe_call_waits_for_a_silent_runner_if_no_other_one_is_reached():
    runners = [make_app_runner(f"app-{number}") for number in range(5)]
    for runner in runners:
        runner.mode, runner.pause_s = "pause", 0.8
    async with running_scene(*runners) as scene:
        request = asyncio.create_task(
            scene.send_request("/status/", method="GET", body=b"")
        )
        while not any(runner.runs for runner in runners):
            await asyncio.sleep(0.01)
        for runner in runners:
            if not runner.runs:
                runner.close()
        answer = await request
        assert (answer.status, answer.body) == (200, b"done")
        assert sum(len(runner.runs) for runner in runners) == 1


class SlowBody(FakeRunner):
    """Pauses before the response, and for ever within it."""

    async def serve(self, request, exchange):
        await asyncio.sleep(0.5)
        await exchange.start_response(200, self.response_headers(request))
        await exchange.write(b"do")
        await asyncio.sleep(600)


# Guards against a call that expires although a silent runner has answered it.
@pytest.mark.parametrize("kind", [FakeRunner, SlowBody])
async def test_a_safe_call_takes_a_silent_runners_answer_while_the_last_one_hangs(kind):
    silent, other = make_app_runner("app-1"), kind("app-2", "app")
    silent.mode, silent.pause_s = "pause", 0.8
    other.mode = "hang"
    async with running_scene(silent, other) as scene:
        for _ in range(4):
            answer = await scene.send_request("/status/", method="GET", body=b"")
            assert (answer.status, answer.body) == (200, b"done")
            upstreams = scene.process.state.upstreams
            for name in ("app-1", "app-2"):
                assert upstreams.health(name).outstanding == 0
        assert other.runs


# Guards against an error in hand that is held back until the request expires.
@pytest.mark.parametrize("path", ["/status/", "/ask/1"])
async def test_an_error_is_returned_if_the_silent_runner_never_answers(path):
    prefiller, silent = make_engines()
    runners = [make_app_runner("app-1"), make_app_runner("app-2")]
    engine = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    silent.mode = runners[0].mode = "hang"
    engine.mode = runners[1].mode = "fail"
    configuration = make_configuration()
    for route in configuration["Routes"]:
        route["TimeoutMs"] = 4000
    async with running_scene(
        prefiller, silent, engine, *runners, configuration=configuration
    ) as scene:
        answer = await scene.send_request(path, X_Lacewinglug_Deadline_Ms="4000")
        assert answer.status == 500


# Guards against an error of a runner that is replaced by a refusal of the host.
async def test_a_safe_call_returns_a_silent_runners_error_if_no_other_one_answers():
    class LateError(FakeRunner):
        async def serve(self, request, exchange):
            await asyncio.sleep(0.6)
            await exchange.respond(self.make_response(request, 500))

    late, other = LateError("app-1", "app"), make_app_runner("app-2")
    other.mode = "reject"
    async with running_scene(late, other) as scene:
        while not late.runs:
            answer = await scene.send_request("/status/", method="GET", body=b"")
        assert (answer.status, answer.body) == (500, b"done")


# Guards against a call that one runner runs twice at the same time.
async def test_a_safe_call_is_not_sent_again_to_a_silent_runner():
    silent, other = make_app_runner("app-1"), make_app_runner("app-2")
    silent.mode, silent.pause_s = "pause", 0.8
    async with running_scene(silent, other) as scene:
        other.close()
        for _ in range(3):
            run_count = len(silent.runs)
            answer = await scene.send_request("/status/", method="GET", body=b"")
            assert (answer.status, answer.body) == (200, b"done")
            assert len(silent.runs) == run_count + 1


# Guards against a refusal as not run of a call that its runner has run.
async def test_a_lost_safe_call_is_not_refused_as_not_run_without_runners():
    runner = make_app_runner()
    runner.mode = "cut"
    async with running_scene(runner) as scene:
        fleet = scene.process.state.fleet
        fleet.ready = lambda service: [] if runner.runs else [fleet.get("app-1")]
        answer = await scene.send_request("/status/", method="GET", body=b"")
        assert answer.status == 502
        assert len(runner.runs) == 1


async def test_a_safe_call_waits_for_a_silent_runner_if_no_other_one_is_reachable():
    """Regression test: the call was refused although its first runner was sound."""
    silent, others = make_app_runner("app-1"), [make_app_runner("app-2")]
    others += [make_app_runner("app-3"), make_app_runner("app-4")]
    silent.mode, silent.pause_s = "pause", 0.8
    async with running_scene(silent, *others) as scene:
        for other in others:
            other.mode = "reject"
            other.close()
            scene.process.state.upstreams.health(other.instance).blocked_until_s = 1e12
        answer = await scene.send_request("/status/", method="GET", body=b"")
        assert (answer.status, answer.body) == (200, b"done")
        assert len(silent.runs) == 1


async def test_a_safe_call_returns_a_runners_error_if_all_attempts_fail():
    bad, worse = make_app_runner("app-1"), make_app_runner("app-2")
    bad.mode = worse.mode = "fail"
    async with running_scene(bad, worse) as scene:
        answer = await scene.send_request("/status/", method="GET", body=b"")
    assert answer.status == 500
    assert answer.headers["x-lacewinglug-response-signature"].startswith("app-")
    assert len(bad.runs) + len(worse.runs) == 2


async def test_a_response_to_another_request_is_not_forwarded():
    runner = make_app_runner()
    async with running_scene(runner) as scene:
        runner.mode = "stray"
        answer = await scene.send_request("/unlock/7", X_Lacewinglug_Deadline_Ms="300")
        assert answer.status in (502, 504)
        assert (await scene.send_request("/unlock/7")).status == 200


# Guards against a 502: the kernel dropped runners whose receive window was closed for a
# second.
async def test_a_call_whose_runner_stops_reading_for_a_while_is_answered_by_it():
    runner = PausingRunner("app-1", "app", pause_s=READ_PAUSE_S)
    async with running_scene(
        runner, configuration=make_long_body_configuration()
    ) as scene:
        answer = await scene.send_request(
            "/unlock/7", body=LONG_BODY, X_Lacewinglug_Deadline_Ms="5000"
        )
    assert (answer.status, answer.body) == (200, b"done")
    assert [len(run.body) for run in runner.runs] == [len(LONG_BODY)]


# Guards against a 502 or a repeated prompt: the kernel dropped engines whose receive
# window was closed for a second.
@pytest.mark.parametrize("pausing_stage", ["prefill", "decode"])
async def test_a_prompt_whose_engine_stops_reading_for_a_while_runs_once(pausing_stage):
    engines = {
        stage: PausingRunner(
            f"{stage}-1",
            "llm",
            stage=stage,
            pause_s=READ_PAUSE_S if stage == pausing_stage else 0.0,
        )
        for stage in ("prefill", "decode")
    }
    async with running_scene(
        *engines.values(), configuration=make_long_body_configuration()
    ) as scene:
        answer = await scene.send_request(
            "/notes/1", body=LONG_BODY, X_Lacewinglug_Deadline_Ms="5000"
        )
    assert (answer.status, answer.body, answer.complete) == (200, STREAM, True)
    assert len(engines["prefill"].prefills) == 1
    assert len(engines["decode"].runs) == 1


def make_long_body_configuration():
    configuration = make_configuration(
        routes=[
            make_route("unlock", "unsafe", "app", TimeoutMs=5000, MaxAttempts=1),
            make_route("notes", "streaming", "llm", TimeoutMs=5000, MaxAttempts=1),
        ]
    )
    limits = configuration["Limits"] | {"MaxBodyBytes": 2 * len(LONG_BODY)}
    return configuration | {"Limits": limits}


async def test_a_hanging_call_gets_504_at_its_deadline():
    runner = make_app_runner()
    runner.mode = "hang"
    async with running_scene(runner) as scene:
        answer = await scene.send_request("/unlock/7", X_Lacewinglug_Deadline_Ms="300")
        assert answer.status == 504
        while not runner.cancelled_count:
            await asyncio.sleep(0.01)


async def test_a_client_disconnect_cancels_the_request_at_the_runner():
    runner = make_app_runner()
    runner.mode = "hang"
    async with running_scene(runner) as scene:
        _, writer = await connect(scene.listen_address("Frontend"))
        writer.write(encode_request("/unlock/7"))
        while not runner.runs:
            await asyncio.sleep(0.01)
        writer.close()
        while not runner.cancelled_count:
            await asyncio.sleep(0.01)


async def test_a_request_without_a_route_gets_404():
    async with running_scene(make_app_runner()) as scene:
        assert (await scene.send_request("/other/")).status == 404
        assert (await scene.send_request("/status")).status == 404


async def test_without_runners_a_call_is_refused_at_once_as_not_run():
    async with running_scene() as scene:
        answer = await scene.send_request("/unlock/7")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0


async def test_a_prompt_is_prefilled_and_decoded_by_different_engines():
    prefiller, runner = make_engines()
    async with running_scene(prefiller, runner) as scene:
        answer = await scene.send_request("/ask/1")
    assert (answer.status, answer.body, answer.complete) == (200, STREAM, True)
    assert len(prefiller.prefills) == 1
    assert prefiller.runs == []
    (run,) = runner.runs
    names = {key.decode().lower(): value for key, value in run.headers}
    source = f"{prefiller.address}/h1".encode()
    assert names["x-lacewinglug-kv-source"] == source
    assert "x-lacewinglug-stage" not in names


async def test_an_interrupted_stream_resumes_at_another_runner_without_gaps():
    prefiller, broken = make_engines()
    broken.mode = "cut"
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_scene(prefiller, broken, other) as scene:
        answer = await scene.send_request("/ask/1")
    assert (answer.body, answer.complete) == (STREAM, True)
    assert len(broken.runs) == len(other.runs) == 1


async def test_a_stalled_stream_resumes_at_another_runner():
    prefiller, stalled = make_engines()
    stalled.mode = "stall"
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_scene(prefiller, stalled, other) as scene:
        answer = await scene.send_request("/ask/1")
        assert (answer.body, answer.complete) == (STREAM, True)
        while not stalled.cancelled_count:
            await asyncio.sleep(0.01)


ROUTE_TIMEOUT_S = 2.0
"""Timeout of the routes of the test deployment."""
GAP_TIMEOUT_S = max(GAP_TIMEOUT_FACTOR * TARGET_GAP_S, ROUTE_TIMEOUT_S / 2)
"""Silence after which a stream of these routes is resumed elsewhere."""


# Guards against losing a request at a sound runner whose machine was frozen a second.
@pytest.mark.parametrize("path", ["/unlock/7", "/notes/1"])
async def test_a_runner_whose_machine_freezes_for_a_while_is_waited_for(path):
    app = FrozenRunner("app-1", "app", frozen_s=FREEZE_S)
    engine = FrozenRunner("runner-1", "llm", stage="decode", frozen_s=FREEZE_S)
    routes = [
        make_route("unlock", "unsafe", "app", MaxAttempts=1, TimeoutMs=8000),
        make_route("notes", "streaming", "llm", MaxAttempts=1, TimeoutMs=8000),
    ]
    configuration = make_configuration(routes=routes)
    async with running_scene(app, engine, configuration=configuration) as scene:
        app.freeze()
        engine.freeze()
        answer = await scene.send_request(path, X_Lacewinglug_Deadline_Ms="8000")
        assert (answer.status, answer.complete) == (200, True)
        assert len(app.runs) + len(engine.runs) == 1


# Guards against finding dead machines late for the sake of those that are frozen.
@pytest.mark.parametrize(
    "body", [b"hi", b"x" * (LONG_REQUEST_BYTES // 2), LONG_BODY], ids=len
)
@pytest.mark.parametrize("path", ["/status/", "/ask/1"])
async def test_another_runner_responds_in_time_if_the_machine_of_one_is_dead(
    path, body
):
    dead = [
        FrozenRunner("app-1", "app"),
        FrozenRunner("runner-1", "llm", stage="decode"),
    ]
    others = [
        FakeRunner("app-2", "app", zone="qc-a"),
        FakeRunner("runner-2", "llm", stage="decode", zone="qc-a"),
    ]
    routes = [
        make_route("status", "safe", "app", TimeoutMs=8000),
        make_route("ask", "streaming", "llm", Resumable=True, TimeoutMs=8000),
    ]
    configuration = make_configuration(routes=routes)
    configuration["Limits"] = LIMITS | {"MaxBodyBytes": len(LONG_BODY)}
    async with running_scene(*dead, *others, configuration=configuration) as scene:
        for runner in dead:
            runner.freeze()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await scene.send_request(
            path, body=body, X_Lacewinglug_Deadline_Ms="8000"
        )
        assert (answer.status, answer.complete) == (200, True)
        assert loop.time() - started_s < MAX_DETECTION_S
        assert sum(runner.frozen_connections for runner in dead) >= 1
        assert all(runner.runs == [] for runner in dead)


# Regression tests: a sound engine that was silent for a second was given up, and the
# stream was cut (or the request refused) although the engine went on.
@pytest.mark.parametrize(
    ("mode", "silence_s"),
    [("pause", SOUND_SILENCE_S), ("pause_first", MIN_FIRST_EVENT_TIMEOUT_S)],
)
async def test_a_silent_engine_is_waited_for_if_the_next_one_rejects(mode, silence_s):
    prefiller, silent = make_engines()
    silent.mode, silent.pause_s = mode, silence_s + 0.4
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    other.mode = "reject"
    configuration = make_configuration()
    configuration["Routes"][2]["TimeoutMs"] = 8000
    async with running_scene(
        prefiller, silent, other, configuration=configuration
    ) as scene:
        answer = await scene.send_request("/ask/1", X_Lacewinglug_Deadline_Ms="8000")
        assert (answer.body, answer.complete) == (STREAM, True)
        assert len(silent.runs) == 1
        assert silent.cancelled_count == 0


async def test_the_log_line_of_a_stream_says_on_which_side_it_stood_still(caplog):
    pause_s = 0.3
    engine = FakeRunner("runner-1", "llm", stage="decode")
    engine.mode, engine.pause_s = "pause", pause_s
    with caplog.at_level(logging.INFO):
        async with running_scene(engine) as scene:
            await scene.send_request("/ask/1")
    (ended,) = [item for item in caplog.records if item.message == "request ended"]
    # The relay may read the event before the pause late.
    assert pause_s * 500 < ended.longest_upstream_wait_ms < pause_s * 2000
    assert ended.longest_client_wait_ms < pause_s * 500


async def test_a_silent_engine_is_waited_for_if_the_retry_budget_is_used_up():
    prefiller, silent = make_engines()
    silent.mode, silent.pause_s = "pause", GAP_TIMEOUT_S + 0.4
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_scene(prefiller, silent, other) as scene:
        budget = scene.process.state.retry_budget("llm")
        budget.try_spend = lambda **_fields: False
        answer = await scene.send_request("/ask/1")
        assert (answer.body, answer.complete) == (STREAM, True)
        assert other.runs == []


async def test_a_silent_engine_is_waited_for_if_the_next_one_breaks_off():
    prefiller, silent = make_engines()
    silent.mode, silent.pause_s = "pause", GAP_TIMEOUT_S + 0.4
    broken = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    broken.mode = "cut"
    async with running_scene(prefiller, silent, broken) as scene:
        answer = await scene.send_request("/ask/1")
        assert (answer.body, answer.complete) == (STREAM, True)
        assert len(broken.runs) == 1


# Guards against a stream that depends on an engine that sends nothing, although the one
# that was silent goes on while both have it.
@pytest.mark.parametrize(
    ("mode", "silence_s"),
    [("pause", SOUND_SILENCE_S), ("pause_first", MIN_FIRST_EVENT_TIMEOUT_S)],
)
async def test_a_stream_goes_on_at_a_silent_engine_that_sends_first(
    mode, silence_s, caplog
):
    silent = FakeRunner("runner-1", "llm", stage="decode")
    silent.mode, silent.pause_s = mode, silence_s + MAX_OVERLAP_S / 2
    hanging = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    hanging.mode = "hang"
    with caplog.at_level(logging.INFO):
        async with running_long_stream_scene(silent, hanging) as scene:
            answer = await send_long_stream(scene)
            assert (answer.body, answer.complete) == (STREAM, True)
            assert len(hanging.received) == 1
            while not hanging.cancelled_count:
                await asyncio.sleep(0.01)
            assert silent.cancelled_count == 0
            health = scene.process.state.upstreams.health
            assert not any(health(f"runner-{n}").outstanding for n in (1, 2))
    (ended,) = [item for item in caplog.records if item.message == "request ended"]
    went_on = [step for step in ended.steps if step["step"] == "went on"]
    assert [step["runner"] for step in went_on] == [silent.instance]


class TwoEventsThenSilence(FakeRunner):
    """Falls silent after its second event, and goes on in the overlap."""

    async def stream(self, request, exchange):
        await exchange.start_response(200, self.response_headers(request))
        for number, wait_s in enumerate(
            (2 * ANSWER_START_S, SOUND_SILENCE_S + MAX_OVERLAP_S / 2, 0.0), start=1
        ):
            await exchange.write(b"id: %d\ndata: w%d\n\n" % (number, number))
            await asyncio.sleep(wait_s)
        await exchange.finish()


# Guards against a stream that counts as an answer once more when its engine goes on,
# which says nothing about engines that begin one now.
async def test_a_stream_that_goes_on_after_a_silence_counts_as_one_answer():
    silent = TwoEventsThenSilence("runner-1", "llm", stage="decode")
    hanging = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    hanging.mode = "hang"
    async with running_long_stream_scene(silent, hanging) as scene:
        answers = []
        scene.process.state.quarantine.record_answer = lambda parts, *, now_s: (
            answers.append(now_s)
        )
        answer = await send_long_stream(scene)
        assert (answer.body, answer.complete) == (STREAM, True)
        assert len(hanging.received) == 1
        assert len(answers) == 1


# Guards against open attempts after the client has left while two engines were read.
async def test_both_engines_are_given_up_if_the_client_leaves_during_the_overlap():
    silent = FakeRunner("runner-1", "llm", stage="decode")
    silent.mode = "stall"
    hanging = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    hanging.mode = "hang"
    async with running_long_stream_scene(silent, hanging) as scene:
        request = asyncio.create_task(send_long_stream(scene))
        while not hanging.received:
            await asyncio.sleep(0.01)
        request.cancel()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not (silent.cancelled_count and hanging.cancelled_count):
            await asyncio.sleep(0.01)
        assert loop.time() - started_s < MAX_OVERLAP_S


class LateAnswer(FakeRunner):
    """Sends a response of one piece after a silence.

    :param late_s: that silence, in s.
    :param status: status of the response; 503 says that the request has not run.
    """

    def __init__(self, *args, late_s, status=503, **fields):
        super().__init__(*args, **fields)
        self.late_s = late_s
        self.status = status

    async def run(self, request, exchange):
        self.received.append(request)
        await asyncio.sleep(self.late_s)
        rejected = self.status == 503
        await exchange.respond(
            self.make_response(request, self.status, rejected=rejected)
        )


# Guards against a request that is held until its timeout although both engines have
# answered it: the silent one first, while the next one had it.
@pytest.mark.parametrize("status", [503, 500])
async def test_a_request_ends_once_the_silent_engine_and_the_next_one_have_answered(
    status,
):
    silent = LateAnswer(
        "runner-1",
        "llm",
        stage="decode",
        late_s=MIN_FIRST_EVENT_TIMEOUT_S + MAX_OVERLAP_S / 3,
        status=status,
    )
    other = LateAnswer(
        "runner-2", "llm", stage="decode", zone="qc-a", late_s=MAX_OVERLAP_S * 2 / 3
    )
    async with running_long_stream_scene(silent, other) as scene:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await send_long_stream(scene)
        assert answer.status in (500, 502, 503)
        assert loop.time() - started_s < MIN_FIRST_EVENT_TIMEOUT_S + 1.0
        assert (len(silent.received), len(other.received)) == (1, 1)


class RejectOnDemand(FakeRunner):
    """Rejects a request when the test says so."""

    async def run(self, request, exchange):
        self.reject = functools.partial(
            exchange.respond, self.make_response(request, 503, rejected=True)
        )
        self.received.append(request)
        await asyncio.sleep(600)


class RestAtOnce(FakeRunner):
    """Sends the rest of its stream in the moment in which another engine rejects it."""

    other = None

    async def stream(self, request, exchange):
        await exchange.start_response(200, self.response_headers(request))
        await exchange.write(STREAM[: STREAM.index(b"id: 2")])
        while not self.other.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(MAX_OVERLAP_S / 3)
        # None of these waits, so the host gets both in one turn of the event loop.
        await self.other.reject()
        await exchange.write(STREAM[STREAM.index(b"id: 2") :])
        await exchange.finish()


# Guards against a stream that is cut at its timeout although its rest was received.
async def test_the_rest_of_a_silent_engine_is_relayed_if_the_next_one_rejects_then():
    silent = RestAtOnce("runner-1", "llm", stage="decode")
    silent.other = RejectOnDemand("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_long_stream_scene(silent, silent.other) as scene:
        answer = await send_long_stream(scene)
        assert (answer.body, answer.complete) == (STREAM, True)


class UnframedCut(FakeRunner):
    """Sends a stream without framing, and ends soon after another engine has it.

    :param other: that engine.
    """

    other = None

    async def run(self, request, exchange):
        self.received.append(request)
        lines = [b"HTTP/1.1 200 OK", b"Connection: close"]
        lines += [b"%b: %b" % field for field in self.response_headers(request)]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        exchange._transport.write(head + STREAM[: STREAM.index(b"id: 2")])
        while not self.other.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(MAX_OVERLAP_S / 4)
        exchange.close()


# Guards against a stream that looks complete since its silent engine ended, although
# the next one has it and goes on.
async def test_the_end_of_a_silent_engine_without_framing_does_not_end_a_stream():
    silent = UnframedCut("runner-1", "llm", stage="decode")
    silent.other = other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    other.mode, other.pause_s = "pause_first", MAX_OVERLAP_S * 3 / 4
    async with running_long_stream_scene(silent, other) as scene:
        answer = await send_long_stream(scene)
        assert len(other.received) == 1
        assert (answer.body, answer.complete) == (STREAM, True)


class LateCut(FakeRunner):
    """Breaks off without an answer shortly before the overlap limit."""

    async def stream(self, request, exchange):
        await asyncio.sleep(0.9 * MAX_OVERLAP_S)
        exchange.abort()


# Guards against a stream that is cut since the overlap limit closed its only engine.
async def test_a_silent_engine_stays_open_while_a_crash_is_examined():
    prefiller, silent = make_engines()
    silent.mode, silent.pause_s = "pause", GAP_TIMEOUT_S + 0.6
    other = LateCut("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_scene(prefiller, silent, other) as scene:
        answer = await scene.send_request("/ask/1")
        assert (answer.body, answer.complete) == (STREAM, True)
        assert len(other.runs) == 1
        assert silent.cancelled_count == 0


class CommentThenCut(FakeRunner):
    """Sends a comment at once, then breaks off."""

    async def stream(self, request, exchange):
        await exchange.start_response(200, self.response_headers(request))
        await exchange.write(b": ping\n\n")
        await asyncio.sleep(0.05)
        exchange.abort()


# Guards against a sound engine that is given up for one that only sends comments.
@pytest.mark.parametrize(
    ("mode", "silence_s"),
    [("pause", SOUND_SILENCE_S), ("pause_first", MIN_FIRST_EVENT_TIMEOUT_S)],
)
async def test_a_comment_of_the_next_engine_does_not_give_up_a_silent_one(
    mode, silence_s
):
    prefiller, silent = make_engines()
    silent.mode, silent.pause_s = mode, silence_s + 0.8
    other = CommentThenCut("runner-2", "llm", stage="decode", zone="qc-a")
    routes = [make_route("ask", "streaming", "llm", Resumable=True, TimeoutMs=8000)]
    configuration = make_configuration(routes=routes)
    async with running_scene(
        prefiller, silent, other, configuration=configuration
    ) as scene:
        answer = await scene.send_request("/ask/1", X_Lacewinglug_Deadline_Ms="8000")
        assert answer.complete
        assert answer.body.replace(b": ping\n\n", b"") == STREAM
        assert len(other.runs) == 1
        assert silent.cancelled_count == 0


class LateReject(FakeRunner):
    """Rejects requests to resume a stream, the first one after a silence.

    :param late_s: that silence, in s; longer than the overlap limit by default.
    :param reject_count: number of requests that it rejects.
    """

    def __init__(self, *args, late_s=MAX_OVERLAP_S + 0.2, reject_count=1, **fields):
        super().__init__(*args, **fields)
        self.late_s = late_s
        self.reject_count = reject_count

    async def run(self, request, exchange):
        resumed = first_header(request.headers, b"last-event-id")
        if resumed:
            self.pause_s = 0.0
        if not resumed or not self.reject_count:
            await super().run(request, exchange)
            return
        self.received.append(request)
        self.reject_count -= 1
        late_s, self.late_s = self.late_s, 0.0
        await asyncio.sleep(late_s)
        await exchange.respond(self.make_response(request, 503, rejected=True))


def make_late_engines(*, late_count, silent_count):
    """Return an engine that falls silent, and one that rejects its stream late.

    :param late_count: number of requests that the latter rejects.
    :param silent_count: the same of the former, when the stream returns to it.
    """
    silent = LateReject(
        "runner-1", "llm", stage="decode", late_s=0.0, reject_count=silent_count
    )
    silent.mode, silent.pause_s = "pause", SOUND_SILENCE_S + 1.0
    late = LateReject(
        "runner-2", "llm", stage="decode", zone="qc-a", reject_count=late_count
    )
    return silent, late


LONG_TIMEOUT_S = 6.0


def running_long_stream_scene(*runners):
    timeout_ms = round(LONG_TIMEOUT_S * 1000)
    routes = [
        make_route("ask", "streaming", "llm", Resumable=True, TimeoutMs=timeout_ms)
    ]
    return running_scene(*runners, configuration=make_configuration(routes=routes))


async def add_runner(scene, runner):
    """Start a runner beside those of a scene, and register it."""
    scene.runners.append(await runner.open())
    await scene.store.put("keyed.servers", runner.instance, runner.entry())


async def send_long_stream(scene):
    return await scene.send_request(
        "/ask/1", X_Lacewinglug_Deadline_Ms=str(round(LONG_TIMEOUT_S * 1000))
    )


# Guards against a stream that is cut since the next engine rejects it after the silent
# one was given up.
@pytest.mark.parametrize(("late_count", "silent_count"), [(1, 0), (3, 2), (100, 1)])
async def test_a_stream_goes_on_at_a_silent_engine_if_the_next_one_rejects_late(
    late_count, silent_count
):
    silent, late = make_late_engines(late_count=late_count, silent_count=silent_count)
    async with running_long_stream_scene(silent, late) as scene:
        answer = await send_long_stream(scene)
        assert (answer.body, answer.complete) == (STREAM, True)
        assert silent.cancelled_count == 1


# Guards against sending a stream to more engines than its route has attempts.
async def test_a_stream_is_resumed_only_at_engines_that_had_it():
    silent, late = make_late_engines(late_count=100, silent_count=100)
    others = [
        FakeRunner(f"runner-{number}", "llm", stage="decode", zone="qc-a")
        for number in (3, 4)
    ]
    for other in others:
        other.mode = "reject"
    async with running_long_stream_scene(silent, late, *others) as scene:
        answer = await send_long_stream(scene)
        assert not answer.complete
        runners = [silent, late, *others]
        assert sum(bool(runner.received) for runner in runners) == 2


# Guards against giving up a silent engine without a retry left for the way back.
@pytest.mark.parametrize("retries", [1.5, 2.5])
async def test_a_silent_engine_is_given_up_only_with_a_retry_in_reserve(retries):
    silent, late = make_late_engines(late_count=1, silent_count=0)
    async with running_long_stream_scene(silent, late) as scene:
        budget = scene.process.state.retry_budget("llm")
        budget.ratio, budget.slack = 0.0, retries / USABLE_SLACK_FRACTION
        answer = await send_long_stream(scene)
        assert (answer.body, answer.complete) == (STREAM, True)
        assert bool(late.received) == (retries > 2)


# Guards against sending a stream elsewhere although its sound engine goes on in time.
@pytest.mark.parametrize("silence_s", [0.7, 1.0, 1.3, 1.5])
async def test_a_stream_stays_at_an_engine_that_is_silent_for_a_second(silence_s):
    silent, late = make_late_engines(late_count=1, silent_count=0)
    silent.pause_s = silence_s
    async with running_long_stream_scene(silent, late) as scene:
        answer = await send_long_stream(scene)
        assert (answer.body, answer.complete) == (STREAM, True)
        assert (len(silent.received), late.received) == (1, [])


# Guards against holding a stream that no engine may get again.
async def test_a_stream_ends_at_once_if_all_engines_that_had_it_have_left():
    silent, late = make_late_engines(late_count=100, silent_count=100)
    async with running_long_stream_scene(silent, late) as scene:
        loop = asyncio.get_running_loop()
        request = asyncio.create_task(send_long_stream(scene))
        while not late.received:
            await asyncio.sleep(0.01)
        started_s = loop.time()
        for runner in (silent, late):
            await scene.store.put(
                "keyed.servers", runner.instance, runner.entry("draining")
            )
        answer = await request
        assert not answer.complete
        assert loop.time() - started_s < late.late_s + MAX_OVERLAP_S + 1.0


# Guards against a stream that is cut with an engine ready and time left, since the
# engine that was silent and the one that rejected it have left.
@pytest.mark.parametrize("listed", [True, False])
async def test_a_stream_goes_on_elsewhere_if_all_engines_that_had_it_have_left(listed):
    silent, late = make_late_engines(late_count=100, silent_count=100)
    async with running_long_stream_scene(silent, late) as scene:
        request = asyncio.create_task(send_long_stream(scene))
        while not late.received:
            await asyncio.sleep(0.01)
        ready = FakeRunner("runner-3", "llm", stage="decode", zone="qc-a")
        await add_runner(scene, ready)
        for runner in (silent, late):
            if listed:
                entry = runner.entry("draining")
                await scene.store.put("keyed.servers", runner.instance, entry)
            else:
                await scene.store.drop("keyed.servers", runner.instance)
        answer = await request
        assert (answer.body, answer.complete) == (STREAM, True)


# Guards against a stream that runs on more engines than its route has attempts, once
# those that had it have left.
async def test_a_stream_runs_on_no_more_engines_than_its_route_has_attempts():
    silent, late = make_late_engines(late_count=100, silent_count=100)
    async with running_long_stream_scene(silent, late) as scene:
        request = asyncio.create_task(send_long_stream(scene))
        while not late.received:
            await asyncio.sleep(0.01)
        others = [
            FakeRunner(f"runner-{number}", "llm", stage="decode", zone="qc-a")
            for number in (3, 4)
        ]
        for other in others:
            other.mode = "cut"
            await add_runner(scene, other)
        for runner in (silent, late):
            await scene.store.drop("keyed.servers", runner.instance)
        answer = await request
        assert not answer.complete
        assert [len(other.received) for other in others].count(0) == 1


# Guards against a stream that is cut before its client's deadline, which takes a large
# part of the time that a retry has left.
async def test_a_stream_that_has_begun_has_time_until_the_deadline_of_its_client():
    engine = FakeRunner("runner-1", "llm", stage="decode")
    engine.mode = "stall"
    async with running_scene(engine) as scene:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await scene.send_request("/ask/1", X_Lacewinglug_Deadline_Ms="600")
        assert (answer.status, answer.complete) == (200, False)
        assert loop.time() - started_s >= 0.6


class EventThenCut(FakeRunner):
    """Resumes a stream for one event, then breaks off."""

    async def stream(self, request, exchange):
        await exchange.start_response(200, self.response_headers(request))
        await exchange.write(b"id: 2\ndata: w2\n\n")
        await asyncio.sleep(0.8)
        exchange.abort()


# Guards against a stream that runs on one engine more than its route has attempts,
# since one that rejected it before is registered again.
async def test_an_engine_that_comes_back_is_no_exception_to_the_limit_of_attempts():
    silent, late = make_late_engines(late_count=1, silent_count=0)
    async with running_long_stream_scene(silent, late) as scene:
        request = asyncio.create_task(send_long_stream(scene))
        while not late.received:
            await asyncio.sleep(0.01)
        other = EventThenCut("runner-3", "llm", stage="decode", zone="qc-a")
        await add_runner(scene, other)
        for runner in (silent, late):
            await scene.store.drop("keyed.servers", runner.instance)
        while not other.received:
            await asyncio.sleep(0.01)
        await scene.store.put("keyed.servers", late.instance, late.entry())
        await request
        assert sum(bool(runner.runs) for runner in (silent, late, other)) == 2


# Guards against a stream that waits for an engine that has asked for a pause, although
# another one may take it.
async def test_a_stream_goes_on_elsewhere_if_the_engine_that_rejected_it_pauses():
    silent, late = make_late_engines(late_count=1, silent_count=0)
    late.retry_after = b"30"
    async with running_long_stream_scene(silent, late) as scene:
        request = asyncio.create_task(send_long_stream(scene))
        while not late.received:
            await asyncio.sleep(0.01)
        ready = FakeRunner("runner-3", "llm", stage="decode", zone="qc-a")
        await add_runner(scene, ready)
        await scene.store.drop("keyed.servers", silent.instance)
        answer = await request
        assert (answer.body, answer.complete) == (STREAM, True)


# Guards against a stream that is resumed again and again without a pause.
async def test_a_stream_is_resumed_within_the_retry_budget():
    silent, late = make_late_engines(late_count=100, silent_count=100)
    async with running_long_stream_scene(silent, late) as scene:
        answer = await send_long_stream(scene)
        assert not answer.complete
        budget = scene.process.state.retry_budget("llm")
        spent = len(budget._retries)
        assert len(silent.received) + len(late.received) <= 1 + spent
        # One to the next engine, three at growing intervals, the others at the longest.
        assert spent <= 4 + (LONG_TIMEOUT_S - SOUND_SILENCE_S) / MAX_RETURN_INTERVAL_S


# Guards against a request that two engines run at the same time.
async def test_a_silent_engine_is_given_up_soon_after_another_one_has_the_request():
    prefiller, silent = make_engines()
    silent.mode = "stall"
    slow = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    slow.mode, slow.pause_s = "pause_first", 1.0
    loop = asyncio.get_running_loop()
    async with running_long_stream_scene(prefiller, silent, slow) as scene:
        request = asyncio.create_task(send_long_stream(scene))
        while not slow.runs:
            await asyncio.sleep(0.01)
        started_s = loop.time()
        while not silent.cancelled_count:
            await asyncio.sleep(0.01)
        assert loop.time() - started_s < 0.4
        answer = await request
        assert (answer.body, answer.complete) == (STREAM, True)


@pytest.mark.parametrize("mode", ["trickle", "noise"])
async def test_a_stream_that_sends_only_meaningless_bytes_resumes_elsewhere(mode):
    """Such bytes used to restart the timeout of the next event each time."""
    prefiller, stalled = make_engines()
    stalled.mode = mode
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_scene(prefiller, stalled, other) as scene:
        started_s = asyncio.get_running_loop().time()
        answer = await scene.send_request("/ask/1")
        took_s = asyncio.get_running_loop().time() - started_s
        assert answer.complete
        assert answer.body.replace(b": noise\n\n", b"") == STREAM
        assert took_s < GAP_TIMEOUT_FACTOR * TARGET_GAP_S + 2.0
        while not stalled.cancelled_count:
            await asyncio.sleep(0.01)


class Unnumbered(FakeRunner):
    """Sends events without an id, and pauses or breaks off after the first."""

    async def stream(self, request, exchange):
        await exchange.start_response(200, self.response_headers(request))
        await exchange.write(b"data: w1\n\n")
        await asyncio.sleep(self.pause_s)
        if self.mode == "cut":
            exchange.abort()
            return
        await exchange.write(b"data: w2\n\n")
        await exchange.finish()


# Guards against events that the client gets twice, as it can't tell them by an id.
@pytest.mark.parametrize(("mode", "complete"), [("cut", False), ("pause", True)])
async def test_events_without_an_id_are_not_sent_twice(mode, complete):
    engines = [
        Unnumbered(f"runner-{number}", "llm", stage="decode") for number in (1, 2)
    ]
    for engine in engines:
        engine.mode = mode
        engine.pause_s = 0.1 if mode == "cut" else GAP_TIMEOUT_S + 0.4
    async with running_scene(*engines) as scene:
        answer = await scene.send_request("/ask/1")
        assert (answer.status, answer.complete) == (200, complete)
        assert answer.body == b"data: w1\n\n" + b"data: w2\n\n" * complete
        assert sum(len(engine.runs) for engine in engines) == 1


async def test_an_interrupted_stream_that_is_not_resumable_ends_incomplete():
    prefiller, broken = make_engines()
    broken.mode = "cut"
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_scene(prefiller, broken, other) as scene:
        answer = await scene.send_request("/notes/1")
    assert not answer.complete
    assert STREAM.startswith(answer.body)
    assert other.runs == []


async def test_a_kv_cache_that_nobody_fetches_is_freed():
    prefiller, runner = make_engines()
    runner.mode = "reject"
    async with running_scene(prefiller, runner) as scene:
        answer = await scene.send_request("/notes/1")
        assert answer.status == 503
        while not prefiller.released_handles:
            await asyncio.sleep(0.01)
    assert prefiller.released_handles == ["h1"]


# Guards against a KV cache that is kept after its silent engine was given up.
@pytest.mark.parametrize("next_mode", ["serve", "reject"])
async def test_the_kv_cache_of_a_silent_engine_is_freed_when_it_is_given_up(next_mode):
    prefiller, silent = make_engines()
    silent.mode = "hang"
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    other.mode = next_mode
    routes = [make_route("ask", "streaming", "llm", Resumable=True, TimeoutMs=4000)]
    configuration = make_configuration(routes=routes)
    async with running_scene(
        prefiller, silent, other, configuration=configuration
    ) as scene:
        answer = await scene.send_request("/ask/1", X_Lacewinglug_Deadline_Ms="4000")
        assert answer.status == (200 if next_mode == "serve" else 504)
        assert len(prefiller.prefills) == len(silent.runs) == 1
        while not prefiller.released_handles:
            await asyncio.sleep(0.01)
        assert prefiller.released_handles == ["h1"]


# Guards against a host that stops for seconds while it reads an event without end.
async def test_an_event_without_end_leaves_other_requests_running():
    prefiller, flooding = make_engines()
    flooding.mode = "flood"
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_scene(prefiller, flooding, other) as scene:
        answer, turn_s = await measure_longest_turn(scene.send_request("/ask/1"))
    assert (answer.status, answer.body, answer.complete) == (200, STREAM, True)
    assert turn_s < MAX_TURN_CPU_S


# Guards against an unsigned success that only a check for status 200 would find.
@pytest.mark.parametrize("status", [200, 201, 203, 206, 299])
@pytest.mark.parametrize("path", ["/ask/1", "/status/"])
async def test_a_success_without_a_signature_is_not_passed_on(path, status):
    prefiller, engine = make_engines()
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    plain, spare = make_app_runner("app-1"), make_app_runner("app-2")
    for runner in (engine, plain):
        runner.mode, runner.unsigned_status = "unsigned", status
    async with running_scene(prefiller, engine, other, plain, spare) as scene:
        for _ in range(4):
            answer = await scene.send_request(path, method="POST")
            assert answer.status == 200
            assert answer.headers["x-lacewinglug-response-signature"] in (
                "runner-2",
                "app-2",
            )
    assert engine.runs or plain.runs


async def test_an_unsigned_success_of_the_only_runner_is_an_unknown_outcome():
    prefiller, engine = make_engines()
    engine.mode, engine.unsigned_status = "unsigned", 206
    async with running_scene(prefiller, engine) as scene:
        answer = await scene.send_request("/notes/1")
    assert (answer.status, len(engine.runs)) == (502, 1)


async def test_a_draining_runner_gets_no_new_work():
    leaving, staying = make_app_runner("app-1"), make_app_runner("app-2")
    async with running_scene(leaving, staying) as scene:
        await scene.store.put("keyed.servers", "app-1", leaving.entry("draining"))
        while len(scene.process.state.fleet.ready("app")) > 1:
            await asyncio.sleep(0.02)
        for _ in range(5):
            await scene.send_request("/unlock/7")
    assert leaving.runs == []
    assert len(staying.runs) == 5


async def test_malformed_runner_entries_are_ignored():
    runner = make_app_runner()
    async with running_scene(runner) as scene:
        for key, entry in (
            ("odd-1", {"Service": "app"}),
            ("odd-2", runner.entry() | {"Slots": "six"}),
            ("odd-3", runner.entry() | {"State": "asleep"}),
            ("odd-4", runner.entry() | {"Address": "nowhere"}),
        ):
            await scene.store.put("keyed.servers", key, entry)
        await scene.store.append("keyed.servers", b"\x05odd-5\xff\xfe{")
        read_s = scene.process.state.fleet.read_at_s
        while scene.process.state.fleet.read_at_s == read_s:
            await asyncio.sleep(0.02)
        assert (await scene.send_request("/unlock/7")).status == 200
        assert [item.instance for item in scene.process.state.fleet.entries] == [
            "app-1"
        ]


async def test_a_newer_configuration_is_applied_and_an_older_one_is_ignored():
    async with running_scene(make_app_runner()) as scene:
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


async def test_a_store_outage_does_not_interrupt_service():
    async with running_scene(make_app_runner()) as scene:
        scene.store.down = True
        while not scene.process.state.fleet._store_unavailable:
            await asyncio.sleep(0.02)
        assert (await scene.send_request("/unlock/7")).status == 200
        routes = [make_route("added", "safe", "app")]
        await scene.store.put("keyed.op", "config", make_configuration(9, routes))
        scene.store.down = False
        while (
            await scene.send_request("/added/", method="GET", body=b"")
        ).status != 200:
            await asyncio.sleep(0.05)


async def test_a_host_shutting_down_finishes_requests_in_progress():
    runner = make_app_runner()
    async with running_scene(runner) as scene:
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
    async with running_scene(make_app_runner()) as scene:
        await scene.send_request("/unlock/7")
        answer = await scene.send_request_to(
            scene.process.metrics_address, "/metrics", "GET"
        )
        assert b'lacewinglug_requests_total{outcome="answered"' in answer.body
        for name in ("Ready", "Directory"):
            assert (
                await scene.send_request_to(scene.listen_address(name), "/x", "GET")
            ).status == 404


async def test_a_runner_that_drains_during_a_prefill_gets_no_stream():
    """Regression test: a stream was sent to a runner that began to drain during the
    prefill, which took three seconds (hunt of skibus-pladser, hunt-278c-23).
    """
    prefiller, leaving = make_engines()
    other = FakeRunner("runner-2", "llm", stage="decode", zone="qc-a")
    async with running_scene(prefiller, leaving, other) as scene:
        prefiller.prefill_allowed.clear()
        waiting = asyncio.create_task(scene.send_request("/ask/1"))
        while not prefiller.prefills:
            await asyncio.sleep(0.01)
        await scene.store.put("keyed.servers", "runner-1", leaving.entry("draining"))
        while not scene.process.state.fleet.get("runner-1").draining:
            await asyncio.sleep(0.02)
        prefiller.prefill_allowed.set()
        answer = await waiting
    assert (answer.body, answer.complete) == (STREAM, True)
    assert leaving.runs == []


async def test_an_unreachable_prefill_engine_does_not_count_as_an_attempt():
    prefiller, runner = make_engines()
    async with running_scene(prefiller, runner) as scene:
        prefiller.close()
        answer = await scene.send_request("/notes/1")
    assert (answer.body, answer.complete) == (STREAM, True)


async def test_a_call_that_may_have_run_is_not_called_not_run_if_no_runner_is_left():
    """Regression test: a safe call whose only runner began to drain and then reset the
    connection was refused with 503, as if it had not run.
    """
    runner = make_app_runner()
    runner.mode = "hang"
    async with running_scene(runner) as scene:
        waiting = asyncio.create_task(
            scene.send_request("/status/", method="GET", body=b"")
        )
        while not runner.runs:
            await asyncio.sleep(0.01)
        await scene.store.put("keyed.servers", "app-1", runner.entry("draining"))
        while scene.process.state.fleet.ready("app"):
            await asyncio.sleep(0.02)
        runner.close()
        answer = await waiting
    assert answer.status == 502


# Guards against an answer of a silent runner that is held back while the call waits for
# the next one.
async def test_a_call_is_answered_by_the_runner_that_answers_first():
    late = make_app_runner("app-1")
    late.mode, late.pause_s = "pause", 0.9
    hanging = [FakeRunner(f"app-{n}", "app", zone="qc-a") for n in (2, 3)]
    for runner in hanging:
        runner.mode = "hang"
    routes = [
        make_route(
            "status", "safe", "app", MaxAttempts=3, TargetLatencyMs=1000, TimeoutMs=8000
        )
    ]
    configuration = make_configuration(routes=routes)
    async with running_scene(late, *hanging, configuration=configuration) as scene:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await scene.send_request(
            "/status/", method="GET", body=b"", X_Lacewinglug_Deadline_Ms="8000"
        )
        assert (answer.status, answer.body) == (200, b"done")
        assert loop.time() - started_s < late.pause_s + 0.3
