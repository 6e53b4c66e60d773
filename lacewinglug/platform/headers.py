"""Headers of requests and responses on the platform."""

import email.utils
import logging
import re
from datetime import datetime

from lacewinglug.host.model import (
    ForwardingFields,
    Prompt,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
    RunnerLoad,
)
from lacewinglug.organisations.keys import parse_authorization
from lacewinglug.wire.messages import (
    Headers,
    Request,
    end_to_end_headers,
    first_header,
    header_values,
)

logger = logging.getLogger(__name__)

_REQUEST_ID = b"X-Lacewinglug-Request-Id"
_DEADLINE_MS = b"X-Lacewinglug-Deadline-Ms"
_MODEL = b"X-Lacewinglug-Model"
_TOKEN_COUNT = b"X-Lacewinglug-Token-Count"
_PROMPT_PREFIX = b"X-Lacewinglug-Prompt-Prefix"
_LAST_EVENT_ID = b"Last-Event-Id"
_EXPECT_INSTANCE = b"X-Lacewinglug-Expect-Instance"
_REQUEST_PRIORITY = b"X-Lacewinglug-Request-Priority"
_STAGE = b"X-Lacewinglug-Stage"
_KV_SOURCE = b"X-Lacewinglug-Kv-Source"
_KV_FETCH = b"Kv-Fetch"
_AUTHORIZATION = b"Authorization"
_KEY_SCHEME = "token"
# The platform calls organisations tenants.
_TENANT = b"X-Lacewinglug-Tenant"
_RESPONSE_SIGNATURE = b"X-Lacewinglug-Response-Signature"
_NOT_EXECUTED = b"X-Lacewinglug-Not-Executed"
# Running requests, queued requests, slots, and service time in percent of normal.
_SERVER_LOAD = b"X-Lacewinglug-Server-Load"
_INSTANCE_ID = b"X-Lacewinglug-Instance-Id"
# The platform's page gives this name without the common beginning of the others.
_SERVER_LEAVING_NAMES = (b"Server-Leaving", b"X-Lacewinglug-Server-Leaving")
_RETRY_AFTER = b"retry-after"

_INTERNAL_HEADERS = frozenset(
    name.lower()
    for name in (
        _EXPECT_INSTANCE,
        _REQUEST_PRIORITY,
        _STAGE,
        _KV_SOURCE,
        _KV_FETCH,
        _TENANT,
        b"X-Lacewinglug-Kv-Fetch",
        b"X-Lacewinglug-Kv-Hold",
        b"X-Lacewinglug-Kv-Backup",
        b"X-Lacewinglug-Pin-Ms",
        b"X-Lacewinglug-Expect-Version",
        _NOT_EXECUTED,
        _RESPONSE_SIGNATURE,
        _INSTANCE_ID,
        _SERVER_LOAD,
        *_SERVER_LEAVING_NAMES,
    )
)
_PROTECTED_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (
        _REQUEST_ID,
        _DEADLINE_MS,
        _MODEL,
        _TOKEN_COUNT,
        _PROMPT_PREFIX,
        _LAST_EVENT_ID,
    )
)
_PROTECTED_RESPONSE_HEADERS = frozenset(
    {_REQUEST_ID.lower(), _RESPONSE_SIGNATURE.lower()}
)
_INTERNAL_RESPONSE_HEADERS = frozenset(
    {
        _NOT_EXECUTED.lower(),
        _SERVER_LOAD.lower(),
        _INSTANCE_ID.lower(),
        _RETRY_AFTER,
        *(name.lower() for name in _SERVER_LEAVING_NAMES),
    }
)
_DELAY_S = re.compile(rb"\d+(\.\d*)?")
_MS_PER_S = 1000
_PERCENT = 100.0
_MAX_NUMBER = 10**15
"""Numbers above this are read as this one, so that arithmetic with them is safe."""
_MAX_TOKENS = 2**30
"""The same for numbers of tokens; the number of pairs of them has to fit into 64 bits,
with which hosts tell each other of their work."""


class ConflictingHeadersError(Exception):
    """Request headers contradict each other; the message says how to correct them."""


def decode_request(request: Request) -> RequestMetadata:
    """Decode the target and headers of a client's request.

    :raises ConflictingHeadersError: a header that must be unique has several values.
    """
    headers = request.headers
    request_id = _unique_value(headers, _REQUEST_ID).decode("ascii", "replace")
    host = _unique_value(headers, b"Host").decode("ascii", "replace").lower()
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    return RequestMetadata(
        request_id=request_id,
        host=host.rpartition(":")[0] if ":" in host else host,
        path=path,
        deadline_s=_decode_deadline(headers),
        prompt=_decode_prompt(headers),
        last_event=_decode_number(_unique_value(headers, _LAST_EVENT_ID)),
        api_key=_decode_api_key(headers),
    )


def decode_request_id(request: Request) -> str:
    """Return the id of a client's request, empty if it has none; used in logs."""
    found = first_header(request.headers, _REQUEST_ID.lower()) or b""
    return found.decode("ascii", "replace")


def encode_request_headers(request: Request, call: ForwardingFields) -> Headers:
    """Return the headers with which a client's request is forwarded to a runner."""
    dropped = set(_INTERNAL_HEADERS)
    added: list[tuple[bytes, bytes]] = [(_EXPECT_INSTANCE, call.instance.encode())]
    if call.withhold_credentials:
        dropped.add(_AUTHORIZATION.lower())
    if call.organisation:
        added.append((_TENANT, call.organisation.encode()))
    if call.deadline_s is not None:
        dropped.add(_DEADLINE_MS.lower())
        remaining_ms = max(1, round(call.deadline_s * _MS_PER_S))
        added.append((_DEADLINE_MS, b"%d" % remaining_ms))
    if call.priority is not None:
        added.append((_REQUEST_PRIORITY, b"%d" % call.priority))
    if call.prefill_only:
        added.append((_STAGE, b"prefill"))
    if call.cache_source is not None:
        added.append((_KV_SOURCE, call.cache_source.encode()))
    if call.fetch_from is not None:
        added.append((_KV_FETCH, call.fetch_from.encode()))
    if call.last_event is not None:
        dropped.add(_LAST_EVENT_ID.lower())
        added.append((_LAST_EVENT_ID, b"%d" % call.last_event))
    kept = end_to_end_headers(
        request.headers, protected=_PROTECTED_REQUEST_HEADERS, excluded=dropped
    )
    return (*kept, *added)


def instance_headers(address: str, instance: str) -> Headers:
    """Return the headers of a call that only the given runner instance may accept."""
    return (
        (b"Host", address.encode()),
        (_EXPECT_INSTANCE, instance.encode()),
        (b"Content-Type", b"application/json"),
    )


def decode_response_headers(headers: Headers) -> ResponseMetadata:
    """Decode the headers of a runner's response."""
    request_id = first_header(headers, _REQUEST_ID.lower()) or b""
    return ResponseMetadata(
        request_id=request_id.decode("ascii", "replace"),
        signed=first_header(headers, _RESPONSE_SIGNATURE.lower()) is not None,
        not_executed=first_header(headers, _NOT_EXECUTED.lower()) is not None,
        load=_decode_load(first_header(headers, _SERVER_LOAD.lower())),
        content_encoded=first_header(headers, b"content-encoding") is not None,
        leaving=_decode_leaving(headers),
        retry_after_s=_decode_retry_after(headers),
    )


def encode_response_headers(headers: Headers) -> Headers:
    """Return the headers with which a runner's response is forwarded to the client."""
    return end_to_end_headers(
        headers,
        protected=_PROTECTED_RESPONSE_HEADERS,
        excluded=_INTERNAL_RESPONSE_HEADERS,
    )


def _unique_value(headers: Headers, name: bytes) -> bytes:
    values = set(header_values(headers, name.lower()))
    if len(values) > 1:
        raise ConflictingHeadersError(f"send one {name.decode()}, not several")
    return values.pop() if values else b""


def _decode_number(text: bytes, *, limit: int = _MAX_NUMBER) -> int | None:
    """Return a number of any length, at most the limit; None if it is not one."""
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0") or b"0"
    return limit if len(digits) > len(str(limit)) else min(int(digits), limit)


def _decode_api_key(headers: Headers) -> str:
    """Return the client's API key, empty without exactly one."""
    values = set(header_values(headers, _AUTHORIZATION.lower()))
    if len(values) != 1:
        return ""
    return parse_authorization(values.pop().decode("latin-1"), scheme=_KEY_SCHEME)


def _decode_deadline(headers: Headers) -> float | None:
    number = _decode_number(_unique_value(headers, _DEADLINE_MS))
    return None if number is None else number / _MS_PER_S


def _decode_prompt(headers: Headers) -> Prompt | None:
    model = _unique_value(headers, _MODEL)
    counts = [
        _decode_number(item, limit=_MAX_TOKENS)
        for item in _unique_value(headers, _TOKEN_COUNT).split(b",")
    ]
    if not model or counts[0] is None:
        return None
    return Prompt(
        model=model.decode("latin-1"),
        prompt_tokens=counts[0],
        max_output_tokens=(counts[1] if len(counts) > 1 else None) or 0,
        parts=_decode_parts(_unique_value(headers, _PROMPT_PREFIX)),
    )


def _decode_parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(b","):
        part_id, _, count = item.strip().partition(b":")
        tokens = _decode_number(count, limit=_MAX_TOKENS)
        if not part_id or tokens is None:
            break
        parts.append(PromptPart(part_id=part_id.decode("latin-1"), tokens=tokens))
    return tuple(parts)


def _decode_leaving(headers: Headers) -> bool:
    """Return whether one of the values is ``1``; all others mean nothing."""
    return any(
        token.strip() == b"1"
        for name in _SERVER_LEAVING_NAMES
        for value in header_values(headers, name.lower())
        for token in value.split(b",")
    )


def _decode_retry_after(headers: Headers) -> float | None:
    """Return the longest delay of all ``Retry-After`` values, None without a valid one.

    A value is a number of seconds, with or without a fraction, a list of such numbers,
    or an HTTP date. A date counts from the ``Date`` of the same response, so that no
    clocks are compared; without it, it means nothing. Neither do negative numbers and
    anything else.
    """
    delays_s: list[float] = []
    for value in header_values(headers, _RETRY_AFTER):
        numbers = [item.strip() for item in value.split(b",")]
        if all(map(_DELAY_S.fullmatch, numbers)):
            delays_s += map(float, numbers)
            continue
        until, sent = _decode_date(value), _decode_date(first_header(headers, b"date"))
        if until is not None and sent is not None:
            delays_s.append(max(0.0, (until - sent).total_seconds()))
    return max(delays_s, default=None)


def _decode_date(text: bytes | None) -> datetime | None:
    """Return an HTTP date, None unless it is valid and in GMT."""
    if text is None or not text.strip().endswith(b"GMT"):
        return None
    try:
        found = email.utils.parsedate_to_datetime(text.decode("ascii"))
    except (ValueError, OverflowError):
        return None
    return None if found.tzinfo is None else found


def _decode_load(text: bytes | None) -> RunnerLoad | None:
    if text is None:
        return None
    try:
        numbers = [min(max(0, int(item)), _MAX_NUMBER) for item in text.split(b",")]
        running, waiting, slots = numbers[:3]
    except ValueError:
        logger.warning("ignoring an invalid runner load header: %r", text[:40])
        return None
    slowness = numbers[3] / _PERCENT if len(numbers) > 3 else 1.0
    return RunnerLoad(running=running, queued=waiting, slots=slots, slowdown=slowness)
