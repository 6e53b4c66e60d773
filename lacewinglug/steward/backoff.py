"""Delays between attempts."""

import random
from dataclasses import dataclass

_MAX_DOUBLINGS = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class Backoff:
    """Exponential backoff with jitter.

    :param base_s: delay after the first failure before jitter, in seconds.
    :param cap_s: maximum delay, in seconds.
    :param rng: random number generator for the jitter.
    """

    base_s: float
    cap_s: float
    rng: random.Random

    def delay_s(self, attempts: int) -> float:
        """Return the delay after a number of consecutive failures, in seconds."""
        doublings = min(max(0, attempts - 1), _MAX_DOUBLINGS)
        full_s = min(self.cap_s, self.base_s * 2**doublings)
        return full_s * self.rng.uniform(0.5, 1.0)
