"""Selects the route and service of a request by the current configuration."""

import logging
import math
from dataclasses import dataclass, field

import xxhash

from lacewinglug.host.model import Configuration, Route, Service

logger = logging.getLogger(__name__)

_HASH_RANGE = float(2**64)


@dataclass(kw_only=True)
class RouteTable:
    """Holds the current configuration, whose version never decreases.

    :param configuration: current configuration, None before the first.
    :param applied_at_s: monotonic time at which it was applied.
    :param latest_known_version: latest version that this host or another one has, -1
        before the first.
    """

    configuration: Configuration | None = None
    applied_at_s: float = 0.0
    latest_known_version: int = -1
    _routes_by_host: dict[str, list[Route]] = field(default_factory=dict)
    _longest_targets_s: dict[str, float] = field(default_factory=dict)
    _shortest_gaps_s: dict[str, float] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version of the current configuration, -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    @property
    def is_outdated(self) -> bool:
        """Whether another host has a later configuration."""
        return self.latest_known_version > self.version

    def record_known_version(self, version: int) -> None:
        """Record a version that another host has."""
        self.latest_known_version = max(self.latest_known_version, version)

    def apply(self, configuration: Configuration, *, now_s: float) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if configuration.version <= self.version:
            return False
        previous = self.version
        self.configuration = configuration
        self.applied_at_s = now_s
        self._routes_by_host = {}
        self._longest_targets_s = {}
        self._shortest_gaps_s = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
            for share in route.traffic_shares:
                self._longest_targets_s[share.service] = max(
                    self._longest_targets_s.get(share.service, 0.0),
                    route.target_latency_s,
                )
                if route.target_gap_s is not None:
                    self._shortest_gaps_s[share.service] = min(
                        self._shortest_gaps_s.get(share.service, math.inf),
                        route.target_gap_s,
                    )
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        logger.info(
            "configuration applied",
            extra={
                "version": configuration.version,
                "previous_version": previous,
                "routes": len(configuration.routes),
            },
        )
        return True

    def find_route(self, *, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, None without one."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def longest_target_s(self, service: str) -> float | None:
        """Return the longest latency target of the routes to a service, in s."""
        return self._longest_targets_s.get(service)

    def shortest_gap_s(self, service: str) -> float | None:
        """Return the shortest target gap of the routes to a service, in s."""
        return self._shortest_gaps_s.get(service)

    def find_service(self, name: str) -> Service | None:
        """Return a service by name, None if it is not configured."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)


def choose_service(route: Route, request_id: str) -> str:
    """Return the service for a request by the route's weights.

    The choice hashes the request id, so it is the same for every attempt with that id.
    """
    total = sum(share.weight for share in route.traffic_shares)
    if len(route.traffic_shares) == 1 or total <= 0:
        return route.traffic_shares[0].service
    position = xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_RANGE * total
    for share in route.traffic_shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.traffic_shares[-1].service
