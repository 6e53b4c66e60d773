"""Reads the load of a service's engines and their caches from the state of a host."""

from lacewinglug.host.context import HostState
from lacewinglug.host.model import Service, Stage
from lacewinglug.host.stages import decode_demand
from lacewinglug.scaling.model import EngineDemand


def measure_demand(state: HostState, service: Service, *, now_s: float) -> EngineDemand:
    """Return the load of the engines of a service over all hosts.

    It is zero for a service without engines, whose load no host knows.
    """
    profile = service.engine
    if profile is None:
        return EngineDemand()
    speeds = state.engines.speeds(service.name)
    remote_streams = state.engines.remote_streams(now_s=now_s)
    streams = sum(
        remote_streams.get(entry.instance, 0)
        + state.upstreams.health(entry.instance).outstanding
        for entry in state.fleet.ready(service.name)
        if entry.stage is Stage.DECODE
    )
    return EngineDemand(
        prefill=speeds.prefill_s(speeds.recent_demand.per_s(now_s=now_s)),
        decode=decode_demand(
            profile,
            streams=streams,
            transferred_tokens_per_s=speeds.prompt_lengths.per_s(now_s=now_s).tokens,
        ),
    )


def count_cached_tokens(state: HostState, service: Service) -> dict[str, float]:
    """Return the estimated prompt tokens in the cache of each engine, by instance."""
    tokens = {}
    for entry in state.fleet.ready(service.name):
        engine = state.engines.get(entry.instance)
        if engine is not None:
            tokens[entry.instance] = float(engine.prefix_cache.tokens)
    return tokens
