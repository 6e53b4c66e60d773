"""Turns counters of tokens into a demand for the planner."""

import math
from dataclasses import dataclass

from lacewinglug.roles.planner import Demand

SMOOTHING_S = 3.0
SETTLED_SMOOTHING_S = 30.0
MIN_FILLED = 0.7


@dataclass(kw_only=True)
class DemandTracker:
    """Owns the smoothed demand of a service.

    :param smoothing_s: time constant of the smoothing, in seconds.
    """

    smoothing_s: float = SMOOTHING_S
    _prefill_tokens: float = 0.0
    _output_tokens: float = 0.0
    _updated_s: float | None = None
    _prefill_per_s: float = 0.0
    _output_per_s: float = 0.0
    _filled: float = 0.0

    def update(
        self, *, prefill_tokens: float, output_tokens: float, now_s: float
    ) -> Demand | None:
        """Take counters and return the demand, None while it is too young.

        :param prefill_tokens: prompt tokens offered since the start.
        :param output_tokens: answer tokens offered since the start.
        :param now_s: time that the counters stand for, in seconds.
        """
        before_s = self._updated_s
        prefill_step = prefill_tokens - self._prefill_tokens
        output_step = output_tokens - self._output_tokens
        self._prefill_tokens = prefill_tokens
        self._output_tokens = output_tokens
        self._updated_s = now_s
        if before_s is None or now_s <= before_s:
            return None
        elapsed_s = now_s - before_s
        kept = math.exp(-elapsed_s / self.smoothing_s)
        new = (1.0 - kept) / elapsed_s
        self._prefill_per_s = kept * self._prefill_per_s + new * prefill_step
        self._output_per_s = kept * self._output_per_s + new * output_step
        self._filled = kept * self._filled + (1.0 - kept)
        if self._filled < MIN_FILLED:
            return None
        return Demand(
            prefill_tokens_per_s=self._prefill_per_s / self._filled,
            output_tokens_per_s=self._output_per_s / self._filled,
        )
