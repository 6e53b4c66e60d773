"""The named objects that operators declare, as plain data classes."""

from dataclasses import dataclass, field
from typing import Literal

ServiceKind = Literal["model", "plain"]
RoleName = Literal["prefill", "decode", "mixed"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Region:
    """A part of the world whose availability zones are close to one another.

    :param one_way_delay_s: delay to other regions, in seconds.
    :param cost_per_gb: price of a gigabyte sent to another region.
    """

    one_way_delay_s: float
    cost_per_gb: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AvailabilityZone:
    """A group of hosts that fail together.

    :param region: name of the region.
    :param one_way_delay_s: delay to other zones of the region, in seconds.
    """

    region: str
    one_way_delay_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """An entry host.

    :param availability_zone: name of the availability zone.
    :param address: IP number.
    :param entry_port: TCP port for callers.
    :param control_port: TCP port of the steward.
    """

    availability_zone: str
    address: str
    entry_port: int
    control_port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisation:
    """A caller's organisation.

    :param weight: share of the fleet at a crest, relative to others.
    :param max_concurrent_requests: requests in progress at one entry host.
    :param key_sha256: digest of the caller's key in hex, empty for no key.
    """

    weight: float = 1.0
    max_concurrent_requests: int = 1000
    key_sha256: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """A model family.

    :param kv_bytes_per_token: size of the KV cache of one token, in bytes.
    """

    kv_bytes_per_token: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Adapter:
    """A fine-tuning adapter of a model.

    :param model: name of the model that it fits.
    :param weight_bytes: size in the weight store, in bytes.
    """

    model: str
    weight_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Version:
    """A version of a model's weights.

    :param model: name of the model.
    :param weight_key: name of the weights in the weight store.
    :param weight_bytes: size in the weight store, in bytes.
    :param follows: version that it replaces, empty for the first.
    """

    model: str
    weight_key: str
    weight_bytes: int
    follows: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRole:
    """A way of running an engine.

    :param does: the phases of a request that the engine runs.
    :param prefill_tokens_per_s: prompt tokens computed a second.
    :param decode_tokens_per_s: tokens generated a second over all streams.
    :param slots: streams that run at the same time.
    :param change_s: seconds that a change to this role takes the engine away.
    """

    does: RoleName
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    slots: int
    change_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """A kind of request to a service.

    :param weight: value of an answered request, relative to other kinds.
    :param timeout_s: time to answer in, in seconds.
    :param idempotent: whether the call may be repeated.
    :param path: path at the plain service, empty for a prompt to a model.
    """

    weight: float = 1.0
    timeout_s: float = 30.0
    idempotent: bool = True
    path: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service that callers use.

    :param kind: model engines or a plain service behind it.
    :param version: version that its engines serve, empty for a plain service.
    :param adapters: adapters that its engines load.
    :param roles: engine roles that the planner may choose from.
    :param kinds: kinds of request by name.
    """

    kind: ServiceKind
    version: str = ""
    adapters: tuple[str, ...] = ()
    roles: tuple[str, ...] = ()
    kinds: dict[str, RequestKind] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Runner:
    """A back end that runs requests of one service.

    :param service: name of the service.
    :param availability_zone: name of the availability zone.
    :param url: base URL of the runner.
    :param checks_fencing: whether it refuses orders with an old fencing number.
    :param initial_role: engine role wanted before any planning.
    """

    service: str
    availability_zone: str
    url: str
    checks_fencing: bool = True
    initial_role: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Objective:
    """A service-level objective.

    :param service: name of the service.
    :param kind: kind of request, empty for all kinds.
    :param target_ratio: wanted share of good answers.
    :param latency_s: slowest good answer, in seconds; 0 for any.
    :param window_s: period of the error budget, in seconds.
    """

    service: str
    target_ratio: float
    kind: str = ""
    latency_s: float = 0.0
    window_s: float = 2592000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Fleet:
    """The whole configuration, each kind of object by name."""

    regions: dict[str, Region] = field(default_factory=dict)
    availability_zones: dict[str, AvailabilityZone] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    adapters: dict[str, Adapter] = field(default_factory=dict)
    versions: dict[str, Version] = field(default_factory=dict)
    engine_roles: dict[str, EngineRole] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    objectives: dict[str, Objective] = field(default_factory=dict)

    def region_of(self, availability_zone: str) -> str:
        """Return the region of an availability zone, empty when unknown."""
        zone = self.availability_zones.get(availability_zone)
        return zone.region if zone else ""

    def runners_of(self, service: str) -> list[str]:
        """Return the names of the runners of a service."""
        return [name for name, run in self.runners.items() if run.service == service]
