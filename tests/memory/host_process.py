"""Runs the host as a process of its own, and watches its memory and descriptors."""

import asyncio
import contextlib
import json
import os
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

from tests.platform.scene import (
    HostTestbed,
    encode_request,
    free_ports,
    make_configuration,
    make_route,
    read_response,
)

WATCH_INTERVAL_S = 0.02
START_TIMEOUT_S = 60.0
ROOT = Path(__file__).parent.parent.parent
ORDINARY_PATHS = {
    "Ready": "/-/readyz",
    "Directory": "/-/resolve?Name=a.example&Region=mtl&Zone=mtl-a",
    "Metrics": "/metrics",
}
"""Paths of requests to the listeners that are not for clients' calls."""
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_HEX_PORT = 16


@dataclass(kw_only=True)
class Peak:
    """Highest values seen while a host ran.

    :param memory_bytes: resident set plus data that its client sockets received and
        the process has not read; both count against the memory of its machine.
    :param descriptors: open descriptors.
    """

    memory_bytes: int = 0
    descriptors: int = 0


@dataclass(kw_only=True)
class RunningHost:
    """A host process with fake store and runners.

    :param scene: its surroundings.
    :param process: the process.
    :param metrics_port: port of its metrics.
    :param peak: highest values so far.
    """

    scene: HostTestbed
    process: asyncio.subprocess.Process
    metrics_port: int
    peak: Peak = field(default_factory=Peak)

    @property
    def client_address(self):
        """Host and port to which clients connect."""
        return self.address_of("Frontend")

    @property
    def listen_addresses(self):
        """Host and port of all listeners."""
        names = (*self.scene.settings["ListenAddrs"], "Metrics")
        return [self.address_of(name) for name in names]

    def address_of(self, listener):
        """Return host and port of a listener by its name, ``Metrics`` for metrics."""
        if listener == "Metrics":
            return self.scene.ip, self.metrics_port
        host, _, port = self.scene.listen_address(listener).rpartition(":")
        return host, int(port)

    async def check_all_listeners(self):
        """Check that an ordinary request is answered at each listener."""
        assert (await self.send_ordinary_request()).status == 200
        for listener, path in ORDINARY_PATHS.items():
            assert (await self.send_to(listener, path, "GET")).status == 200

    async def send_to(self, listener, path, method):
        """Send a request without a body to a listener and return the response."""
        host, port = self.address_of(listener)
        return await self.scene.send_request_to(f"{host}:{port}", path, method)

    @property
    def lives(self):
        """Whether the process has not ended."""
        return self.process.returncode is None

    async def watch(self):
        """Record the peak until cancelled."""
        while self.lives:
            self.record()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def record(self):
        """Update the peak."""
        root = Path("/proc") / str(self.process.pid)
        with contextlib.suppress(OSError, IndexError):
            pages = int((root / "statm").read_text().split()[1])
            memory_bytes = pages * _PAGE_BYTES
            memory_bytes += count_unread_bytes(self.listen_addresses)
            self.peak.memory_bytes = max(self.peak.memory_bytes, memory_bytes)
            descriptors = len(os.listdir(root / "fd"))
            self.peak.descriptors = max(self.peak.descriptors, descriptors)

    async def send_ordinary_request(self, *, body=b"hi", deadline_ms=30_000):
        """Send one request with a small body on a connection of its own."""
        data = encode_request(
            "/status/1", body=body, headers={"X-Lacewinglug-Deadline-Ms": deadline_ms}
        )
        return await self.send_whole(data)

    async def send_whole(self, *pieces):
        """Send the pieces of one request and return the response."""
        reader, writer = await asyncio.open_connection(*self.client_address)
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            return await read_response(reader)
        finally:
            writer.close()


def count_unread_bytes(addresses):
    """Return how much the addresses' open connections have received and not read."""
    local = {
        f"{int.from_bytes(socket.inet_aton(ip), sys.byteorder):08X}:{port:04X}"
        for ip, port in addresses
    }
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] in local and fields[3] != "0A":  # 0A: the listening socket
            unread += int(fields[4].partition(":")[2], _HEX_PORT)
    return unread


@contextlib.asynccontextmanager
async def running_host_process(path, *runners, limits, client_limits):
    """Run a host process until the context ends.

    :param path: directory for its settings file and log.
    :param limits: limits of its machine, as in its settings.
    :param client_limits: limits on clients, as in the configuration.
    """
    routes = [make_route("status", "safe", "app", TimeoutMs=30_000)]
    configuration = make_configuration(routes=routes) | {"Limits": client_limits}
    scene = await HostTestbed().open(*runners, configuration=configuration)
    settings_path = path / "local.json"
    settings_path.write_text(json.dumps(scene.settings | {"Limits": limits}))
    (metrics_port,) = free_ports(scene.ip, 1)
    with (path / "host.log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "lacewinglug", "host", "--settings", str(settings_path)),
            *("--metrics-port", str(metrics_port)),
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
    host = RunningHost(scene=scene, process=process, metrics_port=metrics_port)
    watch = asyncio.create_task(host.watch())
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await scene.wait_until_ready()
        yield host
    finally:
        watch.cancel()
        if host.lives:
            process.kill()
        await process.wait()
        scene.close()
