"""Takes turns between stewards that change engines of the same service."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from lacewinglug.authority.domains import group_by_domain
from lacewinglug.authority.state import ControlState
from lacewinglug.upstream.messages import LoadReport

TURN_S = 2.0
"""Head start of each order domain before the next one, in seconds. Longer than
the lag of load reports, in which a change that began elsewhere shows."""

BUSY_LIMIT_S = 300.0
"""An engine that is away for longer keeps the others waiting no more."""

SILENT_LIMIT_S = 10.0
"""An engine that was away and then reported nothing for this long keeps the others
waiting no more: it is cut off or down, and whether its change ends cannot be seen.
Longer than a change of role, in which an engine may not answer."""


@dataclass(kw_only=True)
class _Absence:
    """An engine that takes no work under another holder.

    :param since_s: monotonic time at which that was first reported, in seconds.
    :param reported_s: monotonic time of its last report, in seconds.
    """

    since_s: float
    reported_s: float

    def keeps_waiting(self, now_s: float) -> bool:
        """Return whether changes of other engines wait for this one."""
        return (
            now_s - self.since_s <= BUSY_LIMIT_S
            and now_s - self.reported_s <= SILENT_LIMIT_S
        )


@dataclass(kw_only=True)
class ServiceTurns:
    """Owns what the load reports show of changes under other holders.

    :param state: the replayed state.
    :param reports: returns the last load report of each runner that still reports.
    """

    state: ControlState
    reports: Callable[[], Mapping[str, LoadReport]]
    _away: dict[str, _Absence] = field(default_factory=dict)
    _free_since_s: dict[str, float] = field(default_factory=dict)
    _places: dict[str, int] = field(default_factory=dict)
    _revision: int = -1

    def note_reports(self, own: Collection[str], *, now_s: float) -> None:
        """Note which services have an engine away under another holder.

        :param own: runners whose orders this process gives.
        :param now_s: monotonic time, in seconds.
        """
        fleet = self.state.fleet
        for name, report in self.reports().items():
            if report.state == "ready":
                self._away.pop(name, None)
                continue
            absence = self._away.setdefault(
                name, _Absence(since_s=now_s, reported_s=now_s)
            )
            absence.reported_s = now_s
        for name in set(self._away):
            if name not in fleet.runners or name in own or name in self.state.draining:
                del self._away[name]
        busy = {
            fleet.runners[name].service
            for name, absence in self._away.items()
            if absence.keeps_waiting(now_s)
        }
        for service in fleet.services:
            if service in busy:
                self._free_since_s.pop(service, None)
            else:
                self._free_since_s.setdefault(service, now_s)

    def has_turn(self, runner: str, domain: str, *, now_s: float) -> bool:
        """Return whether a change of a runner may begin now.

        :param runner: name of the runner.
        :param domain: its order domain.
        :param now_s: monotonic time, in seconds.
        """
        self._refresh_places()
        service = self.state.fleet.runners[runner].service
        free_since_s = self._free_since_s.get(service)
        if free_since_s is None:
            return False
        return now_s - free_since_s >= self._places.get(domain, 0) * TURN_S

    def restart(self, runner: str, *, now_s: float) -> None:
        """Start the turns of a runner's service anew, for a change just wanted."""
        service = self.state.fleet.runners[runner].service
        if service in self._free_since_s:
            self._free_since_s[service] = now_s

    def _refresh_places(self) -> None:
        """Number the order domains of each service in the order of their names."""
        if self._revision == self.state.revision:
            return
        self._revision = self.state.revision
        fleet = self.state.fleet
        by_service: dict[str, list[str]] = {}
        for domain, runners in group_by_domain(fleet).items():
            service = fleet.runners[runners[0]].service
            by_service.setdefault(service, []).append(domain.name)
        self._places = {
            name: place
            for names in by_service.values()
            for place, name in enumerate(sorted(names))
        }
