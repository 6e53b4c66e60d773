"""The replayed state of one steward and the records that it hands to peers."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lacewinglug.authority.replay import adopt_state, replay_record
from lacewinglug.authority.state import ControlState
from lacewinglug.platform.log import StoredRecord

RECENT_RECORDS = 256
RECENT_BYTES = 512 * 1024
BATCH_BYTES = 128 * 1024


@dataclass(kw_only=True)
class Replica:
    """Owns the replayed state, whoever hands the records in.

    :param state: the state.
    :param listeners: called after the state changed.
    """

    state: ControlState
    listeners: list[Callable[[], None]] = field(default_factory=list)
    _recent: deque[StoredRecord] = field(default_factory=deque)
    _recent_bytes: int = 0

    def apply(self, records: Sequence[StoredRecord]) -> list[StoredRecord]:
        """Replay records and return those that were new.

        Records from before the state are ignored, and so are those after a gap.
        """
        fresh = [record for record in records if replay_record(self.state, record)]
        for record in fresh:
            self._remember(record)
        if fresh or self.state.halted:
            self._notify()
        return fresh

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

    def records_from(self, offset: int) -> list[StoredRecord] | None:
        """Return the next records from an offset, None when they are not held."""
        if not self._recent or offset < self._recent[0].offset:
            return None
        batch: list[StoredRecord] = []
        size_bytes = 0
        for record in self._recent:
            if record.offset < offset:
                continue
            size_bytes += len(record.data)
            if batch and size_bytes > BATCH_BYTES:
                break
            batch.append(record)
        return batch

    def _remember(self, record: StoredRecord) -> None:
        """Keep a record for peers, within bounds of count and size."""
        self._recent.append(record)
        self._recent_bytes += len(record.data)
        while self._recent and (
            len(self._recent) > RECENT_RECORDS or self._recent_bytes > RECENT_BYTES
        ):
            self._recent_bytes -= len(self._recent.popleft().data)

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
