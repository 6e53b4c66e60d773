"""Watches the times of a stream's events, for estimates, metrics and request logs."""

import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from prometheus_client import CollectorRegistry, Counter

from lacewinglug.host.backlog import PRIORITY_LEVELS
from lacewinglug.host.engines import EngineWork, TrackedEngine
from lacewinglug.host.model import Stage
from lacewinglug.host.speeds import PrefillWork
from lacewinglug.interference.pace import MIN_STEP_GAP_S

_TYPICAL_CHUNK = PrefillWork(tokens=1_000.0, token_pairs=5e6)
"""A thousand tokens of a prompt of ten thousand, to estimate the time of a token."""


class LateCause(Enum):
    """What made a stream late."""

    FIRST_EVENT = "first_event"
    GAP = "gap"
    END = "end"


@dataclass(kw_only=True, slots=True)
class StreamTimes:
    """Times of the events of one request, whichever engines they came from.

    :param started_s: monotonic time at which the request arrived.
    :param target_s: target of the first event, from then on.
    :param target_gap_s: target of the gaps between events, None for none.
    :param timeout_s: time limit of the whole response.
    :param first_event_s: monotonic time of the first event, None before it.
    :param gap_count: number of gaps.
    :param long_gap_count: number of gaps over their target.
    :param longest_gap_s: longest gap.
    :param longest_gap_end_s: monotonic time at which it ended.
    :param longest_gap_runner: engine that sent the event after it.
    """

    started_s: float
    target_s: float
    target_gap_s: float | None
    timeout_s: float
    first_event_s: float | None = None
    gap_count: int = 0
    long_gap_count: int = 0
    longest_gap_s: float = 0.0
    longest_gap_end_s: float = 0.0
    longest_gap_runner: str = ""
    _last_event_s: float = 0.0

    def record_events(self, count: int, *, runner: str, now_s: float) -> None:
        """Record events that arrived together."""
        if self.first_event_s is None:
            self.first_event_s = now_s
            self.gap_count += count - 1
        else:
            self.gap_count += count
            gap_s = now_s - self._last_event_s
            if self.target_gap_s is not None and gap_s > self.target_gap_s:
                self.long_gap_count += 1
            if gap_s > self.longest_gap_s:
                self.longest_gap_s = gap_s
                self.longest_gap_end_s = now_s
                self.longest_gap_runner = runner
        self._last_event_s = now_s

    def late_causes(self, *, complete: bool, now_s: float) -> list[LateCause]:
        """Return what made the stream late, in the order of its events.

        :param complete: whether it was relayed to its end.
        :param now_s: monotonic time at which it ended.
        """
        causes = []
        first_event_s = now_s if self.first_event_s is None else self.first_event_s
        if first_event_s - self.started_s > self.target_s:
            causes.append(LateCause.FIRST_EVENT)
        if self.long_gap_count:
            causes.append(LateCause.GAP)
        began = self.first_event_s is not None
        if began and (not complete or now_s - self.started_s > self.timeout_s):
            causes.append(LateCause.END)
        return causes

    def describe(self, *, complete: bool, now_s: float) -> dict[str, object]:
        """Return the fields of the log line of the request; parameters as above."""
        fields: dict[str, object] = {
            "late_by": [
                cause.value
                for cause in self.late_causes(complete=complete, now_s=now_s)
            ],
            "target_ms": round(self.target_s * 1000),
            "timeout_ms": round(self.timeout_s * 1000),
            "gaps": self.gap_count,
        }
        if self.first_event_s is not None:
            fields["first_event_ms"] = _ms(self.first_event_s - self.started_s)
        if self.target_gap_s is not None:
            fields["target_gap_ms"] = _ms(self.target_gap_s)
        if self.longest_gap_s > 0.0:
            fields |= {
                "longest_gap_ms": _ms(self.longest_gap_s),
                "longest_gap_end_ms": _ms(self.longest_gap_end_s - self.started_s),
                "longest_gap_runner": self.longest_gap_runner,
            }
        return fields


@dataclass(kw_only=True, slots=True)
class EngineWatch:
    """Learns from the events that one engine sends for one request.

    :param engine: the engine.
    :param times: times of the request.
    :param route: name of its route.
    :param stride: decode steps in an event.
    :param announce: sends a message about an engine to the other hosts.
    """

    engine: TrackedEngine
    times: StreamTimes
    route: str
    stride: int
    announce: Callable[[EngineWork], None]
    _last_event_s: float | None = None
    _was_idle: bool = False
    _step_gaps_s: list[float] = field(default_factory=list)

    def record_events(self, count: int, *, now_s: float) -> None:
        """Record events that arrived together.

        Only a gap that ends with a single event tells of the engine; several together
        were held back by the network or this host.
        """
        engine = self.engine
        self.times.record_events(count, runner=engine.entry.instance, now_s=now_s)
        is_idle = engine.backlog.idle(now_s=now_s)
        last_s, self._last_event_s = self._last_event_s, now_s
        was_idle, self._was_idle = self._was_idle, is_idle
        if last_s is None or count != 1 or engine.entry.stage is not Stage.DECODE:
            return
        if was_idle and is_idle:
            self._record_steps(now_s - last_s, now_s=now_s)
        elif not (was_idle or is_idle):
            engine.speeds.rhythm.record_chunks(
                now_s - last_s,
                stride=self.stride,
                slowdown=engine.steps_slowdown(now_s),
                token_s=engine.prefill_s(_TYPICAL_CHUNK, now_s=now_s)
                / _TYPICAL_CHUNK.tokens,
            )

    def _record_steps(self, gap_s: float, *, now_s: float) -> None:
        """Record a gap in which the engine prefilled nothing."""
        engine, rhythm = self.engine, self.engine.speeds.rhythm
        expected_s = self.stride * rhythm.step_s
        rhythm.record_step(
            gap_s, stride=self.stride, slowdown=engine.steps_slowdown(now_s)
        )
        if expected_s < MIN_STEP_GAP_S:
            return
        slowdown = gap_s / expected_s
        if engine.record_step_pace(slowdown, now_s=now_s):
            self.announce(make_pace_notice(engine, step_slowdown=slowdown))
        self._step_gaps_s.append(gap_s)

    def record_end(self, *, now_s: float) -> None:
        """Record that the stream was relayed to its end."""
        times = self.times
        if self._step_gaps_s:
            # One sample for each stream: the usual speed of an engine is to outlast the
            # seconds for which a neighbour slows it.
            engine = self.engine
            engine.step_slowdown.add_sample(
                expected_s=self.stride * engine.speeds.rhythm.step_s,
                actual_s=statistics.median(self._step_gaps_s),
            )
        if times.first_event_s is not None:
            self.engine.speeds.rhythm.record_stream(
                self.route, gaps=times.gap_count, lasted_s=now_s - times.first_event_s
            )


@dataclass(kw_only=True)
class StreamMetrics:
    """Prometheus metrics of the times of streams.

    :param registry: registry of the host.
    """

    registry: CollectorRegistry
    _gaps: Counter = field(init=False)
    _late: Counter = field(init=False)

    def __post_init__(self) -> None:
        self._gaps = Counter(
            "lacewinglug_stream_gaps",
            "Gaps between events of streams, by route and whether over the target gap",
            ["route", "result"],
            registry=self.registry,
        )
        self._late = Counter(
            "lacewinglug_late_streams",
            "Streams that missed a target, by route and cause",
            ["route", "cause"],
            registry=self.registry,
        )

    def record(
        self, times: StreamTimes, *, route: str, complete: bool, now_s: float
    ) -> None:
        """Record a stream that has ended.

        :param complete: whether it was relayed to its end.
        """
        within = times.gap_count - times.long_gap_count
        if times.target_gap_s is not None and within:
            self._gaps.labels(route, "within").inc(within)
        if times.long_gap_count:
            self._gaps.labels(route, "over").inc(times.long_gap_count)
        for cause in times.late_causes(complete=complete, now_s=now_s):
            self._late.labels(route, cause.value).inc()


def make_pace_notice(engine: TrackedEngine, *, step_slowdown: float) -> EngineWork:
    """Return the message that an engine is slower than known, or no longer is.

    :param step_slowdown: time of its decode steps relative to the service.
    """
    return EngineWork(
        instance=engine.entry.instance,
        priority=PRIORITY_LEVELS - 1,
        work_s=0.0,
        parts=(),
        step_slowdown=step_slowdown,
    )


def _ms(duration_s: float) -> int:
    return round(duration_s * 1000)
