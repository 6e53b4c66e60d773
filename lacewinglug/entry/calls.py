"""HTTP handlers of calls to plain services and of their keys."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success
from starlette.requests import Request
from starlette.responses import Response

from lacewinglug.config.objects import RequestKind
from lacewinglug.entry.authentication import AUTHORIZATION_HEADER
from lacewinglug.entry.intake import CALLER_HEADER, INCARNATION_HEADER, HandlerContext
from lacewinglug.entry.peers import (
    CALLER_AUTHORIZATION_HEADER,
    PeerAnswer,
    encode_result,
)
from lacewinglug.entry.responses import (
    failure_response,
    message_response,
    unknown_kind,
)
from lacewinglug.report.recorder import ANSWERED
from lacewinglug.requests.calls import Call, CallSender
from lacewinglug.requests.keyed_calls import KeyedCallHandler
from lacewinglug.requests.ledger import CallResult
from lacewinglug.requests.outcomes import NotRun, allow_same_key, outcome_name
from lacewinglug.requests.peers import ForwardTarget, NotOwnerError
from lacewinglug.requests.refusals import unrecognised_key
from lacewinglug.upstream.client import KEY_HEADER


class KeyReply(msgspec.Struct, frozen=True, kw_only=True):
    """Response that carries a minted idempotency key."""

    key: str


@dataclass(kw_only=True)
class CallHandler:
    """Handles calls to plain services and mints keys.

    :param context: state that the request handlers share.
    :param keyed_calls: runs calls that are not idempotent, at most once for each key.
    :param call_runner: runs idempotent calls.
    """

    context: HandlerContext
    keyed_calls: KeyedCallHandler
    call_runner: CallSender

    async def handle_mint_key(self, request: Request) -> Response:
        """Mint an idempotency key for a call that is not idempotent."""
        refusal = self.context.check_caller(request)
        if refusal is not None:
            return failure_response(refusal)
        organisation = request.headers.get(CALLER_HEADER, "")
        reply = KeyReply(key=self.keyed_calls.minter.mint(organisation))
        return message_response(reply, status_code=201)

    async def handle(self, request: Request) -> Response:
        """Run a call at a plain service."""
        key = request.headers.get(KEY_HEADER, "")
        kind = self.context.check_caller(request) or self._find_kind(request)
        if isinstance(kind, NotRun):
            return failure_response(allow_same_key(kind) if key else kind)
        if not key and not kind.idempotent:
            key = self.keyed_calls.minter.mint(request.headers.get(CALLER_HEADER, ""))
        authorization = request.headers.get(AUTHORIZATION_HEADER, "")
        call = await self._make_call(request, kind, key, authorization)
        result = await self._run_call(call)
        return _call_response(call, result)

    async def handle_forwarded_call(self, request: Request) -> Response:
        """Run a step of a keyed call that another entry forwards."""
        headers = request.headers
        authorization = headers.get(CALLER_AUTHORIZATION_HEADER, "")
        refusal = self.context.check_peer(request, authorization)
        if refusal is not None:
            return failure_response(refusal)
        kind = self._find_kind(request)
        if isinstance(kind, NotRun):
            return failure_response(kind)
        try:
            step = ForwardTarget(request.path_params["step"])
        except ValueError:
            return failure_response(unrecognised_key())
        call = await self._make_call(
            request, kind, headers.get(KEY_HEADER, ""), authorization
        )
        incarnation = headers.get(INCARNATION_HEADER, "")
        self.context.running_requests += 1
        try:
            result = await self.keyed_calls.handle_forwarded(
                call, incarnation=incarnation, target=step
            )
        except NotOwnerError:
            return message_response(PeerAnswer(key=call.key, is_owner=False))
        finally:
            self.context.running_requests -= 1
        return message_response(encode_result(call.key, result))

    def _find_kind(self, request: Request) -> RequestKind | NotRun:
        """Return the request kind of a call, or the refusal of an unknown kind."""
        service = request.path_params["service"]
        kind = self.context.find_kind(service, "plain", request.path_params["kind"])
        return kind or unknown_kind(service)

    async def _make_call(
        self, request: Request, kind: RequestKind, key: str, authorization: str
    ) -> Call:
        profile = self.context.make_profile(
            request, kind, kind_name=request.path_params["kind"]
        )
        return Call(
            profile=profile,
            path=kind.path,
            body=await request.body(),
            key=key,
            timeout_s=kind.timeout_s,
            authorization=authorization,
        )

    async def _run_call(self, call: Call) -> CallResult:
        """Run a call and record its outcome."""
        started_s = self.context.clock.now_s()
        self.context.running_requests += 1
        try:
            if call.profile.idempotent:
                result = await self.call_runner.send_idempotent(call)
            else:
                result = await self.keyed_calls.handle(call)
        finally:
            self.context.running_requests -= 1
        match result:
            case Success(_):
                outcome = ANSWERED
            case Failure(failure):
                outcome = outcome_name(failure)
        self.context.record_outcome(
            call.profile, outcome, started_s, runner=call.last_runner
        )
        return result


def _call_response(call: Call, result: CallResult) -> Response:
    """Return the response that carries the result of a call."""
    match result:
        case Success(reply):
            response = message_response(reply)
        case Failure(failure):
            response = failure_response(failure)
    if call.key:
        response.headers[KEY_HEADER] = call.key
    return response
