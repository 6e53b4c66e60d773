"""Appends counted request outcomes to the log, one record per minute."""

import logging
from collections import deque
from dataclasses import dataclass, field

from lacewinglug.backing.log import LogClient
from lacewinglug.clock import Clock
from lacewinglug.errors import AppendOutcomeUnknownError, LogUnavailableError
from lacewinglug.metrics import Metrics
from lacewinglug.report.recorder import OutcomeRecorder
from lacewinglug.report.windows import (
    BURN_STREAM,
    WINDOW_S,
    BurnWindow,
    WindowKey,
    encode_burn_record,
)

MAX_PENDING_WINDOWS = 180
RETRY_INTERVAL_S = 5.0

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class BurnReporter:
    """Queues closed windows until the log accepts them.

    :param host: name of the host.
    :param incarnation: id of this run of the entry process.
    :param recorder: counts outcomes.
    :param log: client of the log.
    :param clock: source of time.
    :param metrics: counters.
    """

    host: str
    incarnation: str
    recorder: OutcomeRecorder
    log: LogClient
    clock: Clock
    metrics: Metrics
    _pending: deque[BurnWindow] = field(
        default_factory=lambda: deque(maxlen=MAX_PENDING_WINDOWS)
    )

    async def run(self) -> None:
        """Append a window at the end of each minute until cancelled."""
        while True:
            index = int(self.clock.wall_s()) // WINDOW_S
            await self.clock.sleep((index + 1) * WINDOW_S - self.clock.wall_s())
            self._close_window(index)
            await self._append_pending()

    async def flush(self) -> None:
        """Append the current window and the queued ones at shutdown."""
        self._close_window(int(self.clock.wall_s()) // WINDOW_S)
        await self._append_pending()

    def _close_window(self, index: int) -> None:
        if len(self._pending) == MAX_PENDING_WINDOWS:
            self.metrics.count("burn.windows_dropped")
        key = WindowKey(host=self.host, incarnation=self.incarnation, index=index)
        self._pending.append(BurnWindow(key=key, tallies=self.recorder.take()))

    async def _append_pending(self) -> None:
        """Append queued windows in order, keeping the rest at the first failure."""
        while self._pending:
            try:
                await self.log.append(BURN_STREAM, encode_burn_record(self._pending[0]))
            except AppendOutcomeUnknownError:
                # The retry may append the same window twice; readers count it once.
                self.metrics.count("burn.append_outcomes_unknown")
                return
            except LogUnavailableError:
                self.metrics.count("burn.append_failures")
                return
            self._pending.popleft()
            self.metrics.count("burn.windows")
