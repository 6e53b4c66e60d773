"""Computes the next order to an engine from its reported and desired states."""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewinglug.upstream.messages import EngineOrder, EngineState, EngineTarget

_SEQUENCE_BITS = 16
MAX_SEQUENCE = (1 << _SEQUENCE_BITS) - 1
NO_FENCING_NUMBER = -1
_MAX_FAILED_ATTEMPTS = 3


def make_fencing_number(tenure: int, sequence: int) -> int:
    """Return the fencing number of an order.

    The high bits hold the offset of the tenure and rank holders. The low bits
    hold a sequence number and rank the orders of one holder, so that an engine
    also rejects a delayed duplicate of an earlier order.

    :param tenure: offset of the holder's claim.
    :param sequence: sequence number of the holder's order to the runner, from 1.
    """
    return (tenure << _SEQUENCE_BITS) | sequence


def tenure_offset(number: int) -> int:
    """Return the tenure offset encoded in a fencing number."""
    return number >> _SEQUENCE_BITS


@dataclass(kw_only=True, slots=True)
class EngineChange:
    """The progress of one engine towards its desired state, at its tenure holder.

    :param runner: name of the runner.
    :param tenure: offset of the tenure under which orders are sent.
    :param checks_fencing: whether the engine rejects lower fencing numbers.
    :param chart_state: state in the chart ``engine_change``.
    :param sequence: number of orders sent to the engine under the tenure.
    :param confirmed_fencing_number: last fencing number that the engine accepted,
        -1 while none is confirmed.
    :param last_order: last order that had a target, if any.
    :param draining_since_s: monotonic time at which draining began, in seconds.
    :param failed_attempts: number of consecutive failed attempts.
    :param retry_at_s: monotonic time of the next step, in seconds.
    :param confirmed_target: target that the engine has confirmed, None during a
        change.
    :param has_outstanding_order: whether an order may still be in flight.
    """

    runner: str
    tenure: int
    checks_fencing: bool
    chart_state: str = "unread"
    sequence: int = 0
    confirmed_fencing_number: int = NO_FENCING_NUMBER
    last_order: EngineOrder | None = None
    draining_since_s: float = 0.0
    failed_attempts: int = 0
    retry_at_s: float = 0.0
    confirmed_target: EngineTarget | None = None
    has_outstanding_order: bool = False

    @property
    def in_progress(self) -> bool:
        """Whether the engine is changing its state, or may be.

        An engine that is still unread after several failed attempts no longer
        counts, so that unreachable engines do not use up the change limits.
        """
        if self.chart_state == "unread":
            return self.failed_attempts < _MAX_FAILED_ATTEMPTS
        return self.chart_state in ("draining", "changing")

    def next_fencing_number(self) -> int:
        """Allocate the fencing number of the next order."""
        self.sequence += 1
        return make_fencing_number(self.tenure, self.sequence)


@dataclass(frozen=True, kw_only=True, slots=True)
class RaiseFencingNumber:
    """Raise the fencing number at the engine, then read its state again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewTenure:
    """Claim a new tenure because the engine has seen one with a higher offset."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BeginChange:
    """Start to drain the engine, if limits and the weight store allow the change.

    :param drained_target: current state of the engine, but without new work.
    :param is_initial_load: whether the engine has no model loaded.
    :param needs_pull: whether the engine must pull weights from the store.
    """

    drained_target: EngineTarget
    is_initial_load: bool
    needs_pull: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class SendTarget:
    """Order the engine to enter a target state.

    :param target: the target state.
    :param event: chart event to apply once the engine accepts the order.
    """

    target: EngineTarget
    event: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AbandonChange:
    """Abandon the change for now and let the engine accept work again.

    :param restored_target: state to restore, None for an engine without a model.
    :param reason: suffix of the counter ``orders.given_up``.
    """

    restored_target: EngineTarget | None
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """Send no order.

    :param event: chart event that follows from the reported state.
    """

    event: str


ChangeStep = (
    RaiseFencingNumber | RenewTenure | BeginChange | SendTarget | AbandonChange | Wait
)


def next_step(
    change: EngineChange,
    reported: EngineState,
    desired: EngineTarget,
    *,
    now_s: float,
    drain_deadline_s: float,
) -> ChangeStep:
    """Return the next step that brings an engine closer to its desired state.

    :param change: progress of the engine.
    :param reported: state that the engine has just reported.
    :param desired: the desired state.
    :param now_s: monotonic time, in seconds.
    :param drain_deadline_s: maximum duration of a drain, in seconds.
    """
    if change.checks_fencing:
        if tenure_offset(reported.fencing_number) > change.tenure:
            return RenewTenure()
        if (
            change.confirmed_fencing_number == NO_FENCING_NUMBER
            or reported.fencing_number < change.confirmed_fencing_number
        ):
            return RaiseFencingNumber()
    if reported.state == "changing":
        return Wait(event="change")
    actual = reported.as_target()
    if desired.is_met_by(actual):
        return Wait(event="agree")
    if desired.same_load(actual):
        return SendTarget(target=desired, event="agree")
    if _last_order_failed(change, reported):
        return AbandonChange(restored_target=_restored_target(actual), reason="failed")
    if actual.accepts_work:
        return BeginChange(
            drained_target=_with_accepts_work(actual, accepts_work=False),
            is_initial_load=not actual.version,
            needs_pull=actual.version != desired.version,
        )
    if reported.running == 0:
        return SendTarget(target=desired, event="change")
    waited_s = now_s - change.draining_since_s
    if (
        change.chart_state == "draining"
        and desired.accepts_work
        and waited_s > drain_deadline_s
    ):
        return AbandonChange(
            restored_target=_restored_target(actual), reason="drain_deadline"
        )
    return Wait(event="drain")


def _last_order_failed(change: EngineChange, reported: EngineState) -> bool:
    """Return whether the engine reports that the last order with a target failed."""
    return (
        bool(reported.error)
        and change.last_order is not None
        and change.last_order.order_id == reported.order_id
    )


def _restored_target(actual: EngineTarget) -> EngineTarget | None:
    """Return the current state with new work accepted, None without a model."""
    return _with_accepts_work(actual, accepts_work=True) if actual.version else None


def _with_accepts_work(target: EngineTarget, *, accepts_work: bool) -> EngineTarget:
    return EngineTarget(
        role=target.role,
        version=target.version,
        adapters=target.adapters,
        accepts_work=accepts_work,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeLimits:
    """Limits on the number of engines that change at the same time.

    :param changes_per_service: maximum number of serving engines of a service
        that one holder drains or changes concurrently.
    :param pulls_per_store: maximum number of engines in the fleet that pull
        weights concurrently. Each domain gets an equal share, but at least one.
    """

    changes_per_service: int = 1
    pulls_per_store: int = 32

    def may_begin(
        self, step: BeginChange, others: Iterable[EngineChange], *, domain_count: int
    ) -> bool:
        """Return whether another change may begin.

        :param step: the change.
        :param others: the other engines that share the limit: those of the same
            domain for an initial load, otherwise those of the same service.
        :param domain_count: number of order domains in the configuration.
        """
        in_progress = [item for item in others if item.in_progress]
        if step.is_initial_load:
            return len(in_progress) < max(
                1, self.pulls_per_store // max(1, domain_count)
            )
        return len(in_progress) < self.changes_per_service
