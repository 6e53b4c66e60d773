"""Control socket of a steward, for its local entry process and for other stewards."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
import zmq
import zmq.asyncio

from lacewinglug.backing.log import StoredRecord
from lacewinglug.clock import Clock
from lacewinglug.control import (
    ConfigView,
    ControlMessage,
    EntryHello,
    HostStatus,
    PeerHeartbeat,
    PeerRecords,
    PeerState,
    ProbeReply,
    ProbeRequest,
    RecordsWanted,
    StatusView,
    decode_message,
    encode_message,
)
from lacewinglug.errors import UserError
from lacewinglug.membership.lives import HostLifecycles
from lacewinglug.metrics import Metrics
from lacewinglug.steward.peers import (
    HEARTBEAT_INTERVAL_S,
    PeerAction,
    PeerProtocol,
    ReplaceConnection,
    SendMessage,
)
from lacewinglug.steward.poller import RunnerPoller
from lacewinglug.steward.sockets import PeerSockets

STATUS_INTERVAL_S = 0.25
ENTRY_HELLO_TIMEOUT_S = 3.0
_MESSAGES_PER_FULL_STATUS = 8
_LEAVING_RUNNER_STATES = frozenset({"draining", "leaving"})

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class ControlServer:
    """Serves the control socket and manages the connections to other stewards.

    :param host: name of this host.
    :param endpoint: ZeroMQ endpoint to bind.
    :param peer_protocol: decides which messages go to which stewards.
    :param poller: polls the load reports of the runners.
    :param get_listed_as_leaving: returns the hosts and runners that the host list
        marks as leaving.
    :param clock: source of time.
    :param metrics: metric counters.
    :param control_port_bound: set once the control port is bound, which no other
        process on this host can then bind.
    :param host_states: membership state of each configured host.
    """

    host: str
    endpoint: str
    peer_protocol: PeerProtocol
    poller: RunnerPoller
    get_listed_as_leaving: Callable[[], frozenset[str]]
    clock: Clock
    metrics: Metrics
    control_port_bound: asyncio.Event = field(default_factory=asyncio.Event)
    host_states: HostLifecycles = field(default_factory=HostLifecycles)
    _peer_sockets: PeerSockets = field(init=False)
    _router: zmq.asyncio.Socket | None = None
    _peer_identities: dict[str, bytes] = field(default_factory=dict)
    _entry_identity: bytes = b""
    _entry_hello: EntryHello | None = None
    _entry_hello_at_s: float = float("-inf")
    _config_changed: asyncio.Event = field(default_factory=asyncio.Event)
    _queued_records: asyncio.Queue[list[StoredRecord]] = field(
        default_factory=asyncio.Queue
    )
    _last_sent_hosts: list[HostStatus] | None = None

    def __post_init__(self) -> None:
        self._peer_sockets = PeerSockets(
            find_endpoint=self._find_endpoint,
            on_message=self._handle_peer_data,
            metrics=self.metrics,
        )

    def notify_config_changed(self) -> None:
        """Schedule sending the configuration to the entry after a state change."""
        self._config_changed.set()

    def queue_records_for_peers(self, records: list[StoredRecord]) -> None:
        """Queue records that were read from the log for sending to peers."""
        self._queued_records.put_nowait(records)

    def live_hosts(self) -> set[str]:
        """Return the hosts that this steward considers live."""
        return {
            name
            for name, life in self.host_states.hosts.items()
            if life.chart_state == "live"
        }

    def bind(self) -> None:
        """Bind the control socket.

        :raises UserError: the endpoint cannot be bound, for example because another
            process uses the port.
        """
        router = zmq.asyncio.Context.instance().socket(zmq.ROUTER)
        router.linger = 0
        try:
            router.bind(self.endpoint)
        except zmq.ZMQError as error:
            router.close()
            raise UserError(
                f"cannot listen on {self.endpoint}: {error}; stop the steward that "
                "runs on this host, or correct host.address and steward.control_port"
            ) from None
        self._router = router
        self.control_port_bound.set()

    async def run(self) -> None:
        """Receive and send messages until cancelled."""
        if self._router is None:
            self.bind()
        router = self._router
        assert router is not None
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(router))
                group.create_task(self._send_config())
                group.create_task(self._send_status())
                group.create_task(self._send_heartbeats())
                group.create_task(self._send_queued_records())
        finally:
            router.close()
            self._peer_sockets.close()

    async def _receive(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            if len(frames) != 2:
                self.metrics.count("control.unexpected_messages")
                continue
            identity, data = frames
            match decode_message(data):
                case EntryHello() as hello:
                    await self._handle_entry_hello(identity, hello)
                case (
                    PeerHeartbeat(host=host)
                    | ProbeRequest(host=host)
                    | RecordsWanted(host=host)
                ) as message:
                    self._peer_identities[host] = identity
                    await self._handle_peer_message(host, message)
                case PeerRecords() | PeerState() | ProbeReply() as message:
                    await self._handle_peer_message("", message)
                case _:
                    self.metrics.count("control.unexpected_messages")

    async def _handle_peer_data(self, data: bytes) -> None:
        match decode_message(data):
            case None | EntryHello() | ConfigView() | StatusView():
                self.metrics.count("control.unexpected_messages")
            case message:
                await self._handle_peer_message(getattr(message, "host", ""), message)

    async def _handle_peer_message(self, source: str, message: ControlMessage) -> None:
        actions = self.peer_protocol.handle_message(
            source,
            message,  # type: ignore[arg-type]
            now_s=self.clock.now_s(),
        )
        await self._execute_actions(actions)

    async def _execute_actions(self, actions: Sequence[PeerAction]) -> None:
        """Send messages and replace connections as the protocol requests."""
        for action in actions:
            match action:
                case ReplaceConnection(host=host):
                    self._peer_sockets.reconnect(host)
                case SendMessage(host=host, message=message, is_reply=is_reply):
                    await self._send_to_peer(host, encode_message(message), is_reply)

    async def _send_to_peer(self, host: str, data: bytes, is_reply: bool) -> None:
        """Send bytes to a peer.

        A reply goes back on the connection that the peer opened. Other messages use
        this host's own connection to a monitored peer, and otherwise the peer's
        connection if it opened one.
        """
        identity = self._peer_identities.get(host)
        on_own_connection = (
            host in self.peer_protocol.detector.monitored and not is_reply
        )
        if identity is None or on_own_connection or self._router is None:
            await self._peer_sockets.send(host, data)
            return
        await self._router.send_multipart([identity, data])
        self.metrics.count("peers.sent_bytes", len(data))

    def _find_endpoint(self, host: str) -> str | None:
        item = self.peer_protocol.replica.state.fleet.hosts.get(host)
        return f"tcp://{item.address}:{item.control_port}" if item else None

    async def _handle_entry_hello(self, identity: bytes, hello: EntryHello) -> None:
        self._entry_hello = hello
        self._entry_hello_at_s = self.clock.now_s()
        is_new = identity != self._entry_identity
        if is_new or hello.revision != self.peer_protocol.replica.state.revision:
            self._entry_identity = identity
            self._config_changed.set()
        await self._refresh_own_status()

    async def _refresh_own_status(self) -> None:
        """Update this host's status, and gossip it at once if the change is urgent."""
        hello = self._entry_hello
        if hello is None:
            return
        silent = self.clock.now_s() - self._entry_hello_at_s > ENTRY_HELLO_TIMEOUT_S
        urgent = self.peer_protocol.table.update_own(
            incarnation=hello.incarnation,
            revision=hello.revision,
            running=hello.running,
            state="suspect" if silent else "leaving" if hello.leaving else "live",
            leaving_upstreams=self._leaving_upstreams(),
        )
        now_s = self.clock.now_s()
        await self._execute_actions(
            self.peer_protocol.gossip_changes(now_s=now_s, urgent=urgent)
        )

    def _leaving_upstreams(self) -> tuple[str, ...]:
        """Return the upstreams that the host list or their reports show as leaving."""
        reported = {
            name
            for name, item in self.poller.reports.items()
            if item.report.state in _LEAVING_RUNNER_STATES
        }
        return tuple(sorted(reported | self.get_listed_as_leaving()))

    async def _send_config(self) -> None:
        while True:
            await self._config_changed.wait()
            self._config_changed.clear()
            if self.peer_protocol.replica.state.revision > 0:
                await self._send_to_entry(self._make_config_view())

    def _make_config_view(self) -> ConfigView:
        state = self.peer_protocol.replica.state
        return ConfigView(
            revision=state.revision,
            next_offset=state.next_offset,
            fleet=state.fleet,
            draining=sorted(state.draining),
            withdrawn=sorted(state.withdrawn),
            tenures=state.tenures,
            halted=state.halted,
        )

    async def _send_status(self) -> None:
        count = 0
        while True:
            await self._refresh_own_status()
            self._update_host_states()
            if count % _MESSAGES_PER_FULL_STATUS == 0:
                self._last_sent_hosts = None
            count += 1
            await self._send_to_entry(self._make_status_view())
            await self.clock.sleep(STATUS_INTERVAL_S)

    def _update_host_states(self) -> None:
        """Update the membership states; log and count each change."""
        changes = self.host_states.update(
            self.peer_protocol.replica.state, self.peer_protocol.table
        )
        for name, state in changes.items():
            self.metrics.count(f"hosts.{state}")
            logger.info("host state changed", extra={"peer": name, "state": state})

    def _make_status_view(self) -> StatusView:
        hosts = self._list_host_statuses()
        changed = hosts != self._last_sent_hosts
        self._last_sent_hosts = hosts
        return StatusView(
            runners=self.poller.statuses(),
            hosts=hosts if changed else None,
            leaving=sorted(self.peer_protocol.table.leaving_upstreams()),
        )

    def _list_host_statuses(self) -> list[HostStatus]:
        """Return the known host statuses, each with the host's membership state."""
        statuses = self.peer_protocol.table.statuses
        return [
            msgspec.structs.replace(statuses[name], state=life.chart_state)
            for name, life in self.host_states.hosts.items()
            if name in statuses
        ]

    async def _send_to_entry(self, message: ControlMessage) -> None:
        if self._entry_identity and self._router is not None:
            data = encode_message(message)
            await self._router.send_multipart([self._entry_identity, data])

    async def _send_heartbeats(self) -> None:
        while True:
            await self._execute_actions(
                self.peer_protocol.tick(now_s=self.clock.now_s())
            )
            self._forget_removed_hosts()
            await self.clock.sleep(HEARTBEAT_INTERVAL_S)

    def _forget_removed_hosts(self) -> None:
        """Drop connections and identities of hosts removed from the configuration."""
        hosts = set(self.peer_protocol.replica.state.fleet.hosts)
        self._peer_sockets.disconnect_others(hosts)
        for name in set(self._peer_identities) - hosts:
            del self._peer_identities[name]

    async def _send_queued_records(self) -> None:
        while True:
            records = await self._queued_records.get()
            await self._execute_actions(self.peer_protocol.forward_records(records))
