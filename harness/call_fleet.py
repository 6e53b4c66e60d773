"""A fleet of entries in one process, with seeded faults in the fakes around it."""

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
from lacewinglug.requests.calls import Call, CallSender
from lacewinglug.requests.intent_claims import KeyClaims
from lacewinglug.requests.intents import SHARD_COUNT
from lacewinglug.requests.keyed_calls import KeyedCallHandler
from lacewinglug.requests.keys import KeyMinter
from lacewinglug.requests.ledger import CallCache, CallResult
from lacewinglug.requests.outcome_archive import OutcomeArchive
from lacewinglug.requests.peers import ForwardTarget, PeerError
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
    """Probability of each fault per operation.

    :param refused: a connection to the service fails.
    :param request_lost: a call is lost after it was written.
    :param reply_lost: a reply of the service is lost.
    :param reply_late: a reply arrives after the timeout.
    :param reply_swapped: a reply belongs to another call.
    :param error_status: the service replies with an error status.
    :param peer_lost: a forwarded call or its answer is lost.
    :param append_lost: a record is appended but the log's reply is lost.
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
class ServiceExecution:
    """One execution of a call by the service."""

    organisation: str
    key: str
    body: bytes


@dataclass(kw_only=True)
class FakeLog:
    """In-memory fake of the platform's log."""

    rng: random.Random
    rates: FaultRates
    is_down: bool = False
    appends: int = 0
    streams: dict[str, list[bytes]] = field(default_factory=dict)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset, or inject a fault."""
        await asyncio.sleep(_LATENCY_S)
        if self.is_down:
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
        """Read records from an offset; ``wait_s`` is ignored."""
        await asyncio.sleep(_LATENCY_S)
        if self.is_down:
            raise LogUnavailableError("the log is down")
        batch = self.streams.get(stream, [])[offset : offset + 500]
        records = [
            StoredRecord(offset=offset + index, data=data)
            for index, data in enumerate(batch)
        ]
        return ReadReply(records=records, next_offset=offset + len(records))


@dataclass(kw_only=True)
class FakeService:
    """Fake plain service that records its executions.

    An execution finishes even if the entry that sent the call is killed.

    :param unanswered_calls: organisation and key of calls whose outcome no entry
        could know: the request was sent, but no reply of its own came in time.
    """

    rng: random.Random
    rates: FaultRates
    executions: list[ServiceExecution] = field(default_factory=list)
    unanswered_calls: set[tuple[str, str]] = field(default_factory=set)
    execution_tasks: set[asyncio.Task[None]] = field(default_factory=set)

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
        """Execute a call, or inject one of the faults."""
        await asyncio.sleep(_LATENCY_S)
        fault = self._choose_fault()
        if fault == "refused":
            raise RunnerError("cannot connect", sent=False)
        self.unanswered_calls.add((organisation, key))
        if fault != "request_lost":
            execution = ServiceExecution(organisation=organisation, key=key, body=body)
            task = asyncio.create_task(self._execute(execution))
            self.execution_tasks.add(task)
            task.add_done_callback(self.execution_tasks.discard)
        match fault:
            case "request_lost" | "reply_lost" | "reply_late":
                await asyncio.sleep(timeout_s)
                raise RunnerError("no answer", sent=True)
        await asyncio.sleep(_SERVICE_TIME_S * (1 + self.rng.random()))
        if fault == "reply_swapped":
            raise RunnerError("the answer to another call", sent=True)
        self.unanswered_calls.discard((organisation, key))
        if fault == "error_status":
            raise RunnerStatusError(500)
        return CallReply(key=key, result=expected_result(body))

    async def _execute(self, execution: ServiceExecution) -> None:
        await asyncio.sleep(_SERVICE_TIME_S * self.rng.random())
        self.executions.append(execution)

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
    """Return the result of the service for a body."""
    return f"done {body.decode()}"


@dataclass(kw_only=True)
class FakeDispatch:
    """Dispatch of one call to the only runner."""

    runner: str = "runner-1"
    url: str = ""

    def close(self, *, succeeded: bool) -> None:
        """Do nothing."""


class FakeDispatcher:
    """Dispatches every call to the only runner."""

    async def place(
        self, profile: RequestProfile, *, failed_runners: object = ()
    ) -> Result[FakeDispatch, object]:
        """Return a dispatch to the only runner."""
        return Success(FakeDispatch())


class EntryGoneError(Exception):
    """The entry was killed before it answered, or is not running."""


@dataclass(kw_only=True)
class FakeEntry:
    """One run of an entry process."""

    host: str
    keyed: KeyedCallHandler
    request_tasks: set[asyncio.Task[CallResult]] = field(default_factory=set)
    background_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    is_alive: bool = True

    async def run_request(self, work: Awaitable[CallResult]) -> CallResult:
        """Run work that is cancelled when the entry is killed."""
        task = asyncio.ensure_future(work)
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not self.is_alive:
                raise EntryGoneError from None
            raise

    def kill(self) -> None:
        """Cancel every task of the entry."""
        self.is_alive = False
        for task in [*self.request_tasks, *self.keyed._tasks, *self.background_tasks]:
            task.cancel()


@dataclass(kw_only=True)
class FakePeers:
    """Peer client and directory of one entry.

    :param fleet: the fleet.
    :param host: host of the entry.
    """

    fleet: "CallFleet"
    host: str

    def is_member(self, host: str) -> bool:
        """Return whether a host belongs to the fleet."""
        return host in self.fleet.hosts

    def claimant_of(self, shard: int) -> str:
        """Return the claimant of a shard, according to this entry's view."""
        names = self.fleet.host_views.get(self.host, self.fleet.hosts)
        return names[shard % len(names)]

    def own_shards(self) -> set[int]:
        """Return the shards in which this entry claims keys."""
        return {s for s in range(SHARD_COUNT) if self.claimant_of(s) == self.host}

    async def forward(
        self, host: str, incarnation: str, target: ForwardTarget, call: Call
    ) -> CallResult:
        """Forward a call, or inject a lost request or answer."""
        await asyncio.sleep(_LATENCY_S)
        fleet = self.fleet
        entry = fleet.entries[host]
        if not entry.is_alive:
            raise PeerError("cannot connect", sent=False)
        is_lost = fleet.rng.random() < fleet.rates.peer_lost
        if is_lost and fleet.rng.random() < 0.5:
            await asyncio.sleep(TIMEOUT_S)
            raise PeerError("no answer", sent=True)
        work = entry.keyed.handle_forwarded(
            call, incarnation=incarnation, target=target
        )
        try:
            async with asyncio.timeout(TIMEOUT_S + 1.0):
                result = await entry.run_request(work)
        except (TimeoutError, EntryGoneError):
            raise PeerError("no answer", sent=True) from None
        if is_lost:
            raise PeerError("no answer", sent=True)
        return result


def _archive_interval_s() -> float:
    return _ARCHIVE_INTERVAL_S


@dataclass(kw_only=True)
class CallFleet:
    """Entries with a fake service and a fake log.

    :param seed: seed of all faults and latencies.
    :param rates: probability of each fault.
    :param hosts: names of the entry hosts.
    :param max_results: maximum number of results that each entry keeps.
    :param key_window: number of minted keys whose use each entry tracks.
    :param host_views: for a host, the hosts among which it picks claimants; all
        hosts where it has no item.
    :param entries: the latest run of each host's entry.
    """

    seed: int
    rates: FaultRates = field(default_factory=FaultRates)
    hosts: list[str] = field(default_factory=lambda: [f"entry-{i}" for i in range(4)])
    max_results: int = 10_000
    key_window: int = 10_000
    host_views: dict[str, list[str]] = field(default_factory=dict)
    entries: dict[str, FakeEntry] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.clock = VirtualClock()
        self.log = FakeLog(rng=self.rng, rates=self.rates)
        self.service = FakeService(rng=self.rng, rates=self.rates)
        self.metrics = Metrics()
        self._start_count = 0
        for host in self.hosts:
            self.start_entry(host)

    def start_entry(self, host: str) -> None:
        """Start a new run of the entry on a host."""
        self._start_count += 1
        ids = IdFactory(host=host, incarnation=f"{self._start_count:012x}")
        peers = FakePeers(fleet=self, host=host)
        runner = CallSender(
            dispatcher=FakeDispatcher(),
            client=self.service,
            clock=self.clock,
            metrics=self.metrics,
        )
        keyed = KeyedCallHandler(
            minter=KeyMinter(
                host=host,
                incarnation=ids.incarnation,
                secret=ids.incarnation.encode(),
                window_size=self.key_window,
            ),
            cache=CallCache(max_results=self.max_results, max_bytes=1 << 20),
            runner=runner,
            claims=KeyClaims(
                log=self.log,
                ids=ids,
                clock=self.clock,
                metrics=self.metrics,
                append_interval_s=0.2,
                retention_s=3600.0,
                max_keys=100_000,
            ),
            archive=OutcomeArchive(
                log=self.log, ids=ids, clock=self.clock, metrics=self.metrics
            ),
            peers=peers,
            directory=peers,
            clock=self.clock,
            metrics=self.metrics,
        )
        entry = FakeEntry(host=host, keyed=keyed)
        self.entries[host] = entry
        for work in (
            keyed.claims.run(peers.own_shards),
            keyed.archive.run(_archive_interval_s),
        ):
            entry.background_tasks.append(asyncio.create_task(work))

    def mint_key(self, host: str, organisation: str = "north") -> str:
        """Mint a key at the entry of a host."""
        return self.entries[host].keyed.minter.mint(organisation)

    async def send_call(
        self, host: str, key: str, body: bytes, organisation: str = "north"
    ) -> CallResult:
        """Send a call to the entry of a host.

        :raises EntryGoneError: the entry is not running or was killed meanwhile.
        """
        entry = self.entries[host]
        if not entry.is_alive:
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
        return await entry.run_request(entry.keyed.handle(call))
