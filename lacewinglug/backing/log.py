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
_CREATED = 201
_GONE = 410
_REFUSED = frozenset({400, 403, 404, 405, 411, 413, 415, 429, 503})
"""Statuses by which the log says that it did not append."""


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
    :param end_offset: offset after the last record of the stream, -1 when the
        service does not say.
    """

    records: list[StoredRecord]
    next_offset: int
    end_offset: int = -1


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
        except aiohttp.ClientConnectorError as error:
            raise LogUnavailableError(
                f"cannot connect to the log ({error}); try again when it answers, or "
                "correct its URL"
            ) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            raise AppendOutcomeUnknownError(
                f"the reply to an append was lost: {error!r}; read the log to settle it"
            ) from None
        if response.status in _REFUSED:
            raise LogUnavailableError(
                f"the log refused the append with status {response.status}; "
                "try again later"
            )
        try:
            if response.status == _CREATED:
                return msgspec.json.decode(body, type=AppendReply).offset
        except msgspec.MsgspecError:
            pass
        raise AppendOutcomeUnknownError(
            f"the log answered an append with status {response.status} and no "
            "offset; read the log to settle it"
        )

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
            raise LogUnavailableError(
                f"cannot read the log at {self.base_url} ({error!r}); try again when "
                "it answers, or correct its URL"
            ) from None
        try:
            match response.status:
                case 200:
                    return msgspec.json.decode(body, type=ReadReply)
                case status if status == _GONE:
                    first_offset = msgspec.json.decode(
                        body, type=ExpiredReply
                    ).first_offset
                case status:
                    raise LogUnavailableError(
                        f"the log answered a read with status {status}"
                    )
        except msgspec.MsgspecError as error:
            raise LogUnavailableError(
                f"the log answered a read with unreadable bytes: {error}"
            ) from None
        raise RecordsExpiredError(first_offset=first_offset)
