"""When an engine will have read the prompts that it was given."""

from collections import deque
from dataclasses import dataclass, field

PRIORITIES = 10
"""Ranks that engines know, 0 to 9."""


@dataclass(kw_only=True, slots=True)
class ReadingBacklog:
    """Owns the prompts that one engine is believed to have to read.

    An engine reads a prompt to its end before it takes the next, the most urgent
    first. So even the most urgent prompt waits for the one that is being read.
    """

    _busy_until_s: float = 0.0
    _waiting: tuple[deque[float], ...] = field(
        default_factory=lambda: tuple(deque() for _ in range(PRIORITIES))
    )
    _waiting_s: list[float] = field(default_factory=lambda: [0.0] * PRIORITIES)

    def wait_s(self, priority: int, *, now_s: float) -> float:
        """Return how long a new prompt of a rank waits."""
        self._advance(now_s)
        return max(0.0, self._busy_until_s - now_s) + sum(
            self._waiting_s[: priority + 1]
        )

    def idle(self, *, now_s: float) -> bool:
        """Return whether the engine is believed to have nothing to read."""
        self._advance(now_s)
        return self._busy_until_s <= now_s

    def add(self, priority: int, work_s: float, *, now_s: float) -> None:
        """Note a prompt that takes some time to read."""
        self._advance(now_s)
        if self._busy_until_s <= now_s:
            self._busy_until_s = now_s + work_s
            return
        self._waiting[priority].append(work_s)
        self._waiting_s[priority] += work_s

    def _advance(self, now_s: float) -> None:
        """Take the next prompts, as far as the engine has come."""
        while self._busy_until_s <= now_s:
            rank = next((r for r, jobs in enumerate(self._waiting) if jobs), None)
            if rank is None:
                return
            work_s = self._waiting[rank].popleft()
            self._waiting_s[rank] = (
                self._waiting_s[rank] - work_s if self._waiting[rank] else 0.0
            )
            self._busy_until_s += work_s
