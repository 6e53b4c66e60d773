"""State charts in TOML files, which the code interprets.

A chart names its states, its events and the transitions between states. Objects
that follow a chart keep their state in an attribute ``chart_state``.
"""

import logging
import tomllib
from dataclasses import dataclass
from functools import cache
from importlib import resources
from typing import Any, Protocol

from transitions import Machine, MachineError

CHART_NAMES = ("tenure", "engine_change", "host", "request")
ANY_STATE = "*"


# The library logs every transition as INFO; lines are for changes of state that
# the users of a chart report themselves.
logging.getLogger("transitions").setLevel(logging.WARNING)


class ChartError(Exception):
    """A chart file is wrong, or an event is not allowed in a state."""


class ChartModel(Protocol):
    """An object that follows a chart.

    :param chart_state: name of the state that the object is in.
    """

    chart_state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Transition:
    """A step from one state to another.

    :param event: name of the event that causes it.
    :param source: states that it leaves; every state for ``*``.
    :param target: state that it enters.
    """

    event: str
    source: tuple[str, ...]
    target: str


@dataclass(frozen=True, kw_only=True)
class Chart:
    """A state chart.

    :param name: name of its file, without the ending.
    :param title: one sentence on what it describes.
    :param initial: state that an object starts in.
    :param states: sentence on each state, by name.
    :param transitions: the steps.
    """

    name: str
    title: str
    initial: str
    states: dict[str, str]
    transitions: tuple[Transition, ...]

    @property
    def events(self) -> tuple[str, ...]:
        """Names of the events, each once, in the order of the file."""
        return tuple(dict.fromkeys(item.event for item in self.transitions))

    def sources(self, transition: Transition) -> tuple[str, ...]:
        """Return the states that a transition leaves."""
        if transition.source == (ANY_STATE,):
            return tuple(self.states)
        return transition.source

    def allows(self, state: str, event: str) -> bool:
        """Return whether an event has a transition from a state."""
        return any(
            item.event == event and state in self.sources(item)
            for item in self.transitions
        )

    def apply(self, model: ChartModel, event: str) -> str:
        """Apply an event to an object and return the state that it is in then.

        :raises ChartError: the chart does not allow the event in that state.
        """
        machine = _machine(self.name)
        try:
            trigger = machine.events[event]
        except KeyError:
            raise ChartError(f"chart {self.name} has no event {event!r}") from None
        machine.set_state(model.chart_state, _cursor(machine))
        try:
            trigger.trigger(_cursor(machine))
        except MachineError:
            raise ChartError(
                f"chart {self.name} does not allow {event!r} in state "
                f"{model.chart_state!r}; add the transition to the chart's file"
            ) from None
        model.chart_state = _cursor(machine).state
        return model.chart_state


def _cursor(machine: Machine) -> Any:
    """Return the object that the machine moves on behalf of every model."""
    return machine.models[0]


@cache
def load_chart(name: str) -> Chart:
    """Return the chart of a file in this package.

    :param name: name of the file without ``.toml``.
    :raises ChartError: the file is missing or names an unknown state.
    """
    path = resources.files(__package__).joinpath(f"{name}.toml")
    try:
        return parse_chart(name, path.read_text())
    except FileNotFoundError:
        raise ChartError(f"no chart {name!r}; add {name}.toml to the charts") from None


def parse_chart(name: str, text: str) -> Chart:
    """Return the chart that a TOML text describes.

    :raises ChartError: a key is missing or a transition names an unknown state.
    """
    try:
        content = tomllib.loads(text)
        chart = Chart(
            name=name,
            title=content["title"],
            initial=content["initial"],
            states=dict(content["states"]),
            transitions=tuple(
                _parse_transition(item) for item in content["transitions"]
            ),
        )
    except (tomllib.TOMLDecodeError, KeyError) as error:
        raise ChartError(
            f"chart {name}: {error}; compare it with tenure.toml"
        ) from None
    _check(chart)
    return chart


def _parse_transition(item: dict[str, Any]) -> Transition:
    source = item["from"]
    sources = (source,) if isinstance(source, str) else tuple(source)
    return Transition(event=item["event"], source=sources, target=item["to"])


def _check(chart: Chart) -> None:
    named = {chart.initial}
    for item in chart.transitions:
        named |= {item.target, *chart.sources(item)}
    unknown = sorted(named - set(chart.states))
    if unknown:
        raise ChartError(
            f"chart {chart.name} names the unknown state {unknown[0]!r}; "
            "describe it under [states]"
        )


@cache
def _machine(name: str) -> Machine:
    """Return the one machine that interprets a chart."""
    chart = load_chart(name)
    machine = Machine(
        states=list(chart.states),
        initial=chart.initial,
        auto_transitions=False,
        ignore_invalid_triggers=False,
    )
    for item in chart.transitions:
        machine.add_transition(item.event, list(chart.sources(item)), item.target)
    return machine
