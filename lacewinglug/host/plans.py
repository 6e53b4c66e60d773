"""Prompts to place on engines, and the plans to choose from."""

import math
from dataclasses import dataclass

from lacewinglug.host.engines import TrackedEngine
from lacewinglug.host.residency import HashedPart

SEAT_COST_S = 0.006
"""Cost of each stream that runs at an engine already, in s; some sixty tokens,
each of which it makes a tenth of a millisecond slower."""
FAILURE_COST_S = 1.5
"""Cost of a run that fails, in s; a silent one is found after about that."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptJob:
    """A prompt to place.

    :param parts: its parts, chained.
    :param tokens: its length.
    :param priority: its rank, 0 first.
    :param size_bytes: size of its request.
    :param late_in_s: time until its first token is late.
    """

    parts: tuple[HashedPart, ...]
    tokens: int
    priority: int
    size_bytes: int = 0
    late_in_s: float = math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class Burden:
    """What is known of an engine besides its account.

    :param streams: streams that run there, of all hosts.
    :param failure_share: believed share of its runs that fail.
    """

    streams: int = 0
    failure_share: float = 0.0

    @property
    def cost_s(self) -> float:
        """Cost of one more stream there, in s."""
        return SEAT_COST_S * self.streams + FAILURE_COST_S * self.failure_share


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectPlan:
    """One engine reads the prompt and runs the stream.

    :param runner: the engine.
    :param fetch_from: engine whose cached parts it fetches first, None for none.
    :param expected_s: time to the first token.
    :param idle: whether the engine is believed to have nothing else to read.
    :param work_s: time that the engine reads.
    :param new_tokens: tokens that it reads.
    :param cost_s: expected time with the costs of others.
    """

    runner: TrackedEngine
    fetch_from: TrackedEngine | None
    expected_s: float
    idle: bool
    work_s: float
    new_tokens: int
    cost_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SplitPlan:
    """One engine reads the prompt, another fetches its KV cache and streams.

    :param reader: engine that reads.
    :param runner: engine that streams.
    :param fetch_from: engine whose cached parts the reader fetches first.
    :param read_s: time until the reader has answered.
    :param stream_s: time from the call of the runner to the first token.
    :param move_s: part of that in which the KV cache moves.
    :param idle: whether the reader is believed to have nothing else to read.
    :param work_s: time that the reader reads.
    :param new_tokens: tokens that it reads.
    :param cost_s: expected time with the costs of others.
    """

    reader: TrackedEngine
    runner: TrackedEngine
    fetch_from: TrackedEngine | None
    read_s: float
    stream_s: float
    move_s: float
    idle: bool
    work_s: float
    new_tokens: int
    cost_s: float

    @property
    def expected_s(self) -> float:
        """Time to the first token."""
        return self.read_s + self.stream_s


PromptPlan = DirectPlan | SplitPlan


def learn_reading(plan: PromptPlan, *, took_s: float) -> None:
    """Take the time that a reading took as a sample of its engine's pace.

    One that waited behind others says little of the engine.

    :param took_s: time to the first token, or to the reader's answer.
    """
    if not plan.idle:
        return
    match plan:
        case DirectPlan():
            engine, expected_s = plan.runner, plan.expected_s
        case SplitPlan():
            engine, expected_s = plan.reader, plan.read_s
    computed_s = plan.work_s / engine.prefill_slowdown.factor
    engine.prefill_slowdown.add_sample(
        nominal_s=computed_s, actual_s=took_s - (expected_s - plan.work_s)
    )


def learn_move(plan: SplitPlan, *, took_s: float) -> None:
    """Take the time to the first token as a sample of both engines' links.

    The link that is fast shows so in moves with other engines.

    :param took_s: time from the call of the runner.
    """
    pace = max(plan.reader.link_slowdown.factor, plan.runner.link_slowdown.factor)
    actual_s = took_s - (plan.stream_s - plan.move_s)
    for engine in (plan.reader, plan.runner):
        engine.link_slowdown.add_sample(nominal_s=plan.move_s / pace, actual_s=actual_s)
