"""Prompts to place on engines, and the plans that can serve them."""

import math
from dataclasses import dataclass

from lacewinglug.host.engines import TrackedEngine
from lacewinglug.host.residency import HashedPart

STREAM_COST_S = 0.006
"""Cost of adding a stream, for each stream that the engine already runs, in s: the
new one delays some sixty tokens of each by a tenth of a millisecond."""
FAILURE_COST_S = 1.5
"""Cost of a failed attempt, in s; about the time until an unresponsive engine is
detected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptJob:
    """A prompt to place.

    :param parts: parts that other prompts may share, in order from the beginning.
    :param tokens: length of the prompt.
    :param priority: scheduling priority, 0 is the most urgent.
    :param request_bytes: size of the request body.
    :param ttft_budget_s: time left until the first token misses its latency target.
    """

    parts: tuple[HashedPart, ...]
    tokens: int
    priority: int
    request_bytes: int = 0
    ttft_budget_s: float = math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """Load and reliability of an engine.

    :param streams: streams of all hosts that the engine runs.
    :param failure_rate: estimated share of its requests that fail.
    """

    streams: int = 0
    failure_rate: float = 0.0

    @property
    def cost_s(self) -> float:
        """Cost of one more stream on the engine, in s."""
        return STREAM_COST_S * self.streams + FAILURE_COST_S * self.failure_rate


@dataclass(frozen=True, kw_only=True, slots=True)
class ColocatedPlan:
    """One engine runs both prefill and decode.

    :param decode_engine: the engine.
    :param fetch_from: engine from which it fetches cached parts first, None for none.
    :param expected_ttft_s: expected time to the first token.
    :param idle: whether the engine is expected to have no other prefill queued.
    :param prefill_compute_s: expected compute time of the prefill.
    :param new_tokens: tokens to prefill, without the cached ones.
    :param cost_s: expected time plus the costs to other requests.
    """

    decode_engine: TrackedEngine
    fetch_from: TrackedEngine | None
    expected_ttft_s: float
    idle: bool
    prefill_compute_s: float
    new_tokens: int
    cost_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DisaggregatedPlan:
    """One engine runs prefill; another fetches the KV cache and runs decode.

    :param prefill_engine: engine that runs prefill.
    :param decode_engine: engine that runs decode.
    :param fetch_from: engine from which the prefill engine fetches cached parts
        first, None for none.
    :param prefill_latency_s: expected time until the prefill engine responds.
    :param decode_latency_s: expected time from the request to the decode engine to the
        first token.
    :param transfer_s: expected time of the KV cache transfer, a part of that.
    :param idle: whether the prefill engine is expected to have no other prefill
        queued.
    :param prefill_compute_s: expected compute time of the prefill.
    :param new_tokens: tokens to prefill, without the cached ones.
    :param cost_s: expected time plus the costs to other requests.
    """

    prefill_engine: TrackedEngine
    decode_engine: TrackedEngine
    fetch_from: TrackedEngine | None
    prefill_latency_s: float
    decode_latency_s: float
    transfer_s: float
    idle: bool
    prefill_compute_s: float
    new_tokens: int
    cost_s: float

    @property
    def expected_ttft_s(self) -> float:
        """Expected time to the first token."""
        return self.prefill_latency_s + self.decode_latency_s


PromptPlan = ColocatedPlan | DisaggregatedPlan


def record_prefill_time(plan: PromptPlan, *, elapsed_s: float) -> None:
    """Update the pace of the engine that ran prefill from a measured time.

    Prefills that were queued behind others are ignored: their time says little about
    the engine.

    :param elapsed_s: time to the first token, or to the prefill engine's response.
    """
    if not plan.idle:
        return
    match plan:
        case ColocatedPlan():
            engine, expected_s = plan.decode_engine, plan.expected_ttft_s
        case DisaggregatedPlan():
            engine, expected_s = plan.prefill_engine, plan.prefill_latency_s
    computed_s = plan.prefill_compute_s / engine.prefill_slowdown.factor
    engine.prefill_slowdown.add_sample(
        nominal_s=computed_s,
        actual_s=elapsed_s - (expected_s - plan.prefill_compute_s),
    )


def record_transfer_time(plan: DisaggregatedPlan, *, elapsed_s: float) -> None:
    """Update the link pace of both engines from a measured time to the first token.

    One transfer does not tell which of the two links is slow; transfers with other
    engines correct the estimate of the fast one.

    :param elapsed_s: time from the request to the decode engine to the first token.
    """
    pace = max(
        plan.prefill_engine.link_slowdown.factor,
        plan.decode_engine.link_slowdown.factor,
    )
    actual_s = elapsed_s - (plan.decode_latency_s - plan.transfer_s)
    for engine in (plan.prefill_engine, plan.decode_engine):
        engine.link_slowdown.add_sample(
            nominal_s=plan.transfer_s / pace, actual_s=actual_s
        )
