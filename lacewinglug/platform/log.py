"""Client of the platform's append-only log service."""

from dataclasses import dataclass
from typing import Protocol

import aiohttp
import msgspec

from lacewinglug.errors import (
    AppendOutcomeUnknownError,
    LogUnavailableError,
    RecordsExpiredError,
)

CONTROL_STREAM = "control"
_TIMEOUT_MARGIN_S = 2.0


class StoredRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record as it stands in a stream of the log.

    :param offset: place of the record in the stream.
    :param data: payload, base64 in JSON.
    """

    offset: int
    data: bytes


class ReadReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a read.

    :param records: records in order of offset.
    :param next_offset: offset to read from next.
    """

    records: list[StoredRecord]
    next_offset: int


class AppendReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an append: the offset of the record."""

    offset: int


class ExpiredReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a read of expired records: the oldest offset kept."""

    first_offset: int


class LogClient(Protocol):
    """An append-only log of named streams."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        :raises AppendOutcomeUnknownError: the reply was lost.
        :raises LogUnavailableError: the record was not appended.
        """
        ...

    async def read(self, stream: str, offset: int, *, wait_s: float) -> ReadReply:
        """Read records from ``offset`` on, waiting for the first one.

        :raises RecordsExpiredError: the log no longer keeps that offset.
        :raises LogUnavailableError: the log does not answer.
        """
        ...


@dataclass(kw_only=True)
class HttpLogClient:
    """The log service over HTTP.

    :param session: HTTP client session.
    :param base_url: base URL of the log service.
    :param append_timeout_s: longest wait for the answer to an append, in seconds.
    """

    session: aiohttp.ClientSession
    base_url: str
    append_timeout_s: float = 5.0

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        timeout = aiohttp.ClientTimeout(total=self.append_timeout_s)
        url = f"{self.base_url}/streams/{stream}/records"
        try:
            async with self.session.post(url, data=data, timeout=timeout) as response:
                body = await response.read()
                if response.status != 201:
                    raise LogUnavailableError(
                        f"the log refused the append with status {response.status}; "
                        "try again later"
                    )
        except aiohttp.ClientConnectorError as error:
            raise LogUnavailableError(f"cannot connect to the log: {error}") from None
        except (aiohttp.ClientError, TimeoutError) as error:
            raise AppendOutcomeUnknownError(
                f"the reply to an append was lost: {error!r}; read the log to settle it"
            ) from None
        return msgspec.json.decode(body, type=AppendReply).offset

    async def read(self, stream: str, offset: int, *, wait_s: float) -> ReadReply:
        """Read records from ``offset`` on, waiting for the first one."""
        timeout = aiohttp.ClientTimeout(total=wait_s + _TIMEOUT_MARGIN_S)
        url = f"{self.base_url}/streams/{stream}/records"
        params = {"offset": str(offset), "wait_s": str(wait_s)}
        try:
            async with self.session.get(
                url, params=params, timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LogUnavailableError(f"cannot read the log: {error!r}") from None
        if response.status == 410:
            expired = msgspec.json.decode(body, type=ExpiredReply)
            raise RecordsExpiredError(first_offset=expired.first_offset)
        if response.status != 200:
            raise LogUnavailableError(
                f"the log answered a read with status {response.status}"
            )
        return msgspec.json.decode(body, type=ReadReply)
