"""Plans engine roles from load reports."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from lacewinglug.authority.state import ControlState
from lacewinglug.roles.source import RolePlanner
from lacewinglug.steward.role_source import RoleInputs
from lacewinglug.upstream.messages import LoadReport

MAX_WHOLE_SERVICE_RUNNERS = 12
"""Services with at most this many runners are planned as a whole, larger ones per
order domain."""


@dataclass(kw_only=True)
class PlannedRoleSource:
    """Plans the roles of engines under the tenures of this steward.

    :param state: the replayed state.
    :param fresh_reports: returns the recent load reports.
    """

    state: ControlState
    fresh_reports: Callable[[], Mapping[str, LoadReport]]
    _planned_roles: RolePlanner = field(default_factory=RolePlanner)

    def desired_roles(self, inputs: RoleInputs) -> Mapping[str, str]:
        """Return the desired role of each runner that has reported."""
        return self._planned_roles.plan_roles(
            inputs.fleet,
            self.fresh_reports(),
            inputs.runners,
            peers=self._peer_runners(inputs),
            now_s=inputs.now_s,
        )

    def _peer_runners(self, inputs: RoleInputs) -> list[str]:
        """Return runners under other holders whose services are planned as a whole."""
        fleet = inputs.fleet
        own = set(inputs.runners)
        peers = []
        for service in {fleet.runners[name].service for name in own}:
            names = fleet.runners_of(service)
            if len(names) <= MAX_WHOLE_SERVICE_RUNNERS:
                peers += [name for name in names if self._is_peer_runner(name, own)]
        return peers

    def _is_peer_runner(self, name: str, own: set[str]) -> bool:
        """Return whether a runner is in service under another holder."""
        state = self.state
        return name not in own | state.withdrawn | state.draining
