"""Sources of the desired role of each engine."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from lacewinglug.config.objects import Fleet
from lacewinglug.upstream.messages import EngineTarget, LoadReport


@dataclass(frozen=True, kw_only=True, slots=True)
class RoleInputs:
    """Inputs for computing desired roles.

    :param fleet: the current configuration.
    :param reports: last load report of each runner.
    :param runners: runners to return roles for.
    :param now_s: monotonic time, in seconds.
    """

    fleet: Fleet
    reports: Mapping[str, LoadReport]
    runners: tuple[str, ...]
    now_s: float


class RoleSource(Protocol):
    """Provides the desired role of engines."""

    def desired_roles(self, inputs: RoleInputs) -> Mapping[str, str]:
        """Return desired roles by runner; a missing runner keeps its current role."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class DeclaredRoles:
    """Returns the role that the configuration declares for each runner."""

    def desired_roles(self, inputs: RoleInputs) -> Mapping[str, str]:
        """Return the initial role of each runner."""
        return {
            name: inputs.fleet.runners[name].initial_role for name in inputs.runners
        }


def make_target(
    fleet: Fleet, runner: str, *, role: str, accepts_work: bool
) -> EngineTarget:
    """Return the complete desired state of an engine.

    :param fleet: the current configuration.
    :param runner: name of the runner.
    :param role: desired role, empty to keep the current role.
    :param accepts_work: whether it accepts new prompts.
    """
    service = fleet.services[fleet.runners[runner].service]
    version = fleet.versions.get(service.version)
    return EngineTarget(
        role=role,
        version=service.version,
        adapters=tuple(sorted(service.adapters)),
        accepts_work=accepts_work,
        weight_key=version.weight_key if version else "",
    )
