"""Relays the answer to a prompt from an engine to a caller."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass

import msgspec

from lacewinglug.entry.view import EntryView
from lacewinglug.metrics import Metrics
from lacewinglug.requests.outcomes import (
    FailedWhileRunning,
    NotRun,
    RequestFailure,
)
from lacewinglug.routing.choice import choose_runner
from lacewinglug.upstream.client import RunnerClient, RunnerError
from lacewinglug.upstream.messages import EndLine, GenerateRequest, TokenLine

_ATTEMPTS = 3


class PromptBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a caller's prompt.

    :param prompt: text of the prompt.
    :param max_tokens: tokens to generate.
    :param kind: kind of request, empty for the service's first.
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

    :param view: what is known of the fleet.
    :param client: client of the runners.
    :param metrics: counters.
    """

    view: EntryView
    client: RunnerClient
    metrics: Metrics

    async def relay(
        self, service: str, request_id: str, body: PromptBody
    ) -> AsyncIterator[AnswerPart]:
        """Yield the parts of an answer, the last one an end or a failure."""
        next_index = 0
        sent = False
        for _ in range(_ATTEMPTS):
            runner = choose_runner(self.view.candidates(service))
            if runner is None:
                break
            message = GenerateRequest(
                request_id=request_id,
                prompt=body.prompt,
                max_tokens=body.max_tokens,
                resume_from=next_index,
            )
            url = self.view.fleet.runners[runner.name].url
            self.view.in_flight[runner.name] += 1
            try:
                async with aclosing(self.client.generate(url, message)) as lines:
                    async for line in lines:
                        sent = True
                        match line:
                            case TokenLine() if line.request_id != request_id:
                                self.metrics.count("prompts.crossed_lines")
                            case TokenLine(index=index, text=text):
                                if index == next_index:
                                    next_index += 1
                                    yield AnswerToken(index=index, text=text)
                            case EndLine(tokens=tokens) if tokens == next_index:
                                yield AnswerEnd(tokens=tokens)
                                return
                            case EndLine():
                                self.metrics.count("prompts.short_answers")
            except RunnerError as error:
                sent = sent or error.sent
                self.metrics.count("prompts.broken_streams")
            finally:
                self.view.in_flight[runner.name] -= 1
        yield _failure(sent)


def _failure(sent: bool) -> RequestFailure:
    """Return the failure of a prompt that no runner finished."""
    if sent:
        return FailedWhileRunning(
            reason="no runner finished the answer",
            remedy="send the prompt again",
        )
    return NotRun(
        reason="no runner of the service accepts work",
        remedy="send the prompt again after the retry time",
    )
