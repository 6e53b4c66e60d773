"""Connection pools."""

from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.messages import ResponseHead
from lacewinglug.wire.pool import DEFAULT_IDLE_TIMEOUT_S, ConnectionPool
from tests.wire.upstream import HEAD, ScriptedUpstream, send_request

COMPLETE = HEAD + b"Content-Length: 2\r\n\r\nok"


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


async def exchange(pool, connection):
    """Send a request and return the connection to the pool."""
    send_request(connection, body=b"hi")
    response = await connection.read_response(max_body_bytes=100)
    pool.release(connection, ResponseHead(status=200, headers=response.headers).headers)


# Guards against a request on a connection that the upstream has closed as idle.
async def test_check_does_not_extend_the_life_of_an_idle_connection():
    clock = Clock()
    async with ScriptedUpstream(COMPLETE) as upstream:
        pool = ConnectionPool(address=upstream.address, max_connections=2, now_s=clock)
        await exchange(pool, await pool.acquire(timeout_s=5.0))
        clock.now_s += DEFAULT_IDLE_TIMEOUT_S - 0.1
        assert not await pool.refuses_connections(timeout_s=5.0)
        assert (pool.connection_counts.open, pool.connection_counts.idle) == (1, 1)
        clock.now_s += 0.2
        pool.close_stale()
        assert pool.connection_counts.open == 0


async def test_check_keeps_a_new_connection_and_notices_a_closed_listener():
    async with ScriptedUpstream() as upstream:
        pool = ConnectionPool(
            address=upstream.address, max_connections=2, now_s=Clock()
        )
        assert not await pool.refuses_connections(timeout_s=5.0)
        assert (pool.connection_counts.open, pool.connection_counts.idle) == (1, 1)
    pool.close()
    assert await pool.refuses_connections(timeout_s=5.0)
    try:
        await pool.acquire(timeout_s=5.0)
    except UpstreamError as error:
        assert error.refused
