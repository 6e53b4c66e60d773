"""Records of the control stream."""

import msgspec

from lacewinglug.config.changes import FleetChange

_MAX_RECORD_BYTES = 16 * 1024 * 1024


class ControlRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=True
):
    """Base of all records of the control stream.

    :param record_id: unique id, the same in every copy of the record.
    """

    record_id: str


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
    """

    domain: str
    host: str
    incarnation: str
    supersedes: int


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


AnyRecord = (
    ConfigPublished | TenureClaimed | TenureReleased | DrainChanged | HostWithdrawn
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyRecord)


def encode_record(record: AnyRecord) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> AnyRecord | None:
    """Return a record, or None when the bytes are not one of a known kind."""
    if len(data) > _MAX_RECORD_BYTES:
        return None
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
