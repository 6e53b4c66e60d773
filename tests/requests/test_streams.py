"""Tests of the bounds on open streams."""

import asyncio
import contextlib
import random
from dataclasses import dataclass, field

import pytest

from lacewinglug.config.objects import AvailabilityZone, Fleet, Runner, Service
from lacewinglug.control import ConfigView, RunnerStatus
from lacewinglug.metrics import Metrics
from lacewinglug.requests.moves import Carry, MoveCosts, choose_carry
from lacewinglug.requests.streams import (
    Interruption,
    StreamBounds,
    StreamWatch,
    WaitsFor,
)
from lacewinglug.upstream.messages import EndLine, KvImportReply, LoadReport
from tests.requests.fakes import (
    FakeClock,
    FakeDispatcher,
    _token,
    collect_lines,
    make_body,
    make_relay,
    make_stream,
)
from tests.streams import judge_answer

BOUNDS = StreamBounds(caller_s=10.0)
TOKENS = 200


@dataclass
class PausingEngines:
    """Engines that stop in the middle; those named in ``silent`` for good."""

    silent: set = field(default_factory=set)
    requests: list = field(default_factory=list)
    imports: list = field(default_factory=list)
    pause_at: int = 20

    async def generate(self, url, message):
        self.requests.append((url, message.resume_from))
        for index in range(message.resume_from, message.max_tokens):
            if index == self.pause_at:
                if url in self.silent:
                    await asyncio.Event().wait()
                await asyncio.sleep(0.02)
            yield [_token(message, index)]
        yield [EndLine(request_id=message.request_id, tokens=message.max_tokens)]

    async def import_kv(self, url, message, *, timeout_s):
        self.imports.append(url)
        return KvImportReply(tokens=0)


@dataclass
class Session:
    """One stream, its engines and its watch."""

    engines: PausingEngines
    names: list = field(default_factory=lambda: ["a", "b"])
    max_tokens: int = TOKENS
    deadline_s: float = 1e9
    prompt_tokens: int = 10

    def __post_init__(self):
        self.clock = FakeClock()
        self.dispatcher = FakeDispatcher(self.names, random.Random(1))
        self.dispatcher.random.choice = min
        self.relay = make_relay(self.engines, self.dispatcher, self.clock)
        self.watch = StreamWatch(
            view=self.relay.view, bounds=BOUNDS, clock=self.clock, metrics=Metrics()
        )
        self.stream = make_stream(
            deadline_s=self.deadline_s, prompt_tokens=self.prompt_tokens
        )

    async def run(self, *, until_paused):
        """Relay the answer; call a function while the first engine pauses."""
        body = make_body(0, self.max_tokens)
        collecting = collect_lines(self.relay, self.stream, body)
        self.stream.task = asyncio.create_task(collecting)
        self.watch.open(self.stream)
        while self.stream.runner_lines < self.engines.pause_at:
            await asyncio.sleep(0)
        until_paused()
        lines = await self.stream.task
        assert not self.dispatcher.open_dispatches
        return judge_answer(body.prompt, self.max_tokens, lines)

    def sweep_after(self, delay_s):
        """Note the steps so far, then sweep when time has passed."""
        self.watch.sweep(self.clock.now)
        self.clock.now += delay_s
        self.watch.sweep(self.clock.now)

    def set_config(self, *, draining=(), withdrawn=()):
        fleet = Fleet(
            availability_zones={
                "z": AvailabilityZone(region="r", one_way_delay_s=0.001)
            },
            services={"assistant": Service(kind="model")},
            runners={
                name: Runner(service="assistant", availability_zone="z", url=name)
                for name in self.names
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


async def test_silent_engine_is_found_and_the_rest_asked_of_another():
    session = Session(PausingEngines(silent={"a"}))
    result = await session.run(until_paused=lambda: session.sweep_after(5.1))
    assert result == ("answered", [])
    assert session.engines.requests == [("a", 0), ("b", 20)]


async def test_engine_within_the_bound_is_left_alone():
    session = Session(PausingEngines())
    result = await session.run(until_paused=lambda: session.sweep_after(4.9))
    assert result == ("answered", [])
    assert session.engines.requests == [("a", 0)]


async def test_all_engines_silent_ends_in_a_typed_failure():
    session = Session(PausingEngines(silent={"a", "b"}))

    async def sweep():
        while True:
            await asyncio.sleep(0.001)
            session.sweep_after(5.1)

    sweeper = asyncio.create_task(sweep())
    result = await session.run(until_paused=lambda: None)
    sweeper.cancel()
    assert result == ("failed_while_running", [])


async def test_withdrawn_engine_is_left_at_once():
    session = Session(PausingEngines(silent={"a"}))

    def withdraw():
        session.set_config(withdrawn=["a"])
        session.sweep_after(0.0)

    assert await session.run(until_paused=withdraw) == ("answered", [])
    assert session.engines.requests == [("a", 0), ("b", 20)]


@pytest.mark.parametrize("told_by", ["operator", "report"])
@pytest.mark.parametrize(
    ("max_tokens", "names", "moves"),
    [(TOKENS, ["a", "b"], True), (60, ["a", "b"], False), (TOKENS, ["a"], False)],
)
async def test_long_streams_leave_a_draining_engine(told_by, max_tokens, names, moves):
    session = Session(PausingEngines(), names=names, max_tokens=max_tokens)
    session.set_config()

    def drain():
        if told_by == "operator":
            session.set_config(draining=["a"])
        else:
            report = LoadReport(state="draining")
            session.relay.view.runners["a"] = RunnerStatus(
                runner="a", report=report, age_s=0.0
            )
        session.sweep_after(0.0)

    assert await session.run(until_paused=drain) == ("answered", [])
    expected = [("a", 0), ("b", 21)] if moves else [("a", 0)]
    assert session.engines.requests == expected
    assert session.relay.metrics.counts["prompts.moved_streams"] == int(moves)


async def test_deadline_and_departure_interrupt_the_task():
    session = Session(PausingEngines(silent={"a"}), deadline_s=30.0)
    with pytest.raises(asyncio.CancelledError):
        await session.run(until_paused=lambda: session.sweep_after(30.1))
    assert session.stream.interruption is Interruption.DEADLINE
    assert not session.dispatcher.open_dispatches
    assert "deadline" in session.stream.failure().reason


async def test_interruption_survives_a_wait_that_swallows_the_cancellation():
    session = Session(PausingEngines(pause_at=0))
    place = session.dispatcher.place

    async def swallow(profile, *, failed_runners=(), **_):
        placed = await place(profile, failed_runners=failed_runners)
        session.stream.interrupt(Interruption.DEADLINE)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)
        return placed

    session.dispatcher.place = swallow
    with pytest.raises(asyncio.CancelledError):
        await session.run(until_paused=lambda: None)
    assert not session.dispatcher.open_dispatches
    assert session.engines.requests == []


@pytest.mark.parametrize(
    ("waits_for", "lines", "prompt_tokens", "bound_s", "interruption"),
    [
        (WaitsFor.RUNNER, 1, 0, 5.0, Interruption.SILENT_RUNNER),
        (WaitsFor.RUNNER, 0, 0, 10.0, Interruption.SILENT_RUNNER),
        (WaitsFor.RUNNER, 0, 20_000, 20.0, Interruption.SILENT_RUNNER),
        (WaitsFor.CALLER, 1, 0, 10.0, Interruption.SLOW_CALLER),
        (WaitsFor.PLACEMENT, 0, 0, 60.0, Interruption.DEADLINE),
    ],
)
def test_bounds(waits_for, lines, prompt_tokens, bound_s, interruption):
    session = Session(PausingEngines(), prompt_tokens=prompt_tokens, deadline_s=60.0)
    stream = session.stream
    session.watch.open(stream)
    stream.start_attempt("a")
    stream.advance(waits_for)
    stream.runner_lines = lines
    session.sweep_after(bound_s - 0.1)
    assert stream.interruption is None
    session.sweep_after(0.2)
    assert stream.interruption is interruption


def test_heartbeats_are_due_while_no_byte_goes_to_the_caller():
    session = Session(PausingEngines())
    stream = session.stream
    session.watch.open(stream)
    due = [len(session.watch.sweep(now_s)) for now_s in (0.0, 1.9, 2.0, 2.1, 4.0)]
    assert due == [0, 0, 1, 0, 1]
    stream.advance(WaitsFor.CALLER)
    assert session.watch.sweep(9.0) == []


@pytest.mark.parametrize(
    ("tokens", "kv_bytes_per_token", "bytes_per_s", "carry"),
    [
        (10_000, 100_000, 1.25e9, Carry.IMPORT),
        (10_000, 100_000, 1.25e7, Carry.PREFILL),
        (10, 100_000, 1.25e9, Carry.PREFILL),
        (10_000, 100_000, 0.0, Carry.PREFILL),
        (10_000, 0, 1.25e9, Carry.PREFILL),
    ],
)
def test_kv_cache_is_imported_where_that_is_cheaper(
    tokens, kv_bytes_per_token, bytes_per_s, carry
):
    costs = MoveCosts(
        tokens=tokens,
        kv_bytes_per_token=kv_bytes_per_token,
        prefill_tokens_per_s=5000.0,
        bytes_per_s=bytes_per_s,
        delay_s=0.001,
    )
    assert choose_carry(costs) is carry
