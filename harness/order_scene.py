"""Stewards, engines, log and weight store in one process, on virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from harness.journals import find_order_violations
from harness.manual_clock import ManualClock
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.authority.records import AnyRecord, ConfigPublished, encode_record
from lacewinglug.authority.replay import replay_record
from lacewinglug.authority.state import ControlState
from lacewinglug.authority.tenures import Claimant, HostKnowledge
from lacewinglug.config.changes import FleetChange, diff_fleets, digest_fleet
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
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.platform.log import ReadReply, StoredRecord
from lacewinglug.platform.weights import WeightsUnavailableError
from lacewinglug.standin.engine_control import EngineControl
from lacewinglug.steward.backoff import Backoff
from lacewinglug.steward.engine_change import ChangeDriver, OrderTimings
from lacewinglug.steward.orders import OrderManager
from lacewinglug.steward.tenures import TenureKeeper
from lacewinglug.upstream.client import RunnerError
from lacewinglug.upstream.messages import (
    EngineOrder,
    EngineState,
    EngineTarget,
    OrderReply,
)

TICK_S = 0.5
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

    async def fetch_state(self, url: str) -> EngineState:
        """Return what an engine runs now."""
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


@dataclass(kw_only=True)
class SceneSteward:
    """One steward of a scene.

    :param state: its replayed state.
    :param path: its way to the log.
    :param client: its connections to the engines.
    :param keeper: its tenures.
    :param manager: its orders.
    :param paused: whether its process is stopped.
    """

    state: ControlState
    path: LogPath
    client: MemoryEngines
    keeper: TenureKeeper
    manager: OrderManager
    paused: bool = False

    async def tick(self) -> None:
        """Follow the log, claim and start steps."""
        try:
            reply = await self.path.read("control", self.state.next_offset, wait_s=0.0)
        except LogUnavailableError:
            pass
        else:
            for record in reply.records:
                replay_record(self.state, record)
        await self.keeper.step()
        self.manager.start_steps()


@dataclass(kw_only=True)
class OrderScene:
    """Stewards of all hosts of a configuration, with its engines.

    :param fleet: the configuration.
    :param loaded: what the engines run at the start, None for nothing.
    :param limits: how many engines change at once.
    :param seed: seed of the jitter.
    """

    fleet: Fleet
    loaded: EngineTarget | None = field(
        default_factory=lambda: EngineTarget(role="mixed", version="v1")
    )
    limits: ChangeLimits = field(default_factory=ChangeLimits)
    timings: OrderTimings = field(default_factory=OrderTimings)
    seed: int = 1
    clock: ManualClock = field(default_factory=ManualClock)
    log: MemoryLog = field(default_factory=MemoryLog)
    running: Counter[str] = field(default_factory=Counter)
    live: set[str] = field(default_factory=set)
    listed: set[str] = field(default_factory=set)
    stewards: dict[str, SceneSteward] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.weights = MemoryWeights(clock=self.clock)
        self.engines = {
            name: self._make_engine(name, item.checks_fencing)
            for name, item in self.fleet.runners.items()
        }
        self.published = Fleet()
        self.revision = 0
        self.publish(self.fleet)
        for host in self.fleet.hosts:
            self.start_steward(host, "1")

    def _make_engine(self, name: str, checks_fencing: bool) -> EngineControl:
        return EngineControl(
            running=lambda: self.running[name],
            checks_fencing=checks_fencing,
            change_s=6.0,
            target=self.loaded or EngineTarget(role="", version=""),
            weights=self.weights,
            clock=self.clock,
        )

    def publish(self, fleet: Fleet) -> None:
        """Append the next revision of the configuration."""
        change: FleetChange = diff_fleets(self.published, fleet)
        self.log.add(
            ConfigPublished(
                record_id=f"publish-{self.revision}",
                as_of=len(self.log.records),
                publisher="operator",
                base_revision=self.revision,
                change=change,
                digest=digest_fleet(fleet),
            )
        )
        self.published = fleet
        self.revision += 1

    def start_steward(self, host: str, incarnation: str) -> SceneSteward:
        """Start the steward of a host, in place of an earlier one."""
        state = ControlState()
        path = LogPath(log=self.log)
        client = MemoryEngines(
            engines={
                item.url: self.engines[name]
                for name, item in self.fleet.runners.items()
            }
        )
        rng = random.Random(f"{self.seed}/{host}/{incarnation}")
        backoff = Backoff(base_s=1.0, cap_s=60.0, rng=rng)
        metrics = Metrics()
        ids = IdFactory(host=host, incarnation=incarnation)
        keeper = TenureKeeper(
            claimant=Claimant(host=host, incarnation=incarnation, machine=host),
            state=state,
            log=path,
            ids=ids,
            known_hosts=self.known_hosts,
            clock=self.clock,
            backoff=backoff,
            metrics=metrics,
        )
        driver = ChangeDriver(
            keeper=keeper,
            client=client,
            weights=self.weights,
            ids=ids,
            clock=self.clock,
            backoff=backoff,
            metrics=metrics,
            timings=self.timings,
        )
        manager = OrderManager(
            state=state,
            keeper=keeper,
            driver=driver,
            clock=self.clock,
            metrics=metrics,
            timings=self.timings,
            limits=self.limits,
        )
        self.live.add(host)
        self.listed.add(host)
        self.stewards[host] = SceneSteward(
            state=state, path=path, client=client, keeper=keeper, manager=manager
        )
        return self.stewards[host]

    def known_hosts(self) -> HostKnowledge:
        """Return the live and listed hosts of the scene."""
        return HostKnowledge(live=frozenset(self.live), listed=frozenset(self.listed))

    async def run(self, duration_s: float) -> None:
        """Run the stewards that are not paused for some time."""
        for _ in range(round(duration_s / TICK_S)):
            for steward in list(self.stewards.values()):
                if not steward.paused:
                    await steward.tick()
            await self.clock.advance(TICK_S)

    async def run_until(
        self, condition: Callable[[], bool], *, limit_s: float = 600.0
    ) -> float:
        """Run until a condition holds and return the time that it took.

        :raises AssertionError: it did not come true within the limit.
        """
        start_s = self.clock.now_s()
        while not condition():
            if self.clock.now_s() - start_s > limit_s:
                raise AssertionError("the condition did not come true")
            await self.run(TICK_S)
        return self.clock.now_s() - start_s

    def holder(self, runner: str = "e0") -> SceneSteward:
        """Return the steward that gives a runner's orders."""
        return next(
            item for item in self.stewards.values() if runner in item.manager.changes
        )

    def others(self, steward: SceneSteward) -> list[SceneSteward]:
        """Return the other stewards."""
        return [item for item in self.stewards.values() if item is not steward]

    def agree(self, target: EngineTarget) -> bool:
        """Return whether every engine runs a target and accepts work or not."""
        return all(
            item.state != "changing" and target.is_met_by(item.target)
            for item in self.engines.values()
        )

    def violations(self) -> list[str]:
        """Return what the engines' journals show against the promises."""
        return [
            f"{name}: {text}"
            for name, engine in self.engines.items()
            for text in find_order_violations(engine.journal)
        ]
