"""Stand-in of the platform: log service, host list and weight store."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from lacewinglug.backing.hosts import HostList, HostState
from lacewinglug.backing.log import (
    AppendReply,
    ExpiredReply,
    ReadReply,
    StoredRecord,
)
from lacewinglug.standin.faults import Faults, FaultSwitch, json_response
from lacewinglug.standin.weights import WeightStoreStandin

_READ_LIMIT = 500


@dataclass(kw_only=True)
class LogStream:
    """One stream of the log.

    :param first_offset: oldest offset that is kept.
    :param records: payloads from ``first_offset`` on.
    :param grown: set and replaced when a record arrives.
    """

    first_offset: int = 0
    records: list[bytes] = field(default_factory=list)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, data: bytes) -> int:
        """Append a record and wake the readers."""
        offset = self.next_offset
        self.records.append(data)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def trim(self, first_offset: int) -> None:
        """Forget the records before an offset."""
        dropped = max(0, min(first_offset, self.next_offset) - self.first_offset)
        del self.records[:dropped]
        self.first_offset += dropped

    def read(self, offset: int) -> list[StoredRecord]:
        """Return the records from an offset on, up to a limit."""
        start = offset - self.first_offset
        batch = self.records[start : start + _READ_LIMIT]
        return [
            StoredRecord(offset=offset + index, data=data)
            for index, data in enumerate(batch)
        ]


@dataclass(kw_only=True)
class PlatformStandin:
    """The platform's services behind one HTTP application."""

    switch: FaultSwitch = field(default_factory=lambda: FaultSwitch(faults=Faults()))
    streams: dict[str, LogStream] = field(default_factory=dict)
    hosts: dict[str, HostState] = field(default_factory=dict)
    weights: WeightStoreStandin = field(default_factory=WeightStoreStandin)

    def _stream(self, request: Request) -> LogStream:
        name = request.path_params["stream"]
        return self.streams.setdefault(name, LogStream())

    async def handle_append(self, request: Request) -> Response:
        """Append the body as one record."""
        refusal = await self.switch.before()
        if refusal is not None:
            return refusal
        offset = self._stream(request).append(await request.body())
        await self.switch.after()
        return json_response(AppendReply(offset=offset), status_code=201)

    async def handle_read(self, request: Request) -> Response:
        """Return records from an offset on, waiting for the first."""
        refusal = await self.switch.before()
        if refusal is not None:
            return refusal
        stream = self._stream(request)
        offset = int(request.query_params.get("offset", "0"))
        wait_s = float(request.query_params.get("wait_s", "0"))
        if offset < stream.first_offset:
            reply = ExpiredReply(first_offset=stream.first_offset)
            return json_response(reply, status_code=410)
        if offset >= stream.next_offset and wait_s > 0:
            grown = stream.grown
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(grown.wait(), wait_s)
        records = stream.read(offset) if offset < stream.next_offset else []
        return json_response(
            ReadReply(
                records=records,
                next_offset=offset + len(records),
                end_offset=stream.next_offset,
            )
        )

    async def handle_trim(self, request: Request) -> Response:
        """Expire the records before an offset."""
        self._stream(request).trim(int(request.query_params["first_offset"]))
        return JSONResponse({})

    async def handle_hosts(self, request: Request) -> Response:
        """Return the host list."""
        refusal = await self.switch.before()
        if refusal is not None:
            return refusal
        return json_response(HostList(hosts=dict(self.hosts)))

    async def handle_set_hosts(self, request: Request) -> Response:
        """Replace the host list."""
        body = await request.body()
        self.hosts = msgspec.json.decode(body, type=HostList).hosts
        return JSONResponse({})

    def app(self) -> Starlette:
        """Return the HTTP application."""
        records = "/streams/{stream}/records"
        return Starlette(
            routes=[
                Route(records, self.handle_append, methods=["POST"]),
                Route(records, self.handle_read, methods=["GET"]),
                Route("/streams/{stream}/trim", self.handle_trim, methods=["POST"]),
                Route("/hosts", self.handle_hosts, methods=["GET"]),
                Route("/hosts", self.handle_set_hosts, methods=["PUT"]),
                *self.weights.routes(),
                Route("/faults", self.switch.handle_change, methods=["PUT"]),
            ]
        )
