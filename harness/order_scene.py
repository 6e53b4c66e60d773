"""Stewards, engines, log and weight store in one process, on virtual time."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from harness.journals import find_order_violations
from harness.manual_clock import ManualClock
from harness.order_fakes import LogPath, MemoryEngines, MemoryLog, MemoryWeights
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.authority.records import ConfigPublished
from lacewinglug.authority.replay import replay_record
from lacewinglug.authority.state import ControlState
from lacewinglug.authority.tenures import Claimant, HostView
from lacewinglug.config.changes import FleetChange, diff_fleets, digest_fleet
from lacewinglug.config.objects import (
    Fleet,
)
from lacewinglug.errors import LogUnavailableError
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.standin.engine_control import EngineControl
from lacewinglug.steward.backoff import Backoff
from lacewinglug.steward.engine_change import ChangeDriver, OrderTimings
from lacewinglug.steward.orders import OrderManager
from lacewinglug.steward.tenures import TenureKeeper
from lacewinglug.upstream.messages import (
    EngineTarget,
    LoadReport,
)

TICK_S = 0.5


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
    reports: dict[str, LoadReport] = field(default_factory=dict)
    most_away: int = 0

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
            reports=lambda: self.reports,
            timings=self.timings,
            limits=self.limits,
        )
        self.live.add(host)
        self.listed.add(host)
        self.stewards[host] = SceneSteward(
            state=state, path=path, client=client, keeper=keeper, manager=manager
        )
        return self.stewards[host]

    def known_hosts(self) -> HostView:
        """Return the live and listed hosts of the scene."""
        return HostView(live=frozenset(self.live), listed=frozenset(self.listed))

    async def run(self, duration_s: float) -> None:
        """Run the stewards that are not paused for some time."""
        for _ in range(round(duration_s / TICK_S)):
            for steward in list(self.stewards.values()):
                if not steward.paused:
                    await steward.tick()
            await self.clock.advance(TICK_S)
            self._report()

    def _report(self) -> None:
        """Publish the load reports of the engines, one tick old."""
        self.reports = {
            name: LoadReport(state=item.state, fencing_number=item.fencing_number)
            for name, item in self.engines.items()
        }
        away = sum(item.state != "ready" for item in self.engines.values())
        self.most_away = max(self.most_away, away)

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
