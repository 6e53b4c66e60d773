"""HTTP handlers of calls to plain services and of their keys."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success
from starlette.requests import Request
from starlette.responses import Response

from lacewinglug.config.objects import RequestKind
from lacewinglug.entry.authentication import AUTHORIZATION_HEADER
from lacewinglug.entry.intake import CALLER_HEADER, INCARNATION_HEADER, Intake
from lacewinglug.entry.peers import (
    CALLER_AUTHORIZATION_HEADER,
    PeerAnswer,
    make_answer,
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
    """A minted key for a call that may not be repeated."""

    key: str


@dataclass(kw_only=True)
class CallHandler:
    """Takes calls and mints their keys.

    :param intake: what the handlers share.
    :param keyed: answers calls that may not be repeated.
    :param runner: runs idempotent calls.
    """

    intake: Intake
    keyed: KeyedCallHandler
    runner: CallSender

    async def handle_mint(self, request: Request) -> Response:
        """Mint a key for a call that may not be repeated."""
        refusal = self.intake.refuse_caller(request)
        if refusal is not None:
            return failure_response(refusal)
        organisation = request.headers.get(CALLER_HEADER, "")
        reply = KeyReply(key=self.keyed.minter.mint(organisation))
        return message_response(reply, status_code=201)

    async def handle(self, request: Request) -> Response:
        """Run a call at a plain service."""
        key = request.headers.get(KEY_HEADER, "")
        kind = self.intake.refuse_caller(request) or self._find_kind(request)
        if isinstance(kind, NotRun):
            return failure_response(allow_same_key(kind) if key else kind)
        if not key and not kind.idempotent:
            key = self.keyed.minter.mint(request.headers.get(CALLER_HEADER, ""))
        authorization = request.headers.get(AUTHORIZATION_HEADER, "")
        call = await self._make_call(request, kind, key, authorization)
        result = await self._run(call)
        return _call_response(call, result)

    async def handle_peer(self, request: Request) -> Response:
        """Answer a keyed call that another entry forwards."""
        headers = request.headers
        authorization = headers.get(CALLER_AUTHORIZATION_HEADER, "")
        refusal = self.intake.refuse_peer(request, authorization)
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
        self.intake.running += 1
        try:
            result = await self.keyed.handle_forwarded(
                call, incarnation=incarnation, target=step
            )
        except NotOwnerError:
            return message_response(PeerAnswer(key=call.key, is_owner=False))
        finally:
            self.intake.running -= 1
        return message_response(make_answer(call.key, result))

    def _find_kind(self, request: Request) -> RequestKind | NotRun:
        """Return the kind of a call, or its refusal."""
        service = request.path_params["service"]
        kind = self.intake.find_kind(service, "plain", request.path_params["kind"])
        return kind or unknown_kind(service)

    async def _make_call(
        self, request: Request, kind: RequestKind, key: str, authorization: str
    ) -> Call:
        profile = self.intake.make_profile(
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

    async def _run(self, call: Call) -> CallResult:
        """Run a call and count its outcome."""
        started_s = self.intake.clock.now_s()
        self.intake.running += 1
        try:
            if call.profile.idempotent:
                result = await self.runner.send_idempotent(call)
            else:
                result = await self.keyed.handle(call)
        finally:
            self.intake.running -= 1
        match result:
            case Success(_):
                outcome = ANSWERED
            case Failure(failure):
                outcome = outcome_name(failure)
        self.intake.note_outcome(
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
