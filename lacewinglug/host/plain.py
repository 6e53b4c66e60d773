"""Selects the runner of a plain call."""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from lacewinglug.host.distance import ROUND_TRIP_S, Geography
from lacewinglug.host.health import RunnerHealth
from lacewinglug.host.model import RunnerEntry

_NO_COSTS: Mapping[str, float] = {}

TYPICAL_CALL_S = 0.08
"""Typical duration of a call, in s; the users specify 45 to 90 ms."""
FAILURE_PENALTY_S = 1.0
"""Penalty for a failed call, in s; about the time that a retry by the client takes."""
BUSY_FRACTION = 0.75
"""Fraction of a runner's slots in use above which queueing is expected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerChoice:
    """The runner selected for a plain call.

    :param entry: the runner.
    :param cost_s: expected response time with a penalty for likely failures, in s.
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
    pacing_costs: Mapping[str, float] = _NO_COSTS,
) -> RunnerChoice | None:
    """Return the runner with the lowest expected cost, None if there are no runners.

    Runners that were tried already or are blocked are used only if no others remain.

    :param entries: runners of the service.
    :param health: returns the health of a runner by its instance.
    :param geography: regions of the availability zones.
    :param zone: availability zone of this host.
    :param now_s: monotonic time.
    :param excluded: instances that were tried already.
    :param pacing_costs: costs of runners that have just started or recovered, in s, by
        instance.
    """
    best: RunnerChoice | None = None
    untried = [item for item in entries if item.instance not in excluded]
    available = [
        item for item in untried if not health(item.instance).is_blocked(now_s)
    ]
    for entry in available or untried or entries:
        cost_s = _expected_cost_s(
            entry,
            health=health(entry.instance),
            round_trip_s=ROUND_TRIP_S[geography.distance(zone, entry.zone)],
            now_s=now_s,
        )
        cost_s += pacing_costs.get(entry.instance, 0.0)
        if best is None or cost_s < best.cost_s:
            best = RunnerChoice(entry=entry, cost_s=cost_s)
    return best


def _expected_cost_s(
    entry: RunnerEntry, *, health: RunnerHealth, round_trip_s: float, now_s: float
) -> float:
    work_s = TYPICAL_CALL_S * health.slowness(now_s)
    if entry.cold_s > 0:
        work_s *= 2
    load = health.estimated_requests(now_s)
    queued_fraction = max(0.0, load + 1 - BUSY_FRACTION * entry.slots) / entry.slots
    return (
        round_trip_s
        + work_s * (1 + 2 * queued_fraction)
        + FAILURE_PENALTY_S * health.failure_share(now_s)
    )
