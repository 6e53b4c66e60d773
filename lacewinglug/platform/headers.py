"""Headers of requests and answers on the platform."""

import logging

from lacewinglug.host.model import (
    ForwardingFields,
    Prompt,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
    RunnerLoad,
)
from lacewinglug.wire.messages import (
    Headers,
    Request,
    end_to_end_headers,
    first_header,
    header_values,
)

logger = logging.getLogger(__name__)

_REQUEST_ID = b"X-Lacewinglug-Request-Id"
_DEADLINE = b"X-Lacewinglug-Deadline-Ms"
_MODEL = b"X-Lacewinglug-Model"
_TOKENS = b"X-Lacewinglug-Token-Count"
_PREFIX = b"X-Lacewinglug-Prompt-Prefix"
_LAST_EVENT = b"Last-Event-Id"
_EXPECT_INSTANCE = b"X-Lacewinglug-Expect-Instance"
_PRIORITY = b"X-Lacewinglug-Request-Priority"
_STAGE = b"X-Lacewinglug-Stage"
_CACHE_SOURCE = b"X-Lacewinglug-Kv-Source"
_CACHE_FETCH = b"Kv-Fetch"
_SIGNATURE = b"X-Lacewinglug-Response-Signature"
_NOT_EXECUTED = b"X-Lacewinglug-Not-Executed"
# Requests running, waiting, slots, and percent of the usual time for work.
_LOAD = b"X-Lacewinglug-Server-Load"
_INSTANCE = b"X-Lacewinglug-Instance-Id"

_SET_BY_SYSTEM = frozenset(
    name.lower()
    for name in (
        _EXPECT_INSTANCE,
        _PRIORITY,
        _STAGE,
        _CACHE_SOURCE,
        _CACHE_FETCH,
        b"X-Lacewinglug-Kv-Fetch",
        b"X-Lacewinglug-Kv-Hold",
        b"X-Lacewinglug-Kv-Backup",
        b"X-Lacewinglug-Pin-Ms",
        b"X-Lacewinglug-Expect-Version",
        _NOT_EXECUTED,
        _SIGNATURE,
        _INSTANCE,
        _LOAD,
    )
)
_OWN_NAMES = frozenset(
    name.lower()
    for name in (_REQUEST_ID, _DEADLINE, _MODEL, _TOKENS, _PREFIX, _LAST_EVENT)
)
_ANSWER_KEPT = frozenset({_REQUEST_ID.lower(), _SIGNATURE.lower()})
_ANSWER_DROPPED = frozenset(
    {_NOT_EXECUTED.lower(), _LOAD.lower(), _INSTANCE.lower(), b"retry-after"}
)
_MS_PER_S = 1000
_PERCENT = 100.0


class UnreadableRequestError(Exception):
    """The head of a request contradicts itself; the message names the remedy."""


def decode_request(request: Request) -> RequestMetadata:
    """Read what a client's head says.

    :raises UnreadableRequestError: a header that may stand once differs.
    """
    headers = request.headers
    request_id = _single(headers, _REQUEST_ID).decode("ascii", "replace")
    host = _single(headers, b"Host").decode("ascii", "replace").lower()
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    return RequestMetadata(
        request_id=request_id,
        host=host.rpartition(":")[0] if ":" in host else host,
        path=path,
        deadline_s=_decode_deadline(headers),
        prompt=_decode_prompt(headers),
        last_event=_decode_number(_single(headers, _LAST_EVENT)),
    )


def encode_request(request: Request, call: ForwardingFields) -> Headers:
    """Return the headers of a client's request as they go to a runner."""
    dropped = set(_SET_BY_SYSTEM)
    added: list[tuple[bytes, bytes]] = [(_EXPECT_INSTANCE, call.instance.encode())]
    if call.deadline_s is not None:
        dropped.add(_DEADLINE.lower())
        left_ms = max(1, round(call.deadline_s * _MS_PER_S))
        added.append((_DEADLINE, b"%d" % left_ms))
    if call.priority is not None:
        added.append((_PRIORITY, b"%d" % call.priority))
    if call.prefill_only:
        added.append((_STAGE, b"prefill"))
    if call.cache_source is not None:
        added.append((_CACHE_SOURCE, call.cache_source.encode()))
    if call.fetch_from is not None:
        added.append((_CACHE_FETCH, call.fetch_from.encode()))
    if call.last_event is not None:
        dropped.add(_LAST_EVENT.lower())
        added.append((_LAST_EVENT, b"%d" % call.last_event))
    kept = end_to_end_headers(request.headers, kept=_OWN_NAMES, dropped=dropped)
    return (*kept, *added)


def instance_headers(address: str, instance: str) -> Headers:
    """Return the headers of a call that only one runner may take."""
    return (
        (b"Host", address.encode()),
        (_EXPECT_INSTANCE, instance.encode()),
        (b"Content-Type", b"application/json"),
    )


def decode_answer(headers: Headers) -> ResponseMetadata:
    """Read what the head of a runner's answer says."""
    request_id = first_header(headers, _REQUEST_ID.lower()) or b""
    return ResponseMetadata(
        request_id=request_id.decode("ascii", "replace"),
        signed=first_header(headers, _SIGNATURE.lower()) is not None,
        not_executed=first_header(headers, _NOT_EXECUTED.lower()) is not None,
        load=_decode_load(first_header(headers, _LOAD.lower())),
        content_encoded=first_header(headers, b"content-encoding") is not None,
    )


def encode_answer(headers: Headers) -> Headers:
    """Return the headers of a runner's answer as they go to the client."""
    return end_to_end_headers(headers, kept=_ANSWER_KEPT, dropped=_ANSWER_DROPPED)


def _single(headers: Headers, name: bytes) -> bytes:
    values = set(header_values(headers, name.lower()))
    if len(values) > 1:
        raise UnreadableRequestError(f"send one {name.decode()}, not several")
    return values.pop() if values else b""


def _decode_number(text: bytes) -> int | None:
    return int(text) if text.isdigit() else None


def _decode_deadline(headers: Headers) -> float | None:
    number = _decode_number(_single(headers, _DEADLINE))
    return None if number is None else number / _MS_PER_S


def _decode_prompt(headers: Headers) -> Prompt | None:
    model = _single(headers, _MODEL)
    counts = _single(headers, _TOKENS).split(b",")
    if not model or not counts[0].isdigit():
        return None
    output = counts[1] if len(counts) > 1 and counts[1].isdigit() else b"0"
    return Prompt(
        model=model.decode("latin-1"),
        prompt_tokens=int(counts[0]),
        max_output_tokens=int(output),
        parts=_decode_parts(_single(headers, _PREFIX)),
    )


def _decode_parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        if not part_id or not tokens.isdigit():
            break
        parts.append(PromptPart(part_id=part_id.decode("latin-1"), tokens=int(tokens)))
    return tuple(parts)


def _decode_load(text: bytes | None) -> RunnerLoad | None:
    if text is None:
        return None
    try:
        numbers = [int(item) for item in text.split(b",")]
        running, waiting, slots = numbers[:3]
    except ValueError:
        logger.warning("load of a runner is unreadable: %r", text[:40])
        return None
    slowness = numbers[3] / _PERCENT if len(numbers) > 3 else 1.0
    return RunnerLoad(running=running, queued=waiting, slots=slots, slowdown=slowness)
