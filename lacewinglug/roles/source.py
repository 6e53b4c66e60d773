"""Plans engine roles from load reports."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from lacewinglug.config.objects import Fleet
from lacewinglug.roles.demand import SUSTAINED_TIME_CONSTANT_S, DemandTracker
from lacewinglug.roles.planner import (
    Demand,
    EngineRoleState,
    RoleChange,
    RoleOption,
    plan_role_change,
)
from lacewinglug.routing.rates import rates_of
from lacewinglug.upstream.messages import LoadReport

_READY = "ready"


@dataclass(kw_only=True)
class _ServicePlan:
    """Demand on a service and the target roles of its engines."""

    recent_demand: DemandTracker = field(default_factory=DemandTracker)
    sustained_demand: DemandTracker = field(
        default_factory=lambda: DemandTracker(time_constant_s=SUSTAINED_TIME_CONSTANT_S)
    )
    target_roles: dict[str, str] = field(default_factory=dict)


@dataclass(kw_only=True)
class RolePlanner:
    """Plans the engine roles of all services.

    Demand is the work that engines have done plus the work queued at them. While a
    report is missing, the roles of its service stay as they are, because the demand
    would be underestimated.
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
        """Return the target role by runner.

        At most one role of a service changes per call. Runners that have not reported
        yet are left out.

        :param fleet: the active configuration.
        :param reports: latest load reports by runner, without outdated ones.
        :param runners: runners to plan.
        :param peers: other runners of the same services, controlled by other holders.
        :param now_s: monotonic time, in seconds.
        """
        target_roles: dict[str, str] = {}
        for service, names in _group_by_service(fleet, runners).items():
            if not fleet.services[service].roles:
                continue
            others = _group_by_service(fleet, peers).get(service, [])
            target_roles.update(
                self._plan_service(fleet, service, reports, names, others, now_s)
            )
        return target_roles

    def _plan_service(
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
            name: RoleOption(rates=rates_of(role), change_s=role.change_s)
            for name in fleet.services[service].roles
            if (role := fleet.engine_roles[name])
        }
        for name in names:
            if name in reports or name in plan.target_roles:
                current_role = plan.target_roles.get(name) or reports[name].role
                plan.target_roles[name] = _allowed_role(current_role, fleet, name)
        all_runners = [*names, *peers]
        if all(name in reports for name in all_runners):
            demand = _update_demand(plan.recent_demand, reports, all_runners, now_s)
            sustained = _update_demand(
                plan.sustained_demand, reports, all_runners, now_s
            )
            if demand is not None:
                engines = [
                    _engine_state(name, plan.target_roles[name], reports)
                    for name in names
                ]
                engines += [_peer_engine_state(name, reports) for name in peers]
                match plan_role_change(engines, roles, demand, sustained):
                    case RoleChange(runner=runner, role=new_role) if runner in names:
                        plan.target_roles[runner] = new_role
        return {
            name: plan.target_roles[name] for name in names if name in plan.target_roles
        }


def _group_by_service(fleet: Fleet, runners: Sequence[str]) -> dict[str, list[str]]:
    """Group runners by service."""
    services: dict[str, list[str]] = {}
    for name in runners:
        services.setdefault(fleet.runners[name].service, []).append(name)
    return services


def _allowed_role(role: str, fleet: Fleet, runner: str) -> str:
    """Return the role if the service allows it, else a default role."""
    item = fleet.runners[runner]
    allowed = fleet.services[item.service].roles
    if role in allowed:
        return role
    return item.initial_role if item.initial_role in allowed else allowed[0]


def _engine_state(
    name: str, target_role: str, reports: Mapping[str, LoadReport]
) -> EngineRoleState:
    """Return the planner input for an engine."""
    report = reports[name]
    return EngineRoleState(
        name=name,
        role=target_role,
        in_flight=report.running + report.queued,
        is_changing=report.state != _READY or report.role != target_role,
    )


def _peer_engine_state(name: str, reports: Mapping[str, LoadReport]) -> EngineRoleState:
    """Return the planner input for an engine of another holder."""
    return _engine_state(name, reports[name].role, reports)


def _update_demand(
    tracker: DemandTracker,
    reports: Mapping[str, LoadReport],
    names: Sequence[str],
    now_s: float,
) -> Demand | None:
    """Update a demand tracker with the counters of the reports."""
    return tracker.update(
        prefill_tokens=sum(
            reports[name].prefill_tokens_total + reports[name].queued_prefill_tokens
            for name in names
        ),
        output_tokens=sum(reports[name].output_tokens_total for name in names),
        now_s=now_s,
    )
