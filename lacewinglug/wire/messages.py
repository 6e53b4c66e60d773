"""HTTP/1.1 messages and the rules for forwarding their headers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields in the order received, with the original case of their names."""

HOP_BY_HOP_HEADERS = frozenset(
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
"""Lower-case names of headers that apply to a single connection (RFC 9110, section
7.6.1)."""

_FRAMING_HEADERS = frozenset({b"content-length", b"expect"})
_PROTECTED_HEADERS = frozenset({b"host", b"content-length", b"content-type"})
"""Headers that ``Connection`` cannot mark as hop-by-hop."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request.

    :param method: method, upper case.
    :param target: path and query as received.
    :param headers: all header fields.
    :param body: body after removal of the transfer coding.
    :param received_s: monotonic time at which the first byte arrived, in s.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray = b""
    received_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response.

    :param status: status code.
    :param headers: header fields; framing headers are added when it is sent.
    :param body: body without a transfer coding.
    :param close: whether the connection is closed after the response.
    """

    status: int
    headers: Headers = ()
    body: bytes | bytearray = b""
    close: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Status and headers of a response whose body follows.

    :param status: status code.
    :param headers: header fields as received.
    """

    status: int
    headers: Headers = field(default=())

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body ends where the upstream closes the connection."""
        names = {name.lower() for name, _ in self.headers}
        return names.isdisjoint({b"content-length", b"transfer-encoding"})


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of the header with a lower-case name."""
    return [value for key, value in headers if key.lower() == name]


def first_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header with a lower-case name, None if absent."""
    return next((value for key, value in headers if key.lower() == name), None)


def end_to_end_headers(
    headers: Headers, *, protected: frozenset[bytes], excluded: Iterable[bytes] = ()
) -> Headers:
    """Return the headers to forward to the next hop, without framing headers.

    :param headers: headers as received.
    :param protected: lower-case names to forward even if ``Connection`` lists them.
    :param excluded: additional lower-case names to remove.
    """
    connection_options = {
        token.strip().lower()
        for value in header_values(headers, b"connection")
        for token in value.split(b",")
    }
    removed = (
        (connection_options - protected - _PROTECTED_HEADERS)
        | HOP_BY_HOP_HEADERS
        | _FRAMING_HEADERS
        | set(excluded)
    )
    return tuple(item for item in headers if item[0].lower() not in removed)
