"""Client of the platform's metadata store: a log with keyed topics."""

import asyncio
import base64
import binascii
import struct
from urllib.parse import urlencode

import msgspec

from lacewinglug.errors import PlatformError
from lacewinglug.host.model import TopicSnapshot
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.messages import Response
from lacewinglug.wire.pool import ConnectionPool, loop_time_s

MOST_CONNECTIONS = 4
"""Connections of one host to the store; no more calls run at once."""
CONNECT_TIMEOUT_S = 0.8
"""Longest time to connect to the store, in s."""
CALL_TIMEOUT_S = 0.8
"""Longest time for an answer, in s; a usual one takes 4 ms, one of a slow store
a quarter of a second. Two in a row fit into the shortest drain bound."""
MOST_ANSWER_BYTES = 8_388_608
"""Longest answer of the store that is read."""
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_READ_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_MS_PER_S = 1000


class StoreError(PlatformError):
    """A call to the store had no usable answer."""


class _Expired(msgspec.Struct, rename="pascal"):
    # Offset of the oldest record that is kept.
    first: int


class _Item(msgspec.Struct, rename="pascal"):
    key: str
    value: str


class _Newest(msgspec.Struct, rename="pascal"):
    # The one field of this answer that is in lower case.
    items: list[_Item] = msgspec.field(name="items")
    more_pages: bool
    end: int


class StoreClient:
    """Speaks with the store on behalf of one host.

    :param address: ``IP:PORT`` of the store.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(
            address=address, most=MOST_CONNECTIONS, now_s=loop_time_s
        )

    async def read_newest(self, topic: str) -> TopicSnapshot:
        """Return the newest record of each key of a topic.

        :raises StoreError: the store did not answer in full.
        """
        snapshot = TopicSnapshot()
        after = ""
        while True:
            query = {"Topic": topic, "part": "0"}
            if after:
                query["after"] = after
            response = await self._call(b"GET", "/-/log-newest", query)
            page = _decode_page(response)
            for item in page.items:
                snapshot.values[item.key] = _decode_value(item)
            snapshot.end_offset = page.end
            if not page.more_pages or not page.items:
                return snapshot
            after = page.items[-1].key

    async def wait_for_records(
        self, topic: str, *, from_offset: int, wait_s: float
    ) -> bool:
        """Wait until a topic has records from an offset on.

        :return: whether there are any, or older ones than asked for are gone.
        :raises StoreError: the store did not answer.
        """
        query = {
            "Topic": topic,
            "part": "0",
            "From": str(from_offset),
            "WaitMs": str(round(wait_s * _MS_PER_S)),
        }
        response = await self._call(
            b"GET", "/-/log-read", query, extra_s=wait_s, accepted=(_OK, _GONE)
        )
        if response.status == _GONE:
            return True
        _, end_offset = _split_records(response.body)
        return end_offset != from_offset

    async def put(self, topic: str, *, key: str, value: bytes) -> None:
        """Write the newest record of a key; an empty value drops the key.

        :raises StoreError: the write is not confirmed; it may hold all the same.
        """
        name = key.encode()
        record = struct.pack(">B", len(name)) + name + value
        body = struct.pack(">I", len(record)) + record
        query = {"Topic": topic, "part": "0"}
        await self._call(b"POST", "/-/log-append", query, body=body)

    async def read_records(
        self, topic: str, *, from_offset: int
    ) -> tuple[list[bytes], int]:
        """Return the records of a topic from an offset on, and its end.

        Records that have expired are left out.

        :raises StoreError: the store did not answer.
        """
        query = {"Topic": topic, "part": "0", "From": str(from_offset)}
        response = await self._call(b"GET", "/-/log-read", query, accepted=(_OK, _GONE))
        if response.status == _GONE:
            return await self.read_records(
                topic, from_offset=_decode_first_offset(response)
            )
        return _split_records(response.body)

    async def append_at(self, topic: str, data: bytes, *, offset: int) -> bool:
        """Append a record if the topic ends at an offset; return whether it did.

        :raises StoreError: the append is not confirmed; it may hold all the same.
        """
        query = {"Topic": topic, "part": "0", "At": str(offset)}
        body = struct.pack(">I", len(data)) + data
        response = await self._call(
            b"POST",
            "/-/log-append",
            query,
            body=body,
            accepted=(_OK, _PRECONDITION_FAILED),
        )
        return response.status == _OK

    def close(self) -> None:
        """End the idle connections."""
        self._pool.close()

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        *,
        body: bytes = b"",
        extra_s: float = 0.0,
        accepted: tuple[int, ...] = (_OK,),
    ) -> Response:
        target = f"{path}?{urlencode(query)}".encode()
        try:
            connection = await self._pool.acquire(timeout_s=CONNECT_TIMEOUT_S)
        except UpstreamError as error:
            raise StoreError(f"the store cannot be reached: {error}") from None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + extra_s):
                connection.send_request(
                    method=method,
                    target=target,
                    headers=((b"Host", self._address.encode()),),
                    body=body,
                )
                response = await connection.read_whole(most_bytes=MOST_ANSWER_BYTES)
        except TimeoutError:
            self._pool.drop(connection)
            raise StoreError(f"no answer of the store to {path} in time") from None
        except UpstreamError as error:
            self._pool.drop(connection)
            raise StoreError(f"{path} failed: {error}") from None
        except BaseException:
            self._pool.drop(connection)
            raise
        self._pool.release(connection, response.headers)
        if response.status not in accepted:
            raise StoreError(f"the store answered {response.status} to {path}")
        return response


def _decode_page(response: Response) -> _Newest:
    try:
        return msgspec.json.decode(response.body, type=_Newest)
    except msgspec.DecodeError as error:
        raise StoreError(f"an answer of the store cannot be read: {error}") from None


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # Whoever reads the record logs that it cannot be read.
        return b""


def _decode_first_offset(response: Response) -> int:
    try:
        return msgspec.json.decode(response.body, type=_Expired).first
    except msgspec.DecodeError as error:
        raise StoreError(f"an answer of the store cannot be read: {error}") from None


def _split_records(data: bytes) -> tuple[list[bytes], int]:
    """Return the records of an answer to a read, and the end of the topic."""
    if len(data) < _READ_HEAD.size:
        raise StoreError("an answer of the store is too short")
    end_offset, _ = _READ_HEAD.unpack_from(data)
    records = []
    place = _READ_HEAD.size
    while place + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, place)
        place += _LENGTH.size
        records.append(data[place : place + length])
        place += length
    return records, end_offset
