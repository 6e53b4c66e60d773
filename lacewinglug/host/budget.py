"""A host's share of the retry budget of all hosts."""

from collections import deque
from dataclasses import dataclass, field

USABLE_SLACK_FRACTION = 0.7
"""Fraction of the shared slack that is used; the rest is a reserve for hosts that this
one has not discovered yet."""


@dataclass(kw_only=True)
class RetryBudget:
    """Limits the retries to one service in a sliding window.

    :param ratio: retries allowed per request in the window.
    :param slack: additional retries allowed in the window, over all hosts.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_request(self, *, now_s: float) -> None:
        """Count a request of a client."""
        self._requests.append(now_s)

    def remaining(self, *, now_s: float, host_count: int) -> float:
        """Return how many retries are allowed now.

        :param host_count: number of hosts that may be alive, including this one.
        """
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
        allowed = self.ratio * len(self._requests)
        allowed += self.slack * USABLE_SLACK_FRACTION / max(host_count, 1)
        return allowed - len(self._retries)

    def try_spend(self, *, now_s: float, host_count: int) -> bool:
        """Count a retry and return True if the budget allows it."""
        if self.remaining(now_s=now_s, host_count=host_count) < 1:
            return False
        self._retries.append(now_s)
        return True
