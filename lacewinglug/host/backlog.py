"""When an engine will have read the prompts that it was given."""

from dataclasses import dataclass, field

PRIORITIES = 10
"""Ranks that engines know, 0 to 9."""


@dataclass(kw_only=True, slots=True)
class ReadingBacklog:
    """Owns the believed end of the reading at one engine, for each rank.

    Work of a rank delays that rank and all less urgent ones.
    """

    _until_s: list[float] = field(default_factory=lambda: [0.0] * PRIORITIES)

    def wait_s(self, priority: int, *, now_s: float) -> float:
        """Return how long a new prompt of a rank waits."""
        return max(0.0, self._until_s[priority] - now_s)

    def add(self, priority: int, work_s: float, *, now_s: float) -> None:
        """Note a prompt that takes some time to read."""
        until_s = self._until_s
        for rank in range(priority, PRIORITIES):
            until_s[rank] = max(until_s[rank], now_s) + work_s
