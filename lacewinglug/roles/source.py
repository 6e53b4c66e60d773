"""Names the wanted role of engines by planning on their load reports."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from lacewinglug.config.objects import Fleet
from lacewinglug.roles.demand import SETTLED_SMOOTHING_S, DemandTracker
from lacewinglug.roles.planner import (
    Demand,
    PlannedRole,
    PlannedRunner,
    RoleChange,
    plan_change,
)
from lacewinglug.routing.rates import rates_of
from lacewinglug.upstream.messages import LoadReport

_READY = "ready"


@dataclass(kw_only=True)
class _ServicePlan:
    """Owns the demand of a service and the roles that were planned for it."""

    tracker: DemandTracker = field(default_factory=DemandTracker)
    settled: DemandTracker = field(
        default_factory=lambda: DemandTracker(smoothing_s=SETTLED_SMOOTHING_S)
    )
    wanted: dict[str, str] = field(default_factory=dict)


@dataclass(kw_only=True)
class PlannedRoles:
    """Owns the plans of all services.

    The demand is what engines computed and what waits at them. A report that is
    missing holds the position of its service, since the figures would be too low.
    """

    _plans: dict[str, _ServicePlan] = field(default_factory=dict)

    def plan_roles(
        self,
        fleet: Fleet,
        reports: Mapping[str, LoadReport],
        runners: Sequence[str],
        *,
        peers: Sequence[str] = (),
        now_s: float,
    ) -> dict[str, str]:
        """Return the wanted role by runner, at most one of a service changed.

        A runner that has not reported yet is left out.

        :param fleet: the configuration in force.
        :param reports: last load report of each runner that reports in time.
        :param runners: runners whose roles are wanted.
        :param peers: other runners of the same services, under other holders.
        :param now_s: monotonic time, in seconds.
        """
        wanted: dict[str, str] = {}
        for service, names in _by_service(fleet, runners).items():
            if not fleet.services[service].roles:
                continue
            others = _by_service(fleet, peers).get(service, [])
            wanted.update(self._plan(fleet, service, reports, names, others, now_s))
        return wanted

    def _plan(
        self,
        fleet: Fleet,
        service: str,
        reports: Mapping[str, LoadReport],
        names: Sequence[str],
        peers: Sequence[str],
        now_s: float,
    ) -> dict[str, str]:
        plan = self._plans.setdefault(service, _ServicePlan())
        roles = {
            name: PlannedRole(rates=rates_of(role), change_s=role.change_s)
            for name in fleet.services[service].roles
            if (role := fleet.engine_roles[name])
        }
        for name in names:
            if name in reports or name in plan.wanted:
                known = plan.wanted.get(name) or reports[name].role
                plan.wanted[name] = _valid_role(known, fleet, name)
        everyone = [*names, *peers]
        if all(name in reports for name in everyone):
            demand = _track(plan.tracker, reports, everyone, now_s)
            settled = _track(plan.settled, reports, everyone, now_s)
            if demand is not None:
                planned = [_planned(name, plan.wanted[name], reports) for name in names]
                planned += [_planned_peer(name, reports) for name in peers]
                match plan_change(planned, roles, demand, settled):
                    case RoleChange(runner=runner, role=new_role) if runner in names:
                        plan.wanted[runner] = new_role
        return {name: plan.wanted[name] for name in names if name in plan.wanted}


def _by_service(fleet: Fleet, runners: Sequence[str]) -> dict[str, list[str]]:
    """Return runners by the name of their service."""
    services: dict[str, list[str]] = {}
    for name in runners:
        services.setdefault(fleet.runners[name].service, []).append(name)
    return services


def _valid_role(role: str, fleet: Fleet, runner: str) -> str:
    """Return a role that the runner's service allows, the given one if it does."""
    item = fleet.runners[runner]
    allowed = fleet.services[item.service].roles
    if role in allowed:
        return role
    return item.initial_role if item.initial_role in allowed else allowed[0]


def _planned(
    name: str, wanted: str, reports: Mapping[str, LoadReport]
) -> PlannedRunner:
    """Return an engine as the planner sees it."""
    report = reports[name]
    return PlannedRunner(
        name=name,
        role=wanted,
        in_flight=report.running + report.queued,
        changing=report.state != _READY or report.role != wanted,
    )


def _planned_peer(name: str, reports: Mapping[str, LoadReport]) -> PlannedRunner:
    """Return an engine under another holder, in the role that it reports."""
    return _planned(name, reports[name].role, reports)


def _track(
    tracker: DemandTracker,
    reports: Mapping[str, LoadReport],
    names: Sequence[str],
    now_s: float,
) -> Demand | None:
    """Feed the counters of the reports to a tracker."""
    return tracker.update(
        prefill_tokens=sum(
            reports[name].prefill_tokens_total + reports[name].queued_prefill_tokens
            for name in names
        ),
        output_tokens=sum(reports[name].output_tokens_total for name in names),
        now_s=now_s,
    )
