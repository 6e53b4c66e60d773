"""Planners of the simulation: lacewinglug's own and one that always reacts."""

from dataclasses import dataclass

from bench.policy.simulation import Simulation
from lacewinglug.roles.demand import SUSTAINED_TIME_CONSTANT_S, DemandTracker
from lacewinglug.roles.planner import (
    Demand,
    EngineRoleState,
    RoleChange,
    RoleOption,
    plan_role_change,
)

_IMBALANCE = 0.1


@dataclass(kw_only=True)
class PolicyPlanner:
    """Runs lacewinglug's planner once a second.

    :param simulation: the world.
    """

    simulation: Simulation

    def __post_init__(self) -> None:
        self._tracker = DemandTracker()
        self._settled = DemandTracker(time_constant_s=SUSTAINED_TIME_CONSTANT_S)

    def __call__(self) -> None:
        """Order the next change that pays for itself."""
        simulation = self.simulation
        demand = _track(self._tracker, simulation)
        settled = _track(self._settled, simulation)
        if demand is None or simulation.changing is not None:
            return
        roles = {
            name: RoleOption(rates=rates, change_s=simulation.site.change_s)
            for name, rates in simulation.site.roles.items()
        }
        runners = _runners(simulation)
        match plan_role_change(runners, roles, demand, settled):
            case RoleChange(runner=runner, role=role):
                simulation.order_role(simulation.by_name[runner], role)


@dataclass(kw_only=True)
class ReactivePlanner:
    """Changes a role on every imbalance of the last second.

    :param simulation: the world.
    """

    simulation: Simulation

    def __post_init__(self) -> None:
        self._tracker = DemandTracker(time_constant_s=1.0)

    def __call__(self) -> None:
        """Order a change when one phase is more loaded than the other."""
        simulation = self.simulation
        demand = _track(self._tracker, simulation)
        if demand is None or simulation.changing is not None:
            return
        rates = simulation.site.roles
        loads = {
            "prefill": demand.prefill_tokens_per_s
            / rates["prefill"].prefill_tokens_per_s,
            "decode": demand.output_tokens_per_s / rates["decode"].decode_tokens_per_s,
        }
        counts = dict.fromkeys(loads, 0.0)
        engines = [item for item in simulation.engines if item.state == "ready"]
        for engine in engines:
            if engine.role in counts:
                counts[engine.role] += 1.0
            else:
                counts = {role: count + 0.5 for role, count in counts.items()}
        busy = {role: loads[role] / max(0.5, counts[role]) for role in loads}
        needy = max(busy, key=lambda role: busy[role])
        other = "decode" if needy == "prefill" else "prefill"
        if busy[needy] - busy[other] < _IMBALANCE:
            return
        movable = [item for item in engines if item.role != needy]
        if len([item for item in engines if item.role in (other, "mixed")]) > 1:
            engine = min(movable, key=lambda item: len(item.jobs))
            simulation.order_role(engine, needy)


def _track(tracker: DemandTracker, simulation: Simulation) -> Demand | None:
    """Feed the demand of all entries to a tracker."""
    return tracker.update(
        prefill_tokens=sum(item.offered_prefill for item in simulation.entries),
        output_tokens=sum(item.offered_output for item in simulation.entries),
        now_s=simulation.loop.now_s,
    )


def _runners(simulation: Simulation) -> list[EngineRoleState]:
    return [
        EngineRoleState(
            name=engine.name,
            role=engine.role,
            in_flight=len(engine.jobs),
            is_changing=engine.state != "ready",
        )
        for engine in simulation.engines
        if engine.state != "gone"
    ]
