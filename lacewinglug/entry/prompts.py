"""HTTP handler of prompts."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

from lacewinglug.entry.intake import ANSWERED, REQUEST_ID_HEADER, Intake
from lacewinglug.entry.responses import bad_request, failure_response, unknown_kind
from lacewinglug.requests.outcomes import (
    FailedWhileRunning,
    NotRun,
    OutcomeUnknown,
    failure_body,
    outcome_name,
)
from lacewinglug.requests.prompts import AnswerEnd, AnswerPart, PromptBody, PromptRelay
from lacewinglug.routing.profile import RequestProfile


@dataclass(kw_only=True)
class PromptHandler:
    """Takes prompts and streams their answers.

    :param intake: what the handlers share.
    :param relay: relays prompts to engines.
    """

    intake: Intake
    relay: PromptRelay

    async def handle(self, request: Request) -> Response:
        """Relay a prompt and stream the answer."""
        refusal = self.intake.refuse_caller(request)
        if refusal is not None:
            return failure_response(refusal)
        service = request.path_params["service"]
        try:
            body = msgspec.json.decode(await request.body(), type=PromptBody)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return failure_response(bad_request(str(error)))
        kind = self.intake.find_kind(service, "model", body.kind)
        if kind is None:
            return failure_response(unknown_kind(service))
        profile = self.intake.make_profile(
            request,
            kind,
            kind_name=body.kind,
            prompt_tokens=len(body.prompt.split()),
            output_tokens=body.max_tokens,
        )
        started_s = self.intake.clock.now_s()
        parts = self.relay.relay(profile, body)
        first = await anext(parts)
        if isinstance(first, NotRun | OutcomeUnknown | FailedWhileRunning):
            self.intake.note_outcome(profile, outcome_name(first), started_s)
            return failure_response(first)
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
        self.intake.running += 1
        last = first
        try:
            yield _encode_part(first)
            async for last in parts:
                yield _encode_part(last)
        finally:
            self.intake.running -= 1
            await parts.aclose()
            match last:
                case NotRun() | OutcomeUnknown() | FailedWhileRunning():
                    self.intake.note_outcome(profile, outcome_name(last), started_s)
                case AnswerEnd():
                    self.intake.note_outcome(profile, ANSWERED, started_s)
                case _:
                    self.intake.metrics.count("prompts.caller_left")


def _encode_part(part: AnswerPart) -> bytes:
    """Return one line of a streamed answer."""
    match part:
        case NotRun() | OutcomeUnknown() | FailedWhileRunning():
            return msgspec.json.encode(failure_body(part)) + b"\n"
        case _:
            return msgspec.json.encode(part) + b"\n"
