"""The operators' page on a parted region, run as written."""

import asyncio
import itertools

import aiohttp
import msgspec
import pytest
from returns.result import Failure, Success

from harness.deployment import Deployment
from lacewinglug.caller import CallerClient
from lacewinglug.entry.app import StatusReply
from lacewinglug.requests.answers import PromptBody
from lacewinglug.requests.intents import shard_of_key
from lacewinglug.requests.keys import supplied_key_id
from lacewinglug.standin.relay import PathState, TcpRelay
from tests.golden.test_operations_session import HOSTS, RUNNERS, Operator

REACHED, PARTED = HOSTS
SPARE_PORT = 90
"""First port of a deployment's block that its configuration leaves free."""
PATIENCE_S = 120.0


class PartedDeployment:
    """Two hosts; relays carry all paths of the second one to the log and the first.

    :param folder: empty folder.
    """

    def __init__(self, folder):
        self.deployment = Deployment(example="volt-trottoir", folder=folder)
        first = self.deployment.base_port + SPARE_PORT
        hosts = self.deployment.fleet.hosts
        for offset, host in enumerate(HOSTS):
            self.deployment.control_ports[host] = first + offset
        self.deployment.platform_ports[PARTED] = first + len(HOSTS)
        self.relays = [
            TcpRelay(port=hosts[host].control_port, target_port=first + offset)
            for offset, host in enumerate(HOSTS)
        ]
        log = TcpRelay(port=first + len(HOSTS), target_port=self.deployment.base_port)
        self.relays.append(log)
        self.operator = Operator(self.deployment)

    async def start(self):
        for relay in self.relays:
            await relay.start()
        await asyncio.to_thread(self._start_processes)

    def _start_processes(self):
        path = self.deployment.config_folder / "runners.toml"
        tables = path.read_text().split("\n\n")
        kept = [t for t in tables if any(f"[runners.{n}]" in t for n in RUNNERS)]
        path.write_text("\n\n".join(kept))
        self.deployment.start_platform()
        self.deployment.start_runners(RUNNERS)
        self.deployment.start_hosts(HOSTS)
        self.deployment.publish()
        self.deployment.wait_serving(HOSTS, RUNNERS)

    def set_paths(self, state):
        for relay in self.relays:
            relay.state = state
            if state is PathState.FORWARD:
                relay.cut_open_connections()

    async def run(self, *arguments):
        await asyncio.to_thread(self.operator.run, *arguments)

    async def status(self, host):
        url = f"{self.deployment.entry_url(host)}/v1/status"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=StatusReply)

    async def wait_revision(self, host, revision):
        while (await self.status(host)).revision != revision:
            await asyncio.sleep(0.1)
        self.operator.transcript.note(f"{host} serves with", f"revision {revision}")

    def caller(self, host, session):
        return CallerClient(
            session=session,
            entry_url=self.deployment.entry_url(host),
            organisation="volt-trottoir",
            region=self.deployment.fleet.hosts[host].availability_zone[:-2],
        )

    async def use_shard(self, host):
        """Run a call at a host whose key shares the shard of the host's own key."""
        shard = shard_of(own_key(host))
        keys = (f"earlier-key-{number}" for number in itertools.count())
        key = next(key for key in keys if shard_of(key) == shard)
        async with aiohttp.ClientSession() as session:
            caller = self.caller(host, session)
            answer = await caller.send_call("locker-app", "unlock", "bay 6", key=key)
        assert answer.unwrap().result == "done /unlock bay 6"

    async def serve_callers(self, host):
        """Send a prompt, a call under a minted key and one under an own key."""
        note = self.operator.transcript.note
        async with aiohttp.ClientSession() as session:
            caller = self.caller(host, session)
            body = PromptBody(prompt="which bay is free", max_tokens=5, kind="kiosk")
            texts = [text async for text in caller.send_prompt("assistant", body)]
            note(f"prompt at {host}", "".join(texts))
            key = await caller.mint_key()
            answer = await caller.send_call("locker-app", "unlock", "bay 7", key=key)
            note(f"unlock at {host}, minted key", answer.unwrap().result)
            answer = await caller.send_call(
                "locker-app", "unlock", "bay 8", key=own_key(host)
            )
            match answer:
                case Success(reply):
                    told = reply.result
                case Failure(body):
                    told = f"{body.outcome}: {body.reason}; repeat: {body.repeat_with}"
            note(f"unlock at {host}, own key", told)


def own_key(host):
    return f"own-key-of-{host}"


def shard_of(key):
    key_id = supplied_key_id(
        organisation="volt-trottoir", service="locker-app", key=key
    )
    return shard_of_key(key_id)


@pytest.fixture
async def parted(tmp_path):
    parted = PartedDeployment(tmp_path)
    try:
        async with asyncio.timeout(PATIENCE_S):
            await parted.start()
        yield parted
    finally:
        await asyncio.to_thread(parted.deployment.stop_all)
        for relay in parted.relays:
            await relay.stop()


async def test_both_sides_serve_and_the_parted_one_takes_changes_later(
    parted, snapshot
):
    async with asyncio.timeout(PATIENCE_S):
        # Earlier uses of keys are known on the parted side only in shards it has read.
        await parted.use_shard(PARTED)
        parted.set_paths(PathState.SILENT)
        parted.operator.edit(
            "models.toml", "weight_bytes = 16000000000", "weight_bytes = 16000000001"
        )
        await parted.run("publish", parted.operator.folder, "--base", "1")
        await parted.wait_revision(REACHED, 2)
        for host in HOSTS:
            await parted.serve_callers(host)
        assert (await parted.status(PARTED)).revision == 1
        parted.set_paths(PathState.FORWARD)
        await parted.wait_revision(PARTED, 2)
        await parted.serve_callers(PARTED)
    assert str(parted.operator.transcript) == snapshot
