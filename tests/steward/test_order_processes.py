"""Tests of orders between real processes while processes and connections fail."""

import asyncio
import contextlib
import re
import signal
import threading
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from harness.deployment import Deployment
from harness.journals import find_order_violations
from lacewinglug.authority.replay import replay_record
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.log import ReadReply
from lacewinglug.standin.engine_control import OrderEvent
from lacewinglug.standin.relay import PathState, TcpRelay
from lacewinglug.upstream.messages import EngineState

pytestmark = pytest.mark.processes

FENCED, UNFENCED = "assistant-3", "assistant-6"
HOSTS = ["entry-3", "entry-6"]
DOMAINS = ["assistant/sher", f"runner:{UNFENCED}"]
WAIT_S = 40.0
RELAY_PORT = 90
LOG_RELAY_PORTS = {"entry-3": 91, "entry-6": 92}


class Journal(msgspec.Struct):
    orders: list[OrderEvent]


class OrderDeployment(Deployment):
    """Two stewards of a region, with a fenced and an unfenced engine."""

    def prepare(self, *, relay=False, set_log_url=lambda host: None):
        self._keep_only("hosts", HOSTS)
        self._keep_only("runners", [FENCED, UNFENCED, "locker-app-1"])
        self.engine_urls = {n: r.url for n, r in self.fleet.runners.items()}
        self.start_platform()
        self.start_runners([FENCED, UNFENCED], "--change-s", "1.5")
        if relay:
            url = f"http://127.0.0.1:{self.base_port + RELAY_PORT}"
            self.edit("runners.toml", self.engine_urls[FENCED], url)
        self.publish()
        for host in HOSTS:
            set_log_url(host)
            self.start_hosts([host])
        self.wait(lambda: set(DOMAINS) <= set(self.holders()))

    def edit(self, file, old, new):
        path = self.config_folder / file
        path.write_text(path.read_text().replace(old, new))

    def _keep_only(self, kind, names):
        path = self.config_folder / f"{kind}.toml"
        parts = re.split(rf"(?m)^(?=\[{kind}\.)", path.read_text())
        kept = [part for part in parts if part.split("]")[0][len(kind) + 2 :] in names]
        path.write_text("".join(kept))

    def publish_role(self, old, new):
        self.edit("runners.toml", f'initial_role = "{old}"', f'initial_role = "{new}"')
        self.publish()

    def fetch(self, url, kind):
        with urllib.request.urlopen(url, timeout=5) as response:
            return msgspec.json.decode(response.read(), type=kind)

    def fetch_engine_state(self, name):
        return self.fetch(f"{self.engine_urls[name]}/state", EngineState)

    def holders(self):
        """Return the host that holds each domain, replayed from the log."""
        url = f"{self.platform_url}/streams/control/records?offset=0"
        state = ControlState()
        for record in self.fetch(url, ReadReply).records:
            replay_record(state, record)
        return {name: item.host for name, item in state.tenures.items()}

    def wait(self, condition):
        deadline_s = time.monotonic() + WAIT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError):
                if condition():
                    return
            time.sleep(0.05)
        logs = "\n".join(self.read_log(f"{host}.steward") for host in HOSTS)
        raise AssertionError(f"the condition did not hold in time:\n{logs}")

    def has_role(self, name, role):
        state = self.fetch_engine_state(name)
        return (state.role, state.state) == (role, "ready")

    def assert_no_violation(self):
        for name in (FENCED, UNFENCED):
            journal = self.fetch(f"{self.engine_urls[name]}/journal", Journal)
            assert find_order_violations(journal.orders) == []


@pytest.fixture
def deployment(tmp_path, monkeypatch):
    monkeypatch.setenv("LACEWINGLUG_STEWARD__ORDER_SETTLE_S", "1.0")
    monkeypatch.setenv("LACEWINGLUG_STEWARD__CLAIM_DELAY_S", "2.0")
    with OrderDeployment(example="volt-trottoir", folder=tmp_path) as deployment:
        yield deployment


@contextlib.contextmanager
def relay_thread(port, target_port):
    """Run a relay in a separate thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    relay = TcpRelay(port=port, target_port=target_port)
    asyncio.run_coroutine_threadsafe(relay.start(), loop).result()
    try:
        yield relay
    finally:
        asyncio.run_coroutine_threadsafe(relay.stop(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()


def test_paused_holder_resumes_after_a_takeover(deployment):
    deployment.prepare()
    paused = deployment.holders()[DOMAINS[1]]
    deployment.send_signal(f"{paused}.steward", signal.SIGSTOP)
    deployment.wait(lambda: deployment.holders()[DOMAINS[0]] != paused)
    deployment.publish_role("mixed", "decode")
    deployment.wait(lambda: deployment.has_role(FENCED, "decode"))
    assert deployment.has_role(UNFENCED, "mixed")
    assert deployment.holders()[DOMAINS[1]] == paused
    deployment.send_signal(f"{paused}.steward", signal.SIGCONT)
    deployment.wait(lambda: deployment.has_role(UNFENCED, "decode"))
    assert deployment.has_role(FENCED, "decode")
    deployment.assert_no_violation()


def test_engines_and_stewards_are_killed_during_a_change(deployment):
    deployment.prepare()

    def kill_in_change(name):
        deployment.wait(lambda: deployment.fetch_engine_state(name).state == "changing")
        deployment.processes.pop(name).kill()
        deployment.start_runners([name], "--change-s", "1.5", "--version", "")

    # Watch both engines concurrently: on a loaded machine, the second change could
    # otherwise end before the first engine is running again.
    with ThreadPoolExecutor() as executor:
        kills = [executor.submit(kill_in_change, name) for name in (FENCED, UNFENCED)]
        deployment.publish_role("mixed", "decode")
    for kill in kills:
        kill.result()
    for host in HOSTS:
        deployment.processes.pop(f"{host}.steward").kill()
        deployment.start_steward(host)
    for name in (FENCED, UNFENCED):
        deployment.wait(lambda name=name: deployment.has_role(name, "decode"))
    deployment.assert_no_violation()


def test_order_without_a_reply_is_resolved(deployment):
    url_port = int(deployment.fleet.runners[FENCED].url.rpartition(":")[2])
    with relay_thread(deployment.base_port + RELAY_PORT, url_port) as relay:
        deployment.prepare(relay=True)
        deployment.publish_role("mixed", "decode")
        deployment.wait(
            lambda: deployment.fetch_engine_state(FENCED).state == "draining"
        )
        relay.state = PathState.SILENT
        deployment.wait(lambda: deployment.has_role(UNFENCED, "decode"))
        relay.state = PathState.FORWARD
        relay.cut_open_connections()
        deployment.wait(lambda: deployment.has_role(FENCED, "decode"))
        deployment.assert_no_violation()


def test_holder_loses_the_log_but_reaches_its_engines(deployment, monkeypatch):
    """The other steward forwards the new revision to the holder."""
    base = deployment.base_port
    ports = {host: base + port for host, port in LOG_RELAY_PORTS.items()}

    def set_log_url(host):
        url = f"http://127.0.0.1:{ports[host]}"
        monkeypatch.setenv("LACEWINGLUG_PLATFORM__LOG_URL", url)

    with contextlib.ExitStack() as stack:
        relays = {
            host: stack.enter_context(relay_thread(port, base))
            for host, port in ports.items()
        }
        deployment.prepare(set_log_url=set_log_url)
        relay = relays[deployment.holders()[DOMAINS[1]]]
        relay.state = PathState.CUT
        relay.cut_open_connections()
        deployment.publish_role("mixed", "decode")
        deployment.wait(lambda: deployment.has_role(FENCED, "decode"))
        assert deployment.has_role(UNFENCED, "mixed")
        relay.state = PathState.FORWARD
        deployment.wait(lambda: deployment.has_role(UNFENCED, "decode"))
        deployment.assert_no_violation()
