"""Takes an entry out of service without cutting a request."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lacewinglug.clock import Clock
from lacewinglug.entry.gate import Gate
from lacewinglug.entry.intake import Intake
from lacewinglug.entry.view import EntryView
from lacewinglug.membership.addresses import choose_entry_hosts, entry_urls
from lacewinglug.metrics import Metrics
from lacewinglug.requests.streams import Interruption, StreamMonitor
from lacewinglug.settings import Settings

_CHECK_INTERVAL_S = 0.1
_LAST_WORDS_S = 1.0

logger = logging.getLogger(__name__)


class Phase(Enum):
    """Phase of the shutdown of an entry."""

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"
    ENDING = "ending"
    STOPPED = "stopped"


@dataclass(kw_only=True)
class EntryShutdown:
    """Owns the phase of one entry.

    :param settings: settings of the host.
    :param view: tells whether an operator drains or withdraws the host.
    :param intake: told when the host leaves the entry addresses.
    :param gate: told when new work is refused.
    :param watch: streams to end at the deadline.
    :param clock: source of time.
    :param metrics: counters.
    :param stop_requested: set by a signal.
    """

    settings: Settings
    view: EntryView
    intake: Intake
    gate: Gate
    watch: StreamMonitor
    clock: Clock
    metrics: Metrics
    stop_requested: asyncio.Event
    phase: Phase = Phase.SERVING
    _deadline_s: float = float("inf")

    async def run(self) -> None:
        """Wait for an order to stop, and return when the process may exit."""
        entry = self.settings.entry
        await self._wait(self._is_ordered)
        started_s = self.clock.now_s()
        self._deadline_s = started_s + entry.drain_deadline_s
        self.intake.leaving = True
        self._enter(Phase.LEAVING)
        serve_until_s = started_s + entry.leave_notice_s + entry.address_ttl_s
        await self._wait(lambda: self.clock.now_s() >= serve_until_s)
        self.gate.addresses = self._other_addresses()
        self.gate.refusing = True
        self._enter(Phase.REFUSING)
        await self._wait(lambda: self.gate.active == 0)
        if self.gate.active:
            await self._end_requests()
        self._enter(Phase.STOPPED)

    async def _end_requests(self) -> None:
        """End what still runs at the deadline, each with a typed failure."""
        self._enter(Phase.ENDING)
        self.watch.interrupt_all(Interruption.SHUTDOWN)
        await self.clock.sleep(_CHECK_INTERVAL_S)
        self.gate.end_all()
        self._deadline_s = self.clock.now_s() + _LAST_WORDS_S
        await self._wait(lambda: self.gate.active == 0)

    async def _wait(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition, at longest until the deadline."""
        while not condition() and self.clock.now_s() < self._deadline_s:
            await self.clock.sleep(_CHECK_INTERVAL_S)

    def _is_ordered(self) -> bool:
        """Return whether a signal, a drain or a withdrawal asks to stop."""
        config = self.view.config
        host = self.settings.host.name
        return self.stop_requested.is_set() or (
            config is not None and host in {*config.draining, *config.withdrawn}
        )

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.metrics.count(f"shutdown.{phase.value}")
        logger.info(
            "shutdown", extra={"phase": phase.value, "running": self.gate.active}
        )

    def _other_addresses(self) -> list[str]:
        """Return entry addresses without this host's."""
        fleet = self.view.fleet
        zone = self.settings.host.availability_zone
        names = choose_entry_hosts(
            fleet,
            caller="",
            region=fleet.region_of(zone),
            unavailable=self.view.unavailable() | {self.settings.host.name},
        )
        return entry_urls(fleet, names)
