"""Process settings, layered from defaults, a file, the environment and options."""

import tomllib
from collections.abc import Iterable, Mapping
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lacewinglug.errors import Problem, UserError

ENVIRONMENT_PREFIX = "LACEWINGLUG_"

Port = Annotated[int, Field(ge=1, le=65535)]
PositiveSeconds = Annotated[float, Field(gt=0, le=86400)]
Url = Annotated[str, Field(pattern=r"^https?://[^\s]+$")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class HostSettings(_Section):
    """Who this host is.

    :param name: name of the host in the configuration.
    :param availability_zone: availability zone that the host stands in.
    :param address: IP number that the host listens on.
    :param machine: machine that carries the host's name, empty for its address.
    """

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]*$")]
    availability_zone: Annotated[str, Field(min_length=1)]
    address: Annotated[str, Field(min_length=1)]
    machine: str

    @property
    def machine_name(self) -> str:
        """Name of the machine in claims and replacements."""
        return self.machine or self.address


class PlatformSettings(_Section):
    """Where the platform's services are.

    :param log_url: base URL of the log service.
    :param host_list_url: base URL of the list of live and leaving hosts.
    :param weight_store_url: base URL of the weight store.
    """

    log_url: Url
    host_list_url: Url
    weight_store_url: Url


class EntrySettings(_Section):
    """Settings of the entry process.

    :param port: TCP port for callers.
    :param address_ttl_s: how long a caller may keep an entry address, in seconds.
    :param leave_notice_s: time until every host knows that this one leaves, in
        seconds.
    :param drain_deadline_s: longest shutdown, in seconds.
    :param default_timeout_s: timeout of a request that names none, in seconds.
    :param max_body_bytes: largest request body, in bytes.
    :param max_concurrent_requests: requests in progress at this host.
    :param receive_timeout_s: longest wait for a request to arrive whole, in
        seconds.
    :param caller_stall_timeout_s: longest wait for a caller to read what was sent,
        in seconds.
    """

    port: Port
    address_ttl_s: PositiveSeconds
    leave_notice_s: PositiveSeconds
    drain_deadline_s: PositiveSeconds
    default_timeout_s: PositiveSeconds
    max_body_bytes: Annotated[int, Field(ge=1024)]
    max_concurrent_requests: Annotated[int, Field(ge=1)]
    receive_timeout_s: PositiveSeconds
    caller_stall_timeout_s: PositiveSeconds


class StewardSettings(_Section):
    """Settings of the steward process.

    :param control_port: TCP port for the local entry, peers and operators.
    :param poll_interval_s: time between two load polls of a runner, in seconds.
    :param log_wait_s: longest wait of one read of the log's tail, in seconds.
    :param snapshot_interval_s: longest time between two snapshots of the control
        stream, in seconds; a third of the time that the log keeps records.
    :param claim_delay_s: time after the start before tenures are claimed, in
        seconds.
    :param drain_deadline_s: longest time that an engine is drained for a change
        before the change is put off, in seconds.
    :param order_settle_s: wait before the first order to an engine that ignores
        fencing numbers, and after one whose answer was lost, in seconds.
    :param plan_roles: plan engine roles from load reports; otherwise each engine
        keeps the role that the configuration declares.
    """

    control_port: Port
    poll_interval_s: PositiveSeconds
    log_wait_s: PositiveSeconds
    snapshot_interval_s: PositiveSeconds
    claim_delay_s: PositiveSeconds
    drain_deadline_s: PositiveSeconds
    order_settle_s: PositiveSeconds
    plan_roles: bool


class CallSettings(_Section):
    """Settings of calls that may not be repeated.

    :param key_window: minted keys whose use is remembered.
    :param max_results: results kept in memory.
    :param max_result_bytes: size of the results kept in memory, in bytes.
    :param max_own_keys: callers' own keys held in memory.
    :param own_key_window_s: time for which a caller's own key is remembered, in
        seconds; shorter than the log keeps its records.
    :param intent_interval_s: shortest time between two appends of intents to one
        stream, in seconds.
    :param outcome_interval_s: time between two appends of results, in seconds.
    """

    key_window: Annotated[int, Field(ge=1000)]
    max_results: Annotated[int, Field(ge=1)]
    max_result_bytes: Annotated[int, Field(ge=1024)]
    max_own_keys: Annotated[int, Field(ge=1)]
    own_key_window_s: Annotated[float, Field(gt=0)]
    intent_interval_s: PositiveSeconds
    outcome_interval_s: PositiveSeconds


class AdminSettings(_Section):
    """Who may use the paths of operators and of other entries.

    :param key: key that operators and entries show, empty for no check.
    """

    key: str = Field(repr=False)


class LoggingSettings(_Section):
    """How log lines are written.

    :param format: key=value pairs or JSON.
    :param level: lowest level that is written.
    """

    format: Literal["key-value", "json"]
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class MetricsSettings(_Section):
    """Where counters are sent.

    :param statsd_host: address of the statsd daemon, empty for none.
    :param statsd_port: UDP port of the statsd daemon.
    """

    statsd_host: str
    statsd_port: Port


class Settings(_Section):
    """All settings of one host's processes."""

    host: HostSettings
    platform: PlatformSettings
    entry: EntrySettings
    steward: StewardSettings
    calls: CallSettings
    admin: AdminSettings
    logging: LoggingSettings
    metrics: MetricsSettings

    @classmethod
    def load(
        cls,
        *,
        path: Path | None = None,
        environment: Mapping[str, str] | None = None,
        overrides: Iterable[str] = (),
    ) -> Self:
        """Read the settings, later layers going over earlier ones.

        :param path: settings file, or None for defaults only.
        :param environment: variables such as ``LACEWINGLUG_ENTRY__PORT``.
        :param overrides: options of the form ``section.field=value``.
        :raises UserError: a file, name or value is wrong.
        """
        layers = tomllib.loads(
            resources.files("lacewinglug").joinpath("defaults.toml").read_text()
        )
        if path is not None:
            _merge(layers, _read_toml(path), source=str(path))
        for name, value in (environment or {}).items():
            if not name.startswith(ENVIRONMENT_PREFIX) or "__" not in name:
                continue
            key = name.removeprefix(ENVIRONMENT_PREFIX).lower().replace("__", ".", 1)
            _assign(layers, key, value, source=f"environment variable {name}")
        for override in overrides:
            key, separator, value = override.partition("=")
            if not separator:
                raise UserError(f"--set {override}: write it as section.field=value")
            _assign(layers, key, value, source=f"--set {override}")
        try:
            return cls.model_validate(layers)
        except ValidationError as error:
            raise UserError(_describe(error, path)) from None


def _read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file or raise a user error."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise UserError(
            f"cannot read settings {path}: {error.strerror}; check --settings"
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise UserError(f"{path}: not valid TOML: {error}; mend the file") from None


def _merge(layers: dict[str, Any], update: dict[str, Any], *, source: str) -> None:
    """Put one layer over the others, in place."""
    for section, values in update.items():
        if not isinstance(values, dict):
            raise UserError(
                f"{source}: {section} stands outside a section; "
                f"move it under one of {', '.join(layers)}"
            )
        layers.setdefault(section, {}).update(values)


def _assign(layers: dict[str, Any], key: str, value: str, *, source: str) -> None:
    """Set one field from text, reading it as a TOML value where it is one."""
    section, separator, field = key.partition(".")
    if not separator or section not in layers:
        raise UserError(
            f"{source}: no section {section!r}; use one of {', '.join(layers)}"
        )
    try:
        parsed = tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        parsed = value
    layers[section][field] = parsed


def _describe(error: ValidationError, path: Path | None) -> str:
    """Turn validation errors into lines that name the field and the remedy."""
    problems = []
    for item in error.errors():
        section, *rest = (str(part) for part in item["loc"])
        problem = Problem(
            file=str(path or ""),
            object_name=section,
            field=".".join(rest),
            message=f"{item['msg']} (got {item['input']!r})",
            remedy="set it in the settings file, by --set or by environment",
        )
        problems.append(str(problem))
    return "\n".join(problems)
