"""Publishes configurations on the log and reads back the verdict."""

from dataclasses import dataclass

from lacewinglug.authority.reading import catch_up, read_state
from lacewinglug.authority.records import (
    MAX_RECORD_BYTES,
    AnyRecord,
    ConfigPublished,
    encode_record,
)
from lacewinglug.authority.state import ControlState, Publication
from lacewinglug.backing.log import CONTROL_STREAM, LogClient
from lacewinglug.config.changes import diff_fleets, digest_fleet
from lacewinglug.config.objects import Fleet
from lacewinglug.errors import (
    AppendOutcomeUnknownError,
    LogUnavailableError,
    UserError,
)

__all__ = ["PublishResult", "append_record", "publish_fleet", "read_state"]

READ_BACK_WAIT_S = 2.0
_READ_BACK_ATTEMPTS = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishResult:
    """What became of a publication.

    :param record_id: id of the publication, for asking again.
    :param base_revision: revision that it is based on.
    :param publication: the verdict, None while it is not known.
    :param unchanged: nothing differs from the revision in force.
    :param differs: the publication of that id holds another configuration.
    """

    record_id: str
    base_revision: int
    publication: Publication | None
    unchanged: bool = False
    differs: bool = False


async def publish_fleet(
    log: LogClient,
    fleet: Fleet,
    *,
    record_id: str,
    publisher: str,
    base_revision: int | None = None,
) -> PublishResult:
    """Publish a configuration and return the verdict read back from the log.

    Calling it again with the same ``record_id`` settles an earlier call whose
    outcome is unknown; the configuration takes effect once at most.

    :param log: client of the log.
    :param fleet: the checked configuration.
    :param record_id: unique id of this publication.
    :param publisher: name of the operator.
    :param base_revision: revision that the change is based on, None for the
        newest.
    """
    state = await read_state(log)
    base = state.revision if base_revision is None else base_revision
    settled = state.publications.get(record_id)
    if settled is not None:
        return _make_result(record_id, base, settled, fleet)
    change = diff_fleets(state.fleet, fleet)
    if change.is_empty():
        return PublishResult(
            record_id=record_id, base_revision=base, publication=None, unchanged=True
        )
    record = ConfigPublished(
        record_id=record_id,
        as_of=state.next_offset,
        publisher=publisher,
        base_revision=base,
        change=change,
        digest=digest_fleet(fleet),
    )
    try:
        await append_record(log, record)
        publication = await _read_verdict(log, state, record_id)
    except AppendOutcomeUnknownError:
        publication = None
    return _make_result(record_id, base, publication, fleet)


def _make_result(
    record_id: str, base: int, publication: Publication | None, fleet: Fleet
) -> PublishResult:
    return PublishResult(
        record_id=record_id,
        base_revision=base,
        publication=publication,
        differs=publication is not None and publication.digest != digest_fleet(fleet),
    )


async def append_record(log: LogClient, record: AnyRecord) -> None:
    """Append a record; a lost reply is settled by reading the log.

    :raises AppendOutcomeUnknownError: the log does not show the record yet.
    :raises LogUnavailableError: the record was not appended.
    """
    data = encode_record(record)
    if len(data) > MAX_RECORD_BYTES:
        raise UserError(
            f"the record takes {len(data)} bytes of {MAX_RECORD_BYTES} at most; "
            "publish the change in parts"
        )
    try:
        await log.append(CONTROL_STREAM, data)
    except AppendOutcomeUnknownError as unknown:
        try:
            state = await read_state(log)
        except LogUnavailableError:
            raise unknown from None
        if record.record_id not in state.seen:
            raise


async def _read_verdict(
    log: LogClient, state: ControlState, record_id: str
) -> Publication | None:
    """Return the verdict on a publication once its record is read back."""
    for _ in range(_READ_BACK_ATTEMPTS):
        try:
            await catch_up(log, state)
            publication = state.publications.get(record_id)
            if publication is not None:
                return publication
            await log.read(CONTROL_STREAM, state.next_offset, wait_s=READ_BACK_WAIT_S)
        except LogUnavailableError:
            return None
    return None
