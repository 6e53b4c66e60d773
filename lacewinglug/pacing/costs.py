"""Costs of the runners in their ramp for one placement."""

from collections.abc import Callable, Iterable, Sequence

from lacewinglug.host.backlog import PRIORITY_LEVELS
from lacewinglug.host.engines import TrackedEngine
from lacewinglug.host.health import RunnerHealth
from lacewinglug.host.model import RunnerEntry, Stage
from lacewinglug.host.residency import HashedPart
from lacewinglug.pacing.pacer import RunnerPacer
from lacewinglug.pacing.ramp import RampLoad


def engine_costs(
    pacer: RunnerPacer,
    engines: Iterable[TrackedEngine],
    *,
    service: str,
    health: Callable[[str], RunnerHealth],
    remote_streams: dict[str, int],
    parts: Sequence[HashedPart],
    tokens: int,
    typical_tokens: float | None,
    host_count: int,
    now_s: float,
) -> dict[str, float]:
    """Return the costs of a prompt at engines in their ramp, in s, by instance.

    :param pacer: the host's pacing of the runners.
    :param engines: engines of the service.
    :param health: returns the health of a runner by its instance.
    :param remote_streams: streams of the other hosts, by instance.
    :param parts: parts of the prompt that engines may have cached.
    :param tokens: length of the prompt.
    :param typical_tokens: tokens to prefill of a typical prompt, None if unknown.
    :param host_count: hosts that may send to the engines.
    """
    pacer.advance(now_s=now_s)
    paced = [item for item in engines if pacer.is_paced(item.entry.instance)]
    share = pacer.settled_share(service, now_s=now_s) if paced else 0.0
    if share == 0.0:
        return {}
    costs = {}
    for engine in paced:
        entry = engine.entry
        streams = health(entry.instance).outstanding
        own, size = float(streams), 1.0
        if typical_tokens and entry.stage is not Stage.DECODE:
            new_tokens = tokens - engine.prefix_cache.matched_tokens(parts)
            size = max(1.0, new_tokens / typical_tokens)
            own = max(own, pacer.own_tokens(entry.instance) / typical_tokens)
        queued = engine.backlog.work_ahead(PRIORITY_LEVELS - 1, now_s=now_s).prompts
        total = max(own, streams + remote_streams.get(entry.instance, 0), queued)
        costs[entry.instance] = share * pacer.cost_s(
            entry.instance,
            RampLoad(own=own, total=total),
            size=size,
            host_count=host_count,
            now_s=now_s,
        )
    return costs


def plain_costs(
    pacer: RunnerPacer,
    entries: Iterable[RunnerEntry],
    *,
    service: str,
    health: Callable[[str], RunnerHealth],
    host_count: int,
    now_s: float,
) -> dict[str, float]:
    """Return the costs of a call at plain runners in their ramp, in s, by instance."""
    pacer.advance(now_s=now_s)
    paced = [item.instance for item in entries if pacer.is_paced(item.instance)]
    share = pacer.settled_share(service, now_s=now_s) if paced else 0.0
    if share == 0.0:
        return {}
    return {
        instance: share
        * pacer.cost_s(
            instance,
            RampLoad(
                own=float(health(instance).outstanding),
                total=health(instance).estimated_requests(now_s),
            ),
            size=1.0,
            host_count=host_count,
            now_s=now_s,
        )
        for instance in paced
    }
