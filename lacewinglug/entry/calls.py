"""HTTP handlers of calls to plain services and of their keys."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success
from starlette.requests import Request
from starlette.responses import Response

from lacewinglug.entry.intake import Intake
from lacewinglug.entry.responses import (
    failure_response,
    message_response,
    unknown_kind,
)
from lacewinglug.report.recorder import ANSWERED
from lacewinglug.requests.calls import Call, CallRunner
from lacewinglug.requests.keys import KeyLedger
from lacewinglug.requests.outcomes import outcome_name
from lacewinglug.upstream.client import KEY_HEADER


class KeyReply(msgspec.Struct, frozen=True, kw_only=True):
    """A minted key for a call that may not be repeated."""

    key: str


@dataclass(kw_only=True)
class CallHandler:
    """Takes calls and mints their keys.

    :param intake: what the handlers share.
    :param calls: runs calls.
    :param ledger: keys of calls.
    """

    intake: Intake
    calls: CallRunner
    ledger: KeyLedger

    async def handle_mint(self, request: Request) -> Response:
        """Mint a key for a call that may not be repeated."""
        return message_response(KeyReply(key=self.ledger.mint()), status_code=201)

    async def handle(self, request: Request) -> Response:
        """Run a call at a plain service."""
        service = request.path_params["service"]
        kind_name = request.path_params["kind"]
        kind = self.intake.find_kind(service, "plain", kind_name)
        if kind is None:
            return failure_response(unknown_kind(service))
        profile = self.intake.make_profile(request, kind, kind_name=kind_name)
        call = Call(
            profile=profile,
            path=kind.path,
            body=await request.body(),
            key=request.headers.get(KEY_HEADER) or self.ledger.mint(),
            timeout_s=kind.timeout_s,
        )
        started_s = self.intake.clock.now_s()
        self.intake.running += 1
        try:
            result = await self.calls.run(call)
        finally:
            self.intake.running -= 1
        match result:
            case Success(reply):
                self.intake.note_outcome(profile, ANSWERED, started_s)
                return message_response(reply)
            case Failure(failure):
                self.intake.note_outcome(profile, outcome_name(failure), started_s)
                return failure_response(failure)
        raise AssertionError("a result is a success or a failure")
