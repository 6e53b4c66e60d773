"""What the relays of one host share, and what belongs to one request."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.host.budget import RepeatBudget
from lacewinglug.host.distance import Geography
from lacewinglug.host.engines import EngineBook, EngineWork
from lacewinglug.host.fleet import FleetView
from lacewinglug.host.life import RequestLife
from lacewinglug.host.model import (
    HostSettings,
    IncomingRequest,
    Route,
    RunnerEntry,
    Service,
    Stage,
    UpstreamCall,
)
from lacewinglug.host.reporting import HostMetrics, RequestStory
from lacewinglug.host.routes import RouteTable
from lacewinglug.host.upstreams import Upstreams
from lacewinglug.platform.headers import (
    decode_response_headers,
    encode_request_headers,
    instance_headers,
)
from lacewinglug.wire.client import ClientConnection, UpstreamError
from lacewinglug.wire.messages import Request, Response, ResponseHead
from lacewinglug.wire.pool import ConnectionPool

CONNECT_TIMEOUT_S = 0.5
"""Longest time to connect to a runner, in s; ten round trips between regions."""
ENGINE_CALL_TIMEOUT_S = 1.0
"""Longest time for an engine's answer to a call of the host itself, in s."""
MOST_CALL_BYTES = 1_048_576
"""Longest such answer; a list of cached parts is the longest."""
STRAY_ANSWERS = 2
"""Answers to earlier requests that are stepped over on one connection."""


@dataclass(kw_only=True)
class HostState:
    """Owns what all requests of a host share.

    :param settings: settings of the host.
    :param now_s: returns monotonic seconds.
    :param hosts: returns how many hosts may be alive.
    :param tell_work: tells other hosts of work given to an engine.
    :param budgets: budgets of repeats by service.
    """

    settings: HostSettings
    now_s: Callable[[], float]
    hosts: Callable[[], int]
    tell_work: Callable[[EngineWork], None]
    metrics: HostMetrics
    routes: RouteTable = field(default_factory=RouteTable)
    fleet: FleetView = field(default_factory=FleetView)
    engines: EngineBook = field(default_factory=EngineBook)
    upstreams: Upstreams = field(init=False)
    geography: Geography = field(init=False)
    background: set[asyncio.Task[None]] = field(default_factory=set)
    budgets: dict[str, RepeatBudget] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.upstreams = Upstreams(now_s=self.now_s, hosts=self.hosts)
        self.geography = Geography(regions=self.settings.regions)

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeats to a service."""
        found = self.budgets.get(service)
        if found is None:
            found = RepeatBudget(
                ratio=self.settings.retry_ratio,
                slack=self.settings.retry_slack,
                window_s=self.settings.retry_window_s,
            )
            self.budgets[service] = found
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
        """Call an engine on the host's own behalf.

        :param may_send: asked right before the call is sent.
        :raises UpstreamError: there is no whole answer.
        :raises TimeoutError: there is none in time.
        """
        pool = self.upstreams.pool(entry, service)
        async with asyncio.timeout(ENGINE_CALL_TIMEOUT_S):
            connection = await pool.acquire(timeout_s=ENGINE_CALL_TIMEOUT_S)
            try:
                if not may_send():
                    raise UpstreamError("no longer allowed", sent=False)
                connection.send_request(
                    method=method,
                    target=target,
                    headers=instance_headers(entry.address, entry.instance),
                    body=body,
                )
                response = await connection.read_response(
                    max_body_bytes=MOST_CALL_BYTES
                )
            except BaseException:
                pool.abort(connection)
                raise
        pool.release(connection, response.headers)
        return response

    def own_streams(self) -> dict[str, int]:
        """Return how many streams this host runs at each engine."""
        counts = {}
        for entry in self.fleet.entries:
            if entry.stage is Stage.DECODE:
                running = self.upstreams.health(entry.instance).outstanding
                if running:
                    counts[entry.instance] = running
        return counts

    def forget_gone(self) -> None:
        """Drop what is known of runners that have left."""
        kept = [entry.instance for entry in self.fleet.entries]
        self.upstreams.forget_gone(kept)
        self.engines.forget_gone(kept)


@dataclass(kw_only=True)
class RequestContext:
    """One request on its way.

    :param request: the request as it was read.
    :param facts: what its head says.
    :param route: route that it takes.
    :param service: service that serves it.
    :param expires_s: monotonic time by which it needs its final answer.
    :param sends: runners that it was sent to.
    """

    request: Request
    facts: IncomingRequest
    route: Route
    service: Service
    expires_s: float
    life: RequestLife
    story: RequestStory
    sends: int = 0
    tried: set[str] = field(default_factory=set)

    @property
    def late_at_s(self) -> float:
        """Monotonic time from which an answer is late."""
        return self.request.received_s + self.route.target_latency_s

    def left_s(self, now_s: float) -> float:
        """Return the time until the final answer is due."""
        return self.expires_s - now_s

    def deadline_s(self, now_s: float) -> float | None:
        """Return the time to hand to a runner, at most what the client waits."""
        passed_s = now_s - self.request.received_s
        limits = [self.route.timeout_s - passed_s]
        if self.facts.deadline_s is not None:
            limits.append(self.facts.deadline_s - passed_s)
        return min(limits)

    def make_call(
        self,
        entry: RunnerEntry,
        *,
        now_s: float,
        priority: int | None = None,
        prefill_only: bool = False,
        cache_source: str | None = None,
        fetch_from: str | None = None,
        last_event: int | None = None,
    ) -> UpstreamCall:
        """Return what the host adds to the request for a runner."""
        return UpstreamCall(
            instance=entry.instance,
            deadline_s=self.deadline_s(now_s),
            priority=priority,
            prefill_only=prefill_only,
            cache_source=cache_source,
            fetch_from=fetch_from,
            last_event=last_event,
        )


class Attempt:
    """One exchange with a runner, which ends its connection unless it is whole.

    :param state: the host.
    :param context: the request.
    :param entry: the runner.
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
        self._strays = 0

    async def connect(self) -> None:
        """Take a connection to the runner.

        :raises UpstreamError: none can be had; nothing was sent.
        """
        timeout_s = min(
            CONNECT_TIMEOUT_S, max(0.05, self._context.left_s(self._state.now_s()))
        )
        try:
            self._connection = await self._pool.acquire(timeout_s=timeout_s)
        except UpstreamError:
            self.health.note_unreachable(now_s=self._state.now_s())
            raise
        self.health.outstanding += 1

    def send(self, call: UpstreamCall) -> None:
        """Send the request.

        :raises UpstreamError: the connection had ended or the runner leaves; nothing
            was sent.
        """
        assert self._connection is not None
        known = self._state.fleet.get(self.entry.instance)
        if known is None or known.draining:
            raise UpstreamError("the runner has left", sent=False)
        request = self._context.request
        self.started_s = self._state.now_s()
        self._connection.send_request(
            method=request.method,
            target=request.target,
            headers=encode_request_headers(request, call),
            body=request.body,
        )

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer to this request.

        :raises UpstreamError: none comes, or it belongs to another request.
        """
        assert self._connection is not None
        while True:
            head = await self._connection.read_head()
            facts = decode_response_headers(head.headers)
            if facts.load is not None:
                self.health.note_load(facts.load, now_s=self._state.now_s())
            if facts.request_id == self._context.facts.request_id:
                return head
            await self._skip_stray()

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, None at its proper end."""
        assert self._connection is not None
        return await self._connection.read_body_chunk()

    async def read_whole(self, head: ResponseHead, *, most_bytes: int) -> Response:
        """Return the answer with its whole body.

        :raises UpstreamError: the body is cut or too long.
        """
        body = bytearray()
        while (part := await self.read_part()) is not None:
            body += part
            if len(body) > most_bytes:
                raise UpstreamError("the answer is too long", sent=True)
        self.finish(head)
        return Response(status=head.status, headers=head.headers, body=bytes(body))

    def finish(self, head: ResponseHead) -> None:
        """Give the connection back after a whole answer."""
        if self._connection is not None:
            self._pool.release(self._connection, head.headers)
            self._connection = None
            self.health.outstanding -= 1

    def drop(self) -> None:
        """End the connection unless the answer was whole."""
        if self._connection is not None:
            self._pool.abort(self._connection)
            self._connection = None
            self.health.outstanding -= 1

    async def _skip_stray(self) -> None:
        """Read over an answer to an earlier request on this connection."""
        assert self._connection is not None
        self._strays += 1
        while await self._connection.read_body_chunk() is not None:
            pass
        request = self._context.request
        skipped = self._connection.skip_stale_response(
            method=request.method, target=request.target
        )
        if self._strays > STRAY_ANSWERS or not skipped:
            raise UpstreamError("answer to another request", sent=True)
