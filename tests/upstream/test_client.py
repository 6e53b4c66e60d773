"""Tests of what the client says of a call that gets no answer."""

import asyncio

import aiohttp
import pytest

from lacewinglug.upstream.client import RunnerClient, RunnerError, RunnerStatusError

GOOD = b'{"key":"k","result":"done"}'


class RawServer:
    """Answers each request with the bytes of a plan, and counts them."""

    def __init__(self, plan):
        self.plan = list(plan)
        self.requests = 0
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                await reader.readexactly(length)
                self.requests += 1
                answer = self.plan.pop(0)
                if answer is None:
                    return
                writer.write(answer.replace(b"URL", self.url.encode()))
                await writer.drain()
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()


def respond(body, status=b"200 OK", extra=b""):
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), extra)
    return head + body


async def send(client, url, *, repeatable=False, timeout_s=5.0):
    return await client.call(
        url,
        "/unlock",
        key="k",
        organisation="north",
        body=b"bay 7",
        timeout_s=timeout_s,
        repeatable=repeatable,
    )


REDIRECT = respond(b"", b"307 Temporary Redirect", b"Location: URL/other\r\n")


async def expect_sent_once(plan, error, *, timeout_s):
    async with RawServer(plan) as server, aiohttp.ClientSession() as session:
        with pytest.raises(error) as caught:
            await send(RunnerClient(session=session), server.url, timeout_s=timeout_s)
        assert caught.value.sent
        assert server.requests == 1


@pytest.mark.parametrize(
    ("plan", "error"),
    [
        ([None], RunnerError),
        ([respond(b'{"key":"other","result":"done"}')], RunnerError),
        ([respond(b"not json")], RunnerError),
        ([b"not http\r\n\r\n"], RunnerError),
        ([respond(b"", b"503 Unavailable")], RunnerStatusError),
        ([REDIRECT, respond(GOOD)], RunnerStatusError),
    ],
)
async def test_a_call_that_was_written_is_sent_once_and_never_called_unsent(
    plan, error
):
    await expect_sent_once(plan, error, timeout_s=30.0)


@pytest.mark.parametrize("plan", [[b""], [respond(b"short")[:-2], None]])
async def test_a_call_without_a_whole_answer_is_sent_once(plan):
    """The timeout ends the wait, as the runner neither answers nor closes."""
    await expect_sent_once(plan, RunnerError, timeout_s=0.5)


async def test_refused_connection_is_unsent():
    async with RawServer([]) as server:
        pass
    async with aiohttp.ClientSession() as session:
        with pytest.raises(RunnerError) as caught:
            await send(RunnerClient(session=session), server.url)
    assert not caught.value.sent


async def test_post_is_not_repeated_on_a_pooled_connection_that_breaks():
    plan = [respond(GOOD), None, respond(GOOD)]
    async with RawServer(plan) as server, aiohttp.ClientSession() as session:
        client = RunnerClient(session=session)
        await send(client, server.url, repeatable=True)
        with pytest.raises(RunnerError) as caught:
            await send(client, server.url, repeatable=True)
        assert caught.value.sent
        assert (server.requests, server.connections) == (2, 1)


async def test_call_that_may_not_be_repeated_gets_a_connection_of_its_own():
    connector = aiohttp.TCPConnector(force_close=True)
    async with (
        RawServer([respond(GOOD)] * 3) as server,
        aiohttp.ClientSession() as session,
        aiohttp.ClientSession(connector=connector) as fresh_session,
    ):
        client = RunnerClient(session=session, fresh_session=fresh_session)
        for _ in range(3):
            assert (await send(client, server.url)).result == "done"
        assert server.connections == 3
