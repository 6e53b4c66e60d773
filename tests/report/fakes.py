"""Fakes of the log and the clock."""

from dataclasses import dataclass, field

from lacewinglug.errors import RecordsExpiredError
from lacewinglug.platform.log import ReadReply, StoredRecord

READ_LIMIT = 50


@dataclass
class MemoryLog:
    """A log of named streams in memory."""

    streams: dict = field(default_factory=dict)
    first_offsets: dict = field(default_factory=dict)

    async def append(self, stream, data):
        self.streams.setdefault(stream, []).append(data)
        return len(self.streams[stream]) - 1

    def expire(self, stream, first_offset):
        self.first_offsets[stream] = first_offset

    async def read(self, stream, offset, *, wait_s):
        first_offset = self.first_offsets.get(stream, 0)
        if offset < first_offset:
            raise RecordsExpiredError(first_offset=first_offset)
        records = self.streams.get(stream, [])
        batch = records[offset : offset + READ_LIMIT]
        return ReadReply(
            records=[
                StoredRecord(offset=offset + index, data=data)
                for index, data in enumerate(batch)
            ],
            next_offset=offset + len(batch),
            end_offset=len(records),
        )


@dataclass
class WallClock:
    """A clock that stands still."""

    wall_time_s: float

    def wall_s(self):
        return self.wall_time_s
