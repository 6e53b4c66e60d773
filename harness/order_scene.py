"""Runs stewards, engines, log and weight store in one process on a manual clock."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from harness.journals import find_order_violations
from harness.manual_clock import ManualClock
from harness.order_fakes import (
    FakeEngineClient,
    FakeLog,
    FakeWeightStore,
    LogConnection,
)
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.authority.records import ConfigPublished
from lacewinglug.authority.replay import replay_record
from lacewinglug.authority.state import ControlState
from lacewinglug.authority.tenures import Claimant, HostView
from lacewinglug.config.changes import FleetChange, diff_fleets, digest_fleet
from lacewinglug.config.objects import Fleet
from lacewinglug.errors import LogUnavailableError
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.standin.engine_control import EngineControl
from lacewinglug.steward.backoff import Backoff
from lacewinglug.steward.engine_change import ChangeDriver, OrderTimings
from lacewinglug.steward.orders import OrderManager
from lacewinglug.steward.tenures import TenureManager
from lacewinglug.upstream.messages import EngineTarget, LoadReport

TICK_S = 0.5


@dataclass(kw_only=True)
class SimulatedSteward:
    """A steward of a simulation.

    :param state: its replayed state.
    :param log_connection: its connection to the log.
    :param client: its client of the engines.
    :param tenure_manager: manages its tenures.
    :param order_manager: sends its orders.
    :param paused: whether its process is suspended.
    """

    state: ControlState
    log_connection: LogConnection
    client: FakeEngineClient
    tenure_manager: TenureManager
    order_manager: OrderManager
    paused: bool = False

    async def tick(self) -> None:
        """Read the log, update tenures and start due steps."""
        try:
            reply = await self.log_connection.read(
                "control", self.state.next_offset, wait_s=0.0
            )
        except LogUnavailableError:
            pass
        else:
            for record in reply.records:
                replay_record(self.state, record)
        await self.tenure_manager.step()
        self.order_manager.start_steps()


@dataclass(kw_only=True)
class OrderSimulation:
    """Simulates the engines of a configuration and the stewards of all its hosts.

    :param fleet: the configuration.
    :param initial_target: initial state of the engines, None for nothing loaded.
    :param limits: limits on the number of concurrent changes.
    :param seed: seed of the jitter.
    """

    fleet: Fleet
    initial_target: EngineTarget | None = field(
        default_factory=lambda: EngineTarget(role="mixed", version="v1")
    )
    limits: ChangeLimits = field(default_factory=ChangeLimits)
    timings: OrderTimings = field(default_factory=OrderTimings)
    seed: int = 1
    clock: ManualClock = field(default_factory=ManualClock)
    log: FakeLog = field(default_factory=FakeLog)
    running_prompts: Counter[str] = field(default_factory=Counter)
    live_hosts: set[str] = field(default_factory=set)
    listed_hosts: set[str] = field(default_factory=set)
    stewards: dict[str, SimulatedSteward] = field(default_factory=dict)
    reports: dict[str, LoadReport] = field(default_factory=dict)
    max_unavailable: int = 0

    def __post_init__(self) -> None:
        self.weights = FakeWeightStore(clock=self.clock)
        self.engines = {
            name: self._make_engine(name, item.checks_fencing)
            for name, item in self.fleet.runners.items()
        }
        self.published_fleet = Fleet()
        self.revision = 0
        self.publish(self.fleet)
        for host in self.fleet.hosts:
            self.start_steward(host, "1")

    def _make_engine(self, name: str, checks_fencing: bool) -> EngineControl:
        return EngineControl(
            running=lambda: self.running_prompts[name],
            checks_fencing=checks_fencing,
            change_s=6.0,
            target=self.initial_target or EngineTarget(role="", version=""),
            weights=self.weights,
            clock=self.clock,
        )

    def publish(self, fleet: Fleet) -> None:
        """Append the next revision of the configuration."""
        change: FleetChange = diff_fleets(self.published_fleet, fleet)
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
        self.published_fleet = fleet
        self.revision += 1

    def start_steward(self, host: str, incarnation: str) -> SimulatedSteward:
        """Start the steward of a host, replacing an earlier one."""
        state = ControlState()
        log_connection = LogConnection(log=self.log)
        client = FakeEngineClient(
            engines={
                item.url: self.engines[name]
                for name, item in self.fleet.runners.items()
            }
        )
        rng = random.Random(f"{self.seed}/{host}/{incarnation}")
        backoff = Backoff(base_s=1.0, cap_s=60.0, rng=rng)
        metrics = Metrics()
        ids = IdFactory(host=host, incarnation=incarnation)
        tenure_manager = TenureManager(
            claimant=Claimant(host=host, incarnation=incarnation, machine=host),
            state=state,
            log=log_connection,
            ids=ids,
            known_hosts=self.known_hosts,
            clock=self.clock,
            backoff=backoff,
            metrics=metrics,
        )
        driver = ChangeDriver(
            tenure_manager=tenure_manager,
            client=client,
            weights=self.weights,
            ids=ids,
            clock=self.clock,
            backoff=backoff,
            metrics=metrics,
            timings=self.timings,
        )
        order_manager = OrderManager(
            state=state,
            tenure_manager=tenure_manager,
            driver=driver,
            clock=self.clock,
            metrics=metrics,
            reports=lambda: self.reports,
            timings=self.timings,
            limits=self.limits,
        )
        self.live_hosts.add(host)
        self.listed_hosts.add(host)
        self.stewards[host] = SimulatedSteward(
            state=state,
            log_connection=log_connection,
            client=client,
            tenure_manager=tenure_manager,
            order_manager=order_manager,
        )
        return self.stewards[host]

    def known_hosts(self) -> HostView:
        """Return the live and listed hosts."""
        return HostView(
            live=frozenset(self.live_hosts), listed=frozenset(self.listed_hosts)
        )

    async def run(self, duration_s: float) -> None:
        """Run the stewards that are not paused for a duration."""
        for _ in range(round(duration_s / TICK_S)):
            for steward in list(self.stewards.values()):
                if not steward.paused:
                    await steward.tick()
            await self.clock.advance(TICK_S)
            self._update_reports()

    def _update_reports(self) -> None:
        """Update the load reports, which stewards see at the next tick."""
        self.reports = {
            name: LoadReport(state=item.state, fencing_number=item.fencing_number)
            for name, item in self.engines.items()
        }
        unavailable = sum(item.state != "ready" for item in self.engines.values())
        self.max_unavailable = max(self.max_unavailable, unavailable)

    async def run_until(
        self, condition: Callable[[], bool], *, limit_s: float = 600.0
    ) -> float:
        """Run until a condition holds and return the elapsed time, in seconds.

        :raises AssertionError: the condition did not hold within the limit.
        """
        start_s = self.clock.now_s()
        while not condition():
            if self.clock.now_s() - start_s > limit_s:
                raise AssertionError("the condition did not hold within the time limit")
            await self.run(TICK_S)
        return self.clock.now_s() - start_s

    def holder(self, runner: str = "e0") -> SimulatedSteward:
        """Return the steward that sends the orders of a runner."""
        return next(
            item
            for item in self.stewards.values()
            if runner in item.order_manager.changes
        )

    def other_stewards(self, steward: SimulatedSteward) -> list[SimulatedSteward]:
        """Return the other stewards."""
        return [item for item in self.stewards.values() if item is not steward]

    def all_match(self, target: EngineTarget) -> bool:
        """Return whether every engine runs a target and none is changing."""
        return all(
            item.state != "changing" and target.is_met_by(item.target)
            for item in self.engines.values()
        )

    def find_violations(self) -> list[str]:
        """Return violations of the order rules found in the journals of the engines."""
        return [
            f"{name}: {text}"
            for name, engine in self.engines.items()
            for text in find_order_violations(engine.journal)
        ]
