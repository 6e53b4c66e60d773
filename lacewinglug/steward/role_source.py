"""Where the wanted role of each engine comes from."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from lacewinglug.config.objects import Fleet
from lacewinglug.upstream.messages import EngineTarget, LoadReport


@dataclass(frozen=True, kw_only=True, slots=True)
class RoleInputs:
    """What wanted roles are computed from.

    :param fleet: the configuration in force.
    :param reports: last load report of each runner.
    :param runners: runners whose roles are wanted.
    :param now_s: monotonic time, in seconds.
    """

    fleet: Fleet
    reports: Mapping[str, LoadReport]
    runners: tuple[str, ...]
    now_s: float


class RoleSource(Protocol):
    """Names the wanted role of engines."""

    def wanted_roles(self, inputs: RoleInputs) -> Mapping[str, str]:
        """Return the wanted role by runner; one that is missing keeps its own."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class DeclaredRoles:
    """Wants the role that the configuration declares for each runner."""

    def wanted_roles(self, inputs: RoleInputs) -> Mapping[str, str]:
        """Return the initial role of each runner."""
        return {
            name: inputs.fleet.runners[name].initial_role for name in inputs.runners
        }


def make_target(
    fleet: Fleet, runner: str, *, role: str, accepts_work: bool
) -> EngineTarget:
    """Return the whole wanted state of an engine.

    :param fleet: the configuration in force.
    :param runner: name of the runner.
    :param role: wanted role, empty for the one that it has.
    :param accepts_work: whether it takes new prompts.
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
