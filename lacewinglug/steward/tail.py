"""Tails the control stream of the platform's log."""

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

    After every reconnect, and after a peer sent records of a different history, the
    last record of the replica is compared with the one in the log. While they
    differ, or while the log ends before the last offset read from it, the replica is
    halted: its configuration stays in force, and it applies no records and claims
    no tenures.

    :param log: client of the log.
    :param replica: the replayed state.
    :param clock: source of time.
    :param wait_s: long-poll timeout of one read, in seconds.
    :param on_records: called with new records, to forward them to peers.
    :param metrics: metric counters.
    :param reachable: whether the last read of the log succeeded.
    """

    log: LogClient
    replica: Replica
    clock: Clock
    wait_s: float
    metrics: Metrics
    on_records: Callable[[list[StoredRecord]], None] = lambda records: None
    reachable: bool = False
    _last_record_verified: bool = False
    _read_end_offset: int = 0
    _log_rewound: bool = False
    _handled_conflicts: int = 0

    async def run(self) -> None:
        """Read and replay records until cancelled."""
        while True:
            if not await self.read_once():
                await self.clock.sleep(RETRY_INTERVAL_S)

    async def read_once(self) -> bool:
        """Read once; return whether to read again without a delay."""
        state = self.replica.state
        if self.replica.conflict_count != self._handled_conflicts:
            self._handled_conflicts = self.replica.conflict_count
            self._last_record_verified = False
            self.metrics.count("log.peer_conflicts")
        try:
            if not self._last_record_verified and not await self._verify_last_record():
                return False
            offset = state.next_offset
            reply = await self.log.read(CONTROL_STREAM, offset, wait_s=self.wait_s)
            self._set_reachable(True, "")
            return self._apply_reply(reply, offset)
        except RecordsExpiredError as error:
            return await self._load_snapshot(error.first_offset)
        except LogRewoundError as error:
            self._halt_replica(error)
        except PlatformError as error:
            self._handle_read_failure(error)
        return False

    async def _verify_last_record(self) -> bool:
        """Compare the last record of the replica with the log; return whether to read.

        :raises LogRewoundError: the log holds a different record, or lost records
            that were read from it.
        """
        check = await check_log(self.log, self.replica.state)
        if check.is_behind:
            if self._read_end_offset >= self.replica.state.next_offset:
                raise LogRewoundError(offset=self.replica.state.next_offset - 1)
            self.metrics.count("log.behind_peers")
            return False
        self._last_record_verified = True
        if self._log_rewound:
            self._log_rewound = False
            self.replica.resume()
            logger.info("log contains the last replayed record again; resuming replay")
        return True

    def _apply_reply(self, reply: ReadReply, offset: int) -> bool:
        """Replay the records of a reply; return whether to read again without a delay.

        :raises LogRewoundError: the first record is not the requested one.
        """
        if 0 <= reply.end_offset < offset:
            self._last_record_verified = False
            return False
        if reply.records and reply.records[0].offset != offset:
            raise LogRewoundError(offset=offset)
        new_records = self.replica.apply(reply.records)
        self._read_end_offset = max(self._read_end_offset, offset + len(reply.records))
        if new_records:
            self.metrics.count("log.records", len(new_records))
            self.on_records(new_records)
        if self.replica.state.halted:
            self.metrics.count("log.halted_reads")
            return False
        return True

    async def _load_snapshot(self, first_offset: int) -> bool:
        """Restore the state from a snapshot after the requested records expired."""
        try:
            await restore_snapshot(
                self.log, self.replica.state, first_offset=first_offset
            )
        except PlatformError as error:
            self._handle_read_failure(error)
            return False
        self.metrics.count("log.snapshots_loaded")
        self.replica.clear_recent_records()
        return True

    def _halt_replica(self, error: LogRewoundError) -> None:
        """Stop applying records until the log contains the last replayed one again."""
        self.metrics.count("log.rewound")
        self._last_record_verified = False
        if not self._log_rewound:
            self._log_rewound = True
            logger.error("log lost records", extra={"reason": str(error)})
            self.replica.halt(str(error))

    def _handle_read_failure(self, error: PlatformError) -> None:
        self.metrics.count("log.read_failures")
        self._last_record_verified = False
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
