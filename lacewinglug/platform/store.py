"""Client of the platform's metadata store: a log with keyed topics."""

import asyncio
import base64
import logging
import struct
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from lacewinglug.decoding import MalformedDataError, decode_json
from lacewinglug.errors import PlatformError
from lacewinglug.host.model import TopicSnapshot
from lacewinglug.host.positions import FIRST_ERA, StorePosition
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.messages import Headers, first_header
from lacewinglug.wire.pool import ConnectionPool, loop_time_s

logger = logging.getLogger(__name__)

MAX_CONNECTIONS = 4
"""Maximum number of connections, and so of concurrent calls, from a host to the
store."""
CONNECT_TIMEOUT_S = 0.8
"""Timeout for connecting to the store, in s."""
CALL_TIMEOUT_S = 0.8
"""Timeout for a response, in s. Responses usually take 4 ms, and 250 ms from a slow
store. Two timeouts in a row fit into the shortest drain period."""
MAX_RESPONSE_BYTES = 8_388_608
"""Maximum size of a response body from the store, in bytes."""
MAX_SNAPSHOT_READS = 3
"""Maximum number of reads of a topic that is restored between two of its pages."""
_ERA = b"store-era"
_MAX_ERA_DIGITS = 9
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_READ_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")
_MS_PER_S = 1000


class StoreError(PlatformError):
    """A call to the store failed or returned an invalid response."""


class _ExpiredResponse(msgspec.Struct, rename="pascal"):
    # Offset of the oldest retained record.
    first: int


class _NewestItem(msgspec.Struct, rename="pascal"):
    key: str
    value: str


class _NewestPage(msgspec.Struct, rename="pascal"):
    # The platform writes only this field of the response in lower case.
    items: list[_NewestItem] = msgspec.field(name="items")
    more_pages: bool
    end: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    """A response of the store.

    :param era: era of the store in which the call was executed.
    """

    status: int
    body: bytes
    era: int


class StoreClient:
    """Client of the metadata store for one host.

    The store may be restored from a copy that is some seconds old. What was written
    since is lost then, and a new era begins.

    :param address: ``IP:PORT`` of the store.
    :param on_era: called with the era of each response, before its result is returned.
    """

    def __init__(
        self, *, address: str, on_era: Callable[[int], None] = lambda _: None
    ) -> None:
        self.on_era = on_era
        self._address = address
        self._era = FIRST_ERA
        self._invalid_era_logged = False
        self._pool = ConnectionPool(
            address=address, max_connections=MAX_CONNECTIONS, now_s=loop_time_s
        )

    async def read_newest(self, topic: str) -> TopicSnapshot:
        """Return the newest record of each key of a topic.

        :raises StoreError: a page could not be read.
        """
        for _ in range(MAX_SNAPSHOT_READS):
            snapshot = await self._read_pages(topic)
            if snapshot is not None:
                return snapshot
        raise StoreError(f"store was restored during each read of {topic}")

    async def _read_pages(self, topic: str) -> TopicSnapshot | None:
        """Return the newest records, None if the pages are of different eras."""
        values: dict[str, bytes] = {}
        first_era = None
        after = ""
        while True:
            query = {"Topic": topic, "part": "0"}
            if after:
                query["after"] = after
            reply = await self._request(b"GET", "/-/log-newest", query)
            if first_era not in (None, reply.era):
                return None
            first_era = reply.era
            page = _decode_page(reply.body)
            for item in page.items:
                values[item.key] = _decode_value(item)
            if not page.more_pages or not page.items:
                end = StorePosition(era=reply.era, offset=page.end)
                return TopicSnapshot(values=values, end=end)
            after = page.items[-1].key

    async def wait_for_records(
        self, topic: str, *, start: StorePosition, wait_s: float
    ) -> bool:
        """Wait until a topic has records at or after a position.

        :return: whether there are any, records at the position have expired, or the
            store was restored since.
        :raises StoreError: the call failed.
        """
        query = {
            "Topic": topic,
            "part": "0",
            "From": str(start.offset),
            "WaitMs": str(round(wait_s * _MS_PER_S)),
        }
        reply = await self._request(
            b"GET",
            "/-/log-read",
            query,
            extra_timeout_s=wait_s,
            expected_statuses=(_OK, _GONE),
        )
        if reply.status == _GONE:
            return True
        _, end = _decode_records(reply)
        return end != start

    async def put(self, topic: str, *, key: str, value: bytes) -> int:
        """Write the newest record of a key; an empty value deletes the key.

        :return: era of the store in which it was written.
        :raises StoreError: the write is unconfirmed and may have taken effect.
        """
        name = key.encode()
        record = struct.pack(">B", len(name)) + name + value
        body = struct.pack(">I", len(record)) + record
        query = {"Topic": topic, "part": "0"}
        reply = await self._request(b"POST", "/-/log-append", query, body=body)
        return reply.era

    async def read_records(
        self, topic: str, *, start: StorePosition | None = None
    ) -> tuple[list[bytes], StorePosition]:
        """Return the records of a topic from a position on, and its end.

        Expired records are skipped. If the store was restored since, all records of the
        topic are returned.

        :param start: first position, defaults to the beginning.
        :raises StoreError: the call failed.
        """
        offset = 0 if start is None else start.offset
        query = {"Topic": topic, "part": "0", "From": str(offset)}
        reply = await self._request(
            b"GET", "/-/log-read", query, expected_statuses=(_OK, _GONE)
        )
        if start is not None and reply.era != start.era:
            return await self.read_records(topic)
        if reply.status == _GONE:
            first = StorePosition(era=reply.era, offset=_decode_first_offset(reply))
            if first.offset <= offset:
                raise StoreError(f"store has no records of {topic} from {offset} on")
            return await self.read_records(topic, start=first)
        return _decode_records(reply)

    async def append_at(
        self, topic: str, data: bytes, *, position: StorePosition
    ) -> bool:
        """Append a record if the topic ends at a position.

        :return: whether the record was appended there. One that was appended at the
            same offset of a later era does not count.
        :raises StoreError: the append is unconfirmed and may have taken effect.
        """
        query = {"Topic": topic, "part": "0", "At": str(position.offset)}
        body = struct.pack(">I", len(data)) + data
        reply = await self._request(
            b"POST",
            "/-/log-append",
            query,
            body=body,
            expected_statuses=(_OK, _PRECONDITION_FAILED),
        )
        return reply.status == _OK and reply.era == position.era

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _request(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        *,
        body: bytes = b"",
        extra_timeout_s: float = 0.0,
        expected_statuses: tuple[int, ...] = (_OK,),
    ) -> _Reply:
        target = f"{path}?{urlencode(query)}".encode()
        try:
            connection = await self._pool.acquire(timeout_s=CONNECT_TIMEOUT_S)
        except UpstreamError as error:
            raise StoreError(f"cannot connect to the store: {error}") from None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + extra_timeout_s):
                connection.send_request(
                    method=method,
                    target=target,
                    headers=((b"Host", self._address.encode()),),
                    body=body,
                )
                response = await connection.read_response(
                    max_body_bytes=MAX_RESPONSE_BYTES
                )
        except TimeoutError:
            self._pool.abort(connection)
            raise StoreError(f"store request {path} timed out") from None
        except UpstreamError as error:
            self._pool.abort(connection)
            raise StoreError(f"store request {path} failed: {error}") from None
        except BaseException:
            self._pool.abort(connection)
            raise
        self._pool.release(connection, response.headers)
        era = self._record_era(response.headers)
        if response.status not in expected_statuses:
            raise StoreError(f"store returned status {response.status} for {path}")
        return _Reply(status=response.status, body=bytes(response.body), era=era)

    def _record_era(self, headers: Headers) -> int:
        """Return the era of a response, by default the latest one known."""
        value = first_header(headers, _ERA)
        if value is None:
            return self._era
        if not (value.isdigit() and len(value) <= _MAX_ERA_DIGITS):
            if not self._invalid_era_logged:
                logger.warning(
                    "ignoring the invalid era %r of the store; correct its Store-Era",
                    value[:20],
                )
            self._invalid_era_logged = True
            return self._era
        era = int(value)
        self._era = max(self._era, era)
        self.on_era(era)
        return era


def _decode_page(body: bytes) -> _NewestPage:
    try:
        return decode_json(body, kind=_NewestPage)
    except MalformedDataError as error:
        raise StoreError(f"invalid store response: {error}") from None


def _decode_value(item: _NewestItem) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        # The record's decoder logs the invalid value.
        return b""


def _decode_first_offset(reply: _Reply) -> int:
    try:
        return decode_json(reply.body, kind=_ExpiredResponse).first
    except MalformedDataError as error:
        raise StoreError(f"invalid store response: {error}") from None


def _decode_records(reply: _Reply) -> tuple[list[bytes], StorePosition]:
    """Return the records in the response to a read, and the topic's end."""
    data = reply.body
    if len(data) < _READ_HEADER.size:
        raise StoreError("store response is too short")
    end_offset, _ = _READ_HEADER.unpack_from(data)
    records = []
    position = _READ_HEADER.size
    while position + _RECORD_LENGTH.size <= len(data):
        (length,) = _RECORD_LENGTH.unpack_from(data, position)
        position += _RECORD_LENGTH.size
        records.append(data[position : position + length])
        position += length
    return records, StorePosition(era=reply.era, offset=end_offset)
