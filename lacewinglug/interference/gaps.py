"""Estimates how likely prefills on an engine make the gaps of its streams too long.

An engine that prefills a prompt beside streams delays each of their steps by a chunk of
the prompt until the prompt is done. An event holds the tokens of several steps, so that
the time between two events grows with the number of chunks that fall into it.
"""

import math
from dataclasses import dataclass

GAP_MARGIN = 0.9
"""Share of the target gap that the model uses; estimates of steps and chunks have
errors of about a tenth."""
LATE_STREAM_COST = 1.0
"""Cost of a stream with a gap over its target, relative to the longest latency target
of the service: the same as for a first token that misses its target."""

MAX_ARRIVALS = 8
"""Number of prefills in one gap above which their arrival is not counted."""


def exceed_probability(*, stride: float, chunks_over: float, chunks: float) -> float:
    """Return how likely a run of chunks makes a gap of a stream exceed its target.

    The run falls into the stream's gaps with a random phase. It is divided at their
    boundaries, and one gap has to receive enough of it.

    :param stride: steps in a gap; each is delayed by at most one chunk.
    :param chunks_over: chunks in one gap that make it exceed the target.
    :param chunks: successive chunks.
    """
    if chunks <= 0.0 or chunks < chunks_over or not 0.0 < chunks_over <= stride:
        return 0.0
    return min(1.0, (stride - 2.0 * chunks_over + chunks + 1.0) / stride)


def arrival_probability(count: int, expected: float) -> float:
    """Return how likely at least a number of prefills arrive, as a Poisson process.

    :param expected: mean number of arrivals.
    """
    if count > MAX_ARRIVALS:
        return 0.0
    term = fewer = math.exp(-expected)
    for number in range(1, count):
        term *= expected / number
        fewer += term
    return max(0.0, 1.0 - fewer)


@dataclass(frozen=True, kw_only=True, slots=True)
class GapModel:
    """What is known of the gaps of a service's streams when a prompt is placed.

    :param target_s: shortest target gap of the routes to the service.
    :param own_target_s: target gap of the prompt's own route, infinite for none.
    :param late_cost_s: cost of a stream that has a gap over its target, in s.
    :param stride: steps in an event.
    :param step_s: duration of a step without prefill, at the speed of the service.
    :param chunk_tokens: tokens of a prefill chunk in the decode stage.
    :param chunk_s: duration of a chunk there, at the speed of the service.
    :param exposed_share: share of the service's streams that have a gap at all.
    :param own_exposed_share: the same of the prompt's own route.
    :param stream_s: mean time from the first event of a stream to its end.
    """

    target_s: float
    own_target_s: float
    late_cost_s: float
    stride: int
    step_s: float
    chunk_tokens: float
    chunk_s: float
    exposed_share: float = 1.0
    own_exposed_share: float = 1.0
    stream_s: float = 0.0

    def probability(self, chunks: float, *, slowdown: float, target_s: float) -> float:
        """Return how likely a run of chunks makes a gap exceed a target.

        :param slowdown: time that the engine takes, relative to its service.
        """
        return exceed_probability(
            stride=self.stride,
            chunks_over=self.chunks_over(slowdown=slowdown, target_s=target_s),
            chunks=chunks,
        )

    def chunks_over(self, *, slowdown: float, target_s: float) -> float:
        """Return the chunks in one gap that make it exceed a target."""
        spare_s = GAP_MARGIN * target_s - self.stride * self.step_s * slowdown
        return spare_s / (self.chunk_s * slowdown)

    def can_exceed(self, *, slowdown: float) -> bool:
        """Return whether a prefill can make a gap exceed its target.

        :param slowdown: time that the engine takes, relative to its service.
        """
        longest_s = self.stride * (self.step_s + self.chunk_s) * slowdown
        return longest_s > GAP_MARGIN * min(self.target_s, self.own_target_s)


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineGaps:
    """Gaps of the streams on one engine.

    :param model: what is known of the service's streams.
    :param slowdown: time that the engine takes, relative to its service.
    :param streams: streams of all hosts that run there.
    :param backlog_s: time of the prefills that are queued there.
    :param prefills_per_s: recent rate of prefills there.
    :param tokens_per_s: tokens of these prefills.
    """

    model: GapModel
    slowdown: float
    streams: float
    backlog_s: float
    prefills_per_s: float
    tokens_per_s: float

    def prefill_cost_s(self, tokens: float) -> float:
        """Return the cost of one more prefill to the streams on the engine, in s.

        Streams that the queued prefills delay over their target anyway do not count
        again, so that load beyond the prefill engines gathers on few decode engines.

        :param tokens: tokens to prefill.
        """
        model = self.model
        if not self.streams or tokens <= 0.0:
            return 0.0
        queued = self._chunks_of(self.backlog_s)
        chunks = queued + tokens / model.chunk_tokens
        with_it = self._probability(chunks, target_s=model.target_s)
        if with_it <= 0.0:
            return 0.0
        without_it = self._probability(queued, target_s=model.target_s)
        late = self.streams * model.exposed_share * (with_it - without_it)
        return model.late_cost_s * late

    def stream_cost_s(self, *, first_event_s: float) -> float:
        """Return the cost of later prefills to a stream that is placed there, in s.

        :param first_event_s: time until its first event. Prefills that are done by
            then do not delay it.
        """
        model = self.model
        if model.own_exposed_share <= 0.0:
            return 0.0
        left = self._chunks_of(self.backlog_s - first_event_s)
        within = 1.0 - self._probability(left, target_s=model.own_target_s)
        if self.prefills_per_s > 0.0 and model.stream_s > model.own_target_s:
            # Prefills that arrive later may hit each further gap of a long stream.
            later = 1.0 - self._probability(0.0, target_s=model.own_target_s)
            within *= later ** (model.stream_s / model.own_target_s - 1.0)
        return model.late_cost_s * model.own_exposed_share * (1.0 - within)

    def _probability(self, chunks: float, *, target_s: float) -> float:
        """Return how likely a run of chunks makes a gap exceed a target.

        Prefills that arrive in the same gap at the recent rate of the engine add to it:
        several short prompts stall a stream as one long prompt does.
        """
        model = self.model
        alone = model.probability(chunks, slowdown=self.slowdown, target_s=target_s)
        over = model.chunks_over(slowdown=self.slowdown, target_s=target_s)
        if self.prefills_per_s <= 0.0 or not chunks < over <= model.stride:
            return alone
        mean_chunks = self.tokens_per_s / self.prefills_per_s / model.chunk_tokens
        if mean_chunks <= 0.0:
            return alone
        missing = math.ceil((over - chunks) / mean_chunks)
        return max(alone, arrival_probability(missing, self.prefills_per_s * target_s))

    def _chunks_of(self, prefill_s: float) -> float:
        """Return the chunks that an engine runs in a time."""
        return max(0.0, prefill_s) / (self.model.chunk_s * self.slowdown)
