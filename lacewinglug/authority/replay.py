"""Replays the control stream into a state that is the same in every process.

Replay is deterministic: the effect of a record depends only on the records before it.
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
    "DEDUP_WINDOW_RECORDS",
    "NO_TENURE",
    "ControlState",
    "Publication",
    "Tenure",
    "adopt_state",
    "find_newest_snapshot",
    "replay_record",
]

ValueT = TypeVar("ValueT")

DEDUP_WINDOW_RECORDS = 4096
"""Number of offsets for which record ids and outcomes of publications are kept."""


def replay_record(state: ControlState, stored: StoredRecord) -> bool:
    """Apply a record to the state in place, if it is at the next offset.

    A record at a lower offset was already replayed. One at a higher offset is not
    applied because the records in between are missing. A record that requires a
    newer reader halts the replay.

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
    _evict_old_entries(state)
    if isinstance(record, UnreadableReason):
        state.count_skipped(record.value)
    elif is_duplicate(state, record):
        state.count_skipped("copy")
    else:
        state.seen[record.record_id] = stored.offset
        _apply(state, record, stored.offset)
    return True


def digest_record(data: bytes) -> str:
    """Return the digest that identifies the content of a record."""
    return xxhash.xxh3_64_hexdigest(data)


def is_duplicate(state: ControlState, record: AnyRecord) -> bool:
    """Return whether a record with the same id was already replayed."""
    return record.record_id in state.seen


def is_outside_dedup_window(record: AnyRecord, offset: int) -> bool:
    """Return whether an earlier duplicate of the record may be undetectable.

    Such a record is ignored: its id may have been evicted since it was written, or
    it claims to derive from a state that did not exist yet at its offset.
    """
    return record.as_of > offset or offset - record.as_of > DEDUP_WINDOW_RECORDS


def _evict_old_entries(state: ControlState) -> None:
    """Evict record ids, publications and publishers outside of the window."""
    oldest_kept = state.next_offset - 1 - DEDUP_WINDOW_RECORDS
    _evict_first_while(state.seen, lambda offset: offset < oldest_kept)
    _evict_first_while(state.publications, lambda item: item.offset < oldest_kept)
    while len(state.publishers) > DEDUP_WINDOW_RECORDS:
        del state.publishers[next(iter(state.publishers))]


def _evict_first_while(
    items: dict[str, ValueT], is_old: Callable[[ValueT], bool]
) -> None:
    """Delete items from the front of an ordered dict while they are old."""
    while items:
        key = next(iter(items))
        if not is_old(items[key]):
            return
        del items[key]


def _apply(state: ControlState, record: AnyRecord, offset: int) -> None:
    """Apply a record that is not a duplicate."""
    if is_outside_dedup_window(record, offset):
        state.count_skipped("late")
        if isinstance(record, ConfigPublished):
            _record_refusal(
                state, record, offset, refusal="late", revision=state.revision
            )
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
            _end_tenures_of_host(state, target)
        case HostReplaced(target=target, machine=machine):
            state.withdrawn.discard(target)
            state.draining.discard(target)
            state.machines[target] = machine
            _end_tenures_of_host(state, target)
        case SnapshotTaken():
            state.snapshot_offset = offset


def _end_tenures_of_host(state: ControlState, host: str) -> None:
    """End the tenures of a host that was withdrawn or whose machine was replaced."""
    for domain, tenure in list(state.tenures.items()):
        if tenure.host == host:
            del state.tenures[domain]


def _apply_publication(
    state: ControlState, record: ConfigPublished, offset: int
) -> None:
    """Accept a publication as the next revision if it is based on the current one."""
    if not is_based_on_current_revision(state, record):
        known = record.base_revision < state.revision
        _record_refusal(
            state,
            record,
            offset,
            refusal="raced" if known else "unknown_base",
            revision=min(record.base_revision + 1, state.revision),
        )
        return
    fleet = apply_change(state.fleet, record.change)
    if not matches_digest(fleet, record):
        _record_refusal(
            state, record, offset, refusal="digest", revision=state.revision
        )
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


def is_based_on_current_revision(state: ControlState, record: ConfigPublished) -> bool:
    """Return whether a publication is based on the current revision."""
    return record.base_revision == state.revision


def matches_digest(fleet: Fleet, record: ConfigPublished) -> bool:
    """Return whether the result of a change has the digest given by its publisher."""
    return digest_fleet(fleet) == record.digest


def _record_refusal(
    state: ControlState,
    record: ConfigPublished,
    offset: int,
    *,
    refusal: str,
    revision: int,
) -> None:
    """Record why a publication was rejected."""
    state.publications[record.record_id] = Publication(
        accepted=False,
        revision=revision,
        publisher=state.publishers.get(revision, ""),
        refusal=refusal,
        offset=offset,
        digest=record.digest,
    )


def _apply_claim(state: ControlState, record: TenureClaimed, offset: int) -> None:
    """Grant the tenure of a domain to a claimant that is entitled to it."""
    if not is_claimant_in_service(state, record):
        return
    if not supersedes_current_tenure(state, record):
        return
    if not may_take_over(state.tenures.get(record.domain), record):
        return
    state.tenures[record.domain] = Tenure(
        host=record.host,
        incarnation=record.incarnation,
        offset=offset,
        machine=record.machine,
        exclusive=record.exclusive,
    )


def is_claimant_in_service(state: ControlState, record: TenureClaimed) -> bool:
    """Return whether the claimant runs on the current machine of a host in service."""
    if record.host in state.withdrawn:
        return False
    return state.machines.get(record.host, record.machine) == record.machine


def supersedes_current_tenure(state: ControlState, record: TenureClaimed) -> bool:
    """Return whether a claim replaces the tenure that is current at its offset."""
    current = state.tenures.get(record.domain)
    return record.supersedes == (NO_TENURE if current is None else current.offset)


def may_take_over(current: Tenure | None, record: TenureClaimed) -> bool:
    """Return whether a claimant may take over a tenure that was not released.

    An exclusive tenure passes only to a process on the holder's host and machine.
    That process has bound the host's control port, so the holder has ended.
    """
    if current is None or not current.exclusive:
        return True
    return (current.host, current.machine) == (record.host, record.machine)


def find_newest_snapshot(
    records: list[StoredRecord], *, first_offset: int
) -> ControlState | None:
    """Return the newest usable snapshot among records.

    A snapshot is usable if the log still holds every record after those that it
    covers, and if it covers no record that follows the snapshot itself.

    :param records: consecutive records of the log.
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


def adopt_state(state: ControlState, snapshot: ControlState) -> bool:
    """Replace a state in place by one that covers more records.

    :returns: whether the state was replaced. A state that covers no additional
        records or has an older revision is ignored, and so is any state while
        either replay is halted.
    """
    if state.halted or snapshot.halted:
        return False
    if snapshot.next_offset <= state.next_offset or snapshot.revision < state.revision:
        return False
    for item in fields(ControlState):
        if item.name != "skipped":
            setattr(state, item.name, copy.copy(getattr(snapshot, item.name)))
    return True
