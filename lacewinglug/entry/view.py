"""What an entry knows of the fleet, as its steward told it."""

from dataclasses import dataclass, field

from lacewinglug.config.objects import Fleet
from lacewinglug.control import ConfigView, HostStatus, RunnerStatus, StatusView


@dataclass(kw_only=True)
class EntryView:
    """The last state that the steward sent; kept while the steward is away.

    :param availability_zone: availability zone of this entry.
    :param status_updates: status messages taken so far.
    """

    availability_zone: str
    config: ConfigView | None = None
    runners: dict[str, RunnerStatus] = field(default_factory=dict)
    hosts: dict[str, HostStatus] = field(default_factory=dict)
    status_updates: int = 0

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
        self.status_updates += 1

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

    def delay_s(self, runner: str) -> float:
        """Return the one-way delay to a runner, in seconds."""
        zone_name = self.fleet.runners[runner].availability_zone
        zone = self.fleet.availability_zones[zone_name]
        if zone_name == self.availability_zone:
            return 0.0
        if zone.region == self.fleet.region_of(self.availability_zone):
            return zone.one_way_delay_s
        return self.fleet.regions[zone.region].one_way_delay_s
