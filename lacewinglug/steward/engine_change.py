"""Takes one step of a change of one engine."""

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
from lacewinglug.steward.tenures import TenureKeeper
from lacewinglug.upstream.client import RunnerError
from lacewinglug.upstream.messages import EngineOrder, EngineState, EngineTarget
from lacewinglug.upstream.orders import EngineClient

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderTimings:
    """Intervals and deadlines of orders.

    :param step_interval_s: time between two steps of an engine, in seconds.
    :param reread_interval_s: time between two readings of an engine that runs
        what is wanted, in seconds.
    :param drain_deadline_s: longest time that an engine is drained for a change
        before it is let work again, in seconds.
    :param settle_s: wait before the first order to an engine that ignores fencing
        numbers, and after one whose answer was lost, in seconds.
    :param shutdown_s: longest wait for running steps at the end, in seconds.
    """

    step_interval_s: float = 0.5
    reread_interval_s: float = 15.0
    drain_deadline_s: float = 120.0
    settle_s: float = 15.0
    shutdown_s: float = 8.0


@dataclass(kw_only=True)
class ChangeDriver:
    """Reads engines and gives them the orders that they need next.

    :param keeper: tenures of this steward.
    :param client: client of the engines.
    :param weights: client of the weight store.
    :param ids: maker of order ids.
    :param clock: source of time.
    :param backoff: delay between failed tries.
    :param metrics: counters.
    :param timings: intervals and deadlines.
    """

    keeper: TenureKeeper
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
        wanted: EngineTarget,
        *,
        domain: str,
        url: str,
        may_begin: Callable[[BeginChange], bool],
    ) -> None:
        """Read an engine and give it at most one order.

        :param change: what is known of the engine.
        :param wanted: its wanted state; an empty role keeps the one it has.
        :param domain: its order domain.
        :param url: its base URL.
        :param may_begin: whether limits let another change begin.
        """
        visit = EngineVisit(change=change, domain=domain, url=url)
        try:
            reading = await self.client.fetch_state(url)
        except RunnerError:
            self.metrics.count("orders.read_failures")
            self._retry_later(change, event="forget")
            return
        if not change.checks_fencing:
            change.has_outstanding_order = False
        if not wanted.role:
            wanted = _with_role(wanted, reading.role)
        if not self.keeper.holds(domain, change.tenure):
            return
        await self._take(visit, reading, wanted, may_begin)

    async def _take(
        self,
        visit: "EngineVisit",
        reading: EngineState,
        wanted: EngineTarget,
        may_begin: Callable[[BeginChange], bool],
    ) -> None:
        change = visit.change
        step = next_step(
            change,
            reading,
            wanted,
            now_s=self.clock.now_s(),
            drain_deadline_s=self.timings.drain_deadline_s,
        )
        match step:
            case RaiseFencingNumber():
                await self._send(visit, None)
            case RenewTenure():
                self.metrics.count("orders.renewals")
                self._retry_later(change, event="forget")
                await self.keeper.renew(visit.domain)
            case BeginChange():
                await self._begin(visit, step, wanted, may_begin)
            case SendTarget(target=target, event=event):
                if await self._send(visit, target):
                    self._follow(change, event)
                    change.confirmed_target = target if event == "agree" else None
            case AbandonChange(restored_target=restored, reason=reason):
                await self._give_up(visit, restored, reason)
            case Wait(event=event):
                self._await(change, event, reading)

    def _await(self, change: EngineChange, event: str, reading: EngineState) -> None:
        """Follow a reading that needs no order."""
        was_agreed = change.chart_state == "agreed"
        self._follow(change, event)
        change.confirmed_target = reading.as_target() if event == "agree" else None
        if event != "agree":
            return
        change.failed_attempts = 0
        change.retry_at_s = self.clock.now_s() + self.timings.reread_interval_s
        if not was_agreed:
            self.metrics.count("orders.agreed")
            logger.info(
                "engine runs what is wanted",
                extra={"runner": change.runner, "role": reading.role},
            )

    async def _begin(
        self,
        visit: "EngineVisit",
        step: BeginChange,
        wanted: EngineTarget,
        may_begin: Callable[[BeginChange], bool],
    ) -> None:
        """Drain an engine, unless limits or the weight store speak against it."""
        change = visit.change
        if not may_begin(step):
            self.metrics.count("orders.limited")
            change.retry_at_s = self.clock.now_s() + self.backoff.delay_s(1)
            self._follow(change, "defer")
            return
        self._follow(change, "drain")
        if step.needs_pull and not await self._has_weights(change, wanted):
            return
        await self._send(visit, step.drained_target)

    async def _has_weights(self, change: EngineChange, wanted: EngineTarget) -> bool:
        """Return whether the store would serve the weights; put off otherwise."""
        try:
            await self.weights.check(wanted.weight_key or wanted.version)
        except WeightsUnavailableError as error:
            self.metrics.count("orders.weights_unavailable")
            self._retry_later(change, event="defer", at_least_s=error.retry_after_s)
            return False
        return True

    async def _give_up(
        self, visit: "EngineVisit", restored: EngineTarget | None, reason: str
    ) -> None:
        """Let an engine work as before, and try the change again later."""
        self.metrics.count(f"orders.given_up.{reason}")
        visit.change.last_order = None
        if restored is None or await self._send(visit, restored):
            self._retry_later(visit.change, event="defer")

    async def _send(self, visit: "EngineVisit", target: EngineTarget | None) -> bool:
        """Send one order and return whether the engine accepted it."""
        change = visit.change
        if not await self._has_authority(visit):
            return False
        order = EngineOrder(
            fencing_number=change.next_fencing_number(),
            order_id=self.ids.make(),
            sender=f"{self.keeper.claimant.host}.{self.keeper.claimant.incarnation}",
            target=target,
        )
        change.last_order = order if target is not None else change.last_order
        change.has_outstanding_order = True
        self.metrics.count("orders.sent")
        try:
            reply = await self.client.give_order(visit.url, order)
        except RunnerError as error:
            self._note_lost_reply(change, sent=error.sent)
            return False
        change.has_outstanding_order = False
        if not reply.accepted:
            self.metrics.count("orders.refused")
            self._retry_later(change, event="forget")
            return False
        change.confirmed_fencing_number = order.fencing_number
        return True

    async def _has_authority(self, visit: "EngineVisit") -> bool:
        """Return whether an order may be sent under the tenure now."""
        change = visit.change
        if change.sequence >= MAX_SEQUENCE:
            await self.keeper.renew(visit.domain)
            return False
        if change.checks_fencing:
            return self.keeper.holds(visit.domain, change.tenure)
        if await self.keeper.confirm(visit.domain, change.tenure):
            return True
        self.metrics.count("orders.unconfirmed")
        self._retry_later(change, event="forget")
        return False

    def _note_lost_reply(self, change: EngineChange, *, sent: bool) -> None:
        """Fence the engine again before it is ordered anything else."""
        self.metrics.count("orders.lost_replies")
        change.confirmed_fencing_number = NO_FENCING_NUMBER
        change.has_outstanding_order = sent
        wait_s = 0.0
        if sent and not change.checks_fencing:
            wait_s = self.timings.settle_s
        self._retry_later(change, event="forget", at_least_s=wait_s)

    def _retry_later(
        self, change: EngineChange, *, event: str, at_least_s: float = 0.0
    ) -> None:
        """Wait before the next step of an engine."""
        change.failed_attempts += 1
        delay_s = self.backoff.delay_s(change.failed_attempts)
        change.retry_at_s = self.clock.now_s() + max(delay_s, at_least_s)
        self._follow(change, event)

    def _follow(self, change: EngineChange, event: str) -> None:
        """Apply an event of the chart, from anew where it has no transition."""
        chart = load_chart("engine_change")
        if not chart.allows(change.chart_state, event):
            chart.apply(change, "forget")
        if event == "drain" and change.chart_state != "draining":
            change.draining_since_s = self.clock.now_s()
        chart.apply(change, event)


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineVisit:
    """One step at one engine.

    :param change: what is known of the engine.
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
