"""Runs a whole deployment on loopback and sends real requests through it."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from returns.result import Success

sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.deployment import Deployment, DeploymentError
from lacewinglug.caller import AnswerFailedError, CallerClient
from lacewinglug.requests.answers import PromptBody

HOSTS = ["entry-1", "entry-2"]
RUNNERS = ["assistant-1", "assistant-2", "locker-app-1"]
_READY_TIMEOUT_S = 20.0


def main() -> int:
    """Run the demo and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="lacewinglug-") as folder:
        deployment = Deployment(example="volt-trottoir", folder=Path(folder))
        try:
            with deployment:
                _run(deployment)
        except (DeploymentError, AnswerFailedError, aiohttp.ClientError) as error:
            print(f"demo failed: {error}", file=sys.stderr)
            return 1
    print("demo finished: every step answered")
    return 0


def _run(deployment: Deployment) -> None:
    print("starting the platform's stand-in, runners and entry hosts")
    deployment.start_platform()
    deployment.start_runners(RUNNERS)
    deployment.start_hosts(HOSTS)
    print(f"$ lacewinglug publish {deployment.example}")
    print(deployment.publish().strip())
    for host in HOSTS:
        deployment.wait_url(f"{host}.entry", f"{deployment.entry_url(host)}/v1/status")
    asyncio.run(_call(deployment))
    print("$ lacewinglug status")
    print(deployment.run_command("status").stdout)


async def _call(deployment: Deployment) -> None:
    async with aiohttp.ClientSession() as session:
        caller = CallerClient(
            session=session,
            entry_url=deployment.entry_url(HOSTS[0]),
            organisation="volt-trottoir",
            region="mtl",
        )
        await _wait_for_addresses(caller)
        print(f"entry addresses for a caller in mtl: {caller.addresses}")
        body = PromptBody(prompt="which bay has the fullest battery", max_tokens=8)
        texts = [text async for text in caller.send_prompt("assistant", body)]
        print(f"answer to a prompt: {''.join(texts)}({len(texts)} tokens)")
        key = await caller.mint_key()
        first = await caller.send_call("locker-app", "unlock", "bay 7", key=key)
        second = await caller.send_call("locker-app", "unlock", "bay 7", key=key)
        print(f"unlock under key {key}: {first}")
        print(f"repeat under the same key: {second}")
        if not isinstance(first, Success) or first != second:
            raise DeploymentError("the unlock and its repeat differ")


async def _wait_for_addresses(caller: CallerClient) -> None:
    """Wait until the entry hosts serve with the published configuration."""
    deadline_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if len((await caller.fetch_addresses()).addresses) == len(HOSTS):
            return
        await asyncio.sleep(0.1)
    raise DeploymentError("the entry hosts did not take the configuration in time")


if __name__ == "__main__":
    sys.exit(main())
