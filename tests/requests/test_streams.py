"""Tests of the timeouts and migrations of open streams."""

import asyncio
import contextlib
import random
from dataclasses import dataclass, field

import pytest

from lacewinglug.config.objects import AvailabilityZone, Fleet, Runner, Service
from lacewinglug.control import ConfigView, RunnerStatus
from lacewinglug.metrics import Metrics
from lacewinglug.requests.moves import (
    KvCacheMethod,
    MigrationCosts,
    choose_kv_cache_method,
)
from lacewinglug.requests.streams import (
    BlockedOn,
    Interruption,
    StreamMonitor,
    StreamTimeouts,
)
from lacewinglug.upstream.messages import EndLine, KvImportReply, LoadReport
from tests.requests.fakes import (
    FakeClock,
    FakeDispatcher,
    collect_lines,
    make_body,
    make_relay,
    make_stream,
    make_token_line,
)
from tests.streams import judge_answer

TIMEOUTS = StreamTimeouts(caller_stall_s=10.0)
TOKENS = 200


@dataclass
class PausingEngines:
    """Engines that pause during an answer; those in ``stalled`` never resume."""

    stalled: set = field(default_factory=set)
    requests: list = field(default_factory=list)
    imports: list = field(default_factory=list)
    pause_at: int = 20

    async def generate(self, url, message):
        self.requests.append((url, message.resume_from))
        for index in range(message.resume_from, message.max_tokens):
            if index == self.pause_at:
                if url in self.stalled:
                    await asyncio.Event().wait()
                await asyncio.sleep(0.02)
            yield [make_token_line(message, index)]
        yield [EndLine(request_id=message.request_id, tokens=message.max_tokens)]

    async def import_kv(self, url, message, *, timeout_s):
        self.imports.append(url)
        return KvImportReply(tokens=0)


@dataclass
class StreamSession:
    """One stream with its engines and its monitor."""

    engines: PausingEngines
    runner_names: list = field(default_factory=lambda: ["a", "b"])
    max_tokens: int = TOKENS
    deadline_s: float = 1e9
    prompt_tokens: int = 10

    def __post_init__(self):
        self.clock = FakeClock()
        self.dispatcher = FakeDispatcher(self.runner_names, random.Random(1))
        self.dispatcher.random.choice = min
        self.relay = make_relay(self.engines, self.dispatcher, self.clock)
        self.monitor = StreamMonitor(
            view=self.relay.view, timeouts=TIMEOUTS, clock=self.clock, metrics=Metrics()
        )
        self.stream = make_stream(
            deadline_s=self.deadline_s, prompt_tokens=self.prompt_tokens
        )

    async def run(self, *, until_paused):
        """Relay the answer; call ``until_paused`` while the first engine pauses.

        Return the outcome and the problems found by the judge.
        """
        body = make_body(0, self.max_tokens)
        collecting = collect_lines(self.relay, self.stream, body)
        self.stream.task = asyncio.create_task(collecting)
        self.monitor.add(self.stream)
        while self.stream.lines_from_runner < self.engines.pause_at:
            await asyncio.sleep(0)
        until_paused()
        lines = await self.stream.task
        assert not self.dispatcher.open_dispatches
        return judge_answer(body.prompt, self.max_tokens, lines)

    def sweep_after(self, delay_s):
        """Sweep to record the progress so far, then again after a delay."""
        self.monitor.sweep(self.clock.now)
        self.clock.now += delay_s
        self.monitor.sweep(self.clock.now)

    def set_config(self, *, draining=(), withdrawn=()):
        fleet = Fleet(
            availability_zones={
                "z": AvailabilityZone(region="r", one_way_delay_s=0.001)
            },
            services={"assistant": Service(kind="model")},
            runners={
                name: Runner(service="assistant", availability_zone="z", url=name)
                for name in self.runner_names
            },
        )
        self.relay.view.config = ConfigView(
            revision=1,
            next_offset=1,
            fleet=fleet,
            draining=list(draining),
            withdrawn=list(withdrawn),
            tenures={},
        )


async def test_answer_resumes_on_another_engine_if_the_first_stalls():
    session = StreamSession(PausingEngines(stalled={"a"}))
    result = await session.run(until_paused=lambda: session.sweep_after(5.1))
    assert result == ("answered", [])
    assert session.engines.requests == [("a", 0), ("b", 20)]


async def test_engine_that_pauses_within_the_timeout_is_kept():
    session = StreamSession(PausingEngines())
    result = await session.run(until_paused=lambda: session.sweep_after(4.9))
    assert result == ("answered", [])
    assert session.engines.requests == [("a", 0)]


async def test_answer_fails_if_all_engines_stall():
    session = StreamSession(PausingEngines(stalled={"a", "b"}))

    async def sweep():
        while True:
            await asyncio.sleep(0.001)
            session.sweep_after(5.1)

    sweeper = asyncio.create_task(sweep())
    result = await session.run(until_paused=lambda: None)
    sweeper.cancel()
    assert result == ("failed_while_running", [])


async def test_answer_resumes_on_another_engine_if_the_first_is_withdrawn():
    session = StreamSession(PausingEngines(stalled={"a"}))

    def withdraw():
        session.set_config(withdrawn=["a"])
        session.sweep_after(0.0)

    assert await session.run(until_paused=withdraw) == ("answered", [])
    assert session.engines.requests == [("a", 0), ("b", 20)]


@pytest.mark.parametrize("drained_by", ["operator", "report"])
@pytest.mark.parametrize(
    ("max_tokens", "names", "migrates"),
    [(TOKENS, ["a", "b"], True), (60, ["a", "b"], False), (TOKENS, ["a"], False)],
)
async def test_long_streams_migrate_off_a_draining_engine(
    drained_by, max_tokens, names, migrates
):
    session = StreamSession(PausingEngines(), runner_names=names, max_tokens=max_tokens)
    session.set_config()

    def drain():
        if drained_by == "operator":
            session.set_config(draining=["a"])
        else:
            report = LoadReport(state="draining")
            session.relay.view.runners["a"] = RunnerStatus(
                runner="a", report=report, age_s=0.0
            )
        session.sweep_after(0.0)

    assert await session.run(until_paused=drain) == ("answered", [])
    expected = [("a", 0), ("b", 21)] if migrates else [("a", 0)]
    assert session.engines.requests == expected
    assert session.relay.metrics.counts["prompts.moved_streams"] == int(migrates)


async def test_deadline_cancels_the_task():
    session = StreamSession(PausingEngines(stalled={"a"}), deadline_s=30.0)
    with pytest.raises(asyncio.CancelledError):
        await session.run(until_paused=lambda: session.sweep_after(30.1))
    assert session.stream.interruption is Interruption.DEADLINE
    assert not session.dispatcher.open_dispatches
    assert "deadline" in session.stream.interruption_failure().reason


async def test_interruption_takes_effect_if_a_wait_swallows_the_cancellation():
    session = StreamSession(PausingEngines(pause_at=0))
    place = session.dispatcher.place

    async def place_and_swallow_cancellation(profile, *, failed_runners=(), **_):
        placed = await place(profile, failed_runners=failed_runners)
        session.stream.interrupt(Interruption.DEADLINE)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)
        return placed

    session.dispatcher.place = place_and_swallow_cancellation
    with pytest.raises(asyncio.CancelledError):
        await session.run(until_paused=lambda: None)
    assert not session.dispatcher.open_dispatches
    assert session.engines.requests == []


@pytest.mark.parametrize(
    ("blocked_on", "lines", "prompt_tokens", "timeout_s", "interruption"),
    [
        (BlockedOn.RUNNER, 1, 0, 5.0, Interruption.SILENT_RUNNER),
        (BlockedOn.RUNNER, 0, 0, 10.0, Interruption.SILENT_RUNNER),
        (BlockedOn.RUNNER, 0, 20_000, 20.0, Interruption.SILENT_RUNNER),
        (BlockedOn.CALLER, 1, 0, 10.0, Interruption.SLOW_CALLER),
        (BlockedOn.PLACEMENT, 0, 0, 60.0, Interruption.DEADLINE),
    ],
)
def test_timeouts(blocked_on, lines, prompt_tokens, timeout_s, interruption):
    session = StreamSession(
        PausingEngines(), prompt_tokens=prompt_tokens, deadline_s=60.0
    )
    stream = session.stream
    session.monitor.add(stream)
    stream.start_attempt("a")
    stream.record_progress(blocked_on)
    stream.lines_from_runner = lines
    session.sweep_after(timeout_s - 0.1)
    assert stream.interruption is None
    session.sweep_after(0.2)
    assert stream.interruption is interruption


def test_heartbeats_are_due_while_nothing_is_sent_to_the_caller():
    session = StreamSession(PausingEngines())
    stream = session.stream
    session.monitor.add(stream)
    due = [len(session.monitor.sweep(now_s)) for now_s in (0.0, 1.9, 2.0, 2.1, 4.0)]
    assert due == [0, 0, 1, 0, 1]
    stream.record_progress(BlockedOn.CALLER)
    assert session.monitor.sweep(9.0) == []


@pytest.mark.parametrize(
    ("context_tokens", "kv_bytes_per_token", "bandwidth_bytes_per_s", "expected"),
    [
        (10_000, 100_000, 1.25e9, KvCacheMethod.IMPORT),
        (10_000, 100_000, 1.25e7, KvCacheMethod.PREFILL),
        (10, 100_000, 1.25e9, KvCacheMethod.PREFILL),
        (10_000, 100_000, 0.0, KvCacheMethod.PREFILL),
        (10_000, 0, 1.25e9, KvCacheMethod.PREFILL),
    ],
)
def test_kv_cache_is_imported_if_that_is_faster_than_a_prefill(
    context_tokens, kv_bytes_per_token, bandwidth_bytes_per_s, expected
):
    costs = MigrationCosts(
        context_tokens=context_tokens,
        kv_bytes_per_token=kv_bytes_per_token,
        prefill_tokens_per_s=5000.0,
        bandwidth_bytes_per_s=bandwidth_bytes_per_s,
        one_way_delay_s=0.001,
    )
    assert choose_kv_cache_method(costs) is expected
