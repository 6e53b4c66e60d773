"""Follows each host through the chart of its life."""

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
class HostLife:
    """The life of one host.

    :param chart_state: state in the chart ``host``.
    """

    chart_state: str = load_chart("host").initial


@dataclass(kw_only=True)
class HostLives:
    """Owns the state of each host of the configuration."""

    lives: dict[str, HostLife] = field(default_factory=dict)

    def update(self, state: ControlState, table: HostTable) -> dict[str, str]:
        """Bring every host up to date; return the states that changed.

        :param state: the replayed state.
        :param table: what the hosts say of one another.
        """
        for name in set(self.lives) - set(state.fleet.hosts):
            del self.lives[name]
        leaving = table.leaving_upstreams()
        changes: dict[str, str] = {}
        for name in state.fleet.hosts:
            life = self.lives.setdefault(name, HostLife())
            before = life.chart_state
            for event in _find_events(name, state, table, name in leaving):
                if load_chart("host").allows(life.chart_state, event):
                    load_chart("host").apply(life, event)
            if life.chart_state != before:
                changes[name] = life.chart_state
        return changes


def _find_events(
    name: str, state: ControlState, table: HostTable, listed_leaving: bool
) -> list[str]:
    """Return the events that the facts about a host stand for, gravest last."""
    if name in state.withdrawn:
        return ["withdraw"]
    events = ["replace"]
    if name in state.draining:
        return [*events, "drain"]
    events.append("end_drain")
    status = table.statuses.get(name)
    if listed_leaving:
        events.append("leave")
    elif status is not None:
        events.append(_GOSSIP_EVENTS.get(status.state, "silence_confirmed"))
    return events
