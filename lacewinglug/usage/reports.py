"""Decides the windows of the usage report and reports them, at the holder."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

from lacewinglug.duties.metrics import DutyMetrics
from lacewinglug.host.positions import StorePosition
from lacewinglug.host.tenure import Tenure
from lacewinglug.platform.cloud import DutyReply
from lacewinglug.platform.store import StoreError
from lacewinglug.usage.counts import UsageCollector
from lacewinglug.usage.decisions import UsageDecisions
from lacewinglug.usage.windows import Windows

logger = logging.getLogger(__name__)

USAGE_TOPIC = "usage"
"""Topic of the decided windows."""
CHECK_INTERVAL_S = 0.25
"""Interval between checks for windows that are due, in seconds."""
SETTLE_S = 0.3
"""Time after the end of a window before it is decided, in seconds. It covers datagrams
on their way and differences between the hosts' agreed times of day."""
MAX_WAIT_S = 4.0
"""Time after the end of a window for which the counts of silent hosts are waited for,
in seconds. The report is due some seconds later."""
STORE_PAUSE_S = 0.5
"""Pause after a failed call to the store, in seconds."""
MIN_CALL_PAUSE_S = 0.5
"""Pause after a report that was not confirmed, in seconds; doubles each time."""
MAX_CALL_PAUSE_S = 2.0
"""Maximum of that pause, in seconds; well below the length of a window, so that reports
that wait are sent soon after an outage."""


class UsageLog(Protocol):
    """The part of the store's client that is used here."""

    async def read_records(
        self, topic: str, *, start: StorePosition | None = None
    ) -> tuple[list[bytes], StorePosition]:
        """Return the records of a topic from a position on, and its end."""
        ...

    async def append_at(
        self, topic: str, data: bytes, *, position: StorePosition
    ) -> bool:
        """Append a record if the topic ends at a position."""
        ...


class UsageCalls(Protocol):
    """The part of the platform's interface that is used here."""

    async def report_usage(
        self, *, window: int, counts: dict[str, int], holder: str, fencing_number: int
    ) -> DutyReply:
        """Report the requests of each organisation in a window."""
        ...


MakeCall = Callable[[Tenure], Awaitable[DutyReply]]


@dataclass(kw_only=True)
class UsageReporter:
    """Decides windows and reports them while this host holds the duties.

    :param windows: numbering of the windows.
    :param decisions: what is known of the decided windows.
    :param collector: counts of all hosts.
    :param store: log of the decisions.
    :param calls: the platform's interface.
    :param call: makes a call if this host may make it.
    :param is_holder: returns whether this host holds the duties.
    :param live_hosts: returns the names of the hosts whose counts are waited for.
    :param time_s: returns the agreed time of day, in seconds since 1970.
    :param now_s: returns monotonic time in seconds.
    :param started_s: time of day at which this host started.
    :param metrics: metrics of the duties.
    """

    windows: Windows
    decisions: UsageDecisions
    collector: UsageCollector
    store: UsageLog
    calls: UsageCalls
    call: Callable[[MakeCall], Awaitable[DutyReply | None]]
    is_holder: Callable[[], bool]
    live_hosts: Callable[[], Collection[str]]
    time_s: Callable[[], float]
    now_s: Callable[[], float]
    started_s: float
    metrics: DutyMetrics
    _store_paused_until_s: float = 0.0
    _calls_paused_until_s: float = 0.0
    _call_pause_s: float = 0.0
    _unanswered: dict[int, int] = field(default_factory=dict)
    _last_reply: DutyReply = DutyReply.DONE

    async def run(self) -> None:
        """Decide and report windows, until cancelled."""
        await asyncio.gather(
            _repeat(self.decide, CHECK_INTERVAL_S),
            _repeat(self.report, CHECK_INTERVAL_S),
        )

    async def decide(self) -> None:
        """Decide the windows that are due, in order."""
        decisions, time_s = self.decisions, self.time_s()
        given_up = decisions.remove_old(time_s=time_s)
        if not self.is_holder():
            # The next holder reports what is pending.
            self.metrics.pending.set(0)
            decisions.lose()
            return
        for window in given_up:
            logger.warning("usage report given up", extra={"window": window})
            self.metrics.abandoned.labels("too old").inc()
        self.metrics.pending.set(len(decisions.pending))
        decisions.hold()
        if self.now_s() < self._store_paused_until_s:
            return
        try:
            if decisions.needs_read:
                await self._read()
            while decisions.may_decide and self.is_holder():
                if not await self._decide_next():
                    break
        except StoreError as error:
            logger.info("deciding a usage report failed: %s", error)
            self._store_paused_until_s = self.now_s() + STORE_PAUSE_S

    async def _read(self) -> None:
        decisions, time_s = self.decisions, self.time_s()
        started = self.windows.at(self.started_s)
        counted = self.collector.first_window()
        records, end = await self.store.read_records(USAGE_TOPIC, start=decisions.end)
        if not decisions.needs_read:
            # The duties passed to another host meanwhile.
            return
        decisions.apply_read(
            records,
            end,
            time_s=time_s,
            first_window=started if counted is None else min(started, counted),
        )
        logger.info(
            "decided usage reports read",
            extra={
                "records": len(records),
                "next_window": decisions.next_window,
                "unconfirmed": sorted(decisions.pending),
            },
        )

    async def _decide_next(self) -> bool:
        """Decide the next window if it is due; return whether it was decided.

        :raises StoreError: the store could not be read, or the append may have taken
            effect.
        """
        decisions, time_s = self.decisions, self.time_s()
        window, position = decisions.next_window, decisions.end
        assert window is not None
        assert position is not None
        waited_s = time_s - self.windows.end_s(window)
        if waited_s < SETTLE_S:
            return False
        missing = self.collector.missing(window, hosts=self.live_hosts())
        if missing and waited_s < MAX_WAIT_S:
            return False
        counts = self.collector.total(window)
        data = decisions.encode(window, counts)
        try:
            appended = await self.store.append_at(USAGE_TOPIC, data, position=position)
        except StoreError:
            if decisions.may_decide:
                decisions.apply_lost_reply()
            raise
        if not decisions.may_decide:
            return False
        if not appended:
            decisions.apply_conflict()
            return False
        decisions.apply_appended(window, counts)
        self.metrics.decided.inc()
        self.metrics.missing_hosts.inc(len(missing))
        logger.info(
            "usage report decided",
            extra={
                "window": window,
                "organisations": len(counts),
                "requests": sum(counts.values()),
                "after_ms": round(waited_s * 1000),
                "missing_hosts": missing,
            },
        )
        return True

    async def report(self) -> None:
        """Report the decided windows, in their order, until a call fails."""
        while (
            self.decisions.pending
            and self.is_holder()
            and self.now_s() >= self._calls_paused_until_s
        ):
            window = self._choose_window()
            reply = await self.call(self._make_report(window))
            self._handle_reply(window, reply)

    def _make_report(self, window: int) -> MakeCall:
        counts = self.decisions.pending[window]
        return lambda tenure: self.calls.report_usage(
            window=window,
            counts=counts,
            holder=tenure.holder,
            fencing_number=tenure.fencing_number,
        )

    def _choose_window(self) -> int:
        """Return the window to report next.

        One that may have arrived goes after the others, so that an interface that
        executes calls without an answer still gets all of them.
        """
        return min(
            self.decisions.pending,
            key=lambda window: (self._unanswered.get(window, 0), window),
        )

    def _handle_reply(self, window: int, reply: DutyReply | None) -> None:
        if reply is not None and reply is not self._last_reply:
            self._last_reply = reply
            logger.info(
                "reply to usage reports changed",
                extra={"window": window, "reply": reply.value},
            )
        if reply is DutyReply.DONE:
            self.decisions.confirm(window)
            self._unanswered.pop(window, None)
            self._call_pause_s = 0.0
            return
        if reply is DutyReply.UNKNOWN:
            self._unanswered[window] = self._unanswered.get(window, 0) + 1
        self._call_pause_s = min(
            max(MIN_CALL_PAUSE_S, 2 * self._call_pause_s), MAX_CALL_PAUSE_S
        )
        self._calls_paused_until_s = self.now_s() + self._call_pause_s


async def _repeat(action: Callable[[], Awaitable[None]], interval_s: float) -> None:
    while True:
        await action()
        await asyncio.sleep(interval_s)
