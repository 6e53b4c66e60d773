"""Sends orders to the engines of the order domains that this steward holds."""

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
from lacewinglug.steward.tenures import TenureManager
from lacewinglug.steward.turns import ServiceTurns
from lacewinglug.upstream.messages import EngineTarget, LoadReport

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class OrderManager:
    """Tracks engines and runs at most one step at a time for each of them.

    :param state: the replayed state.
    :param tenure_manager: manages the tenures of this steward.
    :param driver: carries out a step of an engine.
    :param clock: source of time.
    :param metrics: counters.
    :param role_source: returns the desired roles.
    :param reports: returns the last load report of each runner that still reports.
    :param timings: intervals and deadlines.
    :param limits: limits on the number of concurrent changes.
    """

    state: ControlState
    tenure_manager: TenureManager
    driver: ChangeDriver
    clock: Clock
    metrics: Metrics
    role_source: RoleSource = field(default_factory=DeclaredRoles)
    reports: Callable[[], Mapping[str, LoadReport]] = dict
    timings: OrderTimings = field(default_factory=OrderTimings)
    limits: ChangeLimits = field(default_factory=ChangeLimits)
    turns: ServiceTurns = field(init=False)
    changes: dict[str, EngineChange] = field(default_factory=dict)
    _domains: dict[str, str] = field(default_factory=dict)
    _running_steps: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.turns = ServiceTurns(state=self.state, reports=self.reports)

    async def run(self) -> None:
        """Claim tenures and send orders until cancelled, then release the tenures."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_tenure_manager())
                group.create_task(self._run_steps())
        finally:
            await self._shut_down()

    async def _run_tenure_manager(self) -> None:
        while True:
            await self.tenure_manager.step()
            await self.clock.sleep(self.timings.step_interval_s)

    async def _run_steps(self) -> None:
        while True:
            self.start_steps()
            await self.release_when_draining()
            await self.clock.sleep(self.timings.step_interval_s)

    def start_steps(self) -> None:
        """Start a step for each engine that is due and has no running step."""
        self._update_changes()
        now_s = self.clock.now_s()
        desired = self._desired_states(now_s)
        reports = self.reports()
        self.turns.update_from_reports(self.changes, now_s=now_s)
        for runner, target in desired.items():
            change = self.changes[runner]
            if runner in self._running_steps or not _is_due(
                change, target, reports.get(runner), now_s
            ):
                continue
            if _has_new_target(change, target):
                self.turns.restart(runner, now_s=now_s)
            step = self.driver.step(
                change,
                target,
                domain=self._domains[runner],
                url=self.state.fleet.runners[runner].url,
                may_begin=partial(self._may_begin_change, change),
            )
            task = asyncio.create_task(step)
            self._running_steps[runner] = task
            task.add_done_callback(partial(self._on_step_done, runner))

    async def wait_for_steps(self) -> None:
        """Wait until no step is running."""
        while self._running_steps:
            await asyncio.wait(list(self._running_steps.values()))

    def _on_step_done(self, runner: str, task: asyncio.Task[None]) -> None:
        self._running_steps.pop(runner, None)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("orders.step_errors")
            logger.error(
                "engine step failed",
                exc_info=task.exception(),
                extra={"runner": runner},
            )

    def _may_begin_change(self, change: EngineChange, begin: BeginChange) -> bool:
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
            begin, others, domain_count=len(self.tenure_manager.domains)
        )

    def _service_of(self, runner: str) -> str:
        item = self.state.fleet.runners.get(runner)
        return item.service if item else ""

    def _update_changes(self) -> None:
        """Track the engines of held tenures; a new tenure resets their state."""
        held = self.tenure_manager.held_tenures()
        current: dict[str, str] = {}
        for domain, tenure in held.items():
            item = self.tenure_manager.domains[domain]
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
        """Return the initial state of an engine.

        The first step of an engine that ignores fencing numbers is delayed, so that
        orders of the previous holder arrive before it.
        """
        delay_s = 0.0 if checks_fencing else self.timings.settle_s
        return EngineChange(
            runner=runner,
            tenure=tenure,
            checks_fencing=checks_fencing,
            retry_at_s=self.clock.now_s() + delay_s,
        )

    def _desired_states(self, now_s: float) -> dict[str, EngineTarget]:
        """Return the desired state of each engine that may receive orders."""
        state = self.state
        runners = tuple(name for name in self.changes if name not in state.withdrawn)
        inputs = RoleInputs(
            fleet=state.fleet, reports=self.reports(), runners=runners, now_s=now_s
        )
        roles = self.role_source.desired_roles(inputs)
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
        """Release tenures if an operator drains this host."""
        if self.tenure_manager.claimant.host in self.state.draining:
            for domain in self._releasable_domains():
                await self.tenure_manager.release(domain)

    def _releasable_domains(self) -> list[str]:
        """Return the held domains without running steps or outstanding orders."""
        busy = {
            self._domains[name]
            for name, change in self.changes.items()
            if name in self._running_steps or change.has_outstanding_order
        }
        return [name for name in self.tenure_manager.held_tenures() if name not in busy]

    async def _shut_down(self) -> None:
        """Wait for running steps, and release domains without outstanding orders."""
        if self._running_steps:
            await asyncio.wait(
                list(self._running_steps.values()), timeout=self.timings.shutdown_s
            )
        releases = [
            self.tenure_manager.release(domain) for domain in self._releasable_domains()
        ]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*releases), self.timings.shutdown_s)


def _is_due(
    change: EngineChange,
    desired: EngineTarget,
    report: LoadReport | None,
    now_s: float,
) -> bool:
    """Return whether an engine is due for a step."""
    if now_s >= change.retry_at_s:
        return True
    if change.chart_state != "agreed" or change.confirmed_target is None:
        return False
    if _has_new_target(change, desired):
        return True
    if report is None or not change.checks_fencing:
        return False
    return report.fencing_number < change.confirmed_fencing_number


def _has_new_target(change: EngineChange, desired: EngineTarget) -> bool:
    """Return whether the desired state changed since the engine matched it."""
    if change.chart_state != "agreed" or change.confirmed_target is None:
        return False
    return bool(desired.role) and not desired.is_met_by(change.confirmed_target)
