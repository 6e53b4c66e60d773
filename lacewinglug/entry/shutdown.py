"""Graceful shutdown of an entry."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lacewinglug.clock import Clock
from lacewinglug.entry.gate import RequestLimiter
from lacewinglug.entry.intake import HandlerContext
from lacewinglug.entry.view import EntryView
from lacewinglug.membership.addresses import choose_entry_hosts, entry_urls
from lacewinglug.metrics import Metrics
from lacewinglug.requests.streams import Interruption, StreamMonitor
from lacewinglug.settings import Settings

_CHECK_INTERVAL_S = 0.1
_CANCELLATION_TIMEOUT_S = 1.0

logger = logging.getLogger(__name__)


class ShutdownPhase(Enum):
    """Phase of the shutdown of an entry.

    ``LEAVING``: callers get other entry addresses, and requests are still accepted.
    ``REFUSING``: new requests are refused, and running ones finish.
    ``ENDING``: requests that still run at the deadline end with a typed failure.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"
    ENDING = "ending"
    STOPPED = "stopped"


@dataclass(kw_only=True)
class EntryShutdown:
    """Runs the shutdown phases of one entry.

    :param settings: settings of the host.
    :param view: shows whether an operator drains or withdraws the host.
    :param context: marked as leaving when the shutdown starts.
    :param limiter: refuses new requests from ``REFUSING`` on.
    :param watch: open streams, interrupted at the deadline.
    :param clock: source of time.
    :param metrics: counters.
    :param stop_requested: set by a signal handler.
    :param phase: current phase.
    """

    settings: Settings
    view: EntryView
    context: HandlerContext
    limiter: RequestLimiter
    watch: StreamMonitor
    clock: Clock
    metrics: Metrics
    stop_requested: asyncio.Event
    phase: ShutdownPhase = ShutdownPhase.SERVING
    _deadline_s: float = float("inf")

    async def run(self) -> None:
        """Wait for a stop request; return when the process may exit.

        Requests are accepted until callers had time to replace the entry addresses
        that they have cached. Undoing a drain or a withdrawal does not end a shutdown.
        """
        entry = self.settings.entry
        await self._wait_until(self._is_stop_requested)
        started_s = self.clock.now_s()
        self._deadline_s = started_s + entry.drain_deadline_s
        self.context.leaving = True
        self._enter_phase(ShutdownPhase.LEAVING)
        serve_until_s = started_s + entry.leave_notice_s + entry.address_ttl_s
        await self._wait_until(lambda: self.clock.now_s() >= serve_until_s)
        self.limiter.other_urls = self._other_entry_urls()
        self.limiter.refuses_new_requests = True
        self._enter_phase(ShutdownPhase.REFUSING)
        await self._wait_until(lambda: self.limiter.active_requests == 0)
        if self.limiter.active_requests:
            await self._end_requests()
        self._enter_phase(ShutdownPhase.STOPPED)

    async def _end_requests(self) -> None:
        """End the requests that still run, each with a typed failure."""
        self._enter_phase(ShutdownPhase.ENDING)
        self.watch.interrupt_all(Interruption.SHUTDOWN)
        await self.clock.sleep(_CHECK_INTERVAL_S)
        self.limiter.cancel_all()
        self._deadline_s = self.clock.now_s() + _CANCELLATION_TIMEOUT_S
        await self._wait_until(lambda: self.limiter.active_requests == 0)

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition, at most until the deadline."""
        while not condition() and self.clock.now_s() < self._deadline_s:
            await self.clock.sleep(_CHECK_INTERVAL_S)

    def _is_stop_requested(self) -> bool:
        """Return whether a signal, a drain or a withdrawal requests a stop."""
        config = self.view.config
        host = self.settings.host.name
        return self.stop_requested.is_set() or (
            config is not None and host in {*config.draining, *config.withdrawn}
        )

    def _enter_phase(self, phase: ShutdownPhase) -> None:
        self.phase = phase
        self.metrics.count(f"shutdown.{phase.value}")
        logger.info(
            "shutdown",
            extra={"phase": phase.value, "running": self.limiter.active_requests},
        )

    def _other_entry_urls(self) -> list[str]:
        """Return the URLs of other entries that callers should use."""
        fleet = self.view.fleet
        zone = self.settings.host.availability_zone
        names = choose_entry_hosts(
            fleet,
            caller="",
            region=fleet.region_of(zone),
            unavailable=self.view.unavailable() | {self.settings.host.name},
        )
        return entry_urls(fleet, names)
