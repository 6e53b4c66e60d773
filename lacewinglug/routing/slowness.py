"""Detects slow runners from observed latency, before their load reports show it."""

import math
from dataclasses import dataclass

# Smaller ratios are treated as normal variation.
SLOW_RATIO_THRESHOLD = 2.4
_EWMA_ALPHA = 0.6
_DECAY_TIME_CONSTANT_S = 8.0
_MAX_SAMPLE_RATIO = 20.0


@dataclass(kw_only=True, slots=True)
class SlownessTracker:
    """Smoothed ratio of observed to expected latency of a runner.

    :param ratio: smoothed ratio at ``updated_s``, 1 for a healthy runner.
    :param updated_s: time of the last sample, in seconds.
    """

    ratio: float = 1.0
    updated_s: float = float("-inf")

    def record(self, *, observed_s: float, expected_s: float, now_s: float) -> None:
        """Add a latency sample with its expected value."""
        sample = min(_MAX_SAMPLE_RATIO, observed_s / max(expected_s, 1e-6))
        ratio = self._decayed_ratio(now_s)
        self.ratio = ratio + _EWMA_ALPHA * (sample - ratio)
        self.updated_s = now_s

    def current(self, now_s: float) -> float:
        """Return the latency ratio, 1 below the threshold; it decays towards 1."""
        ratio = self._decayed_ratio(now_s)
        return ratio if ratio > SLOW_RATIO_THRESHOLD else 1.0

    def _decayed_ratio(self, now_s: float) -> float:
        age_s = now_s - self.updated_s
        return 1.0 + (self.ratio - 1.0) * math.exp(-age_s / _DECAY_TIME_CONSTANT_S)
