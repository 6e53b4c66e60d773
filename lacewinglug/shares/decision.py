"""Divides a capacity among organisations by max-min fairness with a minimum."""

from collections.abc import Mapping

GUARANTEED_FRACTION = 1 / 3
"""Part of the served fraction of all work that each organisation gets at least of its
own work. Max-min shares alone have no such minimum: one organisation with nine tenths
of the demand among 73 would get less than 2 % of the mean fraction. The bound to keep
is a quarter; the rest covers errors of the estimated demand."""


def fair_shares(
    demands: Mapping[str, float],
    *,
    capacity: float,
    weights: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return the share of each organisation, in the unit of the demands.

    An organisation gets its demand, or else the larger of a common level times its
    weight and its guaranteed minimum. The level is the one at which the shares use the
    capacity.

    :param demands: demand by organisation, not negative.
    :param capacity: capacity to divide, not negative.
    :param weights: weight by organisation, more than 0; 1 where none is given.
    """
    limits = fair_limits(demands, capacity=capacity, weights=weights)
    return {name: min(demand, limits[name]) for name, demand in demands.items()}


def fair_limits(
    demands: Mapping[str, float],
    *,
    capacity: float,
    weights: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return up to which demand each organisation would get all of it.

    Of an organisation that gets its whole demand this is more than the demand, so that
    the noise of a measured demand does not limit it.
    """
    total = sum(demands.values())
    if total <= capacity:
        return {name: max(capacity, demand) for name, demand in demands.items()}
    minimum = GUARANTEED_FRACTION * capacity / total
    # Between two of these levels, the sum of the shares rises in a straight line: an
    # organisation rises with the level above its minimum, and stops at its demand.
    turns: list[tuple[float, float]] = []
    for name, demand in demands.items():
        weight = _weight(weights, name)
        turns.append((minimum * demand / weight, weight))
        turns.append((demand / weight, -weight))
    turns.sort()
    level, slope, left = 0.0, 0.0, capacity * (1 - GUARANTEED_FRACTION)
    for turn, change in turns:
        needed = (turn - level) * slope
        if needed > left:
            break
        left -= needed
        level = turn
        slope += change
    if slope > 0.0:
        level += left / slope
    return {
        name: max(minimum * demand, _weight(weights, name) * level)
        for name, demand in demands.items()
    }


def _weight(weights: Mapping[str, float] | None, name: str) -> float:
    return 1.0 if weights is None else weights.get(name, 1.0)
