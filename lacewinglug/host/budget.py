"""A host's part of the budget of repeats that all hosts share."""

from collections import deque
from dataclasses import dataclass, field

SLACK_SHARE = 0.7
"""Part of the shared slack that is spent; the rest covers hosts that are not
known yet."""


@dataclass(kw_only=True)
class RepeatBudget:
    """Bounds the repeats to one service in a sliding window.

    :param ratio: repeats allowed per request of the window.
    :param slack: repeats allowed besides, over all hosts.
    :param window_s: length of the window, in s.
    """

    ratio: float
    slack: float
    window_s: float
    _requests: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def note_request(self, *, now_s: float) -> None:
        """Count a request of a client."""
        self._requests.append(now_s)

    def left(self, *, now_s: float, hosts: int) -> float:
        """Return how many repeats are allowed now.

        :param hosts: hosts that may be alive, this one included.
        """
        for times in (self._requests, self._repeats):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
        allowed = self.ratio * len(self._requests)
        allowed += self.slack * SLACK_SHARE / max(hosts, 1)
        return allowed - len(self._repeats)

    def try_spend(self, *, now_s: float, hosts: int) -> bool:
        """Count a repeat if the budget allows one more."""
        if self.left(now_s=now_s, hosts=hosts) < 1:
            return False
        self._repeats.append(now_s)
        return True
