"""Settings file that the platform writes for each process."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec

from lacewinglug.decoding import MalformedDataError, decode_json
from lacewinglug.errors import UserError
from lacewinglug.host.model import DutySettings, HostSettings
from lacewinglug.memory.limits import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    MachineLimits,
)

SETTINGS_PATH_VARIABLE = "LACEWINGLUG_NODE_FILE"
DEFAULT_SETTINGS_PATH = Path("/etc/lacewinglug/local.json")
_MS_PER_S = 1000
_Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Addresses(msgspec.Struct, rename="pascal"):
    frontend: str
    ready: str
    directory: str


class _Bounds(msgspec.Struct, rename="pascal"):
    drain_ms: float = 2500
    grace_s: float = 8
    lease_ms: float = 3000
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 0
    budget_window_s: float = 10
    require_fencing: bool = False
    report_window_s: _Positive = 5
    usage_late_s: float = 10
    duty_per_s: _Positive = 50
    # The platform writes only this field of the table in lower case.
    ttl_max_s: float = msgspec.field(default=5, name="ttl_max_s")


class _Limits(msgspec.Struct, rename="pascal"):
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = DEFAULT_MEMORY_MB
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = DEFAULT_DESCRIPTORS


class _Store(msgspec.Struct, rename="pascal"):
    address: str


class _CloudApi(msgspec.Struct, rename="pascal"):
    address: str
    duties: list[str] = []
    rate_per_s: _Positive | None = None
    duty_per_s: _Positive | None = None


class _Settings(msgspec.Struct, rename="pascal"):
    node_name: str
    ip: str
    zone: str
    region: str
    listen_addrs: _Addresses
    internal_ports: tuple[int, int]
    platform: _Store
    # The platform's interface for reports and orders of runners; absent where there
    # is none.
    cloud_api: _CloudApi | None = None
    zones: dict[str, str] = {}
    bootstrap: bool = False
    heartbeat_ms: float = 1200
    # Control addresses of other hosts; only the IP address is used.
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits | None = None


def find_settings_path(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file of this process."""
    return Path(environment.get(SETTINGS_PATH_VARIABLE) or DEFAULT_SETTINGS_PATH)


def load_settings(path: Path) -> HostSettings:
    """Load and validate the settings file.

    :raises UserError: the file cannot be read, or a field is missing or invalid.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as error:
        raise UserError(
            f"settings file {path} cannot be read ({error.strerror}); set "
            f"{SETTINGS_PATH_VARIABLE} to the path of a readable file"
        ) from None
    except UserError as error:
        raise UserError(f"settings file {path}: {error}") from None


def decode_settings(data: bytes) -> HostSettings:
    """Decode settings, ignoring unknown fields.

    :raises UserError: a field is missing or invalid; the message names it.
    """
    try:
        raw = decode_json(data, kind=_Settings)
    except MalformedDataError as error:
        raise UserError(f"invalid settings: {error}; correct this field") from None
    bounds = raw.bounds
    limits = raw.limits or _Limits()
    return HostSettings(
        name=raw.node_name,
        ip=raw.ip,
        zone=raw.zone,
        region=raw.region,
        zone_regions=raw.zones,
        client_address=raw.listen_addrs.frontend,
        ready_address=raw.listen_addrs.ready,
        directory_address=raw.listen_addrs.directory,
        peer_port=raw.internal_ports[0],
        store_address=raw.platform.address,
        seeds=tuple(raw.seeds),
        first_start=raw.bootstrap,
        heartbeat_s=raw.heartbeat_ms / _MS_PER_S,
        drain_timeout_s=bounds.drain_ms / _MS_PER_S,
        shutdown_grace_s=bounds.grace_s,
        lease_s=bounds.lease_ms / _MS_PER_S,
        directory_ttl_s=bounds.ttl_max_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_budget_slack,
        retry_window_s=bounds.budget_window_s,
        duties=_make_duty_settings(raw),
        machine=MachineLimits(memory_mb=limits.memory_mb, descriptors=limits.max_fds),
    )


def _make_duty_settings(raw: _Settings) -> DutySettings | None:
    interface, bounds = raw.cloud_api, raw.bounds
    if interface is None:
        return None
    rates = (interface.rate_per_s, interface.duty_per_s, bounds.duty_per_s)
    return DutySettings(
        address=interface.address,
        duties=frozenset(interface.duties),
        calls_per_s=min(rate for rate in rates if rate is not None),
        require_fencing=bounds.require_fencing,
        usage_window_s=bounds.report_window_s,
        usage_due_s=bounds.usage_late_s,
    )
