"""Writes measured figures into the tables of docs/CAPACITY.md."""

import re
from pathlib import Path

import msgspec

from bench.capacity.projection import CapacityData, CapacityRow
from bench.capacity.slopes import Slope

DATA_PATH = Path(__file__).parent.parent / "capacity.json"
PAGE_PATH = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
_TABLE = "<!-- table: {name} -->\n{rows}<!-- end -->"


def read_data() -> CapacityData:
    """Return the figures of the last measurement."""
    return msgspec.json.decode(DATA_PATH.read_bytes(), type=CapacityData)


def write_data(data: CapacityData) -> None:
    """Keep the figures of a measurement."""
    DATA_PATH.write_bytes(msgspec.json.format(msgspec.json.encode(data)) + b"\n")


def fill_tables(page: str, data: CapacityData) -> str:
    """Return the page with its tables made anew.

    :param page: text of the page with markers around each table.
    :param data: the figures.
    """
    tables = {"slopes": _slopes(data.slopes), "roles": _roles(data.rows)}
    for name, rows in tables.items():
        pattern = _TABLE.format(name=name, rows=r".*?")
        text = _TABLE.format(name=name, rows=rows)
        match = re.search(pattern, page, flags=re.DOTALL)
        if match is None:
            raise ValueError(f"no table {name!r} in the page; add its markers")
        page = page[: match.start()] + text + page[match.end() :]
    return page


def _slopes(slopes: tuple[Slope, ...]) -> str:
    lines = [
        "| cost | per | sizes | measured | slope | intercept | residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for item in slopes:
        sizes = ", ".join(f"{size:g}" for size in item.sizes)
        values = ", ".join(f"{value:.4g}" for value in item.values)
        lines.append(
            f"| `{item.name}` | {item.per} | {sizes} | {values} | {item.slope:.4g} "
            f"| {item.intercept:.4g} | {item.residual_ratio:.1%} |"
        )
    return "\n".join(lines) + "\n"


def _roles(rows: tuple[CapacityRow, ...]) -> str:
    lines = [
        "| role | resource | at the aimed size | budget | | carried by |",
        "|---|---|---|---|---|---|",
    ]
    lines.extend(_role(row) for row in rows)
    return "\n".join(lines) + "\n"


def _role(row: CapacityRow) -> str:
    budget = f"{row.budget:.4g}" if row.budget else ""
    verdict = ""
    if row.budget:
        ratio = row.value / row.budget
        verdict = "within" if row.within else f"**{ratio:.1f} times over**"
    return (
        f"| {row.role} | {row.resource} | {row.value:.4g} | {budget} "
        f"| {verdict} | {row.carried_by} |"
    )
