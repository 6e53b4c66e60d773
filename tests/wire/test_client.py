"""Tests that the client returns complete responses or raises an error."""

import asyncio

import pytest

from lacewinglug.wire.client import ClientConnection, UpstreamError, open_connection
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
