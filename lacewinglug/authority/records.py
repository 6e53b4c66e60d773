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

    :param record_id: unique id, shared by all duplicates of the record.
    :param as_of: ``next_offset`` of the state from which the writer derived the
        record. The record is ignored if it is appended too far after it.
    :param reader_version: minimum reader version that may skip the record; an
        older reader halts.
    """

    record_id: str
    as_of: int
    reader_version: int = READER_VERSION


class ConfigPublished(ControlRecord, frozen=True, kw_only=True, tag="config_published"):
    """A new revision of the configuration.

    :param publisher: name of the publisher.
    :param base_revision: revision that the change applies to.
    :param change: difference from the base revision.
    :param digest: digest of the complete configuration after the change.
    """

    publisher: str
    base_revision: int
    change: FleetChange
    digest: str


class TenureClaimed(ControlRecord, frozen=True, kw_only=True, tag="tenure_claimed"):
    """A claim of the tenure of an order domain.

    :param domain: name of the order domain.
    :param host: host of the claimant.
    :param incarnation: incarnation of the claimant's process.
    :param supersedes: offset of the tenure that the claim replaces, -1 for none.
    :param machine: machine that has the host's name.
    :param exclusive: whether the tenure ends only by release, by withdrawal or
        replacement of the host, or by a new incarnation on the same host and
        machine; required for runners that do not check fencing numbers.
    """

    domain: str
    host: str
    incarnation: str
    supersedes: int
    machine: str = ""
    exclusive: bool = False


class TenureReleased(ControlRecord, frozen=True, kw_only=True, tag="tenure_released"):
    """The release of a tenure by its holder.

    :param domain: name of the order domain.
    :param tenure: offset of the tenure.
    """

    domain: str
    tenure: int


class DrainChanged(ControlRecord, frozen=True, kw_only=True, tag="drain_changed"):
    """The start or end of a drain of a host or runner.

    :param target: name of the host or runner.
    :param draining: whether the target stops receiving new work.
    :param operator: name of the operator.
    """

    target: str
    draining: bool
    operator: str


class HostWithdrawn(ControlRecord, frozen=True, kw_only=True, tag="host_withdrawn"):
    """A declaration that a host or runner is down and holds no tenure.

    :param target: name of the host or runner.
    :param operator: name of the operator.
    """

    target: str
    operator: str


class HostReplaced(ControlRecord, frozen=True, kw_only=True, tag="host_replaced"):
    """A declaration that another machine now has the name of a host or runner.

    It asserts that the previous machine is off: its tenures end, and its later
    claims are ignored.

    :param target: name of the host or runner.
    :param machine: the new machine.
    :param operator: name of the operator.
    """

    target: str
    machine: str
    operator: str


class SnapshotTaken(ControlRecord, frozen=True, kw_only=True, tag="snapshot_taken"):
    """A snapshot of the state, for readers that need expired records.

    :param state: the state after all records before its ``next_offset``.
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
    """The reason why a record could not be decoded."""

    OVERSIZED = "oversized"
    UNDECODABLE = "undecodable"
    UNKNOWN_KIND = "unknown_kind"
    NEWER_VERSION = "newer_version"


class _RecordHeader(msgspec.Struct, frozen=True, kw_only=True):
    kind: str
    reader_version: int = READER_VERSION


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyRecord)
_head_decoder = msgspec.json.Decoder(_RecordHeader)
_KINDS = frozenset(str(kind.__struct_config__.tag) for kind in AnyRecord.__args__)


def encode_record(record: AnyRecord) -> bytes:
    """Encode a record as JSON."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> AnyRecord | UnreadableReason:
    """Decode a record, or return the reason why that is not possible."""
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
