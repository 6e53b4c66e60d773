"""Heads and whole messages of HTTP/1.1 as the project passes them on."""

from collections.abc import Iterable
from dataclasses import dataclass, field

Headers = tuple[tuple[bytes, bytes], ...]
"""Header lines in their order, names as they were sent."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""

_FRAMING = frozenset({b"content-length", b"expect"})
_NOT_NOMINATED = frozenset({b"host", b"content-length", b"content-type"})
"""Headers that ``Connection`` cannot take out of a message."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request that has been read whole.

    :param method: method, upper case.
    :param target: path and query as they were sent.
    :param headers: all header lines.
    :param body: body without its transfer coding.
    :param received_s: monotonic time of its first byte, in seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    received_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A response that is whole in memory.

    :param status: status code.
    :param headers: header lines, without framing.
    :param body: body without its transfer coding.
    :param close: whether the connection ends after it.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    close: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Status and headers of a response whose body follows.

    :param status: status code.
    :param headers: header lines as they were received.
    """

    status: int
    headers: Headers = field(default=())


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of a header, by its lower-case name."""
    return [value for key, value in headers if key.lower() == name]


def first_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, by its lower-case name."""
    return next((value for key, value in headers if key.lower() == name), None)


def end_to_end_headers(
    headers: Headers, *, kept: frozenset[bytes], dropped: Iterable[bytes] = ()
) -> Headers:
    """Return the headers that go on to the next hop, without framing.

    :param headers: headers as received.
    :param kept: lower-case names that ``Connection`` cannot take out.
    :param dropped: lower-case names to leave out besides.
    """
    nominated = {
        token.strip().lower()
        for value in header_values(headers, b"connection")
        for token in value.split(b",")
    }
    removed = (nominated - kept - _NOT_NOMINATED) | HOP_BY_HOP | _FRAMING | set(dropped)
    return tuple(item for item in headers if item[0].lower() not in removed)
