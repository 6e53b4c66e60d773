"""Plots the answered requests of each scenario over time.

Run as ``python -m bench.policy.plots FOLDER``; needs the extra ``plot``.
"""

import sys
from collections import Counter
from pathlib import Path

from bench.policy.runs import POLICIES, answered, run_case
from bench.policy.scenarios import SCENARIOS

_BIN_S = 2.0


def plot_scenarios(folder: Path, *, seed: int = 0) -> list[Path]:
    """Write one picture a scenario; return the paths.

    :param folder: where the pictures go.
    :param seed: seed of the runs.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for name, make in SCENARIOS.items():
        case = make(seed)
        figure, axes = pyplot.subplots(figsize=(9, 4))
        for policy in POLICIES:
            jobs = answered(run_case(case, policy).jobs)
            counts = Counter(int(job.arrival_s / _BIN_S) for job in jobs)
            bins = range(int(case.duration_s / _BIN_S))
            axes.plot(
                [index * _BIN_S for index in bins],
                [counts[index] / _BIN_S for index in bins],
                label=policy,
                linewidth=1.0,
            )
        axes.set_xlabel("time of arrival, s")
        axes.set_ylabel("requests answered in time, 1/s")
        axes.set_title(name)
        axes.legend(fontsize="small")
        path = folder / f"{name}.png"
        figure.savefig(path, dpi=110)
        pyplot.close(figure)
        paths.append(path)
    return paths


if __name__ == "__main__":
    target = Path(sys.argv[1]) if len(sys.argv) > 1 else Path("bench/plots")
    for written in plot_scenarios(target):
        print(written)
