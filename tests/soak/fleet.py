"""Real hosts as processes, between stand-ins that are reached over relays."""

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
from dataclasses import dataclass

from lacewinglug.standin.relay import TcpRelay
from lacewinglug.wire.messages import Response
from tests.platform.scene import free_ports, make_configuration, make_settings
from tests.platform.sound_runner import (
    PROMPT,
    RunnerModel,
    SoundRunner,
    first_event,
    request_id_of,
)
from tests.platform.standin import FakeStore
from tests.soak.records import (
    EVENTS,
    Published,
    Run,
    count_events,
    plain_answer,
    stream_event,
)

LOOPBACK = "127.0.0.1"
SETTLE_S = 0.1
ZONES = {"mtl-a": "mtl", "qc-a": "qc", "sher-a": "sher"}


@dataclass(frozen=True, kw_only=True)
class FleetShape:
    """Size of a fleet and length of its work.

    :param runners: service, stage and number of the runners.
    :param grace_s: time that a host has after SIGTERM.
    :param most_events: events of the longest streams.
    :param work_s: shortest and longest time before an answer.
    :param piece_s: shortest and longest time before each piece of an answer.
    :param retry_after: values of ``Retry-After`` in a rejection, None for none.
    :param handle_ttl_s: time for which engines keep a cache for others.
    :param with_paths: whether there is a path to each runner that can be disturbed.
    :param zones: zones over which hosts and runners are spread.
    """

    hosts: int = 3
    runners: tuple[tuple[str, str | None, int], ...] = (
        ("app", None, 2),
        ("llm", "prefill", 2),
        ("llm", "decode", 2),
    )
    grace_s: float = 4
    most_events: int = EVENTS
    work_s: tuple[float, float] = (0.002, 0.06)
    piece_s: tuple[float, float] = (0.001, 0.03)
    retry_after: tuple[bytes | None, ...] = (None,)
    handle_ttl_s: float = 5.0
    with_paths: bool = True
    zones: tuple[str, ...] = ("mtl-a",)


class SoakRunner(SoundRunner):
    """A runner whose answers are made of the request that they answer."""

    def __init__(self, *args, evidence, most_events, now_s, **fields):
        super().__init__(*args, **fields)
        self.evidence = evidence
        self.most_events = most_events
        self.now_s = now_s
        self.relay = None
        self.state = "ready"
        self.born_ms = round(1000 * now_s()) + 1

    def entry(self, state=None):
        """Return what it registers: the address of the relay before it, if any."""
        entry = super().entry(state or self.state) | {"born": self.born_ms}
        if self.relay is not None:
            entry["Address"] = f"{LOOPBACK}:{self.relay.port}"
        return entry

    def begin_run(self, request):
        """Note the run."""
        run = Run(
            request_id=request_id_of(request),
            instance=self.instance,
            target=request.target.decode(),
            body=bytes(request.body),
        )
        self.evidence.runs.append(run)
        return run

    def end_run(self, run):
        """Note the end of the run."""
        run.ended_s = self.now_s()

    def pieces(self, request):
        """Return the pieces of the answer to a request."""
        request_id = request_id_of(request)
        if self.stage is None:
            whole = plain_answer(request_id)
            return [whole[:2], whole[2:]]
        last = count_events(request.target.decode(), self.most_events)
        numbers = range(first_event(request), last + 1)
        return [stream_event(request_id, number) for number in numbers]

    async def stream(self, request, exchange):
        """Send the events of the request, and break some streams off."""
        await exchange.start_response(200, self.response_headers(request))
        for event in self.pieces(request):
            await self.pass_time(self.model.piece_s)
            if self.mode == "cut" and self.model.rng.random() < 0.3:
                await exchange.write(event[: self.model.rng.randrange(len(event))])
                exchange.abort()
                return
            await exchange.write(event)
        await exchange.finish()

    def make_response(self, request, status, *, rejected=False, own_id=None):
        """Return an answer that names its request."""
        made = super().make_response(request, status, rejected=rejected, own_id=own_id)
        body = plain_answer(request_id_of(request))
        return Response(status=made.status, headers=made.headers, body=body)


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

    def __init__(self, *, seed, folder, evidence, shape):
        self.seed = seed
        self.rng = random.Random(seed)
        self.folder = folder
        self.evidence = evidence
        self.shape = shape
        self.model = RunnerModel(
            rng=self.rng,
            ways=PROMPT,
            work_s=shape.work_s,
            piece_s=shape.piece_s,
            retry_after=shape.retry_after,
            handle_ttl_s=shape.handle_ttl_s,
        )
        self.now_s = asyncio.get_running_loop().time
        self.version = 1
        self.number = 0
        self.new_route = None
        self.store = None
        self.runners = []
        self.store_relays = {}
        self.hosts = []

    async def open(self, ip_base):
        """Start everything; hosts listen on addresses that follow each other."""
        self.store = await FakeStore().open()
        for service, stage, count in self.shape.runners:
            for _ in range(count):
                await self.add_runner(service, stage)
        await self.publish(make_configuration)
        ports = free_ports(ip_base.format(1), 1)
        for number in range(1, self.shape.hosts + 1):
            relay = await self._open_relay(self.store.address)
            zone = self.shape.zones[number % len(self.shape.zones)]
            settings = make_settings(
                ip_base.format(number),
                f"{LOOPBACK}:{relay.port}",
                name=f"edge-{number}",
                InternalPorts=[ports[0], ports[0] + 15],
                Zone=zone,
                Region=ZONES[zone],
                Zones=ZONES,
            )
            settings["Bounds"]["GraceS"] = self.shape.grace_s
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
            if relay is not None:
                await relay.stop()
        for item in (self.store, *self.runners):
            if item is not None:
                item.close()
        # The relays' connections end in turns of the loop.
        await asyncio.sleep(SETTLE_S)

    async def add_runner(self, service, stage, *, port=0):
        """Start a runner under a new name and register it.

        :param port: where it listens, 0 for any port.
        """
        self.number += 1
        runner = SoakRunner(
            f"i-{self.number}",
            service,
            stage=stage,
            zone=self.shape.zones[self.number % len(self.shape.zones)],
            model=self.model,
            evidence=self.evidence,
            most_events=self.shape.most_events,
            now_s=self.now_s,
        )
        await runner.open(port=port)
        if self.shape.with_paths:
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

    async def publish(self, make):
        """Publish the next version of the configuration.

        :param make: returns the configuration of a version.
        """
        configuration = make(version=self.version)
        published = Published(
            version=self.version,
            at_s=self.now_s(),
            timeouts_s={
                route["Name"]: route["TimeoutMs"] / 1000
                for route in configuration["Routes"]
            },
        )
        self.evidence.published.append(published)
        await self.store.put("keyed.op", "config", configuration)
        self.version += self.rng.randint(1, 3)

    async def _open_relay(self, address):
        (port,) = free_ports(LOOPBACK, 1)
        relay = TcpRelay(port=port, target_port=int(address.rpartition(":")[2]))
        await relay.start()
        return relay
