"""Two entries and a plain service behind a relay, checked by its journal."""

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
    """Start a deployment whose entries reach the service through a relay port."""
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
class CallScenario:
    """A running deployment and the recorded outcomes of its calls.

    :param deployment: the processes.
    :param session: HTTP client session of the callers.
    :param relay: TCP relay between the entries and the service.
    :param service_port: port of the service.
    :param outcomes: outcomes of the calls, by idempotency key.
    """

    deployment: Deployment
    session: aiohttp.ClientSession
    relay: TcpRelay
    service_port: int
    outcomes: dict[str, list[str]] = field(default_factory=dict)

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
        """Send a call; record and return its outcome."""
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
        self.outcomes.setdefault(key, []).append(outcome)
        return outcome

    async def run_counts(self):
        """Return how often each key ran, from the journal of the service."""
        url = f"http://127.0.0.1:{self.service_port}/journal"
        async with self.session.get(url) as response:
            journal = await response.json()
        return Counter(call["key"] for call in journal["calls"])

    async def set_faults(self, target="service", **faults):
        """Set the injected faults of the service or the platform."""
        url = f"http://127.0.0.1:{self.service_port}"
        if target == "platform":
            url = self.deployment.platform_url
        async with self.session.put(f"{url}/faults", json=faults) as response:
            assert response.status == 200

    async def wait_ready(self, *hosts):
        """Wait until each entry answers calls and lists both entry addresses."""
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
        raise AssertionError("timed out waiting for the condition")

    async def wait_until_run(self, key):
        """Wait until the journal contains a key."""

        async def is_run():
            return (await self.run_counts())[key] > 0

        await self.wait_until(is_run)

    def kill(self, host):
        """Kill an entry with SIGKILL."""
        process = self.deployment.processes.pop(f"{host}.entry")
        process.send_signal(signal.SIGKILL)
        process.wait()

    async def check_journal(self):
        """Check all recorded outcomes against the journal.

        A key runs at most once. It ran if a caller got an answer, and did not run if
        the outcomes include ``not_run`` but no answer.
        """
        runs = await self.run_counts()
        assert {key: count for key, count in runs.items() if count > 1} == {}
        for key, outcomes in self.outcomes.items():
            if "answered" in outcomes:
                assert runs[key] == 1, key
            if "not_run" in outcomes and "answered" not in outcomes:
                assert runs[key] == 0, key
