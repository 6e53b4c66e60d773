"""Chooses the runner with the lowest predicted cost in seconds."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerState:
    """What is known of a runner when a request is routed.

    :param name: name of the runner.
    :param in_flight: requests in progress or queued, own sends included.
    :param slots: requests that run at the same time.
    :param delay_s: one-way network delay, in seconds.
    :param accepts_work: whether it may get new work.
    """

    name: str
    in_flight: int
    slots: int
    delay_s: float
    accepts_work: bool


def choose_runner(candidates: Sequence[RunnerState]) -> RunnerState | None:
    """Return the candidate with the least load, or None when none accepts work."""
    open_candidates = [item for item in candidates if item.accepts_work]
    if not open_candidates:
        return None
    return min(
        open_candidates,
        key=lambda item: (item.in_flight / item.slots, item.delay_s, item.name),
    )
