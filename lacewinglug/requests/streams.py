"""Bounds on open streams: deadline, silence, slow callers and planned moves.

A stream counts its steps; a single task looks at all streams a few times a
second and interrupts those that stand still. So a token costs no timer and no
reading of the clock.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from lacewinglug.clock import Clock
from lacewinglug.entry.view import EntryView
from lacewinglug.metrics import Metrics
from lacewinglug.requests.outcomes import FailedWhileRunning, NotRun, RequestFailure
from lacewinglug.routing.profile import RequestProfile

SWEEP_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_S = 2.0
FIRST_LINE_TIMEOUT_S = 10.0
LINE_TIMEOUT_S = 5.0
SLOWEST_PREFILL_TOKENS_PER_S = 2000.0
MOVE_RETRY_S = 1.0
_AGAIN = "send the prompt again"


class WaitsFor(Enum):
    """Whom a stream waits for."""

    PLACEMENT = "placement"
    RUNNER = "runner"
    CALLER = "caller"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamBounds:
    """How long a stream may stand still.

    :param first_line_s: wait for the first line of a runner, in seconds,
        beside the time that its prefill may take.
    :param line_s: wait for each further line, in seconds.
    :param caller_s: wait for the caller to take what was sent, in seconds.
    :param heartbeat_s: time without a byte until the caller gets a heartbeat.
    """

    caller_s: float
    first_line_s: float = FIRST_LINE_TIMEOUT_S
    line_s: float = LINE_TIMEOUT_S
    heartbeat_s: float = HEARTBEAT_INTERVAL_S


class Interruption(Enum):
    """Why a stream was interrupted."""

    SILENT_RUNNER = "silent_runner"
    WITHDRAWN_RUNNER = "withdrawn_runner"
    SLOW_CALLER = "slow_caller"
    DEADLINE = "deadline"
    SHUTDOWN = "shutdown"
    CALLER_LEFT = "caller_left"


@dataclass(kw_only=True, eq=False)
class OpenStream:
    """One answer in progress.

    :param profile: the request.
    :param task: task that relays the answer; awaits only in its own code.
    :param send_heartbeat: sends a heartbeat to the caller.
    """

    profile: RequestProfile
    task: "asyncio.Task[Any] | None"
    send_heartbeat: "Callable[[OpenStream], Awaitable[None]]"
    waits_for: WaitsFor = WaitsFor.PLACEMENT
    runner: str = ""
    runner_lines: int = 0
    steps: int = 0
    sent: bool = False
    move_wanted: bool = False
    interruption: Interruption | None = None
    seen_steps: int = -1
    seen_s: float = 0.0
    heartbeat_due_s: float = 0.0
    move_due_s: float = 0.0

    def advance(self, waits_for: WaitsFor) -> None:
        """Note a step forward."""
        self.waits_for = waits_for
        self.steps += 1

    def start_attempt(self, runner: str) -> None:
        """Note that a runner is about to be sent the prompt."""
        self.runner = runner
        self.runner_lines = 0
        self.move_wanted = False
        self.advance(WaitsFor.RUNNER)

    def interrupt(self, interruption: Interruption) -> None:
        """Interrupt the task at the place where it waits."""
        if self.interruption is None:
            self.interruption = interruption
            if self.task is not None:
                self.task.cancel()

    def absorb(self, *interruptions: Interruption) -> bool:
        """Return whether a cancellation was one of these, and take it back."""
        if self.interruption not in interruptions:
            return False
        if self.task is not None:
            self.task.uncancel()
        return True

    def resume(self) -> None:
        """Go on after an interruption."""
        self.interruption = None

    def failure(self) -> RequestFailure:
        """Return what to tell the caller of an interrupted stream."""
        match self.interruption:
            case Interruption.SLOW_CALLER:
                reason, remedy = (
                    "the caller took too long to read the answer",
                    "read faster, or ask for fewer tokens, and " + _AGAIN,
                )
            case Interruption.SHUTDOWN:
                reason, remedy = (
                    "the entry host reached the deadline of its shutdown",
                    _AGAIN + " to another entry host",
                )
            case _:
                reason, remedy = (
                    "the answer was not finished by its deadline",
                    _AGAIN + " later, or ask for fewer tokens",
                )
        if not self.sent:
            return NotRun(reason=reason, remedy=remedy, status=504)
        return FailedWhileRunning(reason=reason, remedy=remedy)


@dataclass(kw_only=True)
class StreamWatch:
    """Owns the list of open streams and enforces their bounds.

    :param view: tells which runners leave.
    :param bounds: the bounds.
    :param clock: source of time.
    :param metrics: counters.
    """

    view: EntryView
    bounds: StreamBounds
    clock: Clock
    metrics: Metrics
    streams: set[OpenStream] = field(default_factory=set)

    def open(self, stream: OpenStream) -> None:
        """Watch a stream."""
        now_s = self.clock.now_s()
        stream.seen_s = now_s
        stream.heartbeat_due_s = now_s + self.bounds.heartbeat_s
        self.streams.add(stream)

    def close(self, stream: OpenStream) -> None:
        """Stop watching a stream."""
        self.streams.discard(stream)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_S)
            for stream in self.sweep(self.clock.now_s()):
                await stream.send_heartbeat(stream)

    def end_all(self, interruption: Interruption) -> None:
        """Interrupt every stream."""
        for stream in list(self.streams):
            self._interrupt(stream, interruption)

    def sweep(self, now_s: float) -> list[OpenStream]:
        """Look at every stream once and return those that need a heartbeat."""
        running = [item for item in self.streams if item.interruption is None]
        for stream in running:
            self._enforce_bounds(stream, now_s)
        return [item for item in running if self._needs_heartbeat(item, now_s)]

    def _enforce_bounds(self, stream: OpenStream, now_s: float) -> None:
        if stream.steps != stream.seen_steps:
            stream.seen_steps = stream.steps
            stream.seen_s = now_s
            stream.heartbeat_due_s = now_s + self.bounds.heartbeat_s
        still_s = now_s - stream.seen_s
        match stream.waits_for:
            case _ if now_s > stream.profile.deadline_s:
                self._interrupt(stream, Interruption.DEADLINE)
            case WaitsFor.CALLER if still_s > self.bounds.caller_s:
                self._interrupt(stream, Interruption.SLOW_CALLER)
            case WaitsFor.RUNNER if still_s > self._line_timeout_s(stream):
                self._interrupt(stream, Interruption.SILENT_RUNNER)
            case WaitsFor.RUNNER if self._is_withdrawn(stream.runner):
                self._interrupt(stream, Interruption.WITHDRAWN_RUNNER)
            case _ if now_s >= stream.move_due_s and self._is_leaving(stream.runner):
                stream.move_due_s = now_s + MOVE_RETRY_S
                stream.move_wanted = True

    def _needs_heartbeat(self, stream: OpenStream, now_s: float) -> bool:
        if stream.interruption is not None or stream.waits_for is WaitsFor.CALLER:
            return False
        if now_s < stream.heartbeat_due_s:
            return False
        stream.heartbeat_due_s = now_s + self.bounds.heartbeat_s
        return True

    def _interrupt(self, stream: OpenStream, interruption: Interruption) -> None:
        self.metrics.count(f"prompts.interrupted.{interruption.value}")
        stream.interrupt(interruption)

    def _line_timeout_s(self, stream: OpenStream) -> float:
        if stream.runner_lines > 0:
            return self.bounds.line_s
        prefill_s = stream.profile.prompt_tokens / SLOWEST_PREFILL_TOKENS_PER_S
        return self.bounds.first_line_s + prefill_s

    def _is_withdrawn(self, runner: str) -> bool:
        config = self.view.config
        return config is not None and runner in config.withdrawn

    def _is_leaving(self, runner: str) -> bool:
        config = self.view.config
        if runner in self.view.leaving:
            return True
        if config is not None and runner in config.draining:
            return True
        status = self.view.runners.get(runner)
        return status is not None and status.report.state == "draining"
