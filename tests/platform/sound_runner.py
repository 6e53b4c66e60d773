"""Sound runners of the platform, which are silent, reject requests or leave.

All that they do is allowed, so no request may be lost because of it; only answers that
break off excuse a host.
"""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from lacewinglug.wire.messages import first_header
from tests.platform.standin import FakeRunner

SILENCE_S = (0.7, 1.3)
"""Shortest and longest silence of a sound runner."""
LINGER_S = (0.1, 1.0)
"""Time for which a runner that leaves goes on serving after its drain time."""


@dataclass(frozen=True, kw_only=True)
class Serve:
    """Runs a request.

    :param framed: whether the answer has a length or chunks; else the end of the
        connection ends it.
    :param breaks_off: whether the answer is broken off after its first piece.
    """

    silent_before: bool = False
    silent_amid: bool = False
    framed: bool = True
    breaks_off: bool = False


@dataclass(frozen=True, kw_only=True)
class Reject:
    """Rejects a request that it has not run.

    :param late: whether it is silent before it rejects.
    """

    late: bool = False


PROMPT: Mapping[Serve | Reject, int] = {Serve(): 1}
SOUND: dict[Serve | Reject, int] = {
    Serve(): 36,
    Serve(silent_before=True): 12,
    Serve(silent_amid=True): 20,
    Serve(framed=False): 10,
    Serve(framed=False, silent_amid=True): 4,
    Reject(): 14,
    Reject(late=True): 6,
}
"""Ways of a sound runner to handle a request, with their weights."""
UNWILLING: Mapping[Serve | Reject, int] = SOUND | {Reject(): 20, Reject(late=True): 40}
"""The same of a runner that rejects many requests, most of them late."""


@dataclass(kw_only=True)
class RunnerModel:
    """Behaviour that the runners of a fleet share.

    :param ways: ways to handle a request, with their weights.
    :param work_s: shortest and longest time before an answer.
    :param piece_s: shortest and longest time before each piece of an answer.
    :param retry_after: values of ``Retry-After`` in a rejection, None for none.
    :param handle_ttl_s: time for which an engine keeps a cache for others.
    :param broken: ids of the requests whose answers were broken off.
    """

    rng: random.Random
    ways: Mapping[Serve | Reject, int] = field(default_factory=lambda: SOUND)
    work_s: tuple[float, float] = (0.0, 0.0)
    piece_s: tuple[float, float] = (0.0, 0.05)
    retry_after: tuple[bytes | None, ...] = (None,)
    handle_ttl_s: float = 5.0
    broken: set[str] = field(default_factory=set)
    _handles: dict[str, float] = field(default_factory=dict)

    def draw_way(self):
        """Return how the next request is handled."""
        return self.rng.choices([*self.ways], [*self.ways.values()])[0]

    def draw_silence_s(self):
        """Return the length of a silence."""
        return self.rng.uniform(*SILENCE_S)

    def keep_handle(self, source, *, now_s):
        """Keep a cache for another engine until its time is over."""
        self._handles[source] = now_s + self.handle_ttl_s

    def take_handle(self, source, *, now_s):
        """Return whether a cache can be fetched, which works once."""
        return now_s < self._handles.pop(source, 0.0)


class SoundRunner(FakeRunner):
    """Runner that handles each request in one of the ways of its model.

    :param model: behaviour that it shares with others.
    :param silent_until_s: time of the event loop until which it is silent as a whole.
    :param slowness: factor by which its machine is slower than usual.
    """

    silent_until_s = 0.0
    slowness = 1.0

    def __init__(self, *args, model, **fields):
        super().__init__(*args, **fields)
        self.model = model
        self.handles = self._issue_handles()
        self._working = 0

    def begin_run(self, request):
        """Note that it begins to work on a request."""

    def end_run(self, run):
        """Note that it no longer works on a request."""

    def pieces(self, request):
        """Return the pieces of the answer to a request."""
        if self.stage is None:
            return [b"do", b"ne"]
        return [
            b"id: %d\ndata: w%d\n\n" % (number, number)
            for number in range(first_event(request), self.event_count + 1)
        ]

    async def leave(self, *, announce, withdraw, drain_s):
        """Leave as planned: announce it, serve for the drain time and more, and end.

        :param announce: called to write its entry; waits until the store has it.
        :param withdraw: called to remove its entry.
        """
        self.leaving = True
        await announce()
        await asyncio.sleep(drain_s + self.model.rng.uniform(*LINGER_S))
        while self._working:
            await asyncio.sleep(0.02)
        self.close()
        await withdraw()

    async def wait_for_silence(self):
        """Wait until the end of a silence of the whole runner."""
        loop = asyncio.get_running_loop()
        while (left_s := self.silent_until_s - loop.time()) > 0:
            await asyncio.sleep(left_s)

    async def run(self, request, exchange):
        self._working += 1
        try:
            await super().run(request, exchange)
        finally:
            self._working -= 1

    async def prefill(self, request, exchange):
        await self.wait_for_silence()
        match self.model.draw_way():
            case Reject(late=late):
                await self._reject(request, exchange, late=late)
            case Serve(breaks_off=True):
                exchange.abort()
            case Serve(silent_before=before, silent_amid=amid):
                if before or amid:
                    await asyncio.sleep(2 * self.model.draw_silence_s())
                await super().prefill(request, exchange)

    async def serve(self, request, exchange):
        await self.wait_for_silence()
        source = first_header(request.headers, b"x-lacewinglug-kv-source")
        way = self.model.draw_way()
        if source is not None and not self.model.take_handle(
            source.decode(), now_s=asyncio.get_running_loop().time()
        ):
            way = Reject()
        match way:
            case Reject(late=late):
                await self._reject(request, exchange, late=late)
            case Serve():
                run = self.begin_run(request)
                try:
                    await self.pass_time(self.model.work_s)
                    if self.mode == "serve":
                        await self._answer(request, exchange, way)
                    else:
                        await super().serve(request, exchange)
                finally:
                    self.end_run(run)

    async def _reject(self, request, exchange, *, late):
        if late:
            await asyncio.sleep(self.model.draw_silence_s())
            await self.wait_for_silence()
        self.retry_after = self.model.rng.choice(self.model.retry_after)
        await exchange.respond(self.make_response(request, 503, rejected=True))

    async def _answer(self, request, exchange, way):
        if way.silent_before:
            await asyncio.sleep(self.model.draw_silence_s())
        headers = self.response_headers(request)
        if way.framed:
            await exchange.start_response(200, headers)
        else:
            lines = b"".join(b"%b: %b\r\n" % header for header in headers)
            exchange._transport.write(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n")
        pieces = self.pieces(request)
        silent_at = self.model.rng.randrange(1, max(2, len(pieces)))
        for number, piece in enumerate(pieces):
            if way.silent_amid and number == silent_at:
                await asyncio.sleep(self.model.draw_silence_s())
            await self.wait_for_silence()
            if way.breaks_off and number == 1:
                self.model.broken.add(request_id_of(request))
                exchange.abort()
                return
            if way.framed:
                await exchange.write(piece)
            else:
                exchange._transport.write(piece)
            await self.pass_time(self.model.piece_s)
        if way.framed:
            await exchange.finish()
        else:
            exchange.close()

    async def pass_time(self, bounds_s):
        """Wait for a time between two bounds, longer on a slow machine."""
        await asyncio.sleep(self.slowness * self.model.rng.uniform(*bounds_s))

    def _issue_handles(self):
        number = 0
        while True:
            number += 1
            now_s = asyncio.get_running_loop().time()
            self.model.keep_handle(f"{self.address}/h{number}", now_s=now_s)
            yield number


def request_id_of(request):
    """Return the id of a request."""
    return (first_header(request.headers, b"x-lacewinglug-request-id") or b"").decode()


def first_event(request):
    """Return the number of the first event of a stream that its client lacks."""
    return int(first_header(request.headers, b"last-event-id") or 0) + 1
