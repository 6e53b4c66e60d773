"""Prompts to place on engines, and the plans that can serve them."""

import math
from dataclasses import dataclass

from lacewinglug.host.engines import TrackedEngine
from lacewinglug.host.residency import HashedPart
from lacewinglug.host.speeds import PrefillWork
from lacewinglug.interference.gaps import GapModel

FULL_BATCH_COST_S = 0.75
"""Cost of adding a stream to a full batch, in s; the new stream delays each token of
the others."""
FAILURE_COST_S = 1.5
"""Cost of a failed attempt, in s; about the time until an unresponsive engine is
detected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptJob:
    """A prompt to place.

    :param parts: parts that other prompts may share, in order from the beginning.
    :param tokens: length of the prompt.
    :param priority: scheduling priority, 0 is the most urgent.
    :param prefill_s: usual prefill time of what no engine has cached.
    :param request_bytes: size of the request body.
    :param ttft_budget_s: time left until the first token misses its latency target.
    :param longest_target_s: longest latency target of the service's routes.
    :param gaps: what is known of the gaps of streams, None without a target gap.
    """

    parts: tuple[HashedPart, ...]
    tokens: int
    priority: int
    prefill_s: float = 0.0
    request_bytes: int = 0
    ttft_budget_s: float = math.inf
    longest_target_s: float = 1.0
    gaps: GapModel | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """Load and reliability of an engine.

    :param streams: streams of all hosts that the engine runs.
    :param slots: its maximum batch size.
    :param failure_rate: estimated share of its requests that fail.
    :param slowdown: time of its decode steps, relative to its service.
    :param pacing_cost_s: cost of one more request while it starts or recovers, in s.
    :param expected_streams: streams to expect there, since what other hosts told of
        theirs is old; None for the known ones.
    """

    streams: int = 0
    slots: int = 1
    failure_rate: float = 0.0
    slowdown: float = 1.0
    pacing_cost_s: float = 0.0
    expected_streams: float | None = None

    @property
    def batch_fill(self) -> float:
        """Streams relative to the maximum batch size."""
        return self.streams / self.slots

    @property
    def cost_s(self) -> float:
        """Cost of one more stream on the engine, in s.

        The streams of engines of different speeds become proportional to the speeds; of
        two empty engines the faster one is preferred.
        """
        fill = self.batch_fill * self.slowdown + (self.slowdown - 1.0) / self.slots
        cost_s = FULL_BATCH_COST_S * fill + FAILURE_COST_S * self.failure_rate
        return cost_s + self.pacing_cost_s


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedPrefill:
    """Prefill of a prompt on one engine.

    :param engine: the engine.
    :param fetch_from: engine from which it fetches cached parts first, None for none.
    :param work: work of the prompt.
    :param work_ahead: work of the prompts that are queued before it.
    :param compute_s: expected compute time.
    :param overhead_s: expected time of the network and of the fetch.
    :param latency_s: expected time until the engine responds.
    """

    engine: TrackedEngine
    fetch_from: TrackedEngine | None
    work: PrefillWork
    work_ahead: PrefillWork
    compute_s: float
    overhead_s: float
    latency_s: float

    def record_time(self, *, took_s: float, now_s: float) -> None:
        """Update the speeds of the engine from the time until it responded."""
        self.engine.record_prefill(
            self.work_ahead.plus(self.work),
            took_s=took_s,
            overhead_s=self.overhead_s,
            now_s=now_s,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class ColocatedPlan:
    """One engine runs both prefill and decode.

    :param decode_engine: the engine.
    :param prefill: the prefill on that engine.
    :param cost_s: expected time plus the costs to other requests.
    """

    decode_engine: TrackedEngine
    prefill: PlannedPrefill
    cost_s: float

    @property
    def expected_ttft_s(self) -> float:
        """Expected time to the first token."""
        return self.prefill.latency_s


@dataclass(frozen=True, kw_only=True, slots=True)
class DisaggregatedPlan:
    """One engine runs prefill; another fetches the KV cache and runs decode.

    :param prefill: the prefill on the engine that runs it.
    :param decode_engine: engine that runs decode.
    :param decode_latency_s: expected time from the request to the decode engine to the
        first token.
    :param transfer_s: expected time of the KV cache transfer, a part of that.
    :param cost_s: expected time plus the costs to other requests.
    """

    prefill: PlannedPrefill
    decode_engine: TrackedEngine
    decode_latency_s: float
    transfer_s: float
    cost_s: float

    @property
    def expected_ttft_s(self) -> float:
        """Expected time to the first token."""
        return self.prefill.latency_s + self.decode_latency_s


PromptPlan = ColocatedPlan | DisaggregatedPlan


def record_transfer_time(plan: DisaggregatedPlan, *, elapsed_s: float) -> None:
    """Update the estimates of a transfer from a measured time to the first token.

    One transfer does not tell which of the two links is slow; transfers with other
    engines correct the estimate of the fast one.

    :param elapsed_s: time from the request to the decode engine to the first token.
    """
    engines = (plan.prefill.engine, plan.decode_engine)
    slowdown = max(engine.link_slowdown.factor for engine in engines)
    excess_s = elapsed_s - plan.decode_latency_s
    for engine in engines:
        engine.link_slowdown.add_sample(
            nominal_s=plan.transfer_s / slowdown, actual_s=plan.transfer_s + excess_s
        )
    speeds = plan.decode_engine.speeds
    slowdown = plan.decode_engine.step_slowdown.factor
    speeds.record_decode_start(speeds.decode_start_s + excess_s / slowdown)
