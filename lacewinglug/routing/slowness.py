"""Sees from own response times that a runner is slow, before its reports do."""

import math
from dataclasses import dataclass

TOLERATED_RATIO = 2.4
_SAMPLE_WEIGHT = 0.6
_FORGET_S = 8.0
_MAX_RATIO = 20.0


@dataclass(kw_only=True, slots=True)
class SlownessTracker:
    """Owns the smoothed ratio of observed to expected time of a runner.

    :param ratio: smoothed ratio at ``observed_s``, 1 for a healthy runner.
    :param observed_s: time of the last observation, in seconds.
    """

    ratio: float = 1.0
    observed_s: float = float("-inf")

    def note(self, *, observed_s: float, expected_s: float, now_s: float) -> None:
        """Note one response time beside the one that was predicted."""
        sample = min(_MAX_RATIO, observed_s / max(expected_s, 1e-6))
        ratio = self._faded(now_s)
        self.ratio = ratio + _SAMPLE_WEIGHT * (sample - ratio)
        self.observed_s = now_s

    def current(self, now_s: float) -> float:
        """Return how many times slower the runner is; old evidence fades."""
        ratio = self._faded(now_s)
        return ratio if ratio > TOLERATED_RATIO else 1.0

    def _faded(self, now_s: float) -> float:
        age_s = now_s - self.observed_s
        return 1.0 + (self.ratio - 1.0) * math.exp(-age_s / _FORGET_S)
