"""Learns how much slower than expected the link of an engine transfers."""

from dataclasses import dataclass

MIN_TRANSFER_SAMPLE_S = 0.03
"""Transfers with a shorter nominal time, in seconds, are ignored: they can't tell a
slow link from a late decode step."""
TRANSFER_SAMPLE_WEIGHT = 0.3
"""Weight of a new sample of a link's slowdown; links become slow abruptly."""
MAX_LINK_SLOWDOWN = 16.0
"""Upper bound of the estimated slowdown of a link."""


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
