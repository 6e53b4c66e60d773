"""Plans engine roles from the load reports that this steward receives."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from lacewinglug.authority.state import ControlState
from lacewinglug.roles.source import RolePlanner
from lacewinglug.steward.role_source import RoleInputs
from lacewinglug.upstream.messages import LoadReport

WHOLE_SERVICE_RUNNERS = 12
"""Services of up to so many runners are planned as one, larger ones by domain."""


@dataclass(kw_only=True)
class PlannedRoleSource:
    """Owns the plans for the engines under this steward's tenures.

    :param state: the replayed state.
    :param fresh_reports: returns the load reports that are not too old.
    """

    state: ControlState
    fresh_reports: Callable[[], Mapping[str, LoadReport]]
    _roles: RolePlanner = field(default_factory=RolePlanner)

    def wanted_roles(self, inputs: RoleInputs) -> Mapping[str, str]:
        """Return the wanted role of each runner that has reported."""
        return self._roles.plan_roles(
            inputs.fleet,
            self.fresh_reports(),
            inputs.runners,
            peers=self._peers(inputs),
            now_s=inputs.now_s,
        )

    def _peers(self, inputs: RoleInputs) -> list[str]:
        """Return the runners of the same small services under other holders."""
        fleet = inputs.fleet
        own = set(inputs.runners)
        peers = []
        for service in {fleet.runners[name].service for name in own}:
            names = fleet.runners_of(service)
            if len(names) <= WHOLE_SERVICE_RUNNERS:
                peers += [name for name in names if self._is_peer(name, own)]
        return peers

    def _is_peer(self, name: str, own: set[str]) -> bool:
        """Return whether a runner that others order still serves."""
        state = self.state
        return name not in own | state.withdrawn | state.draining
