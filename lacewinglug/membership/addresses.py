"""Selection of the entry addresses that callers receive."""

from collections.abc import Collection, Sequence

import msgspec
import xxhash

from lacewinglug.config.objects import Fleet

DEFAULT_ADDRESS_COUNT = 3


class EntryAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """The entry hosts that a caller should use, in order of preference.

    :param addresses: base URLs.
    :param ttl_s: time for which the caller may cache the addresses, in seconds.
    """

    addresses: list[str]
    ttl_s: float


def choose_entry_hosts(
    fleet: Fleet,
    *,
    caller: str,
    region: str,
    unavailable: Collection[str],
    count: int = DEFAULT_ADDRESS_COUNT,
) -> list[str]:
    """Return names of entry hosts for a caller, hosts in its region first.

    :param fleet: the configuration.
    :param caller: organisation of the caller; key of the rendezvous hash, which
        spreads callers over the hosts.
    :param region: region of the caller, empty if unknown.
    :param unavailable: hosts that are leaving, suspect or withdrawn.
    :param count: maximum number of hosts.
    """
    names = [name for name in fleet.hosts if name not in unavailable]
    names.sort(key=lambda name: _sort_key(fleet, name, caller, region))
    return names[:count]


def _sort_key(fleet: Fleet, name: str, caller: str, region: str) -> tuple[bool, int]:
    """Sort hosts in the caller's region first, then by rendezvous hash."""
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
