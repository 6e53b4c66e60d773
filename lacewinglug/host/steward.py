"""Plans the stages of engines, and orders changes while this host has the tenure."""

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.host.context import HostState
from lacewinglug.host.model import (
    EngineProfile,
    EngineStatus,
    OrderReply,
    RunnerEntry,
    Service,
    Stage,
    StageChangeOrder,
)
from lacewinglug.host.stages import (
    DemandPeak,
    StageChange,
    StageDemand,
    decode_demand,
    plan_stages,
)
from lacewinglug.host.tenure import Tenure, TenureManager
from lacewinglug.interference.placement import share_in_place
from lacewinglug.platform.calls import (
    ORDER_TARGET,
    REPORT_TARGET,
    decode_order_reply,
    decode_report,
    encode_order,
)
from lacewinglug.wire.client import UpstreamError

logger = logging.getLogger(__name__)

STARTUP_DELAY_S = 1.5
"""Delay of the first plan after startup, in seconds, in which hosts discover each other
and runners register."""
PLAN_INTERVAL_S = 2.0
"""Interval between plans, in seconds; twice the maximum age of the view of runners."""
ORDER_SETTLE_S = 15.0
"""Time after an order during which the engine gets no other order, in seconds. An order
whose response was lost may still be executed: the platform states up to 12 seconds."""
STAGE_CHANGE_MARGIN_S = 1.5
"""Time in seconds after a stage change until all hosts have read it from the store."""
CHECK_INTERVAL_S = 0.5
"""Interval between checks of the engines, in seconds. A service without any engine that
runs streams is planned immediately."""
PLAN_CONFIRMATION_DELAY_S = 1.0
"""Time in seconds for which changes must be due before they are ordered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _StreamingEngines:
    """Engines that ran streams when the service last had such engines.

    :param instances: ids of these engines.
    :param last_seen_s: monotonic time in seconds.
    """

    instances: frozenset[str]
    last_seen_s: float


@dataclass(kw_only=True)
class StageController:
    """Plans the stages of all engines and orders the changes.

    :param state: shared state of the host.
    :param tenure_manager: claims and checks the tenure.
    :param is_planner: returns whether this host is responsible for planning.
    :param announce_stage_change: announces a stage change of an engine to other hosts.
    """

    state: HostState
    tenure_manager: TenureManager
    is_planner: Callable[[], bool]
    announce_stage_change: Callable[[str], None]
    _order_settled_at_s: dict[str, float] = field(default_factory=dict)
    _streaming_engines: dict[str, _StreamingEngines] = field(default_factory=dict)
    _peaks: dict[str, DemandPeak] = field(default_factory=dict)

    async def run(self) -> None:
        """Plan and apply stage changes periodically, until cancelled."""
        await asyncio.sleep(STARTUP_DELAY_S)
        last_plan_s = -math.inf
        while True:
            all_streaming = self.record_streaming_engines()
            self.record_demand()
            due = self.state.now_s() - last_plan_s >= PLAN_INTERVAL_S
            if self.is_planner() and (due or not all_streaming):
                await self._plan_all()
                last_plan_s = self.state.now_s()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _plan_all(self) -> None:
        configuration = self.state.routes.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                await self._plan_service(service)

    async def _plan_service(self, service: Service) -> None:
        if not self._due_changes(service):
            return
        await asyncio.sleep(PLAN_CONFIRMATION_DELAY_S)
        changes = self._due_changes(service)
        if not changes or not self.is_planner():
            return
        tenure = await self.tenure_manager.acquire()
        if tenure is None:
            return
        for change in self._due_changes(service):
            if not await self._apply_change(service, change, tenure):
                return

    def _due_changes(self, service: Service) -> list[StageChange]:
        """Return the planned changes of engines without an order in progress."""
        self.record_streaming_engines()
        now_s = self.state.now_s()
        entries = self.state.fleet.ready(service.name)
        regions = {self.state.geography.regions.get(item.zone) for item in entries}
        changes = plan_stages(
            entries,
            demand=self._peaks.setdefault(service.name, DemandPeak()).at(now_s=now_s),
            regions=len(regions),
            without_decode_s=self.without_streaming_engine_s(service.name, now_s=now_s),
        )
        return [
            change
            for change in changes
            if self._order_settled_at_s.get(change.entry.instance, 0.0) <= now_s
            and self.state.notices.push_back_left_s(change.entry, now_s=now_s) == 0
        ]

    def record_demand(self) -> None:
        """Record the load of the engines of all services.

        Like the engines that run streams, every host does so.
        """
        configuration = self.state.routes.configuration
        if configuration is None:
            return
        now_s = self.state.now_s()
        for service in configuration.services.values():
            if service.engine is not None:
                self._record_service_demand(service, service.engine, now_s=now_s)

    def _record_service_demand(
        self, service: Service, profile: EngineProfile, *, now_s: float
    ) -> None:
        """Record the load of the engines of a service."""
        engines = self.state.engines
        speeds = engines.speeds(service.name)
        remote_streams = engines.remote_streams(now_s=now_s)
        streams = sum(
            remote_streams.get(item.instance, 0)
            + self.state.upstreams.health(item.instance).outstanding
            for item in self.state.fleet.ready(service.name)
            if item.stage is Stage.DECODE
        )
        rate = speeds.demand.per_s(now_s=now_s)
        prefill = speeds.prefill_s(rate)
        in_decode_stage = speeds.of_stage(Stage.DECODE).expected_s(rate)
        demand = StageDemand(
            prefill=prefill,
            decode_stage_speed=min(1.0, prefill / in_decode_stage) if prefill else 0.5,
            in_place_share=share_in_place(
                speeds,
                profile,
                shortest_gap_s=self.state.routes.shortest_gap_s(service.name),
            ),
            decode=decode_demand(
                profile,
                streams=streams,
                transferred_tokens_per_s=speeds.prompt_lengths.per_s(
                    now_s=now_s
                ).tokens,
            ),
        )
        peak = self._peaks.setdefault(service.name, DemandPeak())
        peak.record(demand, now_s=now_s)

    def record_streaming_engines(self) -> bool:
        """Record which engines run streams.

        Every host does so, because it may have to take over planning at any time.

        :returns: whether every model service has such an engine.
        """
        configuration = self.state.routes.configuration
        if configuration is None:
            return True
        now_s = self.state.now_s()
        all_streaming = True
        for service in configuration.services.values():
            if service.engine is None:
                continue
            streaming = frozenset(
                item.instance
                for item in self.state.fleet.ready(service.name)
                if item.stage is not Stage.PREFILL
            )
            if streaming:
                engines = _StreamingEngines(instances=streaming, last_seen_s=now_s)
                self._streaming_engines[service.name] = engines
            all_streaming = all_streaming and bool(streaming)
        return all_streaming

    def without_streaming_engine_s(self, service: str, *, now_s: float) -> float:
        """Return for how long no engine of a service has run streams, in seconds.

        It is infinite if there never was one, or if all of the last ones were drained
        or removed rather than lost, so that none of them is expected back.
        """
        last_engines = self._streaming_engines.get(service)
        if last_engines is None or all(
            map(self.state.fleet.has_left, last_engines.instances)
        ):
            return math.inf
        return now_s - last_engines.last_seen_s

    async def _apply_change(
        self, service: Service, change: StageChange, tenure: Tenure
    ) -> bool:
        """Order one change; return whether further changes may be ordered."""
        instance = change.entry.instance
        try:
            report = await self._fetch_report(service, change.entry)
            if report is None or report.busy or report.stage is change.stage:
                return True
            if not await self.tenure_manager.confirm():
                return False
            self._announce_change(service, instance)
            reply = await self._send_order(service, change, tenure, report)
        except (UpstreamError, TimeoutError) as error:
            # The order may have been accepted, or may still be executed later.
            self._order_settled_at_s[instance] = self.state.now_s() + ORDER_SETTLE_S
            logger.warning(
                "no response to a stage change order",
                extra={"runner": instance, "reason": str(error) or "timeout"},
            )
            return True
        logger.info(
            "response to a stage change order",
            extra={
                "runner": instance,
                "stage": change.stage.value,
                "fencing_number": tenure.fencing_number,
                "reply": reply.value,
            },
        )
        if reply is OrderReply.FENCED:
            self.tenure_manager.handle_fenced()
            return False
        settle_s = (
            service.engine.stage_change_s if service.engine else 0.0
        ) + ORDER_SETTLE_S
        self._order_settled_at_s[instance] = self.state.now_s() + settle_s
        return True

    def _announce_change(self, service: Service, instance: str) -> None:
        switch_s = service.engine.stage_change_s if service.engine else 0.0
        until_s = self.state.now_s() + switch_s + STAGE_CHANGE_MARGIN_S
        self.state.engines.mark_stage_change(instance, until_s=until_s)
        self.announce_stage_change(instance)

    async def _fetch_report(
        self, service: Service, entry: RunnerEntry
    ) -> EngineStatus | None:
        response = await self.state.call_engine(service, entry, target=REPORT_TARGET)
        return decode_report(bytes(response.body)) if response.status == 200 else None

    async def _send_order(
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
            may_send=self.tenure_manager.is_recently_confirmed,
        )
        return decode_order_reply(response.status)
