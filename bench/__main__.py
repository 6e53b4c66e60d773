"""Runs the benchmark suites named on the command line, by default all."""

import importlib
import sys

from bench.figures import format_figures, write_results

SUITES = ("memory", "control", "orders")


def main(names: list[str]) -> int:
    """Run suites, print their figures and update the results file."""
    unknown = [name for name in names if name not in SUITES]
    if unknown:
        print(f"no suite {unknown[0]!r}; use one of {', '.join(SUITES)}")
        return 2
    for name in names or SUITES:
        figures = importlib.import_module(f"bench.{name}").run()
        print(f"== {name}")
        print("\n".join(format_figures(figures)))
        write_results(figures)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
