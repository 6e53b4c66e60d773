"""The steward's control socket, for its entry and for other stewards."""

import asyncio
import logging
from dataclasses import dataclass, field

import zmq
import zmq.asyncio

from lacewinglug.authority.replay import ControlState
from lacewinglug.clock import Clock
from lacewinglug.connections import bound_zmq_silence
from lacewinglug.control import (
    ConfigView,
    ControlMessage,
    EntryHello,
    HostStatus,
    PeerHeartbeat,
    StatusView,
    decode_message,
    encode_message,
)
from lacewinglug.membership.neighbours import HostTable
from lacewinglug.metrics import Metrics
from lacewinglug.steward.poller import RunnerPoller

STATUS_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class ControlServer:
    """Owns the control socket and the connections to other stewards.

    :param host: name of this host.
    :param incarnation: run of this process.
    :param endpoint: ZeroMQ endpoint to bind.
    :param state: the replayed state.
    :param poller: load of the runners.
    :param table: status of the hosts.
    :param clock: source of time.
    :param metrics: counters.
    """

    host: str
    incarnation: str
    endpoint: str
    state: ControlState
    poller: RunnerPoller
    table: HostTable
    clock: Clock
    metrics: Metrics
    _entry_identity: bytes = b""
    _config_changed: asyncio.Event = field(default_factory=asyncio.Event)
    _peers: dict[str, zmq.asyncio.Socket] = field(default_factory=dict)

    def notify_config(self) -> None:
        """Note that the replayed state changed."""
        self._config_changed.set()

    async def run(self) -> None:
        """Serve until cancelled."""
        context = zmq.asyncio.Context.instance()
        socket = context.socket(zmq.ROUTER)
        socket.linger = 0
        bound_zmq_silence(socket)
        socket.bind(self.endpoint)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(socket))
                group.create_task(self._send_config(socket))
                group.create_task(self._send_status(socket))
                group.create_task(self._send_heartbeats(context))
        finally:
            socket.close()
            for peer in self._peers.values():
                peer.close()

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            identity, data = await socket.recv_multipart()
            match decode_message(data):
                case EntryHello() as hello:
                    self._note_entry(identity, hello)
                case PeerHeartbeat(status=status):
                    self.table.note(status, now_s=self.clock.now_s())
                case _:
                    self.metrics.count("control.unexpected_messages")

    def _note_entry(self, identity: bytes, hello: EntryHello) -> None:
        status = HostStatus(
            host=hello.host,
            incarnation=hello.incarnation,
            revision=hello.revision,
            running=hello.running,
            state="leaving" if hello.leaving else "live",
        )
        self.table.note(status, now_s=self.clock.now_s())
        if identity != self._entry_identity or hello.revision != self.state.revision:
            self._entry_identity = identity
            self._config_changed.set()

    async def _send_config(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            await self._config_changed.wait()
            self._config_changed.clear()
            if self.state.revision > 0:
                await self._send(socket, self._config_view())

    def _config_view(self) -> ConfigView:
        return ConfigView(
            revision=self.state.revision,
            next_offset=self.state.next_offset,
            fleet=self.state.fleet,
            draining=sorted(self.state.draining),
            withdrawn=sorted(self.state.withdrawn),
            tenures=self.state.tenures,
        )

    async def _send_status(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            view = StatusView(
                runners=self.poller.statuses(),
                hosts=self.table.statuses(now_s=self.clock.now_s()),
            )
            await self._send(socket, view)
            await self.clock.sleep(STATUS_INTERVAL_S)

    async def _send(self, socket: zmq.asyncio.Socket, message: ControlMessage) -> None:
        if self._entry_identity:
            await socket.send_multipart([self._entry_identity, encode_message(message)])

    async def _send_heartbeats(self, context: zmq.asyncio.Context) -> None:
        while True:
            own = self.table.entries.get(self.host)
            if own is not None:
                heartbeat = PeerHeartbeat(
                    status=own.status, steward_incarnation=self.incarnation
                )
                data = encode_message(heartbeat)
                for name, peer in self._connected_peers(context).items():
                    try:
                        await peer.send(data, flags=zmq.NOBLOCK)
                    except zmq.Again:
                        self.metrics.count(f"peers.{name}.dropped_heartbeats")
            await self.clock.sleep(HEARTBEAT_INTERVAL_S)

    def _connected_peers(
        self, context: zmq.asyncio.Context
    ) -> dict[str, zmq.asyncio.Socket]:
        """Return sockets to the other hosts of the configuration."""
        hosts = self.state.fleet.hosts
        for name, item in hosts.items():
            if name == self.host or name in self._peers:
                continue
            peer = context.socket(zmq.DEALER)
            peer.linger = 0
            peer.sndhwm = 10
            bound_zmq_silence(peer)
            peer.connect(f"tcp://{item.address}:{item.control_port}")
            self._peers[name] = peer
        for name in list(self._peers):
            if name not in hosts:
                self._peers.pop(name).close()
        return self._peers
