"""Differences between two configurations, as published in the log."""

from dataclasses import dataclass, fields
from typing import Any

import msgspec
import xxhash

from lacewinglug.config.objects import Fleet


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetChange:
    """What a revision changes against the one before it.

    :param upserts: objects that are new or changed, by kind and name.
    :param removals: names of removed objects by kind.
    """

    upserts: Fleet
    removals: dict[str, list[str]]

    def is_empty(self) -> bool:
        """Return whether nothing changes."""
        return not self.removals and self.upserts == Fleet()


def diff_fleets(base: Fleet, wanted: Fleet) -> FleetChange:
    """Return the change that turns ``base`` into ``wanted``."""
    upserts: dict[str, Any] = {}
    removals: dict[str, list[str]] = {}
    for field in fields(Fleet):
        old = getattr(base, field.name)
        new = getattr(wanted, field.name)
        upserts[field.name] = {
            name: item for name, item in new.items() if old.get(name) != item
        }
        gone = sorted(name for name in old if name not in new)
        if gone:
            removals[field.name] = gone
    return FleetChange(upserts=Fleet(**upserts), removals=removals)


def apply_change(base: Fleet, change: FleetChange) -> Fleet:
    """Return ``base`` with a change applied."""
    merged: dict[str, Any] = {}
    for field in fields(Fleet):
        removed = set(change.removals.get(field.name, ()))
        objects = {
            name: item
            for name, item in getattr(base, field.name).items()
            if name not in removed
        }
        objects.update(getattr(change.upserts, field.name))
        merged[field.name] = objects
    return Fleet(**merged)


def digest_fleet(fleet: Fleet) -> str:
    """Return a digest of a configuration that does not depend on object order."""
    encoded = msgspec.json.encode(fleet, order="sorted")
    return xxhash.xxh3_128_hexdigest(encoded)
