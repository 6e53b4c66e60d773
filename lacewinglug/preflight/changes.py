"""Differences between two versions of the configuration, by object."""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from lacewinglug.host.model import Configuration


class ChangeKind(Enum):
    """What happened to an object."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A difference of one object.

    :param kind: what happened to it.
    :param subject: the object, with its kind.
    :param changed_fields: names of the fields that differ.
    """

    kind: ChangeKind
    subject: str
    changed_fields: tuple[str, ...] = ()


def find_changes(configuration: Configuration, in_force: Configuration) -> list[Change]:
    """Return the differences from the version in force, by kind and name of object."""
    changes = []
    for kind in ("route", "service", "organisation", "limits"):
        before = _objects(in_force, kind)
        after = _objects(configuration, kind)
        changes += _compare(kind, before, after)
    return changes


def _objects(configuration: Configuration, kind: str) -> Mapping[str, Any]:
    match kind:
        case "route":
            return {item.name: item for item in configuration.routes}
        case "service":
            return configuration.services
        case "organisation":
            return configuration.organisations.organisations
        case _:
            return {} if configuration.limits is None else {"": configuration.limits}


def _compare(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> list[Change]:
    changes = []
    for name in sorted(before.keys() | after.keys()):
        subject = f"{kind} {name}".strip()
        if name not in before:
            changes.append(Change(kind=ChangeKind.ADDED, subject=subject))
        elif name not in after:
            changes.append(Change(kind=ChangeKind.REMOVED, subject=subject))
        elif before[name] != after[name]:
            changed = tuple(
                item.name
                for item in fields(after[name])
                if getattr(before[name], item.name) != getattr(after[name], item.name)
            )
            changes.append(
                Change(kind=ChangeKind.CHANGED, subject=subject, changed_fields=changed)
            )
    return changes
