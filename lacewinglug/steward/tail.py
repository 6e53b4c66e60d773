"""Follows the control stream of the platform's log."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from lacewinglug.authority.reading import check_log, restore_snapshot
from lacewinglug.backing.log import CONTROL_STREAM, LogClient, ReadReply, StoredRecord
from lacewinglug.clock import Clock
from lacewinglug.errors import (
    LogRewoundError,
    PlatformError,
    RecordsExpiredError,
)
from lacewinglug.metrics import Metrics
from lacewinglug.steward.replica import Replica

RETRY_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class LogTail:
    """Keeps the replica up to date with the log.

    Each time that the log is reached anew, or a peer replayed another log, the
    last record of the replica is compared with the log's. While they differ, or
    the log ends before what was read from it, the replica is halted: its
    configuration stays in force, and neither records nor authority are taken.

    :param log: client of the log.
    :param replica: the replayed state.
    :param clock: source of time.
    :param wait_s: longest wait of one read, in seconds.
    :param on_records: called with new records, to hand them to peers.
    :param metrics: counters.
    """

    log: LogClient
    replica: Replica
    clock: Clock
    wait_s: float
    metrics: Metrics
    on_records: Callable[[list[StoredRecord]], None] = lambda records: None
    reachable: bool = False
    _checked: bool = False
    _read_to: int = 0
    _rewound: bool = False
    _conflicts: int = 0

    async def run(self) -> None:
        """Read and replay until cancelled."""
        while True:
            if not await self.read_once():
                await self.clock.sleep(RETRY_INTERVAL_S)

    async def read_once(self) -> bool:
        """Read once; return whether to read on without a pause."""
        state = self.replica.state
        if self.replica.conflicts != self._conflicts:
            self._conflicts = self.replica.conflicts
            self._checked = False
            self.metrics.count("log.peer_conflicts")
        try:
            if not self._checked and not await self._check():
                return False
            offset = state.next_offset
            reply = await self.log.read(CONTROL_STREAM, offset, wait_s=self.wait_s)
            self._set_reachable(True, "")
            return self._apply(reply, offset)
        except RecordsExpiredError as error:
            return await self._restore(error.first_offset)
        except LogRewoundError as error:
            self._halt(error)
        except PlatformError as error:
            self._note_failure(error)
        return False

    async def _check(self) -> bool:
        """Compare the replica's last record with the log's."""
        check = await check_log(self.log, self.replica.state)
        if check.is_behind:
            if self._read_to >= self.replica.state.next_offset:
                raise LogRewoundError(offset=self.replica.state.next_offset - 1)
            self.metrics.count("log.behind_peers")
            return False
        self._checked = True
        if self._rewound:
            self._rewound = False
            self.replica.resume()
            logger.info("log is whole again")
        return True

    def _apply(self, reply: ReadReply, offset: int) -> bool:
        """Replay the records of a reply; return whether all is well."""
        if 0 <= reply.end_offset < offset:
            self._checked = False
            return False
        if reply.records and reply.records[0].offset != offset:
            raise LogRewoundError(offset=offset)
        fresh = self.replica.apply(reply.records)
        self._read_to = max(self._read_to, offset + len(reply.records))
        if fresh:
            self.metrics.count("log.records", len(fresh))
            self.on_records(fresh)
        if self.replica.state.halted:
            self.metrics.count("log.halted_reads")
            return False
        return True

    async def _restore(self, first_offset: int) -> bool:
        """Continue from a snapshot, since the wanted records expired."""
        try:
            await restore_snapshot(
                self.log, self.replica.state, first_offset=first_offset
            )
        except PlatformError as error:
            self._note_failure(error)
            return False
        self.metrics.count("log.snapshots_loaded")
        self.replica.forget_recent()
        return True

    def _halt(self, error: LogRewoundError) -> None:
        """Stop applying records until the log holds again what was read."""
        self.metrics.count("log.rewound")
        self._checked = False
        if not self._rewound:
            self._rewound = True
            logger.error("log lost records", extra={"reason": str(error)})
            self.replica.halt(str(error))

    def _note_failure(self, error: PlatformError) -> None:
        self.metrics.count("log.read_failures")
        self._checked = False
        self._set_reachable(False, str(error))

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        offset = self.replica.state.next_offset
        if reachable:
            logger.info("log reachable", extra={"offset": offset})
        else:
            logger.warning("log unreachable", extra={"reason": reason})
