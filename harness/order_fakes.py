"""Fakes of log, weight store and connections for scenes of orders."""

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

    :param runners: runners, dealt over services and regions.
    :param unfenced: how many of them ignore fencing numbers, the last ones.
    :param services: number of services.
    :param regions: number of regions.
    :param hosts: entry hosts of each region.
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
        engine_roles={name: _engine_role(name) for name in _ROLES},
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


def _engine_role(name: str) -> EngineRole:
    return EngineRole(
        does=name,  # type: ignore[arg-type]
        prefill_tokens_per_s=1.0,
        decode_tokens_per_s=1.0,
        slots=1,
        change_s=6.0,
    )


@dataclass(kw_only=True)
class MemoryLog:
    """The log of a scene.

    :param records: payloads of the control stream.
    :param down: whether it refuses everything.
    :param lose_replies: number of next appends whose reply is lost.
    :param lose_appends: number of next appends that are lost on the way.
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
        """Return the records from an offset on."""
        if self.down:
            raise LogUnavailableError("the log is down")
        records = [
            StoredRecord(offset=offset + index, data=data)
            for index, data in enumerate(self.records[offset:])
        ]
        return ReadReply(records=records, next_offset=len(self.records))


@dataclass(kw_only=True)
class LogPath:
    """One steward's way to the log.

    :param log: the log.
    :param cut: whether nothing passes.
    """

    log: MemoryLog
    cut: bool = False

    async def append(self, stream: str, data: bytes) -> int:
        """Append a payload and return its offset."""
        if self.cut:
            raise LogUnavailableError("the way to the log is cut")
        return await self.log.append(stream, data)

    async def read(self, stream: str, offset: int, *, wait_s: float) -> ReadReply:
        """Return the records from an offset on."""
        if self.cut:
            raise LogUnavailableError("the way to the log is cut")
        return await self.log.read(stream, offset, wait_s=wait_s)


@dataclass(kw_only=True)
class MemoryWeights:
    """The weight store of a scene.

    :param clock: source of time.
    :param slots: pulls served at the same time.
    :param pull_s: time that a pull takes, in seconds.
    :param down: whether it refuses everything.
    """

    clock: ManualClock
    slots: int = 32
    pull_s: float = 20.0
    down: bool = False
    active: int = 0
    peak: int = 0
    pulls: int = 0
    refused: int = 0

    async def check(self, key: str) -> None:
        """Return when a pull would be served."""
        if self.down or self.active >= self.slots:
            self.refused += 1
            raise WeightsUnavailableError("over the limit", retry_after_s=5.0)

    async def pull(self, key: str) -> int:
        """Serve a pull, counting those at the same time."""
        await self.check(key)
        self.active += 1
        self.pulls += 1
        self.peak = max(self.peak, self.active)
        await self.clock.sleep(self.pull_s)
        self.active -= 1
        return 1


@dataclass(kw_only=True)
class MemoryEngines:
    """One steward's connections to the engines.

    :param engines: engines by base URL.
    :param lose_replies: number of next orders whose reply is lost.
    :param lose_orders: number of next orders that stay on the way.
    :param on_the_way: orders that can still arrive.
    :param gate: holds orders back between the sender's check and the sending
        until it is set, None to hold none back.
    """

    engines: dict[str, EngineControl]
    lose_replies: int = 0
    lose_orders: int = 0
    on_the_way: list[tuple[str, EngineOrder]] = field(default_factory=list)
    gate: asyncio.Event | None = None
    sent: int = 0
    reads: int = 0

    async def fetch_state(self, url: str) -> EngineState:
        """Return what an engine runs now."""
        self.reads += 1
        return self.engines[url].read()

    async def give_order(self, url: str, order: EngineOrder) -> OrderReply:
        """Deliver an order, unless a fault is on."""
        if self.gate is not None:
            await self.gate.wait()
        self.sent += 1
        if self.lose_orders > 0:
            self.lose_orders -= 1
            self.on_the_way.append((url, order))
            raise RunnerError("no answer", sent=True)
        reply = self.engines[url].take(order)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise RunnerError("no answer", sent=True)
        return reply

    def switch_gate(self) -> None:
        """Hold orders back from here on, or let them go on."""
        if self.gate is None:
            self.gate = asyncio.Event()
            return
        self.gate.set()
        self.gate = None

    def deliver_late(self) -> None:
        """Let the orders on the way arrive."""
        for url, order in self.on_the_way:
            self.engines[url].take(order)
        self.on_the_way.clear()

    def deliver_late_to_fenced(self) -> None:
        """Let the orders on the way arrive at engines that check numbers."""
        fenced = [
            item for item in self.on_the_way if self.engines[item[0]].checks_fencing
        ]
        self.on_the_way = fenced
        self.deliver_late()
