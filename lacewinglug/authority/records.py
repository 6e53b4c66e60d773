"""Records of the control stream."""

from enum import Enum

import msgspec

from lacewinglug.authority.state import ControlState
from lacewinglug.config.changes import FleetChange

READER_VERSION = 1
MAX_RECORD_BYTES = 16 * 1024 * 1024


class ControlRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=True
):
    """Base of all records of the control stream.

    :param record_id: unique id, the same in every copy of the record.
    :param as_of: ``next_offset`` of the state that the writer acted on. A record
        that lands too far behind it is void.
    :param reader_version: lowest version of a reader that may pass over the
        record; an older reader halts.
    """

    record_id: str
    as_of: int
    reader_version: int = READER_VERSION


class ConfigPublished(ControlRecord, frozen=True, kw_only=True, tag="config_published"):
    """A new revision of the configuration.

    :param publisher: who published it.
    :param base_revision: revision that the change is based on.
    :param change: what changes against the base.
    :param digest: digest of the whole configuration after the change.
    """

    publisher: str
    base_revision: int
    change: FleetChange
    digest: str


class TenureClaimed(ControlRecord, frozen=True, kw_only=True, tag="tenure_claimed"):
    """A claim of the authority over one order domain.

    :param domain: name of the order domain.
    :param host: host of the claimant.
    :param incarnation: run of the claimant's process.
    :param supersedes: offset of the tenure that it ends, -1 for none.
    :param machine: machine that carries the host's name.
    :param exclusive: whether the tenure may only pass by release, by withdrawal
        of the host or to a new incarnation on the same host and machine; needed
        for orders to runners that do not check fencing numbers.
    """

    domain: str
    host: str
    incarnation: str
    supersedes: int
    machine: str = ""
    exclusive: bool = False


class TenureReleased(ControlRecord, frozen=True, kw_only=True, tag="tenure_released"):
    """The end of a tenure by its holder.

    :param domain: name of the order domain.
    :param tenure: offset of the tenure.
    """

    domain: str
    tenure: int


class DrainChanged(ControlRecord, frozen=True, kw_only=True, tag="drain_changed"):
    """An operator's drain of a host or runner, or the end of it.

    :param target: name of the host or runner.
    :param draining: whether it gets no new work.
    :param operator: who asked for it.
    """

    target: str
    draining: bool
    operator: str


class HostWithdrawn(ControlRecord, frozen=True, kw_only=True, tag="host_withdrawn"):
    """An operator's word that a host or runner is gone and holds nothing.

    :param target: name of the host or runner.
    :param operator: who withdrew it.
    """

    target: str
    operator: str


class HostReplaced(ControlRecord, frozen=True, kw_only=True, tag="host_replaced"):
    """An operator's word that another machine carries the name of a host or runner.

    The machine that carried it before is off: its tenures end, and its claims
    are void from here on.

    :param target: name of the host or runner.
    :param machine: the new machine.
    :param operator: who replaced it.
    """

    target: str
    machine: str
    operator: str


class SnapshotTaken(ControlRecord, frozen=True, kw_only=True, tag="snapshot_taken"):
    """The whole state as of an offset, for readers whose records expired.

    :param state: the state; it covers the records before its ``next_offset``.
    """

    state: ControlState


AnyRecord = (
    ConfigPublished
    | TenureClaimed
    | TenureReleased
    | DrainChanged
    | HostWithdrawn
    | HostReplaced
    | SnapshotTaken
)


class UnreadableReason(Enum):
    """Why a record cannot be read."""

    OVERSIZED = "oversized"
    UNDECODABLE = "undecodable"
    UNKNOWN_KIND = "unknown_kind"
    NEWER_VERSION = "newer_version"


class _RecordHead(msgspec.Struct, frozen=True, kw_only=True):
    kind: str
    reader_version: int = READER_VERSION


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyRecord)
_head_decoder = msgspec.json.Decoder(_RecordHead)
_KINDS = frozenset(str(kind.__struct_config__.tag) for kind in AnyRecord.__args__)


def encode_record(record: AnyRecord) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> AnyRecord | UnreadableReason:
    """Return a record, or why the bytes are not one."""
    if len(data) > MAX_RECORD_BYTES:
        return UnreadableReason.OVERSIZED
    try:
        head = _head_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return UnreadableReason.UNDECODABLE
    if head.reader_version > READER_VERSION:
        return UnreadableReason.NEWER_VERSION
    if head.kind not in _KINDS:
        return UnreadableReason.UNKNOWN_KIND
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return UnreadableReason.UNDECODABLE
