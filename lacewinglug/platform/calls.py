"""Calls that the platform makes to a host, and that a host makes to engines."""

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec

from lacewinglug.host.model import PrefillAnswer
from lacewinglug.wire.messages import Request, Response

_READY_PATH = "/-/readyz"
_RESOLVE_PATH = "/-/resolve"
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


def decode_prefill(body: bytes) -> PrefillAnswer | None:
    """Read an engine's answer to a prefill, None where it is none."""
    try:
        raw = msgspec.json.decode(body, type=_Handle)
    except msgspec.DecodeError:
        return None
    return PrefillAnswer(handle=raw.transfer_handle, tokens=raw.tokens)


def drop_handle_target(handle: str) -> bytes:
    """Return the path at which a KV cache that nobody fetches is freed."""
    return f"/-/kv-handle/{handle}".encode()
