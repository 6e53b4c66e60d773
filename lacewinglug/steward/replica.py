"""Replayed state of a steward, with recent records for forwarding to peers."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lacewinglug.authority.replay import adopt_state, digest_record, replay_record
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.log import StoredRecord

MAX_RECENT_RECORDS = 256
MAX_RECENT_BYTES = 512 * 1024
MAX_BATCH_BYTES = 128 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordBatch:
    """Consecutive log records to forward to a peer.

    :param previous_digest: digest of the record that precedes the first one.
    :param records: the records.
    """

    previous_digest: str
    records: list[StoredRecord]


@dataclass(frozen=True, kw_only=True, slots=True)
class _RecentRecord:
    """A record and the digest of the preceding one."""

    previous_digest: str
    record: StoredRecord


@dataclass(kw_only=True)
class Replica:
    """Applies records from the log and from peers to the replayed state.

    :param state: the replayed state.
    :param listeners: called after each state change.
    :param conflict_count: number of batches from peers whose preceding record differs
        from the last record applied here.
    """

    state: ControlState
    listeners: list[Callable[[], None]] = field(default_factory=list)
    conflict_count: int = 0
    _recent: deque[_RecentRecord] = field(default_factory=deque)
    _recent_bytes: int = 0

    def apply(self, records: Sequence[StoredRecord]) -> list[StoredRecord]:
        """Replay records and return the new ones.

        Ignores records that were already applied and records that follow a gap.
        """
        new_records = []
        for record in records:
            previous_digest = self.state.last_digest
            if replay_record(self.state, record):
                new_records.append(record)
                self._keep_recent(
                    _RecentRecord(previous_digest=previous_digest, record=record)
                )
        if new_records or self.state.halted:
            self._notify()
        return new_records

    def apply_batch(self, batch: RecordBatch) -> list[StoredRecord]:
        """Replay records that a peer forwarded and return the new ones.

        The batch is rejected when the record before its first new one differs from
        the last record applied here: the peer then replayed a different log.
        """
        digest = batch.previous_digest
        for index, record in enumerate(batch.records):
            if record.offset == self.state.next_offset:
                if digest != self.state.last_digest:
                    self.conflict_count += 1
                    return []
                return self.apply(batch.records[index:])
            digest = digest_record(record.data)
        return []

    def adopt_newer(self, newer: ControlState) -> bool:
        """Replace the state by a newer one; ignore an older one and return False."""
        if not adopt_state(self.state, newer):
            return False
        self.clear_recent_records()
        return True

    def clear_recent_records(self) -> None:
        """Discard the recent records after the whole state was replaced."""
        self._recent.clear()
        self._recent_bytes = 0
        self._notify()

    def halt(self, reason: str) -> None:
        """Stop applying records.

        :param reason: why, as shown to operators.
        """
        self.state.halted = reason
        self._notify()

    def resume(self) -> None:
        """Start applying records again after a halt."""
        self.state.halted = ""
        self._notify()

    def find_batch(self, offset: int) -> RecordBatch | None:
        """Return a batch from an offset, or None if its records are no longer kept."""
        recent = [item for item in self._recent if item.record.offset >= offset]
        if not recent or recent[0].record.offset != offset:
            return None
        records: list[StoredRecord] = []
        size_bytes = 0
        for item in recent:
            size_bytes += len(item.record.data)
            if records and size_bytes > MAX_BATCH_BYTES:
                break
            records.append(item.record)
        return RecordBatch(previous_digest=recent[0].previous_digest, records=records)

    def _keep_recent(self, item: _RecentRecord) -> None:
        """Keep a record for peers, within the limits on count and total size."""
        self._recent.append(item)
        self._recent_bytes += len(item.record.data)
        while self._recent and (
            len(self._recent) > MAX_RECENT_RECORDS
            or self._recent_bytes > MAX_RECENT_BYTES
        ):
            self._recent_bytes -= len(self._recent.popleft().record.data)

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
