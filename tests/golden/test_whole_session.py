"""A whole session with real processes, from publishing to shutdown."""

import asyncio

import aiohttp
import pytest

from harness.deployment import Deployment
from lacewinglug.caller import CallerClient
from lacewinglug.requests.answers import PromptBody
from tests.golden.session import SessionTranscript

HOSTS = ["entry-1", "entry-2"]
RUNNERS = ["assistant-1", "assistant-2", "locker-app-1"]


@pytest.fixture
def deployment(tmp_path):
    with Deployment(example="volt-trottoir", folder=tmp_path) as deployment:
        deployment.start_platform()
        deployment.start_runners(RUNNERS)
        deployment.start_hosts(HOSTS)
        for host in HOSTS:
            url = f"{deployment.entry_url(host)}/v1/status"
            deployment.wait_url(f"{host}.entry", url)
        yield deployment


async def wait_until(condition):
    """Wait for an asynchronous condition."""
    for _ in range(300):
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise AssertionError("the condition did not come true")


async def test_publish_prompt_unlock_drain_shutdown(deployment, snapshot):
    transcript = SessionTranscript()
    folder = str(deployment.config_folder)

    def command(*arguments):
        done = deployment.run_command(*arguments)
        shown = " ".join(arguments).replace(folder, "CONFIG")
        output = done.stdout.replace(folder, "CONFIG") + done.stderr
        transcript.note(f"lacewinglug {shown}", f"{output}exit {done.returncode}")

    command("check", folder)
    command("publish", folder)
    command("publish", folder)
    async with aiohttp.ClientSession() as session:
        caller = CallerClient(
            session=session,
            entry_url=deployment.entry_url("entry-1"),
            organisation="volt-trottoir",
            region="mtl",
        )

        async def entries_are(count):
            return len((await caller.fetch_addresses()).addresses) == count

        await wait_until(lambda: entries_are(2))
        await asyncio.to_thread(deployment.wait_serving, HOSTS, RUNNERS)
        transcript.note("entries", caller.addresses)
        body = PromptBody(prompt="which bay is free", max_tokens=5, kind="kiosk")
        texts = [text async for text in caller.send_prompt("assistant", body)]
        transcript.note("prompt", "".join(texts))
        key = await caller.mint_key()
        for step in ("unlock", "repeat of the unlock"):
            answer = await caller.send_call("locker-app", "unlock", "bay 7", key=key)
            transcript.note(step, answer)
        url = f"{deployment.fleet.runners['locker-app-1'].url}/journal"
        async with session.get(url) as response:
            transcript.note("journal of the locker app", await response.text())
        command("drain", "entry-2")
        await wait_until(lambda: entries_are(1))
        transcript.note("entries after the drain", caller.addresses)
        command("drain", "nobody")
    for name in ("entry-1.entry", "entry-1.steward"):
        transcript.note(f"SIGTERM to {name}", f"exit {deployment.stop(name)}")
    assert str(transcript) == snapshot
