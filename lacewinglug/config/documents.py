"""Validated models of the TOML documents that operators write."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
IP_NUMBER_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|[0-9a-f:]+)$"
DIGEST_PATTERN = r"^([0-9a-f]{64})?$"
PATH_PATTERN = r"^(/[A-Za-z0-9/_-]*)?$"
URL_PATTERN = r"^https?://[^\s/]+$"

PATTERN_FORMS = {
    NAME_PATTERN: "1 to 63 lower-case letters, digits and hyphens",
    IP_NUMBER_PATTERN: "an IP number such as 10.0.3.1",
    DIGEST_PATTERN: "a SHA-256 digest as 64 hexadecimal digits",
    PATH_PATTERN: "a path such as /unlock",
    URL_PATTERN: "a URL without a path, such as http://10.0.3.1:8000",
}

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Delay = Annotated[float, Field(ge=0, le=10)]
Port = Annotated[int, Field(ge=1, le=65535)]
Rate = Annotated[float, Field(gt=0)]
Size = Annotated[int, Field(gt=0)]
Seconds = Annotated[float, Field(gt=0, le=31536000)]
IpNumber = Annotated[str, Field(pattern=IP_NUMBER_PATTERN)]


class _Document(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class RegionDocument(_Document):
    """Declares a region."""

    one_way_delay_s: Delay
    cost_per_gb: Annotated[float, Field(ge=0)] = 0.0


class AvailabilityZoneDocument(_Document):
    """Declares an availability zone."""

    region: Name
    one_way_delay_s: Delay


class HostDocument(_Document):
    """Declares an entry host."""

    availability_zone: Name
    address: IpNumber
    entry_port: Port
    control_port: Port


class OrganisationDocument(_Document):
    """Declares a caller's organisation."""

    weight: Rate = 1.0
    max_concurrent_requests: Size = 1000
    key_sha256: Annotated[str, Field(pattern=DIGEST_PATTERN)] = ""


class ModelDocument(_Document):
    """Declares a model."""

    kv_bytes_per_token: Size


class AdapterDocument(_Document):
    """Declares an adapter."""

    model: Name
    weight_bytes: Size


class VersionDocument(_Document):
    """Declares a version of a model's weights."""

    model: Name
    weight_key: Annotated[str, Field(min_length=1, max_length=255)]
    weight_bytes: Size
    follows: Name | Literal[""] = ""


class EngineRoleDocument(_Document):
    """Declares an engine role."""

    does: Literal["prefill", "decode", "mixed"]
    prefill_tokens_per_s: Rate
    decode_tokens_per_s: Rate
    slots: Size
    change_s: Annotated[float, Field(ge=0, le=3600)]


class RequestKindDocument(_Document):
    """Declares a kind of request."""

    weight: Rate = 1.0
    timeout_s: Seconds = 30.0
    idempotent: bool = True
    path: Annotated[str, Field(pattern=PATH_PATTERN)] = ""


class ServiceDocument(_Document):
    """Declares a service."""

    kind: Literal["model", "plain"]
    version: Name | Literal[""] = ""
    adapters: tuple[Name, ...] = ()
    roles: tuple[Name, ...] = ()
    kinds: dict[Name, RequestKindDocument] = {}


class RunnerDocument(_Document):
    """Declares a runner."""

    service: Name
    availability_zone: Name
    url: Annotated[str, Field(pattern=URL_PATTERN)]
    checks_fencing: bool = True
    initial_role: Name | Literal[""] = ""


class ObjectiveDocument(_Document):
    """Declares a service-level objective."""

    service: Name
    target_ratio: Annotated[float, Field(gt=0, lt=1)]
    kind: Name | Literal[""] = ""
    latency_s: Annotated[float, Field(ge=0)] = 0.0
    window_s: Seconds = 2592000.0


class FleetDocument(_Document):
    """Declares a whole configuration."""

    regions: dict[Name, RegionDocument] = {}
    availability_zones: dict[Name, AvailabilityZoneDocument] = {}
    hosts: dict[Name, HostDocument] = {}
    organisations: dict[Name, OrganisationDocument] = {}
    models: dict[Name, ModelDocument] = {}
    adapters: dict[Name, AdapterDocument] = {}
    versions: dict[Name, VersionDocument] = {}
    engine_roles: dict[Name, EngineRoleDocument] = {}
    services: dict[Name, ServiceDocument] = {}
    runners: dict[Name, RunnerDocument] = {}
    objectives: dict[Name, ObjectiveDocument] = {}
