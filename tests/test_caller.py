"""Tests of a caller's client: kept addresses, refusing and silent entry hosts."""

import aiohttp
import msgspec
import pytest
from returns.pipeline import is_successful
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from lacewinglug import caller as caller_module
from lacewinglug.caller import AnswerFailedError, CallerClient
from lacewinglug.connections import make_connector
from lacewinglug.entry.calls import KeyReply
from lacewinglug.entry.responses import (
    ADDRESSES_HEADER,
    failure_response,
    message_response,
)
from lacewinglug.membership.addresses import EntryAddresses
from lacewinglug.requests.answers import PromptBody
from lacewinglug.requests.outcomes import NotRun, allow_same_key
from lacewinglug.standin.relay import TcpRelay
from lacewinglug.upstream.messages import CallReply
from tests.entry.local import free_port, serve_standin
from tests.requests.fakes import FakeClock

ANSWER = b'{"type":"heartbeat"}\n{"type":"token","index":0,"text":"x "}\n'
END = b'{"type":"end","tokens":1}\n'


class FakeEntry:
    """An entry host that hands out addresses and answers in a given manner."""

    def __init__(self):
        self.addresses = []
        self.manner = "answer"
        self.asked = 0
        self.prompts = 0
        self.calls = 0
        self.unsettled = 0

    async def handle_entries(self, request):
        self.asked += 1
        reply = EntryAddresses(addresses=self.addresses, ttl_s=10.0)
        return Response(msgspec.json.encode(reply))

    async def handle_prompt(self, request):
        self.prompts += 1
        await request.body()
        refusal = failure_response(NotRun(reason="busy", remedy="wait"))
        match self.manner:
            case "answer":
                return Response(ANSWER + END)
            case "no end":
                return Response(ANSWER)
            case "leave":
                refusal.headers[ADDRESSES_HEADER] = ""
                return refusal
            case _:
                return refusal

    async def handle_key(self, request):
        return message_response(KeyReply(key="k"), status_code=201)

    async def handle_call(self, request):
        self.calls += 1
        if self.calls <= self.unsettled:
            refusal = NotRun(reason="the owner is away", remedy="repeat")
            return failure_response(allow_same_key(refusal))
        return message_response(CallReply(key="k", result="done"))

    def app(self):
        return Starlette(
            routes=[
                Route("/v1/keys", self.handle_key, methods=["POST"]),
                Route("/v1/services/s/calls/k", self.handle_call, methods=["POST"]),
                Route("/v1/entries", self.handle_entries),
                Route("/v1/services/s/prompts", self.handle_prompt, methods=["POST"]),
            ]
        )


@pytest.fixture
async def setting():
    first, second = FakeEntry(), FakeEntry()
    async with (
        serve_standin(first.app()) as first_port,
        serve_standin(second.app()) as second_port,
        aiohttp.ClientSession(connector=make_connector()) as session,
    ):
        first.url, second.url = (
            f"http://127.0.0.1:{port}" for port in (first_port, second_port)
        )
        first.addresses = second.addresses = [first.url, second.url]
        client = CallerClient(
            session=session,
            entry_url=first.url,
            organisation="o",
            region="r",
            clock=FakeClock(),
        )
        yield client, first, second


async def send(client):
    body = PromptBody(prompt="p", max_tokens=1)
    return [text async for text in client.send_prompt("s", body)]


async def test_addresses_are_kept_for_their_time_to_live(setting):
    client, first, second = setting
    for _ in range(3):
        assert await send(client) == ["x "]
    client.clock.now += 10.0
    assert await send(client) == ["x "]
    assert (first.asked, first.prompts, second.prompts) == (2, 4, 0)


@pytest.mark.parametrize("fault", ["leave", "unreachable", "silent"])
async def test_next_address_is_used(setting, fault, monkeypatch):
    client, first, second = setting
    relay = TcpRelay(port=free_port(), target_port=int(first.url.rpartition(":")[2]))
    await relay.start()
    second.addresses = [f"http://127.0.0.1:{relay.port}", second.url]
    client.entry_url = second.url
    assert await send(client) == ["x "]
    match fault:
        case "leave":
            first.manner = "leave"
        case "unreachable":
            await relay.stop()
        case "silent":
            timeout = aiohttp.ClientTimeout(total=None, sock_read=0.3)
            monkeypatch.setattr(caller_module, "_STREAM_TIMEOUT", timeout)
            relay.silence_open_connections()
    assert await send(client) == ["x "]
    assert (first.prompts >= 1, second.prompts) == (True, 1)
    await relay.stop()


async def test_addresses_are_asked_again_when_all_fail(setting):
    client, first, second = setting
    first.addresses = [f"http://127.0.0.1:{free_port()}"]
    await client.fetch_addresses()
    first.addresses = [second.url]
    assert await send(client) == ["x "]
    assert (first.asked, second.prompts) == (2, 1)


async def test_refusal_by_admission_is_not_sent_elsewhere(setting):
    client, first, second = setting
    first.manner = "refuse"
    with pytest.raises(AnswerFailedError, match="busy"):
        await send(client)
    assert (first.prompts, second.prompts) == (1, 0)


async def test_answer_without_an_end_is_an_error(setting):
    client, first, _ = setting
    first.manner = "no end"
    with pytest.raises(aiohttp.ClientPayloadError, match="no end"):
        await send(client)


@pytest.mark.parametrize(("copies", "is_settled"), [(20, True), (40, False)])
async def test_a_call_is_repeated_while_its_owner_restarts(setting, copies, is_settled):
    """A restart of twenty seconds is waited out, one of forty is not."""
    client, first, second = setting
    first.unsettled = second.unsettled = copies // 2
    result = await client.run_call("s", "k", "body")
    assert is_successful(result) == is_settled
    if not is_settled:
        assert result.failure().repeat_with == "same_key"
