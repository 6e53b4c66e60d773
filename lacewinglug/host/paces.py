"""Learns how much slower than expected an engine prefills and its link transfers."""

from dataclasses import dataclass

PRIOR_PREFILL_S = 0.5
"""Weight of the initial assumption that prefill runs at nominal speed, in seconds of
nominal prefill time; about ten prompts."""
PREFILL_DECAY_PER_SAMPLE = 0.15
"""Fraction by which the accumulated prefill times decay at each new sample."""
MAX_PREFILL_SLOWDOWN = 4.0
"""Upper bound of the estimated prefill slowdown."""
MIN_PREFILL_SLOWDOWN = 0.8
"""Lower bound of the estimated prefill slowdown."""
MIN_TRANSFER_SAMPLE_S = 0.03
"""Transfers with a shorter nominal time, in seconds, are ignored: they can't tell a
slow link from a late decode step."""
TRANSFER_SAMPLE_WEIGHT = 0.3
"""Weight of a new sample of a link's slowdown; links become slow abruptly."""
MAX_LINK_SLOWDOWN = 16.0
"""Upper bound of the estimated slowdown of a link."""


@dataclass(kw_only=True, slots=True)
class PrefillSlowdown:
    """Estimates the prefill slowdown of one engine as a ratio of decayed sums.

    Long prefills weigh more than short ones, whose time is mostly queueing.

    :param factor: estimated prefill time relative to the nominal time.
    """

    factor: float = 1.0
    _nominal_s: float = PRIOR_PREFILL_S
    _actual_s: float = PRIOR_PREFILL_S

    def add_sample(self, *, nominal_s: float, actual_s: float) -> None:
        """Add a sample from a prefill that did not have to queue.

        :param nominal_s: prefill time at a slowdown of 1.0, in seconds.
        :param actual_s: measured prefill time, in seconds.
        """
        kept = 1.0 - PREFILL_DECAY_PER_SAMPLE
        self._nominal_s = kept * self._nominal_s + nominal_s
        self._actual_s = kept * self._actual_s + max(0.0, actual_s)
        slowdown = self._actual_s / self._nominal_s
        self.factor = min(max(slowdown, MIN_PREFILL_SLOWDOWN), MAX_PREFILL_SLOWDOWN)


@dataclass(kw_only=True, slots=True)
class LinkSlowdown:
    """Estimates the slowdown of KV cache transfers over the link of one engine.

    :param factor: estimated transfer time relative to the nominal time.
    """

    factor: float = 1.0

    def add_sample(self, *, nominal_s: float, actual_s: float) -> None:
        """Add a sample from a transfer to or from the engine.

        :param nominal_s: transfer time at a slowdown of 1.0, in seconds.
        :param actual_s: measured transfer time, in seconds.
        """
        if nominal_s < MIN_TRANSFER_SAMPLE_S:
            return
        sample = min(max(actual_s / nominal_s, 1.0), MAX_LINK_SLOWDOWN)
        self.factor += TRANSFER_SAMPLE_WEIGHT * (sample - self.factor)
