"""How a runner has done, by a host's own samples."""

import math
from dataclasses import dataclass

from lacewinglug.host.model import RunnerLoad

FAILURE_SAMPLE_WEIGHT = 0.2
"""Weight of a new outcome in the share of failures."""
FAILURE_DECAY_S = 8.0
"""Time in which the belief in failures falls to a third, in s."""
FIRST_BLOCK_S = 0.5
"""Time without work after a runner could not be reached, in s; doubles."""
LONGEST_BLOCK_S = 4.0
"""Bound of that time, in s."""
LOAD_DECAY_S = 0.5
"""Time in which a stated load falls to a third of its weight, in s; machines of
runners change their pace several times a second."""


@dataclass(kw_only=True, slots=True)
class RunnerHealth:
    """Owns the samples of one runner.

    :param outstanding: requests of this host that are at the runner.
    """

    outstanding: int = 0
    blocked_until_s: float = 0.0
    _failure_share: float = 0.0
    _failure_s: float = 0.0
    _block_s: float = FIRST_BLOCK_S
    _hint: RunnerLoad | None = None
    _hint_s: float = 0.0
    _others: int = 0

    def note_answer(self, *, failed: bool, now_s: float) -> None:
        """Take the outcome of a request."""
        share = self.failure_share(now_s)
        self._failure_share = share + FAILURE_SAMPLE_WEIGHT * (failed - share)
        self._failure_s = now_s
        if not failed:
            self._block_s = FIRST_BLOCK_S
            self.blocked_until_s = 0.0

    def note_unreachable(self, *, now_s: float) -> None:
        """Give the runner no work for a while, longer each time in a row."""
        self.note_answer(failed=True, now_s=now_s)
        self.blocked_until_s = now_s + self._block_s
        self._block_s = min(2 * self._block_s, LONGEST_BLOCK_S)

    def note_loss(self, *, silent: bool, now_s: float) -> None:
        """Take a run that ended early; a silent runner gets no work for a while."""
        if silent:
            self.note_unreachable(now_s=now_s)
        else:
            self.note_answer(failed=True, now_s=now_s)

    def note_load(self, hint: RunnerLoad, *, now_s: float) -> None:
        """Take the load that the runner states; own requests are left out."""
        self._hint = hint
        self._hint_s = now_s
        self._others = max(0, hint.running + hint.queued - self.outstanding)

    def blocked(self, now_s: float) -> bool:
        """Return whether the runner gets no work now."""
        return now_s < self.blocked_until_s

    def failure_share(self, now_s: float) -> float:
        """Return the believed share of requests that fail."""
        age_s = now_s - self._failure_s
        return self._failure_share * math.exp(-age_s / FAILURE_DECAY_S)

    def in_use(self, now_s: float) -> float:
        """Return the believed number of requests at the runner."""
        if self._hint is None:
            return float(self.outstanding)
        return self.outstanding + self._others * self._hint_weight(now_s)

    def slowness(self, now_s: float) -> float:
        """Return the believed time that work takes, 1.0 as usual."""
        if self._hint is None:
            return 1.0
        return 1.0 + (self._hint.slowdown - 1.0) * self._hint_weight(now_s)

    def _hint_weight(self, now_s: float) -> float:
        return math.exp(-(now_s - self._hint_s) / LOAD_DECAY_S)
