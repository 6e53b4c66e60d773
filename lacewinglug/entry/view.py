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
    leaving: frozenset[str] = frozenset()
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
        if self.config is not None and _is_older(view, self.config):
            return False
        self.config = view
        self.runners = {
            name: status
            for name, status in self.runners.items()
            if name in view.fleet.runners
        }
        return True

    def update_status(self, view: StatusView) -> None:
        """Take the newest load reports and host states."""
        self.runners.update({status.runner: status for status in view.runners})
        if view.hosts is not None:
            self.hosts = {status.host: status for status in view.hosts}
        self.leaving = frozenset(view.leaving)
        self.status_updates += 1

    def unavailable(self) -> set[str]:
        """Return hosts and runners that get no new work."""
        if self.config is None:
            return set()
        names = {*self.config.draining, *self.config.withdrawn, *self.leaving}
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


def _is_older(view: ConfigView, known: ConfigView) -> bool:
    """Return whether a configuration would take the entry back."""
    return view.next_offset < known.next_offset or view.revision < known.revision
