"""What a host knows: routes, services, runners and requests."""

from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """What a route allows to be done again."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Stage(Enum):
    """Part of a prompt's work that an engine takes."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = "none"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineProfile:
    """Constants of the engines of a model service.

    :param slots: requests that an engine batches.
    :param capacity_tokens: tokens that fit into an engine's KV cache.
    :param token_bytes: size of one token's KV cache, in bytes.
    :param link_bytes_s: rate of transfers between engines, in bytes a second.
    :param handle_ttl_s: time that the KV cache of a prefill waits to be fetched.
    :param switch_s: time that a change of stage takes an engine away.
    """

    slots: int = 1
    capacity_tokens: int = 0
    token_bytes: int = 0
    link_bytes_s: float = 1.0
    handle_ttl_s: float = 0.0
    switch_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service, as the operator's configuration names it.

    :param name: name.
    :param max_connections: connections that one runner accepts from all callers.
    :param engine: constants of its engines, None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """Part of a route's traffic.

    :param service: name of the service that gets it.
    :param weight: its weight among the shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How requests to one host name and path are served.

    :param name: name of the route.
    :param host: host name, lower case.
    :param path_prefix: beginning of the path.
    :param repeat: what may be done again.
    :param timeout_s: longest time that a client is kept waiting.
    :param target_latency_s: time in which an answer has its full worth.
    :param target_gap_s: longest pause between events of a stream on time.
    :param priority: rank, 0 first.
    :param shares: services that it goes to.
    :param max_attempts: runners that one client attempt may be sent to.
    :param resumable: whether a stream may go on at another runner.
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    timeout_s: float
    target_latency_s: float
    shares: tuple[Share, ...]
    target_gap_s: float | None = None
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeat is Repeat.SAFE or (
            self.repeat is Repeat.STREAM and self.resumable
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """What the operator lets clients send.

    :param header_bytes: most bytes of a head.
    :param body_bytes: most bytes of a body.
    :param header_timeout_s: longest time for a head.
    :param idle_timeout_s: longest idle time of a client's connection.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    :param version: number; later ones are higher.
    :param routes: routes.
    :param services: services by name.
    :param limits: limits of clients, None where the version states none.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerEntry:
    """A runner, as it registered itself.

    :param instance: id of this incarnation.
    :param service: name of its service.
    :param address: ``IP:PORT``.
    :param zone: availability zone.
    :param slots: requests that it runs at the same time.
    :param draining: whether it is about to leave.
    :param stage: part of prompts that it takes.
    :param cold_s: how much longer it stays slow after its start.
    :param born_ms: Unix time of its start, 0 where it does not say.
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


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    :param part_id: id of its content.
    :param tokens: its length.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedPart:
    """A part of prompts that an engine says it keeps.

    :param model: name of the model.
    :param part: the part.
    """

    model: str
    part: PromptPart


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """What a request says of its prompt.

    :param model: name of the model.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: most tokens of the answer.
    :param parts: parts of the prompt in order; the last is the request's own.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadHint:
    """Load that a runner states on an answer.

    :param running: requests that it runs.
    :param waiting: requests that wait there.
    :param slots: requests that it can run at once.
    :param slowness: time that work takes there, 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostSettings:
    """What the platform tells the process of its host.

    :param name: name of the host.
    :param ip: address of the host.
    :param zone: availability zone.
    :param region: region.
    :param regions: region of each availability zone, by name.
    :param client_address: address that takes clients' requests.
    :param ready_address: address that answers readiness checks.
    :param directory_address: address that tells clients where to connect.
    :param peer_port: port for traffic between hosts.
    :param store_address: address of the metadata store.
    :param seeds: addresses of a few hosts, possibly stale.
    :param first_start: whether the whole system starts for the first time.
    :param drain_s: time after which a leaving runner may get no request.
    :param grace_s: time from SIGTERM to SIGKILL.
    :param lease_s: time that a holder of orders keeps to itself.
    :param directory_ttl_s: longest time that clients keep an address list.
    :param retry_ratio: repeats allowed per request in a window.
    :param retry_slack: repeats allowed besides, over all hosts.
    :param retry_window_s: length of that window.
    """

    name: str
    ip: str
    zone: str
    region: str
    regions: dict[str, str]
    client_address: str
    ready_address: str
    directory_address: str
    peer_port: int
    store_address: str
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    drain_s: float = 2.5
    grace_s: float = 8.0
    lease_s: float = 3.0
    directory_ttl_s: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class IncomingRequest:
    """What the head of a client's request says.

    :param request_id: id of this client attempt, empty where it has none.
    :param host: host name, lower case, without port.
    :param path: path without query.
    :param deadline_s: time that the client waits, None where it does not say.
    :param prompt: the prompt, None for plain calls.
    :param last_event: number of the last event that the client has.
    """

    request_id: str
    host: str
    path: str
    deadline_s: float | None = None
    prompt: Prompt | None = None
    last_event: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamCall:
    """What the host adds to a request that it passes on.

    :param instance: runner that may run it.
    :param deadline_s: time that is left.
    :param priority: rank at an engine, 0 first, None for plain services.
    :param prefill_only: whether only the prompt is to be read.
    :param cache_source: ``IP:PORT/HANDLE`` of a KV cache to fetch.
    :param fetch_from: ``IP:PORT`` of an engine whose cached parts to fetch.
    :param last_event: number of the last event that the client has.
    """

    instance: str
    deadline_s: float | None
    priority: int | None = None
    prefill_only: bool = False
    cache_source: str | None = None
    fetch_from: str | None = None
    last_event: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerFacts:
    """What the head of a runner's answer says.

    :param request_id: id of the request that it answers, empty where none.
    :param signed: whether it bears the runner's signature.
    :param not_executed: whether the runner states that it ran nothing.
    :param load: load of the runner, None where it does not say.
    :param encoded: whether the body is not as the runner made it.
    """

    request_id: str
    signed: bool
    not_executed: bool
    load: LoadHint | None = None
    encoded: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillAnswer:
    """Where the KV cache of a prefill waits.

    :param handle: name of it at the runner.
    :param tokens: tokens that it holds.
    """

    handle: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """What an engine says of itself when asked.

    :param stage: part of prompts that it takes.
    :param busy: whether it carries out an order.
    :param orders: orders that it has accepted since its start.
    """

    stage: Stage
    busy: bool
    orders: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StageOrder:
    """An order that an engine takes another stage.

    :param stage: the stage.
    :param holder: host that gives the order.
    :param fencing_number: number of the holder's tenure.
    :param after_orders: orders that the engine must have accepted before.
    """

    stage: Stage
    holder: str
    fencing_number: int
    after_orders: int


class OrderReply(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"


@dataclass(kw_only=True, slots=True)
class StoreSnapshot:
    """Newest records of a topic.

    :param values: value by key.
    :param end_offset: offset after the last record.
    """

    values: dict[str, bytes] = field(default_factory=dict)
    end_offset: int = 0
