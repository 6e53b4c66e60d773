"""Stand-in of the rate-limited weight store."""

import asyncio
from dataclasses import dataclass, field

import aiohttp
import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from lacewinglug.backing.weights import HttpWeightStoreClient
from lacewinglug.standin.faults import json_response


class WeightLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How the store serves pulls.

    :param slots: pulls served at the same time; more are refused.
    :param pull_s: time that a pull takes, in seconds.
    :param retry_after_s: retry time named in a refusal, in seconds.
    :param down: whether every request is answered with status 503.
    :param missing: keys that the store lacks.
    """

    slots: int = 16
    pull_s: float = 0.0
    retry_after_s: float = 0.5
    down: bool = False
    missing: tuple[str, ...] = ()


class WeightJournal(msgspec.Struct, kw_only=True):
    """What the store served.

    :param pulls: keys in the order of their pulls.
    :param active: pulls in progress.
    :param peak: most pulls in progress at the same time.
    :param refused: pulls refused.
    """

    pulls: list[str] = msgspec.field(default_factory=list)
    active: int = 0
    peak: int = 0
    refused: int = 0


@dataclass(kw_only=True)
class WeightStoreStandin:
    """A weight store with a rate limit, refusals and outages."""

    limits: WeightLimits = field(default_factory=WeightLimits)
    journal: WeightJournal = field(default_factory=WeightJournal)

    async def handle_weights(self, request: Request) -> Response:
        """Serve a pull, or say whether one would be served."""
        key = request.path_params["key"]
        refusal = self._refuse(key)
        if request.method == "HEAD":
            return refusal or Response()
        if refusal is not None:
            self.journal.refused += 1
            return refusal
        self.journal.pulls.append(key)
        self.journal.active += 1
        self.journal.peak = max(self.journal.peak, self.journal.active)
        try:
            await asyncio.sleep(self.limits.pull_s)
        finally:
            self.journal.active -= 1
        return JSONResponse({"key": key})

    def _refuse(self, key: str) -> Response | None:
        """Return the refusal of a pull, or None when it is served."""
        if self.limits.down:
            return JSONResponse({"error": "the store is down"}, status_code=503)
        if key in self.limits.missing:
            return JSONResponse({"error": "no such weights"}, status_code=404)
        if self.journal.active < self.limits.slots:
            return None
        return JSONResponse(
            {"error": "over the rate limit"},
            status_code=429,
            headers={"Retry-After": str(self.limits.retry_after_s)},
        )

    async def handle_limits(self, request: Request) -> Response:
        """Replace the limits."""
        body = await request.body()
        self.limits = msgspec.json.decode(body, type=WeightLimits)
        return JSONResponse({})

    async def handle_journal(self, request: Request) -> Response:
        """Return the journal."""
        return json_response(self.journal)

    def routes(self) -> list[Route]:
        """Return the routes of the store."""
        return [
            Route("/weights/{key:path}", self.handle_weights, methods=["GET", "HEAD"]),
            Route("/weight-limits", self.handle_limits, methods=["PUT"]),
            Route("/weight-journal", self.handle_journal, methods=["GET"]),
        ]


@dataclass(frozen=True, kw_only=True, slots=True)
class PullingClient:
    """A client of the weight store that opens a session for each request.

    :param base_url: base URL of the weight store.
    """

    base_url: str

    async def check(self, key: str) -> None:
        """Return when the store would serve a pull of the weights now."""
        async with aiohttp.ClientSession() as session:
            client = HttpWeightStoreClient(session=session, base_url=self.base_url)
            await client.check(key)

    async def pull(self, key: str) -> int:
        """Pull weights and return their size, in bytes."""
        async with aiohttp.ClientSession() as session:
            client = HttpWeightStoreClient(session=session, base_url=self.base_url)
            return await client.pull(key)
