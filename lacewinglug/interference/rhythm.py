"""Learns the steps, prefill chunks and lengths of streams from the times of events."""

import math
from dataclasses import dataclass, field

PRIOR_STEP_S = 0.004
"""Initial duration of a decode step, in s; 3.3 to 4.2 ms in the known deployments."""
PRIOR_CHUNK_TOKENS = 1024.0
"""Initial size of a prefill chunk in the decode stage, in tokens. The configuration
does not state it. It is the largest of the known deployments (256, 512 and 1,024): a
chunk that is assumed too large keeps long prompts off decode engines, one that is
assumed too small makes streams late."""
PRIOR_STREAM_S = 0.2
"""Initial mean time from the first event of a stream to its end, in s."""
MIN_CHUNK_TOKENS = 256.0
"""Lower bound of the estimated chunk size, in tokens; the smallest of the known
deployments. Gaps of engines that were wrongly believed to prefill do not lower it
further."""
MAX_CHUNK_TOKENS = 8192.0
"""Upper bound of the estimated chunk size, in tokens."""
MEDIAN_STEP = 0.05
"""Relative step by which the median duration of a step follows a sample."""
CHUNK_QUANTILE = 0.9
"""Quantile of the samples that the chunk size follows. A gap that the engine did not
prefill all the time shows a chunk that is too small, never one that is too large."""
CHUNK_STEP = 0.25
"""Relative step by which the chunk size follows a sample, up by the quantile and down
by the rest; about 55 samples take it from 1,024 to 256 tokens."""
STREAM_SAMPLE_WEIGHT = 0.1
"""Weight of a new stream in the moving averages of length and share."""


@dataclass(kw_only=True, slots=True)
class DecodeRhythm:
    """Estimated rhythm of the streams of a service.

    Times are relative to the speed of the service; an engine's slowdown is taken out.

    :param step_s: median duration of a decode step without prefill, in s.
    :param chunk_tokens: tokens of a prefill chunk in the decode stage.
    :param stream_s: mean time from the first event of a stream to its end, in s.
    :param exposed_share: share of the streams that have more than one event.
    """

    step_s: float = PRIOR_STEP_S
    chunk_tokens: float = PRIOR_CHUNK_TOKENS
    stream_s: float = PRIOR_STREAM_S
    exposed_share: float = 1.0
    _exposed_by_route: dict[str, float] = field(default_factory=dict)

    def exposed_share_of(self, route: str) -> float:
        """Return the share of a route's streams that have more than one event."""
        return self._exposed_by_route.get(route, 1.0)

    def record_step(self, gap_s: float, *, stride: int, slowdown: float) -> None:
        """Record a gap in which the engine prefilled nothing."""
        sample_s = gap_s / (stride * slowdown)
        self.step_s *= math.exp(math.copysign(MEDIAN_STEP, sample_s - self.step_s))

    def record_chunks(
        self, gap_s: float, *, stride: int, slowdown: float, token_s: float
    ) -> None:
        """Record a gap in which the engine prefilled all the time.

        :param slowdown: time of the engine's decode steps, relative to its service.
        :param token_s: prefill time of a token at the engine.
        """
        chunk_s = gap_s / stride - self.step_s * slowdown
        if token_s <= 0.0:
            return
        larger = chunk_s / token_s > self.chunk_tokens
        change = CHUNK_QUANTILE if larger else CHUNK_QUANTILE - 1.0
        tokens = self.chunk_tokens * math.exp(CHUNK_STEP * change)
        self.chunk_tokens = min(max(tokens, MIN_CHUNK_TOKENS), MAX_CHUNK_TOKENS)

    def record_stream(self, route: str, *, gaps: int, lasted_s: float) -> None:
        """Record a stream that has ended.

        :param gaps: number of gaps between its events.
        :param lasted_s: time from its first event to its end.
        """
        exposed = float(gaps > 0)
        self.stream_s += STREAM_SAMPLE_WEIGHT * (lasted_s - self.stream_s)
        self.exposed_share += STREAM_SAMPLE_WEIGHT * (exposed - self.exposed_share)
        share = self.exposed_share_of(route)
        self._exposed_by_route[route] = share + STREAM_SAMPLE_WEIGHT * (exposed - share)
