"""Reads the burn streams of the log into a ledger."""

from dataclasses import dataclass

from lacewinglug.backing.log import LogClient
from lacewinglug.errors import RecordsExpiredError
from lacewinglug.report.ledger import BurnLedger
from lacewinglug.report.windows import (
    BURN_STREAM,
    FOLD_STREAM,
    decode_burn_record,
)

MAX_WINDOWS_READ = 200_000
"""Newest windows that are read one by one; folds stand for the older ones."""

_UNREAD = -1


@dataclass(kw_only=True)
class BurnReader:
    """Owns a ledger and the places up to which the streams were read.

    :param log: client of the log.
    :param ledger: the counted answers.
    :param kept_from_hour: hours before this one are dropped while reading.
    :param next_window: offset to read windows from next.
    :param next_fold: offset to read folds from next.
    :param expired: whether records expired before they were read.
    """

    log: LogClient
    ledger: BurnLedger
    kept_from_hour: int = 0
    next_window: int = _UNREAD
    next_fold: int = 0
    expired: bool = False

    async def catch_up(self) -> None:
        """Read all records that are in the streams now."""
        if self.next_window == _UNREAD:
            self.next_window = await self._find_start()
        self.next_fold = await self._read_stream(FOLD_STREAM, self.next_fold)
        self.next_window = await self._read_stream(BURN_STREAM, self.next_window)

    async def _find_start(self) -> int:
        """Return the offset of the oldest window to read."""
        try:
            reply = await self.log.read(BURN_STREAM, 0, wait_s=0.0)
        except RecordsExpiredError as error:
            self.expired = True
            reply = await self.log.read(BURN_STREAM, error.first_offset, wait_s=0.0)
        return max(0, reply.end_offset - MAX_WINDOWS_READ)

    async def _read_stream(self, stream: str, offset: int) -> int:
        """Read a stream to its end and return the offset after it."""
        while True:
            try:
                reply = await self.log.read(stream, offset, wait_s=0.0)
            except RecordsExpiredError as error:
                self.expired = True
                offset = error.first_offset
                continue
            if not reply.records:
                return offset
            for record in reply.records:
                self.ledger.apply(decode_burn_record(record.data))
            self.ledger.forget_before(self.kept_from_hour)
            offset = reply.next_offset
