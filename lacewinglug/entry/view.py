"""View of the fleet that the local steward sends to an entry."""

from dataclasses import dataclass, field

from lacewinglug.config.objects import Fleet
from lacewinglug.control import ConfigView, HostStatus, RunnerStatus, StatusView


@dataclass(kw_only=True)
class EntryView:
    """Latest configuration and status from the steward.

    Stays in use while the steward is unreachable.

    :param availability_zone: availability zone of this entry.
    :param config: latest configuration, None before the first one arrives.
    :param runners: latest status of each runner.
    :param hosts: latest status of each host.
    :param leaving: hosts and runners that are shutting down.
    :param status_updates: number of status messages applied.
    """

    availability_zone: str
    config: ConfigView | None = None
    runners: dict[str, RunnerStatus] = field(default_factory=dict)
    hosts: dict[str, HostStatus] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    status_updates: int = 0

    @property
    def revision(self) -> int:
        """Revision of the configuration in use, 0 for none."""
        return self.config.revision if self.config else 0

    @property
    def fleet(self) -> Fleet:
        """Fleet of the configuration in use, empty before the first one."""
        return self.config.fleet if self.config else Fleet()

    def update_config(self, config: ConfigView) -> bool:
        """Apply a configuration unless outdated; return whether it was applied."""
        if self.config is not None and _is_outdated(config, self.config):
            return False
        self.config = config
        self.runners = {
            name: status
            for name, status in self.runners.items()
            if name in config.fleet.runners
        }
        return True

    def update_status(self, status: StatusView) -> None:
        """Apply the load reports and host states of a status message."""
        self.runners.update({runner.runner: runner for runner in status.runners})
        if status.hosts is not None:
            self.hosts = {host.host: host for host in status.hosts}
        self.leaving = frozenset(status.leaving)
        self.status_updates += 1

    def unavailable(self) -> set[str]:
        """Return the hosts and runners that get no new requests."""
        if self.config is None:
            return set()
        names = {*self.config.draining, *self.config.withdrawn, *self.leaving}
        names.update(host for host in self.fleet.hosts if not self._is_live(host))
        return names

    def _is_live(self, host: str) -> bool:
        """Return whether the latest status of a host is live."""
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


def _is_outdated(view: ConfigView, known: ConfigView) -> bool:
    """Return whether a configuration is older than the known one."""
    return view.next_offset < known.next_offset or view.revision < known.revision
