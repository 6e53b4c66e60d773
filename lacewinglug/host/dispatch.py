"""Routes client requests and sends their final responses."""

import asyncio
import logging
from dataclasses import dataclass, field

from lacewinglug.host.answers import (
    LEAVING_RETRY_AFTER_S,
    RESTART_DELAY_S,
    Refusal,
    RefusalReason,
    refuse_as_not_run,
)
from lacewinglug.host.calls import CallRelay
from lacewinglug.host.context import HostState, RequestContext
from lacewinglug.host.crashes import CrashMonitor
from lacewinglug.host.life import RequestLifecycle
from lacewinglug.host.model import RequestMetadata, RetryPolicy, Route
from lacewinglug.host.placing import PromptPlacer
from lacewinglug.host.prefills import PrefillClient
from lacewinglug.host.quarantine import Admitted, Quarantined
from lacewinglug.host.reporting import RequestReporter, RequestTrace
from lacewinglug.host.residency import format_part, hash_parts
from lacewinglug.host.routes import choose_service
from lacewinglug.host.shutdown import ShutdownSchedule
from lacewinglug.host.streams import StreamRelay
from lacewinglug.organisations.directory import (
    Anonymous,
    Identified,
    Organisation,
    Unidentified,
)
from lacewinglug.platform.headers import (
    ConflictingHeadersError,
    decode_request,
    decode_request_id,
)
from lacewinglug.wire.messages import Request, Response
from lacewinglug.wire.server import Exchange

logger = logging.getLogger(__name__)

DEADLINE_MARGIN_S = 0.03
"""Time before the client's deadline at which a final status is sent, in s; must exceed
the network delay to the client. A response that has begun is not cut before the
deadline."""


@dataclass(kw_only=True)
class Dispatcher:
    """Handles each client request up to its final response.

    :param state: state of the host.
    :param reporter: counts and logs completed requests.
    """

    state: HostState
    reporter: RequestReporter
    _calls: CallRelay = field(init=False)
    _streams: StreamRelay = field(init=False)
    _time_limits: set[asyncio.Timeout] = field(default_factory=set)

    def __post_init__(self) -> None:
        crash_monitor = CrashMonitor(state=self.state)
        self._calls = CallRelay(state=self.state, crash_monitor=crash_monitor)
        placer = PromptPlacer(state=self.state)
        self._streams = StreamRelay(
            state=self.state,
            placer=placer,
            prefill_client=PrefillClient(state=self.state, placer=placer),
            crash_monitor=crash_monitor,
        )

    def begin_shutdown(self, schedule: ShutdownSchedule) -> None:
        """Refuse requests that would not end in time, and end the others then."""
        self.state.shutdown = schedule
        for limit in self._time_limits:
            ends_s = limit.when()
            if not limit.expired() and (
                ends_s is None or ends_s > schedule.finish_by_s
            ):
                limit.reschedule(schedule.finish_by_s)

    async def handle(self, request: Request, exchange: Exchange) -> None:
        """Handle one request; the task is cancelled if the client disconnects."""
        trace = RequestTrace(
            request_id=decode_request_id(request), started_s=request.received_s
        )
        prepared: RequestContext | Response | None = None
        try:
            prepared = self._prepare(request, trace)
            match prepared:
                case Response():
                    await exchange.respond(prepared)
                    self._record_completion(
                        trace, outcome="refused", status=prepared.status
                    )
                case RequestContext():
                    await self._serve(prepared, exchange)
        except asyncio.CancelledError:
            if isinstance(prepared, RequestContext):
                prepared.lifecycle.apply("leave")
            self._record_completion(trace, outcome="client_left", status=0)
            raise
        except Exception as error:
            self._record_internal_error(error, trace)
            not_executed = (
                not isinstance(prepared, RequestContext)
                or prepared.lifecycle.not_executed
            )
            await self._respond_to_error(trace, exchange, not_executed=not_executed)

    def _prepare(
        self, request: Request, trace: RequestTrace
    ) -> RequestContext | Response:
        """Find the route and service of a request, or return an error response."""
        now_s = self.state.now_s()
        try:
            metadata = decode_request(request)
        except ConflictingHeadersError as error:
            return _refuse(
                trace, Refusal(status=400, reason=RefusalReason.BAD_REQUEST), error
            )
        trace.request_id = metadata.request_id
        trace.configuration_version = self.state.routes.version
        trace.view_age_s = self.state.fleet.age_s(now_s)
        if self.state.routes.configuration is None or not self.state.fleet.is_loaded:
            return _refuse(trace, refuse_as_not_run(RefusalReason.NOT_CONFIGURED))
        configuration = self.state.routes.configuration
        route = self.state.routes.find_route(host=metadata.host, path=metadata.path)
        if route is None and self.state.routes.is_outdated:
            return _refuse(trace, refuse_as_not_run(RefusalReason.OUTDATED))
        if route is None:
            return _refuse(trace, Refusal(status=404, reason=RefusalReason.NO_ROUTE))
        trace.route = route.name
        identification = configuration.organisations.identify(
            metadata.api_key, allow_anonymous=route.allow_anonymous
        )
        organisation: Organisation | None = None
        match identification:
            case Unidentified():
                # A later version, which this host has yet to read, may have the key.
                if self.state.routes.is_outdated:
                    return _refuse(trace, refuse_as_not_run(RefusalReason.OUTDATED))
                return _refuse(
                    trace, Refusal(status=401, reason=RefusalReason.UNKNOWN_KEY)
                )
            case Identified(organisation=found):
                organisation = found
                trace.organisation = found.name
            case Anonymous():
                pass
        trace.service = choose_service(route, metadata.request_id)
        service = self.state.routes.find_service(trace.service)
        if service is None:
            return _refuse(trace, refuse_as_not_run(RefusalReason.NO_RUNNER))
        self.state.retry_budget(service.name).record_request(now_s=now_s)
        context = RequestContext(
            request=request,
            metadata=metadata,
            route=route,
            service=service,
            expires_s=_expiry_s(request, metadata, route),
            lifecycle=RequestLifecycle(idempotent=route.idempotent),
            trace=trace,
            part_keys=_shared_part_keys(metadata),
            organisation=organisation,
            withhold_credentials=bool(configuration.organisations.organisations),
        )
        refusal = self._refuse_unfinishable(context)
        return context if refusal is None else _refuse(trace, refusal)

    def _refuse_unfinishable(self, context: RequestContext) -> Refusal | None:
        """Return a refusal if the host shuts down before the request has to end."""
        schedule = self.state.shutdown
        if schedule is None:
            return None
        now_s = self.state.now_s()
        typical_s = self.state.durations.longest_s(context.route.name, now_s=now_s)
        if schedule.can_finish(
            now_s=now_s, expires_s=context.expires_s, typical_s=typical_s
        ):
            return None
        context.trace.add_step(
            "leaving",
            now_s=now_s,
            left_ms=round((schedule.finish_by_s - now_s) * 1000),
            expires_in_ms=round(context.remaining_s(now_s) * 1000),
            typical_ms=None if typical_s is None else round(typical_s * 1000),
        )
        retry_after_s = LEAVING_RETRY_AFTER_S
        if not self.state.other_hosts_serve():
            retry_after_s = max(0.0, schedule.flush_by_s - now_s) + RESTART_DELAY_S
        return refuse_as_not_run(RefusalReason.HOST_LEAVES, retry_after_s=retry_after_s)

    async def _serve(self, context: RequestContext, exchange: Exchange) -> None:
        match await self._relay_in_time(context, exchange):
            case None:
                context.lifecycle.apply("end")
                self._record_duration(context)
                self._record_completion(context.trace, outcome="answered", status=200)
            case Response() as response:
                self._record_duration(context)
                await self._respond(context, exchange, response, outcome="answered")
            case Refusal(reason=reason) as refusal:
                response = refusal.to_response()
                await self._respond(context, exchange, response, outcome=reason.value)

    async def _relay_in_time(
        self, context: RequestContext, exchange: Exchange
    ) -> Response | Refusal | None:
        """Relay a request until it expires or the host stops.

        One that has expired is not placed.
        """
        now_s = self.state.now_s()
        remaining_s = context.remaining_s(now_s)
        if self.state.shutdown is not None:
            remaining_s = min(remaining_s, self.state.shutdown.finish_by_s - now_s)
        if remaining_s <= 0.0:
            return self._make_timeout_refusal(context)
        limit = asyncio.timeout(remaining_s)
        context.time_limit = limit
        self._time_limits.add(limit)
        try:
            async with limit:
                return await self._relay(context, exchange)
        except TimeoutError:
            return self._make_timeout_refusal(context)
        finally:
            self._time_limits.discard(limit)
            # The limit refers to the task, whose frames hold the request and response
            # of a client that left; the cycle would keep them in memory.
            context.time_limit = None
            if context.quarantine_trial and context.lifecycle.not_executed:
                self.state.quarantine.return_trial(
                    context.part_keys, now_s=self.state.now_s()
                )

    async def _relay(
        self, context: RequestContext, exchange: Exchange
    ) -> Response | Refusal | None:
        refusal = self._refuse_quarantined(context)
        if refusal is not None:
            return refusal
        match context.route.retry_policy:
            case RetryPolicy.STREAM:
                return await self._streams.relay(context, exchange)
            case RetryPolicy.SAFE | RetryPolicy.UNSAFE:
                return await self._calls.relay(context)

    def _refuse_quarantined(self, context: RequestContext) -> Refusal | None:
        now_s = self.state.now_s()
        match self.state.quarantine.admit(context.part_keys, now_s=now_s):
            case Admitted(trial=trial):
                context.quarantine_trial = trial
                return None
            case Quarantined(
                part=part, crash_count=crashes, retry_after_s=retry_after_s
            ):
                context.trace.add_step(
                    "quarantine", now_s=now_s, part=format_part(part), crashes=crashes
                )
                return refuse_as_not_run(
                    RefusalReason.QUARANTINED, retry_after_s=retry_after_s
                )

    async def _respond(
        self,
        context: RequestContext,
        exchange: Exchange,
        response: Response,
        *,
        outcome: str,
    ) -> None:
        if context.lifecycle.response_not_started:
            await exchange.respond(response)
        else:
            # Part of the body was sent already: only closing the connection tells the
            # client that the response is incomplete.
            exchange.abort()
        context.lifecycle.apply("end")
        self._record_completion(context.trace, outcome=outcome, status=response.status)

    def _make_timeout_refusal(self, context: RequestContext) -> Refusal:
        schedule = self.state.shutdown
        stopped = schedule is not None and schedule.finish_by_s < context.expires_s
        if context.lifecycle.not_executed:
            return refuse_as_not_run(
                RefusalReason.HOST_LEAVES if stopped else RefusalReason.NO_TIME
            )
        return Refusal(
            status=504,
            reason=RefusalReason.HOST_STOPS if stopped else RefusalReason.TIMED_OUT,
        )

    def _record_duration(self, context: RequestContext) -> None:
        now_s = self.state.now_s()
        self.state.durations.record(
            context.route.name, now_s - context.request.received_s, now_s=now_s
        )

    async def _respond_to_error(
        self, trace: RequestTrace, exchange: Exchange, *, not_executed: bool
    ) -> None:
        """Send the final response of a request whose handling failed unexpectedly.

        :param not_executed: whether it is certain that the request did not run.
        """
        refusal = (
            refuse_as_not_run(RefusalReason.INTERNAL_ERROR)
            if not_executed
            else Refusal(status=502, reason=RefusalReason.INTERNAL_ERROR)
        )
        status = 0
        if exchange.response_not_started:
            await exchange.respond(refusal.to_response())
            status = refusal.status
        else:
            exchange.abort()
        self._record_completion(trace, outcome=refusal.reason.value, status=status)

    def _record_internal_error(self, error: Exception, trace: RequestTrace) -> None:
        self.reporter.record_internal_error(
            error,
            what="request",
            request_id=trace.request_id,
            now_s=self.state.now_s(),
        )

    def _record_completion(
        self, trace: RequestTrace, *, outcome: str, status: int
    ) -> None:
        self.reporter.record_completion(
            trace, outcome=outcome, status=status, now_s=self.state.now_s()
        )


def _expiry_s(request: Request, metadata: RequestMetadata, route: Route) -> float:
    expires_s = request.received_s + route.timeout_s
    if metadata.deadline_s is None:
        return expires_s
    client_s = request.received_s + metadata.deadline_s - DEADLINE_MARGIN_S
    return min(expires_s, client_s)


def _shared_part_keys(metadata: RequestMetadata) -> tuple[int, ...]:
    """Return the keys of the parts that other prompts may share."""
    if metadata.prompt is None:
        return ()
    return tuple(part.key for part in hash_parts(metadata.prompt)[:-1])


def _refuse(
    trace: RequestTrace, refusal: Refusal, error: Exception | None = None
) -> Response:
    trace.service = trace.service or "-"
    trace.steps.append({"step": "refuse", "reason": refusal.reason.value})
    return refusal.to_response(str(error) if error is not None else "")
