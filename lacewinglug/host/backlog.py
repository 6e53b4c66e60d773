"""Estimates when an engine will have prefilled the prompts assigned to it."""

from collections import deque
from dataclasses import dataclass, field

from lacewinglug.host.speeds import NO_WORK, PrefillWork

PRIORITY_LEVELS = 10
"""Number of priority levels of engines, 0 to 9."""
MAX_ASSUMED_DONE = 64
"""Maximum number of prompts that are kept after their expected end, in case a response
shows that the engine has not prefilled them yet."""


@dataclass(kw_only=True, slots=True)
class _Job:
    number: int
    priority: int
    work: PrefillWork
    work_s: float


@dataclass(kw_only=True, slots=True)
class PrefillBacklog:
    """Prompts that hosts have assigned to one engine.

    The engine prefills one prompt at a time; those of a priority in the order of their
    arrival, and more urgent ones first. So even the most urgent prompt waits for the
    one in progress. Each response of the engine corrects the estimate: what precedes
    the prompt is done, what follows it is not.
    """

    _busy_until_s: float = 0.0
    _current: _Job | None = None
    _queues: tuple[deque[_Job], ...] = field(
        default_factory=lambda: tuple(deque() for _ in range(PRIORITY_LEVELS))
    )
    _assumed_done: deque[_Job] = field(
        default_factory=lambda: deque(maxlen=MAX_ASSUMED_DONE)
    )
    _last_number: int = 0

    def wait_s(self, priority: int, *, now_s: float) -> float:
        """Return how long a new prompt of a priority would queue, in seconds."""
        self._advance(now_s)
        return max(0.0, self._busy_until_s - now_s) + sum(
            job.work_s for queue in self._queues[: priority + 1] for job in queue
        )

    def work_ahead(self, priority: int, *, now_s: float) -> PrefillWork:
        """Return the work that the engine would do before a new prompt's own."""
        self._advance(now_s)
        total = NO_WORK
        remaining_s = self._busy_until_s - now_s
        if self._current is not None and remaining_s > 0.0 and self._current.work_s > 0:
            fraction = min(1.0, remaining_s / self._current.work_s)
            total = total.plus(self._current.work, fraction=fraction)
        for queue in self._queues[: priority + 1]:
            for job in queue:
                total = total.plus(job.work)
        return total

    def idle(self, *, now_s: float) -> bool:
        """Return whether the engine is estimated to have no prefill work."""
        self._advance(now_s)
        return self._busy_until_s <= now_s

    def add(
        self, priority: int, work: PrefillWork, work_s: float, *, now_s: float
    ) -> int:
        """Add a prompt with its estimated prefill time.

        :param now_s: monotonic time at which it was assigned.
        :returns: number of the prompt, by which it is completed or removed.
        """
        self._last_number += 1
        job = _Job(
            number=self._last_number, priority=priority, work=work, work_s=work_s
        )
        self._advance(now_s)
        if self._busy_until_s <= now_s:
            self._start(job, now_s)
        else:
            self._queues[priority].append(job)
        return job.number

    def complete(self, number: int, *, now_s: float) -> None:
        """Record that the engine has prefilled a prompt."""
        self._advance(now_s)
        done = self._take(number)
        if done is None:
            return
        for queue in self._queues[: done.priority + 1]:
            while queue and queue[0].number < number:
                queue.popleft()
        later = [
            job
            for job in self._assumed_done
            if job.number > number and job.priority >= done.priority
        ]
        if self._current is not None and self._current.number > number:
            later.append(self._current)
        for job in sorted(later, key=lambda item: item.number, reverse=True):
            self._queues[job.priority].appendleft(job)
        self._assumed_done.clear()
        self._current = None
        self._busy_until_s = now_s
        self._advance(now_s)

    def remove(self, number: int, *, now_s: float) -> None:
        """Remove a prompt that the engine will not prefill."""
        self._advance(now_s)
        removed = self._take(number)
        if removed is not None and removed is self._current:
            self._current = None
            self._busy_until_s = now_s
            self._advance(now_s)

    def _take(self, number: int) -> _Job | None:
        """Take a prompt out of the queues; one in progress stays."""
        if self._current is not None and self._current.number == number:
            return self._current
        for queue in (*self._queues, self._assumed_done):
            for job in queue:
                if job.number == number:
                    queue.remove(job)
                    return job
        return None

    def _start(self, job: _Job, start_s: float) -> None:
        if self._current is not None:
            self._assumed_done.append(self._current)
        self._current = job
        self._busy_until_s = start_s + job.work_s

    def _advance(self, now_s: float) -> None:
        """Start the queued prompts whose turn has come by now."""
        while self._busy_until_s <= now_s:
            queue = next((queue for queue in self._queues if queue), None)
            if queue is None:
                return
            self._start(queue.popleft(), self._busy_until_s)
