"""Hosts as separate processes, with stand-ins of the platform, runners and clients.

The store and the runners are the project's own stand-ins. The hosts are started with
the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from lacewinglug.wire.messages import Response, first_header
from tests.platform.scene import LIMITS, free_ports, make_route
from tests.platform.standin import FakeRunner, FakeStore, encode_keyed

ROOT = Path(__file__).resolve().parent.parent
METRICS_PORT = 9464
ZONES = {"mtl-a": "mtl", "qc-a": "qc", "sher-a": "sher"}
HEARTBEAT_S = 1.2
GRACE_S = 8.0
LOOPBACK = "127.0.0.1"
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StableMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 2500,
    "GraceS": GRACE_S,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2500,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 6000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 54,
    "RecoverS": 12,
    "TransitMs": 300,
    "RetryAfterS": 7.7,
    "RequireFencing": True,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "ttl_max_s": 5,
}
"""Bounds of the sheet of vt-lacewing."""
ENGINE = {
    "Slots": 128,
    "KvCapacityTokens": 739_729,
    "KvTokenBytes": 18_432,
    "LinkMbps": 370_000.0,
    "HandleTtlS": 5.0,
    "SwitchS": 3.0,
}
ROUTES = [
    make_route(
        "kiosk-ask",
        "streaming",
        "ampwise-llm",
        Resumable=True,
        TimeoutMs=6000,
        TargetLatencyMs=1200,
        Priority=0,
    ),
    make_route(
        "unlock-bill",
        "unsafe",
        "locker-app",
        MaxAttempts=1,
        TimeoutMs=1000,
        TargetLatencyMs=500,
    ),
    make_route("bay-status", "safe", "locker-app", TimeoutMs=1000, TargetLatencyMs=500),
]


class CaseError(Exception):
    """The case could not run; the message says why."""


def make_configuration(version=1, routes=ROUTES):
    """Return the operator's configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": "locker-app", "HealthPath": "/healthz", "MaxConnections": 100},
            {
                "Name": "ampwise-llm",
                "HealthPath": "/healthz",
                "MaxConnections": 620,
                "Engine": ENGINE,
            },
        ],
        "Limits": LIMITS,
    }


class Record:
    """What was done, sent, run and answered, with times from the start of the case."""

    def __init__(self):
        self._start_s = time.monotonic()
        self._lines = []

    def now_s(self):
        """Return the time since the start of the case, in s."""
        return time.monotonic() - self._start_s

    def add(self, what, **fields):
        """Add a line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._lines.append(f"{self.now_s():8.3f} {what} {text}".rstrip())

    def write(self, path):
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")


class Runner(FakeRunner):
    """A sound runner that registers itself and writes there every heartbeat.

    :param work_s: time in which it answers a plain call, in s.
    :param event_s: time between the events of a stream, in s.
    """

    def __init__(
        self,
        instance,
        service,
        *,
        store,
        record,
        zone="mtl-a",
        stage=None,
        work_s=0.09,
        event_s=0.02,
        event_count=17,
    ):
        super().__init__(
            instance, service, zone=zone, stage=stage, event_count=event_count
        )
        self.store = store
        self.record = record
        self.work_s = work_s
        self.event_s = event_s
        self.state = "ready"
        self.sequence = 0
        self.born_ms = round(time.time() * 1000)

    def entry(self, state=None):
        """Return what it registers."""
        return super().entry(state or self.state) | {
            "Sequence": self.sequence,
            "born": self.born_ms,
            "Slots": 128 if self.stage else 6,
        }

    async def register(self):
        """Write its entry once."""
        self.sequence += 1
        await self.store.put("keyed.servers", self.instance, self.entry())

    async def beat(self):
        """Write its entry every heartbeat."""
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, request, exchange):
        """Note the run and answer."""
        found = first_header(request.headers, b"x-lacewinglug-request-id") or b""
        self.record.add("run", id=found.decode(), runner=self.instance)
        if self.stage is None:
            await asyncio.sleep(self.work_s)
        await super().serve(request, exchange)

    async def stream(self, request, exchange):
        """Send the events that the client lacks, evenly paced."""
        last = int(first_header(request.headers, b"last-event-id") or 0)
        await exchange.start_response(200, self.response_headers(request))
        for number in range(last + 1, self.event_count + 1):
            await asyncio.sleep(self.event_s)
            await exchange.write(b"id: %d\ndata: w%d\n\n" % (number, number))
        await exchange.finish()

    def make_response(self, request, status, *, rejected=False, own_id=None):
        """Return an answer that names its request."""
        made = super().make_response(request, status, rejected=rejected, own_id=own_id)
        found = first_header(request.headers, b"x-lacewinglug-request-id") or b""
        return Response(status=status, headers=made.headers, body=b"done " + found)


@dataclass(kw_only=True)
class Answer:
    """How a request ended for its client.

    :param status: status of the answer, None where there was none.
    :param whole: whether the answer came to its proper end.
    """

    sent_s: float
    ended_s: float
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Host:
    """A host's process, its settings file and its log."""

    def __init__(self, *, name, ip, zone, store_address, folder, ports):
        self.name = name
        self.ip = ip
        self.path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process = None
        self.settings = {
            "NodeName": name,
            "Role": "host",
            "MachineClass": "edge",
            "Serves": ["edge", "directory"],
            "Ip": ip,
            "Zone": zone,
            "Region": ZONES[zone],
            "Zones": ZONES,
            "ListenAddrs": {
                "Frontend": f"{ip}:{ports[0]}",
                "Ready": f"{ip}:{ports[1]}",
                "Directory": f"{ip}:{ports[2]}",
            },
            "InternalPorts": [ports[3], ports[3] + 15],
            "Seeds": [],
            "Bootstrap": True,
            "Limits": {"MemoryMb": 300, "MaxFds": 4100},
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "Platform": {"Address": store_address, "form": "log"},
        }

    def address(self, name):
        """Return a listen address by its name in the settings."""
        return self.settings["ListenAddrs"][name]

    def start(self):
        """Start the process as the deploy file says."""
        self.path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["host"]["run"].split(),
                cwd=ROOT,
                env=environment
                | {
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "LACEWINGLUG_NODE_FILE": str(self.path),
                },
                stdout=log,
                stderr=log,
            )
        self.settings["Bootstrap"] = False

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def ended(self):
        """Wait until the process is gone."""
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    def end(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def count_in_log(self, text):
        """Return how many lines of the log have a text."""
        if not self.log_path.exists():
            return 0
        return sum(text in line for line in self.log_path.open(errors="replace"))


class Stage:
    """Owns the store, the runners and the hosts of a case."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="lacewinglug-review-"))
        self.runners = []
        self.hosts = []
        self.tasks = []
        self._ids = 0

    async def open(self, *, hosts=3):
        """Start the store; prepare the hosts, which :meth:`start_hosts` starts."""
        self.store = await FakeStore().open()
        ips = _free_ips(hosts)
        ports = free_ports(ips[0], 4)
        zones = list(ZONES)
        self.hosts = [
            Host(
                name=f"edge-{zones[number % len(zones)]}-{number + 1}",
                ip=ip,
                zone=zones[number % len(zones)],
                store_address=self.store.address,
                folder=self.folder,
                ports=ports,
            )
            for number, ip in enumerate(ips)
        ]

    async def add_runner(self, instance, service, *, runner_type=Runner, **fields):
        """Start a runner, which registers itself."""
        runner = runner_type(
            instance, service, store=self.store, record=self.record, **fields
        )
        await runner.open()
        self.runners.append(runner)
        self.tasks.append(asyncio.create_task(runner.beat()))
        return runner

    async def publish(self, configuration):
        """Publish a configuration."""
        await self.store.put("keyed.op", "config", configuration)

    async def write_foreign_entry(self, key, value):
        """Write an entry of another writer beside those of the runners."""
        await self.store.append("keyed.servers", encode_keyed(key, value))

    async def start_hosts(self, timeout_s=30.0):
        """Start all hosts and wait until they are ready.

        :raises CaseError: a host is not ready in time.
        """
        for host in self.hosts:
            host.start()
        end_s = self.record.now_s() + timeout_s
        for host in self.hosts:
            while not await self.is_ready(host):
                if self.record.now_s() > end_s or host.process.poll() is not None:
                    raise CaseError(f"{host.name} is not ready")
                await asyncio.sleep(0.05)
            self.record.add("ready", host=host.name)

    async def is_ready(self, host, *, timeout_s=1.0):
        """Return whether a host's readiness check succeeds in a time, in s."""
        answer = await self.call(
            host.address("Ready"), "GET", "/-/readyz", timeout_s=timeout_s
        )
        return answer.status == 200

    async def resolve(self, host, zone):
        """Return the addresses and the time to live that a host tells a client."""
        path = f"/-/resolve?Name=a.example&Region={ZONES[zone]}&Zone={zone}"
        answer = await self.call(host.address("Directory"), "GET", path)
        if answer.status != 200:
            return [], 0.0
        body = json.loads(answer.body)
        return body["Addresses"], body["TtlS"]

    def new_id(self):
        """Return the id of a new client attempt."""
        self._ids += 1
        return f"{self._ids:016x}"

    async def call(self, address, method, path, *, timeout_s=1.0, **fields):
        """Send a call that is no client's request."""
        return await exchange(
            self.record, address, method, path, timeout_s=timeout_s, **fields
        )

    async def request(self, host, route, *, deadline_ms, body=b"hi", headers=()):
        """Send a client's request on a new connection and note how it ended."""
        request_id = self.new_id()
        self.record.add("sent", id=request_id, route=route, host=host.name)
        answer = await exchange(
            self.record,
            host.address("Frontend"),
            "POST",
            f"/{route}/x",
            timeout_s=deadline_ms / 1000,
            body=body,
            headers=(
                ("Host", "a.example"),
                ("X-Lacewinglug-Request-Id", request_id),
                ("X-Lacewinglug-Deadline-Ms", str(deadline_ms)),
                *headers,
            ),
        )
        self.record.add(
            "answered",
            id=request_id,
            status=answer.status,
            whole=answer.whole,
            bytes=len(answer.body),
        )
        return answer

    async def close(self):
        """End all that was started."""
        for host in self.hosts:
            host.end()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for item in (self.store, *self.runners):
            item.close()
        await asyncio.sleep(0.1)
        shutil.rmtree(self.folder, ignore_errors=True)


def prompt_headers(number):
    """Return the headers of a kiosk question of its own session."""
    return (
        ("X-Lacewinglug-Model", "m"),
        ("X-Lacewinglug-Token-Count", "1460,60"),
        ("X-Lacewinglug-Prompt-Prefix", f"a1:210,b{number % 7}:140,{number:08x}:1110"),
    )


async def exchange(
    record, address, method, path, *, timeout_s, body=b"", headers=()
) -> Answer:
    """Send a request on a new connection and read its answer."""
    answer = Answer(sent_s=record.now_s(), ended_s=0.0)
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {path} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers]
                if body:
                    lines.append(f"Content-Length: {len(body)}")
                if "Host" not in dict(headers):
                    lines.append(f"Host: {address}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await _read_answer(reader, answer)
            finally:
                writer.close()
    answer.ended_s = record.now_s()
    return answer


async def _read_answer(reader, answer):
    """Read an answer, as far as it comes."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.strip().split("\r\n")
    answer.status = int(status_line.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.whole = True


def _free_ips(count):
    """Return loopback addresses at which the metrics port of the deploy file is free.

    :raises CaseError: there are none.
    """
    found = []
    base = os.getpid() % 200 + 20
    for low in range(2, 250):
        ip = f"127.{base}.7.{low}"
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((ip, METRICS_PORT))
            found.append(ip)
        if len(found) == count:
            return found
    raise CaseError("no free loopback addresses")


def run_case(folder, case, *, limit_s=115.0):
    """Run a case and return its exit code.

    ``TROUBLE=0`` in the environment leaves out the disruption.

    :param case: called with the stage, the record and whether there is a disruption;
        returns whether the rule held.
    :returns: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()
    record.add("case", trouble=trouble)

    async def play():
        stage = Stage(record)
        try:
            async with asyncio.timeout(limit_s):
                await stage.open()
                return await case(stage, record, trouble)
        finally:
            await stage.close()

    code = 2
    try:
        code = 0 if asyncio.run(play()) else 1
    except (CaseError, TimeoutError, OSError) as error:
        record.add("could not run", reason=str(error) or type(error).__name__)
    record.add("result", code=code)
    record.write(Path(folder) / "record.txt")
    print(f"exit code {code}", file=sys.stderr)
    return code
