"""Schedule of a graceful shutdown, and which requests still fit into it."""

from dataclasses import dataclass, field

ACCEPT_FRACTION = 0.55
"""Fraction of the grace period in which a host that shuts down still accepts new
connections."""
FINISH_FRACTION = 0.95
"""Fraction of the grace period after which requests in progress are ended."""
FLUSH_FRACTION = 0.98
"""Fraction of the grace period after which connections with unsent data are closed."""
EXIT_FRACTION = 0.99
"""Fraction of the grace period after which the process exits, whatever is left."""
DURATION_WINDOW_S = 60.0
"""Time for which the duration of a request counts as typical of its route, in s."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShutdownSchedule:
    """Monotonic times of the steps of a graceful shutdown, in s.

    :param started_s: the shutdown was requested.
    :param accept_until_s: the host stops accepting connections.
    :param finish_by_s: requests in progress are ended.
    :param flush_by_s: connections with unsent data are closed.
    :param exit_by_s: tasks that requests left behind are ended.
    :param notified_s: until then clients may not know that the host leaves, because
        they may cache addresses from before.
    """

    started_s: float
    accept_until_s: float
    finish_by_s: float
    flush_by_s: float
    exit_by_s: float
    notified_s: float

    @classmethod
    def begin(
        cls, *, now_s: float, grace_s: float, address_ttl_s: float
    ) -> "ShutdownSchedule":
        """Return the schedule of a shutdown that begins now.

        :param grace_s: time after which the process is killed.
        :param address_ttl_s: time for which clients may cache the host's address.
        """
        return cls(
            started_s=now_s,
            accept_until_s=now_s + grace_s * ACCEPT_FRACTION,
            finish_by_s=now_s + grace_s * FINISH_FRACTION,
            flush_by_s=now_s + grace_s * FLUSH_FRACTION,
            exit_by_s=now_s + grace_s * EXIT_FRACTION,
            notified_s=now_s + address_ttl_s,
        )

    def can_finish(
        self, *, now_s: float, expires_s: float, typical_s: float | None
    ) -> bool:
        """Return whether to accept a request.

        A request that expires in time cannot be cut. While clients may not know that
        the host leaves, one that usually ends in time is accepted, too.

        :param expires_s: time at which the request is ended whatever its progress.
        :param typical_s: longest recent duration of such requests, None if unknown.
        """
        if expires_s <= self.finish_by_s:
            return True
        return (
            now_s <= self.notified_s
            and typical_s is not None
            and now_s + typical_s <= self.finish_by_s
        )


@dataclass(kw_only=True, slots=True)
class DurationWindow:
    """Longest duration of the requests of a route that ended recently.

    :param window_s: time for which a duration counts at least, and up to twice as long.
    """

    window_s: float = DURATION_WINDOW_S
    _started_s: float = float("-inf")
    _current_s: float | None = None
    _previous_s: float | None = None

    def record(self, duration_s: float, *, now_s: float) -> None:
        """Record the duration of a request that was answered, in s."""
        self._rotate(now_s)
        self._current_s = max(duration_s, self._current_s or 0.0)

    def longest_s(self, *, now_s: float) -> float | None:
        """Return the longest recent duration in s, None if there is none."""
        self._rotate(now_s)
        known = [
            item for item in (self._current_s, self._previous_s) if item is not None
        ]
        return max(known, default=None)

    def _rotate(self, now_s: float) -> None:
        age_s = now_s - self._started_s
        if age_s < self.window_s:
            return
        self._previous_s = self._current_s if age_s < 2 * self.window_s else None
        self._current_s = None
        self._started_s = now_s


@dataclass(kw_only=True, slots=True)
class RouteDurations:
    """Longest recent durations of the answered requests, by route."""

    _windows: dict[str, DurationWindow] = field(default_factory=dict)

    def record(self, route: str, duration_s: float, *, now_s: float) -> None:
        """Record the duration of a request that was answered, in s."""
        self._windows.setdefault(route, DurationWindow()).record(
            duration_s, now_s=now_s
        )

    def longest_s(self, route: str, *, now_s: float) -> float | None:
        """Return the longest recent duration of a route in s, None if unknown."""
        window = self._windows.get(route)
        return None if window is None else window.longest_s(now_s=now_s)
