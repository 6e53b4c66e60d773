"""Messages of the platform's calls to hosts and of the hosts' calls to engines."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import parse_qs, urlsplit

import msgspec

from lacewinglug.decoding import MalformedDataError, decode_json
from lacewinglug.host.model import (
    CachedPart,
    EngineStatus,
    OrderReply,
    PrefillResult,
    PromptPart,
    Stage,
    StageChangeOrder,
)
from lacewinglug.wire.messages import Request, Response

logger = logging.getLogger(__name__)

_READY_PATH = "/-/readyz"
_RESOLVE_PATH = "/-/resolve"
REPORT_TARGET = b"/-/report"
CACHE_LIST_TARGET = b"/-/kv-list"
ORDER_TARGET = b"/-/order"
_ORDER_REPLY_BY_STATUS = {
    200: OrderReply.HOLDS_ALREADY,
    202: OrderReply.ACCEPTED,
    409: OrderReply.CONFLICT,
    412: OrderReply.FENCED,
}
_JSON_HEADERS = ((b"Content-Type", b"application/json"),)
_MAX_ADDRESSES = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class ResolveQuery:
    """A client's request for host addresses to connect to.

    :param region: region of the client.
    :param zone: availability zone of the client.
    """

    region: str
    zone: str


class _ReportResponse(msgspec.Struct, rename="pascal"):
    stage: str = ""
    busy: bool = False
    # Number of accepted orders. In a runner's registration, Sequence counts its
    # heartbeats instead.
    sequence: int = 0


class _CacheListResponse(msgspec.Struct):
    # Each row holds an empty string, the part's ID, its token count and the model.
    # Unlike other messages, this one has lower-case field names.
    held: list[tuple[str, str, int, str]]


class _PrefillResponse(msgspec.Struct, rename="pascal"):
    # Goes into a request target and a header.
    transfer_handle: Annotated[str, msgspec.Meta(pattern="^[!-~]+$", max_length=256)]
    tokens: int = 0


def is_readiness_check(request: Request) -> bool:
    """Return whether a request is a readiness check of the host."""
    return urlsplit(request.target.decode("latin-1")).path == _READY_PATH


def decode_resolve_query(request: Request) -> ResolveQuery | None:
    """Decode a request for host addresses, None for any other request."""
    parts = urlsplit(request.target.decode("latin-1"))
    if parts.path != _RESOLVE_PATH:
        return None
    query = parse_qs(parts.query)
    return ResolveQuery(
        region=query.get("Region", [""])[0], zone=query.get("Zone", [""])[0]
    )


def encode_addresses(addresses: Sequence[str], *, ttl_s: float) -> Response:
    """Encode the response to a resolve query.

    :param addresses: addresses to connect to, best first; only the first 64 are sent.
    :param ttl_s: time for which clients may cache the list, in s.
    """
    body = msgspec.json.encode(
        {"Addresses": list(addresses)[:_MAX_ADDRESSES], "TtlS": ttl_s}
    )
    return Response(status=200, headers=_JSON_HEADERS, body=body)


def decode_prefill_response(body: bytes) -> PrefillResult | None:
    """Decode an engine's response to a prefill, None if it is invalid."""
    try:
        raw = decode_json(body, kind=_PrefillResponse)
    except MalformedDataError:
        return None
    return PrefillResult(handle=raw.transfer_handle, tokens=raw.tokens)


def release_handle_target(handle: str) -> bytes:
    """Return the request target that releases a KV cache nobody will fetch."""
    return f"/-/kv-handle/{handle}".encode()


def decode_report(body: bytes) -> EngineStatus | None:
    """Decode an engine's report, None if it is invalid."""
    try:
        raw = decode_json(body, kind=_ReportResponse)
        stage = Stage(raw.stage)
    except (MalformedDataError, ValueError):
        return None
    return EngineStatus(stage=stage, busy=raw.busy, accepted_orders=raw.sequence)


def decode_cache_list(body: bytes) -> list[CachedPart]:
    """Decode an engine's list of cached prompt parts; empty if it is invalid."""
    try:
        raw = decode_json(body, kind=_CacheListResponse)
    except MalformedDataError as error:
        logger.warning("ignoring an invalid list of cached prompt parts: %s", error)
        return []
    return [
        CachedPart(model=model, part=PromptPart(part_id=part_id, tokens=tokens))
        for _, part_id, tokens, model in raw.held
    ]


def encode_order(order: StageChangeOrder) -> bytes:
    """Encode the body of an order."""
    return msgspec.json.encode(
        {
            "Op": "Stage",
            "Stage": order.stage.value,
            "Holder": order.holder,
            "FencingToken": order.fencing_number,
            "Precondition": order.expected_orders,
        }
    )


def decode_order_reply(status: int) -> OrderReply:
    """Decode the status code of an engine's response to an order."""
    return _ORDER_REPLY_BY_STATUS.get(status, OrderReply.REFUSED)
