"""Two entries, a plain service behind a relay, and a judge of its journal."""

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from returns.result import Failure, Success

from harness.deployment import Deployment
from lacewinglug.caller import AnswerFailedError, CallerClient
from lacewinglug.standin.relay import TcpRelay

HOSTS = ["entry-1", "entry-2"]
SERVICE = "locker-app"
RUNNER = "locker-app-1"
RELAY_PORT_OFFSET = 90


def deploy(folder, *, admin_key=""):
    """Start a deployment whose calls pass a port where a relay may listen."""
    settings = "address_ttl_s = 0.3\nleave_notice_s = 0.2\n"
    if admin_key:
        settings += f'[admin]\nkey = "{admin_key}"\n'
    deployment = Deployment(
        example="volt-trottoir", folder=folder, entry_settings=settings
    )
    deployment.start_platform()
    deployment.start_runners([RUNNER])
    service_port = deployment.fleet.runners[RUNNER].url.rpartition(":")[2]
    relay_port = deployment.base_port + RELAY_PORT_OFFSET
    path = deployment.config_folder / "runners.toml"
    path.write_text(path.read_text().replace(f":{service_port}", f":{relay_port}"))
    deployment.start_hosts(HOSTS)
    deployment.publish()
    return deployment, int(service_port), relay_port


@dataclass(kw_only=True)
class CallStage:
    """A deployment with callers of one organisation.

    :param deployment: the processes.
    :param session: HTTP client session of the callers.
    :param relay: path from the entries to the service.
    :param service_port: port of the service.
    :param told: outcomes of the calls by key.
    """

    deployment: Deployment
    session: aiohttp.ClientSession
    relay: TcpRelay
    service_port: int
    told: dict[str, list[str]] = field(default_factory=dict)

    def caller(self, host, organisation="volt-trottoir", key=""):
        """Return a client of one entry."""
        return CallerClient(
            session=self.session,
            entry_url=self.deployment.entry_url(host),
            organisation=organisation,
            region="mtl",
            key=key,
        )

    async def mint(self, host):
        """Mint a key at an entry."""
        return await self.caller(host).mint_key()

    async def call(self, host, key, body="bay 7", kind="unlock"):
        """Send a call and return its outcome, which the judge remembers."""
        try:
            result = await self.caller(host).send_call(SERVICE, kind, body, key=key)
        except (aiohttp.ClientError, TimeoutError):
            outcome = "connection_lost"
        else:
            match result:
                case Success(reply):
                    assert reply.key == key
                    assert reply.result == f"done /{kind} {body}"
                    outcome = "answered"
                case Failure(failure):
                    outcome = failure.outcome
        self.told.setdefault(key, []).append(outcome)
        return outcome

    async def runs(self):
        """Return how often each key ran, by the service's journal."""
        url = f"http://127.0.0.1:{self.service_port}/journal"
        async with self.session.get(url) as response:
            journal = await response.json()
        return Counter(call["key"] for call in journal["calls"])

    async def set_faults(self, target="service", **faults):
        """Set the fault switches of the service or the platform."""
        url = f"http://127.0.0.1:{self.service_port}"
        if target == "platform":
            url = self.deployment.platform_url
        async with self.session.put(f"{url}/faults", json=faults) as response:
            assert response.status == 200

    async def wait_ready(self, *hosts):
        """Wait until calls pass each entry and the entries know each other."""
        for host in hosts or HOSTS:
            await self.wait_until(lambda host=host: self._is_ready(host))

    async def _is_ready(self, host):
        try:
            addresses = await self.caller(host).fetch_addresses()
            key = await self.mint(host)
        except (aiohttp.ClientError, TimeoutError, AnswerFailedError):
            return False
        if len(addresses.addresses) < 2:
            return False
        return await self.call(host, key) == "answered"

    async def wait_until(self, condition):
        """Wait for an asynchronous condition."""
        for _ in range(300):
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise AssertionError("the condition did not come true")

    async def wait_run(self, key):
        """Wait until a key is in the journal."""

        async def is_run():
            return (await self.runs())[key] > 0

        await self.wait_until(is_run)

    def kill(self, host):
        """Kill an entry with SIGKILL."""
        process = self.deployment.processes.pop(f"{host}.entry")
        process.send_signal(signal.SIGKILL)
        process.wait()

    async def judge(self):
        """Check every answer told against the journal."""
        runs = await self.runs()
        assert {key: count for key, count in runs.items() if count > 1} == {}
        for key, outcomes in self.told.items():
            if "answered" in outcomes:
                assert runs[key] == 1, key
            if "not_run" in outcomes and "answered" not in outcomes:
                assert runs[key] == 0, key
