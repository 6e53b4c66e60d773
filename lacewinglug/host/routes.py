"""Which route and service a request takes, by the newest configuration."""

import logging
from dataclasses import dataclass, field

import xxhash

from lacewinglug.host.model import Configuration, Route, Service

logger = logging.getLogger(__name__)

_HASH_SPAN = float(2**64)


@dataclass(kw_only=True)
class RouteTable:
    """Owns the configuration in force; it only ever goes forward.

    :param configuration: version in force, None before the first.
    :param applied_s: monotonic time at which it was applied.
    """

    configuration: Configuration | None = None
    applied_s: float = 0.0
    _by_host: dict[str, list[Route]] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version in force, -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    def apply(self, configuration: Configuration, *, now_s: float) -> bool:
        """Take a configuration; return whether it is newer than the present one."""
        if configuration.version <= self.version:
            return False
        before = self.version
        self.configuration = configuration
        self.applied_s = now_s
        self._by_host = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        logger.info(
            "configuration applied",
            extra={
                "version": configuration.version,
                "previous_version": before,
                "routes": len(configuration.routes),
            },
        )
        return True

    def match(self, *, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, None for none."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)


def choose_service(route: Route, request_id: str) -> str:
    """Return the service of a split route for a request, the same for its id."""
    total = sum(share.weight for share in route.shares)
    if len(route.shares) == 1 or total <= 0:
        return route.shares[0].service
    place = xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_SPAN * total
    for share in route.shares:
        place -= share.weight
        if place < 0:
            return share.service
    return route.shares[-1].service
