"""Entry addresses handed to callers."""

from collections.abc import Collection, Sequence

import msgspec
import xxhash

from lacewinglug.config.objects import Fleet

ADDRESS_COUNT = 3


class EntryAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """The entry hosts that a caller should use, best first.

    :param addresses: base URLs.
    :param ttl_s: how long the answer may be kept, in seconds.
    """

    addresses: list[str]
    ttl_s: float


def choose_entries(
    fleet: Fleet,
    *,
    caller: str,
    region: str,
    unavailable: Collection[str],
    count: int = ADDRESS_COUNT,
) -> list[str]:
    """Return names of entry hosts for a caller, those of its region first.

    :param fleet: the configuration.
    :param caller: organisation of the caller; spreads callers over the hosts.
    :param region: region of the caller, empty when unknown.
    :param unavailable: hosts that are leaving, suspect or gone.
    :param count: number of hosts wanted.
    """
    names = [name for name in fleet.hosts if name not in unavailable]
    names.sort(key=lambda name: _rank(fleet, name, caller, region))
    return names[:count]


def _rank(fleet: Fleet, name: str, caller: str, region: str) -> tuple[bool, int]:
    """Order hosts by region, then by rendezvous hash."""
    host_region = fleet.region_of(fleet.hosts[name].availability_zone)
    return (
        host_region != region,
        xxhash.xxh3_64_intdigest(f"{caller}/{name}".encode()),
    )


def entry_urls(fleet: Fleet, names: Sequence[str]) -> list[str]:
    """Return the base URLs of entry hosts."""
    return [
        f"http://{fleet.hosts[name].address}:{fleet.hosts[name].entry_port}"
        for name in names
    ]
