"""Reads the control stream of the log into a state, from a snapshot if needed."""

from dataclasses import dataclass

from lacewinglug.authority.replay import (
    ControlState,
    adopt_state,
    digest_record,
    find_snapshot,
    replay_record,
)
from lacewinglug.backing.log import CONTROL_STREAM, LogClient, ReadReply, StoredRecord
from lacewinglug.errors import (
    LogRewoundError,
    RecordsExpiredError,
    SnapshotMissingError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class LogCheck:
    """What the log was found to hold of a state's records.

    :param behind: whether it ends before the state, as a lagging copy does.
    """

    behind: bool


async def read_state(log: LogClient) -> ControlState:
    """Replay the whole control stream as of now."""
    state = ControlState()
    await catch_up(log, state)
    return state


async def catch_up(log: LogClient, state: ControlState) -> None:
    """Replay all records that the state has not seen yet.

    :raises LogRewoundError: the log lost records.
    :raises SnapshotMissingError: records expired and no snapshot covers them.
    """
    while True:
        try:
            reply = await log.read(CONTROL_STREAM, state.next_offset, wait_s=0.0)
        except RecordsExpiredError as error:
            await restore_state(log, state, first_offset=error.first_offset)
            continue
        if not reply.records or state.halted:
            return
        replay_reply(state, reply)


def replay_reply(state: ControlState, reply: ReadReply) -> None:
    """Replay the records of a read that began at the state's next offset."""
    expected = state.next_offset
    for record in reply.records:
        if record.offset != expected:
            raise LogRewoundError(offset=expected)
        replay_record(state, record)
        expected += 1


async def restore_state(
    log: LogClient, state: ControlState, *, first_offset: int
) -> None:
    """Take over the newest snapshot that the log can continue.

    :param log: client of the log.
    :param state: changed in place.
    :param first_offset: oldest offset that the log holds.
    :raises SnapshotMissingError: no snapshot continues the state.
    :raises RecordsExpiredError: records expired while they were read.
    """
    try:
        snapshot = await _read_snapshot(log, first_offset)
    except RecordsExpiredError as error:
        snapshot = await _read_snapshot(log, error.first_offset)
    if snapshot is None or not adopt_state(state, snapshot):
        raise SnapshotMissingError(first_offset=first_offset)


async def _read_snapshot(log: LogClient, first_offset: int) -> ControlState | None:
    """Return the newest usable snapshot of the stream."""
    newest: ControlState | None = None
    offset = first_offset
    while True:
        reply = await log.read(CONTROL_STREAM, offset, wait_s=0.0)
        if not reply.records:
            return newest
        newest = find_snapshot(reply.records, first_offset=first_offset) or newest
        offset = reply.records[-1].offset + 1


async def check_log(log: LogClient, state: ControlState) -> LogCheck:
    """Check that the log still holds the last record of the state as it was.

    :raises LogRewoundError: another record stands in its place.
    """
    if state.next_offset == 0:
        return LogCheck(behind=False)
    offset = state.next_offset - 1
    try:
        reply = await log.read(CONTROL_STREAM, offset, wait_s=0.0)
    except RecordsExpiredError:
        return LogCheck(behind=False)
    if not reply.records:
        return LogCheck(behind=True)
    if not is_continuation(state, reply.records[0]):
        raise LogRewoundError(offset=offset)
    return LogCheck(behind=False)


def is_continuation(state: ControlState, record: StoredRecord) -> bool:
    """Return whether a record is the last one that the state replayed."""
    same_offset = record.offset == state.next_offset - 1
    return same_offset and digest_record(record.data) == state.last_digest
