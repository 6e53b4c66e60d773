"""The HTTP interface that callers use."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from lacewinglug.config.objects import RequestKind
from lacewinglug.control import HostStatus, RunnerStatus
from lacewinglug.entry.view import EntryView
from lacewinglug.ids import IdFactory
from lacewinglug.membership.addresses import (
    EntryAddresses,
    choose_entries,
    entry_urls,
)
from lacewinglug.metrics import Metrics
from lacewinglug.requests.calls import Call, CallRunner
from lacewinglug.requests.keys import KeyLedger
from lacewinglug.requests.outcomes import (
    FailedWhileRunning,
    NotRun,
    OutcomeUnknown,
    RequestFailure,
    failure_body,
    failure_status,
)
from lacewinglug.requests.prompts import AnswerPart, PromptBody, PromptRelay
from lacewinglug.settings import Settings
from lacewinglug.upstream.client import KEY_HEADER

CALLER_HEADER = "X-Caller"
REGION_HEADER = "X-Region"
REQUEST_ID_HEADER = "X-Request-Id"


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
    :param metrics: counters.
    """

    settings: Settings
    view: EntryView
    ids: IdFactory
    ledger: KeyLedger
    prompts: PromptRelay
    calls: CallRunner
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
        request_id = self.ids.make()
        parts = self.prompts.relay(service, request_id, body)
        first = await anext(parts)
        if isinstance(first, NotRun | OutcomeUnknown | FailedWhileRunning):
            return _refuse(first)
        self.metrics.count("prompts.started")
        return StreamingResponse(
            self._stream(first, parts),
            media_type="application/x-ndjson",
            headers={REQUEST_ID_HEADER: request_id},
        )

    async def _stream(
        self, first: AnswerPart, parts: AsyncIterator[AnswerPart]
    ) -> AsyncIterator[bytes]:
        self.running += 1
        try:
            yield _encode_part(first)
            async for part in parts:
                yield _encode_part(part)
        finally:
            self.running -= 1

    async def handle_call(self, request: Request) -> Response:
        """Run a call at a plain service."""
        service = request.path_params["service"]
        kind = self._find_kind(service, request.path_params["kind"])
        if kind is None:
            return _refuse(_unknown_kind(service))
        key = request.headers.get(KEY_HEADER) or self.ledger.mint()
        call = Call(
            service=service,
            path=kind.path,
            body=await request.body(),
            key=key,
            timeout_s=kind.timeout_s,
        )
        self.running += 1
        try:
            result = await self.calls.run(call)
        finally:
            self.running -= 1
        match result:
            case Success(reply):
                return _json(reply)
            case Failure(failure):
                return _refuse(failure)
        raise AssertionError("a result is a success or a failure")

    def _find_kind(self, service_name: str, kind_name: str) -> RequestKind | None:
        service = self.view.fleet.services.get(service_name)
        if service is None or service.kind != "plain":
            return None
        return service.kinds.get(kind_name)

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
        return Starlette(
            routes=[
                Route("/v1/entries", self.handle_entries, methods=["GET"]),
                Route("/v1/keys", self.handle_mint, methods=["POST"]),
                Route(
                    "/v1/services/{service}/prompts",
                    self.handle_prompt,
                    methods=["POST"],
                ),
                Route(
                    "/v1/services/{service}/calls/{kind}",
                    self.handle_call,
                    methods=["POST"],
                ),
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
        reason=f"service {service!r} has no such kind of call",
        remedy="use a service and kind of the configuration",
        retry_after_s=0.0,
        status=404,
    )
