"""The operators' page on a platform outage, run as written."""

import asyncio
import signal

import aiohttp
import msgspec

from lacewinglug.caller import CallerClient
from lacewinglug.entry.app import StatusReply
from lacewinglug.requests.answers import PromptBody
from tests.golden.test_operations_session import HOSTS, operator

__all__ = ["operator"]


async def serve_a_caller(operator):
    """Send a prompt and a call that may not be repeated, and note the answers."""
    async with aiohttp.ClientSession() as session:
        caller = CallerClient(
            session=session,
            entry_url=operator.deployment.entry_url("entry-1"),
            organisation="volt-trottoir",
            region="mtl",
        )
        body = PromptBody(prompt="which bay is free", max_tokens=5, kind="kiosk")
        texts = [text async for text in caller.send_prompt("assistant", body)]
        operator.transcript.note("prompt", "".join(texts))
        answer = await caller.send_call(
            "locker-app", "unlock", "bay 7", key=await caller.mint_key()
        )
        operator.transcript.note("unlock", answer.unwrap().result)


async def wait_for_all(operator, *, draining):
    """Wait until every host and the engine know of a drain; callers may ask any."""
    wanted = (draining, "draining" if draining else "ready")
    async with aiohttp.ClientSession() as session:
        for host in HOSTS:
            url = f"{operator.deployment.entry_url(host)}/v1/status"
            while True:
                async with session.get(url) as response:
                    reply = msgspec.json.decode(await response.read(), type=StatusReply)
                reports = {item.runner: item.report for item in reply.runners}
                state = reports["assistant-1"].state
                left_out = "assistant-1" in {*reply.draining, *reply.leaving}
                if (left_out, state) == wanted:
                    break
                await asyncio.sleep(0.05)


async def test_requests_are_served_and_changes_wait(operator, snapshot):
    operator.deployment.send_signal("platform", signal.SIGSTOP)
    try:
        operator.run("drain", "assistant-1")
        await serve_a_caller(operator)
    finally:
        operator.deployment.send_signal("platform", signal.SIGCONT)
    operator.run("drain", "assistant-1")
    await wait_for_all(operator, draining=True)
    operator.run("drain", "assistant-1", "--undo")
    await wait_for_all(operator, draining=False)
    await serve_a_caller(operator)
    assert str(operator.transcript) == snapshot
