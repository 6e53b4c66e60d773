"""The part of the engine stand-in that takes orders and pulls weights."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from lacewinglug.backing.weights import WeightStoreClient, WeightsUnavailableError
from lacewinglug.clock import Clock, SystemClock
from lacewinglug.upstream.messages import (
    EngineOrder,
    EngineState,
    EngineTarget,
    OrderReply,
)

EventKind = Literal[
    "accepted", "repeated", "refused", "begun", "finished", "failed", "crashed"
]


class OrderEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One line of an engine's journal of orders.

    :param kind: what happened.
    :param order: the order that it happened to.
    :param during_change: whether a change was in progress already.
    :param running: prompts in the engine at that moment.
    """

    kind: EventKind
    order: EngineOrder
    during_change: bool
    running: int


class ControlFaults(msgspec.Struct, kw_only=True):
    """Faults of an engine that show in a change.

    :param crash_changes: number of next changes in the middle of which the
        engine restarts with nothing loaded.
    :param forget_fence: whether a restart forgets the fencing number too.
    """

    crash_changes: int = 0
    forget_fence: bool = False


@dataclass(kw_only=True)
class EngineControl:
    """What an engine runs, and the orders that changed it.

    :param running: returns the number of prompts in the engine.
    :param checks_fencing: refuse orders with an old fencing number.
    :param change_s: time that a change of role takes, in seconds.
    :param target: what the engine runs.
    :param weights: weight store, None when every version is at hand.
    :param clock: source of time.
    """

    running: Callable[[], int]
    checks_fencing: bool = True
    change_s: float = 0.5
    target: EngineTarget = field(
        default_factory=lambda: EngineTarget(role="", version="")
    )
    weights: WeightStoreClient | None = None
    clock: Clock = field(default_factory=SystemClock)
    fencing_number: int = -1
    order_id: str = ""
    error: str = ""
    faults: ControlFaults = field(default_factory=ControlFaults)
    journal: list[OrderEvent] = field(default_factory=list)
    held_versions: set[str] = field(default_factory=set)
    _change: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        self.held_versions.add(self.target.version)

    @property
    def is_changing(self) -> bool:
        """Whether a change is in progress."""
        return self._change is not None and not self._change.done()

    @property
    def state(self) -> str:
        """State as it is reported."""
        if self.is_changing:
            return "changing"
        return "ready" if self.target.accepts_work else "draining"

    def read(self) -> EngineState:
        """Return what the engine runs now."""
        return EngineState(
            role=self.target.role,
            version=self.target.version,
            adapters=self.target.adapters,
            state=self.state,
            fencing_number=self.fencing_number,
            order_id=self.order_id,
            accepts_work=self.target.accepts_work,
            running=self.running(),
            error=self.error,
        )

    def take(self, order: EngineOrder) -> OrderReply:
        """Take an order, refusing an old fencing number where checked."""
        if self.checks_fencing and order.fencing_number < self.fencing_number:
            self._note("refused", order)
            return self._reply(accepted=False)
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        if order.order_id == self.order_id:
            self._note("repeated", order)
            return self._reply(accepted=True)
        self._note("accepted", order)
        if order.target is not None:
            self.order_id = order.order_id
            self._apply(order, order.target)
        return self._reply(accepted=True)

    def _reply(self, *, accepted: bool) -> OrderReply:
        return OrderReply(
            accepted=accepted, fencing_number=self.fencing_number, state=self.state
        )

    def _apply(self, order: EngineOrder, target: EngineTarget) -> None:
        self.error = ""
        if not self.is_changing and target.same_load(self.target):
            self.target = target
            return
        if self._change is not None:
            self._change.cancel()
        self._note("begun", order)
        self._change = asyncio.create_task(self._carry_out(order, target))

    async def _carry_out(self, order: EngineOrder, target: EngineTarget) -> None:
        try:
            await self._pull(target)
        except WeightsUnavailableError as error:
            self.error = str(error)
            self._note("failed", order)
            return
        await self.clock.sleep(self.change_s)
        if self.faults.crash_changes > 0:
            self.faults.crash_changes -= 1
            self._restart(order)
            return
        self.target = target
        self._note("finished", order)

    async def _pull(self, target: EngineTarget) -> None:
        """Pull the weights that the engine does not hold."""
        if self.weights is None or target.version in self.held_versions:
            return
        await self.weights.pull(target.weight_key or target.version)
        self.held_versions.add(target.version)

    def _restart(self, order: EngineOrder) -> None:
        """Lose what a restart of the engine loses."""
        self._note("crashed", order)
        self.target = EngineTarget(role="", version="")
        self.held_versions = {""}
        self.order_id = ""
        if self.faults.forget_fence:
            self.fencing_number = -1

    def _note(self, kind: EventKind, order: EngineOrder) -> None:
        self.journal.append(
            OrderEvent(
                kind=kind,
                order=order,
                during_change=self.is_changing and kind in ("accepted", "begun"),
                running=self.running(),
            )
        )
