"""UDP datagrams between hosts: heartbeats, and work assigned to engines."""

import asyncio
import logging
import operator
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import cast

import msgspec
import xxhash

from lacewinglug.decoding import MalformedDataError, decode_msgpack, is_ipv4_address
from lacewinglug.duties.messages import DUTY_MARK
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.model import Stage
from lacewinglug.host.quarantine import (
    MAX_CRASHES_PER_PART,
    SAME_CRASH_S,
    SuspectReport,
)
from lacewinglug.host.residency import HashedPart
from lacewinglug.host.sharing import ViewUpdate
from lacewinglug.host.speeds import PrefillWork, SharedSpeed, SpeedSums

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.5
"""Interval between heartbeats to hosts in the same region, in seconds."""
HEARTBEATS_PER_REMOTE_HEARTBEAT = 2
"""One of this many heartbeats is also sent to hosts in other regions."""
MIN_BATCH_INTERVAL_S = 0.03
"""Minimum time for which engine work is batched before it is sent, in seconds. It is
shorter than the prefill of a typical prompt."""
BATCH_INTERVAL_PER_PEER_S = 0.003
"""Additional batching time for each peer, in seconds. It limits a host to a few hundred
datagrams per second regardless of the number of hosts."""
MAX_WORK_PER_DATAGRAM = 20
"""Maximum work items per datagram, so that it fits into one network packet."""
MAX_SUSPECTS_PER_DATAGRAM = 8
"""Maximum reports on suspected prompt parts per datagram, so that it fits into one
network packet."""
MAX_PROVEN_PER_DATAGRAM = 20
"""Maximum proven prompt parts per datagram, so that it fits into one network packet."""
MAX_PARTS_PER_DATAGRAM = 90
"""Maximum cached prompt parts per datagram, so that it fits into one network packet."""
FORWARDING_MIN_HOSTS = 4
"""Number of hosts in another region from which on only one of them is sent a datagram
and forwards it to the rest, because traffic between regions is billed by volume."""
RELAYING_MIN_HOSTS = 8
"""Number of other hosts in a region from which on heartbeats and work go to a few
relays that bundle them, so that the datagrams a host receives do not grow with the
fleet."""
RELAY_INTERVAL_S = 0.25
"""Interval between the bundles of a relay, in seconds."""
MAX_BEATS_PER_DATAGRAM = 24
"""Maximum heartbeats per bundle, so that it fits into one network packet."""
IDENTITIES_PER_BUNDLE = 3
"""Number of hosts whose complete identity a bundle has, in turn; the others are named
only."""
NEW_HOST_S = 3.0
"""Time for which a relay sends the complete identity of a new host, in seconds."""
_MAX_LISTED_PEERS = 40
"""Maximum known hosts that are listed in a heartbeat to a new host."""
_MAX_PORT = 65_535


class _WorkMessage(msgspec.Struct, array_like=True):
    """Work that a host assigned to an engine.

    :param origin: hash of the name of that host, by which it recognizes its own work in
        the bundle of a relay.
    """

    instance: str
    priority: int
    work_us: int
    parts: list[tuple[int, int]]
    tokens: int = 0
    token_pairs: int = 0
    age_ms: int = 0
    origin: int = 0
    step_slowdown_percent: int = 0


class _IdentityMessage(msgspec.Struct, array_like=True):
    name: str
    incarnation: int
    ip: str
    peer_port: int
    zone: str
    client_address: str


class _BeatMessage(msgspec.Struct, array_like=True):
    """Heartbeat of a host in a bundle; the receivers know the rest of its identity."""

    name: str
    incarnation: int
    flags: int
    streams: dict[str, int] = {}
    identity: _IdentityMessage | None = None


class _SpeedMessage(msgspec.Struct, array_like=True):
    service: str
    stage: str
    count: float
    ratio: float
    products: list[float]
    responses: list[float]


class _SuspectMessage(msgspec.Struct, array_like=True):
    """Report on a suspected prompt part.

    :param crashes: engine and age in ms of each crash.
    """

    part: int
    crashes: list[tuple[int, int]]
    proven: bool = False
    trial_count: int = 0
    next_trial_ms: int = 0


class _Datagram(msgspec.Struct, array_like=True):
    """Message between hosts, encoded by position.

    :param work: work that the sender assigned to engines.
    :param sender: identity of the sender; set in heartbeats only.
    :param others: hosts known to the sender; sent to a new host.
    :param switching: engines that are about to change their stage.
    :param streams: number of the sender's streams on each engine.
    :param knows_caches: whether the sender knows the cache contents of the engines.
    :param reads_store: whether the sender can reach the store.
    :param view: update of the view of runners that the sender read from the store.
    :param forward: whether the receiver has to forward the message in its region.
    :param speeds: the sender's samples of prefill times since it last sent some.
    :param relay: whether the receiver has to include the message in its next bundle.
    :param beats: heartbeats that a relay has bundled.
    :param bundled_by: name of that relay.
    :param suspects: prompt parts that may crash engines.
    :param proven: prompt parts of requests that were answered.
    """

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
    speeds: list[_SpeedMessage] = []
    relay: bool = False
    beats: list[_BeatMessage] = []
    bundled_by: str = ""
    suspects: list[_SuspectMessage] = []
    proven: list[int] = []


_READY, _LEAVING, _KNOWS_CACHES, _READS_STORE = 1, 2, 4, 8
_STAGE_NAMES = frozenset(stage.value for stage in Stage)
_encoder = msgspec.msgpack.Encoder()


def encode_identity(identity: HostIdentity) -> bytes:
    """Encode a host's identity for its record in the store."""
    return _encoder.encode(_to_identity_message(identity))


def decode_identity(data: bytes) -> HostIdentity:
    """Decode a host's identity.

    :raises MalformedDataError: it is malformed.
    """
    return _from_identity_message(decode_msgpack(data, kind=_IdentityMessage))


@dataclass(frozen=True, kw_only=True, slots=True)
class AdvertisedState:
    """State that a host advertises in its heartbeats.

    :param ready: whether clients may be directed to it.
    :param leaving: whether it is shutting down.
    :param knows_cache_contents: whether it knows which prompt parts are cached on the
        engines.
    :param store_reachable: whether it can reach the store.
    """

    ready: bool
    leaving: bool
    knows_cache_contents: bool
    store_reachable: bool = False


@dataclass(kw_only=True)
class PeerProtocol(asyncio.DatagramProtocol):
    """Exchanges datagrams with the other hosts over one UDP socket.

    :param table: known hosts; records the heartbeats received.
    :param on_work: called with work that another host assigned to an engine.
    :param advertised_state: returns the state that this host advertises.
    :param own_stream_counts: returns the number of this host's streams on each engine.
    :param on_streams: called with the name of another host and the number of its
        streams on each engine.
    :param on_new_host: called with a host on its first heartbeat.
    :param on_stage_change: called with an engine that is about to change its stage.
    :param take_unshared_speeds: returns this host's samples of prefill times since the
        last call.
    :param on_speed: called with samples of other hosts. The sums that a relay bundles
        include the receiver's own samples, which then count twice among those of many.
    :param on_view_update: called with an update of the view of runners that another
        host of the region read from the store.
    :param suspects: returns what this host knows about suspected prompt parts.
    :param on_suspect: called with what another host knows about a suspected part.
    :param on_proven: called with a prompt part of a request that another host had
        answered.
    :param on_duty_datagram: called with a datagram about the duties.
    """

    table: HostTable
    on_work: Callable[[EngineWork], None]
    advertised_state: Callable[[], AdvertisedState]
    on_stage_change: Callable[[str], None] = lambda _: None
    on_new_host: Callable[[HostIdentity], None] = lambda _: None
    on_view_update: Callable[[ViewUpdate], None] = lambda _: None
    own_stream_counts: Callable[[], dict[str, int]] = dict
    on_streams: Callable[[str, dict[str, int]], None] = lambda _host, _counts: None
    take_unshared_speeds: Callable[[], list[SharedSpeed]] = list
    on_speed: Callable[[SharedSpeed], None] = lambda _: None
    suspects: Callable[[], list[SuspectReport]] = list
    on_suspect: Callable[[SuspectReport], None] = lambda _: None
    on_proven: Callable[[int], None] = lambda _: None
    on_duty_datagram: Callable[[bytes], None] = lambda _: None
    _transport: asyncio.DatagramTransport | None = None
    _pending_work: list[tuple[EngineWork, float]] = field(default_factory=list)
    _pending_suspects: dict[int, SuspectReport] = field(default_factory=dict)
    _pending_proven: list[int] = field(default_factory=list)
    _suspect_rotation: int = 0
    _bundle: "_Bundle" = field(default_factory=lambda: _Bundle())
    _heartbeat_count: int = 0
    _relay_rotation: int = 0
    _relaying: bool = False
    _origin: int = field(init=False)
    _forwarder_rotation: int = 0

    def __post_init__(self) -> None:
        self._origin = xxhash.xxh32_intdigest(self.table.own.name.encode())

    async def open(self) -> None:
        """Bind the socket.

        :raises OSError: the port is in use.
        """
        own = self.table.own
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(own.ip, own.peer_port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the bound socket."""
        # The event loop's transport has the methods of DatagramTransport, but does
        # not inherit from it.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Log a failed send; the receiving host is down or unreachable."""
        logger.debug("sending a datagram to a host failed: %s", exc)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def queue_work(self, work: EngineWork) -> None:
        """Queue work for the next batch to all hosts."""
        self._pending_work.append((work, asyncio.get_running_loop().time()))

    def queue_suspect(self, report: SuspectReport) -> None:
        """Queue a report on a suspected prompt part for the next batch."""
        self._pending_suspects[report.part] = report

    def queue_proven(self, part: int) -> None:
        """Queue the news that a request with a prompt part was answered."""
        self._pending_proven.append(part)

    def announce_stage_change(self, instance: str) -> None:
        """Announce immediately to all hosts that an engine will change its stage."""
        data = _encoder.encode(_Datagram(switching=[instance]))
        self._send_to(data, self.table.peers)

    def send_view_update(self, update: ViewUpdate) -> None:
        """Send an update of the view of runners to the hosts of the region."""
        data = _encoder.encode(_Datagram(view=update))
        self._send_to(data, self.table.region_peers())

    def send_datagram(self, data: bytes, peers: Iterable[HostIdentity]) -> None:
        """Send an encoded datagram to some hosts."""
        self._send_to(data, peers)

    async def send_work_batches(self) -> None:
        """Send queued work to the other hosts in batches, until cancelled."""
        while True:
            peers = 0 if self._relaying else len(self.table.peers)
            await asyncio.sleep(
                max(MIN_BATCH_INTERVAL_S, BATCH_INTERVAL_PER_PEER_S * peers)
            )
            while self._pending_work:
                batch = self._pending_work[:MAX_WORK_PER_DATAGRAM]
                del self._pending_work[:MAX_WORK_PER_DATAGRAM]
                now_s = asyncio.get_running_loop().time()
                has_room = len(batch) <= MAX_WORK_PER_DATAGRAM // 2
                self._send_batch(
                    _Datagram(
                        work=[
                            _to_work_message(
                                replace(item, age_s=now_s - queued_at_s),
                                origin=self._origin,
                            )
                            for item, queued_at_s in batch
                        ],
                        proven=self._take_proven() if has_room else [],
                    )
                )
            while self._pending_suspects or self._pending_proven:
                self._send_batch(
                    _Datagram(
                        suspects=self._take_suspects(), proven=self._take_proven()
                    )
                )

    def _send_batch(self, message: _Datagram) -> None:
        """Send a message to all hosts, through relays where there are any."""
        if not self._send_to_relay(message):
            data = _encoder.encode(message)
            self._send_to(data, self.table.region_peers())
            self._send_to_other_regions(message, data)

    def _take_suspects(self) -> list[_SuspectMessage]:
        parts = list(self._pending_suspects)[:MAX_SUSPECTS_PER_DATAGRAM]
        return [_to_suspect_message(self._pending_suspects.pop(key)) for key in parts]

    def _take_proven(self) -> list[int]:
        taken = self._pending_proven[:MAX_PROVEN_PER_DATAGRAM]
        del self._pending_proven[:MAX_PROVEN_PER_DATAGRAM]
        return taken

    async def send_bundles(self) -> None:
        """Send what this host relays to all other hosts, until cancelled."""
        while True:
            await asyncio.sleep(RELAY_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for message in self._bundle.take(now_s=now_s):
                message.bundled_by = self.table.own.name
                data = _encoder.encode(message)
                self._send_to(data, self.table.region_peers())
                self._send_to_other_regions(message, data)

    def _choose_relays(self) -> list[HostIdentity]:
        """Return the hosts that bundle for this region, none if it is small."""
        if self.table.region_size() < RELAYING_MIN_HOSTS:
            return []
        return self.table.relays(now_s=asyncio.get_running_loop().time())

    def _is_relay(self) -> bool:
        return any(item.name == self.table.own.name for item in self._choose_relays())

    @property
    def relaying(self) -> bool:
        """Whether heartbeats of this host go to relays, which tell all hosts of it."""
        return self._relaying

    def _send_to_relay(self, message: _Datagram) -> bool:
        """Send a message to one of the relays; return whether there are any.

        The relay changes with each message, so that one that is down loses only some.
        """
        relays = self._choose_relays()
        self._relaying = bool(relays)
        if not relays:
            return False
        self._relay_rotation += 1
        relay = relays[self._relay_rotation % len(relays)]
        if relay.name == self.table.own.name:
            self._bundle.add(message, now_s=asyncio.get_running_loop().time())
        else:
            message.relay = True
            self._send_to(_encoder.encode(message), [relay])
        return True

    async def send_heartbeats(self) -> None:
        """Send heartbeats and expire silent hosts periodically, until cancelled."""
        while True:
            self.send_heartbeat()
            self._send_suspects_in_turn()
            self.table.remove_expired(now_s=asyncio.get_running_loop().time())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self, *, to_all_hosts: bool = False) -> None:
        """Send one heartbeat to the region, and to other regions when it is due.

        :param to_all_hosts: send it directly to every known host, in other regions too.
        """
        self._heartbeat_count += 1
        other_regions_due = self._heartbeat_count % HEARTBEATS_PER_REMOTE_HEARTBEAT == 0
        message = self._make_heartbeat()
        if other_regions_due or to_all_hosts:
            message.speeds = [
                _to_speed_message(item) for item in self.take_unshared_speeds()
            ]
        if not to_all_hosts and self._send_to_relay(message):
            return
        data = _encoder.encode(message)
        peers = self.table.peers if to_all_hosts else self.table.region_peers()
        self._send_to(data, peers)
        if other_regions_due and not to_all_hosts:
            self._send_to_other_regions(message, data)

    def _send_suspects_in_turn(self) -> None:
        """Send some suspected parts to one other host, others to another next time.

        So a host that missed the reports hears of them all the same.
        """
        peers, reports = self.table.peers, self.suspects()
        if not peers or not reports:
            return
        self._suspect_rotation += 1
        turn = self._suspect_rotation // len(peers)
        chunks = _split_reports(reports)
        peer = peers[self._suspect_rotation % len(peers)]
        self._send_to(_encoder.encode(chunks[turn % len(chunks)]), [peer])

    def _send_suspects(self, recipients: Sequence[HostIdentity]) -> None:
        """Send all suspected prompt parts."""
        for message in _split_reports(self.suspects()):
            self._send_to(_encoder.encode(message), recipients)

    def send_heartbeat_to(self, ip: str) -> None:
        """Send a heartbeat to an address at which a host may be listening."""
        if self._transport is not None and ip != self.table.own.ip:
            self._transport.sendto(
                _encoder.encode(self._make_heartbeat()), (ip, self.table.own.peer_port)
            )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram from another host."""
        if data[:1] == DUTY_MARK:
            self.on_duty_datagram(data)
            return
        try:
            message = decode_msgpack(data, kind=_Datagram)
        except MalformedDataError as error:
            logger.warning("dropping malformed datagram from %s: %s", addr[0], error)
            return
        if message.relay or message.bundled_by:
            self._handle_relayed(message)
        if message.forward:
            to_forward = msgspec.structs.replace(message, forward=False)
            self._send_to(_encoder.encode(to_forward), self.table.region_peers())
        for item in message.work:
            if item.origin != self._origin:
                self.on_work(_from_work_message(item))
        for part in message.proven:
            self.on_proven(part)
        for suspect in message.suspects:
            self.on_suspect(_from_suspect_message(suspect))
        for instance in message.switching:
            self.on_stage_change(instance)
        if message.view is not None:
            self.on_view_update(message.view)
        for speed in message.speeds:
            shared = _from_speed_message(speed)
            if shared is not None:
                self.on_speed(shared)
        for other in message.others:
            known = _read_identity(other)
            if known is not None and self.table.add(known):
                self.send_heartbeat_to(known.ip)
        if message.sender is not None:
            self._handle_heartbeat(message, message.sender)

    def _handle_relayed(self, message: _Datagram) -> None:
        """Process a message that is to be bundled, or a bundle of a relay."""
        now_s = asyncio.get_running_loop().time()
        if message.relay:
            self._bundle.add(message, now_s=now_s)
        if message.bundled_by:
            self.table.record_bundle(message.bundled_by, now_s=now_s)
        for beat in message.beats:
            self._handle_beat(beat, now_s=now_s)

    def _handle_beat(self, beat: _BeatMessage, *, now_s: float) -> None:
        """Process a heartbeat that a relay has bundled."""
        if beat.name == self.table.own.name:
            return
        identity = None if beat.identity is None else _read_identity(beat.identity)
        new = identity is not None and self.table.add(identity)
        known = self.table.identity(beat.name)
        if known is None or known.incarnation != beat.incarnation:
            return
        self.on_streams(beat.name, beat.streams)
        self.table.record_heartbeat(
            known,
            ready=bool(beat.flags & _READY),
            leaving=bool(beat.flags & _LEAVING),
            knows_cache_contents=bool(beat.flags & _KNOWS_CACHES),
            store_reachable=bool(beat.flags & _READS_STORE),
            now_s=now_s,
        )
        if new:
            self._send_suspects([known])
            self.on_new_host(known)

    def _handle_heartbeat(self, message: _Datagram, sender: _IdentityMessage) -> None:
        now_s = asyncio.get_running_loop().time()
        identity = _read_identity(sender)
        if identity is None:
            return
        self.on_streams(identity.name, message.streams)
        new = self.table.record_heartbeat(
            identity,
            ready=message.ready,
            leaving=message.leaving,
            knows_cache_contents=message.knows_caches,
            store_reachable=message.reads_store,
            now_s=now_s,
        )
        if new and self._transport is not None:
            self._send_suspects([identity])
            self.on_new_host(identity)
            if self._relaying and not self._is_relay():
                # A relay sends it the known hosts; the bundles tell it the rest.
                return
            known_hosts = [
                _to_identity_message(peer)
                for peer in self.table.peers[:_MAX_LISTED_PEERS]
            ]
            data = _encoder.encode(self._make_heartbeat(known_hosts))
            self._transport.sendto(data, (identity.ip, identity.peer_port))

    def send_cached_parts(
        self,
        work: Iterable[EngineWork],
        recipients: Iterable[HostIdentity] | None = None,
    ) -> None:
        """Send the cached prompt parts of engines, split to fit one packet each.

        :param recipients: receiving hosts; defaults to all known hosts.
        """
        peers = list(self.table.peers if recipients is None else recipients)
        for item in work:
            for start in range(0, len(item.parts), MAX_PARTS_PER_DATAGRAM):
                parts = item.parts[start : start + MAX_PARTS_PER_DATAGRAM]
                message = _Datagram(work=[_to_work_message(replace(item, parts=parts))])
                self._send_to(_encoder.encode(message), peers)

    def _make_heartbeat(
        self, known_hosts: Iterable[_IdentityMessage] = ()
    ) -> _Datagram:
        state = self.advertised_state()
        return _Datagram(
            sender=_to_identity_message(self.table.own),
            ready=state.ready,
            leaving=state.leaving,
            knows_caches=state.knows_cache_contents,
            reads_store=state.store_reachable,
            others=list(known_hosts),
            streams=self.own_stream_counts(),
        )

    def _send_to_other_regions(self, message: _Datagram, data: bytes) -> None:
        """Send a datagram to all other regions.

        In a large region one host receives the datagram and forwards it. That host
        changes with each datagram, so that one that is down loses only a few.

        :param data: the encoded datagram.
        """
        self._forwarder_rotation += 1
        forwarded: bytes | None = None
        for peers in self.table.peers_in_other_regions().values():
            if len(peers) < FORWARDING_MIN_HOSTS:
                self._send_to(data, peers)
                continue
            if forwarded is None:
                to_forward = msgspec.structs.replace(message, forward=True)
                forwarded = _encoder.encode(to_forward)
            self._send_to(forwarded, [peers[self._forwarder_rotation % len(peers)]])

    def _send_to(self, data: bytes, peers: Iterable[HostIdentity]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for peer in peers:
            self._transport.sendto(data, (peer.ip, peer.peer_port))


@dataclass(kw_only=True)
class _Bundle:
    """Messages that this host relays, until they are sent."""

    _work: list[tuple[_WorkMessage, float]] = field(default_factory=list)
    _beats: dict[str, _BeatMessage] = field(default_factory=dict)
    _speeds: dict[tuple[str, str], _SpeedMessage] = field(default_factory=dict)
    _identities: dict[str, tuple[_IdentityMessage, float]] = field(default_factory=dict)
    _suspects: dict[int, tuple[_SuspectMessage, float]] = field(default_factory=dict)
    _proven: list[int] = field(default_factory=list)
    _identity_rotation: int = 0

    def add(self, message: _Datagram, *, now_s: float) -> None:
        """Add a message of a host."""
        self._work += [(item, now_s) for item in message.work]
        for speed in message.speeds:
            key = (speed.service, speed.stage)
            known = self._speeds.get(key)
            self._speeds[key] = speed if known is None else _add_speeds(known, speed)
        for suspect in message.suspects:
            self._add_suspect(suspect, now_s=now_s)
        self._proven += message.proven
        sender = message.sender
        if sender is None:
            return
        since_s = now_s
        found = self._identities.get(sender.name)
        if found is not None and found[0].incarnation == sender.incarnation:
            since_s = found[1]
        self._identities[sender.name] = (sender, since_s)
        self._beats[sender.name] = _BeatMessage(
            name=sender.name,
            incarnation=sender.incarnation,
            flags=message.ready * _READY
            | message.leaving * _LEAVING
            | message.knows_caches * _KNOWS_CACHES
            | message.reads_store * _READS_STORE,
            streams=message.streams,
            identity=sender if now_s - since_s < NEW_HOST_S else None,
        )

    def _add_suspect(self, suspect: _SuspectMessage, *, now_s: float) -> None:
        known = self._suspects.get(suspect.part)
        if known is not None:
            message, added_s = known
            crashes = _age_crashes(
                message.crashes, by_ms=round((now_s - added_s) * 1000)
            )
            merged = _merge_crashes(crashes, suspect.crashes)
            newest = sorted(merged, key=operator.itemgetter(1))[:MAX_CRASHES_PER_PART]
            suspect = msgspec.structs.replace(
                suspect,
                crashes=newest,
                proven=suspect.proven or message.proven,
                trial_count=max(suspect.trial_count, message.trial_count),
                next_trial_ms=max(suspect.next_trial_ms, message.next_trial_ms),
            )
        self._suspects[suspect.part] = (suspect, now_s)

    def _take_suspects(self, *, now_s: float) -> list[_SuspectMessage]:
        suspects = [
            msgspec.structs.replace(
                item,
                crashes=_age_crashes(
                    item.crashes, by_ms=round((now_s - added_s) * 1000)
                ),
            )
            for item, added_s in self._suspects.values()
        ]
        self._suspects = {}
        return suspects

    def take(self, *, now_s: float) -> list[_Datagram]:
        """Return datagrams with all added messages, and remove these."""
        suspects = self._take_suspects(now_s=now_s)
        proven, self._proven = self._proven, []
        work = [
            msgspec.structs.replace(
                item, age_ms=item.age_ms + round((now_s - added_s) * 1000)
            )
            for item, added_s in self._work
        ]
        beats = list(self._beats.values())
        self._add_identities(beats)
        speeds = list(self._speeds.values())
        self._work, self._beats, self._speeds = [], {}, {}
        messages = []
        while suspects or proven:
            messages.append(
                _Datagram(
                    suspects=suspects[:MAX_SUSPECTS_PER_DATAGRAM],
                    proven=proven[:MAX_PROVEN_PER_DATAGRAM],
                )
            )
            del suspects[:MAX_SUSPECTS_PER_DATAGRAM]
            del proven[:MAX_PROVEN_PER_DATAGRAM]
        while work or beats or speeds:
            messages.append(
                _Datagram(
                    work=work[:MAX_WORK_PER_DATAGRAM],
                    beats=[] if work else beats[:MAX_BEATS_PER_DATAGRAM],
                    speeds=[] if work else speeds,
                )
            )
            if work:
                del work[:MAX_WORK_PER_DATAGRAM]
            else:
                speeds = []
                del beats[:MAX_BEATS_PER_DATAGRAM]
        return messages

    def _add_identities(self, beats: list[_BeatMessage]) -> None:
        """Add the complete identity to a few heartbeats, in turn."""
        for _ in range(min(IDENTITIES_PER_BUNDLE, len(beats))):
            self._identity_rotation += 1
            beat = beats[self._identity_rotation % len(beats)]
            beat.identity = self._identities[beat.name][0]


def _add_speeds(one: _SpeedMessage, other: _SpeedMessage) -> _SpeedMessage:
    return msgspec.structs.replace(
        one,
        count=one.count + other.count,
        ratio=one.ratio + other.ratio,
        products=list(map(operator.add, one.products, other.products)),
        responses=list(map(operator.add, one.responses, other.responses)),
    )


def _split_reports(reports: Sequence[SuspectReport]) -> list[_Datagram]:
    """Return datagrams with the reports, split to fit one packet each."""
    messages = [_to_suspect_message(item) for item in reports]
    return [
        _Datagram(suspects=messages[start : start + MAX_SUSPECTS_PER_DATAGRAM])
        for start in range(0, len(messages), MAX_SUSPECTS_PER_DATAGRAM)
    ]


def _age_crashes(
    crashes: list[tuple[int, int]], *, by_ms: int
) -> list[tuple[int, int]]:
    return [(engine, age_ms + by_ms) for engine, age_ms in crashes]


def _merge_crashes(
    crashes: Sequence[tuple[int, int]], others: Iterable[tuple[int, int]]
) -> list[tuple[int, int]]:
    """Return all crashes, those once that several hosts report."""
    merged = list(crashes)
    for engine, age_ms in others:
        if not any(
            known == engine and abs(known_ms - age_ms) < SAME_CRASH_S * 1000
            for known, known_ms in merged
        ):
            merged.append((engine, age_ms))
    return merged


def _to_suspect_message(report: SuspectReport) -> _SuspectMessage:
    return _SuspectMessage(
        part=report.part,
        crashes=[(engine, round(age_s * 1000)) for engine, age_s in report.crashes],
        proven=report.proven,
        trial_count=report.trial_count,
        next_trial_ms=round(report.next_trial_s * 1000),
    )


def _from_suspect_message(message: _SuspectMessage) -> SuspectReport:
    return SuspectReport(
        part=message.part,
        crashes=tuple(
            (engine, max(0, age_ms) / 1000) for engine, age_ms in message.crashes
        ),
        proven=message.proven,
        trial_count=message.trial_count,
        next_trial_s=message.next_trial_ms / 1000,
    )


def _to_work_message(work: EngineWork, *, origin: int = 0) -> _WorkMessage:
    return _WorkMessage(
        instance=work.instance,
        priority=work.priority,
        work_us=round(work.work_s * 1e6),
        parts=[(part.key, part.tokens) for part in work.parts],
        tokens=round(work.work.tokens),
        token_pairs=round(work.work.token_pairs),
        age_ms=round(work.age_s * 1000),
        origin=origin,
        step_slowdown_percent=round(work.step_slowdown * 100),
    )


def _from_work_message(message: _WorkMessage) -> EngineWork:
    return EngineWork(
        instance=message.instance,
        priority=min(max(message.priority, 0), 9),
        work_s=message.work_us / 1e6,
        parts=tuple(
            HashedPart(key=key, tokens=tokens) for key, tokens in message.parts
        ),
        work=PrefillWork(
            prompts=1.0 if message.work_us else 0.0,
            tokens=message.tokens,
            token_pairs=message.token_pairs,
        ),
        age_s=message.age_ms / 1000,
        step_slowdown=max(0, message.step_slowdown_percent) / 100,
    )


def _to_speed_message(speed: SharedSpeed) -> _SpeedMessage:
    return _SpeedMessage(
        service=speed.service,
        stage=speed.stage.value,
        count=speed.sums.count,
        ratio=speed.sums.ratio,
        products=speed.sums.products,
        responses=speed.sums.responses,
    )


def _from_speed_message(message: _SpeedMessage) -> SharedSpeed | None:
    sums = SpeedSums(
        count=message.count,
        ratio=message.ratio,
        products=message.products,
        responses=message.responses,
    )
    if message.stage not in _STAGE_NAMES or not sums.is_valid():
        logger.warning("ignoring malformed prefill times of %s", message.service)
        return None
    return SharedSpeed(service=message.service, stage=Stage(message.stage), sums=sums)


def _to_identity_message(identity: HostIdentity) -> _IdentityMessage:
    return _IdentityMessage(
        name=identity.name,
        incarnation=identity.incarnation,
        ip=identity.ip,
        peer_port=identity.peer_port,
        zone=identity.zone,
        client_address=identity.client_address,
    )


def _read_identity(message: _IdentityMessage) -> HostIdentity | None:
    """Return the identity of a host in a datagram, None if it is malformed."""
    try:
        return _from_identity_message(message)
    except MalformedDataError as error:
        logger.warning("ignoring a malformed host in a datagram: %s", error)
        return None


def _from_identity_message(message: _IdentityMessage) -> HostIdentity:
    """Return the identity of a host.

    Sending to an address that no socket takes would close the socket for all hosts.

    :raises MalformedDataError: its address is invalid.
    """
    if not (is_ipv4_address(message.ip) and 0 < message.peer_port <= _MAX_PORT):
        raise MalformedDataError(
            f"host {message.name[:80]!r} has the invalid address "
            f"{message.ip[:80]!r}, port {message.peer_port}"
        )
    return HostIdentity(
        name=message.name,
        incarnation=message.incarnation,
        ip=message.ip,
        peer_port=message.peer_port,
        zone=message.zone,
        client_address=message.client_address,
    )
