"""Plans the engine roles of a service: one change at a time, gain over cost."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import product

from lacewinglug.routing.rates import EngineRates

HORIZON_S = 40.0
MIN_GAIN_S = 16.0
URGENT_GAIN_S = 40.0
MAX_DEMAND_AGE_S = 5.0
HEADROOM = 0.95
DRAIN_S = 1.0
MIXED = "mixed"
MIXED_EXTRA = 2.0
_MAX_CHANGES_AHEAD = 3
_BISECTIONS = 14


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedRole:
    """An engine role that the planner may choose.

    :param rates: rates in the role.
    :param change_s: seconds that a change to the role takes an engine away.
    """

    rates: EngineRates
    change_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedRunner:
    """An engine as the planner sees it.

    :param name: name of the runner.
    :param role: role in force, or being changed to.
    :param in_flight: requests in progress or queued.
    :param changing: whether a change is under way.
    :param frozen: whether its role may not change now.
    """

    name: str
    role: str
    in_flight: int = 0
    changing: bool = False
    frozen: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Demand of a service, refused work included.

    :param prefill_tokens_per_s: prompt tokens to compute a second.
    :param output_tokens_per_s: tokens to generate a second.
    :param age_s: age of the oldest figure, in seconds.
    """

    prefill_tokens_per_s: float
    output_tokens_per_s: float
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoleChange:
    """A change of one engine's role.

    :param runner: name of the runner.
    :param role: role to change to.
    :param gain_s: engine seconds gained over the horizon, cost taken off.
    """

    runner: str
    role: str
    gain_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """No change.

    :param reason: why, in words.
    """

    reason: str


def plan_change(
    runners: Sequence[PlannedRunner],
    roles: Mapping[str, PlannedRole],
    demand: Demand,
    settled: Demand | None = None,
) -> RoleChange | Hold:
    """Return the next change of role that pays for itself, or hold.

    A small gain must show in the settled demand too, so that noise of the last
    seconds changes nothing; an urgent one need not wait for it.

    :param runners: engines of the service.
    :param roles: roles that the service allows, by name.
    :param demand: demand of the last seconds.
    :param settled: demand over a longer time, the same when not given.
    """
    settled = settled or demand
    if demand.age_s > MAX_DEMAND_AGE_S:
        return Hold(reason="the figures of demand are too old")
    if any(runner.changing for runner in runners):
        return Hold(reason="a change is under way")
    current = Counter(runner.role for runner in runners)
    best = Hold(reason="no change gains more than it costs")
    best_gain_s = MIN_GAIN_S
    target = current
    for assignment, changes in _reachable(current, tuple(roles)):
        gain_s = _gain_s(current, assignment, changes, roles, demand)
        if gain_s <= best_gain_s:
            continue
        if gain_s < URGENT_GAIN_S:
            settled_s = _gain_s(current, assignment, changes, roles, settled)
            if settled_s <= MIN_GAIN_S:
                continue
        best_gain_s = gain_s
        target = assignment
    if target == current:
        return best
    return _first_step(runners, current, target, best_gain_s) or best


def served_ratio(
    counts: Mapping[str, int], roles: Mapping[str, PlannedRole], demand: Demand
) -> float:
    """Return how many times over an assignment of roles can serve a demand."""
    engines = [
        (count, roles[role].rates) for role, count in counts.items() if count > 0
    ]
    engines.sort(
        key=lambda item: item[1].prefill_tokens_per_s / item[1].decode_tokens_per_s,
        reverse=True,
    )
    low = 0.0
    high = 4.0
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        if _can_serve(engines, demand, middle):
            low = middle
        else:
            high = middle
    return low


def _can_serve(
    engines: Sequence[tuple[int, EngineRates]], demand: Demand, ratio: float
) -> bool:
    """Return whether engines, the best at prefill first, serve a demand."""
    prefill_tokens = demand.prefill_tokens_per_s * ratio
    output_tokens = demand.output_tokens_per_s * ratio
    for count, rates in engines:
        used = min(float(count), prefill_tokens / rates.prefill_tokens_per_s)
        prefill_tokens -= used * rates.prefill_tokens_per_s
        output_tokens -= (count - used) * rates.decode_tokens_per_s
    return prefill_tokens <= 1e-6 and output_tokens <= 1e-6


def _reachable(
    current: Counter[str], roles: tuple[str, ...]
) -> list[tuple[Counter[str], int]]:
    """Return the assignments a few changes away, with the number of changes."""
    pairs = [pair for pair in product(roles, roles) if pair[0] != pair[1]]
    found = {_key(current, roles): (current, 0)}
    frontier = [current]
    for changes in range(1, _MAX_CHANGES_AHEAD + 1):
        following = []
        for assignment in frontier:
            for old, new in pairs:
                if assignment[old] == 0:
                    continue
                moved = Counter(assignment)
                moved[old] -= 1
                moved[new] += 1
                key = _key(moved, roles)
                if key not in found:
                    found[key] = (moved, changes)
                    following.append(moved)
        frontier = following
    return list(found.values())[1:]


def _key(counts: Counter[str], roles: tuple[str, ...]) -> tuple[int, ...]:
    return tuple(counts[role] for role in roles)


def _gain_s(
    current: Counter[str],
    assignment: Counter[str],
    changes: int,
    roles: Mapping[str, PlannedRole],
    demand: Demand,
) -> float:
    """Return engine seconds of demand gained over the horizon, less the cost."""
    before = _value(served_ratio(current, roles, demand))
    after = _value(served_ratio(assignment, roles, demand))
    engines = current.total()
    change_s = max(roles[role].change_s for role in roles) + DRAIN_S
    gained_s = engines * (after - before) * HORIZON_S
    into_mixed = max(0, assignment[MIXED] - current[MIXED])
    return gained_s - (changes + MIXED_EXTRA * into_mixed) * change_s


def _value(ratio: float) -> float:
    """Return the share of the demand that a served ratio stands for."""
    return min(1.0, ratio * HEADROOM)


def _first_step(
    runners: Sequence[PlannedRunner],
    current: Counter[str],
    target: Counter[str],
    gain_s: float,
) -> RoleChange | None:
    """Return the change towards a target of the engine with the least work."""
    surplus = current - target
    wanted = target - current
    movable = [item for item in runners if surplus[item.role] and not item.frozen]
    if not movable:
        return None
    runner = min(movable, key=lambda item: (item.in_flight, item.name))
    role = max(wanted, key=lambda name: wanted[name])
    return RoleChange(runner=runner.name, role=role, gain_s=gain_s)
