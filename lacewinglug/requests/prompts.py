"""Relays the answer to a prompt from an engine to a caller."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from lacewinglug.entry.dispatch import Dispatch, Dispatcher
from lacewinglug.metrics import Metrics
from lacewinglug.requests.outcomes import FailedWhileRunning, RequestFailure
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.upstream.client import RunnerClient, RunnerError
from lacewinglug.upstream.messages import EndLine, GenerateRequest, TokenLine

_ATTEMPTS = 3


class PromptBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a caller's prompt.

    :param prompt: text of the prompt.
    :param max_tokens: tokens to generate.
    :param kind: kind of request of the service, empty for the first.
    """

    prompt: str
    max_tokens: int
    kind: str = ""


class AnswerToken(msgspec.Struct, frozen=True, kw_only=True, tag="token"):
    """One token of an answer, as sent to the caller."""

    index: int
    text: str


class AnswerEnd(msgspec.Struct, frozen=True, kw_only=True, tag="end"):
    """The end of a whole answer."""

    tokens: int


AnswerPart = AnswerToken | AnswerEnd | RequestFailure


@dataclass(kw_only=True)
class PromptRelay:
    """Relays prompts, moving to another runner when a stream breaks.

    :param dispatcher: places prompts on runners.
    :param client: client of the runners.
    :param metrics: counters.
    """

    dispatcher: Dispatcher
    client: RunnerClient
    metrics: Metrics

    async def relay(
        self, profile: RequestProfile, body: PromptBody
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yield the parts of an answer, the last one an end or a failure."""
        next_index = 0
        sent = False
        failed: set[str] = set()
        for _ in range(_ATTEMPTS):
            match await self.dispatcher.place(profile, excluded=failed):
                case Success(dispatch):
                    pass
                case Failure(refusal):
                    yield _give_up() if sent else refusal
                    return
            try:
                parts = self._relay_from(dispatch, body, next_index)
                async with aclosing(parts):
                    async for part in parts:
                        next_index += 1
                        yield part
                        if isinstance(part, AnswerEnd):
                            return
                sent = True
            except RunnerError as error:
                sent = sent or error.sent
                self.metrics.count("prompts.broken_streams")
            failed.add(dispatch.runner)
        yield _give_up()

    async def _relay_from(
        self, dispatch: Dispatch, body: PromptBody, next_index: int
    ) -> AsyncGenerator[AnswerToken | AnswerEnd, None]:
        """Yield what one runner sends of an answer, in order."""
        request_id = dispatch.profile.request_id
        message = GenerateRequest(
            request_id=request_id,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=dispatch.priority,
            resume_from=next_index,
        )
        succeeded = False
        try:
            async with aclosing(self.client.generate(dispatch.url, message)) as lines:
                async for line in lines:
                    match line:
                        case TokenLine() if line.request_id != request_id:
                            self.metrics.count("prompts.crossed_lines")
                        case TokenLine(index=index, text=text) if index == next_index:
                            next_index += 1
                            dispatch.note_token()
                            yield AnswerToken(index=index, text=text)
                        case EndLine(tokens=tokens) if tokens == next_index:
                            succeeded = True
                            yield AnswerEnd(tokens=tokens)
                            return
                        case _:
                            self.metrics.count("prompts.unexpected_lines")
        finally:
            dispatch.close(succeeded=succeeded)


def _give_up() -> RequestFailure:
    """Return the failure of a prompt that no runner finished."""
    return FailedWhileRunning(
        reason="no runner finished the answer", remedy="send the prompt again"
    )
