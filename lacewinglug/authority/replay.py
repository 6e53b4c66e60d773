"""Replays the control stream into the state that every process agrees on."""

from dataclasses import dataclass, field

from lacewinglug.authority.records import (
    AnyRecord,
    ConfigPublished,
    DrainChanged,
    HostWithdrawn,
    TenureClaimed,
    TenureReleased,
    decode_record,
)
from lacewinglug.config.changes import apply_change, digest_fleet
from lacewinglug.config.objects import Fleet
from lacewinglug.platform.log import StoredRecord

NO_TENURE = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """The authority of one process over an order domain.

    :param host: host of the holder.
    :param incarnation: run of the holder's process.
    :param offset: offset of its claim, the fencing number of its orders.
    """

    host: str
    incarnation: str
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Publication:
    """The verdict on one publication.

    :param accepted: whether it became a revision.
    :param revision: the revision that it became, or the one in its way.
    :param publisher: who published that revision.
    """

    accepted: bool
    revision: int
    publisher: str


@dataclass(kw_only=True, slots=True)
class ControlState:
    """What the records up to ``next_offset`` mean.

    :param next_offset: offset of the next record to apply.
    :param revision: revision of the configuration in force, 0 for none.
    :param fleet: the configuration in force.
    :param publishers: publisher of each revision.
    :param publications: verdict on each publication by record id.
    :param tenures: current tenure of each order domain.
    :param draining: hosts and runners that get no new work.
    :param withdrawn: hosts and runners that an operator withdrew.
    :param seen: ids of the records applied.
    :param undecodable: number of records that were skipped as unreadable.
    """

    next_offset: int = 0
    revision: int = 0
    fleet: Fleet = field(default_factory=Fleet)
    publishers: dict[int, str] = field(default_factory=dict)
    publications: dict[str, Publication] = field(default_factory=dict)
    tenures: dict[str, Tenure] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)
    withdrawn: set[str] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)
    undecodable: int = 0


def replay_record(state: ControlState, stored: StoredRecord) -> None:
    """Apply one stored record to the state, in place."""
    if stored.offset < state.next_offset:
        return
    state.next_offset = stored.offset + 1
    record = decode_record(stored.data)
    if record is None:
        state.undecodable += 1
        return
    if record.record_id in state.seen:
        return
    state.seen.add(record.record_id)
    _apply(state, record, stored.offset)


def _apply(state: ControlState, record: AnyRecord, offset: int) -> None:
    """Apply a record that is not a copy."""
    match record:
        case ConfigPublished():
            _apply_publication(state, record)
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
            state.withdrawn.discard(target)
        case HostWithdrawn(target=target):
            state.withdrawn.add(target)
            state.draining.discard(target)


def _apply_publication(state: ControlState, record: ConfigPublished) -> None:
    """Make a publication the next revision when it is based on the current one."""
    if record.base_revision != state.revision:
        winner = min(record.base_revision + 1, state.revision)
        state.publications[record.record_id] = Publication(
            accepted=False,
            revision=winner,
            publisher=state.publishers.get(winner, ""),
        )
        return
    fleet = apply_change(state.fleet, record.change)
    if digest_fleet(fleet) != record.digest:
        state.publications[record.record_id] = Publication(
            accepted=False, revision=state.revision, publisher=record.publisher
        )
        return
    state.revision += 1
    state.fleet = fleet
    state.publishers[state.revision] = record.publisher
    state.publications[record.record_id] = Publication(
        accepted=True, revision=state.revision, publisher=record.publisher
    )


def _apply_claim(state: ControlState, record: TenureClaimed, offset: int) -> None:
    """Give the domain to a claimant that supersedes its current tenure."""
    current = state.tenures.get(record.domain)
    current_offset = current.offset if current is not None else NO_TENURE
    if record.supersedes != current_offset or record.host in state.withdrawn:
        return
    state.tenures[record.domain] = Tenure(
        host=record.host, incarnation=record.incarnation, offset=offset
    )
