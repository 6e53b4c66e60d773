"""Real hosts as processes, between stand-ins that are reached over relays."""

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys

from lacewinglug.standin.relay import TcpRelay
from lacewinglug.wire.messages import Response, first_header
from tests.platform.scene import free_ports, make_configuration, make_settings
from tests.platform.standin import FakeRunner, FakeStore
from tests.soak.judge import EVENTS
from tests.soak.records import Run, plain_answer, stream_event

HOSTS = 3
GRACE_S = 4
LOOPBACK = "127.0.0.1"
SETTLE_S = 0.1
_WORK_S = (0.002, 0.06)
_EVENT_S = (0.001, 0.03)


class SoakRunner(FakeRunner):
    """A runner whose answers are made of the request that they answer."""

    def __init__(self, instance, service, *, stage, rng, evidence, now_s):
        super().__init__(instance, service, stage=stage, event_count=EVENTS)
        self.rng = rng
        self.evidence = evidence
        self.relay = None
        self.state = "ready"
        self.born_ms = round(1000 * now_s()) + 1

    def entry(self, state=None):
        """Return what it registers: the address of the relay before it."""
        return super().entry(state or self.state) | {
            "Address": f"{LOOPBACK}:{self.relay.port}",
            "born": self.born_ms,
        }

    async def serve(self, request, exchange):
        """Note the run, work for a while, and answer."""
        target = request.target.decode()
        run = Run(
            request_id=request_id_of(request),
            instance=self.instance,
            target=target,
            body=bytes(request.body),
        )
        self.evidence.runs.append(run)
        await asyncio.sleep(self.rng.uniform(*_WORK_S))
        await super().serve(request, exchange)

    async def stream(self, request, exchange):
        """Send the events of the request, from the one that the client lacks."""
        last = int(first_header(request.headers, b"last-event-id") or 0)
        request_id = request_id_of(request)
        await exchange.start_response(200, self.response_headers(request))
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(self.rng.uniform(*_EVENT_S))
            event = stream_event(request_id, number)
            if self.mode == "cut" and self.rng.random() < 0.3:
                await exchange.write(event[: self.rng.randrange(len(event))])
                exchange.abort()
                return
            await exchange.write(event)
        await exchange.finish()

    def make_response(self, request, status, *, rejected=False, own_id=None):
        """Return an answer that names its request."""
        made = super().make_response(request, status, rejected=rejected, own_id=own_id)
        body = plain_answer(request_id_of(request))
        return Response(status=made.status, headers=made.headers, body=body)


def request_id_of(request):
    """Return the id of a request."""
    return (first_header(request.headers, b"x-lacewinglug-request-id") or b"").decode()


class HostProgram:
    """A host's process and the files that it reads and writes."""

    def __init__(self, settings, folder):
        self.name = settings["NodeName"]
        self.settings = settings
        self.path = folder / f"{self.name}.json"
        self.log_path = folder / f"{self.name}.log"
        self.process = None
        self.expected_end = False
        self.write_settings()

    def write_settings(self):
        """Write the settings file."""
        self.path.write_text(json.dumps(self.settings))

    def start(self):
        """Start the process."""
        self.expected_end = False
        (port,) = free_ports(self.settings["Ip"], 1)
        command = [sys.executable, "-m", "lacewinglug", "host"]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--metrics-port", str(port)],
                env={**os.environ, "LACEWINGLUG_NODE_FILE": str(self.path)},
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_end = True
        self.process.send_signal(number)

    async def ended(self):
        """Wait until the process is gone."""
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    @property
    def ended_by_itself(self):
        """Whether the process is gone though nobody asked it to."""
        return self.process.poll() is not None and not self.expected_end

    @property
    def client_address(self):
        """Address that takes clients' requests."""
        return self.settings["ListenAddrs"]["Frontend"]


class SoakFleet:
    """Owns the hosts, the stand-ins and the relays of a soak."""

    def __init__(self, *, seed, folder, evidence):
        self.rng = random.Random(seed)
        self.folder = folder
        self.evidence = evidence
        self.now_s = asyncio.get_running_loop().time
        self.version = 1
        self.number = 0
        self.runners = []
        self.store_relays = {}
        self.hosts = []

    async def open(self, ip_base):
        """Start everything; hosts listen on addresses that follow each other."""
        self.store = await FakeStore().open()
        for service, stage, count in (
            ("app", None, 2),
            ("llm", "prefill", 2),
            ("llm", "decode", 2),
        ):
            for _ in range(count):
                await self.add_runner(service, stage)
        await self.publish()
        ports = free_ports(ip_base.format(1), 1)
        for number in range(1, HOSTS + 1):
            relay = await self._open_relay(self.store.address)
            settings = make_settings(
                ip_base.format(number),
                f"{LOOPBACK}:{relay.port}",
                name=f"edge-{number}",
                InternalPorts=[ports[0], ports[0] + 15],
            )
            settings["Bounds"]["GraceS"] = GRACE_S
            host = HostProgram(settings, self.folder)
            self.store_relays[host.name] = relay
            self.hosts.append(host)
            host.start()

    async def close(self):
        """End what was started."""
        for host in self.hosts:
            host.expected_end = True
            with contextlib.suppress(ProcessLookupError):
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            host.process.wait()
        for relay in (*self.store_relays.values(), *(r.relay for r in self.runners)):
            await relay.stop()
        for item in (self.store, *self.runners):
            item.close()
        # The relays' connections end in turns of the loop.
        await asyncio.sleep(SETTLE_S)

    async def add_runner(self, service, stage):
        """Start a runner under a new name and register it."""
        self.number += 1
        runner = SoakRunner(
            f"i-{self.number}",
            service,
            stage=stage,
            rng=self.rng,
            evidence=self.evidence,
            now_s=self.now_s,
        )
        await runner.open()
        runner.relay = await self._open_relay(runner.address)
        self.runners.append(runner)
        await self.register(runner)
        return runner

    async def register(self, runner):
        """Write a runner's entry."""
        await self.store.put("keyed.servers", runner.instance, runner.entry())

    async def drop_runner(self, runner):
        """End a runner as a crash does, and its entry."""
        runner.close()
        await runner.relay.stop()
        self.runners.remove(runner)
        await self.store.drop("keyed.servers", runner.instance)

    async def publish(self):
        """Publish the next version of the configuration."""
        await self.store.put(
            "keyed.op", "config", make_configuration(version=self.version)
        )
        self.version += self.rng.randint(1, 3)

    async def _open_relay(self, address):
        (port,) = free_ports(LOOPBACK, 1)
        relay = TcpRelay(port=port, target_port=int(address.rpartition(":")[2]))
        await relay.start()
        return relay
