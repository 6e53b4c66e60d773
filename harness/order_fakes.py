"""Fake log, weight store and engine client for order simulations."""

import asyncio
from dataclasses import dataclass, field

from harness.manual_clock import ManualClock
from lacewinglug.authority.records import AnyRecord, encode_record
from lacewinglug.backing.log import ReadReply, StoredRecord
from lacewinglug.backing.weights import WeightsUnavailableError
from lacewinglug.config.objects import (
    AvailabilityZone,
    EngineRole,
    Fleet,
    Host,
    Model,
    Region,
    Runner,
    Service,
    Version,
)
from lacewinglug.errors import AppendOutcomeUnknownError, LogUnavailableError
from lacewinglug.standin.engine_control import EngineControl
from lacewinglug.upstream.client import RunnerError
from lacewinglug.upstream.messages import EngineOrder, EngineState, OrderReply

_ROLES = ("mixed", "prefill", "decode")


def make_fleet(
    *,
    runners: int = 1,
    unfenced: int = 0,
    services: int = 1,
    regions: int = 1,
    hosts: int = 2,
    role: str = "mixed",
    version: str = "v1",
) -> Fleet:
    """Return a small configuration of engines.

    :param runners: number of runners, distributed over services and regions.
    :param unfenced: number of runners, the last ones, that ignore fencing numbers.
    :param services: number of services.
    :param regions: number of regions.
    :param hosts: number of entry hosts per region.
    :param role: initial role of every runner.
    :param version: version of every service.
    """
    return Fleet(
        regions={f"r{index}": Region(one_way_delay_s=0.02) for index in range(regions)},
        availability_zones={
            f"z{index}": AvailabilityZone(region=f"r{index}", one_way_delay_s=0.001)
            for index in range(regions)
        },
        hosts={
            f"h{index}": Host(
                availability_zone=f"z{index % regions}",
                address="127.0.0.1",
                entry_port=8000 + index,
                control_port=9000 + index,
            )
            for index in range(hosts * regions)
        },
        models={"m": Model(kv_bytes_per_token=1)},
        versions={
            name: Version(model="m", weight_key=f"m/{name}", weight_bytes=1)
            for name in ("v1", "v2")
        },
        engine_roles={name: _make_engine_role(name) for name in _ROLES},
        services={
            f"s{index}": Service(kind="model", version=version, roles=_ROLES)
            for index in range(services)
        },
        runners={
            f"e{index}": Runner(
                service=f"s{index % services}",
                availability_zone=f"z{index // services % regions}",
                url=f"http://e{index}",
                checks_fencing=index < runners - unfenced,
                initial_role=role,
            )
            for index in range(runners)
        },
    )


def _make_engine_role(name: str) -> EngineRole:
    return EngineRole(
        does=name,  # type: ignore[arg-type]
        prefill_tokens_per_s=1.0,
        decode_tokens_per_s=1.0,
        slots=1,
        change_s=6.0,
    )


@dataclass(kw_only=True)
class FakeLog:
    """In-memory log of a simulation.

    :param records: payloads of the control stream.
    :param down: whether it refuses all requests.
    :param lose_replies: number of upcoming appends whose reply is lost.
    :param lose_appends: number of upcoming appends that are lost before the log.
    """

    records: list[bytes] = field(default_factory=list)
    down: bool = False
    lose_replies: int = 0
    lose_appends: int = 0

    def add(self, record: AnyRecord) -> int:
        """Append a record and return its offset."""
        self.records.append(encode_record(record))
        return len(self.records) - 1

    async def append(self, stream: str, data: bytes) -> int:
        """Append a payload and return its offset."""
        if self.down:
            raise LogUnavailableError("the log is down")
        if self.lose_appends > 0:
            self.lose_appends -= 1
            raise AppendOutcomeUnknownError("the append was lost")
        self.records.append(data)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise AppendOutcomeUnknownError("the reply was lost")
        return len(self.records) - 1

    async def read(self, stream: str, offset: int, *, wait_s: float) -> ReadReply:
        """Return the records starting at an offset."""
        if self.down:
            raise LogUnavailableError("the log is down")
        records = [
            StoredRecord(offset=offset + index, data=data)
            for index, data in enumerate(self.records[offset:])
        ]
        return ReadReply(records=records, next_offset=len(self.records))


@dataclass(kw_only=True)
class LogConnection:
    """Connection of a steward to the log.

    :param log: the log.
    :param broken: whether the connection is broken.
    """

    log: FakeLog
    broken: bool = False

    async def append(self, stream: str, data: bytes) -> int:
        """Append a payload and return its offset."""
        if self.broken:
            raise LogUnavailableError("the connection to the log is broken")
        return await self.log.append(stream, data)

    async def read(self, stream: str, offset: int, *, wait_s: float) -> ReadReply:
        """Return the records starting at an offset."""
        if self.broken:
            raise LogUnavailableError("the connection to the log is broken")
        return await self.log.read(stream, offset, wait_s=wait_s)


@dataclass(kw_only=True)
class FakeWeightStore:
    """Weight store of a simulation.

    :param clock: source of time.
    :param slots: maximum number of concurrent pulls.
    :param pull_s: duration of a pull, in seconds.
    :param down: whether it refuses all requests.
    """

    clock: ManualClock
    slots: int = 32
    pull_s: float = 20.0
    down: bool = False
    active_pulls: int = 0
    peak_pulls: int = 0
    total_pulls: int = 0
    refused_checks: int = 0

    async def check(self, key: str) -> None:
        """Return if a pull can be served now.

        :raises WeightsUnavailableError: the store is down or over its limit.
        """
        if self.down or self.active_pulls >= self.slots:
            self.refused_checks += 1
            raise WeightsUnavailableError("over the limit", retry_after_s=5.0)

    async def pull(self, key: str) -> int:
        """Serve a pull and track the number of concurrent pulls."""
        await self.check(key)
        self.active_pulls += 1
        self.total_pulls += 1
        self.peak_pulls = max(self.peak_pulls, self.active_pulls)
        await self.clock.sleep(self.pull_s)
        self.active_pulls -= 1
        return 1


@dataclass(kw_only=True)
class FakeEngineClient:
    """Engine client of a steward, with injected faults.

    :param engines: engines by base URL.
    :param lose_replies: number of upcoming orders whose reply is lost.
    :param lose_orders: number of upcoming orders that are delayed in flight.
    :param orders_in_flight: orders that can still arrive.
    :param gate: blocks orders between the tenure check of the sender and delivery
        until it is set, None to block none.
    """

    engines: dict[str, EngineControl]
    lose_replies: int = 0
    lose_orders: int = 0
    orders_in_flight: list[tuple[str, EngineOrder]] = field(default_factory=list)
    gate: asyncio.Event | None = None
    sent_orders: int = 0
    state_reads: int = 0

    async def fetch_state(self, url: str) -> EngineState:
        """Return the current state of an engine."""
        self.state_reads += 1
        return self.engines[url].read()

    async def give_order(self, url: str, order: EngineOrder) -> OrderReply:
        """Deliver an order, unless a fault prevents it."""
        if self.gate is not None:
            await self.gate.wait()
        self.sent_orders += 1
        if self.lose_orders > 0:
            self.lose_orders -= 1
            self.orders_in_flight.append((url, order))
            raise RunnerError("no reply", sent=True)
        reply = self.engines[url].take(order)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise RunnerError("no reply", sent=True)
        return reply

    def toggle_gate(self) -> None:
        """Start blocking orders, or release blocked ones."""
        if self.gate is None:
            self.gate = asyncio.Event()
            return
        self.gate.set()
        self.gate = None

    def deliver_in_flight(self) -> None:
        """Deliver the orders in flight."""
        for url, order in self.orders_in_flight:
            self.engines[url].take(order)
        self.orders_in_flight.clear()

    def deliver_in_flight_to_fenced(self) -> None:
        """Deliver orders in flight to fenced engines, and drop all others."""
        fenced = [
            item
            for item in self.orders_in_flight
            if self.engines[item[0]].checks_fencing
        ]
        self.orders_in_flight = fenced
        self.deliver_in_flight()
