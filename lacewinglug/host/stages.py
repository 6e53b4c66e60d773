"""Plans how many engines of a service run prefill and how many run decode."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from lacewinglug.host.model import RunnerEntry, Stage

DECODE_SHARE = 0.3
"""Share of the engines that run decode; decode batches well, as forty streams in a
batch slow each of them by only half, while prefill gains nothing from batching."""
MIN_DECODE_ENGINES = 2
"""Minimum number of decode engines, so that one of them may fail."""
STREAMS_PER_DECODE_ENGINE = 40
"""Streams on one decode engine at which each gets half the token rate."""
MIN_IMBALANCE = 2
"""Minimum difference from the planned number of decode engines at which stages are
changed, so that the crash of a single engine changes nothing."""
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


def plan_stages(
    entries: Sequence[RunnerEntry], *, streams: float, without_decode_s: float = 0.0
) -> list[StageChange]:
    """Return the stage changes that balance the engines of a service.

    :param entries: engines that accept work.
    :param streams: streams that run on all of them.
    :param without_decode_s: time since a decode engine was last available, in s;
        infinite if the former ones will not return.
    """
    prefill = [item for item in entries if item.stage is Stage.PREFILL]
    decode = [item for item in entries if item.stage is Stage.DECODE]
    total = len(prefill) + len(decode)
    if total < MIN_ENGINES_TO_BALANCE:
        return _plan_small_fleet(prefill, decode, without_decode_s)
    wanted_decode = max(
        MIN_DECODE_ENGINES,
        math.ceil(total * DECODE_SHARE),
        math.ceil(streams / STREAMS_PER_DECODE_ENGINE),
    )
    wanted_decode = min(wanted_decode, total - 1)
    surplus = len(decode) - wanted_decode
    if abs(surplus) < MIN_IMBALANCE and prefill and decode:
        return []
    if surplus > 0:
        return [
            StageChange(entry=item, stage=Stage.PREFILL)
            for item in _choose_spread(decode, keep=wanted_decode)
        ]
    return [
        StageChange(entry=item, stage=Stage.DECODE)
        for item in _choose_spread(prefill, keep=total - wanted_decode)
    ]


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
