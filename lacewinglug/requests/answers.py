"""Messages of a prompt and its answer, as a caller sees them."""

from typing import Annotated

import msgspec

from lacewinglug.requests.outcomes import RequestFailure

MAX_OUTPUT_TOKENS = 131_072


class PromptBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a caller's prompt.

    :param prompt: text of the prompt.
    :param max_tokens: tokens to generate.
    :param kind: kind of request of the service, empty for the first.
    """

    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_OUTPUT_TOKENS)]
    kind: Annotated[str, msgspec.Meta(max_length=100)] = ""


class AnswerToken(msgspec.Struct, frozen=True, kw_only=True, tag="token"):
    """One token of an answer, as sent to the caller."""

    index: int
    text: str


class AnswerHeartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """Sign of life while the next token is awaited; carries nothing."""


class AnswerEnd(msgspec.Struct, frozen=True, kw_only=True, tag="end"):
    """The end of a whole answer."""

    tokens: int


AnswerLine = AnswerToken | AnswerEnd
AnswerBatch = list[AnswerLine] | RequestFailure
