"""A whole session of a drain and of signals, while streams run."""

import asyncio
import signal

import aiohttp
import pytest

from harness.deployment import Deployment
from lacewinglug.caller import AnswerFailedError, CallerClient
from lacewinglug.connections import make_connector
from lacewinglug.requests.answers import PromptBody
from lacewinglug.standin.engine import expected_token
from tests.golden.session import SessionTranscript
from tests.golden.test_whole_session import wait_until

HOSTS = ["entry-1", "entry-2"]
ENGINES = ["assistant-1", "assistant-2"]
LONG = PromptBody(prompt="describe the night", max_tokens=800, kind="note")
SHORT = PromptBody(prompt="which bay is free", max_tokens=4, kind="kiosk")

pytestmark = pytest.mark.processes


async def test_drain_and_signals_cut_no_stream(tmp_path, snapshot):
    transcript = SessionTranscript()
    settings = "address_ttl_s = 0.5\nleave_notice_s = 2.5\n"
    deployment = Deployment(
        example="volt-trottoir", folder=tmp_path, entry_settings=settings
    )
    with deployment:
        deployment.start_platform()
        deployment.start_runners(ENGINES)
        deployment.start_hosts(HOSTS)
        for host in HOSTS:
            url = f"{deployment.entry_url(host)}/v1/status"
            deployment.wait_url(f"{host}.entry", url)
        deployment.publish()
        async with aiohttp.ClientSession(connector=make_connector()) as session:
            callers = {
                host: CallerClient(
                    session=session,
                    entry_url=deployment.entry_url(host),
                    organisation="volt-trottoir",
                    region="mtl",
                )
                for host in HOSTS
            }
            await run_session(deployment, callers, transcript)
    assert str(transcript) == snapshot


async def run_session(deployment, callers, transcript):
    async def answers(caller, body):
        try:
            return [text async for text in caller.send_prompt("assistant", body)]
        except (AnswerFailedError, aiohttp.ClientError):
            return []

    async def is_ready(host):
        reply = await callers[host].fetch_addresses()
        texts = await answers(callers[host], SHORT)
        return len(reply.addresses) == 2 and len(texts) == SHORT.max_tokens

    for host in HOSTS:
        await wait_until(lambda host=host: is_ready(host))

    async def start_long(host):
        """Start a long answer at one host."""
        caller = callers[host]
        caller.addresses = [deployment.entry_url(host)]
        texts = caller.send_prompt("assistant", LONG)
        return await anext(texts), texts

    async def finish(step, first, texts):
        received = [first, *[text async for text in texts]]
        expected = [expected_token(LONG.prompt, i) for i in range(LONG.max_tokens)]
        transcript.note(
            step, f"{len(received)} tokens, as expected: {received == expected}"
        )

    def exit_status(host):
        process = deployment.processes.pop(f"{host}.entry")
        return f"exit {process.wait(timeout=30.0)}"

    running = await start_long("entry-1")
    done = deployment.run_command("drain", "entry-1")
    transcript.note("lacewinglug drain entry-1", done.stdout)

    async def entries_are_one():
        return len((await callers["entry-2"].fetch_addresses()).addresses) == 1

    await wait_until(entries_are_one)
    only = callers["entry-2"].addresses == [deployment.entry_url("entry-2")]
    transcript.note("entries", f"only entry-2: {only}")
    kept = callers["entry-1"]
    transcript.note(
        "prompt of a caller that kept the address", "".join(await answers(kept, SHORT))
    )
    await finish("answer that ran at entry-1", *running)
    status = await asyncio.to_thread(exit_status, "entry-1")
    transcript.note("entry-1", status)

    running = await start_long("entry-2")
    for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
        deployment.send_signal("entry-2.entry", number)
        await asyncio.sleep(0.2)
    await finish("answer that ran at entry-2 through three signals", *running)
    status = await asyncio.to_thread(exit_status, "entry-2")
    transcript.note("entry-2", status)
