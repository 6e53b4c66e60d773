"""Data types of routes, services, runners and requests."""

from dataclasses import dataclass, field
from enum import Enum

from lacewinglug.host.positions import StorePosition
from lacewinglug.memory.limits import MachineLimits
from lacewinglug.organisations.directory import OrganisationDirectory
from lacewinglug.scaling.model import ScaleRules


class RetryPolicy(Enum):
    """Retry policy of a route: which requests may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Stage(Enum):
    """Stage of prompt processing that an engine is assigned to."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = "none"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineProfile:
    """Performance characteristics of the engines of a model service.

    :param slots: maximum batch size, in requests.
    :param cache_capacity_tokens: capacity of an engine's KV cache, in tokens.
    :param bytes_per_token: size of the KV cache of one token, in bytes.
    :param link_bytes_per_s: transfer rate between engines, in bytes per second.
    :param handle_ttl_s: how long the KV cache of a prefill is kept for fetching, in s.
    :param stage_change_s: how long a change of stage makes an engine unavailable, in s.
    :param stride: decode steps whose tokens are sent as one event.
    """

    slots: int = 1
    cache_capacity_tokens: int = 0
    bytes_per_token: int = 0
    link_bytes_per_s: float = 1.0
    handle_ttl_s: float = 0.0
    stage_change_s: float = 0.0
    stride: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service of the operator's configuration.

    :param name: name of the service.
    :param max_connections: connections that a runner accepts in total.
    :param engine: profile of its engines, None for a service without a model.
    :param scale: bounds and prices of its runners, None if none can be ordered.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    scale: ScaleRules | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class TrafficShare:
    """Weight of a service in a route's traffic split.

    :param service: name of the service.
    :param weight: weight relative to the other services of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How requests to a host name and path prefix are served.

    :param name: name of the route.
    :param host: host name, lower case.
    :param path_prefix: prefix of the matching paths.
    :param retry_policy: which requests may run more than once.
    :param timeout_s: time limit of a request, in s.
    :param target_latency_s: latency objective of a response, in s.
    :param target_gap_s: objective for the time between events of a stream, in s.
    :param priority: priority, 0 is the highest.
    :param traffic_shares: traffic split over services.
    :param max_attempts: maximum number of runners that a request is sent to.
    :param resumable: whether an interrupted stream may resume at another runner.
    :param allow_anonymous: whether requests need no key of an organisation.
    """

    name: str
    host: str
    path_prefix: str
    retry_policy: RetryPolicy
    timeout_s: float
    target_latency_s: float
    traffic_shares: tuple[TrafficShare, ...]
    target_gap_s: float | None = None
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    allow_anonymous: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.retry_policy is RetryPolicy.SAFE or (
            self.retry_policy is RetryPolicy.STREAM and self.resumable
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """Limits on requests and connections of clients.

    :param max_header_bytes: maximum size of the request line and headers.
    :param max_body_bytes: maximum size of the body.
    :param header_timeout_s: time limit for receiving the headers, in s.
    :param idle_timeout_s: time after which an idle connection is closed, in s.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    :param version: version number; newer versions are higher.
    :param routes: routes.
    :param services: services by name.
    :param limits: limits for clients, None if the version sets none.
    :param organisations: organisations that may send requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits | None = None
    organisations: OrganisationDirectory = field(default_factory=OrganisationDirectory)


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerEntry:
    """Registration of a runner in the store.

    Hosts send entries to each other encoded by field name.

    :param instance: unique id of the running process.
    :param service: name of its service.
    :param address: ``IP:PORT``.
    :param zone: availability zone.
    :param slots: requests that it runs concurrently.
    :param draining: whether it shuts down and takes no new requests.
    :param stage: stage of prompt processing that it is assigned to.
    :param cold_s: remaining warm-up time in which it is slow, in s.
    :param born_ms: start time as Unix time in ms, 0 if not reported.
    :param reclaimable: whether the platform may take it back at any time.
    :param leaves_s: time until it leaves as of the registration, in s; None if it has
        not been told to leave by a certain time.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    stage: Stage = Stage.NONE
    cold_s: float = 0.0
    born_ms: int = 0
    reclaimable: bool = False
    leaves_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A section of a prompt that several requests may have in common.

    :param part_id: id of its content.
    :param tokens: length in tokens.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedPart:
    """A prompt part that an engine reports in its KV cache.

    :param model: name of the model.
    :param part: the part.
    """

    model: str
    part: PromptPart


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """Prompt metadata of a request.

    :param model: name of the model.
    :param prompt_tokens: length of the prompt in tokens.
    :param max_output_tokens: maximum number of generated tokens.
    :param parts: parts of the prompt in order; the last one is specific to the request.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerLoad:
    """Load that a runner reports with a response.

    :param running: requests that it is running.
    :param queued: requests in its queue.
    :param slots: requests that it can run concurrently.
    :param slowdown: processing time relative to normal, which is 1.0.
    """

    running: int
    queued: int
    slots: int
    slowdown: float = 1.0


USAGE_DUTY = "usage_report"
"""Name of the duty to report the usage of the organisations."""
SCALE_DUTY = "scale"
"""Name of the duty to order runners."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DutySettings:
    """Settings of the calls to the platform's interface.

    :param address: ``IP:PORT`` of the interface.
    :param duties: names of the duties that the platform expects.
    :param calls_per_s: calls per second that it accepts from all hosts together.
    :param require_fencing: whether it refuses calls with an old fencing number.
    :param usage_window_s: length of a window of the usage report, in s.
    :param usage_due_s: time after the end of a window at which its report is due, in s.
    """

    address: str
    duties: frozenset[str] = frozenset()
    calls_per_s: float = 50.0
    require_fencing: bool = False
    usage_window_s: float = 5.0
    usage_due_s: float = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostSettings:
    """Settings of a host, provided by the platform.

    :param name: name of the host.
    :param ip: IP address of the host.
    :param zone: availability zone.
    :param region: region.
    :param zone_regions: region of each availability zone, by zone.
    :param client_address: listening address for client requests.
    :param ready_address: listening address for readiness checks.
    :param directory_address: listening address of the directory, which tells clients
        where to connect.
    :param peer_port: port for traffic between hosts.
    :param store_address: address of the metadata store.
    :param seeds: addresses of some other hosts, possibly stale.
    :param first_start: whether the whole system starts for the first time.
    :param heartbeat_s: interval at which runners write their entries, in s.
    :param drain_timeout_s: time after which a draining runner gets no requests, in s.
    :param shutdown_grace_s: time between SIGTERM and SIGKILL, in s.
    :param lease_s: lease time of the host that holds the right to order engines, in s.
    :param directory_ttl_s: maximum time that clients cache an address list, in s.
    :param retry_ratio: retries allowed per request within the window.
    :param retry_slack: additional retries allowed, shared by all hosts.
    :param retry_window_s: length of the window, in s.
    :param duties: settings of the calls to the platform's interface, None if there is
        no such interface.
    :param machine: limits of the machine.
    """

    name: str
    ip: str
    zone: str
    region: str
    zone_regions: dict[str, str]
    client_address: str
    ready_address: str
    directory_address: str
    peer_port: int
    store_address: str
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    heartbeat_s: float = 1.2
    drain_timeout_s: float = 2.5
    shutdown_grace_s: float = 8.0
    lease_s: float = 3.0
    directory_ttl_s: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    duties: DutySettings | None = None
    machine: MachineLimits = field(default_factory=MachineLimits)


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """Metadata of a client's request, decoded from its head.

    :param request_id: id of this attempt of the client, empty if absent.
    :param host: host name, lower case, without port.
    :param path: path without query.
    :param deadline_s: how long the client waits, in s; None if not stated.
    :param prompt: prompt metadata, None for plain calls.
    :param last_event: id of the last event that the client received.
    :param api_key: API key of an organisation, empty without one.
    """

    request_id: str
    host: str
    path: str
    deadline_s: float | None = None
    prompt: Prompt | None = None
    last_event: int | None = None
    api_key: str = field(default="", repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardingFields:
    """Fields that the host adds to a request when it forwards it to a runner.

    :param instance: only instance that may run the request.
    :param deadline_s: remaining time, in s.
    :param priority: priority at an engine, 0 is the highest; None for plain services.
    :param prefill_only: whether the engine only runs the prefill.
    :param cache_source: ``IP:PORT/HANDLE`` of a KV cache to fetch.
    :param fetch_from: ``IP:PORT`` of an engine to fetch cached prompt parts from.
    :param last_event: id of the last event that the client received.
    :param organisation: name of the organisation that sends the request, empty for
        none.
    :param withhold_credentials: whether the client's credentials are for the system
        and not for the runner.
    """

    instance: str
    deadline_s: float | None
    priority: int | None = None
    prefill_only: bool = False
    cache_source: str | None = None
    fetch_from: str | None = None
    last_event: int | None = None
    organisation: str = ""
    withhold_credentials: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseMetadata:
    """Metadata of a runner's response, decoded from its headers.

    :param request_id: id of the request that it belongs to, empty if absent.
    :param signed: whether it has the signature of a runner.
    :param not_executed: whether the runner reports that it did not run the request.
    :param load: load of the runner, None if not reported.
    :param content_encoded: whether a content encoding changed the runner's body.
    :param leaving: whether the runner says that it leaves.
    :param retry_after_s: time until the runner wants a request again, in s, may be
        infinite; None if not stated.
    """

    request_id: str
    signed: bool
    not_executed: bool
    load: RunnerLoad | None = None
    content_encoded: bool = False
    leaving: bool = False
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillResult:
    """KV cache of a finished prefill.

    :param handle: handle for fetching it from the engine.
    :param tokens: length in tokens.
    """

    handle: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineStatus:
    """Status that an engine reports on request.

    :param stage: stage that it is assigned to.
    :param busy: whether it is carrying out an order.
    :param accepted_orders: number of orders accepted since its start.
    """

    stage: Stage
    busy: bool
    accepted_orders: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StageChangeOrder:
    """An order to an engine to change its stage.

    :param stage: new stage.
    :param holder: host that issues the order.
    :param fencing_number: fencing token of the holder's tenure.
    :param expected_orders: number of orders that the engine must have accepted so far.
    """

    stage: Stage
    holder: str
    fencing_number: int
    expected_orders: int


class OrderReply(Enum):
    """Reply of an engine to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"


@dataclass(kw_only=True, slots=True)
class TopicSnapshot:
    """Latest value of each key of a topic.

    :param values: latest value by key.
    :param end: position after the last record that was read.
    """

    end: StorePosition
    values: dict[str, bytes] = field(default_factory=dict)
