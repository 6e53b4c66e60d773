"""Prompt and answer messages of the caller-facing API."""

from typing import Annotated

import msgspec

from lacewinglug.requests.outcomes import RequestFailure

MAX_OUTPUT_TOKENS = 131_072


class PromptBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a caller's prompt.

    :param prompt: text of the prompt.
    :param max_tokens: number of tokens to generate.
    :param kind: request kind of the service; empty selects the first one.
    """

    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_OUTPUT_TOKENS)]
    kind: Annotated[str, msgspec.Meta(max_length=100)] = ""


class AnswerToken(msgspec.Struct, frozen=True, kw_only=True, tag="token"):
    """One token of an answer."""

    index: int
    text: str


class AnswerHeartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """Keep-alive line sent while the next token is pending."""


class AnswerEnd(msgspec.Struct, frozen=True, kw_only=True, tag="end"):
    """Last line of a complete answer.

    :param tokens: number of tokens in the answer.
    """

    tokens: int


AnswerLine = AnswerToken | AnswerEnd
AnswerBatch = list[AnswerLine] | RequestFailure
