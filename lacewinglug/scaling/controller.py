"""Orders runners through the platform's interface while this host is the planner."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from prometheus_client import CollectorRegistry

from lacewinglug.host.context import HostState
from lacewinglug.host.model import SCALE_DUTY, Service
from lacewinglug.host.tenure import Tenure
from lacewinglug.platform.cloud import DutyReply
from lacewinglug.scaling.ledger import CallPacer, CountOrder
from lacewinglug.scaling.metrics import ScalingMetrics
from lacewinglug.scaling.model import RunnerKind, ScaleRules, Subject
from lacewinglug.scaling.observation import count_cached_tokens, measure_demand
from lacewinglug.scaling.planner import ScalePlan, ServicePlanner

logger = logging.getLogger(__name__)

STARTUP_DELAY_S = 1.5
"""Delay of the first observation after startup, in s, in which runners register."""
PLAN_INTERVAL_S = 0.5
"""Interval between plans, in s; about that of new views of the runners."""
MAX_VIEW_AGE_S = 3.0
"""Age of the view of runners above which nothing is ordered, in s; several times the
interval at which it is read. Orders based on an old view may repeat others."""


class RunnerOrders(Protocol):
    """Sends orders of runners to the platform."""

    async def order_runners(
        self,
        *,
        service: str,
        zone: str,
        count: int,
        reclaimable: bool,
        holder: str,
        fencing_number: int,
    ) -> DutyReply:
        """Order the whole number of runners of one kind in a zone."""


class DutyCaller(Protocol):
    """Makes calls to the platform while this host may make them."""

    async def call(
        self, make_call: Callable[[Tenure], Awaitable[DutyReply]]
    ) -> DutyReply | None:
        """Make a call; return the reply, None if nothing was sent."""


@dataclass(kw_only=True)
class ScaleController:
    """Observes the services whose runners can be ordered, and orders them.

    :param state: shared state of the host.
    :param caller: makes the calls of the holder of the tenure.
    :param orders: sends the orders.
    :param is_planner: returns whether this host is responsible for planning.
    :param metrics: metrics of the runners.
    """

    state: HostState
    caller: DutyCaller
    orders: RunnerOrders
    is_planner: Callable[[], bool]
    metrics: ScalingMetrics
    _planners: dict[str, ServicePlanner] = field(default_factory=dict)
    _pacer: CallPacer = field(default_factory=CallPacer)
    _planner_since_s: float = math.inf
    _last_counts: dict[str, Mapping[Subject, int]] = field(default_factory=dict)
    _checked_version: int = -1

    async def run(self) -> None:
        """Observe and order periodically, until cancelled."""
        await asyncio.sleep(STARTUP_DELAY_S)
        while True:
            await self.run_once()
            await asyncio.sleep(PLAN_INTERVAL_S)

    async def run_once(self) -> None:
        """Observe all services, and order what is due if this host plans."""
        services = self._observe_all()
        now_s = self.state.now_s()
        if not self.is_planner():
            if self._planner_since_s != math.inf:
                self.metrics.wanted.clear()
                self._last_counts.clear()
            self._planner_since_s = math.inf
            return
        self._planner_since_s = min(self._planner_since_s, now_s)
        if self.state.fleet.age_s(now_s) > MAX_VIEW_AGE_S:
            return
        for service in services:
            if not await self._order_due(service):
                return

    def _observe_all(self) -> list[Service]:
        """Record runners and load, also while another host plans.

        :returns: the services whose runners can be ordered.
        """
        configuration = self.state.routes.configuration
        if configuration is None or not self.state.fleet.is_loaded:
            return []
        scaled = [
            item for item in configuration.services.values() if item.scale is not None
        ]
        names = {service.name for service in scaled}
        for name in [item for item in self._planners if item not in names]:
            del self._planners[name]
            self._last_counts.pop(name, None)
        if scaled and configuration.version != self._checked_version:
            self._checked_version = configuration.version
            for service in scaled:
                self._warn_of_unknown_zones(service)
        for service in scaled:
            self._observe(service)
        return scaled

    def _observe(self, service: Service) -> None:
        state = self.state
        now_s = state.now_s()
        entries = [item for item in state.fleet.entries if item.service == service.name]
        planner = self._planner(service, now_s=now_s)
        # A zone that the settings do not name may have runners all the same.
        planner.regions = {
            **{item.zone: item.zone for item in entries},
            **state.geography.regions,
        }
        planner.observe(
            entries, demand=measure_demand(state, service, now_s=now_s), now_s=now_s
        )
        self.metrics.set_present(service.name, planner.count_registered())

    def _planner(self, service: Service, *, now_s: float) -> ServicePlanner:
        """Return the planner of a service, with the rules in force."""
        rules = service.scale
        assert rules is not None
        planner = self._planners.get(service.name)
        if planner is None:
            planner = self._planners[service.name] = ServicePlanner(
                rules=rules,
                regions={},
                started_at_s=now_s,
                knows_demand=service.engine is not None,
            )
        planner.apply_rules(rules)
        return planner

    def _warn_of_unknown_zones(self, service: Service) -> None:
        known = self.state.geography.regions
        rules: ScaleRules | None = service.scale
        unknown = sorted(set(rules.zone_prices if rules else ()) - known.keys())
        if known and unknown:
            logger.warning(
                "service %s has a price for zones that do not exist: %s; remove them "
                "from ZonePrices of its Scale or correct their names",
                service.name,
                ", ".join(unknown),
            )

    async def _order_due(self, service: Service) -> bool:
        """Send the orders of a service; return whether further calls may be made."""
        planner = self._planners[service.name]
        plan = planner.plan(
            planner_since_s=self._planner_since_s,
            now_s=self.state.now_s(),
            cached_tokens=count_cached_tokens(self.state, service),
        )
        if plan is None:
            return True
        self._report(service, planner, plan)
        for order in plan.orders:
            registered = plan.state.subjects[order.subject].registered
            raises = order.count > registered
            if not self._pacer.try_acquire(raises=raises, now_s=self.state.now_s()):
                return False
            if not await self._send(service, planner, order, registered=registered):
                return False
        return True

    async def _send(
        self,
        service: Service,
        planner: ServicePlanner,
        order: CountOrder,
        *,
        registered: int,
    ) -> bool:
        """Send an order; return whether further calls may be made."""
        sent_at_s = self.state.now_s()

        async def make_call(tenure: Tenure) -> DutyReply:
            return await self.orders.order_runners(
                service=service.name,
                zone=order.subject.zone,
                count=order.count,
                reclaimable=order.subject.kind is RunnerKind.RECLAIMABLE,
                holder=tenure.holder,
                fencing_number=tenure.fencing_number,
            )

        reply = await self.caller.call(make_call)
        if reply is None:
            self._pacer.cancel()
            return False
        now_s = self.state.now_s()
        self.metrics.orders.labels(service.name, reply.value).inc()
        logger.info(
            "response to an order of runners",
            extra={
                "service": service.name,
                "zone": order.subject.zone,
                "kind": order.subject.kind.value,
                "count": order.count,
                "registered": registered,
                "reply": reply.value,
                "took_ms": round((now_s - sent_at_s) * 1000),
            },
        )
        ledger = planner.ledger
        match reply:
            case DutyReply.DONE:
                self._pacer.record_answered(now_s=now_s)
                planner.record_sent(order, registered=registered, now_s=now_s)
                ledger.record_accepted(order.subject)
                return True
            case DutyReply.UNAVAILABLE:
                self._pacer.record_answered(now_s=now_s)
                ledger.record_refused(order, registered=registered, now_s=now_s)
                return True
            case DutyReply.UNKNOWN:
                # The order may still be carried out, after later ones.
                planner.record_sent(
                    order, registered=registered, now_s=now_s, answered=False
                )
                self._pacer.record_unanswered(now_s=now_s)
                return False
            case DutyReply.FAILED:
                if self._pacer.answered_recently(now_s=now_s):
                    ledger.record_refused(order, registered=registered, now_s=now_s)
                self._pacer.record_unanswered(now_s=now_s)
                return False
            case DutyReply.FENCED | DutyReply.RATE_LIMITED:
                self._pacer.record_unanswered(now_s=now_s)
                return False

    def _report(
        self, service: Service, planner: ServicePlanner, plan: ScalePlan
    ) -> None:
        """Set the metrics, and log a decision that changes the wanted counts."""
        counts = plan.decision.counts
        if self._last_counts.get(service.name) == counts:
            return
        self._last_counts[service.name] = counts
        self.metrics.set_wanted(service.name, counts)
        state, now_s = plan.state, self.state.now_s()
        demand = state.demand
        age_s = planner.forecast.latest_age_s(now_s=now_s)
        logger.info(
            "wanted runners changed",
            extra={
                "service": service.name,
                "wanted": _describe(counts),
                "registered": _describe(
                    {key: item.registered for key, item in state.subjects.items()}
                ),
                "booting": _describe(
                    {key: item.booting for key, item in state.subjects.items()}
                ),
                "unavailable": [
                    f"{key.zone}/{key.kind.value}"
                    for key, item in state.subjects.items()
                    if not item.available
                ],
                "required": plan.decision.required,
                "baseline": state.baseline,
                "prefill_engines": None if demand is None else round(demand.prefill, 2),
                "decode_engines": None if demand is None else round(demand.decode, 2),
                "demand_is_settled": state.demand_is_settled,
                "demand_age_s": round(age_s, 3) if math.isfinite(age_s) else None,
                "view_age_s": round(self.state.fleet.age_s(now_s), 3),
            },
        )


def create_controller(
    state: HostState, *, registry: CollectorRegistry
) -> ScaleController | None:
    """Return the controller of a host, None if it has no interface for orders."""
    duties = state.duties
    if duties is None or SCALE_DUTY not in duties.settings.duties:
        return None
    return ScaleController(
        state=state,
        caller=duties.holder,
        orders=duties.calls,
        is_planner=duties.is_planner,
        metrics=ScalingMetrics(registry),
    )


def _describe(counts: Mapping[Subject, int]) -> dict[str, dict[str, int]]:
    """Return counts by kind and zone, without zeros."""
    described: dict[str, dict[str, int]] = {}
    for subject, count in counts.items():
        if count:
            described.setdefault(subject.kind.value, {})[subject.zone] = count
    return described
