"""Measures what entries gain if they tell each other the notices of engines.

Run as ``python -m bench.policy.telling``.
"""

from statistics import fmean

from bench.policy.runs import LACEWINGLUG, answered, run_case
from bench.policy.scenarios import HELD_OUT_SEEDS, make_notices

SEEDS = 10
DELAYS_S = (None, 0.05, 0.5)
"""Times that a notice takes from one entry to the others, in seconds: not told, told at
once, and told with a heartbeat."""

Row = tuple[float, ...]


def measure(seed: int, delay_s: float | None) -> Row:
    """Return the share answered, the requests turned away and the spread in seconds."""
    simulation = run_case(make_notices(seed), LACEWINGLUG, telling_delay_s=delay_s)
    counts = simulation.notice_counts
    share = len(answered(simulation.jobs)) / len(simulation.jobs)
    return share, float(counts.turned_away), counts.spread_s


def main() -> None:
    """Print the mean figures of each delay, and of the seeds compared in pairs."""
    parts = {
        "tuned": range(SEEDS),
        "held out": range(HELD_OUT_SEEDS, HELD_OUT_SEEDS + SEEDS),
    }
    print("| seeds | told after | answered | better, worse | turned away | spread |")
    print("|---|---|---|---|---|---|")
    for name, seeds in parts.items():
        base: list[Row] = []
        for delay_s in DELAYS_S:
            rows = [measure(seed, delay_s) for seed in seeds]
            base = base or rows
            better = sum(row[0] > old[0] for row, old in zip(rows, base, strict=True))
            worse = sum(row[0] < old[0] for row, old in zip(rows, base, strict=True))
            share, turned_away, spread_s = map(fmean, zip(*rows, strict=True))
            told = "never" if delay_s is None else f"{delay_s} s"
            print(
                f"| {name} | {told} | {share:.4f} | {better}, {worse} "
                f"| {turned_away:.1f} | {spread_s:.2f} s |"
            )


if __name__ == "__main__":
    main()
