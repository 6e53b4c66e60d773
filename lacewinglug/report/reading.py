"""Reads the burn stream of the log into a ledger."""

from dataclasses import dataclass

from lacewinglug.errors import RecordsExpiredError
from lacewinglug.platform.log import LogClient
from lacewinglug.report.ledger import BurnLedger
from lacewinglug.report.windows import BURN_STREAM, decode_burn_record


@dataclass(kw_only=True)
class BurnReader:
    """Owns a ledger and the place up to which the stream was read.

    :param log: client of the log.
    :param ledger: the counted answers.
    :param next_offset: offset to read from next.
    :param expired: whether records expired before they were read.
    """

    log: LogClient
    ledger: BurnLedger
    next_offset: int = 0
    expired: bool = False

    async def catch_up(self) -> None:
        """Read all records that are in the stream now."""
        while True:
            try:
                reply = await self.log.read(BURN_STREAM, self.next_offset, wait_s=0.0)
            except RecordsExpiredError as error:
                self.expired = True
                self.next_offset = error.first_offset
                continue
            if not reply.records:
                return
            for record in reply.records:
                self.ledger.apply(decode_burn_record(record.data))
            self.next_offset = reply.next_offset
