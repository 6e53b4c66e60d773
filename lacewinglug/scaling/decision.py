"""Decides the number of runners of each kind in each zone.

The decision is pure: it takes the state of the runners and the demand, and returns the
counts to order next. Runners are replaced in two steps, since a decision first orders
what is missing and removes runners only once enough others serve.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from lacewinglug.scaling.model import (
    EngineDemand,
    FleetState,
    RunnerKind,
    ScaleRules,
    Subject,
)

STAFFING_MARGIN = 2.0
"""Engines beyond the busy ones of a stage, in square roots of their number: with such a
margin the queue of a pool stays equally short at any size. A utilisation of one half at
all sizes kept twice the engines that a large pool needs."""
MAX_REMOVED_PER_ZONE = 2
"""Runners of a zone that one step removes while there is load: their prompt caches are
lost, and the prompts have to be prefilled again elsewhere."""
MAX_REMOVED_FRACTION = 0.125
"""Fraction of all serving runners that one step removes, for the same reason."""
RAISE_MARGIN = 0.1
"""Runners ordered beyond the required number, relative to it, if some are missing; a
rising wave would otherwise need an order for each single runner."""
MIN_EXCESS = 6
"""Reclaimable runners beyond the wanted number up to which none are removed. Six of
them cost about as much as one normal runner."""
MIN_EXCESS_FRACTION = 1.0
"""The same, relative to the wanted number. At half of it the load model saves 0.0026 of
the value of a day, with a third more calls and fewer cached prompts."""
MIN_STAGE_FRACTION = 0.2
"""Fraction of all runners that stay in each stage if its demand is unknown or high.
Engines may register with little more than a third of them in one stage, so that a third
blocked the removal of almost every runner; the planner of stages restores the balance.
"""

_KINDS = (RunnerKind.NORMAL, RunnerKind.RECLAIMABLE)


@dataclass(frozen=True, kw_only=True, slots=True)
class ScaleDecision:
    """Counts to order next.

    :param counts: wanted number of runners of each kind in each zone.
    :param required: runners that have to be left after the loss of the reclaimable
        ones of one zone.
    """

    counts: Mapping[Subject, int]
    required: int


def decide(state: FleetState, rules: ScaleRules) -> ScaleDecision:
    """Return the counts to order next."""
    required = required_engines(state)
    normal = {zone: _expected(state, zone, RunnerKind.NORMAL) for zone in state.regions}
    reclaimable = _choose_reclaimable(state, rules, required=required)
    normal |= _choose_additional_normal(
        state, rules, required=required, reclaimable=reclaimable
    )
    for zone, count in _choose_removed_normal(state, rules, required=required).items():
        normal[zone] -= count
    counts = {}
    for zone in state.regions:
        for kind, wanted, other in (
            (RunnerKind.NORMAL, normal[zone], RunnerKind.RECLAIMABLE),
            (RunnerKind.RECLAIMABLE, reclaimable[zone], RunnerKind.NORMAL),
        ):
            subject = Subject(zone=zone, kind=kind)
            counts[subject] = _limit(state, rules, subject, wanted=wanted, other=other)
        _apply_maximum(counts, zone, rules)
    return ScaleDecision(counts=counts, required=required)


def _limit(
    state: FleetState,
    rules: ScaleRules,
    subject: Subject,
    *,
    wanted: int,
    other: RunnerKind,
) -> int:
    """Return a wanted count within the maximum of the zone.

    Both kinds count against it until a removed runner has left. A raised count is never
    below the one that the platform aims at, which would remove runners that are only
    out of sight.
    """
    present = state.get(subject.zone, subject.kind)
    if wanted <= present.expected:
        return wanted
    others = state.get(subject.zone, other)
    room = rules.max_per_zone - max(others.registered, others.expected, others.ordered)
    return max(present.expected, min(max(wanted, present.ordered), room))


def _apply_maximum(counts: dict[Subject, int], zone: str, rules: ScaleRules) -> None:
    """Lower the counts of a zone that has more than a lowered maximum allows."""
    normal, reclaimable = (Subject(zone=zone, kind=kind) for kind in _KINDS)
    counts[normal] = min(counts[normal], rules.max_per_zone)
    counts[reclaimable] = min(counts[reclaimable], rules.max_per_zone - counts[normal])


def required_engines(state: FleetState) -> int:
    """Return the runners that have to be left after a reclaim.

    Until the demand is settled it is the baseline if that is higher.
    """
    demand = state.demand
    needed = 0 if demand is None else _busy_engines(demand)
    if demand is None or not state.demand_is_settled:
        return max(needed, state.baseline)
    return needed


def _busy_engines(demand: EngineDemand) -> int:
    return math.ceil(_staffed(demand.prefill) + _staffed(demand.decode))


def _staffed(busy: float) -> float:
    """Return the engines that keep the queue short if this many are busy."""
    return busy + STAFFING_MARGIN * math.sqrt(busy)


def _expected(state: FleetState, zone: str, kind: RunnerKind) -> int:
    return state.get(zone, kind).expected


def _choose_reclaimable(
    state: FleetState, rules: ScaleRules, *, required: int
) -> dict[str, int]:
    """Return the wanted number of reclaimable runners by zone.

    The normal runners that stay and the reclaimable ones without those of any one zone
    have to suffice.
    """
    present = {
        zone: _expected(state, zone, RunnerKind.RECLAIMABLE) for zone in state.regions
    }
    anchors = _anchor_zones(state, rules)
    least = {zone: 0 if zone in anchors else rules.least for zone in state.regions}
    rest = required - rules.least * len(anchors)
    wanted = _fill(present, least, state, rules, rest=rest)
    if not state.may_remove or not state.demand_is_settled:
        return wanted
    fewer = _fill(dict.fromkeys(present, 0), least, state, rules, rest=rest)
    total = sum(fewer.values())
    excess = sum(present.values()) - total
    if (
        not _suffices(fewer, rest=rest)
        or excess < max(MIN_EXCESS, MIN_EXCESS_FRACTION * total)
        or any(state.get(zone, kind).booting for zone in present for kind in _KINDS)
    ):
        return wanted
    left = _removable_total(state)
    for zone in sorted(present, key=lambda zone: _usefulness(state, rules, zone)):
        surplus = min(present[zone] - fewer[zone], MAX_REMOVED_PER_ZONE, left, excess)
        if surplus > 0:
            wanted[zone] = present[zone] - surplus
            left -= surplus
            excess -= surplus
    if not _keeps_stages(
        state,
        {
            Subject(zone=zone, kind=RunnerKind.RECLAIMABLE): present[zone] - count
            for zone, count in wanted.items()
            if count < present[zone]
        },
    ):
        return present
    return wanted


def _anchor_zones(state: FleetState, rules: ScaleRules) -> set[str]:
    """Return the zones that keep normal runners: the cheapest one of each region."""
    cheapest: dict[str, str] = {}
    for zone, region in state.regions.items():
        known = cheapest.get(region, zone)
        cheapest[region] = min(
            (known, zone),
            key=lambda item: (rules.price(item, RunnerKind.NORMAL), item),
        )
    return set(cheapest.values())


def _normal_floor(
    zone: str, rules: ScaleRules, *, anchors: set[str], reclaimable: int
) -> int:
    """Return the minimum number of normal runners in a zone.

    :param reclaimable: reclaimable runners there, which count for the minimum of the
        zone.
    """
    if zone in anchors:
        return rules.least
    return max(0, rules.least - reclaimable)


def _fill(
    counts: Mapping[str, int],
    least: Mapping[str, int],
    state: FleetState,
    rules: ScaleRules,
    *,
    rest: int,
) -> dict[str, int]:
    """Return the counts with runners added until they suffice, or no zone has room.

    Cheap zones get more, but not all: what a zone loses at once is the reserve that has
    to be paid for.
    """
    prices = {
        zone: rules.price(zone, RunnerKind.RECLAIMABLE)
        for zone in counts
        if _can_order(state, rules, zone)
    }
    filled = {
        zone: max(count, least[zone]) if zone in prices else count
        for zone, count in counts.items()
    }
    if _suffices(filled, rest=rest):
        return filled
    rest = math.ceil(rest * (1 + RAISE_MARGIN))
    mean = max(1.0, rest / max(1, len(filled)))
    limit = rules.max_per_zone - rules.least
    while not _suffices(filled, rest=rest):
        open_zones = [zone for zone in prices if filled[zone] < limit]
        largest = max(filled.values())
        if not open_zones or (
            # One more in the largest zone only raises what a reclaim takes.
            len(open_zones) == 1 and filled[open_zones[0]] == largest
        ):
            break
        zone = min(
            open_zones,
            key=lambda zone: (
                prices[zone] * (1 + filled[zone] / mean),
                filled[zone],
                zone,
            ),
        )
        filled[zone] += 1
    return filled


def _can_order(state: FleetState, rules: ScaleRules, zone: str) -> bool:
    """Return whether reclaimable runners can be had in a zone, and are cheaper."""
    return (
        rules.reclaimable_price < 1.0
        and state.get(zone, RunnerKind.RECLAIMABLE).available
    )


def _suffices(reclaimable: Mapping[str, int], *, rest: int) -> bool:
    """Return whether enough runners are left when the largest zone is reclaimed."""
    counts = reclaimable.values()
    return sum(counts) - max(counts, default=0) >= rest


def _choose_additional_normal(
    state: FleetState,
    rules: ScaleRules,
    *,
    required: int,
    reclaimable: Mapping[str, int],
) -> dict[str, int]:
    """Return raised numbers of normal runners, by zone.

    They make up for reclaimable ones that are not available, without the reserve, and
    keep the minimum of each zone.
    """
    counts = {zone: _expected(state, zone, RunnerKind.NORMAL) for zone in state.regions}
    anchors = _anchor_zones(state, rules)
    for zone, count in counts.items():
        floor = _normal_floor(
            zone, rules, anchors=anchors, reclaimable=reclaimable[zone]
        )
        counts[zone] = max(count, floor)
    missing = required - sum(counts.values()) - sum(reclaimable.values())
    for zone in sorted(
        counts, key=lambda item: (rules.price(item, RunnerKind.NORMAL), item)
    ):
        if not state.get(zone, RunnerKind.NORMAL).available:
            continue
        room = rules.max_per_zone - counts[zone] - reclaimable[zone]
        added = max(0, min(room, missing))
        counts[zone] += added
        missing -= added
    return counts


def _choose_removed_normal(
    state: FleetState, rules: ScaleRules, *, required: int
) -> dict[str, int]:
    """Return how many normal runners to remove now, by zone.

    Only runners that serve count, so that replacements are never assumed.
    """
    removed = dict.fromkeys(state.regions, 0)
    if not state.may_remove:
        return removed
    serving = {
        subject: state.get(subject.zone, subject.kind).serving
        for zone in state.regions
        for subject in (Subject(zone=zone, kind=kind) for kind in _KINDS)
    }
    largest = max(
        state.get(zone, RunnerKind.RECLAIMABLE).serving for zone in state.regions
    )
    if state.demand is None or not state.demand_is_settled:
        required = max(required, state.found)
    left = sum(serving.values()) - largest - required
    if not state.idle:
        left = min(left, _removable_total(state))
    per_zone = rules.max_per_zone if state.idle else MAX_REMOVED_PER_ZONE
    anchors = _anchor_zones(state, rules)
    floors = {
        zone: _normal_floor(
            zone,
            rules,
            anchors=anchors,
            reclaimable=serving[Subject(zone=zone, kind=RunnerKind.RECLAIMABLE)],
        )
        for zone in state.regions
    }
    order = sorted(state.regions, key=lambda zone: _usefulness(state, rules, zone))
    progress = True
    while left > 0 and progress:
        progress = False
        for zone in order:
            present = serving[Subject(zone=zone, kind=RunnerKind.NORMAL)]
            if left <= 0 or removed[zone] >= min(per_zone, present - floors[zone]):
                continue
            tried = removed | {zone: removed[zone] + 1}
            if _keeps_stages(state, _as_normal(tried)):
                removed = tried
                left -= 1
                progress = True
    return removed


def _as_normal(counts: Mapping[str, int]) -> dict[Subject, int]:
    return {
        Subject(zone=zone, kind=RunnerKind.NORMAL): count
        for zone, count in counts.items()
    }


def _removable_total(state: FleetState) -> int:
    serving = sum(item.serving for item in state.subjects.values())
    return max(MAX_REMOVED_PER_ZONE, int(serving * MAX_REMOVED_FRACTION))


def _usefulness(
    state: FleetState, rules: ScaleRules, zone: str
) -> tuple[float, float, str]:
    """Return the sort key of a zone whose runners are removed early or late.

    Runners with few cached tokens for their price are removed first.
    """
    normal = state.get(zone, RunnerKind.NORMAL)
    price = rules.price(zone, RunnerKind.NORMAL)
    tokens = normal.cached_tokens / max(1, normal.registered)
    return tokens / max(price, 1e-6), -price, zone


def _keeps_stages(state: FleetState, removed: Mapping[Subject, int]) -> bool:
    """Return whether the mix of stages stays usable whichever runners are removed.

    An order does not say which runners leave: all of them may be of one stage.
    """
    prefill = {subject: item.stages.prefill for subject, item in state.subjects.items()}
    decode = {subject: item.stages.decode for subject, item in state.subjects.items()}
    registered = sum(item.registered for item in state.subjects.values())
    removed_total = sum(removed.values())
    demand = state.demand
    for counts, busy in (
        (prefill, None if demand is None else demand.prefill),
        (decode, None if demand is None else demand.decode),
    ):
        if not any(counts.values()):
            continue
        floor = MIN_STAGE_FRACTION * (registered - removed_total)
        if busy is not None:
            floor = min(floor, _staffed(busy))
        before, after = _by_region(state, counts, removed)
        if any(before[region] and not after[region] for region in before):
            return False
        if removed_total and sum(after.values()) < floor:
            return False
    return True


def _by_region(
    state: FleetState, counts: Mapping[Subject, int], removed: Mapping[Subject, int]
) -> tuple[dict[str, int], dict[str, int]]:
    """Return the runners of a stage by region, before and at worst after a removal."""
    before: dict[str, int] = {}
    after: dict[str, int] = {}
    for subject, count in counts.items():
        region = state.regions.get(subject.zone, subject.zone)
        left = max(0, count - removed.get(subject, 0))
        before[region] = before.get(region, 0) + count
        after[region] = after.get(region, 0) + left
    return before, after
