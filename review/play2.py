"""Stand-ins of the platform's store, of runners and of clients, on loopback.

Used by the scripts of ``review/6`` to ``review/10``. They need nothing but the standard
library, so nothing of the project can hide a fault of its own here.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "shop.example"
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StableMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 2500,
    "GraceS": 8,
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
"""Bounds of the deployment vt-lacewing."""
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def free_port(ip="127.0.0.1", kind=socket.SOCK_STREAM):
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Record of what was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path):
        self.path = Path(path)
        self.started_s = time.monotonic()
        self.lines = []

    def add(self, what, **fields):
        """Add a line with the time since the start, in s."""
        age_s = time.monotonic() - self.started_s
        rest = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"{age_s:9.3f} {what} {rest}".rstrip())

    def write(self):
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Message:
    """Head and body of a request or of a response.

    :param complete: whether the body ended as its framing says.
    """

    def __init__(self, first, headers, body=b"", complete=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.complete = complete

    def get(self, name, default=""):
        """Return the first value of a header."""
        return next(
            (value for key, value in self.headers if key.lower() == name.lower()),
            default,
        )


async def read_head(reader):
    """Return the first line and the headers, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return Message(first, headers)


async def read_body(reader, message, *, is_response=False):
    """Read the body; ``complete`` tells whether it ended as its framing says."""
    message.complete = False
    parts = []
    try:
        if "chunked" in message.get("Transfer-Encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    break
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
        elif message.get("Content-Length"):
            parts.append(await reader.readexactly(int(message.get("Content-Length"))))
        elif is_response:
            while data := await reader.read(65536):
                parts.append(data)
        message.complete = True
    except asyncio.IncompleteReadError as error:
        parts.append(error.partial)
    except ConnectionError:
        pass
    message.body = b"".join(parts)
    return message


def encode_response(status, headers=(), body=b""):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """HTTP server on loopback; ``handle`` answers one request at a time."""

    def __init__(self):
        self.writers = set()

    async def open(self, ip="127.0.0.1", port=0):
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 20, backlog=1024
        )
        self.ip, self.port = self.server.sockets[0].getsockname()
        self.address = f"{self.ip}:{self.port}"
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                if not message.complete:
                    return
                if not await self._handle_until_closed(message, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle_until_closed(self, message, reader, writer):
        """Handle a request; stop when the peer closes. Return whether to go on."""
        work = asyncio.ensure_future(self.handle(message, writer))
        watch = asyncio.ensure_future(_wait_for_eof(reader))
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False
            return work.result() is not False
        finally:
            for task in (work, watch):
                task.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)

    async def handle(self, message, writer):
        """Answer a request; return False to close the connection."""
        raise NotImplementedError

    def reset_all(self):
        """Reset all connections, as the end of a process does."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        """Stop listening, and end all connections."""
        self.server.close()
        self.reset_all()


async def _wait_for_eof(reader):
    """Wait until the peer has closed its side; a request that follows is no end."""
    while not reader.at_eof():
        if reader._buffer:
            await asyncio.sleep(3600)
        await reader._wait_for_data("eof")


class Store(Server):
    """The platform's metadata store: a log with keyed topics."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """Write a keyed record; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.append(topic, struct.pack(">B", len(key)) + key.encode() + data)

    def append(self, topic, record):
        """Append a record and wake the readers."""
        self.topics.setdefault(topic, []).append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, message, writer):
        method, target, _ = message.first.split(" ")
        parts = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        records = self.topics.setdefault(query.get("Topic", ""), [])
        status, body = 404, b""
        if parts.path == "/-/log-newest":
            status, body = 200, self._newest(records)
        elif parts.path == "/-/log-read":
            status, body = await self._read(query)
        elif parts.path == "/-/log-append":
            status, body = self._append(query, records, message.body)
        era = (("Store-Era", 1),)
        writer.write(encode_response(status, era, body))
        await writer.drain()

    def _newest(self, records):
        found = {}
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            found.pop(key, None)
            if value:
                found[key] = {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
        page = {"items": [*found.values()], "MorePages": False, "End": len(records)}
        return json.dumps(page).encode()

    async def _read(self, query):
        start = int(query["From"])
        ends_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while len(self.topics[query["Topic"]]) <= start:
            left_s = ends_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
        records = self.topics[query["Topic"]]
        if start > len(records):
            return 410, json.dumps({"First": 0}).encode()
        body = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def _append(self, query, records, body):
        if "At" in query and int(query["At"]) != len(records):
            return 412, json.dumps({"End": len(records)}).encode()
        first, position = len(records), 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            self.append(query["Topic"], body[position + 4 : position + 4 + size])
            position += 4 + size
        return 200, json.dumps({"Offset": first, "End": len(records)}).encode()


QUEUE_PER_SLOT = 4
"""Requests that a runner queues for each of its slots; as ``locker-app``."""


class Runner(Server):
    """Runner of a plain service, or engine of a model service.

    It runs as many requests as it has slots, queues some more until their deadline, and
    rejects the others.

    It registers itself in the store while ``registered`` is set.

    :param serve: coroutine that answers a request that it accepts; it is given the
        runner, the request and the writer.
    """

    numbers = itertools.count(1)

    def __init__(self, *, store, record, service, serve, stage=None, slots=6):
        super().__init__()
        self.store = store
        self.record = record
        self.service = service
        self.serve = serve
        self.stage = stage
        self.slots = slots
        self.free_slots = asyncio.Semaphore(slots)
        self.waiting = 0
        self.instance = f"i-{next(self.numbers):04d}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.registered = True
        self.extra = {}
        self.sequence = 0
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.handles = set()
        self.running = 0

    async def start(self, ip="127.0.0.1", port=0):
        """Listen and register."""
        await self.open(ip, port)
        self.beats = asyncio.ensure_future(self._beat())
        return self

    async def _beat(self):
        while True:
            if self.registered:
                self.register()
            await asyncio.sleep(1.2)

    def register(self):
        """Write the entry."""
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "mtl-a",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            entry["Stage"] = self.stage
            entry["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        self.store.put("keyed.servers", self.instance, entry | self.extra)

    def unregister(self):
        """Remove the entry and write no other."""
        self.registered = False
        self.store.put("keyed.servers", self.instance, None)

    def signed(self, message):
        """Return the headers of an answer to a request."""
        return [
            ("X-Lacewinglug-Request-Id", message.get("X-Lacewinglug-Request-Id")),
            ("X-Lacewinglug-Response-Signature", f"{self.instance}.600"),
            (
                "X-Lacewinglug-Server-Load",
                f"{self.running},{self.waiting},{self.slots},100",
            ),
            ("Keep-Alive", "timeout=60"),
        ]

    async def handle(self, message, writer):
        _method, target, _ = message.first.split(" ")
        if target.startswith("/-/"):
            status, body = self._control(target, message)
            writer.write(encode_response(status, body=json.dumps(body).encode()))
            await writer.drain()
            return True
        expected = message.get("X-Lacewinglug-Expect-Instance")
        if expected and expected != self.instance:
            headers = [*self.signed(message), ("X-Lacewinglug-Not-Executed", "1")]
            writer.write(encode_response(421, headers))
            await writer.drain()
            return True
        if self.stage is not None and (
            message.get("X-Lacewinglug-Stage") == "prefill"
        ) != (self.stage == "prefill"):
            headers = [*self.signed(message), ("X-Lacewinglug-Not-Executed", "1")]
            writer.write(encode_response(421, headers))
            await writer.drain()
            return True
        if self.stage == "prefill":
            body = {"TransferHandle": self.handle_id(), "Tokens": 400, "Version": 1}
            data = json.dumps(body).encode()
            writer.write(encode_response(200, self.signed(message), data))
            await writer.drain()
            return True
        if not await self._take_slot(message):
            headers = [*self.signed(message), ("X-Lacewinglug-Not-Executed", "1")]
            writer.write(encode_response(503, headers))
            await writer.drain()
            return True
        self.running += 1
        try:
            return await self.serve(self, message, writer)
        finally:
            self.running -= 1
            self.free_slots.release()

    async def _take_slot(self, message):
        """Wait for a slot; return False if the queue is full or the deadline passes."""
        if self.free_slots.locked() and self.waiting >= QUEUE_PER_SLOT * self.slots:
            return False
        deadline_ms = float(message.get("X-Lacewinglug-Deadline-Ms") or 5000)
        self.waiting += 1
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self.free_slots.acquire()
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        return True

    def _control(self, target, message):
        if target == "/-/report":
            return 200, {
                "Stage": self.stage,
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": self.busy,
                "Sequence": self.orders,
                "NumWaiting": 0,
                "NumRunning": self.running,
                "KvUsed": 0,
                "KvTotal": 739729,
                "Handles": 0,
            }
        if target.startswith("/-/kv-list"):
            return 200, {"epoch": 1, "Next": 0, "held": []}
        if target.startswith("/-/kv-events"):
            return 200, {"epoch": 1, "Next": 0, "lost": False, "events": []}
        if target == "/-/order":
            return self._order(json.loads(message.body)), {}
        return 200, {}

    def _order(self, order):
        """Carry out an order to change the stage; return the status."""
        if self.busy or order.get("Precondition", self.orders) != self.orders:
            return 409
        if order["FencingToken"] < self.fence:
            return 412
        self.fence = order["FencingToken"]
        if order["Stage"] == self.stage:
            return 200
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().call_later(3.0, self._end_order, order["Stage"])
        return 202

    def _end_order(self, stage):
        self.stage = stage
        self.busy = False
        if self.registered:
            self.register()

    def handle_id(self):
        """Return the handle of a prompt that was read."""
        handle = os.urandom(6).hex()
        self.handles.add(handle)
        return handle

    def close(self):
        """End, as a crash does."""
        self.beats.cancel()
        super().close()


class Host:
    """Process of the project, started as the deploy file says."""

    def __init__(
        self, *, name, store, folder, limits=None, ip="127.0.0.1", peer_port=None
    ):
        self.name = name
        self.ip = ip
        self.front, self.ready, self.directory, self.metrics = (
            free_port(ip) for _ in range(4)
        )
        self.settings = Path(folder) / f"{name}.json"
        self.log = Path(folder) / f"{name}.log"
        if peer_port is None:
            peer_port = free_port(ip, socket.SOCK_DGRAM)
        self.settings.write_text(
            json.dumps(
                {
                    "NodeName": name,
                    "Role": "host",
                    "MachineClass": "edge",
                    "Serves": ["edge", "directory"],
                    "Ip": ip,
                    "Zone": "mtl-a",
                    "Region": "mtl",
                    "Zones": {"mtl-a": "mtl", "qc-a": "qc", "sher-a": "sher"},
                    "ListenAddrs": {
                        "Frontend": f"{ip}:{self.front}",
                        "Ready": f"{ip}:{self.ready}",
                        "Directory": f"{ip}:{self.directory}",
                    },
                    "InternalPorts": [peer_port, peer_port + 1],
                    "Seeds": [],
                    "Bootstrap": True,
                    "HeartbeatMs": 1200,
                    "Limits": limits
                    or {
                        "CpuShare": 0.537,
                        "Cores": 2,
                        "MemoryMb": 300,
                        "MaxFds": 4100,
                        "LinkMbps": 1000.0,
                        "DiskMb": 0,
                    },
                    "Discovery": "platform",
                    "Bounds": BOUNDS,
                    "Platform": {"Address": store.address, "form": "log"},
                }
            )
        )
        self.process = None

    async def start(self):
        """Start the process."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LACEWINGLUG_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "lacewinglug",
                "host",
                "--metrics-port",
                str(self.metrics),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, timeout_s=15.0):
        """Wait for a positive answer to the readiness check.

        :raises TimeoutError: there was none in time.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(OSError):
                    answer = await call(self.ip, self.ready, "GET", "/-/readyz")
                    if answer.status == 200:
                        return
                await asyncio.sleep(0.1)

    def own_bytes(self):
        """Return the memory of the process without files, 0 if it has ended."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024
        return 0

    async def stop(self):
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer:
    """What a client got.

    :param status: status code, 0 for none.
    :param complete: whether the answer is whole.
    """

    def __init__(self, status=0, message=None, error=""):
        self.status = status
        self.message = message
        self.error = error
        self.complete = message is not None and message.complete
        self.body = b"" if message is None else message.body

    def get(self, name):
        """Return a header, empty for none."""
        return "" if self.message is None else self.message.get(name)


_ids = itertools.count(1)


def new_id():
    """Return a new request id."""
    return f"{os.getpid():08x}{next(_ids):08x}"


def make_request(
    method, path, *, request_id="", deadline_ms=2000, headers=(), body=b""
):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
    if request_id:
        lines.append(f"X-Lacewinglug-Request-Id: {request_id}")
        lines.append(f"X-Lacewinglug-Deadline-Ms: {deadline_ms}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(ip, port, method, path, *, timeout_s=10.0, **fields):
    """Send one request on a new connection and return the answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
            try:
                writer.write(make_request(method, path, **fields))
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except TimeoutError:
        return Answer(error="deadline")
    except OSError as error:
        return Answer(error=type(error).__name__)


async def read_answer(reader):
    """Return the next answer on a connection."""
    head = await read_head(reader)
    if head is None:
        return Answer(error="closed")
    status = int(head.first.split(" ")[1])
    await read_body(reader, head, is_response=True)
    return Answer(status, head)


def configuration(version=1, routes=(), services=()):
    """Return a configuration of the operator."""
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": list(services),
        "Limits": LIMITS,
    }


def plain_route(name, service, *, kind="unsafe", attempts=1, prefix=None):
    """Return the route of a plain service."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "PathPrefix": prefix or f"/{name}/",
        "Service": service,
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 500,
        "MaxAttempts": attempts,
        "Priority": 2,
    }


def stream_route(name, service, *, resumable=True, attempts=2, timeout_ms=5000):
    """Return the route of a model service."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "PathPrefix": f"/{name}/",
        "Service": service,
        "Kind": "streaming",
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 600,
        "TargetGapMs": 400,
        "MaxAttempts": attempts,
        "Priority": 2,
        "Resumable": resumable,
        "SessionAffinity": True,
    }


def plain_service(name, max_connections=100):
    """Return a plain service."""
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": max_connections}


def model_service(name):
    """Return a model service with the engines of vt-lacewing."""
    return {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConnections": 620,
        "Engine": {
            "Slots": 128,
            "KvCapacityTokens": 739729,
            "KvTokenBytes": 18432,
            "LinkMbps": 370000,
            "HandleTtlS": 5.0,
            "SwitchS": 3.0,
            "Stride": 10,
        },
    }


def prompt_headers(tokens=400, output=50):
    """Return the headers of a prompt of its own."""
    part = f"{next(_ids):08x}"
    return [
        ("X-Lacewinglug-Model", "m"),
        ("X-Lacewinglug-Token-Count", f"{tokens},{output}"),
        ("X-Lacewinglug-Prompt-Prefix", f"{part}:{tokens}"),
    ]


def run(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't.

    :param case: coroutine function that is given the record, a temporary folder and
        whether there is trouble; it returns whether the rule was broken.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="lacewinglug-review-")
    code = 2
    try:
        code = int(bool(asyncio.run(case(record, temporary, trouble))))
    except Exception as error:
        record.add("could not run", error=repr(error))
        raise
    finally:
        record.add("result", exit=code, trouble=int(trouble))
        record.write()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(temporary, ignore_errors=True)
        else:
            print(temporary)
        sys.stdout.flush()
        if code == 2:
            sys.exit(2)
    sys.exit(code)
