"""Figures of the benchmark, their targets and the results file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Literal

import msgspec

RESULTS_PATH = Path(__file__).parent / "results.json"


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A stated target of a figure.

    :param limit: the limit.
    :param direction: whether the figure may be at most or at least the limit.
    """

    limit: float
    direction: Literal["at_most", "at_least"]

    def is_met(self, value: float) -> bool:
        """Return whether a value meets the target."""
        if self.direction == "at_most":
            return value <= self.limit
        return value >= self.limit


@dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """One measured figure.

    :param scenario: name of the scenario.
    :param name: name of the figure, with its unit as suffix.
    :param subject: what was measured, such as a policy or a number of nodes.
    :param value: the measured value.
    :param target: stated target, None where none is stated.
    :param deterministic: whether every run gives the same value; only such
        figures are written to the results file.
    """

    scenario: str
    name: str
    subject: str
    value: float
    target: Target | None = None
    deterministic: bool = True

    @property
    def key(self) -> str:
        """Key of the figure in the results file."""
        return f"{self.scenario}.{self.name}.{self.subject}"


def format_figures(figures: list[Figure]) -> list[str]:
    """Return the lines of a table of figures."""
    width = max((len(figure.key) for figure in figures), default=0)
    lines = []
    for figure in figures:
        line = f"{figure.key:<{width}} {figure.value:>14.4f}"
        if figure.target is not None:
            sign = "<=" if figure.target.direction == "at_most" else ">="
            verdict = "met" if figure.target.is_met(figure.value) else "MISSED"
            line += f"  {sign} {figure.target.limit:<10g} {verdict}"
        lines.append(line)
    return lines


def read_results() -> dict[str, float]:
    """Return the figures of the results file by key."""
    if not RESULTS_PATH.exists():
        return {}
    return msgspec.json.decode(RESULTS_PATH.read_bytes(), type=dict[str, float])


def write_results(figures: list[Figure]) -> None:
    """Update the results file with deterministic figures."""
    results = read_results()
    results.update(
        {
            figure.key: round(figure.value, 6)
            for figure in figures
            if figure.deterministic
        }
    )
    encoded = msgspec.json.encode(dict(sorted(results.items())))
    RESULTS_PATH.write_bytes(msgspec.json.format(encoded, indent=2) + b"\n")
