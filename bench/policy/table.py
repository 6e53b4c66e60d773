"""Prints the figures of the policy as one table."""

from collections.abc import Sequence

from bench.figures import Figure
from bench.policy.measure import BOUND
from bench.policy.runs import POLICIES

_COLUMNS = (*POLICIES, BOUND)
_HIDDEN_SUFFIXES = ("_lowest", "_highest")


def format_table(figures: Sequence[Figure]) -> list[str]:
    """Return lines of scenario, figure, each policy, bound, target and verdict."""
    rows: dict[tuple[str, str], dict[str, Figure]] = {}
    for figure in figures:
        key = (figure.scenario, figure.name)
        rows.setdefault(key, {})[figure.subject] = figure
    lines = [_line("scenario", "figure", _COLUMNS, "target", "")]
    for (scenario, name), row in rows.items():
        if name.endswith(_HIDDEN_SUFFIXES):
            continue
        values = [_cell(row.get(column), rows) for column in _COLUMNS]
        target = next((item.target for item in row.values() if item.target), None)
        if target is None:
            lines.append(_line(scenario, name, values, "", ""))
            continue
        sign = "<=" if target.direction == "at_most" else ">="
        is_met = target.is_met(row[POLICIES[0]].value)
        verdict = "met" if is_met else "MISSED"
        lines.append(_line(scenario, name, values, f"{sign}{target.limit:g}", verdict))
    return lines


def _cell(figure: Figure | None, rows: dict[tuple[str, str], dict[str, Figure]]) -> str:
    """Return a mean with its spread over seeds."""
    if figure is None:
        return "-"
    spread = [
        rows[figure.scenario, figure.name + suffix][figure.subject].value
        for suffix in _HIDDEN_SUFFIXES
    ]
    return f"{figure.value:.4g} [{spread[0]:.4g}, {spread[1]:.4g}]"


def _line(
    scenario: str, name: str, values: Sequence[str], target: str, verdict: str
) -> str:
    cells = " ".join(f"{value:<24}" for value in values)
    return f"{scenario:<20} {name:<37} {cells} {target:<8} {verdict}".rstrip()
