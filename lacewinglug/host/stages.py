"""Plans how many engines read prompts and how many run streams."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from lacewinglug.host.model import RunnerEntry, Stage

DECODE_SHARE = 0.3
"""Share of the engines that run streams; a batch of forty streams slows each by
half only, while reading has no such gain."""
FEWEST_DECODE = 2
"""Engines that run streams in any case, so that one may fail."""
STREAMS_PER_ENGINE = 40
"""Streams at one engine at which their tokens come half as fast."""
SMALLEST_GAP = 2
"""Engines by which the fleet must be off before any is changed, so that a crash
of one changes nothing."""
FEWEST_ENGINES = 4
"""Engines of a service below which none is changed while one runs streams."""
LOST_FOR_S = 15.0
"""Time without an engine that runs streams after which those that fell silent are
taken as gone, in s; crashed ones are back within about ten, sooner than a change
pays."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """An engine that is to take another stage.

    :param entry: the engine.
    :param stage: the stage.
    """

    entry: RunnerEntry
    stage: Stage


def plan_stages(
    entries: Sequence[RunnerEntry], *, streams: float, without_runner_s: float = 0.0
) -> list[StageChange]:
    """Return the changes that bring the fleet of a service to its plan.

    :param entries: engines that take work.
    :param streams: streams that run at all of them.
    :param without_runner_s: time for which none of them could run streams, in s;
        infinite where those that could will not come back.
    """
    readers = [item for item in entries if item.stage is Stage.PREFILL]
    runners = [item for item in entries if item.stage is Stage.DECODE]
    total = len(readers) + len(runners)
    if total < FEWEST_ENGINES:
        return _plan_few(readers, runners, without_runner_s)
    wanted = max(
        FEWEST_DECODE,
        math.ceil(total * DECODE_SHARE),
        math.ceil(streams / STREAMS_PER_ENGINE),
    )
    wanted = min(wanted, total - 1)
    surplus = len(runners) - wanted
    if abs(surplus) < SMALLEST_GAP and readers and runners:
        return []
    if surplus > 0:
        return [
            StageChange(entry=item, stage=Stage.PREFILL)
            for item in _spread(runners, keep=wanted)
        ]
    return [
        StageChange(entry=item, stage=Stage.DECODE)
        for item in _spread(readers, keep=total - wanted)
    ]


def _plan_few(
    readers: Sequence[RunnerEntry],
    runners: Sequence[RunnerEntry],
    without_runner_s: float,
) -> list[StageChange]:
    """Return the change that lets a few engines serve; those that only read cannot."""
    if runners or not readers or without_runner_s < LOST_FOR_S:
        return []
    chosen = _spread(readers, keep=len(readers) - 1)
    return [StageChange(entry=item, stage=Stage.DECODE) for item in chosen]


def _spread(entries: Sequence[RunnerEntry], *, keep: int) -> list[RunnerEntry]:
    """Return the engines to change, so that those kept lie in many zones."""
    counts: dict[str, int] = {}
    left = list(entries)
    for item in left:
        counts[item.zone] = counts.get(item.zone, 0) + 1
    chosen = []
    while len(left) > keep:
        item = max(left, key=lambda entry: (counts[entry.zone], entry.instance))
        counts[item.zone] -= 1
        left.remove(item)
        chosen.append(item)
    return chosen
