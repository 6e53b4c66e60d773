"""Property tests with arbitrary chunk boundaries and corrupted data.

No data from a peer may cause an internal error or be taken for part of another
request or response.
"""

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.virtual_time import run_virtual
from lacewinglug.wire.client import ClientConnection, UpstreamError
from lacewinglug.wire.messages import Response, first_header
from lacewinglug.wire.server import ClientLimits, ConnectionRegistry
from tests.wire.memory import MemoryTransport, run_pending_tasks, split

CUTS = st.lists(st.integers(0, 400), max_size=8)
BODIES = st.binary(max_size=60)
REQUESTS = st.lists(st.tuples(BODIES, st.booleans()), min_size=1, max_size=4)
CORRUPTIONS = st.sampled_from(["change", "insert", "delete", "truncate", "duplicate"])
MAX_BODY_BYTES = 10_000


def encode_request(number, body, chunked):
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\nX-Id: %d\r\n" % (number, number)
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def encode_response(number, body, chunked=False):
    head = b"HTTP/1.1 200 OK\r\nX-Id: %d\r\n" % number
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def corrupt(data, how, position, byte):
    """Return a corrupted copy of data."""
    position %= len(data)
    match how:
        case "change":
            return data[:position] + bytes([byte]) + data[position + 1 :]
        case "insert":
            return data[:position] + bytes([byte]) + data[position:]
        case "delete":
            return data[:position] + data[position + 1 :]
        case "truncate":
            return data[:position]
    return data + data


async def handle_requests(pieces):
    """Return the requests that a server handles, and the data it writes."""
    handled = []

    async def handle(request, exchange):
        handled.append(request)
        await exchange.respond(Response(status=200, body=request.target))

    registry = ConnectionRegistry(handler=handle, limits=ClientLimits)
    transport = MemoryTransport(registry.make_connection())
    for piece in pieces:
        transport.receive(piece)
        await run_pending_tasks()
    transport.end()
    await run_pending_tasks()
    return handled, transport.written


async def send_request(pieces, *, ended=True):
    """Return an upstream's response and whether the connection is reusable."""
    connection = ClientConnection()
    transport = MemoryTransport(connection)
    connection.send_request(
        method=b"POST", target=b"/", headers=HOST_HEADERS, body=b"hi"
    )
    transport.receive(*pieces)
    if ended:
        transport.end()
    response = await connection.read_response(max_body_bytes=MAX_BODY_BYTES)
    return response, connection.finish_request(now_s=0.0)


HOST_HEADERS = ((b"Host", b"a"),)


@given(REQUESTS, CUTS)
def test_requests_are_handled_in_order_for_any_split(requests, cuts):
    data = b"".join(
        encode_request(number, body, chunked)
        for number, (body, chunked) in enumerate(requests)
    )
    handled, _ = run_virtual(handle_requests(split(data, cuts)))
    assert [(item.target, item.body) for item in handled] == [
        (b"/%d" % number, body) for number, (body, _) in enumerate(requests)
    ]


@given(REQUESTS, CUTS, CORRUPTIONS, st.integers(0), st.integers(0, 255))
def test_corrupted_requests_cause_no_internal_error(
    requests, cuts, how, position, byte
):
    data = b"".join(
        encode_request(number, body, chunked)
        for number, (body, chunked) in enumerate(requests)
    )
    errors = ErrorLogCollector()
    with errors:
        handled, written = run_virtual(
            handle_requests(split(corrupt(data, how, position, byte), cuts))
        )
    assert not errors.records
    assert written.count(b"HTTP/1.1 200") == len(handled)


class ErrorLogCollector(logging.Handler):
    """Context manager that collects the errors logged by the project."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def __enter__(self):
        logging.getLogger("lacewinglug").addHandler(self)

    def __exit__(self, *_):
        logging.getLogger("lacewinglug").removeHandler(self)


@given(BODIES, st.booleans(), CUTS)
def test_complete_response_is_read_for_any_split(body, chunked, cuts):
    pieces = split(encode_response(1, body, chunked), cuts)
    response, usable = run_virtual(send_request(pieces, ended=False))
    assert response.body == body
    assert usable


@given(BODIES, st.booleans(), CUTS, st.integers(1))
def test_truncated_response_raises(body, chunked, cuts, missing):
    data = encode_response(1, body, chunked)
    truncated = data[: len(data) - 1 - missing % len(data)]
    with pytest.raises(UpstreamError):
        run_virtual(send_request(split(truncated, cuts)))


@given(BODIES, BODIES, CUTS)
def test_second_response_closes_the_connection(body, other, cuts):
    data = encode_response(1, body) + encode_response(2, other)
    response, usable = run_virtual(send_request(split(data, cuts), ended=False))
    assert (first_header(response.headers, b"x-id"), response.body) == (b"1", body)
    assert not usable


@given(BODIES, st.booleans(), CUTS, CORRUPTIONS, st.integers(0), st.integers(0, 255))
def test_corrupted_response_is_read_or_raises_upstream_error(
    body, chunked, cuts, how, position, byte
):
    data = corrupt(encode_response(1, body, chunked), how, position, byte)
    try:
        response, _ = run_virtual(send_request(split(data, cuts)))
    except UpstreamError:
        return
    assert len(response.body) <= len(data)
