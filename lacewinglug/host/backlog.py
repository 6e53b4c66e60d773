"""Estimates when an engine will have prefilled the prompts assigned to it."""

from collections import deque
from dataclasses import dataclass, field

PRIORITY_LEVELS = 10
"""Number of priority levels of engines, 0 to 9."""


@dataclass(kw_only=True, slots=True)
class PrefillBacklog:
    """Estimated prefill queue of one engine.

    An engine finishes the prefill of a prompt before it starts the next one, in
    order of priority. So even the most urgent prompt waits for the one in progress.
    """

    _busy_until_s: float = 0.0
    _queues: tuple[deque[float], ...] = field(
        default_factory=lambda: tuple(deque() for _ in range(PRIORITY_LEVELS))
    )
    _queued_s: list[float] = field(default_factory=lambda: [0.0] * PRIORITY_LEVELS)

    def wait_s(self, priority: int, *, now_s: float) -> float:
        """Return how long a new prompt of a priority would queue, in seconds."""
        self._advance(now_s)
        return max(0.0, self._busy_until_s - now_s) + sum(
            self._queued_s[: priority + 1]
        )

    def idle(self, *, now_s: float) -> bool:
        """Return whether the engine is estimated to have no prefill work."""
        self._advance(now_s)
        return self._busy_until_s <= now_s

    def add(self, priority: int, work_s: float, *, now_s: float) -> None:
        """Add a prompt with its estimated prefill time."""
        self._advance(now_s)
        if self._busy_until_s <= now_s:
            self._busy_until_s = now_s + work_s
            return
        self._queues[priority].append(work_s)
        self._queued_s[priority] += work_s

    def _advance(self, now_s: float) -> None:
        """Start the queued prompts whose turn has come by now."""
        while self._busy_until_s <= now_s:
            priority = next((p for p, jobs in enumerate(self._queues) if jobs), None)
            if priority is None:
                return
            work_s = self._queues[priority].popleft()
            # An empty queue is reset to exactly 0 so that rounding doesn't add up.
            self._queued_s[priority] = (
                self._queued_s[priority] - work_s if self._queues[priority] else 0.0
            )
            self._busy_until_s += work_s
