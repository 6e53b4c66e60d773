"""Plans how many engines of a service run prefill and how many run decode."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from lacewinglug.host.distance import TRANSFER_TIME_FACTOR, Distance
from lacewinglug.host.model import EngineProfile, RunnerEntry, Stage

MIN_DECODE_ENGINES = 2
"""Minimum number of decode engines, so that one of them may fail."""
MIN_ENGINES_PER_REGION = 3
"""Number of engines per decode engine up to which each region gets one of its own; KV
cache transfers between regions take ten times as long."""
MAX_BATCH_FILL = 0.33
"""Streams on a decode engine, relative to its maximum batch size, that use it up; a
fuller batch slows every stream."""
PEAK_DECAY_S = 60.0
"""Time constant of the exponential decay of the highest demand, in seconds. Stages are
planned for the peaks of the recent past."""
MAX_EXCESS_CONGESTION = 0.4
"""Congestion in excess of the least possible one, as a fraction, up to which no stage
is changed; a change takes an engine out of service for seconds."""
ACCEPTED_EXCESS_CONGESTION = 0.2
"""Excess congestion that is accepted after a change, to make fewer changes."""
MIN_CAPACITY_MARGIN = 0.05
"""Least share of its engines by which a stage is assumed to exceed its demand."""
MIN_ENGINES_TO_BALANCE = 4
"""Number of engines of a service below which no stage is changed as long as one of
them runs decode."""
DECODE_LOST_AFTER_S = 15.0
"""Time without a decode engine after which unresponsive ones are considered lost, in
s; crashed engines are back within about 10 s, before a stage change would pay off."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A change of an engine's stage.

    :param entry: the engine.
    :param stage: its new stage.
    """

    entry: RunnerEntry
    stage: Stage


@dataclass(frozen=True, kw_only=True, slots=True)
class StageDemand:
    """Load of the engines of a service, in engines that it keeps busy.

    :param prefill: engines busy with prefill, if all were in the prefill stage.
    :param decode: engines busy with decode.
    :param decode_stage_speed: prefill rate of an engine in the decode stage, relative
        to one in the prefill stage.
    :param in_place_share: share of the prefill work that decode engines may run without
        making the gaps of their streams too long.
    """

    prefill: float = 0.0
    decode: float = 0.0
    decode_stage_speed: float = 0.5
    in_place_share: float = 1.0

    @property
    def known(self) -> bool:
        """Whether there was any load."""
        return self.prefill > 0.0


@dataclass(kw_only=True)
class DemandPeak:
    """Keeps the highest demand of the recent past."""

    _peak: StageDemand = field(default_factory=StageDemand)
    _updated_at_s: float = -math.inf

    def record(self, demand: StageDemand, *, now_s: float) -> None:
        """Record the present demand."""
        kept = self.at(now_s=now_s)
        self._peak = StageDemand(
            prefill=max(kept.prefill, demand.prefill),
            decode=max(kept.decode, demand.decode),
            decode_stage_speed=demand.decode_stage_speed,
            in_place_share=demand.in_place_share,
        )
        self._updated_at_s = now_s

    def at(self, *, now_s: float) -> StageDemand:
        """Return the peak, decayed since it was recorded."""
        decay = math.exp(-max(0.0, now_s - self._updated_at_s) / PEAK_DECAY_S)
        return StageDemand(
            prefill=self._peak.prefill * decay,
            decode=self._peak.decode * decay,
            decode_stage_speed=self._peak.decode_stage_speed,
            in_place_share=self._peak.in_place_share,
        )


def decode_demand(
    profile: EngineProfile, *, streams: float, transferred_tokens_per_s: float
) -> float:
    """Return the engines that decode keeps busy.

    :param streams: streams that run on all engines.
    :param transferred_tokens_per_s: tokens whose KV cache decode engines fetch; an
        engine runs its transfers one after another.
    """
    batches = streams / (profile.slots * MAX_BATCH_FILL)
    bytes_per_s = transferred_tokens_per_s * profile.bytes_per_token
    links = (
        bytes_per_s
        / profile.link_bytes_per_s
        * TRANSFER_TIME_FACTOR[Distance.SAME_REGION]
    )
    return batches + links


def plan_stages(
    entries: Sequence[RunnerEntry],
    *,
    demand: StageDemand,
    regions: int = 1,
    without_decode_s: float = 0.0,
) -> list[StageChange]:
    """Return the stage changes that balance the engines of a service.

    :param entries: engines that accept work.
    :param demand: their load at its peak.
    :param regions: number of regions with such engines.
    :param without_decode_s: time since a decode engine was last available, in s;
        infinite if the former ones will not return.
    """
    prefill = [item for item in entries if item.stage is Stage.PREFILL]
    decode = [item for item in entries if item.stage is Stage.DECODE]
    total = len(prefill) + len(decode)
    if total < MIN_ENGINES_TO_BALANCE:
        return _plan_small_fleet(prefill, decode, without_decode_s)
    least_decode = max(
        MIN_DECODE_ENGINES, min(regions, total // MIN_ENGINES_PER_REGION)
    )
    if not demand.known:
        if prefill and len(decode) >= least_decode:
            return []
        # Without any load to go by, both stages are assumed to be equally busy.
        demand = StageDemand(prefill=total / 3, decode=total / 3)
    wanted_decode = _choose_decode_count(
        demand, present=len(decode), least=least_decode, total=total
    )
    if wanted_decode == len(decode):
        return []
    if wanted_decode < len(decode):
        return [
            StageChange(entry=item, stage=Stage.PREFILL)
            for item in _choose_spread(decode, keep=wanted_decode)
        ]
    return [
        StageChange(entry=item, stage=Stage.DECODE)
        for item in _choose_spread(prefill, keep=total - wanted_decode)
    ]


def _choose_decode_count(
    demand: StageDemand, *, present: int, least: int, total: int
) -> int:
    """Return the number of decode engines nearest to the present one that is good.

    :param present: present number of decode engines.
    :param least: minimum number of decode engines.
    :param total: number of engines; at least one of them runs prefill.
    """
    congestion = {
        count: _congestion(demand, decode=count, total=total)
        for count in range(least, total)
    }
    best = min(congestion.values())
    if present not in congestion:
        return min(congestion, key=lambda count: congestion[count])
    if congestion[present] <= best * (1.0 + MAX_EXCESS_CONGESTION):
        return present
    accepted = [
        count
        for count, value in congestion.items()
        if value <= best * (1.0 + ACCEPTED_EXCESS_CONGESTION)
    ]
    return min(accepted, key=lambda count: abs(count - present))


def _congestion(demand: StageDemand, *, decode: int, total: int) -> float:
    """Return the expected number of requests that queue in both stages.

    Decode engines run prefill, too, in the time that decode leaves them. Prompts that
    would make the gaps of their streams too long have the prefill engines only.
    """
    spare = max(0.0, decode - demand.decode)
    prefill_capacity = total - decode + demand.decode_stage_speed * spare
    separate = (1.0 - demand.in_place_share) * demand.prefill
    prefill_queue = max(
        _queue(demand.prefill, prefill_capacity), _queue(separate, total - decode)
    )
    return prefill_queue + _queue(demand.decode, decode)


def _queue(busy: float, engines: float) -> float:
    """Return the mean queue of engines of which a number is busy, as for M/M/1."""
    margin = max(engines - busy, MIN_CAPACITY_MARGIN * engines)
    return busy**2 / margin


def _plan_small_fleet(
    prefill: Sequence[RunnerEntry],
    decode: Sequence[RunnerEntry],
    without_decode_s: float,
) -> list[StageChange]:
    """Return the change that gives a small fleet without decode engines one.

    Engines that only run prefill cannot serve any prompt.
    """
    if decode or not prefill or without_decode_s < DECODE_LOST_AFTER_S:
        return []
    chosen = _choose_spread(prefill, keep=len(prefill) - 1)
    return [StageChange(entry=item, stage=Stage.DECODE) for item in chosen]


def _choose_spread(entries: Sequence[RunnerEntry], *, keep: int) -> list[RunnerEntry]:
    """Return the engines to change, so that the rest spreads over many zones."""
    zone_counts: dict[str, int] = {}
    remaining = list(entries)
    for item in remaining:
        zone_counts[item.zone] = zone_counts.get(item.zone, 0) + 1
    chosen = []
    while len(remaining) > keep:
        item = max(
            remaining, key=lambda entry: (zone_counts[entry.zone], entry.instance)
        )
        zone_counts[item.zone] -= 1
        remaining.remove(item)
        chosen.append(item)
    return chosen
