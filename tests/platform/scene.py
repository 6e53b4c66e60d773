"""A host between stand-ins of the platform, and a client that speaks its protocol."""

import asyncio
import contextlib
import itertools
import json
import os
import socket
from dataclasses import dataclass, field

from tests.platform.standin import RunnerStandin, StoreStandin

_numbers = itertools.count(1)
IDS = itertools.count(1)
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 100_000,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
ENGINE = {
    "Slots": 128,
    "KvCapacityTokens": 700_000,
    "KvTokenBytes": 18_432,
    "LinkMbps": 370_000.0,
    "HandleTtlS": 5.0,
    "SwitchS": 3.0,
}


def make_route(name, kind, service, **fields):
    """Return a route of the operator's configuration."""
    return {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
        "SessionAffinity": kind == "streaming",
        "Resumable": False,
        "TargetGapMs": 400,
    } | fields


def make_configuration(version=1, routes=None):
    """Return the operator's configuration."""
    return {
        "Version": version,
        "Routes": routes
        or [
            make_route("status", "safe", "app"),
            make_route("unlock", "unsafe", "app", MaxAttempts=1),
            make_route("ask", "streaming", "llm", Resumable=True),
            make_route("notes", "streaming", "llm", MaxAttempts=1),
        ],
        "Services": [
            {"Name": "app", "HealthPath": "/healthz", "MaxConnections": 100},
            {
                "Name": "llm",
                "HealthPath": "/healthz",
                "MaxConnections": 600,
                "Engine": ENGINE,
            },
        ],
        "Limits": LIMITS,
    }


def free_ports(ip, count):
    """Return ports of an address that are free now."""
    held = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        held.append(sock)
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


def make_settings(ip, store_address, name="edge-1", **fields):
    """Return the settings of a host, as the platform writes them."""
    ports = free_ports(ip, 4)
    return {
        "NodeName": name,
        "Role": "host",
        "MachineClass": "edge",
        "Ip": ip,
        "Zone": "mtl-a",
        "Region": "mtl",
        "Zones": {"mtl-a": "mtl", "qc-a": "qc"},
        "ListenAddrs": {
            "Frontend": f"{ip}:{ports[0]}",
            "Ready": f"{ip}:{ports[1]}",
            "Directory": f"{ip}:{ports[2]}",
        },
        "InternalPorts": [ports[3], ports[3] + 15],
        "Seeds": [],
        "Bounds": {
            "DrainMs": 2500,
            "GraceS": 8,
            "LeaseMs": 3000,
            "RetryBudgetRatio": 0.2,
            "RetryBudgetSlack": 54,
            "BudgetWindowS": 10,
            "ttl_max_s": 5,
        },
        "Platform": {"Address": store_address, "form": "log"},
    } | fields


@dataclass(kw_only=True)
class Answer:
    """What a client got.

    :param whole: whether the answer came to its proper end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@dataclass(kw_only=True)
class Scene:
    """Owns stand-ins, and the settings of a host between them."""

    runners: list[RunnerStandin] = field(default_factory=list)

    async def open(self, *runners, configuration=None):
        """Start the store and the runners, and register them."""
        # Tests that run side by side use other addresses of loopback.
        high, low = divmod(os.getpid() % 62_500, 250)
        self.ip = f"127.{1 + high}.{low}.{next(_numbers)}"
        self.store = await StoreStandin().open()
        for runner in runners:
            await runner.open()
            await self.store.put("keyed.servers", runner.instance, runner.entry())
        self.runners = list(runners)
        await self.store.put(
            "keyed.op", "config", configuration or make_configuration()
        )
        self.settings = make_settings(self.ip, self.store.address)
        return self

    def close(self):
        """Stop all stand-ins."""
        for item in (self.store, *self.runners):
            item.close()

    async def ready(self):
        """Wait until the host says that it is ready."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await self.call(self.listen("Ready"), "/-/readyz", "GET")
                if answer.status == 200:
                    return
            await asyncio.sleep(0.02)

    def listen(self, name):
        """Return an address of the host."""
        return self.settings["ListenAddrs"][name]

    async def ask(self, path, method="POST", body=b"hi", **headers):
        """Send a client's request to the host and return its answer."""
        return await self.call(
            self.listen("Frontend"), path, method, body=body, headers=headers
        )

    async def call(self, address, path, method, *, body=b"", headers=None):
        """Send a request and return its answer."""
        reader, writer = await connect(address)
        try:
            writer.write(encode_request(path, method, body, headers or {}))
            return await read_answer(reader)
        finally:
            writer.close()


async def connect(address):
    """Return a connection to an address."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def encode_request(path, method="POST", body=b"hi", headers=None):
    """Return the bytes of a client's request."""
    given = {
        "Host": "a.example",
        "X-Lacewinglug-Request-Id": f"{next(IDS):016x}",
        "X-Lacewinglug-Deadline-Ms": "2000",
    }
    if path.startswith(("/ask/", "/notes/")):
        given |= {
            "X-Lacewinglug-Model": "m",
            "X-Lacewinglug-Token-Count": "3000,100",
            "X-Lacewinglug-Prompt-Prefix": "a1:2000,b2:1000",
        }
    given |= {key.replace("_", "-"): value for key, value in (headers or {}).items()}
    if body:
        given["Content-Length"] = str(len(body))
    lines = "".join(f"{key}: {value}\r\n" for key, value in given.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def read_answer(reader):
    """Read an answer; one that is cut is marked so."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().strip().split("\r\n")
    headers = {}
    for line in lines:
        key, _, value = line.partition(":")
        headers[key.lower()] = value.strip()
    body, whole = b"", True
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"", 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        whole = False
    return Answer(
        status=int(first.split(" ")[1]), headers=headers, body=body, whole=whole
    )


def directory_addresses(answer):
    """Return the addresses of a directory's answer."""
    return json.loads(answer.body)["Addresses"]
