"""Measures the slopes and writes docs/CAPACITY.md's tables from them."""

import sys

from bench.capacity import control, processes, routing
from bench.capacity.page import PAGE_PATH, fill_tables, write_data
from bench.capacity.projection import CapacityData, Projection
from bench.figures import read_results
from bench.memory import measure_idle_steward_mb


def main() -> int:
    """Measure, print the fits, and update the page."""
    slopes = (*control.measure(), *routing.measure(), *processes.measure())
    for item in slopes:
        print(
            f"{item.name} per {item.per}: {item.slope:.4g} from {item.intercept:.4g}, "
            f"residual {item.residual_ratio:.1%}"
        )
    projection = Projection(
        slopes={(item.name, item.per): item for item in slopes},
        figures=read_results(),
        base_memory_mb=measure_idle_steward_mb(),
    )
    data = CapacityData(slopes=slopes, rows=projection.rows())
    write_data(data)
    PAGE_PATH.write_text(fill_tables(PAGE_PATH.read_text(), data))
    for row in data.rows:
        print(f"{row.role}: {row.resource}: {row.value:.4g} of {row.budget:g}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
