"""Aggregates the burn stream, so that a report reads one record per hour."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.backing.log import LogClient
from lacewinglug.clock import Clock
from lacewinglug.errors import LogUnavailableError
from lacewinglug.metrics import Metrics
from lacewinglug.report.ledger import BurnLedger
from lacewinglug.report.reading import BurnReader
from lacewinglug.report.windows import FOLD_S, FOLD_STREAM, encode_burn_record

FOLD_INTERVAL_S = 600.0
RETAINED_HOURS = 2

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class BurnFolder:
    """Aggregates the burn windows of each hour into a record called a fold.

    Folds appended by several processes are harmless: each lists the windows that it
    contains.

    :param log: client of the log.
    :param holds_tenure: returns whether this process holds the upkeep tenure.
    :param clock: source of time.
    :param metrics: counters.
    """

    log: LogClient
    holds_tenure: Callable[[], bool]
    clock: Clock
    metrics: Metrics
    _ledger: BurnLedger = field(default_factory=BurnLedger)

    async def run(self) -> None:
        """Fold completed hours until cancelled."""
        reader = BurnReader(log=self.log, ledger=self._ledger)
        while True:
            await self.clock.sleep(FOLD_INTERVAL_S)
            if not self.holds_tenure():
                continue
            try:
                await self.fold_once(reader)
            except LogUnavailableError:
                self.metrics.count("burn.fold_failures")

    async def fold_once(self, reader: BurnReader) -> None:
        """Append a fold for each recent completed hour that has unfolded windows."""
        hour_now = int(self.clock.wall_s()) // FOLD_S
        reader.kept_from_hour = hour_now - RETAINED_HOURS
        await reader.catch_up()
        for hour in self._ledger.hours_to_fold(before_hour=hour_now):
            fold = self._ledger.make_fold(hour, through_offset=reader.next_window)
            if fold is None:
                continue
            await self.log.append(FOLD_STREAM, encode_burn_record(fold))
            self._ledger.apply(fold)
            self.metrics.count("burn.folds")
