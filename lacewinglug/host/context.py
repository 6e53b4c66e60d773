"""State shared by all requests of a host, and the context of a single request."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from lacewinglug.duties.service import DutyService
from lacewinglug.host.budget import RetryBudget
from lacewinglug.host.distance import Geography
from lacewinglug.host.engines import EngineTracker, EngineWork
from lacewinglug.host.events import Event, EventSplitter
from lacewinglug.host.fleet import FleetView
from lacewinglug.host.life import RequestLifecycle
from lacewinglug.host.model import (
    ForwardingFields,
    HostSettings,
    RequestMetadata,
    Route,
    RunnerEntry,
    Service,
    Stage,
)
from lacewinglug.host.notices import (
    RunnerNotices,
    describe_objection,
    objection_fields,
)
from lacewinglug.host.quarantine import PartQuarantine, Quarantined
from lacewinglug.host.reporting import HostMetrics, RequestTrace
from lacewinglug.host.residency import format_part
from lacewinglug.host.routes import RouteTable
from lacewinglug.host.shutdown import RouteDurations, ShutdownSchedule
from lacewinglug.host.upstreams import Upstreams
from lacewinglug.host.verdicts import Verdict, judge_response
from lacewinglug.memory.budget import LARGE_MESSAGE_BYTES, MemoryBudget
from lacewinglug.memory.descriptors import ConnectionLimit
from lacewinglug.organisations.directory import Organisation
from lacewinglug.pacing.pacer import PacedRequest, RunnerPacer
from lacewinglug.platform.headers import (
    decode_response_headers,
    encode_request_headers,
    instance_headers,
)
from lacewinglug.shares.ledger import ShareDecision
from lacewinglug.shares.service import OrganisationShares
from lacewinglug.wire.client import ClientConnection, UpstreamError
from lacewinglug.wire.messages import Request, Response, ResponseHead
from lacewinglug.wire.pool import ConnectionPool

CONNECT_TIMEOUT_S = 0.5
"""Timeout of connecting to a runner, in s; about ten round trips between regions."""
MAX_UNDELIVERED_S = 1.0
"""Time after which a runner counts as silent if its machine has not acknowledged the
request, in s; longer than three retransmissions of a lost packet."""
ENGINE_CALL_TIMEOUT_S = 1.0
"""Timeout of the host's own calls to an engine, in s."""
REPORT_MARGIN_S = 0.05
"""Time before a request expires at which an error in hand is sent, in s."""
MAX_ENGINE_RESPONSE_BYTES = 1_048_576
"""Size limit of the response to such a call; lists of cached prompt parts are the
largest."""
MAX_AHEAD_BYTES = 65_536
"""Size of events read ahead, in bytes, above which no more are read."""
MAX_STALE_RESPONSE_BYTES = 1_048_576
"""Size limit of such a response; one that is larger may have no end."""
MAX_STALE_RESPONSES = 2
"""Responses to earlier requests that one attempt discards from its connection."""
_MIN_SERVER_ERROR = 500


@dataclass(kw_only=True)
class HostState:
    """State that all requests of a host share.

    :param settings: settings of the host.
    :param now_s: returns monotonic seconds.
    :param count_hosts: returns the number of hosts that may be alive.
    :param announce_work: announces work assigned to an engine to the other hosts.
    :param metrics: metrics of the host.
    :param routes: configuration in force.
    :param fleet: registered runners.
    :param engines: known load and cache content of the engines.
    :param quarantine: prompt parts whose requests crash engines.
    :param upstreams: connection pools and health of the runners.
    :param notices: what runners say in responses about taking further requests.
    :param geography: regions of the availability zones.
    :param background_tasks: tasks that outlive the request that started them.
    :param retry_budgets: retry budget of each service.
    :param durations: how long the answered requests of each route took.
    :param shutdown: schedule of the shutdown, None unless the host shuts down.
    :param other_hosts_serve: returns whether clients can turn to another host.
    :param duties: duties of the host, None if there is no platform interface.
    :param budget: memory budget of the host.
    :param client_limit: bound on the connections of clients.
    :param upstream_limit: bound on the connections to runners.
    :param shares: shares of the organisations under contention.
    """

    settings: HostSettings
    now_s: Callable[[], float]
    count_hosts: Callable[[], int]
    announce_work: Callable[[EngineWork], None]
    metrics: HostMetrics
    routes: RouteTable = field(default_factory=RouteTable)
    fleet: FleetView = field(default_factory=FleetView)
    engines: EngineTracker = field(default_factory=EngineTracker)
    quarantine: PartQuarantine = field(default_factory=PartQuarantine)
    upstreams: Upstreams = field(init=False)
    notices: RunnerNotices = field(init=False)
    geography: Geography = field(init=False)
    background_tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    durations: RouteDurations = field(default_factory=RouteDurations)
    shutdown: ShutdownSchedule | None = None
    other_hosts_serve: Callable[[], bool] = lambda: True
    duties: DutyService | None = None
    budget: MemoryBudget = field(init=False)
    client_limit: ConnectionLimit = field(init=False)
    upstream_limit: ConnectionLimit = field(init=False)
    shares: OrganisationShares = field(default_factory=OrganisationShares)

    def __post_init__(self) -> None:
        machine = self.settings.machine
        self.budget = MemoryBudget(
            limit_bytes=machine.budget_bytes,
            on_eviction=lambda reason: self.metrics.evictions.labels(
                reason.value
            ).inc(),
        )
        self.client_limit = ConnectionLimit(
            kind="clients", max_count=machine.max_client_connections
        )
        self.upstream_limit = ConnectionLimit(
            kind="runners", max_count=machine.max_upstream_connections
        )
        self.upstreams = Upstreams(
            now_s=self.now_s,
            host_count=self.count_hosts,
            pacer=RunnerPacer(host=self.settings.name),
            budget=self.budget,
            connection_limit=self.upstream_limit,
        )
        self.upstream_limit.reclaim = self.upstreams.close
        self.notices = RunnerNotices(
            fleet=self.fleet, health=self.upstreams.health, metrics=self.metrics
        )
        self.geography = Geography(regions=self.settings.zone_regions)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, creating it on first use."""
        found = self.retry_budgets.get(service)
        if found is None:
            found = RetryBudget(
                ratio=self.settings.retry_ratio,
                slack=self.settings.retry_slack,
                window_s=self.settings.retry_window_s,
            )
            self.retry_budgets[service] = found
        return found

    async def call_engine(
        self,
        service: Service,
        entry: RunnerEntry,
        *,
        target: bytes,
        method: bytes = b"GET",
        body: bytes = b"",
        may_send: Callable[[], bool] = lambda: True,
    ) -> Response:
        """Send a request of the host itself to an engine.

        :param may_send: checked once a connection is available, right before sending.
        :raises UpstreamError: the request was not sent, for instance because the engine
            has asked for a pause, or the response is incomplete.
        :raises TimeoutError: there was no response within the timeout.
        """
        pool = self.upstreams.pool(entry, service)
        async with asyncio.timeout(ENGINE_CALL_TIMEOUT_S):
            connection = await pool.acquire(timeout_s=ENGINE_CALL_TIMEOUT_S)
            try:
                if not may_send():
                    raise UpstreamError("call withdrawn before it was sent", sent=False)
                if self.notices.push_back_left_s(entry, now_s=self.now_s()) > 0:
                    raise UpstreamError("runner has asked for a pause", sent=False)
                connection.send_request(
                    method=method,
                    target=target,
                    headers=instance_headers(entry.address, entry.instance),
                    body=body,
                )
                response = await connection.read_response(
                    max_body_bytes=MAX_ENGINE_RESPONSE_BYTES,
                    on_head=lambda head: self.notices.record(
                        entry, head, now_s=self.now_s()
                    ),
                )
            except BaseException:
                pool.abort(connection)
                raise
        pool.release(connection, response.headers)
        return response

    def count_own_streams(self) -> dict[str, int]:
        """Return the number of streams of this host at each decode engine."""
        counts = {}
        for entry in self.fleet.entries:
            if entry.stage is Stage.DECODE:
                running = self.upstreams.health(entry.instance).outstanding
                if running:
                    counts[entry.instance] = running
        return counts

    def record_run(self, context: "RequestContext", entry: RunnerEntry) -> None:
        """Count a request for the usage report when its first run has begun.

        One that continues a stream that the client received before was counted then.
        """
        if (
            self.duties is None
            or context.organisation is None
            or context.run_recorded
            or context.metadata.last_event is not None
        ):
            return
        context.run_recorded = True
        self.duties.record_run(context.organisation.name, zone=entry.zone)

    def find_quarantined(self, context: "RequestContext") -> Quarantined | None:
        """Return why a request must not be sent, None if it may be."""
        if context.quarantine_trial:
            return None
        return self.quarantine.find_quarantined(context.part_keys, now_s=self.now_s())

    def remove_departed_runners(self) -> None:
        """Remove the state of runners that are no longer registered."""
        kept = [entry.instance for entry in self.fleet.entries]
        self.upstreams.remove_departed(kept)
        self.upstreams.pacer.advance(now_s=self.now_s())
        self.engines.remove_departed(kept)


@dataclass(kw_only=True)
class RequestContext:
    """A request in progress.

    :param request: the request as received.
    :param metadata: metadata decoded from its headers.
    :param route: matching route.
    :param service: service chosen from the route's traffic split.
    :param expires_s: monotonic time by which the client needs the final response.
    :param lifecycle: state of the request, which decides whether it may be resent.
    :param trace: decisions made for the request, for its log line.
    :param attempt_count: number of attempts that reached a runner.
    :param tried_instances: instances that were tried.
    :param part_keys: keys of the parts of the prompt, without the last one, which no
        other request has.
    :param quarantine_trial: whether the request tests a quarantined part.
    :param crashed_engine: whether the request may have crashed an engine, so that it
        must not be sent to another one.
    :param organisation: organisation that sends the request, None for none.
    :param withhold_credentials: whether the client's credentials must not reach a
        runner.
    :param expected_answer_s: expected time to the first part of the answer of each
        runner chosen for the request, in s, by instance.
    :param time_limit: limit that ends the request when it expires, None before it is
        relayed.
    :param run_recorded: whether the request was counted for the usage report.
    :param share: whether it is within the share of its organisation, None before it is
        placed and without an organisation.
    """

    request: Request
    metadata: RequestMetadata
    route: Route
    service: Service
    expires_s: float
    lifecycle: RequestLifecycle
    trace: RequestTrace
    attempt_count: int = 0
    tried_instances: set[str] = field(default_factory=set)
    part_keys: tuple[int, ...] = ()
    quarantine_trial: bool = False
    crashed_engine: bool = False
    organisation: Organisation | None = None
    withhold_credentials: bool = False
    expected_answer_s: dict[str, float] = field(default_factory=dict)
    time_limit: asyncio.Timeout | None = None
    run_recorded: bool = False
    share: ShareDecision | None = None

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, empty for none."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def priority(self) -> int:
        """Priority of the request, 0 is the highest.

        That of the organisation, if it has one, goes before that of the route.
        """
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    def describe_parts(self) -> dict[str, str]:
        """Return the key of each part by its id, for the log."""
        prompt = self.metadata.prompt
        ids = [part.part_id for part in prompt.parts] if prompt else []
        return {
            part_id: format_part(key)
            for part_id, key in zip(ids, self.part_keys, strict=False)
        }

    @property
    def target_deadline_s(self) -> float:
        """Monotonic time at which the target latency of the route is exceeded."""
        return self.request.received_s + self.route.target_latency_s

    def remaining_s(self, now_s: float) -> float:
        """Return the time left until the final response is due, in s."""
        return self.expires_s - now_s

    def extend_to_deadline(self, *, now_s: float, stops_s: float | None) -> None:
        """Give a response that has begun all of the time that the client waits.

        Before, a margin is kept in which a final status can reach the client.

        :param stops_s: monotonic time at which the host ends all requests, None if it
            does not shut down.
        """
        self.expires_s = now_s + self.deadline_s(now_s)
        limit = self.time_limit
        if limit is not None and not limit.expired():
            limit.reschedule(min(self.expires_s, stops_s or self.expires_s))

    def time_to_report_s(self, now_s: float) -> float:
        """Return the time for which an error in hand may be held back, in s."""
        return max(0.0, self.remaining_s(now_s) - REPORT_MARGIN_S)

    def deadline_s(self, now_s: float) -> float:
        """Return the deadline to pass to a runner, in s from now.

        It is the shorter of the route's timeout and the client's own deadline.
        """
        passed_s = now_s - self.request.received_s
        limits = [self.route.timeout_s - passed_s]
        if self.metadata.deadline_s is not None:
            limits.append(self.metadata.deadline_s - passed_s)
        return min(limits)

    def make_forwarding_fields(
        self,
        entry: RunnerEntry,
        *,
        now_s: float,
        priority: int | None = None,
        prefill_only: bool = False,
        cache_source: str | None = None,
        fetch_from: str | None = None,
        last_event: int | None = None,
    ) -> ForwardingFields:
        """Return the fields that the host adds when it forwards the request."""
        return ForwardingFields(
            instance=entry.instance,
            deadline_s=self.deadline_s(now_s),
            priority=priority,
            prefill_only=prefill_only,
            cache_source=cache_source,
            fetch_from=fetch_from,
            last_event=last_event,
            organisation=self.organisation_name,
            withhold_credentials=self.withhold_credentials,
        )


class Attempt:
    """One attempt to run a request at a runner.

    The connection goes back to the pool only after a complete response. Reading of the
    response can go on after a timeout.

    :param state: state of the host.
    :param context: the request.
    :param entry: the runner.
    :param first_event_s: monotonic time of the first event of a stream, None before it.
    :param events: events that were read and not taken yet.
    :param is_settled: whether the end or failure of the response was read ahead.
    """

    def __init__(
        self, *, state: HostState, context: RequestContext, entry: RunnerEntry
    ) -> None:
        self._state = state
        self._context = context
        self.entry = entry
        self.health = state.upstreams.health(entry.instance)
        self.started_s = state.now_s()
        self._pool: ConnectionPool = state.upstreams.pool(entry, context.service)
        self._connection: ClientConnection | None = None
        self._is_outstanding = False
        self._paced: PacedRequest | None = None
        self._stale_responses = 0
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self.splitter = EventSplitter()
        self.first_event_s: float | None = None
        self.events: list[Event] = []
        self.is_settled = False
        self._has_ended = False

    def record_answer(self, head: ResponseHead) -> None:
        """Count the request if the head of a plain answer shows that it ran."""
        if self._state.duties is None:
            return
        verdict = judge_response(head.status, decode_response_headers(head.headers))
        if verdict not in (Verdict.NOT_EXECUTED, Verdict.UNVERIFIED):
            self._state.record_run(self._context, self.entry)

    async def connect(self) -> None:
        """Acquire a connection to the runner.

        The request counts as load of the runner from here on, so that others that are
        placed while the connection is being opened can choose another runner.

        :raises UpstreamError: no connection is available, or the runner may not get
            the request; nothing was sent.
        """
        self._check_notices()
        timeout_s = min(
            CONNECT_TIMEOUT_S, max(0.05, self._context.remaining_s(self._state.now_s()))
        )
        self._set_outstanding(True)
        prompt = self._context.metadata.prompt
        self._paced = self._state.upstreams.pacer.begin_request(
            self.entry.instance,
            tokens=0 if prompt is None else prompt.prompt_tokens,
            expected_s=self._context.expected_answer_s.get(self.entry.instance),
        )
        try:
            self._connection = await self._pool.acquire(timeout_s=timeout_s)
        except UpstreamError:
            self.health.record_unreachable(now_s=self._state.now_s())
            raise

    def send(self, fields: ForwardingFields) -> None:
        """Send the request.

        :raises UpstreamError: the connection was closed, the runner may not get the
            request, or a part of the prompt is quarantined; nothing was sent.
        """
        assert self._connection is not None
        self._check_notices()
        if self._state.find_quarantined(self._context) is not None:
            raise UpstreamError("a part of the prompt is quarantined", sent=False)
        request = self._context.request
        self.started_s = self._state.now_s()
        self._connection.send_request(
            method=request.method,
            target=request.target,
            headers=encode_request_headers(request, fields),
            body=request.body,
        )

    async def read_head(self) -> ResponseHead:
        """Return the response head of this request.

        Responses to earlier requests on the same connection are discarded.

        :raises UpstreamError: the connection failed, or the response belongs to
            another request.
        """
        if self._head is not None:
            return self._head
        assert self._connection is not None
        while True:
            head = await self._connection.read_head(on_head=self._record_notices)
            self._record_response()
            metadata = decode_response_headers(head.headers)
            if metadata.load is not None:
                self.health.record_load(metadata.load, now_s=self._state.now_s())
            if metadata.request_id == self._context.metadata.request_id:
                self._head = head
                if self._paced is not None and (
                    metadata.not_executed or head.status >= _MIN_SERVER_ERROR
                ):
                    self._paced.record_rejection(now_s=self._state.now_s())
                return head
            await self._discard_stale_response()

    async def read_head_in_time(self, timeout_s: float | None) -> ResponseHead:
        """Return the response head of this request, if it comes in time.

        A runner whose machine does not even acknowledge the request gets less time.

        :param timeout_s: time to wait, None for no limit.
        :raises UpstreamError: as in :meth:`read_head`.
        :raises TimeoutError: the runner is silent.
        """
        if timeout_s is not None and timeout_s > MAX_UNDELIVERED_S:
            try:
                async with asyncio.timeout(MAX_UNDELIVERED_S):
                    return await self.read_head()
            except TimeoutError:
                if self._connection is not None and self._connection.is_undelivered:
                    raise TimeoutError("not acknowledged") from None
            timeout_s -= MAX_UNDELIVERED_S
        async with asyncio.timeout(timeout_s):
            return await self.read_head()

    async def wait_for_input(self) -> None:
        """Wait until more of the response has arrived, or the connection has ended.

        Returns at once if that was read ahead.
        """
        if self.events or self.is_settled:
            return
        assert self._connection is not None
        await self._connection.wait_for_input()

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, None at its regular end."""
        assert self._connection is not None
        chunk = await self._connection.read_body_chunk()
        self._record_response()
        if self._paced is not None:
            now_s = self._state.now_s()
            self._paced.record_answer(
                took_s=now_s - self.started_s,
                host_count=self._state.count_hosts(),
                now_s=now_s,
            )
        return chunk

    async def read_events(self) -> bool:
        """Wait for events to take; return whether the body has not ended regularly.

        :raises UpstreamError: the body is truncated.
        :raises EventTooLongError: an event exceeds the size limit.
        """
        return bool(self.events) or await self.read_events_ahead() is not None

    async def read_events_ahead(self) -> list[Event] | None:
        """Return further events, None at the regular end of the body.

        They are kept until they are taken, even if the caller is cancelled.

        :raises UpstreamError: the body is truncated, or too much was read ahead.
        :raises EventTooLongError: an event exceeds the size limit.
        """
        if self._has_ended:
            return None
        if sum(len(event.data) for event in self.events) > MAX_AHEAD_BYTES:
            raise UpstreamError("too much to read ahead", sent=True)
        chunk = await self.read_chunk()
        if chunk is None:
            self._has_ended = True
            return None
        events = self.splitter.feed(chunk)
        self.events += events
        return events

    def take_events(self) -> list[Event]:
        """Return the events that were read and not taken yet."""
        events, self.events = self.events, []
        return events

    def _check_notices(self) -> None:
        """Check that the runner may get a request now.

        :raises UpstreamError: it may not, because of what it or the registry said.
        """
        now_s = self._state.now_s()
        objection = self._state.notices.find_objection(self.entry, now_s=now_s)
        if objection is None:
            return
        fields = objection_fields(objection)
        self._context.trace.add_step(
            "withheld", now_s=now_s, runner=self.entry.instance, **fields
        )
        self._state.metrics.withheld_requests.labels(
            self._context.service.name, fields["reason"]
        ).inc()
        raise UpstreamError(describe_objection(objection), sent=False)

    def _record_notices(self, head: ResponseHead) -> None:
        self._state.notices.record(self.entry, head, now_s=self._state.now_s())

    def _record_response(self) -> None:
        now_s = self._state.now_s()
        self._state.fleet.record_response(self.entry.instance, now_s=now_s)

    async def read_response(self, head: ResponseHead, *, max_bytes: int) -> Response:
        """Read the whole body, release the connection and return the response.

        :raises UpstreamError: the body is truncated or exceeds the limit.
        """
        while (part := await self.read_chunk()) is not None:
            self._body += part
            size = len(self._body)
            if size > max_bytes:
                raise UpstreamError("response body exceeds the size limit", sent=True)
            if size > LARGE_MESSAGE_BYTES and self._connection is not None:
                await self._connection.reserve(head, size, max_bytes=max_bytes)
        self.release(head)
        body = self._body
        return Response(
            status=head.status,
            headers=head.headers,
            # A long body is not copied.
            body=body if len(body) > LARGE_MESSAGE_BYTES else bytes(body),
        )

    def release(self, head: ResponseHead) -> None:
        """Return the connection to the pool after a complete response."""
        if self._connection is not None:
            self._pool.release(self._connection, head.headers)
            self._connection = None
        self._set_outstanding(False)

    def close(self) -> None:
        """Close the connection unless it was released already."""
        if self._connection is not None:
            self._pool.abort(self._connection)
            self._connection = None
        self._set_outstanding(False)

    def _set_outstanding(self, outstanding: bool) -> None:
        """Count the request as load of the runner, or no longer; each at most once."""
        self.health.outstanding += int(outstanding) - int(self._is_outstanding)
        self._is_outstanding = outstanding
        if self._paced is not None and not outstanding:
            now_s = self._state.now_s()
            self._paced.end(took_s=now_s - self.started_s, now_s=now_s)

    async def _discard_stale_response(self) -> None:
        """Discard the response to an earlier request on this connection.

        :raises UpstreamError: there are too many, or the connection is not usable.
        """
        assert self._connection is not None
        self._stale_responses += 1
        stale_bytes = 0
        while (chunk := await self._connection.read_body_chunk()) is not None:
            stale_bytes += len(chunk)
            if stale_bytes > MAX_STALE_RESPONSE_BYTES:
                raise UpstreamError("stale response exceeds the limit", sent=True)
        request = self._context.request
        skipped = self._connection.skip_stale_response(
            method=request.method, target=request.target
        )
        if self._stale_responses > MAX_STALE_RESPONSES or not skipped:
            raise UpstreamError("response belongs to another request", sent=True)


async def wait_for_any(attempts: Sequence[Attempt]) -> Attempt:
    """Wait until the runner of an attempt sends again, or its connection ends."""
    waits = {
        asyncio.ensure_future(attempt.wait_for_input()): attempt for attempt in attempts
    }
    try:
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
    return waits[done.pop()]
