"""The hosts that serve, by the beats that they send one another."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewinglug.host.distance import Distance, Geography

logger = logging.getLogger(__name__)

SILENCE_S = 2.6
"""Time without a beat after which clients are not sent to a host, in s; five
beats in a region, two and a half between regions."""
FORGET_S = 60.0
"""Time without a beat after which a host is forgotten, in s."""
FEW_ADDRESSES = 2
"""Addresses of the client's own surroundings that are enough for it."""
HOSTS_PER_READER = 4
"""Hosts of a region for each one that reads the store for all of them."""
MOST_READERS = 2
"""Most hosts of a region that do so; the second covers the loss of the first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostIdentity:
    """Where a host is reached.

    :param name: name of the host.
    :param incarnation: start of its process, in ms since the Unix epoch.
    :param ip: address.
    :param peer_port: port for traffic between hosts.
    :param zone: availability zone.
    :param client_address: address that takes clients' requests.
    """

    name: str
    incarnation: int
    ip: str
    peer_port: int
    zone: str
    client_address: str


@dataclass(kw_only=True, slots=True)
class _Host:
    identity: HostIdentity
    ready: bool = False
    leaving: bool = False
    knows_caches: bool = False
    reads_store: bool = False
    heard_s: float | None = None

    def is_heard(self, now_s: float) -> bool:
        """Return whether its beats arrive."""
        return self.heard_s is not None and now_s - self.heard_s <= SILENCE_S


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerSight:
    """Another host as this one sees it.

    :param host: name of the host.
    :param zone: its availability zone.
    :param state: ``serving``, ``not ready``, ``leaving`` or ``silent``.
    :param heard_age_s: time since its last beat, in s; None before the first.
    """

    host: str
    zone: str
    state: str
    heard_age_s: float | None


@dataclass(kw_only=True)
class HostTable:
    """Owns what a host knows of the others.

    :param own: this host.
    :param geography: regions of the availability zones.
    """

    own: HostIdentity
    geography: Geography
    _hosts: dict[str, _Host] = field(default_factory=dict)

    def learn(self, identity: HostIdentity) -> bool:
        """Note that a host exists; return whether that is new."""
        if identity.name == self.own.name:
            return False
        known = self._hosts.get(identity.name)
        if known is not None and known.identity.incarnation >= identity.incarnation:
            return False
        self._hosts[identity.name] = _Host(identity=identity)
        logger.info(
            "host learned", extra={"peer": identity.name, "peer_zone": identity.zone}
        )
        return True

    def note_beat(
        self,
        identity: HostIdentity,
        *,
        ready: bool,
        leaving: bool,
        now_s: float,
        knows_caches: bool = False,
        reads_store: bool = False,
    ) -> bool:
        """Take a beat; return whether the host was new.

        :param knows_caches: whether it knows what engines keep in their caches.
        :param reads_store: whether the store answers it.
        """
        new = self.learn(identity)
        host = self._hosts.get(identity.name)
        if host is None or host.identity.incarnation != identity.incarnation:
            return False
        if (host.ready, host.leaving) != (ready, leaving):
            logger.info(
                "host changed",
                extra={"peer": identity.name, "ready": ready, "leaving": leaving},
            )
        host.ready = ready
        host.leaving = host.leaving or leaving
        host.knows_caches = knows_caches
        host.reads_store = reads_store
        host.heard_s = now_s
        return new

    def forget_silent(self, *, now_s: float) -> None:
        """Drop hosts that have been silent for long."""
        for name, host in list(self._hosts.items()):
            if host.heard_s is not None and now_s - host.heard_s > FORGET_S:
                del self._hosts[name]

    @property
    def peers(self) -> list[HostIdentity]:
        """All other hosts that are known."""
        return [host.identity for host in self._hosts.values()]

    def count(self) -> int:
        """Return how many hosts may be alive, this one included."""
        return 1 + len(self._hosts)

    def serving(self, *, now_s: float) -> list[HostIdentity]:
        """Return the other hosts that clients may be sent to."""
        return [
            host.identity
            for host in self._hosts.values()
            if host.ready and not host.leaving and host.is_heard(now_s)
        ]

    def sights(self, *, now_s: float) -> list[PeerSight]:
        """Return the other hosts by name, as operators are told of them."""
        return [_sight(self._hosts[name], now_s) for name in sorted(self._hosts)]

    def region_peers(self) -> list[HostIdentity]:
        """Return the other hosts of this host's region that are known."""
        return [host.identity for host in self._hosts.values() if self._is_near(host)]

    def far_peers(self) -> dict[str, list[HostIdentity]]:
        """Return the other hosts that are known, by each other region."""
        regions: dict[str, list[HostIdentity]] = {}
        for host in self._hosts.values():
            if not self._is_near(host):
                zone = host.identity.zone
                region = self.geography.regions.get(zone, zone)
                regions.setdefault(region, []).append(host.identity)
        return regions

    def is_store_reader(self, *, now_s: float) -> bool:
        """Return whether this host reads the store for those of its region.

        The first by name do so, of those that live and that the store answers.
        """
        others = [
            host
            for host in self._hosts.values()
            if self._is_near(host) and host.is_heard(now_s)
        ]
        earlier = sum(
            host.reads_store and not host.leaving and host.identity.name < self.own.name
            for host in others
        )
        readers = min(MOST_READERS, 1 + len(others) // HOSTS_PER_READER)
        return earlier < readers

    def caches_known_elsewhere(self, *, now_s: float) -> bool:
        """Return whether another host that lives knows what engines keep."""
        return any(
            host.knows_caches and host.is_heard(now_s) for host in self._hosts.values()
        )

    def addresses(
        self, *, zone: str, region: str, own_serves: bool, now_s: float
    ) -> list[str]:
        """Return the addresses for a client, none of them a leaving host's.

        The hosts of the client's own zone and region come alone where there are
        enough; else all hosts, the nearest first.
        """
        hosts = self.serving(now_s=now_s)
        if own_serves or not hosts:
            hosts.append(self.own)
        ranked = sorted(
            hosts, key=lambda host: (self._distance(host, zone, region), host.name)
        )
        for bound in (Distance.SAME_ZONE, Distance.SAME_REGION):
            near = [
                host for host in ranked if self._distance(host, zone, region) <= bound
            ]
            if len(near) >= FEW_ADDRESSES:
                return _addresses(near)
        return _addresses(ranked)

    def _is_near(self, host: _Host) -> bool:
        """Return whether a host is of this host's region."""
        distance = self.geography.distance(self.own.zone, host.identity.zone)
        return distance is not Distance.OTHER_REGION

    def _distance(self, host: HostIdentity, zone: str, region: str) -> Distance:
        if host.zone == zone:
            return Distance.SAME_ZONE
        if region and self.geography.regions.get(host.zone) == region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION


def _sight(host: _Host, now_s: float) -> PeerSight:
    state = "serving" if host.ready else "not ready"
    if host.leaving:
        state = "leaving"
    if not host.is_heard(now_s):
        state = "silent"
    return PeerSight(
        host=host.identity.name,
        zone=host.identity.zone,
        state=state,
        heard_age_s=None if host.heard_s is None else now_s - host.heard_s,
    )


def _addresses(hosts: Iterable[HostIdentity]) -> list[str]:
    return [host.client_address for host in hosts]
