"""Gives orders to engines where this host holds the tenure."""

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.host.context import HostState
from lacewinglug.host.model import (
    EngineStatus,
    OrderReply,
    RunnerEntry,
    Service,
    Stage,
    StageChangeOrder,
)
from lacewinglug.host.stages import StageChange, plan_stages
from lacewinglug.host.tenure import Tenure, TenureKeeper
from lacewinglug.platform.calls import (
    ORDER_TARGET,
    REPORT_TARGET,
    decode_order_reply,
    decode_report,
    encode_order,
)
from lacewinglug.wire.client import UpstreamError

logger = logging.getLogger(__name__)

SETTLE_S = 1.5
"""Time after the start before the first plan, in s; hosts find one another and
runners register."""
PLAN_EVERY_S = 2.0
"""Time between plans, in s; twice the age of the view of runners."""
UNSETTLED_S = 15.0
"""Time after an order without an answer in which it may still be carried out, in
s; the platform says that it may take twelve."""
SWITCH_MARGIN_S = 1.5
"""Time beyond an engine's change until hosts see it in the store, in s."""
LOOK_EVERY_S = 0.5
"""Time between looks at the engines, in s; a service that none of them streams for
is planned at once."""
STABLE_S = 1.0
"""Time for which a plan must stay the same before it is carried out, in s."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Sighting:
    """Engines that ran streams when any was last seen.

    :param instances: these engines.
    :param at_s: monotonic time.
    """

    instances: frozenset[str]
    at_s: float


@dataclass(kw_only=True)
class StageSteward:
    """Owns the plan of stages, and the orders that carry it out.

    :param state: the host.
    :param keeper: claims and checks the tenure.
    :param is_planner: returns whether this host is the one to plan.
    :param tell_switching: tells other hosts that an engine changes its stage.
    """

    state: HostState
    keeper: TenureKeeper
    is_planner: Callable[[], bool]
    tell_switching: Callable[[str], None]
    _unsettled_until_s: dict[str, float] = field(default_factory=dict)
    _runners: dict[str, _Sighting] = field(default_factory=dict)

    async def run(self) -> None:
        """Plan again and again, until cancelled."""
        await asyncio.sleep(SETTLE_S)
        planned_s = -math.inf
        while True:
            all_stream = self.note_runners()
            due = self.state.now_s() - planned_s >= PLAN_EVERY_S
            if self.is_planner() and (due or not all_stream):
                await self._plan_all()
                planned_s = self.state.now_s()
            await asyncio.sleep(LOOK_EVERY_S)

    async def _plan_all(self) -> None:
        configuration = self.state.routes.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                await self._plan(service)

    async def _plan(self, service: Service) -> None:
        if not self._changes(service):
            return
        await asyncio.sleep(STABLE_S)
        changes = self._changes(service)
        if not changes or not self.is_planner():
            return
        tenure = await self.keeper.acquire()
        if tenure is None:
            return
        for change in self._changes(service):
            if not await self._carry_out(service, change, tenure):
                return

    def _changes(self, service: Service) -> list[StageChange]:
        """Return the changes that may be ordered now."""
        self.note_runners()
        now_s = self.state.now_s()
        entries = self.state.fleet.ready(service.name)
        streams = sum(
            self.state.upstreams.health(item.instance).in_use(now_s) for item in entries
        )
        without_runner_s = self.without_runner_s(service.name, now_s=now_s)
        return [
            change
            for change in plan_stages(
                entries, streams=streams, without_runner_s=without_runner_s
            )
            if self._unsettled_until_s.get(change.entry.instance, 0.0) <= now_s
        ]

    def note_runners(self) -> bool:
        """Note which engines run streams, as every host may be the next to plan.

        :returns: whether each model service has one.
        """
        configuration = self.state.routes.configuration
        if configuration is None:
            return True
        now_s = self.state.now_s()
        all_stream = True
        for service in configuration.services.values():
            if service.engine is None:
                continue
            running = frozenset(
                item.instance
                for item in self.state.fleet.ready(service.name)
                if item.stage is not Stage.PREFILL
            )
            if running:
                sighting = _Sighting(instances=running, at_s=now_s)
                self._runners[service.name] = sighting
            all_stream = all_stream and bool(running)
        return all_stream

    def without_runner_s(self, service: str, *, now_s: float) -> float:
        """Return for how long no engine has run streams, in s.

        It is infinite where none will come back by itself.
        """
        seen = self._runners.get(service)
        if seen is None or all(map(self.state.fleet.has_left, seen.instances)):
            return math.inf
        return now_s - seen.at_s

    async def _carry_out(
        self, service: Service, change: StageChange, tenure: Tenure
    ) -> bool:
        """Order one change; return whether more orders may follow."""
        instance = change.entry.instance
        try:
            report = await self._read_report(service, change.entry)
            if report is None or report.busy or report.stage is change.stage:
                return True
            if not await self.keeper.still_holds():
                return False
            self._announce(service, instance)
            reply = await self._order(service, change, tenure, report)
        except (UpstreamError, TimeoutError) as error:
            # The order may have been accepted, or may be carried out later.
            self._unsettled_until_s[instance] = self.state.now_s() + UNSETTLED_S
            logger.warning(
                "order without an answer",
                extra={"runner": instance, "reason": str(error) or "timeout"},
            )
            return True
        logger.info(
            "order answered",
            extra={
                "runner": instance,
                "stage": change.stage.value,
                "fencing_number": tenure.fencing_number,
                "reply": reply.value,
            },
        )
        if reply is OrderReply.FENCED:
            self.keeper.note_fenced()
            return False
        settle_s = (
            service.engine.stage_change_s if service.engine else 0.0
        ) + UNSETTLED_S
        self._unsettled_until_s[instance] = self.state.now_s() + settle_s
        return True

    def _announce(self, service: Service, instance: str) -> None:
        switch_s = service.engine.stage_change_s if service.engine else 0.0
        until_s = self.state.now_s() + switch_s + SWITCH_MARGIN_S
        self.state.engines.note_switching(instance, until_s=until_s)
        self.tell_switching(instance)

    async def _read_report(
        self, service: Service, entry: RunnerEntry
    ) -> EngineStatus | None:
        response = await self.state.call_engine(service, entry, target=REPORT_TARGET)
        return decode_report(response.body) if response.status == 200 else None

    async def _order(
        self,
        service: Service,
        change: StageChange,
        tenure: Tenure,
        report: EngineStatus,
    ) -> OrderReply:
        order = StageChangeOrder(
            stage=change.stage,
            holder=tenure.holder,
            fencing_number=tenure.fencing_number,
            expected_orders=report.accepted_orders,
        )
        response = await self.state.call_engine(
            service,
            change.entry,
            method=b"POST",
            target=ORDER_TARGET,
            body=encode_order(order),
            may_send=self.keeper.is_fresh,
        )
        return decode_order_reply(response.status)
