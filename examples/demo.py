"""Runs a whole deployment on loopback and sends real requests through it."""

import asyncio
import sys
import tempfile
from pathlib import Path

import aiohttp
from returns.result import Success

sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.deployment import Deployment, DeploymentError
from lacewinglug.caller import AnswerFailedError, CallerClient
from lacewinglug.requests.answers import PromptBody

HOSTS = ["entry-1", "entry-2"]
RUNNERS = ["assistant-1", "assistant-2", "locker-app-1"]
ENTRY_SETTINGS = "address_ttl_s = 1.0\n"


def main() -> int:
    """Run the demo and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="lacewinglug-") as folder:
        deployment = Deployment(
            example="volt-trottoir", folder=Path(folder), entry_settings=ENTRY_SETTINGS
        )
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
    deployment.wait_serving(HOSTS, RUNNERS)
    asyncio.run(_call(deployment))
    print("$ lacewinglug status")
    print(deployment.run_command("status").stdout)
    print("stopping the entry hosts; each hands over what it counted")
    statuses = deployment.stop_together([f"{host}.entry" for host in HOSTS])
    if any(statuses):
        raise DeploymentError(f"the entries ended with exit statuses {statuses}")
    print("$ lacewinglug report burn")
    print(deployment.run_command("report", "burn").stdout)


async def _call(deployment: Deployment) -> None:
    async with aiohttp.ClientSession() as session:
        caller = CallerClient(
            session=session,
            entry_url=deployment.entry_url(HOSTS[0]),
            organisation="volt-trottoir",
            region="mtl",
        )
        await caller.fetch_addresses()
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


if __name__ == "__main__":
    sys.exit(main())
