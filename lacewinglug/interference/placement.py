"""Derives the gaps of streams from what a host knows of engines, for a prompt."""

import math
from collections.abc import Mapping, Sequence

from lacewinglug.host.backlog import PRIORITY_LEVELS
from lacewinglug.host.engines import TrackedEngine
from lacewinglug.host.model import EngineProfile, Route, Stage
from lacewinglug.host.plans import EngineLoad, PromptJob
from lacewinglug.host.speeds import PrefillWork, ServiceSpeeds
from lacewinglug.interference.gaps import LATE_STREAM_COST, EngineGaps, GapModel

STREAM_COUNT_AGE_S = 0.5
"""Typical age of the stream counts of other hosts, in s: heartbeats are sent every half
second in a region, every second to others, and relays add up to a quarter."""
MIN_STREAM_S = 0.01
"""Lower bound of the mean length of streams, in s."""


def make_gap_model(
    speeds: ServiceSpeeds,
    profile: EngineProfile,
    route: Route | None,
    *,
    tokens: int,
    shortest_gap_s: float | None,
    longest_target_s: float,
) -> GapModel | None:
    """Return the model of gaps for a prompt, None if its service has no target gap.

    :param speeds: estimated speeds of the service's engines.
    :param profile: constants of these engines.
    :param route: route of the prompt, None if it is of no concern.
    :param tokens: length of the prompt; later chunks take longer in a long one.
    :param shortest_gap_s: shortest target gap of the routes to the service.
    :param longest_target_s: longest latency target of these routes.
    """
    if shortest_gap_s is None:
        return None
    rhythm = speeds.rhythm
    chunk = PrefillWork(
        tokens=rhythm.chunk_tokens, token_pairs=rhythm.chunk_tokens * tokens / 2
    )
    own_target_s, own_exposed_share = math.inf, 0.0
    if route is not None and route.target_gap_s is not None:
        own_target_s = route.target_gap_s
        own_exposed_share = rhythm.exposed_share_of(route.name)
    return GapModel(
        target_s=shortest_gap_s,
        own_target_s=own_target_s,
        late_cost_s=LATE_STREAM_COST * longest_target_s,
        stride=profile.stride,
        step_s=rhythm.step_s,
        chunk_tokens=rhythm.chunk_tokens,
        chunk_s=speeds.of_stage(Stage.DECODE).expected_s(chunk),
        exposed_share=rhythm.exposed_share,
        own_exposed_share=own_exposed_share,
        stream_s=rhythm.stream_s,
    )


def expect_remote_streams(
    engines: Sequence[TrackedEngine], counts: Mapping[str, int]
) -> dict[str, float]:
    """Return the streams of other hosts to expect on each decode engine.

    The counts of a heartbeat are old. The shorter streams are, the less they tell of a
    single engine, while their mean over all engines remains.

    :param engines: engines of a service.
    :param counts: streams of all other hosts by engine instance.
    """
    decode = [item for item in engines if item.entry.stage is Stage.DECODE]
    if not decode:
        return {}
    known = {item.entry.instance: counts.get(item.entry.instance, 0) for item in decode}
    mean = sum(known.values()) / len(decode)
    stream_s = max(decode[0].speeds.rhythm.stream_s, MIN_STREAM_S)
    kept = math.exp(-STREAM_COUNT_AGE_S / stream_s)
    return {name: mean + kept * (count - mean) for name, count in known.items()}


def find_engine_gaps(
    job: PromptJob, engine: TrackedEngine, *, load: EngineLoad, now_s: float
) -> EngineGaps | None:
    """Return the gaps of the streams on an engine, None if prefills cannot matter.

    :param load: load of the engine.
    """
    if job.gaps is None or engine.entry.stage is not Stage.DECODE:
        return None
    slowdown = max(engine.prefill_slowdown.factor, engine.step_slowdown.factor)
    slowdown *= engine.pace.factor(now_s)
    if not job.gaps.can_exceed(slowdown=slowdown):
        return None
    rate = engine.prefill_rate.per_s(now_s=now_s)
    return EngineGaps(
        model=job.gaps,
        slowdown=slowdown,
        streams=load.streams
        if load.expected_streams is None
        else load.expected_streams,
        backlog_s=engine.backlog.wait_s(PRIORITY_LEVELS - 1, now_s=now_s),
        prefills_per_s=rate.prompts,
        tokens_per_s=rate.tokens,
    )


def share_in_place(
    speeds: ServiceSpeeds, profile: EngineProfile, *, shortest_gap_s: float | None
) -> float:
    """Return the share of the prefill work that may run beside streams.

    It is the share of the prompts that leave the gaps of the streams within their
    target, at an engine of the speed of the service.

    :param speeds: estimated speeds of the service's engines.
    :param profile: constants of these engines.
    :param shortest_gap_s: shortest target gap of the routes to the service.
    """
    if shortest_gap_s is None:
        return 1.0
    share = 1.0
    for tokens, tokens_share in speeds.mix.lengths():
        model = make_gap_model(
            speeds,
            profile,
            None,
            tokens=round(tokens),
            shortest_gap_s=shortest_gap_s,
            longest_target_s=0.0,
        )
        if model is None or not model.can_exceed(slowdown=1.0):
            continue
        hit = model.probability(
            tokens / model.chunk_tokens, slowdown=1.0, target_s=shortest_gap_s
        )
        share -= tokens_share * hit * model.exposed_share
    return max(0.0, share)
