"""Tracks the lifecycle of each host in the state chart ``host``."""

from dataclasses import dataclass, field

from lacewinglug.authority.state import ControlState
from lacewinglug.charts import load_chart
from lacewinglug.membership.table import HostTable

_GOSSIP_EVENTS = {
    "live": "heard",
    "suspect": "silence_confirmed",
    "leaving": "leave",
}


@dataclass(kw_only=True, slots=True)
class HostLifecycle:
    """The lifecycle of one host.

    :param chart_state: state in the chart ``host``.
    """

    chart_state: str = load_chart("host").initial


@dataclass(kw_only=True)
class HostLifecycles:
    """The lifecycle states of all hosts in the configuration."""

    hosts: dict[str, HostLifecycle] = field(default_factory=dict)

    def update(self, state: ControlState, table: HostTable) -> dict[str, str]:
        """Update all hosts and return the new states of those that changed.

        :param state: the replayed state.
        :param table: host statuses received by gossip.
        """
        for name in set(self.hosts) - set(state.fleet.hosts):
            del self.hosts[name]
        leaving = table.leaving_upstreams()
        changes: dict[str, str] = {}
        for name in state.fleet.hosts:
            lifecycle = self.hosts.setdefault(name, HostLifecycle())
            previous_state = lifecycle.chart_state
            for event in _events_for(name, state, table, name in leaving):
                if load_chart("host").allows(lifecycle.chart_state, event):
                    load_chart("host").apply(lifecycle, event)
            if lifecycle.chart_state != previous_state:
                changes[name] = lifecycle.chart_state
        return changes


def _events_for(
    name: str, state: ControlState, table: HostTable, reported_leaving: bool
) -> list[str]:
    """Return the chart events that apply to a host, in the order to apply them.

    What operators recorded in the log takes precedence over gossip.
    """
    if name in state.withdrawn:
        return ["withdraw"]
    events = ["replace"]
    if name in state.draining:
        return [*events, "drain"]
    events.append("end_drain")
    status = table.statuses.get(name)
    if reported_leaving:
        events.append("leave")
    elif status is not None:
        events.append(_GOSSIP_EVENTS.get(status.state, "silence_confirmed"))
    return events
