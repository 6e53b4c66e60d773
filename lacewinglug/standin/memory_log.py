"""Stand-in of the log service inside one process, with fault switches."""

from dataclasses import dataclass, field

from lacewinglug.backing.log import ReadReply
from lacewinglug.errors import (
    AppendOutcomeUnknownError,
    LogUnavailableError,
    RecordsExpiredError,
)
from lacewinglug.standin.platform import LogStream


@dataclass(kw_only=True)
class MemoryLog:
    """A log client on streams in memory.

    :param streams: the streams by name.
    :param down: refuse every call.
    :param lose_before: number of next appends lost before the effect.
    :param lose_after: number of next appends whose reply is lost after the effect.
    :param hidden: number of newest records that reads do not show yet.
    :param appends: number of records appended.
    :param read_bytes: payload bytes that reads returned.
    """

    streams: dict[str, LogStream] = field(default_factory=dict)
    down: bool = False
    lose_before: int = 0
    lose_after: int = 0
    hidden: int = 0
    appends: int = 0
    read_bytes: int = 0

    def stream(self, name: str) -> LogStream:
        """Return a stream."""
        return self.streams.setdefault(name, LogStream())

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        self._check_up()
        if self.lose_before > 0:
            self.lose_before -= 1
            raise AppendOutcomeUnknownError("the request was lost")
        offset = self.stream(stream).append(data)
        self.appends += 1
        if self.lose_after > 0:
            self.lose_after -= 1
            raise AppendOutcomeUnknownError("the reply was lost")
        return offset

    async def read(self, stream: str, offset: int, *, wait_s: float) -> ReadReply:
        """Return the records from an offset on, without waiting."""
        self._check_up()
        item = self.stream(stream)
        if offset < item.first_offset:
            raise RecordsExpiredError(first_offset=item.first_offset)
        end_offset = max(item.first_offset, item.next_offset - self.hidden)
        records = [record for record in item.read(offset) if record.offset < end_offset]
        self.read_bytes += sum(len(record.data) for record in records)
        return ReadReply(
            records=records,
            next_offset=offset + len(records),
            end_offset=end_offset,
        )

    def _check_up(self) -> None:
        if self.down:
            raise LogUnavailableError("the log is down")
