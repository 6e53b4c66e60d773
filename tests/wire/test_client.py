"""Tests that the client returns complete responses or raises an error."""

import asyncio

import pytest

from lacewinglug.wire.client import (
    MAX_CHUNK_BYTES,
    ClientConnection,
    UpstreamError,
    open_connection,
)
from tests.turns import MAX_TURN_CPU_S, measure_longest_turn
from tests.wire.memory import MemoryTransport
from tests.wire.upstream import HEAD, ScriptedUpstream, connect, send_request

WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"


async def test_connection_is_usable_after_a_complete_response():
    async with ScriptedUpstream(WHOLE, WHOLE) as upstream:
        connection = await connect(upstream)
        for _ in range(2):
            send_request(connection)
            response = await connection.read_response(max_body_bytes=100)
            assert (response.status, response.body) == (200, b"ok")
            assert connection.finish_request(now_s=1.0)
        assert upstream.connections == 1


@pytest.mark.parametrize(
    "cut",
    [
        b"",
        HEAD[:9],
        HEAD + b"Content-Length: 9\r\n\r\nok",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhe",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"\x00\x01 not an answer\r\n\r\n",
    ],
)
@pytest.mark.parametrize("after", ["close", "reset"])
async def test_truncated_or_malformed_response_raises(cut, after):
    async with ScriptedUpstream(cut, after=after) as upstream:
        connection = await connect(upstream)
        send_request(connection)
        with pytest.raises(UpstreamError) as caught:
            await connection.read_response(max_body_bytes=100)
        assert caught.value.sent


class EndlessUpstream:
    """An upstream that answers with a beginning and then one piece without end."""

    def __init__(self, beginning, piece):
        self._beginning = beginning
        self._piece = piece
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        self._server.close()

    @property
    def address(self):
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _answer(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        try:
            writer.write(self._beginning)
            while True:
                writer.write(self._piece)
                await writer.drain()
                self.sent_bytes += len(self._piece)
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()


CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("beginning", "piece"),
    [
        (b"", b"x" * 1000),
        (HEAD, b"X-More: " + b"y" * 1000 + b"\r\n"),
        (HEAD + b"\r\n", b"z" * 1000),
        (CHUNKED, b"3e8\r\n" + b"z" * 1000 + b"\r\n"),
        (CHUNKED, b"f" * 1000),
        (CHUNKED + b"0\r\n", b"X-Trailer: " + b"t" * 1000 + b"\r\n"),
    ],
)
async def test_bytes_without_end_are_refused_within_bounded_memory(beginning, piece):
    """A runner in trouble sends a head or a body of no meaning until it is closed."""
    async with EndlessUpstream(beginning, piece) as upstream, asyncio.timeout(10):
        connection = await open_connection(upstream.address, timeout_s=2.0)
        send_request(connection)
        with pytest.raises(UpstreamError) as caught:
            await connection.read_response(max_body_bytes=100_000)
        assert caught.value.sent
        connection.abort()
        await upstream.closed.wait()
    assert not connection.is_usable
    assert upstream.sent_bytes < 16_000_000, "the sockets hold what is not read"


# Guards against a connection whose input stops a host: bytes that were there already
# were read to their end before any other task ran.
@pytest.mark.parametrize(
    "stream",
    [
        b"HTTP/1.1 102 Processing\r\n\r\n" * 10_000,
        CHUNKED + b"1\r\nx\r\n" * 40_000 + b"0\r\n\r\n",
        CHUNKED + b"3\r\n:\n\n\r\n" * 30_000,
    ],
)
async def test_input_in_small_pieces_leaves_other_tasks_running(stream):
    connection = ClientConnection()
    transport = MemoryTransport(connection)
    send_request(connection)
    transport.receive(stream)
    transport.end()
    _, turn_s = await measure_longest_turn(
        connection.read_response(max_body_bytes=1_000_000)
    )
    assert turn_s < MAX_TURN_CPU_S


async def test_a_long_chunk_is_returned_in_pieces():
    body = bytes(range(256)) * 100
    async with ScriptedUpstream(
        HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    ) as upstream:
        connection = await connect(upstream)
        send_request(connection)
        await connection.read_head()
        pieces = []
        while (piece := await connection.read_body_chunk()) is not None:
            pieces.append(piece)
    assert b"".join(pieces) == body
    assert max(map(len, pieces)) <= MAX_CHUNK_BYTES


async def test_interim_responses_without_end_leave_other_tasks_running():
    async with EndlessUpstream(
        b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 40
    ) as upstream:
        connection = await open_connection(upstream.address, timeout_s=2.0)
        send_request(connection)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await connection.read_head()
        connection.abort()


async def test_response_without_length_is_complete_at_end_of_file():
    async with ScriptedUpstream(HEAD + b"\r\nall of it", after="close") as upstream:
        connection = await connect(upstream)
        send_request(connection)
        assert (await connection.read_response(max_body_bytes=100)).body == b"all of it"
        assert not connection.finish_request(now_s=1.0)


async def test_response_without_length_is_truncated_by_a_reset():
    async with ScriptedUpstream(HEAD + b"\r\nnot all", after="reset") as upstream:
        connection = await connect(upstream)
        send_request(connection)
        with pytest.raises(UpstreamError):
            await connection.read_response(max_body_bytes=100)


async def test_data_after_the_response_closes_the_connection():
    async with ScriptedUpstream(WHOLE + WHOLE) as upstream:
        connection = await connect(upstream)
        send_request(connection)
        assert (await connection.read_response(max_body_bytes=100)).body == b"ok"
        assert not connection.finish_request(now_s=1.0)
        assert not connection.is_usable


async def test_data_between_requests_closes_the_connection():
    async with ScriptedUpstream(WHOLE) as upstream:
        connection = await connect(upstream)
        send_request(connection)
        await connection.read_response(max_body_bytes=100)
        assert connection.finish_request(now_s=1.0)
        connection.data_received(WHOLE)
        assert not connection.is_usable
        with pytest.raises(UpstreamError) as caught:
            send_request(connection)
        assert not caught.value.sent


async def test_response_to_an_earlier_request_is_skipped():
    stray = HEAD + b"X-Id: old\r\nContent-Length: 3\r\n\r\nold"
    async with ScriptedUpstream(stray + WHOLE) as upstream:
        connection = await connect(upstream)
        send_request(connection)
        assert (await connection.read_response(max_body_bytes=100)).body == b"old"
        assert connection.skip_stale_response(method=b"POST", target=b"/a?b=c")
        assert (await connection.read_response(max_body_bytes=100)).body == b"ok"
        assert connection.finish_request(now_s=1.0)


async def test_early_response_with_unsent_request_body_closes_the_connection():
    async with ScriptedUpstream(WHOLE) as upstream:
        connection = await connect(upstream)
        send_request(connection, body=b"x" * 30_000_000)
        assert (await connection.read_response(max_body_bytes=100)).body == b"ok"
        assert not connection.finish_request(now_s=1.0)


async def test_response_over_the_size_limit_raises():
    async with ScriptedUpstream(WHOLE) as upstream:
        connection = await connect(upstream)
        send_request(connection)
        with pytest.raises(UpstreamError):
            await connection.read_response(max_body_bytes=1)


async def test_refused_connection_raises_unsent_error():
    async with ScriptedUpstream() as upstream:
        address = upstream.address
    with pytest.raises(UpstreamError) as caught:
        await open_connection(address, timeout_s=5.0)
    assert not caught.value.sent


async def test_request_on_an_unconnected_protocol_raises():
    connection = ClientConnection()
    with pytest.raises(UpstreamError):
        send_request(connection)
    await asyncio.sleep(0)


async def test_heads_of_interim_and_final_responses_are_reported():
    hint = b"HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"
    heads = []
    async with ScriptedUpstream(hint + WHOLE) as upstream:
        connection = await connect(upstream)
        send_request(connection)
        response = await connection.read_response(
            max_body_bytes=100, on_head=heads.append
        )
    assert (response.status, response.body) == (200, b"ok")
    assert [head.status for head in heads] == [103, 200]
    assert heads[0].headers == ((b"X-Hint", b"1"),)
