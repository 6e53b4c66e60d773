"""Estimates the health and load of a runner from a host's own requests."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.host.model import RunnerLoad

FAILURE_SAMPLE_WEIGHT = 0.2
"""Weight of a new result in the moving average of the failure share."""
FAILURE_DECAY_S = 8.0
"""Time constant of the exponential decay of the failure share, in seconds."""
INITIAL_BACKOFF_S = 0.5
"""Time for which a runner gets no requests after it was unreachable, in seconds;
doubles with each failure in a row."""
MAX_BACKOFF_S = 4.0
"""Upper bound of that time, in seconds."""
MAX_PUSH_BACK_S = 300.0
"""Upper bound of the pause that a runner can ask for, in seconds; a runner that asks
for more gets a request and can ask again."""
LOAD_DECAY_S = 0.5
"""Time constant of the exponential decay of a reported load, in seconds; the speed of
the machines of runners changes several times per second."""


@dataclass(kw_only=True, slots=True)
class RunnerHealth:
    """Health and load of one runner.

    :param outstanding: requests of this host that are in progress at the runner.
    :param blocked_until_s: monotonic time until which the runner gets no requests.
    :param on_interruption: called with the time until which the runner gets no requests
        and the present time, both monotonic.
    """

    outstanding: int = 0
    blocked_until_s: float = 0.0
    on_interruption: Callable[[float, float], None] = lambda until_s, now_s: None
    _failure_share: float = 0.0
    _failure_updated_at_s: float = 0.0
    _next_backoff_s: float = INITIAL_BACKOFF_S
    _load_hint: RunnerLoad | None = None
    _load_hint_at_s: float = 0.0
    _remote_requests: int = 0
    _push_back_until_s: dict[int, float] = field(default_factory=dict)

    def record_result(self, *, failed: bool, now_s: float) -> None:
        """Record the result of a request."""
        share = self.failure_share(now_s)
        self._failure_share = share + FAILURE_SAMPLE_WEIGHT * (failed - share)
        self._failure_updated_at_s = now_s
        if not failed:
            self._next_backoff_s = INITIAL_BACKOFF_S
            self.blocked_until_s = 0.0

    def record_unreachable(self, *, now_s: float) -> None:
        """Record that the runner is unreachable, and back off exponentially."""
        self.record_result(failed=True, now_s=now_s)
        self.blocked_until_s = now_s + self._next_backoff_s
        self._next_backoff_s = min(2 * self._next_backoff_s, MAX_BACKOFF_S)
        self.on_interruption(self.blocked_until_s, now_s)

    def record_incomplete(self, *, silent: bool, now_s: float) -> None:
        """Record a request that ended without a complete answer.

        :param silent: whether the runner stopped answering; then it gets no requests
            for a while.
        """
        if silent:
            self.record_unreachable(now_s=now_s)
        else:
            self.record_result(failed=True, now_s=now_s)

    def record_push_back(
        self, *, born_ms: int, retry_after_s: float, now_s: float
    ) -> None:
        """Record that an incarnation of the runner asks for a pause without requests.

        Another response does not shorten the pause, not even one to a request that was
        sent before.
        """
        until_s = now_s + min(retry_after_s, MAX_PUSH_BACK_S)
        known_s = self._push_back_until_s.get(born_ms, 0.0)
        self._push_back_until_s = {
            born: end_s
            for born, end_s in self._push_back_until_s.items()
            if end_s > now_s
        } | {born_ms: max(known_s, until_s)}
        self.on_interruption(max(known_s, until_s), now_s)

    def push_back_left_s(self, born_ms: int, now_s: float) -> float:
        """Return the time left of the pause of an incarnation, in seconds."""
        return max(0.0, self._push_back_until_s.get(born_ms, 0.0) - now_s)

    def is_pushing_back(self, now_s: float) -> bool:
        """Return whether any incarnation of the runner has asked for a pause."""
        return any(until_s > now_s for until_s in self._push_back_until_s.values())

    def record_load(self, hint: RunnerLoad, *, now_s: float) -> None:
        """Record the load reported by the runner, less the requests of this host."""
        self._load_hint = hint
        self._load_hint_at_s = now_s
        self._remote_requests = max(0, hint.running + hint.queued - self.outstanding)

    def is_blocked(self, now_s: float) -> bool:
        """Return whether the runner gets no requests now."""
        return now_s < self.blocked_until_s

    def failure_share(self, now_s: float) -> float:
        """Return the estimated share of requests that fail."""
        age_s = now_s - self._failure_updated_at_s
        return self._failure_share * math.exp(-age_s / FAILURE_DECAY_S)

    def estimated_requests(self, now_s: float) -> float:
        """Return the estimated number of requests at the runner, of all hosts."""
        if self._load_hint is None:
            return float(self.outstanding)
        return self.outstanding + self._remote_requests * self._load_hint_weight(now_s)

    def slowness(self, now_s: float) -> float:
        """Return the estimated processing time relative to the usual one."""
        if self._load_hint is None:
            return 1.0
        return 1.0 + (self._load_hint.slowdown - 1.0) * self._load_hint_weight(now_s)

    def _load_hint_weight(self, now_s: float) -> float:
        return math.exp(-(now_s - self._load_hint_at_s) / LOAD_DECAY_S)
