"""The replayed state of one steward and the records that it hands to peers."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lacewinglug.authority.replay import adopt_state, digest_record, replay_record
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.log import StoredRecord

RECENT_RECORDS = 256
RECENT_BYTES = 512 * 1024
BATCH_BYTES = 128 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordBatch:
    """Consecutive records of the log, to be handed on.

    :param previous_digest: digest of the record before them.
    :param records: the records.
    """

    previous_digest: str
    records: list[StoredRecord]


@dataclass(frozen=True, kw_only=True, slots=True)
class _KeptRecord:
    """A record and the digest of the one before it."""

    previous_digest: str
    record: StoredRecord


@dataclass(kw_only=True)
class Replica:
    """Owns the replayed state, whoever hands the records in.

    :param state: the state.
    :param listeners: called after the state changed.
    :param conflicts: number of batches from peers that follow another record than
        the last one here.
    """

    state: ControlState
    listeners: list[Callable[[], None]] = field(default_factory=list)
    conflicts: int = 0
    _recent: deque[_KeptRecord] = field(default_factory=deque)
    _recent_bytes: int = 0

    def apply(self, records: Sequence[StoredRecord]) -> list[StoredRecord]:
        """Replay records and return those that were new.

        Records from before the state are ignored, and so are those after a gap.
        """
        fresh = []
        for record in records:
            previous_digest = self.state.last_digest
            if replay_record(self.state, record):
                fresh.append(record)
                self._remember(
                    _KeptRecord(previous_digest=previous_digest, record=record)
                )
        if fresh or self.state.halted:
            self._notify()
        return fresh

    def apply_batch(self, batch: RecordBatch) -> list[StoredRecord]:
        """Replay records that a peer handed on and return those that were new.

        They are refused when they follow another record than the last one here,
        since the peer then replayed another log.
        """
        digest = batch.previous_digest
        for index, record in enumerate(batch.records):
            if record.offset == self.state.next_offset:
                if digest != self.state.last_digest:
                    self.conflicts += 1
                    return []
                return self.apply(batch.records[index:])
            digest = digest_record(record.data)
        return []

    def adopt(self, newer: ControlState) -> bool:
        """Take over a newer state as a whole; an older one is ignored."""
        if not adopt_state(self.state, newer):
            return False
        self.forget_recent()
        return True

    def forget_recent(self) -> None:
        """Drop the kept records, after the state was taken over as a whole."""
        self._recent.clear()
        self._recent_bytes = 0
        self._notify()

    def halt(self, reason: str) -> None:
        """Apply nothing from now on."""
        self.state.halted = reason
        self._notify()

    def resume(self) -> None:
        """Apply records again."""
        self.state.halted = ""
        self._notify()

    def batch_from(self, offset: int) -> RecordBatch | None:
        """Return the next records from an offset, None when they are not held."""
        kept = [item for item in self._recent if item.record.offset >= offset]
        if not kept or kept[0].record.offset != offset:
            return None
        records: list[StoredRecord] = []
        size_bytes = 0
        for item in kept:
            size_bytes += len(item.record.data)
            if records and size_bytes > BATCH_BYTES:
                break
            records.append(item.record)
        return RecordBatch(previous_digest=kept[0].previous_digest, records=records)

    def _remember(self, item: _KeptRecord) -> None:
        """Keep a record for peers, within bounds of count and size."""
        self._recent.append(item)
        self._recent_bytes += len(item.record.data)
        while self._recent and (
            len(self._recent) > RECENT_RECORDS or self._recent_bytes > RECENT_BYTES
        ):
            self._recent_bytes -= len(self._recent.popleft().record.data)

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
