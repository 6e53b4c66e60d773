"""Plans the engine roles of a service.

Changes one role at a time, and only if the gain in served demand exceeds the cost of
the change.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import product

from lacewinglug.routing.rates import EngineRates

PLANNING_HORIZON_S = 40.0
MIN_GAIN_S = 16.0
URGENT_GAIN_S = 40.0
MAX_DEMAND_AGE_S = 5.0
TARGET_UTILISATION = 0.95
DRAIN_S = 1.0
MIXED_ROLE = "mixed"
# Changes that are charged in addition for each engine that becomes mixed.
MIXED_EXTRA_CHANGES = 2.0
_MAX_PLANNED_CHANGES = 3
_BISECTION_STEPS = 14


@dataclass(frozen=True, kw_only=True, slots=True)
class RoleOption:
    """An engine role that the planner may choose.

    :param rates: rates of an engine in the role.
    :param change_s: time that an engine is unavailable while it changes to the role, in
        seconds.
    """

    rates: EngineRates
    change_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRoleState:
    """Current role of an engine.

    :param name: name of the runner.
    :param role: current role, or the target of a change in progress.
    :param in_flight: requests running or queued.
    :param is_changing: whether a role change is in progress.
    :param is_pinned: whether the role must not change now.
    """

    name: str
    role: str
    in_flight: int = 0
    is_changing: bool = False
    is_pinned: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Demand on a service, including refused requests.

    :param prefill_tokens_per_s: prompt tokens to prefill per second.
    :param output_tokens_per_s: tokens to generate per second.
    :param age_s: age of the oldest sample, in seconds.
    """

    prefill_tokens_per_s: float
    output_tokens_per_s: float
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoleChange:
    """A change of one engine's role.

    :param runner: name of the runner.
    :param role: new role.
    :param gain_s: net gain over the planning horizon, in engine seconds.
    """

    runner: str
    role: str
    gain_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class NoChange:
    """The roles stay as they are.

    :param reason: human-readable reason.
    """

    reason: str


def plan_role_change(
    runners: Sequence[EngineRoleState],
    roles: Mapping[str, RoleOption],
    demand: Demand,
    sustained: Demand | None = None,
) -> RoleChange | NoChange:
    """Return the next role change that pays off.

    A small gain must also hold for the sustained demand, so that short-term noise
    triggers no change. A large gain is acted on at once.

    :param runners: engines of the service.
    :param roles: roles that the service allows, by name.
    :param demand: recent demand.
    :param sustained: demand over a longer window, the recent demand by default.
    """
    sustained = sustained or demand
    if demand.age_s > MAX_DEMAND_AGE_S:
        return NoChange(reason="the demand samples are too old")
    if any(runner.is_changing for runner in runners):
        return NoChange(reason="a role change is in progress")
    current = Counter(runner.role for runner in runners)
    no_change = NoChange(reason="no role change gains more than it costs")
    best_gain_s = MIN_GAIN_S
    target = current
    for assignment, changes in _reachable_assignments(current, tuple(roles)):
        gain_s = _net_gain_s(current, assignment, changes, roles, demand)
        if gain_s <= best_gain_s:
            continue
        if gain_s < URGENT_GAIN_S:
            sustained_gain_s = _net_gain_s(
                current, assignment, changes, roles, sustained
            )
            if sustained_gain_s <= MIN_GAIN_S:
                continue
        best_gain_s = gain_s
        target = assignment
    if target == current:
        return no_change
    return _first_change(runners, current, target, best_gain_s) or no_change


def max_load_factor(
    counts: Mapping[str, int], roles: Mapping[str, RoleOption], demand: Demand
) -> float:
    """Return the largest multiple of a demand that an assignment can serve."""
    engines = [
        (count, roles[role].rates) for role, count in counts.items() if count > 0
    ]
    engines.sort(
        key=lambda item: item[1].prefill_tokens_per_s / item[1].decode_tokens_per_s,
        reverse=True,
    )
    low = 0.0
    high = 4.0
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2
        if _can_serve(engines, demand, middle):
            low = middle
        else:
            high = middle
    return low


def _can_serve(
    engines: Sequence[tuple[int, EngineRates]], demand: Demand, load_factor: float
) -> bool:
    """Return whether engines can serve a multiple of a demand.

    :param engines: number and rates of engines by role, those with the highest ratio
        of prefill to decode rate first.
    :param demand: the demand.
    :param load_factor: multiple of the demand to serve.
    """
    prefill_tokens = demand.prefill_tokens_per_s * load_factor
    output_tokens = demand.output_tokens_per_s * load_factor
    for count, rates in engines:
        prefill_engines = min(float(count), prefill_tokens / rates.prefill_tokens_per_s)
        prefill_tokens -= prefill_engines * rates.prefill_tokens_per_s
        output_tokens -= (count - prefill_engines) * rates.decode_tokens_per_s
    return prefill_tokens <= 1e-6 and output_tokens <= 1e-6


def _reachable_assignments(
    current: Counter[str], roles: tuple[str, ...]
) -> list[tuple[Counter[str], int]]:
    """Return the assignments within a few changes, with the number of changes."""
    role_pairs = [pair for pair in product(roles, roles) if pair[0] != pair[1]]
    found = {_assignment_key(current, roles): (current, 0)}
    frontier = [current]
    for changes in range(1, _MAX_PLANNED_CHANGES + 1):
        next_frontier = []
        for assignment in frontier:
            for old, new in role_pairs:
                if assignment[old] == 0:
                    continue
                changed = Counter(assignment)
                changed[old] -= 1
                changed[new] += 1
                key = _assignment_key(changed, roles)
                if key not in found:
                    found[key] = (changed, changes)
                    next_frontier.append(changed)
        frontier = next_frontier
    return list(found.values())[1:]


def _assignment_key(counts: Counter[str], roles: tuple[str, ...]) -> tuple[int, ...]:
    return tuple(counts[role] for role in roles)


def _net_gain_s(
    current: Counter[str],
    assignment: Counter[str],
    changes: int,
    roles: Mapping[str, RoleOption],
    demand: Demand,
) -> float:
    """Return the net gain over the planning horizon, in engine seconds."""
    before = _served_share(max_load_factor(current, roles, demand))
    after = _served_share(max_load_factor(assignment, roles, demand))
    engines = current.total()
    change_s = max(roles[role].change_s for role in roles) + DRAIN_S
    gained_s = engines * (after - before) * PLANNING_HORIZON_S
    added_mixed = max(0, assignment[MIXED_ROLE] - current[MIXED_ROLE])
    return gained_s - (changes + MIXED_EXTRA_CHANGES * added_mixed) * change_s


def _served_share(load_factor: float) -> float:
    """Return the share of the demand that is served, with some headroom."""
    return min(1.0, load_factor * TARGET_UTILISATION)


def _first_change(
    runners: Sequence[EngineRoleState],
    current: Counter[str],
    target: Counter[str],
    gain_s: float,
) -> RoleChange | None:
    """Return a change towards the target, of the engine with the least load."""
    surplus = current - target
    shortage = target - current
    movable = [item for item in runners if surplus[item.role] and not item.is_pinned]
    if not movable:
        return None
    runner = min(movable, key=lambda item: (item.in_flight, item.name))
    role = max(shortage, key=lambda name: shortage[name])
    return RoleChange(runner=runner.name, role=role, gain_s=gain_s)
