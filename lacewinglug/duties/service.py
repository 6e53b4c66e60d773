"""Assembles the duties of a host, and exchanges the datagrams about them."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry

from lacewinglug.clock import read_boot_time_s
from lacewinglug.decoding import MalformedDataError
from lacewinglug.duties.holder import DutyHolder
from lacewinglug.duties.messages import (
    DutyMessage,
    HolderNews,
    decode_duty_message,
    encode_duty_message,
)
from lacewinglug.duties.metrics import DutyMetrics
from lacewinglug.duties.planner import PlannerChoice
from lacewinglug.host.distance import ROUND_TRIP_S
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.model import USAGE_DUTY, DutySettings
from lacewinglug.host.tenure import TenureManager
from lacewinglug.platform.cloud import PlatformCalls
from lacewinglug.usage.clocks import FleetClock
from lacewinglug.usage.counts import (
    DEFAULT_SENT_WINDOWS,
    UsageCollector,
    UsageCounter,
)
from lacewinglug.usage.decisions import UsageDecisions
from lacewinglug.usage.reports import UsageLog, UsageReporter
from lacewinglug.usage.windows import Windows

logger = logging.getLogger(__name__)

MESSAGE_INTERVAL_S = 1.0
"""Interval between the datagrams of a host about the duties, in seconds; a host that
dies loses at most the counts of this time."""

HEARD_TTL_S = 6.0
"""Time after the last message of a host for which its counts are waited for, in
seconds. It is longer than the reporter waits at all, so that the counts of a host that
stood still for a moment are not missed."""
OBSERVATION_DELAY_S = 0.1
"""Time after which a request that has begun is counted at the latest, in seconds. An
answer travels up to 21 ms, and counts as begun when it left the runner."""


@dataclass(kw_only=True)
class DutyService:
    """The duties of a host in a deployment that has a platform interface.

    :param settings: settings of the duties.
    :param table: the other hosts.
    :param tenure_manager: claims and checks the tenure.
    :param store: log of the usage reports.
    :param is_ready: returns whether this host serves clients.
    :param send: sends a datagram to other hosts.
    :param now_s: returns monotonic time in seconds.
    :param registry: registry of the host's metrics.
    :param wall_s: returns the time of day of this host, in seconds since 1970.
    :param boot_time_s: returns seconds since boot, including time while suspended.
    """

    settings: DutySettings
    table: HostTable
    tenure_manager: TenureManager
    store: UsageLog
    is_ready: Callable[[], bool]
    send: Callable[[bytes, Iterable[HostIdentity]], None]
    now_s: Callable[[], float]
    registry: CollectorRegistry
    wall_s: Callable[[], float] = time.time
    boot_time_s: Callable[[], float] = read_boot_time_s
    holder: DutyHolder = field(init=False)
    calls: PlatformCalls = field(init=False)
    clock: FleetClock = field(init=False)
    counter: UsageCounter = field(init=False)
    decisions: UsageDecisions = field(init=False)
    _announced_window: int | None = None
    _heard_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._metrics = DutyMetrics(self.registry)
        self._choice = PlannerChoice(own=self.table.own.name)
        self.holder = DutyHolder(
            settings=self.settings,
            tenure_manager=self.tenure_manager,
            is_planner=self.is_planner,
            now_s=self.now_s,
            metrics=self._metrics,
        )
        self.calls = PlatformCalls(
            address=self.settings.address, may_send=self.holder.may_send
        )
        self.clock = FleetClock(wall_s=self.wall_s, boot_time_s=self.boot_time_s)
        windows = Windows(length_s=self.settings.usage_window_s)
        self.counter = UsageCounter(windows=windows)
        self._collector = UsageCollector(windows=windows)
        self.decisions = UsageDecisions(windows=windows)
        self._reporter = UsageReporter(
            windows=windows,
            decisions=self.decisions,
            collector=self._collector,
            store=self.store,
            calls=self.calls,
            call=self.holder.call,
            is_holder=lambda: self.holder.holds,
            live_hosts=self._live_hosts,
            time_s=self.clock.time_s,
            now_s=self.now_s,
            started_s=self.clock.time_s(),
            metrics=self._metrics,
        )

    def jobs(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        """Return the tasks of the duties with their names."""
        jobs: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            ("duties", self.holder.run),
            ("duty messages", self.send_messages_periodically),
        ]
        if self._reports_usage:
            jobs.append(("usage reports", self._reporter.run))
        return jobs

    @property
    def _reports_usage(self) -> bool:
        return USAGE_DUTY in self.settings.duties

    def is_planner(self) -> bool:
        """Return whether this host is responsible for the duties."""
        return self._planner() == self.table.own.name

    def record_run(self, organisation: str, *, zone: str) -> None:
        """Count a request of an organisation that has begun to run.

        :param zone: availability zone of its runner.
        """
        if self._reports_usage:
            began_s = self.clock.time_s() - self._travel_s(zone)
            self.counter.add(organisation, began_s=began_s)
            self._metrics.counted.inc()

    async def send_messages_periodically(self) -> None:
        """Send datagrams about the duties, until cancelled."""
        while True:
            self.send_messages()
            await asyncio.sleep(MESSAGE_INTERVAL_S)

    def send_messages(self) -> None:
        """Send the counts of this host to the planner and the next host in line.

        The holder also announces itself to all hosts.
        """
        planner = self._planner()
        number = self.tenure_manager.fencing_number
        if planner == self.table.own.name:
            self.clock.adopt_median()
        self._metrics.clock_offset_s.set(self.clock.own_error_s())
        if planner == self.table.own.name and number is not None:
            self._announce(number)
        if self._reports_usage:
            self._send_counts(planner)

    def _announce(self, fencing_number: int) -> None:
        news = HolderNews(
            fencing_number=fencing_number,
            time_s=self.clock.time_s(),
            next_window=self.decisions.next_window,
            unanswered_age_s=self.holder.unanswered_age_s,
        )
        self.send(encode_duty_message(self._make_message(news)), self.table.peers)

    def _make_message(self, news: HolderNews | None = None) -> DutyMessage:
        own = self.table.own
        return DutyMessage(
            sender=own.name,
            incarnation=own.incarnation,
            wall_s=self.wall_s(),
            holder=news,
        )

    def _send_counts(self, planner: str | None) -> None:
        time_s = self.clock.time_s()
        self.counter.remove_old(time_s=time_s)
        self._collector.remove_old(time_s=time_s)
        own = self.table.own
        followers = [name for name in self._serving() if name != planner]
        if own.name != planner and self.is_ready():
            followers.append(own.name)
        names = {planner, min(followers, default=None)}
        recipients = [peer for peer in self.table.peers if peer.name in names]
        first = self.decisions.next_window or self._announced_window
        if first is None:
            first = self.counter.windows.at(time_s) - DEFAULT_SENT_WINDOWS + 1
        until_s = time_s - OBSERVATION_DELAY_S
        for parts in self.counter.parts(first=first, time_s=time_s):
            message = DutyMessage(
                sender=own.name,
                incarnation=own.incarnation,
                wall_s=self.wall_s(),
                until_s=until_s,
                parts=parts,
            )
            self._collector.record(
                own.name, incarnation=own.incarnation, until_s=until_s, parts=parts
            )
            self.send(encode_duty_message(message), recipients)

    def handle_datagram(self, data: bytes) -> None:
        """Process a datagram of another host."""
        try:
            message = decode_duty_message(data)
        except MalformedDataError as error:
            logger.warning("dropping a malformed datagram about duties: %s", error)
            return
        if message.sender == self.table.own.name:
            return
        self._heard_s[message.sender] = self.now_s()
        sender = self.table.identity(message.sender)
        travel_s = self._travel_s(sender.zone) if sender is not None else 0.0
        self.clock.record_sample(message.sender, message.wall_s + travel_s)
        self._collector.record(
            message.sender,
            incarnation=message.incarnation,
            until_s=message.until_s,
            parts=message.parts,
        )
        if message.holder is not None:
            self._handle_holder(message.sender, message.holder, travel_s=travel_s)

    def _handle_holder(self, host: str, news: HolderNews, *, travel_s: float) -> None:
        now_s = self.now_s()
        self._choice.record_holder(host, news.fencing_number, now_s=now_s)
        if news.unanswered_age_s is not None:
            self.holder.defer_calls(unanswered_age_s=news.unanswered_age_s)
        if news.next_window is not None:
            self._announced_window = news.next_window
            self.decisions.record_announced(news.next_window)
        if self._planner() == host:
            self.clock.adopt(news.time_s + travel_s)

    def _planner(self) -> str | None:
        own = [self.table.own.name] if self.is_ready() else []
        return self._choice.choose(
            [*self._serving(), *own],
            own_number=self.tenure_manager.fencing_number,
            now_s=self.now_s(),
        )

    def _serving(self) -> list[str]:
        peers = self.table.serving_peers(now_s=self.now_s())
        return [peer.name for peer in peers]

    def _live_hosts(self) -> set[str]:
        """Return the hosts that may run requests, those that are leaving included."""
        oldest_s = self.now_s() - HEARD_TTL_S
        self._heard_s = {
            name: heard_s
            for name, heard_s in self._heard_s.items()
            if heard_s >= oldest_s
        }
        return {self.table.own.name, *self._serving(), *self._heard_s}

    def _travel_s(self, zone: str) -> float:
        """Return the time that a message from a zone takes, in seconds."""
        return (
            ROUND_TRIP_S[self.table.geography.distance(self.table.own.zone, zone)] / 2
        )

    def close(self) -> None:
        """Send the last counts, and close the connections to the interface."""
        self.send_messages()
        self.calls.close()
