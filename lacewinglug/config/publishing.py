"""Publishes configurations on the log and reads back the verdict."""

from dataclasses import dataclass

from lacewinglug.authority.records import AnyRecord, ConfigPublished, encode_record
from lacewinglug.authority.replay import ControlState, Publication, replay_record
from lacewinglug.config.changes import diff_fleets, digest_fleet
from lacewinglug.config.objects import Fleet
from lacewinglug.errors import AppendOutcomeUnknownError
from lacewinglug.platform.log import CONTROL_STREAM, LogClient

READ_BACK_WAIT_S = 2.0
_READ_BACK_ATTEMPTS = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishResult:
    """What became of a publication.

    :param record_id: id of the publication, for asking again.
    :param publication: the verdict, None while it is not known.
    :param unchanged: nothing differs from the revision in force.
    """

    record_id: str
    publication: Publication | None
    unchanged: bool = False


async def read_state(log: LogClient) -> ControlState:
    """Replay the whole control stream as of now."""
    state = ControlState()
    await catch_up(log, state)
    return state


async def catch_up(log: LogClient, state: ControlState) -> None:
    """Replay all records that the state has not seen yet."""
    while True:
        reply = await log.read(CONTROL_STREAM, state.next_offset, wait_s=0.0)
        if not reply.records:
            return
        for record in reply.records:
            replay_record(state, record)


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
    settled = state.publications.get(record_id)
    if settled is not None:
        return PublishResult(record_id=record_id, publication=settled)
    base = state.revision if base_revision is None else base_revision
    change = diff_fleets(state.fleet, fleet)
    if change.is_empty():
        return PublishResult(record_id=record_id, publication=None, unchanged=True)
    record = ConfigPublished(
        record_id=record_id,
        as_of=state.next_offset,
        publisher=publisher,
        base_revision=base,
        change=change,
        digest=digest_fleet(fleet),
    )
    await append_record(log, record)
    return PublishResult(
        record_id=record_id, publication=await _read_verdict(log, state, record_id)
    )


async def append_record(log: LogClient, record: AnyRecord) -> None:
    """Append a record; a lost reply is settled by reading the log."""
    try:
        await log.append(CONTROL_STREAM, encode_record(record))
    except AppendOutcomeUnknownError:
        state = await read_state(log)
        if record.record_id not in state.seen:
            raise


async def _read_verdict(
    log: LogClient, state: ControlState, record_id: str
) -> Publication | None:
    """Return the verdict on a publication once its record is read back."""
    for _ in range(_READ_BACK_ATTEMPTS):
        await catch_up(log, state)
        publication = state.publications.get(record_id)
        if publication is not None:
            return publication
        reply = await log.read(
            CONTROL_STREAM, state.next_offset, wait_s=READ_BACK_WAIT_S
        )
        for record in reply.records:
            replay_record(state, record)
    return None
