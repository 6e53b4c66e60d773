"""Replays the control stream into the state that every process agrees on.

The verdict on a record depends on the records before it and on nothing else.
"""

import copy
from collections.abc import Callable
from dataclasses import fields
from typing import TypeVar

import xxhash

from lacewinglug.authority.records import (
    AnyRecord,
    ConfigPublished,
    DrainChanged,
    HostReplaced,
    HostWithdrawn,
    SnapshotTaken,
    TenureClaimed,
    TenureReleased,
    UnreadableReason,
    decode_record,
)
from lacewinglug.authority.state import NO_TENURE, ControlState, Publication, Tenure
from lacewinglug.backing.log import StoredRecord
from lacewinglug.config.changes import apply_change, digest_fleet
from lacewinglug.config.objects import Fleet

__all__ = [
    "MEMORY_RECORDS",
    "NO_TENURE",
    "ControlState",
    "Publication",
    "Tenure",
    "adopt_state",
    "find_snapshot",
    "replay_record",
]

ValueT = TypeVar("ValueT")

MEMORY_RECORDS = 4096
"""Number of offsets for which ids and verdicts are remembered."""


def replay_record(state: ControlState, stored: StoredRecord) -> bool:
    """Apply the record at the state's next offset, in place.

    A record from before is ignored. One from beyond the next offset is not
    applied, since the records between are missing. A record that only a newer
    reader understands halts the replay.

    :returns: whether the record was consumed.
    """
    if stored.offset != state.next_offset or state.halted:
        return False
    record = decode_record(stored.data)
    if record is UnreadableReason.NEWER_VERSION:
        state.halted = (
            f"the record at offset {stored.offset} needs a newer version of "
            "lacewinglug; upgrade this host"
        )
        return False
    state.next_offset = stored.offset + 1
    state.last_digest = digest_record(stored.data)
    _forget_old(state)
    if isinstance(record, UnreadableReason):
        state.count_skipped(record.value)
    elif is_copy(state, record):
        state.count_skipped("copy")
    else:
        state.seen[record.record_id] = stored.offset
        _apply(state, record, stored.offset)
    return True


def digest_record(data: bytes) -> str:
    """Return the digest by which a record of the log is known again."""
    return xxhash.xxh3_64_hexdigest(data)


def is_copy(state: ControlState, record: AnyRecord) -> bool:
    """Return whether a record with the same id was applied."""
    return record.record_id in state.seen


def is_late(record: AnyRecord, offset: int) -> bool:
    """Return whether a copy of the record may have been forgotten by now."""
    return record.as_of > offset or offset - record.as_of > MEMORY_RECORDS


def _forget_old(state: ControlState) -> None:
    """Forget ids, verdicts and publishers that are too old to be asked for."""
    horizon = state.next_offset - 1 - MEMORY_RECORDS
    _drop_first(state.seen, lambda offset: offset < horizon)
    _drop_first(state.publications, lambda item: item.offset < horizon)
    while len(state.publishers) > MEMORY_RECORDS:
        del state.publishers[next(iter(state.publishers))]


def _drop_first(items: dict[str, ValueT], is_old: Callable[[ValueT], bool]) -> None:
    """Drop the items at the front of an ordered dict that are old."""
    while items:
        key = next(iter(items))
        if not is_old(items[key]):
            return
        del items[key]


def _apply(state: ControlState, record: AnyRecord, offset: int) -> None:
    """Apply a record that is not a copy."""
    if is_late(record, offset):
        state.count_skipped("late")
        if isinstance(record, ConfigPublished):
            _refuse(state, record, offset, refusal="late", revision=state.revision)
        return
    match record:
        case ConfigPublished():
            _apply_publication(state, record, offset)
        case TenureClaimed():
            _apply_claim(state, record, offset)
        case TenureReleased(domain=domain, tenure=tenure):
            current = state.tenures.get(domain)
            if current is not None and current.offset == tenure:
                del state.tenures[domain]
        case DrainChanged(target=target, draining=True):
            state.draining.add(target)
        case DrainChanged(target=target):
            state.draining.discard(target)
        case HostWithdrawn(target=target):
            state.withdrawn.add(target)
            state.draining.discard(target)
            _end_tenures(state, target)
        case HostReplaced(target=target, machine=machine):
            state.withdrawn.discard(target)
            state.draining.discard(target)
            state.machines[target] = machine
            _end_tenures(state, target)
        case SnapshotTaken():
            state.snapshot_offset = offset


def _end_tenures(state: ControlState, host: str) -> None:
    """End the tenures of a host whose machine is off."""
    for domain, tenure in list(state.tenures.items()):
        if tenure.host == host:
            del state.tenures[domain]


def _apply_publication(
    state: ControlState, record: ConfigPublished, offset: int
) -> None:
    """Make a publication the next revision when it is based on the current one."""
    if not is_on_current(state, record):
        known = record.base_revision < state.revision
        _refuse(
            state,
            record,
            offset,
            refusal="raced" if known else "unknown_base",
            revision=min(record.base_revision + 1, state.revision),
        )
        return
    fleet = apply_change(state.fleet, record.change)
    if not is_whole(fleet, record):
        _refuse(state, record, offset, refusal="digest", revision=state.revision)
        return
    state.revision += 1
    state.fleet = fleet
    state.publishers[state.revision] = record.publisher
    state.publications[record.record_id] = Publication(
        accepted=True,
        revision=state.revision,
        publisher=record.publisher,
        offset=offset,
        digest=record.digest,
    )


def is_on_current(state: ControlState, record: ConfigPublished) -> bool:
    """Return whether a publication is based on the revision in force."""
    return record.base_revision == state.revision


def is_whole(fleet: Fleet, record: ConfigPublished) -> bool:
    """Return whether a change gives the configuration that its publisher checked."""
    return digest_fleet(fleet) == record.digest


def _refuse(
    state: ControlState,
    record: ConfigPublished,
    offset: int,
    *,
    refusal: str,
    revision: int,
) -> None:
    """Note why a publication did not become a revision."""
    state.publications[record.record_id] = Publication(
        accepted=False,
        revision=revision,
        publisher=state.publishers.get(revision, ""),
        refusal=refusal,
        offset=offset,
        digest=record.digest,
    )


def _apply_claim(state: ControlState, record: TenureClaimed, offset: int) -> None:
    """Give the domain to a claimant that may have it."""
    if not is_in_service(state, record):
        return
    if not is_on_current_tenure(state, record):
        return
    if not may_pass(state.tenures.get(record.domain), record):
        return
    state.tenures[record.domain] = Tenure(
        host=record.host,
        incarnation=record.incarnation,
        offset=offset,
        machine=record.machine,
        exclusive=record.exclusive,
    )


def is_in_service(state: ControlState, record: TenureClaimed) -> bool:
    """Return whether the claimant runs on a machine that is in service."""
    if record.host in state.withdrawn:
        return False
    return state.machines.get(record.host, record.machine) == record.machine


def is_on_current_tenure(state: ControlState, record: TenureClaimed) -> bool:
    """Return whether a claim supersedes the tenure that is current at its place."""
    current = state.tenures.get(record.domain)
    return record.supersedes == (NO_TENURE if current is None else current.offset)


def may_pass(current: Tenure | None, record: TenureClaimed) -> bool:
    """Return whether a tenure may pass to a claimant without the holder's release.

    An exclusive one passes only to a process on the host and machine of the
    holder, which holds the host's control port and so has outlived it.
    """
    if current is None or not current.exclusive:
        return True
    return (current.host, current.machine) == (record.host, record.machine)


def find_snapshot(
    records: list[StoredRecord], *, first_offset: int
) -> ControlState | None:
    """Return the newest usable state of the snapshots among records.

    A snapshot is usable when the log still holds every record after those that
    it covers, and when it covers none that stands after itself.

    :param records: records as they stand in the log.
    :param first_offset: oldest offset that the log holds.
    """
    newest: ControlState | None = None
    for stored in records:
        record = decode_record(stored.data)
        if not isinstance(record, SnapshotTaken):
            continue
        covered = record.state.next_offset
        if not first_offset <= covered <= stored.offset or record.state.halted:
            continue
        if newest is None or covered > newest.next_offset:
            newest = record.state
    return newest


def adopt_state(state: ControlState, newer: ControlState) -> bool:
    """Take over a state that covers more records, in place.

    :returns: whether it was taken; one that covers no more records, or whose
        revision is older, is ignored, and so is any while the replay is halted.
    """
    if state.halted or newer.halted:
        return False
    if newer.next_offset <= state.next_offset or newer.revision < state.revision:
        return False
    for item in fields(ControlState):
        if item.name != "skipped":
            setattr(state, item.name, copy.copy(getattr(newer, item.name)))
    return True
