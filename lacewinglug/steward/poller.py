"""Polls runners for load reports."""

import asyncio
import logging
from dataclasses import dataclass, field

import msgspec

from lacewinglug.authority.replay import ControlState
from lacewinglug.clock import Clock
from lacewinglug.control import RunnerStatus
from lacewinglug.metrics import Metrics
from lacewinglug.upstream.client import RunnerClient, RunnerError
from lacewinglug.upstream.messages import LoadReport

MAX_REPORT_AGE_S = 5.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class TimedReport:
    """A load report with the time at which it was received.

    :param report: the report.
    :param received_at_s: monotonic time at which it was received, in seconds.
    """

    report: LoadReport
    received_at_s: float


@dataclass(kw_only=True)
class RunnerPoller:
    """Polls all runners and keeps the last load report of each.

    :param client: HTTP client for runners.
    :param state: the replayed state, whose configuration lists the runners.
    :param clock: source of time.
    :param interval_s: pause between two rounds of polls, in seconds.
    :param metrics: metric counters.
    :param reports: last load report of each runner by name.
    """

    client: RunnerClient
    state: ControlState
    clock: Clock
    interval_s: float
    metrics: Metrics
    reports: dict[str, TimedReport] = field(default_factory=dict)

    async def run(self) -> None:
        """Poll all runners periodically until cancelled."""
        while True:
            runners = dict(self.state.fleet.runners)
            polls = [self._poll(name, item.url) for name, item in runners.items()]
            await asyncio.gather(*polls)
            for name in list(self.reports):
                if name not in runners:
                    del self.reports[name]
            await self.clock.sleep(self.interval_s)

    async def _poll(self, name: str, url: str) -> None:
        try:
            report = await self.client.fetch_load(url)
        except (RunnerError, msgspec.MsgspecError):
            self.metrics.count("runners.poll_failures")
            return
        self.reports[name] = TimedReport(
            report=report, received_at_s=self.clock.now_s()
        )

    def recent_reports(self) -> dict[str, LoadReport]:
        """Return the load reports that are not too old, by runner."""
        horizon_s = self.clock.now_s() - MAX_REPORT_AGE_S
        return {
            name: item.report
            for name, item in self.reports.items()
            if item.received_at_s >= horizon_s
        }

    def statuses(self) -> list[RunnerStatus]:
        """Return the last report of each runner with its age."""
        now_s = self.clock.now_s()
        return [
            RunnerStatus(
                runner=name, report=item.report, age_s=now_s - item.received_at_s
            )
            for name, item in self.reports.items()
        ]
