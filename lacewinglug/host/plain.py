"""Chooses the runner of a plain call."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from lacewinglug.host.distance import ROUND_TRIP_S, Geography
from lacewinglug.host.health import RunnerHealth
from lacewinglug.host.model import RunnerEntry

USUAL_WORK_S = 0.08
"""Time of a usual call, in s; from the users' sheet (45 to 90 ms)."""
FAILURE_COST_S = 1.0
"""Cost of a call that fails, in s; about what a client's own retry takes."""
BUSY_SHARE = 0.75
"""Share of its slots from which a runner counts as nearly full."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainChoice:
    """A runner for a plain call.

    :param entry: the runner.
    :param cost_s: expected time with it, failures included, in s.
    """

    entry: RunnerEntry
    cost_s: float


def choose_plain_runner(
    entries: Sequence[RunnerEntry],
    *,
    health: Callable[[str], RunnerHealth],
    geography: Geography,
    zone: str,
    now_s: float,
    excluded: Collection[str] = (),
) -> PlainChoice | None:
    """Return the runner that probably answers first, None where there is none.

    :param health: returns the samples of a runner by its instance.
    :param zone: availability zone of this host.
    :param excluded: runners that were tried already; the last resort.
    """
    best: PlainChoice | None = None
    fresh = [item for item in entries if item.instance not in excluded]
    usable = [item for item in fresh if not health(item.instance).is_blocked(now_s)]
    for entry in usable or fresh or entries:
        cost_s = _expected_s(
            entry,
            health=health(entry.instance),
            round_trip_s=ROUND_TRIP_S[geography.distance(zone, entry.zone)],
            now_s=now_s,
        )
        if best is None or cost_s < best.cost_s:
            best = PlainChoice(entry=entry, cost_s=cost_s)
    return best


def _expected_s(
    entry: RunnerEntry, *, health: RunnerHealth, round_trip_s: float, now_s: float
) -> float:
    work_s = USUAL_WORK_S * health.slowness(now_s)
    if entry.cold_s > 0:
        work_s *= 2
    load = health.estimated_requests(now_s)
    waiting = max(0.0, load + 1 - BUSY_SHARE * entry.slots) / entry.slots
    return (
        round_trip_s
        + work_s * (1 + 2 * waiting)
        + FAILURE_COST_S * health.failure_share(now_s)
    )
