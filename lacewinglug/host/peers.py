"""Datagrams between hosts: beats, and the work that each gives to engines."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import cast

import msgspec

from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.residency import HashedPart
from lacewinglug.host.sharing import ViewUpdate

logger = logging.getLogger(__name__)

BEAT_S = 0.5
"""Time between beats to hosts of the same region, in s."""
FAR_BEAT_EVERY = 2
"""Beats to hosts of the same region for one to those of other regions."""
SHORTEST_BATCH_S = 0.03
"""Time that work is collected before it is told to others, in s; shorter than
the reading of a usual prompt."""
BATCH_S_PER_PEER = 0.003
"""Longer collecting for each other host, in s, so that the datagrams of one host
stay a few hundred a second however many hosts there are."""
MOST_WORK_A_DATAGRAM = 20
"""Most entries in a datagram, which stays below one packet of the network."""
MOST_PARTS_A_DATAGRAM = 90
"""Most cached parts in a datagram, for the same reason."""
FORWARDED_FROM = 4
"""Hosts of another region from which on one of them hands a datagram on to the rest,
since bytes between regions are paid by volume."""
_TOLD_PEERS = 40


class _WorkMessage(msgspec.Struct, array_like=True):
    instance: str
    priority: int
    work_ms: int
    parts: list[tuple[int, int]]


class _IdentityMessage(msgspec.Struct, array_like=True):
    name: str
    incarnation: int
    ip: str
    peer_port: int
    zone: str
    client_address: str


class _Datagram(msgspec.Struct, array_like=True):
    work: list[_WorkMessage] = []
    sender: _IdentityMessage | None = None
    ready: bool = False
    leaving: bool = False
    others: list[_IdentityMessage] = []
    switching: list[str] = []
    streams: dict[str, int] = {}
    knows_caches: bool = False
    reads_store: bool = False
    view: ViewUpdate | None = None
    forward: bool = False


_decoder = msgspec.msgpack.Decoder(_Datagram)
_encoder = msgspec.msgpack.Encoder()


def encode_identity(identity: HostIdentity) -> bytes:
    """Return a host's identity as it stands in the store."""
    return _encoder.encode(_to_message(identity))


def decode_identity(data: bytes) -> HostIdentity | None:
    """Read a host's identity, None where it cannot be read."""
    try:
        return _to_identity(msgspec.msgpack.decode(data, type=_IdentityMessage))
    except msgspec.DecodeError as error:
        logger.warning("registered host cannot be read: %s", error)
        return None


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnState:
    """What a host says of itself.

    :param ready: whether clients may be sent to it.
    :param leaving: whether it is about to end.
    :param knows_caches: whether it knows what engines keep in their caches.
    :param reads_store: whether the store answers it.
    """

    ready: bool
    leaving: bool
    knows_caches: bool
    reads_store: bool = False


@dataclass(kw_only=True)
class PeerLink(asyncio.DatagramProtocol):
    """Owns the socket between hosts.

    :param table: hosts; beats are noted there.
    :param on_work: called with the work that another host gave to an engine.
    :param own_state: returns what this host says of itself.
    :param own_streams: returns how many streams this host runs at each engine.
    :param on_streams: called with another host and its streams at each engine.
    :param on_new_host: called with a host that was heard for the first time.
    :param on_switching: called with an engine that is about to change its stage.
    :param on_view: called with what another host of the region has read.
    """

    table: HostTable
    on_work: Callable[[EngineWork], None]
    own_state: Callable[[], OwnState]
    on_switching: Callable[[str], None] = lambda _: None
    on_new_host: Callable[[HostIdentity], None] = lambda _: None
    on_view: Callable[[ViewUpdate], None] = lambda _: None
    own_streams: Callable[[], dict[str, int]] = dict
    on_streams: Callable[[str, dict[str, int]], None] = lambda _host, _counts: None
    _transport: asyncio.DatagramTransport | None = None
    _pending: list[EngineWork] = field(default_factory=list)
    _beats: int = 0
    _turn: int = 0

    async def open(self) -> None:
        """Bind the socket.

        :raises OSError: the port is taken.
        """
        own = self.table.own
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(own.ip, own.peer_port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the bound socket."""
        # The loop's transport has the methods but not the base class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram was refused; its host is silent or gone."""
        logger.debug("datagram refused: %s", exc)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def tell_work(self, work: EngineWork) -> None:
        """Collect work for the next datagram to all hosts."""
        self._pending.append(work)

    def tell_switching(self, instance: str) -> None:
        """Tell the others at once that an engine is about to change its stage."""
        data = _encoder.encode(_Datagram(switching=[instance]))
        self._send_all(data, self.table.peers)

    def tell_view(self, update: ViewUpdate) -> None:
        """Tell the hosts of the same region what was read in the store."""
        data = _encoder.encode(_Datagram(view=update))
        self._send_all(data, self.table.region_peers())

    async def send_batches(self) -> None:
        """Tell the others the collected work, until cancelled."""
        while True:
            peers = len(self.table.peers)
            await asyncio.sleep(max(SHORTEST_BATCH_S, BATCH_S_PER_PEER * peers))
            while self._pending:
                batch = self._pending[:MOST_WORK_A_DATAGRAM]
                del self._pending[:MOST_WORK_A_DATAGRAM]
                message = _Datagram(work=[_work(item) for item in batch])
                data = _encoder.encode(message)
                self._send_all(data, self.table.region_peers())
                self._send_far(message, data)

    async def send_beats(self) -> None:
        """Tell the others that this host lives, until cancelled."""
        while True:
            self.beat()
            self.table.forget_silent(now_s=asyncio.get_running_loop().time())
            await asyncio.sleep(BEAT_S)

    def beat(self, *, urgent: bool = False) -> None:
        """Send one beat.

        :param urgent: send it to other regions too, out of turn.
        """
        self._beats += 1
        far = self._beats % FAR_BEAT_EVERY == 0
        message = self._make_beat()
        data = _encoder.encode(message)
        peers = self.table.peers if urgent else self.table.region_peers()
        self._send_all(data, peers)
        if far and not urgent:
            self._send_far(message, data)

    def greet(self, ip: str) -> None:
        """Send a beat to an address at which a host may listen."""
        if self._transport is not None and ip != self.table.own.ip:
            self._transport.sendto(
                _encoder.encode(self._make_beat()), (ip, self.table.own.peer_port)
            )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram of another host."""
        try:
            message = _decoder.decode(data)
        except msgspec.DecodeError as error:
            logger.warning("datagram of %s cannot be read: %s", addr[0], error)
            return
        if message.forward:
            again = msgspec.structs.replace(message, forward=False)
            self._send_all(_encoder.encode(again), self.table.region_peers())
        for item in message.work:
            self.on_work(_to_work(item))
        for instance in message.switching:
            self.on_switching(instance)
        if message.view is not None:
            self.on_view(message.view)
        for other in message.others:
            if self.table.learn(_to_identity(other)):
                self.greet(other.ip)
        if message.sender is not None:
            self._take_beat(message, message.sender)

    def _take_beat(self, message: _Datagram, sender: _IdentityMessage) -> None:
        now_s = asyncio.get_running_loop().time()
        identity = _to_identity(sender)
        self.on_streams(identity.name, message.streams)
        new = self.table.note_beat(
            identity,
            ready=message.ready,
            leaving=message.leaving,
            knows_caches=message.knows_caches,
            reads_store=message.reads_store,
            now_s=now_s,
        )
        if new and self._transport is not None:
            others = [_to_message(peer) for peer in self.table.peers[:_TOLD_PEERS]]
            data = _encoder.encode(self._make_beat(others))
            self._transport.sendto(data, (identity.ip, identity.peer_port))
            self.on_new_host(identity)

    def tell_all_work(
        self, work: Iterable[EngineWork], to: Iterable[HostIdentity] | None = None
    ) -> None:
        """Tell what engines keep, in datagrams of one packet each.

        :param to: hosts to tell, all where not given.
        """
        peers = list(self.table.peers if to is None else to)
        for item in work:
            for start in range(0, len(item.parts), MOST_PARTS_A_DATAGRAM):
                parts = item.parts[start : start + MOST_PARTS_A_DATAGRAM]
                message = _Datagram(work=[_work(replace(item, parts=parts))])
                self._send_all(_encoder.encode(message), peers)

    def _make_beat(self, others: Iterable[_IdentityMessage] = ()) -> _Datagram:
        state = self.own_state()
        return _Datagram(
            sender=_to_message(self.table.own),
            ready=state.ready,
            leaving=state.leaving,
            knows_caches=state.knows_caches,
            reads_store=state.reads_store,
            others=list(others),
            streams=self.own_streams(),
        )

    def _send_far(self, message: _Datagram, data: bytes) -> None:
        """Send a datagram to all other regions, to large ones through one host.

        Each takes its turn, so that a host that is down swallows few of them.

        :param data: the datagram, encoded.
        """
        self._turn += 1
        forwarded: bytes | None = None
        for peers in self.table.far_peers().values():
            if len(peers) < FORWARDED_FROM:
                self._send_all(data, peers)
                continue
            if forwarded is None:
                again = msgspec.structs.replace(message, forward=True)
                forwarded = _encoder.encode(again)
            self._send_all(forwarded, [peers[self._turn % len(peers)]])

    def _send_all(self, data: bytes, peers: Iterable[HostIdentity]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for peer in peers:
            self._transport.sendto(data, (peer.ip, peer.peer_port))


def _work(work: EngineWork) -> _WorkMessage:
    return _WorkMessage(
        instance=work.instance,
        priority=work.priority,
        work_ms=round(work.work_s * 1000),
        parts=[(part.key, part.tokens) for part in work.parts],
    )


def _to_work(message: _WorkMessage) -> EngineWork:
    return EngineWork(
        instance=message.instance,
        priority=min(max(message.priority, 0), 9),
        work_s=message.work_ms / 1000,
        parts=tuple(
            HashedPart(key=key, tokens=tokens) for key, tokens in message.parts
        ),
    )


def _to_message(identity: HostIdentity) -> _IdentityMessage:
    return _IdentityMessage(
        name=identity.name,
        incarnation=identity.incarnation,
        ip=identity.ip,
        peer_port=identity.peer_port,
        zone=identity.zone,
        client_address=identity.client_address,
    )


def _to_identity(message: _IdentityMessage) -> HostIdentity:
    return HostIdentity(
        name=message.name,
        incarnation=message.incarnation,
        ip=message.ip,
        peer_port=message.peer_port,
        zone=message.zone,
        client_address=message.client_address,
    )
