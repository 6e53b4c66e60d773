"""Records of the platform's store that the operator and the runners write."""

import logging
import re
from typing import Annotated

import msgspec

from lacewinglug.decoding import MalformedDataError, decode_json, is_ipv4_address
from lacewinglug.host.model import (
    Configuration,
    EngineProfile,
    RequestLimits,
    RetryPolicy,
    Route,
    RunnerEntry,
    Service,
    Stage,
    TrafficShare,
)
from lacewinglug.organisations.directory import (
    Organisation,
    OrganisationDirectory,
    OrganisationError,
)
from lacewinglug.organisations.keys import hash_key
from lacewinglug.scaling.model import DEFAULT_PRICE, ScaleRules, ScaleRulesError

logger = logging.getLogger(__name__)

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
RUNNERS_TOPIC = "keyed.servers"
_MS_PER_S = 1000
_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1_000_000
_MAX_PORT = 65_535
_REPEAT_BY_KIND = {
    "safe": RetryPolicy.SAFE,
    "unsafe": RetryPolicy.UNSAFE,
    "streaming": RetryPolicy.STREAM,
}
_Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""The integers that hosts can send each other."""
_HEADER_TOKEN = re.compile(r"[!-~]+")
_STAGE_BY_NAME = {"prefill": Stage.PREFILL, "decode": Stage.DECODE}
_DRAINING_BY_STATE = {"ready": False, "draining": True}


class RecordError(MalformedDataError):
    """A record is invalid; the message says why."""


class _Share(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str = ""
    traffic_split: list[_Share] = []
    target_latency_ms: float = 0
    target_gap_ms: float | None = None
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    allow_anonymous: bool = False


class _Engine(msgspec.Struct, rename="pascal"):
    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 0
    link_mbps: float = 1
    handle_ttl_s: float = 0
    switch_s: float = 0
    stride: int = 1


class _Scale(msgspec.Struct, rename="pascal"):
    """Bounds and prices of runners; the platform calls reclaimable ones spot."""

    min: int
    max: int
    boot_time_s: float = 0
    spot_price: float = DEFAULT_PRICE
    zone_prices: dict[str, float] | None = None


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None
    scale: _Scale | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct, rename="pascal"):
    """An organisation; the platform calls it a tenant."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct, rename="pascal"):
    version: _Int64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _Runner(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    slots: _Int64
    state: str
    stage: str = ""
    cold_remaining_ms: float = 0
    spot: bool = False
    # Unix time of the start, in ms, and the time until a runner leaves. The platform
    # writes only these fields in lower case.
    born: _Int64 = msgspec.field(default=0, name="born")
    leaves_ms: float | None = msgspec.field(default=None, name="leaves_ms")


def decode_configuration(data: bytes) -> Configuration:
    """Decode a version of the operator's configuration.

    :raises RecordError: the record is not a valid configuration.
    """
    try:
        raw = decode_json(data, kind=_Configuration)
        routes = tuple(_decode_route(item) for item in raw.routes)
        organisations = OrganisationDirectory.build(
            map(_decode_organisation, raw.tenants or ())
        )
    except (MalformedDataError, KeyError, OrganisationError) as error:
        raise RecordError(f"invalid configuration: {error}") from None
    for item in raw.services:
        if item.engine is not None and not _is_usable(item.engine):
            raise RecordError(
                f"invalid configuration: service {item.name} has engines without "
                "slots, stride or link, or with a negative size; correct its Engine"
            )
    try:
        services = {item.name: _decode_service(item) for item in raw.services}
    except ScaleRulesError as error:
        raise RecordError(f"invalid configuration: {error}") from None
    return Configuration(
        version=raw.version,
        routes=routes,
        services=services,
        limits=_decode_limits(raw.limits),
        organisations=organisations,
    )


def decode_runner(instance: str, data: bytes) -> RunnerEntry:
    """Decode a runner's registration.

    :param instance: key of the record.
    :raises RecordError: a field is missing, or its type or value is invalid.
    """
    try:
        raw = decode_json(data, kind=_Runner)
        draining = _DRAINING_BY_STATE[raw.state]
    except (MalformedDataError, KeyError) as error:
        raise RecordError(f"invalid entry of runner {instance}: {error}") from None
    host, _, port = raw.address.rpartition(":")
    if not is_ipv4_address(host) or not _is_port(port) or raw.slots < 1:
        raise RecordError(f"invalid entry of runner {instance}: bad address or slots")
    if not _HEADER_TOKEN.fullmatch(instance):
        raise RecordError(
            f"invalid key {instance!r} of a runner: no header can hold it"
        )
    return RunnerEntry(
        instance=instance,
        service=raw.service,
        address=raw.address,
        zone=raw.zone,
        slots=raw.slots,
        draining=draining,
        stage=_STAGE_BY_NAME.get(raw.stage, Stage.NONE),
        cold_s=raw.cold_remaining_ms / _MS_PER_S,
        born_ms=raw.born,
        reclaimable=raw.spot,
        leaves_s=None if raw.leaves_ms is None else raw.leaves_ms / _MS_PER_S,
    )


def _is_port(text: str) -> bool:
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(_MAX_PORT))):
        return False
    return 0 < int(text) <= _MAX_PORT


def _is_usable(raw: _Engine) -> bool:
    """Return whether times and costs can be derived from the constants of engines."""
    sizes = (raw.kv_capacity_tokens, raw.kv_token_bytes, raw.handle_ttl_s, raw.switch_s)
    return raw.slots >= 1 and raw.stride >= 1 and raw.link_mbps > 0 and min(sizes) >= 0


def _decode_route(raw: _Route) -> Route:
    shares = tuple(
        TrafficShare(service=item.service, weight=item.weight)
        for item in raw.traffic_split
    )
    gap_ms = raw.target_gap_ms
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        retry_policy=_REPEAT_BY_KIND[raw.kind],
        timeout_s=raw.timeout_ms / _MS_PER_S,
        target_latency_s=(raw.target_latency_ms or raw.timeout_ms) / _MS_PER_S,
        target_gap_s=None if gap_ms is None else gap_ms / _MS_PER_S,
        priority=raw.priority,
        traffic_shares=shares or (TrafficShare(service=raw.service, weight=1.0),),
        max_attempts=raw.max_attempts,
        resumable=raw.resumable,
        allow_anonymous=raw.allow_anonymous,
    )


def _decode_organisation(raw: _Tenant) -> Organisation:
    return Organisation(
        name=raw.name,
        key_digests=tuple(map(hash_key, raw.api_keys)),
        priority=raw.priority,
    )


def _decode_service(raw: _Service) -> Service:
    engine = raw.engine
    return Service(
        name=raw.name,
        max_connections=raw.max_connections,
        engine=None
        if engine is None
        else EngineProfile(
            slots=engine.slots,
            cache_capacity_tokens=engine.kv_capacity_tokens,
            bytes_per_token=engine.kv_token_bytes,
            link_bytes_per_s=engine.link_mbps * _BITS_PER_MBIT / _BITS_PER_BYTE,
            handle_ttl_s=engine.handle_ttl_s,
            stage_change_s=engine.switch_s,
            stride=engine.stride,
        ),
        scale=_decode_scale(raw.name, raw.scale),
    )


def _decode_scale(service: str, raw: _Scale | None) -> ScaleRules | None:
    """Return the bounds and prices of the runners of a service.

    :raises ScaleRulesError: a value is negative or the bounds contradict.
    """
    if raw is None:
        return None
    rules = ScaleRules(
        min_per_zone=raw.min,
        max_per_zone=raw.max,
        boot_time_s=raw.boot_time_s,
        reclaimable_price=raw.spot_price,
        zone_prices=raw.zone_prices or {},
    )
    rules.check(service)
    return rules


def _decode_limits(raw: _Limits | None) -> RequestLimits | None:
    if raw is None:
        return None
    return RequestLimits(
        max_header_bytes=raw.max_header_bytes,
        max_body_bytes=raw.max_body_bytes,
        header_timeout_s=raw.header_timeout_ms / _MS_PER_S,
        idle_timeout_s=raw.idle_timeout_ms / _MS_PER_S,
    )
