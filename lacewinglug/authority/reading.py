"""Builds the control state from the log, starting from a snapshot if necessary."""

from dataclasses import dataclass

from lacewinglug.authority.replay import (
    ControlState,
    adopt_state,
    digest_record,
    find_newest_snapshot,
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
    """Result of a comparison of the log with a replayed state.

    :param is_behind: whether the log ends before the state, as a lagging replica
        of the log does.
    """

    is_behind: bool


async def read_state(log: LogClient) -> ControlState:
    """Replay the control stream up to its current end."""
    state = ControlState()
    await catch_up(log, state)
    return state


async def catch_up(log: LogClient, state: ControlState) -> None:
    """Replay all records that follow the state.

    :raises LogRewoundError: the log lost records.
    :raises SnapshotMissingError: records expired and no snapshot covers them.
    """
    while True:
        try:
            reply = await log.read(CONTROL_STREAM, state.next_offset, wait_s=0.0)
        except RecordsExpiredError as error:
            await restore_snapshot(log, state, first_offset=error.first_offset)
            continue
        if not reply.records or state.halted:
            return
        replay_reply(state, reply)


def replay_reply(state: ControlState, reply: ReadReply) -> None:
    """Replay the result of a read that started at the state's next offset."""
    expected_offset = state.next_offset
    for record in reply.records:
        if record.offset != expected_offset:
            raise LogRewoundError(offset=expected_offset)
        replay_record(state, record)
        expected_offset += 1


async def restore_snapshot(
    log: LogClient, state: ControlState, *, first_offset: int
) -> None:
    """Load the newest snapshot after which the log still holds every record.

    The search is repeated once if records expire during it.

    :param log: client of the log.
    :param state: state to update in place.
    :param first_offset: oldest offset that the log holds.
    :raises SnapshotMissingError: no usable snapshot is newer than the state.
    :raises RecordsExpiredError: records expired again during the second search.
    """
    try:
        snapshot = await _read_newest_snapshot(log, first_offset)
    except RecordsExpiredError as error:
        snapshot = await _read_newest_snapshot(log, error.first_offset)
    if snapshot is None or not adopt_state(state, snapshot):
        raise SnapshotMissingError(first_offset=first_offset)


async def _read_newest_snapshot(
    log: LogClient, first_offset: int
) -> ControlState | None:
    """Read the stream to its end and return the newest usable snapshot."""
    newest: ControlState | None = None
    offset = first_offset
    while True:
        reply = await log.read(CONTROL_STREAM, offset, wait_s=0.0)
        if not reply.records:
            return newest
        newest = (
            find_newest_snapshot(reply.records, first_offset=first_offset) or newest
        )
        offset = reply.records[-1].offset + 1


async def check_log(log: LogClient, state: ControlState) -> LogCheck:
    """Check that the log still holds the last record that the state replayed.

    :raises LogRewoundError: the log has a different record at that offset.
    """
    if state.next_offset == 0:
        return LogCheck(is_behind=False)
    offset = state.next_offset - 1
    try:
        reply = await log.read(CONTROL_STREAM, offset, wait_s=0.0)
    except RecordsExpiredError:
        return LogCheck(is_behind=False)
    if not reply.records:
        return LogCheck(is_behind=True)
    if not is_last_record(state, reply.records[0]):
        raise LogRewoundError(offset=offset)
    return LogCheck(is_behind=False)


def is_last_record(state: ControlState, record: StoredRecord) -> bool:
    """Return whether a record is the last one that the state replayed."""
    same_offset = record.offset == state.next_offset - 1
    return same_offset and digest_record(record.data) == state.last_digest
