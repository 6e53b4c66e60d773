"""Calls that the platform makes to a host, and that a host makes to engines."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec

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
_ORDER_REPLIES = {
    200: OrderReply.HOLDS_ALREADY,
    202: OrderReply.ACCEPTED,
    409: OrderReply.CONFLICT,
    412: OrderReply.FENCED,
}
_JSON = ((b"Content-Type", b"application/json"),)
_MOST_ADDRESSES = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class ResolveQuery:
    """A client's question where to connect.

    :param region: region of the client.
    :param zone: availability zone of the client.
    """

    region: str
    zone: str


class _Report(msgspec.Struct, rename="pascal"):
    stage: str = ""
    busy: bool = False
    # Orders accepted; in a runner's entry the same name counts its heartbeats.
    sequence: int = 0


class _CacheList(msgspec.Struct):
    # Rows of an empty text, the part's id, its tokens and the model; all names of
    # this answer are in lower case.
    held: list[tuple[str, str, int, str]]


class _Handle(msgspec.Struct, rename="pascal"):
    transfer_handle: str
    tokens: int = 0


def is_ready_check(request: Request) -> bool:
    """Return whether a request asks for the readiness of the host."""
    return urlsplit(request.target.decode("latin-1")).path == _READY_PATH


def decode_resolve(request: Request) -> ResolveQuery | None:
    """Return a client's question where to connect, None for other requests."""
    parts = urlsplit(request.target.decode("latin-1"))
    if parts.path != _RESOLVE_PATH:
        return None
    query = parse_qs(parts.query)
    return ResolveQuery(
        region=query.get("Region", [""])[0], zone=query.get("Zone", [""])[0]
    )


def encode_addresses(addresses: Sequence[str], *, ttl_s: float) -> Response:
    """Return the answer that names the addresses to use, best first."""
    body = msgspec.json.encode(
        {"Addresses": list(addresses)[:_MOST_ADDRESSES], "TtlS": ttl_s}
    )
    return Response(status=200, headers=_JSON, body=body)


def decode_prefill(body: bytes) -> PrefillResult | None:
    """Read an engine's answer to a prefill, None where it is none."""
    try:
        raw = msgspec.json.decode(body, type=_Handle)
    except msgspec.DecodeError:
        return None
    return PrefillResult(handle=raw.transfer_handle, tokens=raw.tokens)


def drop_handle_target(handle: str) -> bytes:
    """Return the path at which a KV cache that nobody fetches is freed."""
    return f"/-/kv-handle/{handle}".encode()


def decode_report(body: bytes) -> EngineStatus | None:
    """Read an engine's report, None where it is none."""
    try:
        raw = msgspec.json.decode(body, type=_Report)
        stage = Stage(raw.stage)
    except (msgspec.DecodeError, ValueError):
        return None
    return EngineStatus(stage=stage, busy=raw.busy, accepted_orders=raw.sequence)


def decode_cache_list(body: bytes) -> list[CachedPart]:
    """Read the parts that an engine keeps; none where the answer cannot be read."""
    try:
        raw = msgspec.json.decode(body, type=_CacheList)
    except msgspec.DecodeError as error:
        logger.warning("list of cached parts cannot be read: %s", error)
        return []
    return [
        CachedPart(model=model, part=PromptPart(part_id=part_id, tokens=tokens))
        for _, part_id, tokens, model in raw.held
    ]


def encode_order(order: StageChangeOrder) -> bytes:
    """Return the body of an order."""
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
    """Read an engine's answer to an order."""
    return _ORDER_REPLIES.get(status, OrderReply.REFUSED)
