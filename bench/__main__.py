"""Runs the benchmark suites named on the command line, by default all."""

import importlib
import sys

from bench.figures import format_figures, write_results

SUITES = ("memory", "control", "orders", "calls", "relay", "policy", "processes")


def main(names: list[str]) -> int:
    """Run suites, print their figures and update the results file."""
    unknown = [name for name in names if name not in SUITES]
    if unknown:
        print(f"no suite {unknown[0]!r}; use one of {', '.join(SUITES)}")
        return 2
    for name in names or SUITES:
        suite = importlib.import_module(f"bench.{name}")
        figures = suite.run()
        print(f"== {name}")
        format_suite = getattr(suite, "format_figures", format_figures)
        print("\n".join(format_suite(figures)))
        write_results(figures)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
