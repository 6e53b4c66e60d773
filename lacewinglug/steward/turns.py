"""Staggers changes that several stewards make to engines of the same service."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from lacewinglug.authority.domains import group_by_domain
from lacewinglug.authority.state import ControlState
from lacewinglug.upstream.messages import LoadReport

TURN_INTERVAL_S = 2.0
"""Delay between the turns of consecutive order domains, in seconds. Exceeds the lag
of the load reports that show a change begun by another steward."""

MAX_UNAVAILABLE_S = 300.0
"""An engine that is unavailable for longer no longer blocks other changes, in
seconds."""

MAX_SILENCE_S = 10.0
"""An unavailable engine that has not reported for longer no longer blocks other
changes, in seconds: it is unreachable or down, and the end of its change cannot be
observed. Exceeds the duration of a role change, during which an engine may not
respond."""


@dataclass(kw_only=True)
class _UnavailableEngine:
    """An engine under another holder that does not accept work.

    :param since_s: monotonic time at which this was first reported, in seconds.
    :param last_report_s: monotonic time of its last report, in seconds.
    """

    since_s: float
    last_report_s: float

    def blocks_changes(self, now_s: float) -> bool:
        """Return whether changes of other engines must wait for this one."""
        return (
            now_s - self.since_s <= MAX_UNAVAILABLE_S
            and now_s - self.last_report_s <= MAX_SILENCE_S
        )


@dataclass(kw_only=True)
class ServiceTurns:
    """Decides when a change may begin, from changes that load reports show elsewhere.

    :param state: the replayed state.
    :param reports: returns the last load report of each runner that still reports.
    """

    state: ControlState
    reports: Callable[[], Mapping[str, LoadReport]]
    _unavailable: dict[str, _UnavailableEngine] = field(default_factory=dict)
    _unblocked_since_s: dict[str, float] = field(default_factory=dict)
    _domain_ranks: dict[str, int] = field(default_factory=dict)
    _revision: int = -1

    def update_from_reports(
        self, own_runners: Collection[str], *, now_s: float
    ) -> None:
        """Update which services have an unavailable engine under another holder.

        :param own_runners: runners that receive their orders from this process.
        :param now_s: monotonic time, in seconds.
        """
        fleet = self.state.fleet
        for name, report in self.reports().items():
            if report.state == "ready":
                self._unavailable.pop(name, None)
                continue
            engine = self._unavailable.setdefault(
                name, _UnavailableEngine(since_s=now_s, last_report_s=now_s)
            )
            engine.last_report_s = now_s
        for name in set(self._unavailable):
            if (
                name not in fleet.runners
                or name in own_runners
                or name in self.state.draining
            ):
                del self._unavailable[name]
        blocked_services = {
            fleet.runners[name].service
            for name, engine in self._unavailable.items()
            if engine.blocks_changes(now_s)
        }
        for service in fleet.services:
            if service in blocked_services:
                self._unblocked_since_s.pop(service, None)
            else:
                self._unblocked_since_s.setdefault(service, now_s)

    def has_turn(self, runner: str, domain: str, *, now_s: float) -> bool:
        """Return whether a change of a runner may begin now.

        :param runner: name of the runner.
        :param domain: its order domain.
        :param now_s: monotonic time, in seconds.
        """
        self._refresh_domain_ranks()
        service = self.state.fleet.runners[runner].service
        unblocked_since_s = self._unblocked_since_s.get(service)
        if unblocked_since_s is None:
            return False
        return (
            now_s - unblocked_since_s
            >= self._domain_ranks.get(domain, 0) * TURN_INTERVAL_S
        )

    def restart(self, runner: str, *, now_s: float) -> None:
        """Restart the turns of a runner's service, for a change newly required."""
        service = self.state.fleet.runners[runner].service
        if service in self._unblocked_since_s:
            self._unblocked_since_s[service] = now_s

    def _refresh_domain_ranks(self) -> None:
        """Rank the order domains of each service by name."""
        if self._revision == self.state.revision:
            return
        self._revision = self.state.revision
        fleet = self.state.fleet
        by_service: dict[str, list[str]] = {}
        for domain, runners in group_by_domain(fleet).items():
            service = fleet.runners[runners[0]].service
            by_service.setdefault(service, []).append(domain.name)
        self._domain_ranks = {
            name: rank
            for names in by_service.values()
            for rank, name in enumerate(sorted(names))
        }
