"""Fake store and fake runners of the platform, for tests on loopback."""

import asyncio
import base64
import itertools
import json
import struct
from dataclasses import replace
from urllib.parse import parse_qs, urlsplit

from lacewinglug.wire.messages import Response, first_header
from lacewinglug.wire.server import ConnectionRegistry

JSON = ((b"Content-Type", b"application/json"),)


def json_response(body, status=200):
    """Return a JSON response."""
    return Response(status=status, headers=JSON, body=json.dumps(body).encode())


class FakeServer:
    """HTTP server on loopback that uses the project's own connections."""

    def __init__(self):
        self.registry = ConnectionRegistry(handler=self.handle, limits=self.limits)

    @staticmethod
    def limits():
        from lacewinglug.wire.server import ClientLimits

        return ClientLimits(idle_timeout_s=60.0)

    async def open(self, ip="127.0.0.1", port=0):
        """Listen on a port, 0 for any free one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.registry.make_connection, ip, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        return self

    def close(self):
        """Stop immediately and abort all connections, as in a crash."""
        self.server.close()
        for connection in list(self.registry.connections):
            connection.abort()


class FakeStore(FakeServer):
    """Fake metadata store: a log with keyed topics.

    With ``down`` set it responds with status 503; with ``unresponsive`` set it does not
    respond. ``era`` is stated in each response, None for none.
    """

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.down = False
        self.unresponsive = False
        self.era = 1
        self.calls = []
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Write a keyed record, like the operator or a runner."""
        await self.append(topic, encode_keyed(key, json.dumps(value).encode()))

    async def drop(self, topic, key):
        """Delete a key."""
        await self.append(topic, encode_keyed(key, b""))

    async def append(self, topic, *records):
        """Append records and wake waiting readers."""
        async with self.changed:
            self.topics.setdefault(topic, []).extend(records)
            self.changed.notify_all()

    def copy(self):
        """Return a copy of all topics, from which the store can be restored."""
        return {topic: list(records) for topic, records in self.topics.items()}

    async def restore(self, topics):
        """Return to a copy and begin a new era; waiting reads stay open."""
        async with self.changed:
            self.topics = {topic: list(records) for topic, records in topics.items()}
            self.era += 1
            self.changed.notify_all()

    async def handle(self, request, exchange):
        """Handle one call."""
        parts = urlsplit(request.target.decode())
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        if self.unresponsive:
            await asyncio.sleep(600)
        if self.down:
            await self.respond(exchange, Response(status=503))
            return
        topic = query["Topic"]
        match parts.path:
            case "/-/log-newest":
                response = self.newest(topic)
            case "/-/log-read":
                response = await self.read(topic, query)
            case "/-/log-append":
                response = await self.append_request(topic, query, request.body)
            case _:
                response = Response(status=404)
        await self.respond(exchange, response)

    async def respond(self, exchange, response):
        era = () if self.era is None else ((b"Store-Era", b"%d" % self.era),)
        await exchange.respond(replace(response, headers=response.headers + era))

    def newest(self, topic):
        newest = {}
        records = self.topics.get(topic, [])
        for offset, record in enumerate(records):
            key, value = decode_keyed(record)
            newest.pop(key, None)
            if value:
                newest[key] = {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
        return json_response(
            {"items": list(newest.values()), "MorePages": False, "End": len(records)}
        )

    async def read(self, topic, query):
        start = int(query["From"])
        if start > len(self.topics.get(topic, [])):
            return json_response({"First": 0}, status=410)
        wait_s = int(query.get("WaitMs", 0)) / 1000
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(
                    lambda: len(self.topics.get(topic, [])) > start
                )
        except TimeoutError:
            pass
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            body += struct.pack(">I", len(record)) + record
        return Response(status=200, body=body)

    async def append_request(self, topic, query, body):
        records = self.topics.setdefault(topic, [])
        if "At" in query and int(query["At"]) != len(records):
            return json_response({"End": len(records)}, status=412)
        offset = len(records)
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            await self.append(topic, body[position + 4 : position + 4 + length])
            position += 4 + length
        return json_response({"Offset": offset, "End": len(records)})


class FakeRunner(FakeServer):
    """Fake runner of a plain service, or fake engine of one stage.

    ``mode`` selects the behaviour of each request: ``serve``; ``reject`` without
    running it; ``busy`` with status 503; ``fail`` with status 500; ``cut``, a truncated
    response; ``stall``, a stream without events after the first; ``pause``, an answer,
    or a stream after its first event, that comes after ``pause_s``; ``pause_first``,
    the same before the response head; ``trickle``, the same as ``stall`` with a byte
    now and then; ``noise``, comments without end after the first event; ``flood``, an
    event without end after it, in small chunks; ``hang``, no response; ``stray``, a
    response to another request; or ``unsigned``, a response without a signature with
    the status ``unsigned_status``.

    With ``leaving`` set each of its responses says that it leaves. ``retry_after`` is
    the value of ``Retry-After`` in responses with status 503, None for none.

    :param stage: stage of an engine, None for a plain service.
    :param event_count: number of events in each stream.
    """

    def __init__(self, instance, service, *, zone="mtl-a", stage=None, event_count=3):
        super().__init__()
        self.instance = instance
        self.service = service
        self.zone = zone
        self.stage = stage
        self.event_count = event_count
        self.mode = "serve"
        self.pause_s = 0.0
        self.unsigned_status = 200
        self.leaving = False
        self.retry_after = None
        self.received = []
        self.runs = []
        self.prefills = []
        self.released_handles = []
        self.orders = []
        self.cached_parts = []
        self.cache_list_count = 0
        self.cancelled_count = 0
        self.prefill_allowed = asyncio.Event()
        self.prefill_allowed.set()
        self.handles = itertools.count(1)

    def entry(self, state="ready"):
        """Return the record with which the runner registers."""
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1,
        }
        return entry | ({"Stage": self.stage} if self.stage else {})

    async def handle(self, request, exchange):
        """Handle one request."""
        path = request.target.decode()
        if path.startswith("/-/kv-handle/"):
            self.released_handles.append(path.rpartition("/")[2])
            await exchange.respond(Response(status=200, headers=self.notices()))
        elif path == "/-/report":
            report = json_response(
                {"Stage": self.stage, "Busy": False, "Sequence": len(self.orders)}
            )
            await exchange.respond(
                replace(report, headers=report.headers + self.notices())
            )
        elif path == "/-/kv-list":
            self.cache_list_count += 1
            rows = [["", part, tokens, "m"] for part, tokens in self.cached_parts]
            await exchange.respond(json_response({"epoch": 1, "Next": 0, "held": rows}))
        elif path == "/-/order":
            self.orders.append(json.loads(request.body))
            await exchange.respond(Response(status=202))
        else:
            await self.run(request, exchange)

    async def run(self, request, exchange):
        self.received.append(request)
        expected = first_header(request.headers, b"x-lacewinglug-expect-instance")
        if expected != self.instance.encode():
            await exchange.respond(self.make_response(request, 421, rejected=True))
            return
        if self.mode == "reject":
            await exchange.respond(self.make_response(request, 503, rejected=True))
            return
        if first_header(request.headers, b"x-lacewinglug-stage") == b"prefill":
            await self.prefill(request, exchange)
            return
        self.runs.append(request)
        try:
            await self.serve(request, exchange)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise

    async def prefill(self, request, exchange):
        self.prefills.append(request)
        await self.prefill_allowed.wait()
        body = {
            "TransferHandle": f"h{next(self.handles)}",
            "Tokens": 10,
            "Version": 1,
        }
        response = self.make_response(request, 200)
        await exchange.respond(
            Response(
                status=200, headers=response.headers, body=json.dumps(body).encode()
            )
        )

    async def serve(self, request, exchange):
        match self.mode:
            case "hang":
                await asyncio.sleep(600)
            case "busy":
                await exchange.respond(self.make_response(request, 503))
            case "fail":
                await exchange.respond(self.make_response(request, 500))
            case "pause" if self.stage is None:
                await asyncio.sleep(self.pause_s)
                await exchange.respond(self.make_response(request, 200))
            case "cut" if self.stage is None:
                await exchange.start_response(200, self.response_headers(request))
                await exchange.write(b"do")
                exchange.abort()
            case "unsigned":
                await exchange.respond(self.make_unsigned_response(request))
            case "stray":
                self.mode = "serve"
                await exchange.respond(
                    self.make_response(request, 200, own_id=b"other")
                )
            case _ if self.stage is None:
                await exchange.respond(self.make_response(request, 200))
            case _:
                await self.stream(request, exchange)

    async def stream(self, request, exchange):
        last = int(first_header(request.headers, b"last-event-id") or 0)
        if self.mode == "pause_first":
            await asyncio.sleep(self.pause_s)
        await exchange.start_response(200, self.response_headers(request))
        for number in range(last + 1, self.event_count + 1):
            if self.mode == "cut" and number == 2:
                await exchange.write(b"id: 2\ndata: ha")
                await asyncio.sleep(0.02)
                exchange.abort()
                return
            if self.mode == "stall" and number == 2:
                await asyncio.sleep(600)
            if self.mode == "pause" and number == 2:
                await asyncio.sleep(self.pause_s)
            if self.mode == "flood" and number == 2:
                await self._flood(exchange)
                return
            if self.mode in ("trickle", "noise") and number == 2:
                await self._send_noise(exchange)
                return
            await exchange.write(b"id: %d\ndata: w%d\n\n" % (number, number))
        await exchange.finish()

    async def _send_noise(self, exchange):
        """Send bytes that are no event until the connection is closed."""
        piece = b":" if self.mode == "trickle" else b": noise\n\n" * 50
        while True:
            await exchange.write(piece)
            await asyncio.sleep(0.02)

    async def _flood(self, exchange):
        """Send an event without end in small chunks, as fast as it is read."""
        transport = exchange._transport
        piece = b"5\r\nxxxxx\r\n" * 4000
        while True:
            if transport.get_write_buffer_size() < len(piece):
                transport.write(piece)
            await asyncio.sleep(0.002)

    def response_headers(self, request, own_id=None):
        found = first_header(request.headers, b"x-lacewinglug-request-id")
        return (
            (b"X-Lacewinglug-Request-Id", own_id or found or b""),
            (b"X-Lacewinglug-Response-Signature", self.instance.encode()),
            (b"X-Lacewinglug-Server-Load", b"1,0,6,100"),
            *self.notices(),
        )

    def notices(self):
        """Return the headers with which it says what it wants of a host."""
        return ((b"X-Lacewinglug-Server-Leaving", b"1"),) if self.leaving else ()

    def make_unsigned_response(self, request):
        """Return a success that lacks the signature, with the id of the request."""
        headers = [
            item
            for item in self.response_headers(request)
            if item[0] != b"X-Lacewinglug-Response-Signature"
        ]
        return Response(
            status=self.unsigned_status, headers=tuple(headers), body=b"done"
        )

    def make_response(self, request, status, *, rejected=False, own_id=None):
        headers = self.response_headers(request, own_id)
        if rejected:
            headers += ((b"X-Lacewinglug-Not-Executed", b"1"),)
        if status == 503 and self.retry_after is not None:
            headers += ((b"Retry-After", self.retry_after),)
        return Response(status=status, headers=headers, body=b"done")


def encode_keyed(key, value):
    """Encode a keyed record."""
    return struct.pack(">B", len(key)) + key.encode() + value


def decode_keyed(record):
    """Decode the key and value of a keyed record."""
    length = record[0]
    return record[1 : 1 + length].decode(), record[1 + length :]
