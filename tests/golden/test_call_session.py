"""A whole session of calls that may not be repeated, with real processes."""

import asyncio

import aiohttp
import pytest

from lacewinglug.standin.relay import TcpRelay
from tests.entry.call_stage import RUNNER, CallScenario, deploy
from tests.golden.session import SessionTranscript

pytestmark = pytest.mark.processes
CALL = "/v1/services/locker-app/calls"


class HttpTranscript:
    """Sends requests and writes down what comes back."""

    def __init__(self, stage, transcript):
        self.stage = stage
        self.transcript = transcript

    async def post(self, step, host, path, body="", *, key="", organisation=""):
        """Send a request and note status, headers and body of the answer."""
        headers = {"X-Caller": organisation or "volt-trottoir"}
        if key:
            headers["Idempotency-Key"] = key
        url = self.stage.deployment.entry_url(host) + path
        session = self.stage.session
        async with session.post(url, data=body, headers=headers) as response:
            shown = [f"{response.status}"]
            for name in ("Idempotency-Key", "Retry-After"):
                if name in response.headers:
                    shown.append(f"{name}: {response.headers[name]}")
            text = await response.text()
            self.transcript.note(f"{step} at {host}", "\n".join([*shown, text]))
            return await response.json()


async def tell(stage, transcript):
    """Play the session."""
    http = HttpTranscript(stage, transcript)
    unlock = f"{CALL}/unlock"
    spent = (await http.post("mint a key", "entry-1", "/v1/keys"))["key"]
    unspent = await stage.mint("entry-1")
    await http.post("unlock", "entry-1", unlock, "bay 7", key=spent)
    await http.post("repeat", "entry-2", unlock, "bay 7", key=spent)
    await http.post("same key, other body", "entry-2", unlock, "bay 8", key=spent)
    for organisation in ("volt-trottoir", "kiosk-partners"):
        await http.post(
            f"own key of {organisation}",
            "entry-2",
            f"{CALL}/charge",
            f"7 CAD of {organisation}",
            key="sale-12",
            organisation=organisation,
        )
    await http.post("key of another", "entry-1", unlock, "bay 7", key=spent[:-1])
    stranger = "someone-else"
    await http.post("stranger", "entry-1", unlock, "bay 7", organisation=stranger)
    await http.post("no such kind", "entry-1", f"{CALL}/open", "bay 7", key=unspent)
    await asyncio.sleep(2.0)
    await stage.set_faults("platform", refuse=True)
    await http.post("log outage, new", "entry-1", unlock, "bay 9", key="sale-13")
    await http.post("log outage, minted", "entry-2", unlock, "bay 7", key=spent)
    await stage.set_faults("platform")
    await asyncio.sleep(1.5)
    stage.kill("entry-1")
    stage.deployment.start_entry("entry-1")
    await stage.wait_ready("entry-1")
    await http.post("owner restarted, run", "entry-2", unlock, "bay 7", key=spent)
    await http.post("owner restarted, open", "entry-2", unlock, "bay 7", key=unspent)
    runs = {
        key: count for key, count in (await stage.run_counts()).items() if "sale" in key
    }
    transcript.note("runs of the callers' own keys", runs)
    transcript.note("runs of the open key", (await stage.run_counts())[unspent])


async def test_mint_call_repeat_outage_restart(tmp_path, snapshot):
    transcript = SessionTranscript()
    deployment, service_port, relay_port = deploy(tmp_path)
    relay = TcpRelay(port=relay_port, target_port=service_port)
    await relay.start()
    with deployment:
        async with aiohttp.ClientSession() as session:
            stage = CallScenario(
                deployment=deployment,
                session=session,
                relay=relay,
                service_port=service_port,
            )
            await stage.wait_ready()
            await tell(stage, transcript)
        deployment.processes.pop(RUNNER).kill()
    await relay.stop()
    assert str(transcript) == snapshot
