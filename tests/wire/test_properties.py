"""No bytes of either side, in any split, end a process or reach another exchange."""

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.virtual_time import run_virtual
from lacewinglug.wire.client import ClientConnection, UpstreamError
from lacewinglug.wire.messages import Response, first_header
from lacewinglug.wire.server import ClientLimits, ConnectionRegistry
from tests.wire.memory import MemoryTransport, let_run, split

CUTS = st.lists(st.integers(0, 400), max_size=8)
BODIES = st.binary(max_size=60)
REQUESTS = st.lists(st.tuples(BODIES, st.booleans()), min_size=1, max_size=4)
MUTATIONS = st.sampled_from(["change", "insert", "drop", "torn", "twice"])
MOST_BYTES = 10_000


def encode_request(number, body, chunked):
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\nX-Id: %d\r\n" % (number, number)
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def encode_answer(number, body, chunked=False):
    head = b"HTTP/1.1 200 OK\r\nX-Id: %d\r\n" % number
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def mutate(data, how, place, byte):
    """Return data that was spoiled on its way."""
    place %= len(data)
    match how:
        case "change":
            return data[:place] + bytes([byte]) + data[place + 1 :]
        case "insert":
            return data[:place] + bytes([byte]) + data[place:]
        case "drop":
            return data[:place] + data[place + 1 :]
        case "torn":
            return data[:place]
    return data + data


async def serve(pieces):
    """Return the requests that a listener handles, and what it wrote."""
    handled = []

    async def handle(request, exchange):
        handled.append(request)
        await exchange.respond(Response(status=200, body=request.target))

    registry = ConnectionRegistry(handler=handle, limits=ClientLimits)
    transport = MemoryTransport(registry.make_connection())
    for piece in pieces:
        transport.receive(piece)
        await let_run()
    transport.end()
    await let_run()
    return handled, transport.written


async def call(pieces, *, ended=True):
    """Return an upstream's answer and whether its connection may be used again."""
    connection = ClientConnection()
    transport = MemoryTransport(connection)
    connection.send_request(method=b"POST", target=b"/", headers=HOST, body=b"hi")
    transport.receive(*pieces)
    if ended:
        transport.end()
    answer = await connection.read_whole(most_bytes=MOST_BYTES)
    return answer, connection.end_exchange(now_s=0.0)


HOST = ((b"Host", b"a"),)


@given(REQUESTS, CUTS)
def test_requests_are_handled_in_turn_in_any_split(requests, cuts):
    data = b"".join(
        encode_request(number, body, chunked)
        for number, (body, chunked) in enumerate(requests)
    )
    handled, _ = run_virtual(serve(split(data, cuts)))
    assert [(item.target, item.body) for item in handled] == [
        (b"/%d" % number, body) for number, (body, _) in enumerate(requests)
    ]


@given(REQUESTS, CUTS, MUTATIONS, st.integers(0), st.integers(0, 255))
def test_spoiled_requests_end_their_connection_at_most(
    requests, cuts, how, place, byte
):
    data = b"".join(
        encode_request(number, body, chunked)
        for number, (body, chunked) in enumerate(requests)
    )
    errors = Errors()
    with errors:
        handled, written = run_virtual(
            serve(split(mutate(data, how, place, byte), cuts))
        )
    assert not errors.records
    assert written.count(b"HTTP/1.1 200") == len(handled)


class Errors(logging.Handler):
    """Collects the internal errors that are logged meanwhile."""

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
def test_a_whole_answer_is_read_in_any_split(body, chunked, cuts):
    pieces = split(encode_answer(1, body, chunked), cuts)
    answer, usable = run_virtual(call(pieces, ended=False))
    assert answer.body == body
    assert usable


@given(BODIES, st.booleans(), CUTS, st.integers(1))
def test_a_torn_answer_is_never_whole(body, chunked, cuts, missing):
    data = encode_answer(1, body, chunked)
    torn = data[: len(data) - 1 - missing % len(data)]
    with pytest.raises(UpstreamError):
        run_virtual(call(split(torn, cuts)))


@given(BODIES, BODIES, CUTS)
def test_a_second_answer_ends_the_connection(body, other, cuts):
    data = encode_answer(1, body) + encode_answer(2, other)
    answer, usable = run_virtual(call(split(data, cuts), ended=False))
    assert (first_header(answer.headers, b"x-id"), answer.body) == (b"1", body)
    assert not usable


@given(BODIES, st.booleans(), CUTS, MUTATIONS, st.integers(0), st.integers(0, 255))
def test_a_spoiled_answer_is_read_or_fails_and_nothing_else(
    body, chunked, cuts, how, place, byte
):
    data = mutate(encode_answer(1, body, chunked), how, place, byte)
    try:
        answer, _ = run_virtual(call(split(data, cuts)))
    except UpstreamError:
        return
    assert len(answer.body) <= len(data)
