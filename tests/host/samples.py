"""Routes, runners and prompts for tests of the host."""

import xxhash

from lacewinglug.host.model import (
    Configuration,
    EngineProfile,
    Repeat,
    Route,
    RunnerEntry,
    Service,
    Share,
    Stage,
)
from lacewinglug.host.residency import HashedPart

PROFILE = EngineProfile(
    slots=128,
    capacity_tokens=700_000,
    token_bytes=18_432,
    link_bytes_s=46e9,
    handle_ttl_s=5.0,
    switch_s=3.0,
)
REGIONS = {"mtl-a": "mtl", "mtl-b": "mtl", "qc-a": "qc", "sher-a": "sher"}


def make_address(instance):
    """Return the address of an instance, the same in every run."""
    number = xxhash.xxh32_intdigest(instance.encode())
    octets = (number >> 16 & 255, number >> 8 & 255, number & 255)
    return ".".join(map(str, (10, *octets))) + ":80"


def make_runner(instance, **fields):
    """Return a ready runner of the service ``app``."""
    given = {
        "service": "app",
        "address": make_address(instance),
        "zone": "mtl-a",
        "slots": 6,
    } | fields
    return RunnerEntry(instance=instance, **given)


def make_engine(instance, stage=Stage.DECODE, zone="mtl-a"):
    """Return a ready engine of the service ``llm``."""
    return make_runner(instance, service="llm", slots=128, stage=stage, zone=zone)


def make_route(**fields):
    """Return a route for safe calls to the service ``app``."""
    given = {
        "name": "status",
        "host": "a.example",
        "path_prefix": "/status/",
        "repeat": Repeat.SAFE,
        "timeout_s": 1.0,
        "target_latency_s": 0.4,
        "shares": (Share(service="app", weight=1.0),),
        "max_attempts": 2,
    } | fields
    return Route(**given)


def make_configuration(version, *routes):
    """Return a configuration with the services ``app`` and ``llm``."""
    return Configuration(
        version=version,
        routes=routes or (make_route(),),
        services={
            "app": Service(name="app", max_connections=100),
            "llm": Service(name="llm", max_connections=600, engine=PROFILE),
        },
    )


def make_parts(*items):
    """Return chained parts from pairs of key and tokens."""
    return tuple(HashedPart(key=key, tokens=tokens) for key, tokens in items)
