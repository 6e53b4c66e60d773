"""Entries that answer calls, in one process, between fakes that fail by seed."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import TypeVar

from returns.result import Result, Success

from harness.virtual_time import VirtualClock
from lacewinglug.backing.log import ReadReply, StoredRecord
from lacewinglug.errors import AppendOutcomeUnknownError, LogUnavailableError
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.requests.calls import Call, CallRunner
from lacewinglug.requests.intent_claims import IntentClaims
from lacewinglug.requests.intents import SHARD_COUNT
from lacewinglug.requests.keyed_calls import KeyedCalls
from lacewinglug.requests.keys import KeyMinter
from lacewinglug.requests.ledger import CallLedger, CallResult
from lacewinglug.requests.outcome_archive import OutcomeArchive
from lacewinglug.requests.peers import PeerError, PeerStep
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.upstream.client import RunnerError, RunnerStatusError
from lacewinglug.upstream.messages import CallReply

SERVICE = "booking"
KIND = "hold"
TIMEOUT_S = 5.0
_LATENCY_S = 0.002
_SERVICE_TIME_S = 0.02
_ARCHIVE_INTERVAL_S = 1.0

ResultT = TypeVar("ResultT")


@dataclass(kw_only=True)
class FaultRates:
    """Share of operations that show each fault.

    :param refused: connections to the service that fail.
    :param request_lost: calls lost after they were written.
    :param reply_lost: answers of the service that are lost.
    :param reply_late: answers that come after the timeout.
    :param reply_swapped: answers that belong to another call.
    :param error_status: calls that the service answers with an error.
    :param peer_lost: forwarded calls, or their answers, that are lost.
    :param append_lost: appends whose reply is lost after the effect.
    """

    refused: float = 0.0
    request_lost: float = 0.0
    reply_lost: float = 0.0
    reply_late: float = 0.0
    reply_swapped: float = 0.0
    error_status: float = 0.0
    peer_lost: float = 0.0
    append_lost: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalLine:
    """One run of a call at the service."""

    organisation: str
    key: str
    body: bytes


@dataclass(kw_only=True)
class FakeLog:
    """The platform's log in memory."""

    rng: random.Random
    rates: FaultRates
    down: bool = False
    appends: int = 0
    streams: dict[str, list[bytes]] = field(default_factory=dict)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record."""
        await asyncio.sleep(_LATENCY_S)
        if self.down:
            raise LogUnavailableError("the log is down")
        self.appends += 1
        records = self.streams.setdefault(stream, [])
        records.append(data)
        offset = len(records) - 1
        if self.rng.random() < self.rates.append_lost:
            await asyncio.sleep(2.0)
            raise AppendOutcomeUnknownError("the reply was lost")
        await asyncio.sleep(_LATENCY_S)
        return offset

    async def read(self, stream: str, offset: int, *, wait_s: float) -> ReadReply:
        """Read records."""
        await asyncio.sleep(_LATENCY_S)
        if self.down:
            raise LogUnavailableError("the log is down")
        batch = self.streams.get(stream, [])[offset : offset + 500]
        records = [
            StoredRecord(offset=offset + index, data=data)
            for index, data in enumerate(batch)
        ]
        return ReadReply(records=records, next_offset=offset + len(records))


@dataclass(kw_only=True)
class FakeService:
    """A plain service with a journal; its effects go on without the entry.

    :param unanswerable: organisation and key of calls whose fate no entry could
        have known: their bytes left, and no answer of theirs came back in time.
    """

    rng: random.Random
    rates: FaultRates
    journal: list[JournalLine] = field(default_factory=list)
    unanswerable: set[tuple[str, str]] = field(default_factory=set)
    effects: set[asyncio.Task[None]] = field(default_factory=set)

    async def call(
        self,
        url: str,
        path: str,
        *,
        key: str,
        organisation: str,
        body: bytes,
        timeout_s: float,
        repeatable: bool,
    ) -> CallReply:
        """Run a call, or show one of the faults."""
        await asyncio.sleep(_LATENCY_S)
        fault = self._choose_fault()
        if fault == "refused":
            raise RunnerError("cannot connect", sent=False)
        self.unanswerable.add((organisation, key))
        if fault != "request_lost":
            line = JournalLine(organisation=organisation, key=key, body=body)
            effect = asyncio.create_task(self._run(line))
            self.effects.add(effect)
            effect.add_done_callback(self.effects.discard)
        match fault:
            case "request_lost" | "reply_lost" | "reply_late":
                await asyncio.sleep(timeout_s)
                raise RunnerError("no answer", sent=True)
        await asyncio.sleep(_SERVICE_TIME_S * (1 + self.rng.random()))
        if fault == "reply_swapped":
            raise RunnerError("the answer to another call", sent=True)
        self.unanswerable.discard((organisation, key))
        if fault == "error_status":
            raise RunnerStatusError(500)
        return CallReply(key=key, result=expected_result(body))

    async def _run(self, line: JournalLine) -> None:
        await asyncio.sleep(_SERVICE_TIME_S * self.rng.random())
        self.journal.append(line)

    def _choose_fault(self) -> str:
        draw = self.rng.random()
        rates = self.rates
        for name in (
            "refused",
            "request_lost",
            "reply_lost",
            "reply_late",
            "reply_swapped",
            "error_status",
        ):
            draw -= getattr(rates, name)
            if draw < 0:
                return name
        return ""


def expected_result(body: bytes) -> str:
    """Return the answer of the service to a body."""
    return f"done {body.decode()}"


@dataclass(kw_only=True)
class FakeDispatch:
    """One call on the only runner."""

    runner: str = "runner-1"
    url: str = ""

    def close(self, *, succeeded: bool) -> None:
        """Do nothing."""


class FakeDispatcher:
    """Places every call on the only runner."""

    async def place(
        self, profile: RequestProfile, *, failed_runners: object = ()
    ) -> Result[FakeDispatch, object]:
        """Return the runner."""
        return Success(FakeDispatch())


class EntryGoneError(Exception):
    """The entry ended before it answered, or is not there."""


@dataclass(kw_only=True)
class FakeEntry:
    """One run of an entry."""

    host: str
    keyed: KeyedCalls
    requests: set[asyncio.Task[CallResult]] = field(default_factory=set)
    background: list[asyncio.Task[None]] = field(default_factory=list)
    alive: bool = True

    async def serve(self, work: Awaitable[CallResult]) -> CallResult:
        """Do work that ends when the entry is killed."""
        task = asyncio.ensure_future(work)
        self.requests.add(task)
        task.add_done_callback(self.requests.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not self.alive:
                raise EntryGoneError from None
            raise

    def kill(self) -> None:
        """End every task of the entry at once."""
        self.alive = False
        for task in [*self.requests, *self.keyed._tasks, *self.background]:
            task.cancel()


@dataclass(kw_only=True)
class FakeLink:
    """What one entry sees of the others, its peer client and directory."""

    fleet: "CallFleet"
    host: str

    def is_member(self, host: str) -> bool:
        """Return whether a host belongs to the fleet."""
        return host in self.fleet.hosts

    def claimant_of(self, shard: int) -> str:
        """Return the host of a shard, by this entry's view."""
        names = self.fleet.views.get(self.host, self.fleet.hosts)
        return names[shard % len(names)]

    def own_shards(self) -> set[int]:
        """Return the shards that this entry claims keys in."""
        return {s for s in range(SHARD_COUNT) if self.claimant_of(s) == self.host}

    async def forward(
        self, host: str, incarnation: str, step: PeerStep, call: Call
    ) -> CallResult:
        """Forward a call, or show one of the faults."""
        await asyncio.sleep(_LATENCY_S)
        fleet = self.fleet
        entry = fleet.entries[host]
        if not entry.alive:
            raise PeerError("cannot connect", sent=False)
        loss = fleet.rng.random() < fleet.rates.peer_lost
        if loss and fleet.rng.random() < 0.5:
            await asyncio.sleep(TIMEOUT_S)
            raise PeerError("no answer", sent=True)
        work = entry.keyed.answer_peer(call, incarnation=incarnation, step=step)
        try:
            async with asyncio.timeout(TIMEOUT_S + 1.0):
                result = await entry.serve(work)
        except (TimeoutError, EntryGoneError):
            raise PeerError("no answer", sent=True) from None
        if loss:
            raise PeerError("no answer", sent=True)
        return result


def _every_s() -> float:
    return _ARCHIVE_INTERVAL_S


@dataclass(kw_only=True)
class CallFleet:
    """Entries, a service and a log.

    :param seed: decides every fault.
    :param rates: share of operations that show each fault.
    :param hosts: names of the entry hosts.
    :param max_results: results that each entry remembers.
    :param key_window: minted keys whose use each entry remembers.
    """

    seed: int
    rates: FaultRates = field(default_factory=FaultRates)
    hosts: list[str] = field(default_factory=lambda: [f"entry-{i}" for i in range(4)])
    max_results: int = 10_000
    key_window: int = 10_000
    views: dict[str, list[str]] = field(default_factory=dict)
    entries: dict[str, FakeEntry] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.clock = VirtualClock()
        self.log = FakeLog(rng=self.rng, rates=self.rates)
        self.service = FakeService(rng=self.rng, rates=self.rates)
        self.metrics = Metrics()
        self._starts = 0
        for host in self.hosts:
            self.start(host)

    def start(self, host: str) -> None:
        """Start a new run of a host's entry."""
        self._starts += 1
        ids = IdFactory(host=host, incarnation=f"{self._starts:012x}")
        link = FakeLink(fleet=self, host=host)
        runner = CallRunner(
            dispatcher=FakeDispatcher(),
            client=self.service,
            clock=self.clock,
            metrics=self.metrics,
        )
        keyed = KeyedCalls(
            minter=KeyMinter(
                host=host,
                incarnation=ids.incarnation,
                secret=ids.incarnation.encode(),
                window=self.key_window,
            ),
            ledger=CallLedger(max_results=self.max_results, max_bytes=1 << 20),
            runner=runner,
            claims=IntentClaims(
                log=self.log,
                ids=ids,
                clock=self.clock,
                metrics=self.metrics,
                interval_s=0.2,
                window_s=3600.0,
                max_keys=100_000,
            ),
            archive=OutcomeArchive(
                log=self.log, ids=ids, clock=self.clock, metrics=self.metrics
            ),
            peers=link,
            directory=link,
            clock=self.clock,
            metrics=self.metrics,
        )
        entry = FakeEntry(host=host, keyed=keyed)
        self.entries[host] = entry
        for work in (keyed.claims.run(link.own_shards), keyed.archive.run(_every_s)):
            entry.background.append(asyncio.create_task(work))

    def mint(self, host: str, organisation: str = "north") -> str:
        """Mint a key at an entry."""
        return self.entries[host].keyed.minter.mint(organisation)

    async def send(
        self, host: str, key: str, body: bytes, organisation: str = "north"
    ) -> CallResult:
        """Send a call to an entry.

        :raises EntryGoneError: the connection was lost.
        """
        entry = self.entries[host]
        if not entry.alive:
            raise EntryGoneError
        profile = RequestProfile(
            request_id=entry.keyed.claims.ids.make(),
            service=SERVICE,
            kind=KIND,
            organisation=organisation,
            weight=1.0,
            deadline_s=self.clock.now_s() + TIMEOUT_S,
            idempotent=False,
        )
        call = Call(
            profile=profile, path="/hold", body=body, key=key, timeout_s=TIMEOUT_S
        )
        return await entry.serve(entry.keyed.answer(call))
