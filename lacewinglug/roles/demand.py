"""Estimates the demand on a service from token counters."""

import math
from dataclasses import dataclass

from lacewinglug.roles.planner import Demand

RECENT_TIME_CONSTANT_S = 3.0
SUSTAINED_TIME_CONSTANT_S = 30.0
# Share of the smoothing window that must be covered before an estimate is used.
MIN_WINDOW_FILL = 0.7


@dataclass(kw_only=True)
class DemandTracker:
    """Exponentially smoothed demand on a service.

    :param time_constant_s: time constant of the smoothing, in seconds.
    """

    time_constant_s: float = RECENT_TIME_CONSTANT_S
    _prefill_tokens: float = 0.0
    _output_tokens: float = 0.0
    _updated_s: float | None = None
    _prefill_per_s: float = 0.0
    _output_per_s: float = 0.0
    _window_fill: float = 0.0

    def update(
        self, *, prefill_tokens: float, output_tokens: float, now_s: float
    ) -> Demand | None:
        """Update the estimate from cumulative counters.

        :param prefill_tokens: total prompt tokens requested so far.
        :param output_tokens: total output tokens requested so far.
        :param now_s: time of the counters, in seconds.
        :returns: the demand, None until enough time is covered.
        """
        previous_s = self._updated_s
        prefill_delta = prefill_tokens - self._prefill_tokens
        output_delta = output_tokens - self._output_tokens
        self._prefill_tokens = prefill_tokens
        self._output_tokens = output_tokens
        self._updated_s = now_s
        if previous_s is None or now_s <= previous_s:
            return None
        elapsed_s = now_s - previous_s
        decay = math.exp(-elapsed_s / self.time_constant_s)
        gain_per_s = (1.0 - decay) / elapsed_s
        self._prefill_per_s = decay * self._prefill_per_s + gain_per_s * prefill_delta
        self._output_per_s = decay * self._output_per_s + gain_per_s * output_delta
        self._window_fill = decay * self._window_fill + (1.0 - decay)
        if self._window_fill < MIN_WINDOW_FILL:
            return None
        return Demand(
            prefill_tokens_per_s=self._prefill_per_s / self._window_fill,
            output_tokens_per_s=self._output_per_s / self._window_fill,
        )
