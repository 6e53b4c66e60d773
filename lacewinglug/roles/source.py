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
        now_s: float,
    ) -> dict[str, str]:
        """Return the wanted role by runner, at most one of a service changed.

        :param fleet: the configuration in force.
        :param reports: last load report of each runner that reports in time.
        :param runners: runners whose roles are wanted.
        :param now_s: monotonic time, in seconds.
        """
        services: dict[str, list[str]] = {}
        for name in runners:
            services.setdefault(fleet.runners[name].service, []).append(name)
        wanted = {}
        for service, names in services.items():
            if fleet.services[service].roles:
                wanted.update(self._plan(fleet, service, reports, names, now_s))
        return wanted

    def _plan(
        self,
        fleet: Fleet,
        service: str,
        reports: Mapping[str, LoadReport],
        names: Sequence[str],
        now_s: float,
    ) -> dict[str, str]:
        plan = self._plans.setdefault(service, _ServicePlan())
        roles = {
            name: PlannedRole(rates=rates_of(role), change_s=role.change_s)
            for name in fleet.services[service].roles
            if (role := fleet.engine_roles[name])
        }
        for name in names:
            plan.wanted.setdefault(name, fleet.runners[name].initial_role)
            if plan.wanted[name] not in roles:
                plan.wanted[name] = next(iter(roles))
        if any(name not in reports for name in names):
            return {name: plan.wanted[name] for name in names}
        demand = _track(plan.tracker, reports, names, now_s)
        settled = _track(plan.settled, reports, names, now_s)
        if demand is not None:
            planned = [_planned(name, plan.wanted[name], reports) for name in names]
            match plan_change(planned, roles, demand, settled):
                case RoleChange(runner=runner, role=new_role):
                    plan.wanted[runner] = new_role
        return {name: plan.wanted[name] for name in names}


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
