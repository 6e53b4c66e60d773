"""The HTTP interface that callers use."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from lacewinglug.clock import Clock
from lacewinglug.config.objects import RequestKind, ServiceKind
from lacewinglug.control import HostStatus, RunnerStatus
from lacewinglug.entry.view import EntryView
from lacewinglug.ids import IdFactory
from lacewinglug.membership.addresses import (
    EntryAddresses,
    choose_entries,
    entry_urls,
)
from lacewinglug.metrics import Metrics
from lacewinglug.report.recorder import OutcomeRecorder, RequestOutcome
from lacewinglug.requests.calls import Call, CallRunner
from lacewinglug.requests.keys import KeyLedger
from lacewinglug.requests.outcomes import (
    FailedWhileRunning,
    NotRun,
    OutcomeUnknown,
    RequestFailure,
    failure_body,
    failure_status,
    outcome_name,
)
from lacewinglug.requests.prompts import AnswerEnd, AnswerPart, PromptBody, PromptRelay
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.settings import Settings
from lacewinglug.upstream.client import KEY_HEADER

CALLER_HEADER = "X-Caller"
REGION_HEADER = "X-Region"
REQUEST_ID_HEADER = "X-Request-Id"
ANSWERED = "answered"


class KeyReply(msgspec.Struct, frozen=True, kw_only=True):
    """A minted key for a call that may not be repeated."""

    key: str


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """What this entry knows of the fleet.

    :param host: name of this host.
    :param revision: revision that this entry serves with.
    :param hosts: status of the hosts.
    :param runners: status of the runners.
    :param draining: hosts and runners that get no new work.
    :param withdrawn: hosts and runners that are gone.
    :param holders: host that holds the tenure of each order domain.
    """

    host: str
    revision: int
    hosts: list[HostStatus]
    runners: list[RunnerStatus]
    draining: list[str]
    withdrawn: list[str]
    holders: dict[str, str]


@dataclass(kw_only=True)
class EntryApp:
    """Handlers of the entry's HTTP interface.

    :param settings: settings of the host.
    :param view: what is known of the fleet.
    :param ids: makes request ids.
    :param ledger: keys of calls.
    :param prompts: relays prompts.
    :param calls: runs calls.
    :param recorder: counts outcomes for the service-level report.
    :param clock: source of time.
    :param metrics: counters.
    """

    settings: Settings
    view: EntryView
    ids: IdFactory
    ledger: KeyLedger
    prompts: PromptRelay
    calls: CallRunner
    recorder: OutcomeRecorder
    clock: Clock
    metrics: Metrics
    running: int = 0
    leaving: bool = False

    async def handle_entries(self, request: Request) -> Response:
        """Tell a caller which entry hosts to use."""
        fleet = self.view.fleet
        unavailable = self.view.unavailable()
        if self.leaving:
            unavailable.add(self.settings.host.name)
        names = choose_entries(
            fleet,
            caller=request.headers.get(CALLER_HEADER, ""),
            region=request.headers.get(REGION_HEADER, ""),
            unavailable=unavailable,
        )
        reply = EntryAddresses(
            addresses=entry_urls(fleet, names),
            ttl_s=self.settings.entry.address_ttl_s,
        )
        return _json(reply)

    async def handle_mint(self, request: Request) -> Response:
        """Mint a key for a call that may not be repeated."""
        return _json(KeyReply(key=self.ledger.mint()), status_code=201)

    async def handle_prompt(self, request: Request) -> Response:
        """Relay a prompt and stream the answer."""
        service = request.path_params["service"]
        try:
            body = msgspec.json.decode(await request.body(), type=PromptBody)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return _refuse(_bad_request(str(error)))
        kind = self._find_kind(service, "model", body.kind)
        if kind is None:
            return _refuse(_unknown_kind(service))
        profile = self._profile(
            request,
            kind,
            kind_name=body.kind,
            prompt_tokens=len(body.prompt.split()),
            output_tokens=body.max_tokens,
        )
        started_s = self.clock.now_s()
        parts = self.prompts.relay(profile, body)
        first = await anext(parts)
        if isinstance(first, NotRun | OutcomeUnknown | FailedWhileRunning):
            self._note(profile, outcome_name(first), started_s)
            return _refuse(first)
        return StreamingResponse(
            self._stream(profile, first, parts, started_s),
            media_type="application/x-ndjson",
            headers={REQUEST_ID_HEADER: profile.request_id},
        )

    async def _stream(
        self,
        profile: RequestProfile,
        first: AnswerPart,
        parts: AsyncGenerator[AnswerPart, None],
        started_s: float,
    ) -> AsyncGenerator[bytes, None]:
        """Yield the lines of a streamed answer and count its outcome."""
        self.running += 1
        last = first
        try:
            yield _encode_part(first)
            async for last in parts:
                yield _encode_part(last)
        finally:
            self.running -= 1
            await parts.aclose()
            match last:
                case NotRun() | OutcomeUnknown() | FailedWhileRunning():
                    self._note(profile, outcome_name(last), started_s)
                case AnswerEnd():
                    self._note(profile, ANSWERED, started_s)
                case _:
                    self.metrics.count("prompts.caller_left")

    async def handle_call(self, request: Request) -> Response:
        """Run a call at a plain service."""
        service = request.path_params["service"]
        kind_name = request.path_params["kind"]
        kind = self._find_kind(service, "plain", kind_name)
        if kind is None:
            return _refuse(_unknown_kind(service))
        profile = self._profile(request, kind, kind_name=kind_name)
        call = Call(
            profile=profile,
            path=kind.path,
            body=await request.body(),
            key=request.headers.get(KEY_HEADER) or self.ledger.mint(),
            timeout_s=kind.timeout_s,
        )
        started_s = self.clock.now_s()
        self.running += 1
        try:
            result = await self.calls.run(call)
        finally:
            self.running -= 1
        match result:
            case Success(reply):
                self._note(profile, ANSWERED, started_s)
                return _json(reply)
            case Failure(failure):
                self._note(profile, outcome_name(failure), started_s)
                return _refuse(failure)
        raise AssertionError("a result is a success or a failure")

    def _find_kind(
        self, service_name: str, service_kind: ServiceKind, kind_name: str
    ) -> RequestKind | None:
        """Return a kind of request; an empty name means the service's first."""
        service = self.view.fleet.services.get(service_name)
        if service is None or service.kind != service_kind:
            return None
        if not kind_name:
            return next(iter(service.kinds.values()))
        return service.kinds.get(kind_name)

    def _profile(
        self,
        request: Request,
        kind: RequestKind,
        *,
        kind_name: str,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
    ) -> RequestProfile:
        return RequestProfile(
            request_id=self.ids.make(),
            service=request.path_params["service"],
            kind=kind_name,
            organisation=request.headers.get(CALLER_HEADER, ""),
            weight=kind.weight,
            deadline_s=self.clock.now_s() + kind.timeout_s,
            idempotent=kind.idempotent,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )

    def _note(self, profile: RequestProfile, outcome: str, started_s: float) -> None:
        """Count the outcome of a request."""
        latency_s = self.clock.now_s() - started_s
        self.metrics.count(f"requests.{outcome}")
        self.metrics.timing("requests.latency", latency_s)
        self.recorder.note(
            RequestOutcome(
                service=profile.service,
                kind=profile.kind,
                runner="",
                outcome=outcome,
                latency_s=latency_s,
            )
        )

    async def handle_status(self, request: Request) -> Response:
        """Tell operators what this entry knows."""
        config = self.view.config
        return _json(
            StatusReply(
                host=self.settings.host.name,
                revision=self.view.revision,
                hosts=list(self.view.hosts.values()),
                runners=list(self.view.runners.values()),
                draining=config.draining if config else [],
                withdrawn=config.withdrawn if config else [],
                holders=(
                    {domain: item.host for domain, item in config.tenures.items()}
                    if config
                    else {}
                ),
            )
        )

    def app(self) -> Starlette:
        """Return the HTTP application."""
        service = "/v1/services/{service}"
        return Starlette(
            routes=[
                Route("/v1/entries", self.handle_entries, methods=["GET"]),
                Route("/v1/keys", self.handle_mint, methods=["POST"]),
                Route(f"{service}/prompts", self.handle_prompt, methods=["POST"]),
                Route(f"{service}/calls/{{kind}}", self.handle_call, methods=["POST"]),
                Route("/v1/status", self.handle_status, methods=["GET"]),
            ]
        )


def _json(message: object, *, status_code: int = 200) -> Response:
    return Response(
        msgspec.json.encode(message),
        status_code=status_code,
        media_type="application/json",
    )


def _refuse(failure: RequestFailure) -> Response:
    """Return the response to a failed request."""
    body = failure_body(failure)
    response = _json(body, status_code=failure_status(failure))
    if body.retry_after_s > 0:
        response.headers["Retry-After"] = f"{body.retry_after_s:.0f}"
    return response


def _encode_part(part: AnswerPart) -> bytes:
    """Return one line of a streamed answer."""
    match part:
        case NotRun() | OutcomeUnknown() | FailedWhileRunning():
            return msgspec.json.encode(failure_body(part)) + b"\n"
        case _:
            return msgspec.json.encode(part) + b"\n"


def _bad_request(reason: str) -> NotRun:
    return NotRun(
        reason=f"the body is not valid: {reason}",
        remedy="correct the body; see docs/CALLERS.md",
        retry_after_s=0.0,
        status=400,
    )


def _unknown_kind(service: str) -> NotRun:
    return NotRun(
        reason=f"service {service!r} has no such kind of request",
        remedy="use a service and kind of the configuration",
        retry_after_s=0.0,
        status=404,
    )
