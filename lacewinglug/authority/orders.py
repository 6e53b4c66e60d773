"""Decides the next order to one engine from what it was read to run."""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewinglug.upstream.messages import EngineOrder, EngineState, EngineTarget

_SEQUENCE_BITS = 16
LAST_SEQUENCE = (1 << _SEQUENCE_BITS) - 1
NO_NUMBER = -1
_COUNTED_ATTEMPTS = 3


def fencing_number(tenure: int, sequence: int) -> int:
    """Return the number of an order.

    The offset of the tenure orders the holders, the sequence the orders of one
    holder, so that a copy that arrives late is refused as well.

    :param tenure: offset of the holder's claim.
    :param sequence: place among the holder's orders to the runner, from 1.
    """
    return (tenure << _SEQUENCE_BITS) | sequence


def tenure_of(number: int) -> int:
    """Return the offset of the tenure under which a number was given."""
    return number >> _SEQUENCE_BITS


@dataclass(kw_only=True, slots=True)
class EngineChange:
    """What the holder of a domain knows of one engine.

    :param runner: name of the runner.
    :param tenure: offset of the tenure that orders are given under.
    :param checks_fencing: whether the engine refuses old numbers.
    :param chart_state: state in the chart ``engine_change``.
    :param sequence: orders given to the engine under the tenure.
    :param fence: number raised at the engine, -1 while none is known to stand.
    :param order: last order with a target, None for none.
    :param draining_since_s: monotonic time since which it is drained, in seconds.
    :param attempts: tries that failed in a row.
    :param retry_at_s: monotonic time of the next step, in seconds.
    :param agreed: state that the engine agreed to, None while it is to change.
    :param has_outstanding_order: whether an order may still be on its way.
    """

    runner: str
    tenure: int
    checks_fencing: bool
    chart_state: str = "unread"
    sequence: int = 0
    fence: int = NO_NUMBER
    order: EngineOrder | None = None
    draining_since_s: float = 0.0
    attempts: int = 0
    retry_at_s: float = 0.0
    agreed: EngineTarget | None = None
    has_outstanding_order: bool = False

    @property
    def in_progress(self) -> bool:
        """Whether the engine is, or may be, on its way to another state.

        One that does not answer for long no longer counts.
        """
        if self.chart_state == "unread":
            return self.attempts < _COUNTED_ATTEMPTS
        return self.chart_state in ("draining", "changing")

    def next_number(self) -> int:
        """Return the number of the next order."""
        self.sequence += 1
        return fencing_number(self.tenure, self.sequence)


@dataclass(frozen=True, kw_only=True, slots=True)
class RaiseFence:
    """Raise the fencing number at the engine and read it again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewTenure:
    """Claim a new tenure: the engine knows a number above that of this one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BeginChange:
    """Drain the engine, when limits and weight store let the change begin.

    :param drained: state of the engine with no new work.
    :param loading: whether the engine has nothing loaded.
    :param pulls: whether the engine has to pull weights.
    """

    drained: EngineTarget
    loading: bool
    pulls: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class GiveTarget:
    """Order the engine into a state.

    :param target: the state.
    :param event: event of the chart when the engine accepts the order.
    """

    target: EngineTarget
    event: str


@dataclass(frozen=True, kw_only=True, slots=True)
class GiveUp:
    """Put the change off, and let the engine work again.

    :param restored: state that the engine works in, None when it has none.
    :param reason: why, for counters.
    """

    restored: EngineTarget | None
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Await:
    """Order nothing.

    :param event: event of the chart that the reading shows.
    """

    event: str


Step = RaiseFence | RenewTenure | BeginChange | GiveTarget | GiveUp | Await


def next_step(
    change: EngineChange,
    reading: EngineState,
    wanted: EngineTarget,
    *,
    now_s: float,
    drain_deadline_s: float,
) -> Step:
    """Return the next step towards the wanted state of an engine.

    :param change: what the holder knows of the engine.
    :param reading: what the engine was just read to run.
    :param wanted: the wanted state.
    :param now_s: monotonic time, in seconds.
    :param drain_deadline_s: longest time that an engine is drained, in seconds.
    """
    if change.checks_fencing:
        if tenure_of(reading.fencing_number) > change.tenure:
            return RenewTenure()
        if change.fence == NO_NUMBER or reading.fencing_number < change.fence:
            return RaiseFence()
    if reading.state == "changing":
        return Await(event="change")
    actual = reading.as_target()
    if wanted.is_met_by(actual):
        return Await(event="agree")
    if wanted.same_load(actual):
        return GiveTarget(target=wanted, event="agree")
    if _has_failed(change, reading):
        return GiveUp(restored=_restored(actual), reason="failed")
    if actual.accepts_work:
        return BeginChange(
            drained=_with_work(actual, accepts_work=False),
            loading=not actual.version,
            pulls=actual.version != wanted.version,
        )
    if reading.running == 0:
        return GiveTarget(target=wanted, event="change")
    waited_s = now_s - change.draining_since_s
    if (
        change.chart_state == "draining"
        and wanted.accepts_work
        and waited_s > drain_deadline_s
    ):
        return GiveUp(restored=_restored(actual), reason="drain_deadline")
    return Await(event="drain")


def _has_failed(change: EngineChange, reading: EngineState) -> bool:
    """Return whether the engine gave up the last change that it was ordered."""
    return (
        bool(reading.error)
        and change.order is not None
        and change.order.order_id == reading.order_id
    )


def _restored(actual: EngineTarget) -> EngineTarget | None:
    """Return the state in which an engine works on, None when it has none."""
    return _with_work(actual, accepts_work=True) if actual.version else None


def _with_work(target: EngineTarget, *, accepts_work: bool) -> EngineTarget:
    return EngineTarget(
        role=target.role,
        version=target.version,
        adapters=target.adapters,
        accepts_work=accepts_work,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeLimits:
    """How many engines change at once.

    :param changes_per_service: serving engines of a service that are drained or
        change at once under one holder.
    :param pulls_per_store: engines of the fleet that pull weights at once; each
        domain has an equal share and at least one.
    """

    changes_per_service: int = 1
    pulls_per_store: int = 32

    def may_begin(
        self, step: BeginChange, others: Iterable[EngineChange], *, domains: int
    ) -> bool:
        """Return whether another change may begin.

        :param step: the change.
        :param others: what the holder knows of other engines: those of the service
            for an engine that serves, those of the domain for one that loads.
        :param domains: number of order domains in the configuration.
        """
        busy = [item for item in others if item.in_progress]
        if step.loading:
            return len(busy) < max(1, self.pulls_per_store // max(1, domains))
        return len(busy) < self.changes_per_service
