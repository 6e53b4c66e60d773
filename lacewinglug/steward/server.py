"""The steward's control socket, for its entry and for other stewards."""

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
    PeerExchange,
    Renew,
    Send,
)
from lacewinglug.steward.poller import RunnerPoller
from lacewinglug.steward.sockets import PeerSockets

STATUS_INTERVAL_S = 0.25
ENTRY_SILENT_AFTER_S = 3.0
_FULL_STATUS_EVERY = 8
_LEAVING_REPORTS = frozenset({"draining", "leaving"})

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class ControlServer:
    """Owns the control socket and the connections to other stewards.

    :param host: name of this host.
    :param endpoint: ZeroMQ endpoint to bind.
    :param exchange: what is said between stewards.
    :param poller: load of the runners.
    :param listed_leaving: returns the names that the host list says are leaving.
    :param clock: source of time.
    :param metrics: counters.
    :param bound: set once the control port is bound, so that no other process of
        this host holds it.
    """

    host: str
    endpoint: str
    exchange: PeerExchange
    poller: RunnerPoller
    listed_leaving: Callable[[], frozenset[str]]
    clock: Clock
    metrics: Metrics
    bound: asyncio.Event = field(default_factory=asyncio.Event)
    lives: HostLifecycles = field(default_factory=HostLifecycles)
    _sockets: PeerSockets = field(init=False)
    _router: zmq.asyncio.Socket | None = None
    _routes: dict[str, bytes] = field(default_factory=dict)
    _entry_identity: bytes = b""
    _hello: EntryHello | None = None
    _hello_at_s: float = float("-inf")
    _config_changed: asyncio.Event = field(default_factory=asyncio.Event)
    _handed: asyncio.Queue[list[StoredRecord]] = field(default_factory=asyncio.Queue)
    _sent_hosts: list[HostStatus] | None = None

    def __post_init__(self) -> None:
        self._sockets = PeerSockets(
            find_endpoint=self._find_endpoint,
            on_message=self._handle_peer_bytes,
            metrics=self.metrics,
        )

    def notify_config(self) -> None:
        """Note that the replayed state changed."""
        self._config_changed.set()

    def hand_on(self, records: list[StoredRecord]) -> None:
        """Hand records that were read from the log to peers."""
        self._handed.put_nowait(records)

    def live_hosts(self) -> set[str]:
        """Return the hosts that are live as far as is known here."""
        return {
            name
            for name, life in self.lives.hosts.items()
            if life.chart_state == "live"
        }

    def bind(self) -> None:
        """Take the control port.

        :raises UserError: another process holds it.
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
        self.bound.set()

    async def run(self) -> None:
        """Serve until cancelled."""
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
                group.create_task(self._send_records())
        finally:
            router.close()
            self._sockets.close()

    async def _receive(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            if len(frames) != 2:
                self.metrics.count("control.unexpected_messages")
                continue
            identity, data = frames
            match decode_message(data):
                case EntryHello() as hello:
                    await self._note_entry(identity, hello)
                case (
                    PeerHeartbeat(host=host)
                    | ProbeRequest(host=host)
                    | RecordsWanted(host=host)
                ) as message:
                    self._routes[host] = identity
                    await self._handle_peer(host, message)
                case PeerRecords() | PeerState() | ProbeReply() as message:
                    await self._handle_peer("", message)
                case _:
                    self.metrics.count("control.unexpected_messages")

    async def _handle_peer_bytes(self, data: bytes) -> None:
        match decode_message(data):
            case None | EntryHello() | ConfigView() | StatusView():
                self.metrics.count("control.unexpected_messages")
            case message:
                await self._handle_peer(getattr(message, "host", ""), message)

    async def _handle_peer(self, source: str, message: ControlMessage) -> None:
        actions = self.exchange.handle(
            source,
            message,  # type: ignore[arg-type]
            now_s=self.clock.now_s(),
        )
        await self._perform(actions)

    async def _perform(self, actions: Sequence[PeerAction]) -> None:
        """Send messages and replace connections."""
        for action in actions:
            match action:
                case Renew(host=host):
                    self._sockets.renew(host)
                case Send(host=host, message=message, is_reply=is_reply):
                    await self._send_peer(host, encode_message(message), is_reply)

    async def _send_peer(self, host: str, data: bytes, is_reply: bool) -> None:
        """Send a reply on the peer's connection, and else on the own one if any."""
        identity = self._routes.get(host)
        on_own = host in self.exchange.detector.monitored and not is_reply
        if identity is None or on_own or self._router is None:
            await self._sockets.send(host, data)
            return
        await self._router.send_multipart([identity, data])
        self.metrics.count("peers.sent_bytes", len(data))

    def _find_endpoint(self, host: str) -> str | None:
        item = self.exchange.replica.state.fleet.hosts.get(host)
        return f"tcp://{item.address}:{item.control_port}" if item else None

    async def _note_entry(self, identity: bytes, hello: EntryHello) -> None:
        self._hello = hello
        self._hello_at_s = self.clock.now_s()
        is_new = identity != self._entry_identity
        if is_new or hello.revision != self.exchange.replica.state.revision:
            self._entry_identity = identity
            self._config_changed.set()
        await self._update_own()

    async def _update_own(self) -> None:
        """Bring this host's status up to date, and spread it if it is urgent."""
        hello = self._hello
        if hello is None:
            return
        silent = self.clock.now_s() - self._hello_at_s > ENTRY_SILENT_AFTER_S
        urgent = self.exchange.table.update_own(
            incarnation=hello.incarnation,
            revision=hello.revision,
            running=hello.running,
            state="suspect" if silent else "leaving" if hello.leaving else "live",
            leaving_upstreams=self._leaving_upstreams(),
        )
        now_s = self.clock.now_s()
        await self._perform(self.exchange.spread(now_s=now_s, urgent=urgent))

    def _leaving_upstreams(self) -> tuple[str, ...]:
        """Return what the host list and the runners' own reports say is leaving."""
        reported = {
            name
            for name, item in self.poller.reports.items()
            if item.report.state in _LEAVING_REPORTS
        }
        return tuple(sorted(reported | self.listed_leaving()))

    async def _send_config(self) -> None:
        while True:
            await self._config_changed.wait()
            self._config_changed.clear()
            if self.exchange.replica.state.revision > 0:
                await self._send_entry(self._config_view())

    def _config_view(self) -> ConfigView:
        state = self.exchange.replica.state
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
            await self._update_own()
            self._follow_lives()
            if count % _FULL_STATUS_EVERY == 0:
                self._sent_hosts = None
            count += 1
            await self._send_entry(self._status_view())
            await self.clock.sleep(STATUS_INTERVAL_S)

    def _follow_lives(self) -> None:
        """Log the hosts whose state changed."""
        changes = self.lives.update(self.exchange.replica.state, self.exchange.table)
        for name, state in changes.items():
            self.metrics.count(f"hosts.{state}")
            logger.info("host state changed", extra={"peer": name, "state": state})

    def _status_view(self) -> StatusView:
        hosts = self._host_statuses()
        changed = hosts != self._sent_hosts
        self._sent_hosts = hosts
        return StatusView(
            runners=self.poller.statuses(),
            hosts=hosts if changed else None,
            leaving=sorted(self.exchange.table.leaving_upstreams()),
        )

    def _host_statuses(self) -> list[HostStatus]:
        """Return the hosts that were heard of, with the states of their lives."""
        statuses = self.exchange.table.statuses
        return [
            msgspec.structs.replace(statuses[name], state=life.chart_state)
            for name, life in self.lives.hosts.items()
            if name in statuses
        ]

    async def _send_entry(self, message: ControlMessage) -> None:
        if self._entry_identity and self._router is not None:
            data = encode_message(message)
            await self._router.send_multipart([self._entry_identity, data])

    async def _send_heartbeats(self) -> None:
        while True:
            await self._perform(self.exchange.tick(now_s=self.clock.now_s()))
            self._drop_unused()
            await self.clock.sleep(HEARTBEAT_INTERVAL_S)

    def _drop_unused(self) -> None:
        """Forget connections and routes of hosts that left the configuration."""
        hosts = set(self.exchange.replica.state.fleet.hosts)
        self._sockets.keep_only(hosts)
        for name in set(self._routes) - hosts:
            del self._routes[name]

    async def _send_records(self) -> None:
        while True:
            records = await self._handed.get()
            await self._perform(self.exchange.hand_on(records))
