"""The host that makes calls to the platform's interface, while it holds the tenure."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from lacewinglug.duties.metrics import DutyMetrics
from lacewinglug.host.model import DutySettings
from lacewinglug.host.tenure import Tenure, TenureManager
from lacewinglug.platform.cloud import (
    MAX_CONNECTIONS,
    CallWithdrawnError,
    DutyReply,
)

logger = logging.getLogger(__name__)

STARTUP_DELAY_S = 2.0
"""Delay of the first claim after startup, in seconds, in which hosts discover each
other and hear which of them holds the tenure."""
MIN_PLANNER_S = 0.5
"""Time for which a host has to be the planner before it claims the tenure, in seconds.
With 1 s a report was sent up to 9.0 s after its window when the holder was killed; it
is due after 10 s."""
CHECK_INTERVAL_S = 0.5
"""Interval between checks whether the tenure has to be claimed, in seconds; also the
interval between attempts to claim it while the store is down."""
RATE_SHARE = 0.5
"""Share of the permitted rate that the holder uses. The platform counts the calls of
all hosts and those that arrive late, so a burst may come together at its side."""
BURST_S = 0.25
"""Time for which unused calls are saved up, in seconds."""
RATE_LIMITED_PAUSE_S = 1.0
"""Time without calls after one was refused because of the rate, in seconds."""

LATE_CALL_S = 12.0
"""Time within which a call without an answer may still be executed, in seconds. The
platform states it for orders to engines, and only "seconds" for these calls."""


@dataclass(kw_only=True, slots=True)
class CallRate:
    """Token bucket for the calls to the platform's interface.

    :param per_s: calls per second.
    """

    per_s: float
    _tokens: float = field(default=0.0, init=False)
    _updated_s: float = field(default=-math.inf, init=False)
    _paused_until_s: float = field(default=-math.inf, init=False)

    def try_acquire(self, *, now_s: float) -> bool:
        """Take a token; return whether a call may be made now."""
        if now_s < self._paused_until_s:
            return False
        capacity = max(1.0, self.per_s * BURST_S)
        earned = (now_s - self._updated_s) * self.per_s
        self._tokens = min(capacity, self._tokens + earned)
        self._updated_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def pause(self, *, until_s: float) -> None:
        """Permit no calls until a time."""
        self._paused_until_s = until_s


@dataclass(kw_only=True)
class DutyHolder:
    """Keeps the tenure while this host is the planner, and makes calls with it.

    :param settings: settings of the calls.
    :param tenure_manager: claims and checks the tenure.
    :param is_planner: returns whether this host is responsible for the duties.
    :param now_s: returns monotonic time in seconds.
    :param metrics: metrics of the duties.
    """

    settings: DutySettings
    tenure_manager: TenureManager
    is_planner: Callable[[], bool]
    now_s: Callable[[], float]
    metrics: DutyMetrics
    _rate: CallRate = field(init=False)
    _open_calls: list[float] = field(default_factory=list)
    _last_unanswered_s: float = -math.inf
    _deferred_until_s: float = -math.inf
    _confirming: asyncio.Lock = field(default_factory=asyncio.Lock)
    _slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONNECTIONS)
    )

    def __post_init__(self) -> None:
        self._rate = CallRate(per_s=RATE_SHARE * self.settings.calls_per_s)

    @property
    def holds(self) -> bool:
        """Whether this host is the planner and has the tenure, as far as it knows."""
        return self.is_planner() and self.tenure_manager.tenure is not None

    @property
    def unanswered_age_s(self) -> float | None:
        """Time since the last call without an answer, in seconds.

        None if no such call may be executed any more.
        """
        last_s = max(self._last_unanswered_s, *self._open_calls, -math.inf)
        age_s = self.now_s() - last_s
        return age_s if age_s < LATE_CALL_S else None

    def defer_calls(self, *, unanswered_age_s: float) -> None:
        """Make no call while one of the previous holder may still be executed.

        :param unanswered_age_s: time since that call, in seconds.
        """
        until_s = self.now_s() + LATE_CALL_S - unanswered_age_s
        self._deferred_until_s = max(self._deferred_until_s, until_s)

    async def run(self) -> None:
        """Keep the tenure while this host is the planner, until cancelled."""
        await asyncio.sleep(STARTUP_DELAY_S)
        planner_since_s = math.inf
        while True:
            now_s = self.now_s()
            planner_since_s = min(planner_since_s, now_s)
            if not self.is_planner():
                planner_since_s = math.inf
            elif (
                self.tenure_manager.tenure is None
                and now_s - planner_since_s >= MIN_PLANNER_S
            ):
                await self.tenure_manager.acquire()
            self.metrics.holds.set(self.holds)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def may_send(self, fencing_number: int) -> bool:
        """Return whether a call with a fencing number may be sent at this moment."""
        tenure = self.tenure_manager.tenure
        return (
            self.is_planner()
            and tenure is not None
            and tenure.fencing_number == fencing_number
            and self.tenure_manager.is_recently_confirmed()
        )

    async def call(
        self, make_call: Callable[[Tenure], Awaitable[DutyReply]]
    ) -> DutyReply | None:
        """Make a call if this host may make it.

        One confirmation of the tenure serves all calls of about the same moment.

        :param make_call: makes the call with the tenure.
        :returns: the reply, None if nothing was sent.
        """
        async with self._slots:
            obstacle = await self._find_obstacle()
            tenure = self.tenure_manager.tenure
            if obstacle or tenure is None:
                self.metrics.withheld.labels(obstacle or "not the holder").inc()
                return None
            started_s = self.now_s()
            self._open_calls.append(started_s)
            try:
                reply = await make_call(tenure)
            except CallWithdrawnError:
                self.metrics.withheld.labels("confirmation expired").inc()
                return None
            except BaseException:
                self._last_unanswered_s = max(self._last_unanswered_s, started_s)
                raise
            finally:
                self._open_calls.remove(started_s)
        if reply is DutyReply.UNKNOWN:
            self._last_unanswered_s = max(self._last_unanswered_s, started_s)
        self._handle_reply(reply, tenure)
        return reply

    async def _find_obstacle(self) -> str:
        """Return why no call may be made now, empty if one may be."""
        if not self.holds:
            return "not the holder"
        if self.now_s() < self._deferred_until_s:
            return "call of the previous holder unsettled"
        if not await self._confirm():
            return "tenure not confirmed"
        if not self.holds:
            return "not the holder"
        return "" if self._rate.try_acquire(now_s=self.now_s()) else "rate"

    async def _confirm(self) -> bool:
        async with self._confirming:
            manager = self.tenure_manager
            return manager.is_recently_confirmed() or await manager.confirm()

    def _handle_reply(self, reply: DutyReply, tenure: Tenure) -> None:
        self.metrics.calls.labels(reply.value).inc()
        match reply:
            case DutyReply.RATE_LIMITED:
                self._rate.pause(until_s=self.now_s() + RATE_LIMITED_PAUSE_S)
            case DutyReply.FENCED:
                logger.warning(
                    "call to the platform refused by fencing",
                    extra={"fencing_number": tenure.fencing_number},
                )
                if self.tenure_manager.fencing_number == tenure.fencing_number:
                    self.tenure_manager.handle_fenced()
            case DutyReply.UNAVAILABLE if self.settings.require_fencing:
                # The same status may also mean a higher fencing number, of which the
                # log then has the claim.
                self.tenure_manager.require_confirmation()
            case _:
                pass
