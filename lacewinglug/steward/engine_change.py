"""Carries out the steps of changing an engine."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.authority.orders import (
    MAX_SEQUENCE,
    NO_FENCING_NUMBER,
    AbandonChange,
    BeginChange,
    EngineChange,
    RaiseFencingNumber,
    RenewTenure,
    SendTarget,
    Wait,
    next_step,
)
from lacewinglug.backing.weights import WeightStoreClient, WeightsUnavailableError
from lacewinglug.charts import load_chart
from lacewinglug.clock import Clock
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.steward.backoff import Backoff
from lacewinglug.steward.tenures import TenureManager
from lacewinglug.upstream.client import RunnerError
from lacewinglug.upstream.messages import EngineOrder, EngineState, EngineTarget
from lacewinglug.upstream.orders import EngineClient

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderTimings:
    """Intervals and deadlines for sending orders to engines.

    :param step_interval_s: interval between steps of an engine, in seconds.
    :param reread_interval_s: interval at which the state of an engine that matches
        its desired state is read again, in seconds.
    :param drain_deadline_s: maximum time to drain an engine for a change before
        it accepts work again, in seconds.
    :param settle_s: delay before the first order to an engine that ignores fencing
        numbers, and after an order whose reply was lost, in seconds.
    :param shutdown_s: maximum wait for running steps at shutdown, in seconds.
    """

    step_interval_s: float = 0.5
    reread_interval_s: float = 15.0
    drain_deadline_s: float = 120.0
    settle_s: float = 15.0
    shutdown_s: float = 8.0


@dataclass(kw_only=True)
class ChangeDriver:
    """Reads the state of engines and sends the next order to each of them.

    :param tenure_manager: manages the tenures of this steward.
    :param client: sends requests to the engines.
    :param weights: client of the weight store.
    :param ids: generates order ids.
    :param clock: source of time.
    :param backoff: delay between failed attempts.
    :param metrics: counters.
    :param timings: intervals and deadlines.
    """

    tenure_manager: TenureManager
    client: EngineClient
    weights: WeightStoreClient
    ids: IdFactory
    clock: Clock
    backoff: Backoff
    metrics: Metrics
    timings: OrderTimings = field(default_factory=OrderTimings)

    async def step(
        self,
        change: EngineChange,
        desired: EngineTarget,
        *,
        domain: str,
        url: str,
        may_begin: Callable[[BeginChange], bool],
    ) -> None:
        """Read the state of an engine and send it at most one order.

        :param change: tracked state of the engine.
        :param desired: its desired state; an empty role keeps the current role.
        :param domain: its order domain.
        :param url: its base URL.
        :param may_begin: returns whether the limits allow another change to begin.
        """
        context = StepContext(change=change, domain=domain, url=url)
        try:
            engine_state = await self.client.fetch_state(url)
        except RunnerError:
            self.metrics.count("orders.read_failures")
            self._schedule_retry(change, event="forget")
            return
        if not change.checks_fencing:
            change.has_outstanding_order = False
        if not desired.role:
            desired = _with_role(desired, engine_state.role)
        if not self.tenure_manager.holds(domain, change.tenure):
            return
        await self._apply_next_step(context, engine_state, desired, may_begin)

    async def _apply_next_step(
        self,
        context: "StepContext",
        engine_state: EngineState,
        desired: EngineTarget,
        may_begin: Callable[[BeginChange], bool],
    ) -> None:
        change = context.change
        step = next_step(
            change,
            engine_state,
            desired,
            now_s=self.clock.now_s(),
            drain_deadline_s=self.timings.drain_deadline_s,
        )
        match step:
            case RaiseFencingNumber():
                await self._send_order(context, None)
            case RenewTenure():
                self.metrics.count("orders.renewals")
                self._schedule_retry(change, event="forget")
                await self.tenure_manager.renew(context.domain)
            case BeginChange():
                await self._begin_change(context, step, desired, may_begin)
            case SendTarget(target=target, event=event):
                if await self._send_order(context, target):
                    self._apply_event(change, event)
                    change.confirmed_target = target if event == "agree" else None
            case AbandonChange(restored_target=restored, reason=reason):
                await self._abandon_change(context, restored, reason)
            case Wait(event=event):
                self._apply_engine_state(change, event, engine_state)

    def _apply_engine_state(
        self, change: EngineChange, event: str, engine_state: EngineState
    ) -> None:
        """Update the tracked state from an engine state that requires no order."""
        was_agreed = change.chart_state == "agreed"
        self._apply_event(change, event)
        change.confirmed_target = engine_state.as_target() if event == "agree" else None
        if event != "agree":
            return
        change.failed_attempts = 0
        change.retry_at_s = self.clock.now_s() + self.timings.reread_interval_s
        if not was_agreed:
            self.metrics.count("orders.agreed")
            logger.info(
                "engine matches its desired state",
                extra={"runner": change.runner, "role": engine_state.role},
            )

    async def _begin_change(
        self,
        context: "StepContext",
        step: BeginChange,
        desired: EngineTarget,
        may_begin: Callable[[BeginChange], bool],
    ) -> None:
        """Drain an engine if the limits and the weight store allow the change."""
        change = context.change
        if not may_begin(step):
            self.metrics.count("orders.limited")
            change.retry_at_s = self.clock.now_s() + self.backoff.delay_s(1)
            self._apply_event(change, "defer")
            return
        self._apply_event(change, "drain")
        if step.needs_pull and not await self._check_weights(change, desired):
            return
        await self._send_order(context, step.drained_target)

    async def _check_weights(self, change: EngineChange, desired: EngineTarget) -> bool:
        """Return whether the store can serve the weights, or defer the change."""
        try:
            await self.weights.check(desired.weight_key or desired.version)
        except WeightsUnavailableError as error:
            self.metrics.count("orders.weights_unavailable")
            self._schedule_retry(change, event="defer", min_delay_s=error.retry_after_s)
            return False
        return True

    async def _abandon_change(
        self, context: "StepContext", restored: EngineTarget | None, reason: str
    ) -> None:
        """Restore the previous state of an engine and retry the change later."""
        self.metrics.count(f"orders.given_up.{reason}")
        context.change.last_order = None
        if restored is None or await self._send_order(context, restored):
            self._schedule_retry(context.change, event="defer")

    async def _send_order(
        self, context: "StepContext", target: EngineTarget | None
    ) -> bool:
        """Send an order and return whether the engine accepted it."""
        change = context.change
        if not await self._may_send_order(context):
            return False
        order = EngineOrder(
            fencing_number=change.next_fencing_number(),
            order_id=self.ids.make(),
            sender=(
                f"{self.tenure_manager.claimant.host}."
                f"{self.tenure_manager.claimant.incarnation}"
            ),
            target=target,
        )
        change.last_order = order if target is not None else change.last_order
        change.has_outstanding_order = True
        self.metrics.count("orders.sent")
        try:
            reply = await self.client.give_order(context.url, order)
        except RunnerError as error:
            self._handle_lost_reply(change, sent=error.sent)
            return False
        change.has_outstanding_order = False
        if not reply.accepted:
            self.metrics.count("orders.refused")
            self._schedule_retry(change, event="forget")
            return False
        change.confirmed_fencing_number = order.fencing_number
        return True

    async def _may_send_order(self, context: "StepContext") -> bool:
        """Return whether the tenure allows sending an order now."""
        change = context.change
        if change.sequence >= MAX_SEQUENCE:
            await self.tenure_manager.renew(context.domain)
            return False
        if change.checks_fencing:
            return self.tenure_manager.holds(context.domain, change.tenure)
        if await self.tenure_manager.confirm(context.domain, change.tenure):
            return True
        self.metrics.count("orders.unconfirmed")
        self._schedule_retry(change, event="forget")
        return False

    def _handle_lost_reply(self, change: EngineChange, *, sent: bool) -> None:
        """Require that the engine is fenced again before any other order."""
        self.metrics.count("orders.lost_replies")
        change.confirmed_fencing_number = NO_FENCING_NUMBER
        change.has_outstanding_order = sent
        min_delay_s = 0.0
        if sent and not change.checks_fencing:
            min_delay_s = self.timings.settle_s
        self._schedule_retry(change, event="forget", min_delay_s=min_delay_s)

    def _schedule_retry(
        self, change: EngineChange, *, event: str, min_delay_s: float = 0.0
    ) -> None:
        """Schedule the next step of an engine after a backoff delay."""
        change.failed_attempts += 1
        delay_s = self.backoff.delay_s(change.failed_attempts)
        change.retry_at_s = self.clock.now_s() + max(delay_s, min_delay_s)
        self._apply_event(change, event)

    def _apply_event(self, change: EngineChange, event: str) -> None:
        """Apply a chart event, via the initial state if no transition allows it."""
        chart = load_chart("engine_change")
        if not chart.allows(change.chart_state, event):
            chart.apply(change, "forget")
        if event == "drain" and change.chart_state != "draining":
            change.draining_since_s = self.clock.now_s()
        chart.apply(change, event)


@dataclass(frozen=True, kw_only=True, slots=True)
class StepContext:
    """An engine that a step is carried out for.

    :param change: tracked state of the engine.
    :param domain: its order domain.
    :param url: its base URL.
    """

    change: EngineChange
    domain: str
    url: str


def _with_role(target: EngineTarget, role: str) -> EngineTarget:
    return EngineTarget(
        role=role,
        version=target.version,
        adapters=target.adapters,
        accepts_work=target.accepts_work,
        weight_key=target.weight_key,
    )
