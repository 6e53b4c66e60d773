"""Table of the known hosts and of their state according to their heartbeats."""

import logging
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewinglug.host.distance import Distance, Geography

logger = logging.getLogger(__name__)

HEARTBEAT_TIMEOUT_S = 2.6
"""Time without a heartbeat after which a host counts as silent and clients are no
longer directed to it, in seconds. It covers five heartbeat intervals within a region
and two and a half between regions."""
HOST_EXPIRY_S = 60.0
"""Time without a heartbeat after which a host is removed, in seconds."""
MIN_NEARBY_HOSTS = 2
"""Minimum hosts in a client's zone or region for it to be given only those."""
HOSTS_PER_STORE_READER = 4
"""Number of hosts in a region per host that reads the store on behalf of the region."""
MAX_STORE_READERS = 2
"""Maximum hosts of a region that do so; the second covers the loss of the first."""


RELAYS_PER_REGION = 2
"""Number of hosts of a region that bundle the heartbeats of the others."""
RELAY_SILENCE_S = 1.2
"""Time without a bundle after which a relay is replaced, in seconds; well below the
time after which its silence would make all hosts that it relays seem silent."""
RELAY_RETRY_S = 5.0
"""Time after which a relay that was replaced is tried again, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostIdentity:
    """Name, location and addresses of a host.

    :param name: name of the host.
    :param incarnation: start time of its process, in ms since the Unix epoch.
    :param ip: IP address.
    :param peer_port: UDP port for traffic between hosts.
    :param zone: availability zone.
    :param client_address: address that accepts client requests.
    """

    name: str
    incarnation: int
    ip: str
    peer_port: int
    zone: str
    client_address: str


@dataclass(kw_only=True, slots=True)
class _HostRecord:
    identity: HostIdentity
    in_own_region: bool
    ready: bool = False
    leaving: bool = False
    knows_cache_contents: bool = False
    store_reachable: bool = False
    last_heartbeat_s: float | None = None
    relay_since_s: float | None = None
    last_bundle_s: float = -math.inf

    def is_alive(self, now_s: float) -> bool:
        """Return whether its last heartbeat is recent."""
        return (
            self.last_heartbeat_s is not None
            and now_s - self.last_heartbeat_s <= HEARTBEAT_TIMEOUT_S
        )

    def may_relay(self, now_s: float) -> bool:
        """Return whether it sends bundles, or was not asked to until recently."""
        if self.leaving or not self.is_alive(now_s):
            return False
        if self.relay_since_s is None:
            return True
        silent_s = now_s - max(self.relay_since_s, self.last_bundle_s)
        if silent_s > RELAY_RETRY_S:
            self.relay_since_s = None
        return not RELAY_SILENCE_S < silent_s <= RELAY_RETRY_S


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerStatus:
    """Status of another host from the point of view of this host.

    :param host: name of the host.
    :param zone: its availability zone.
    :param state: ``serving``, ``not ready``, ``leaving`` or ``silent``.
    :param heard_age_s: time since its last heartbeat, in seconds; None before it.
    """

    host: str
    zone: str
    state: str
    heard_age_s: float | None


@dataclass(kw_only=True)
class HostTable:
    """Keeps the other hosts known to this host, and their state.

    :param own: identity of this host.
    :param geography: regions of the availability zones.
    """

    own: HostIdentity
    geography: Geography
    _hosts: dict[str, _HostRecord] = field(default_factory=dict)

    def add(self, identity: HostIdentity) -> bool:
        """Add a host; return whether it was unknown or has restarted."""
        if identity.name == self.own.name:
            return False
        known = self._hosts.get(identity.name)
        if known is not None and known.identity.incarnation >= identity.incarnation:
            return False
        distance = self.geography.distance(self.own.zone, identity.zone)
        self._hosts[identity.name] = _HostRecord(
            identity=identity, in_own_region=distance is not Distance.OTHER_REGION
        )
        logger.info(
            "host added", extra={"peer": identity.name, "peer_zone": identity.zone}
        )
        return True

    def record_heartbeat(
        self,
        identity: HostIdentity,
        *,
        ready: bool,
        leaving: bool,
        now_s: float,
        knows_cache_contents: bool = False,
        store_reachable: bool = False,
    ) -> bool:
        """Record a heartbeat; return whether the host was unknown or has restarted.

        :param knows_cache_contents: whether it knows which prompt parts are cached on
            the engines.
        :param store_reachable: whether it can reach the store.
        """
        new = self.add(identity)
        host = self._hosts.get(identity.name)
        if host is None or host.identity.incarnation != identity.incarnation:
            return False
        if (host.ready, host.leaving) != (ready, leaving):
            logger.info(
                "host state changed",
                extra={"peer": identity.name, "ready": ready, "leaving": leaving},
            )
        host.ready = ready
        host.leaving = host.leaving or leaving
        host.knows_cache_contents = knows_cache_contents
        host.store_reachable = store_reachable
        host.last_heartbeat_s = now_s
        return new

    def remove_expired(self, *, now_s: float) -> None:
        """Remove hosts whose last heartbeat is too old."""
        for name, host in list(self._hosts.items()):
            if (
                host.last_heartbeat_s is not None
                and now_s - host.last_heartbeat_s > HOST_EXPIRY_S
            ):
                del self._hosts[name]

    @property
    def peers(self) -> list[HostIdentity]:
        """All other known hosts."""
        return [host.identity for host in self._hosts.values()]

    def count(self) -> int:
        """Return the number of hosts that may be alive, including this one."""
        return 1 + len(self._hosts)

    def serving_peers(self, *, now_s: float) -> list[HostIdentity]:
        """Return the other hosts that clients may be directed to."""
        return [
            host.identity
            for host in self._hosts.values()
            if host.ready and not host.leaving and host.is_alive(now_s)
        ]

    def peer_statuses(self, *, now_s: float) -> list[PeerStatus]:
        """Return the status of each other host for operators, sorted by name."""
        return [_peer_status(self._hosts[name], now_s) for name in sorted(self._hosts)]

    def region_peers(self) -> list[HostIdentity]:
        """Return the other known hosts of this host's region."""
        return [host.identity for host in self._hosts.values() if host.in_own_region]

    def region_size(self) -> int:
        """Return the number of other known hosts of this host's region."""
        return sum(host.in_own_region for host in self._hosts.values())

    def identity(self, name: str) -> HostIdentity | None:
        """Return the identity of a host, None if it is not known."""
        host = self._hosts.get(name)
        return None if host is None else host.identity

    def relays(self, *, now_s: float) -> list[HostIdentity]:
        """Return the hosts that bundle heartbeats and work for this region.

        They are the first by name, possibly this host. There are none if too few hosts
        of the region are alive.
        """
        names = sorted(
            name
            for name, host in self._hosts.items()
            if host.in_own_region and host.may_relay(now_s)
        )
        if len(names) < RELAYS_PER_REGION:
            return []
        relays: list[HostIdentity] = []
        for name in sorted((*names[:RELAYS_PER_REGION], self.own.name)):
            if len(relays) == RELAYS_PER_REGION:
                break
            host = self._hosts.get(name)
            if host is None:
                relays.append(self.own)
                continue
            if host.relay_since_s is None:
                host.relay_since_s = now_s
            relays.append(host.identity)
        return relays

    def record_bundle(self, name: str, *, now_s: float) -> None:
        """Record a bundle of a relay."""
        host = self._hosts.get(name)
        if host is not None:
            host.last_bundle_s = now_s

    def peers_in_other_regions(self) -> dict[str, list[HostIdentity]]:
        """Return the known hosts of the other regions, grouped by region."""
        regions: dict[str, list[HostIdentity]] = {}
        for host in self._hosts.values():
            if not host.in_own_region:
                zone = host.identity.zone
                region = self.geography.regions.get(zone, zone)
                regions.setdefault(region, []).append(host.identity)
        return regions

    def is_store_reader(self, *, now_s: float) -> bool:
        """Return whether this host reads the store on behalf of its region.

        The readers are the first by name among the live hosts that reach the store.
        """
        live_peers = [
            host
            for host in self._hosts.values()
            if host.in_own_region and host.is_alive(now_s)
        ]
        preceding_readers = sum(
            host.store_reachable
            and not host.leaving
            and host.identity.name < self.own.name
            for host in live_peers
        )
        readers = min(MAX_STORE_READERS, 1 + len(live_peers) // HOSTS_PER_STORE_READER)
        return preceding_readers < readers

    def any_peer_knows_cache_contents(self, *, now_s: float) -> bool:
        """Return whether another live host knows the cache contents of the engines."""
        return any(
            host.knows_cache_contents and host.is_alive(now_s)
            for host in self._hosts.values()
        )

    def addresses_for_client(
        self, *, zone: str, region: str, own_ready: bool, now_s: float
    ) -> list[str]:
        """Return the host addresses for a client, nearest first.

        Only hosts of the client's zone are returned if there are enough of them, else
        only those of its region if these are enough, else all. Hosts that are shutting
        down are left out, except that this host is returned if no other one serves.

        :param zone: availability zone of the client.
        :param region: region of the client, may be empty.
        :param own_ready: whether clients may be directed to this host.
        """
        hosts = self.serving_peers(now_s=now_s)
        if own_ready or not hosts:
            hosts.append(self.own)
        ranked = sorted(
            hosts,
            key=lambda host: (self._distance_to_client(host, zone, region), host.name),
        )
        for max_distance in (Distance.SAME_ZONE, Distance.SAME_REGION):
            nearby = [
                host
                for host in ranked
                if self._distance_to_client(host, zone, region) <= max_distance
            ]
            if len(nearby) >= MIN_NEARBY_HOSTS:
                return _client_addresses(nearby)
        return _client_addresses(ranked)

    def _distance_to_client(
        self, host: HostIdentity, zone: str, region: str
    ) -> Distance:
        if host.zone == zone:
            return Distance.SAME_ZONE
        if region and self.geography.regions.get(host.zone) == region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION


def _peer_status(host: _HostRecord, now_s: float) -> PeerStatus:
    state = "serving" if host.ready else "not ready"
    if host.leaving:
        state = "leaving"
    if not host.is_alive(now_s):
        state = "silent"
    return PeerStatus(
        host=host.identity.name,
        zone=host.identity.zone,
        state=state,
        heard_age_s=None
        if host.last_heartbeat_s is None
        else now_s - host.last_heartbeat_s,
    )


def _client_addresses(hosts: Iterable[HostIdentity]) -> list[str]:
    return [host.client_address for host in hosts]
