"""Gives orders to the engines of the order domains that this steward holds."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from lacewinglug.authority.orders import BeginChange, ChangeLimits, EngineChange
from lacewinglug.authority.state import ControlState
from lacewinglug.clock import Clock
from lacewinglug.metrics import Metrics
from lacewinglug.steward.engine_change import ChangeDriver, OrderTimings
from lacewinglug.steward.role_source import (
    DeclaredRoles,
    RoleInputs,
    RoleSource,
    make_target,
)
from lacewinglug.steward.tenures import TenureKeeper
from lacewinglug.steward.turns import ServiceTurns
from lacewinglug.upstream.messages import EngineTarget, LoadReport

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class OrderManager:
    """Owns what is known of the engines, one step at a time for each of them.

    :param state: the replayed state.
    :param keeper: tenures of this steward.
    :param driver: takes one step of one engine.
    :param clock: source of time.
    :param metrics: counters.
    :param roles: names the wanted roles.
    :param reports: returns the last load report of each runner that still reports.
    :param timings: intervals and deadlines.
    :param limits: how many engines change at once.
    """

    state: ControlState
    keeper: TenureKeeper
    driver: ChangeDriver
    clock: Clock
    metrics: Metrics
    roles: RoleSource = field(default_factory=DeclaredRoles)
    reports: Callable[[], Mapping[str, LoadReport]] = dict
    timings: OrderTimings = field(default_factory=OrderTimings)
    limits: ChangeLimits = field(default_factory=ChangeLimits)
    turns: ServiceTurns = field(init=False)
    changes: dict[str, EngineChange] = field(default_factory=dict)
    _domains: dict[str, str] = field(default_factory=dict)
    _steps: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.turns = ServiceTurns(state=self.state, reports=self.reports)

    async def run(self) -> None:
        """Claim tenures and give orders until cancelled, then release."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_keeper())
                group.create_task(self._run_orders())
        finally:
            await self._shut_down()

    async def _run_keeper(self) -> None:
        while True:
            await self.keeper.step()
            await self.clock.sleep(self.timings.step_interval_s)

    async def _run_orders(self) -> None:
        while True:
            self.start_steps()
            await self.release_when_draining()
            await self.clock.sleep(self.timings.step_interval_s)

    def start_steps(self) -> None:
        """Start a step of each engine that is due and has none running."""
        self._follow_tenures()
        now_s = self.clock.now_s()
        wanted = self._wanted_targets(now_s)
        reports = self.reports()
        self.turns.note_reports(self.changes, now_s=now_s)
        for runner, target in wanted.items():
            change = self.changes[runner]
            if runner in self._steps or not _is_due(
                change, target, reports.get(runner), now_s
            ):
                continue
            if _is_newly_wanted(change, target):
                self.turns.restart(runner, now_s=now_s)
            step = self.driver.step(
                change,
                target,
                domain=self._domains[runner],
                url=self.state.fleet.runners[runner].url,
                may_begin=partial(self._may_begin, change),
            )
            task = asyncio.create_task(step)
            self._steps[runner] = task
            task.add_done_callback(partial(self._finish, runner))

    async def settle(self) -> None:
        """Wait until no step is running."""
        while self._steps:
            await asyncio.wait(list(self._steps.values()))

    def _finish(self, runner: str, task: asyncio.Task[None]) -> None:
        self._steps.pop(runner, None)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("orders.step_errors")
            logger.error(
                "step of an engine failed",
                exc_info=task.exception(),
                extra={"runner": runner},
            )

    def _may_begin(self, change: EngineChange, begin: BeginChange) -> bool:
        domain = self._domains.get(change.runner)
        if domain is None:
            return False
        if not begin.is_initial_load and not self.turns.has_turn(
            change.runner, domain, now_s=self.clock.now_s()
        ):
            return False
        group = self._domains.get if begin.is_initial_load else self._service_of
        others = [
            item
            for name, item in self.changes.items()
            if item is not change and group(name) == group(change.runner)
        ]
        return self.limits.may_begin(
            begin, others, domain_count=len(self.keeper.domains)
        )

    def _service_of(self, runner: str) -> str:
        item = self.state.fleet.runners.get(runner)
        return item.service if item else ""

    def _follow_tenures(self) -> None:
        """Begin anew with the engines of each tenure that was won."""
        held = self.keeper.held()
        current: dict[str, str] = {}
        for domain, tenure in held.items():
            item = self.keeper.domains[domain]
            for runner in item.runners:
                current[runner] = domain
                change = self.changes.get(runner)
                if change is None or change.tenure != tenure:
                    self.changes[runner] = self._make_change(
                        runner, tenure, checks_fencing=not item.domain.exclusive
                    )
        for runner in set(self.changes) - set(current):
            del self.changes[runner]
        self._domains = current

    def _make_change(
        self, runner: str, tenure: int, *, checks_fencing: bool
    ) -> EngineChange:
        """Return an unread engine; one without a fence waits for old orders."""
        wait_s = 0.0 if checks_fencing else self.timings.settle_s
        return EngineChange(
            runner=runner,
            tenure=tenure,
            checks_fencing=checks_fencing,
            retry_at_s=self.clock.now_s() + wait_s,
        )

    def _wanted_targets(self, now_s: float) -> dict[str, EngineTarget]:
        """Return the wanted state of each engine that may be ordered."""
        state = self.state
        runners = tuple(name for name in self.changes if name not in state.withdrawn)
        inputs = RoleInputs(
            fleet=state.fleet, reports=self.reports(), runners=runners, now_s=now_s
        )
        roles = self.roles.wanted_roles(inputs)
        return {
            name: make_target(
                state.fleet,
                name,
                role=roles.get(name, ""),
                accepts_work=name not in state.draining,
            )
            for name in runners
        }

    async def release_when_draining(self) -> None:
        """Hand the tenures of a host on that an operator drains."""
        if self.keeper.claimant.host in self.state.draining:
            for domain in self._releasable():
                await self.keeper.release(domain)

    def _releasable(self) -> list[str]:
        """Return held domains in which no order is outstanding."""
        busy = {
            self._domains[name]
            for name, change in self.changes.items()
            if name in self._steps or change.has_outstanding_order
        }
        return [name for name in self.keeper.held() if name not in busy]

    async def _shut_down(self) -> None:
        """Finish running steps, and release what has no outstanding order."""
        if self._steps:
            await asyncio.wait(
                list(self._steps.values()), timeout=self.timings.shutdown_s
            )
        releases = [self.keeper.release(domain) for domain in self._releasable()]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*releases), self.timings.shutdown_s)


def _is_due(
    change: EngineChange,
    wanted: EngineTarget,
    report: LoadReport | None,
    now_s: float,
) -> bool:
    """Return whether an engine needs a step now."""
    if now_s >= change.retry_at_s:
        return True
    if change.chart_state != "agreed" or change.confirmed_target is None:
        return False
    if _is_newly_wanted(change, wanted):
        return True
    if report is None or not change.checks_fencing:
        return False
    return report.fencing_number < change.confirmed_fencing_number


def _is_newly_wanted(change: EngineChange, wanted: EngineTarget) -> bool:
    """Return whether an engine that ran what was wanted is wanted otherwise."""
    if change.chart_state != "agreed" or change.confirmed_target is None:
        return False
    return bool(wanted.role) and not wanted.is_met_by(change.confirmed_target)
