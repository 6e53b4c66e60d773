"""State charts that are defined in TOML files and interpreted at run time.

A chart defines states, events and the transitions between states. Objects that use a
chart store their current state in an attribute ``chart_state``.
"""

import logging
import tomllib
from dataclasses import dataclass
from functools import cache
from importlib import resources
from typing import Any, Protocol

from transitions import Machine, MachineError

CHART_NAMES = ("tenure", "engine_change", "host", "request", "usage_report")
ANY_STATE = "*"


# The library logs every transition at INFO; code that uses a chart logs the relevant
# state changes itself.
logging.getLogger("transitions").setLevel(logging.WARNING)


class ChartError(Exception):
    """A chart file is invalid, or an event is not allowed in the current state."""


class ChartModel(Protocol):
    """An object whose state is managed by a chart.

    :param chart_state: name of the current state.
    """

    chart_state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Transition:
    """A transition between states.

    :param event: name of the event that triggers it.
    :param source: source states; ``*`` stands for every state.
    :param target: target state.
    """

    event: str
    source: tuple[str, ...]
    target: str


@dataclass(frozen=True, kw_only=True)
class Chart:
    """A state chart.

    :param name: file name without extension.
    :param title: title of its page.
    :param initial: initial state.
    :param states: description of each state, by name.
    :param transitions: transitions in the order of the file.
    """

    name: str
    title: str
    initial: str
    states: dict[str, str]
    transitions: tuple[Transition, ...]

    @property
    def events(self) -> tuple[str, ...]:
        """Distinct event names in the order of the file."""
        return tuple(dict.fromkeys(item.event for item in self.transitions))

    def sources(self, transition: Transition) -> tuple[str, ...]:
        """Return the source states of a transition, with ``*`` expanded."""
        if transition.source == (ANY_STATE,):
            return tuple(self.states)
        return transition.source

    def allows(self, state: str, event: str) -> bool:
        """Return whether an event is allowed in a state."""
        return any(
            item.event == event and state in self.sources(item)
            for item in self.transitions
        )

    def apply(self, model: ChartModel, event: str) -> str:
        """Apply an event to an object and return its new state.

        :raises ChartError: the event is unknown or not allowed in the current state.
        """
        machine = _machine(self.name)
        try:
            trigger = machine.events[event]
        except KeyError:
            raise ChartError(f"chart {self.name} has no event {event!r}") from None
        machine.set_state(model.chart_state, _shared_model(machine))
        try:
            trigger.trigger(_shared_model(machine))
        except MachineError:
            raise ChartError(
                f"chart {self.name} does not allow {event!r} in state "
                f"{model.chart_state!r}; add the transition to the chart's file"
            ) from None
        model.chart_state = _shared_model(machine).state
        return model.chart_state


def _shared_model(machine: Machine) -> Any:
    """Return the machine's own model, which is reused for all objects of a chart."""
    return machine.models[0]


@cache
def load_chart(name: str) -> Chart:
    """Load a chart from a file of this package.

    :param name: file name without ``.toml``.
    :raises ChartError: the file is missing or invalid.
    """
    path = resources.files(__package__).joinpath(f"{name}.toml")
    try:
        return parse_chart(name, path.read_text())
    except FileNotFoundError:
        raise ChartError(
            f"no chart {name!r}; add {name}.toml to lacewinglug/charts"
        ) from None


def parse_chart(name: str, text: str) -> Chart:
    """Parse a chart in TOML format.

    :raises ChartError: the text is not valid TOML, a key is missing or a state is not
        defined.
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
            f"chart {name} is invalid: {error}; see tenure.toml for an example"
        ) from None
    _check_states(chart)
    return chart


def _parse_transition(item: dict[str, Any]) -> Transition:
    source = item["from"]
    sources = (source,) if isinstance(source, str) else tuple(source)
    return Transition(event=item["event"], source=sources, target=item["to"])


def _check_states(chart: Chart) -> None:
    named = {chart.initial}
    for item in chart.transitions:
        named |= {item.target, *chart.sources(item)}
    unknown = sorted(named - set(chart.states))
    if unknown:
        raise ChartError(
            f"chart {chart.name} refers to the unknown state {unknown[0]!r}; "
            "define it under [states]"
        )


@cache
def _machine(name: str) -> Machine:
    """Return the state machine of a chart, shared by all objects that use it."""
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
