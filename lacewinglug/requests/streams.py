"""Timeouts of open streams: deadlines, stalled runners, slow callers, migrations.

Each stream counts its progress, and one task checks all streams every
``SWEEP_INTERVAL_S`` and interrupts the stalled ones. A token therefore needs neither
a timer nor a clock read.
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
MIN_PREFILL_TOKENS_PER_S = 2000.0
MIGRATION_RETRY_S = 1.0
_RETRY_REMEDY = "send the prompt again"


class BlockedOn(Enum):
    """What a stream is waiting for."""

    PLACEMENT = "placement"
    RUNNER = "runner"
    CALLER = "caller"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamTimeouts:
    """Timeouts of a stream.

    :param caller_stall_s: timeout of a write to the caller, in seconds.
    :param first_line_s: timeout of the first line from a runner, in seconds, in
        addition to the longest expected prefill time.
    :param next_line_s: timeout of each further line, in seconds.
    :param heartbeat_interval_s: idle time after which the caller is sent a heartbeat,
        in seconds.
    """

    caller_stall_s: float
    first_line_s: float = FIRST_LINE_TIMEOUT_S
    next_line_s: float = LINE_TIMEOUT_S
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S


class Interruption(Enum):
    """Reason for interrupting a stream."""

    SILENT_RUNNER = "silent_runner"
    WITHDRAWN_RUNNER = "withdrawn_runner"
    SLOW_CALLER = "slow_caller"
    DEADLINE = "deadline"
    SHUTDOWN = "shutdown"
    CALLER_LEFT = "caller_left"


@dataclass(kw_only=True, eq=False)
class OpenStream:
    """State of an answer in progress.

    :param profile: the request.
    :param task: task that relays the answer; an interruption cancels it, so it must
        await only in the relay's own code.
    :param send_heartbeat: sends a heartbeat to the caller.
    :param blocked_on: what the task is waiting for.
    :param runner: name of the current runner, or of the last one.
    :param lines_from_runner: number of lines received from that runner.
    :param progress_count: counter that each step of the task increments.
    :param sent_to_runner: whether a runner may have received the prompt.
    :param migration_requested: whether the stream should migrate to another runner.
    :param interruption: reason for the interruption, None if there is none.
    :param last_progress_count: progress counter at the last sweep.
    :param last_progress_s: time at which a sweep last found progress, in seconds.
    :param next_heartbeat_s: time of the next heartbeat, in seconds.
    :param next_migration_s: earliest time of the next migration request, in seconds.
    """

    profile: RequestProfile
    task: "asyncio.Task[Any] | None"
    send_heartbeat: "Callable[[OpenStream], Awaitable[None]]"
    blocked_on: BlockedOn = BlockedOn.PLACEMENT
    runner: str = ""
    lines_from_runner: int = 0
    progress_count: int = 0
    sent_to_runner: bool = False
    migration_requested: bool = False
    interruption: Interruption | None = None
    last_progress_count: int = -1
    last_progress_s: float = 0.0
    next_heartbeat_s: float = 0.0
    next_migration_s: float = 0.0

    def record_progress(self, blocked_on: BlockedOn) -> None:
        """Record progress of the task, and what it waits for next."""
        self.blocked_on = blocked_on
        self.progress_count += 1

    def start_attempt(self, runner: str) -> None:
        """Record that the prompt is about to be sent to a runner."""
        self.runner = runner
        self.lines_from_runner = 0
        self.migration_requested = False
        self.record_progress(BlockedOn.RUNNER)

    def interrupt(self, interruption: Interruption) -> None:
        """Cancel the task, unless the stream is interrupted already."""
        if self.interruption is None:
            self.interruption = interruption
            if self.task is not None:
                self.task.cancel()

    def consume_cancellation(self, *interruptions: Interruption) -> bool:
        """Uncancel the task if the stream was interrupted for one of these reasons.

        :returns: False if the cancellation has another cause and must propagate.
        """
        if self.interruption not in interruptions:
            return False
        if self.task is not None:
            self.task.uncancel()
        return True

    def clear_interruption(self) -> None:
        """Clear the interruption so that the stream can continue."""
        self.interruption = None

    def interruption_failure(self) -> RequestFailure:
        """Return the failure that the caller of an interrupted stream receives."""
        match self.interruption:
            case Interruption.SLOW_CALLER:
                reason, remedy = (
                    "the caller took too long to read the answer",
                    "read faster, or ask for fewer tokens, and " + _RETRY_REMEDY,
                )
            case Interruption.SHUTDOWN:
                reason, remedy = (
                    "the entry host reached the deadline of its shutdown",
                    _RETRY_REMEDY + " to another entry host",
                )
            case _:
                reason, remedy = (
                    "the answer was not finished by its deadline",
                    _RETRY_REMEDY + " later, or ask for fewer tokens",
                )
        if not self.sent_to_runner:
            return NotRun(reason=reason, remedy=remedy, status=504)
        return FailedWhileRunning(reason=reason, remedy=remedy)


@dataclass(kw_only=True)
class StreamMonitor:
    """Tracks the open streams and enforces their timeouts.

    :param view: state of the fleet, with draining and withdrawn runners.
    :param timeouts: the timeouts.
    :param clock: source of time.
    :param metrics: counters.
    :param streams: the open streams.
    """

    view: EntryView
    timeouts: StreamTimeouts
    clock: Clock
    metrics: Metrics
    streams: set[OpenStream] = field(default_factory=set)

    def add(self, stream: OpenStream) -> None:
        """Start monitoring a stream."""
        now_s = self.clock.now_s()
        stream.last_progress_s = now_s
        stream.next_heartbeat_s = now_s + self.timeouts.heartbeat_interval_s
        self.streams.add(stream)

    def remove(self, stream: OpenStream) -> None:
        """Stop monitoring a stream."""
        self.streams.discard(stream)

    async def run(self) -> None:
        """Sweep periodically, and send the heartbeats that are due, until cancelled."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_S)
            for stream in self.sweep(self.clock.now_s()):
                await stream.send_heartbeat(stream)

    def interrupt_all(self, interruption: Interruption) -> None:
        """Interrupt every stream."""
        for stream in list(self.streams):
            self._interrupt(stream, interruption)

    def sweep(self, now_s: float) -> list[OpenStream]:
        """Enforce the timeouts of all streams and return those due for a heartbeat."""
        running = [item for item in self.streams if item.interruption is None]
        for stream in running:
            self._enforce_timeouts(stream, now_s)
        return [item for item in running if self._needs_heartbeat(item, now_s)]

    def _enforce_timeouts(self, stream: OpenStream, now_s: float) -> None:
        if stream.progress_count != stream.last_progress_count:
            stream.last_progress_count = stream.progress_count
            stream.last_progress_s = now_s
            stream.next_heartbeat_s = now_s + self.timeouts.heartbeat_interval_s
        stalled_s = now_s - stream.last_progress_s
        match stream.blocked_on:
            case _ if now_s > stream.profile.deadline_s:
                self._interrupt(stream, Interruption.DEADLINE)
            case BlockedOn.CALLER if stalled_s > self.timeouts.caller_stall_s:
                self._interrupt(stream, Interruption.SLOW_CALLER)
            case BlockedOn.RUNNER if stalled_s > self._line_timeout_s(stream):
                self._interrupt(stream, Interruption.SILENT_RUNNER)
            case BlockedOn.RUNNER if self._is_withdrawn(stream.runner):
                self._interrupt(stream, Interruption.WITHDRAWN_RUNNER)
            case _ if now_s >= stream.next_migration_s and self._is_draining(
                stream.runner
            ):
                stream.next_migration_s = now_s + MIGRATION_RETRY_S
                stream.migration_requested = True

    def _needs_heartbeat(self, stream: OpenStream, now_s: float) -> bool:
        if stream.interruption is not None or stream.blocked_on is BlockedOn.CALLER:
            return False
        if now_s < stream.next_heartbeat_s:
            return False
        stream.next_heartbeat_s = now_s + self.timeouts.heartbeat_interval_s
        return True

    def _interrupt(self, stream: OpenStream, interruption: Interruption) -> None:
        self.metrics.count(f"prompts.interrupted.{interruption.value}")
        stream.interrupt(interruption)

    def _line_timeout_s(self, stream: OpenStream) -> float:
        if stream.lines_from_runner > 0:
            return self.timeouts.next_line_s
        prefill_s = stream.profile.prompt_tokens / MIN_PREFILL_TOKENS_PER_S
        return self.timeouts.first_line_s + prefill_s

    def _is_withdrawn(self, runner: str) -> bool:
        config = self.view.config
        return config is not None and runner in config.withdrawn

    def _is_draining(self, runner: str) -> bool:
        config = self.view.config
        if runner in self.view.leaving:
            return True
        if config is not None and runner in config.draining:
            return True
        status = self.view.runners.get(runner)
        return status is not None and status.report.state == "draining"
