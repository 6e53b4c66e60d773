"""Follows the control stream of the platform's log."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from lacewinglug.authority.replay import ControlState, replay_record
from lacewinglug.clock import Clock
from lacewinglug.errors import LogUnavailableError, RecordsExpiredError
from lacewinglug.metrics import Metrics
from lacewinglug.platform.log import CONTROL_STREAM, LogClient

RETRY_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class LogTail:
    """Owns the replayed state and keeps it up to date.

    :param log: client of the log.
    :param state: the replayed state.
    :param clock: source of time.
    :param wait_s: longest wait of one read, in seconds.
    :param on_change: called after records were applied.
    :param metrics: counters.
    """

    log: LogClient
    state: ControlState
    clock: Clock
    wait_s: float
    on_change: Callable[[], None]
    metrics: Metrics
    reachable: bool = False

    async def run(self) -> None:
        """Read and replay until cancelled."""
        while True:
            try:
                await self._read_once()
            except (LogUnavailableError, RecordsExpiredError) as error:
                self.metrics.count("log.read_failures")
                self._set_reachable(False, str(error))
                await self.clock.sleep(RETRY_INTERVAL_S)

    async def _read_once(self) -> None:
        reply = await self.log.read(
            CONTROL_STREAM, self.state.next_offset, wait_s=self.wait_s
        )
        self._set_reachable(True, "")
        for record in reply.records:
            replay_record(self.state, record)
        if reply.records:
            self.metrics.count("log.records", len(reply.records))
            self.on_change()

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            logger.info("log reachable", extra={"offset": self.state.next_offset})
        else:
            logger.warning("log unreachable", extra={"reason": reason})
