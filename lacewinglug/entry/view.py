"""What an entry knows of the fleet, as its steward told it."""

from collections import Counter
from dataclasses import dataclass, field

from lacewinglug.config.objects import Fleet
from lacewinglug.control import ConfigView, HostStatus, RunnerStatus, StatusView
from lacewinglug.routing.choice import RunnerState


@dataclass(kw_only=True)
class EntryView:
    """The last state that the steward sent; kept while the steward is away.

    :param availability_zone: availability zone of this entry.
    :param in_flight: own requests in progress by runner.
    """

    availability_zone: str
    config: ConfigView | None = None
    runners: dict[str, RunnerStatus] = field(default_factory=dict)
    hosts: dict[str, HostStatus] = field(default_factory=dict)
    in_flight: Counter[str] = field(default_factory=Counter)

    @property
    def revision(self) -> int:
        """Revision that this entry serves with, 0 for none."""
        return self.config.revision if self.config else 0

    @property
    def fleet(self) -> Fleet:
        """The configuration that this entry serves with."""
        return self.config.fleet if self.config else Fleet()

    def update_config(self, view: ConfigView) -> bool:
        """Take a newer configuration; return whether it was newer."""
        if self.config is not None and view.next_offset < self.config.next_offset:
            return False
        self.config = view
        return True

    def update_status(self, view: StatusView) -> None:
        """Take the newest load reports and host states."""
        self.runners.update({status.runner: status for status in view.runners})
        self.hosts = {status.host: status for status in view.hosts}

    def unavailable(self) -> set[str]:
        """Return hosts and runners that get no new work."""
        if self.config is None:
            return set()
        names = set(self.config.draining) | set(self.config.withdrawn)
        names.update(host for host in self.fleet.hosts if not self._is_live(host))
        return names

    def _is_live(self, host: str) -> bool:
        """Return whether a host's heartbeats arrive."""
        status = self.hosts.get(host)
        return status is not None and status.state == "live"

    def candidates(self, service: str) -> list[RunnerState]:
        """Return the runners of a service as the routing sees them."""
        unavailable = self.unavailable()
        return [
            self._runner_state(name, name not in unavailable)
            for name in self.fleet.runners_of(service)
        ]

    def _runner_state(self, name: str, available: bool) -> RunnerState:
        status = self.runners.get(name)
        report = status.report if status else None
        reported = report.running + report.queued if report else 0
        return RunnerState(
            name=name,
            in_flight=max(reported, self.in_flight[name]),
            slots=max(1, report.slots) if report else 1,
            delay_s=self._delay_s(name),
            accepts_work=available and report is not None and report.state == "ready",
        )

    def _delay_s(self, runner: str) -> float:
        """Return the one-way delay to a runner, in seconds."""
        zone_name = self.fleet.runners[runner].availability_zone
        zone = self.fleet.availability_zones[zone_name]
        if zone_name == self.availability_zone:
            return 0.0
        if zone.region == self.fleet.region_of(self.availability_zone):
            return zone.one_way_delay_s
        return self.fleet.regions[zone.region].one_way_delay_s
