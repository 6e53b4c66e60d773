"""Measures lacewinglug with one rule switched off at a time.

Run as ``python -m bench.policy.ablation``.
"""

from dataclasses import replace
from statistics import fmean

from bench.policy.measure import Task, run_tasks
from bench.policy.runs import LACEWINGLUG
from lacewinglug.routing.rules import PolicySettings

SEEDS = 4

RULES: dict[str, dict[str, bool | float]] = {
    "all rules": {},
    "no admission": {"admission": False},
    "no deadlines": {"deadlines": False},
    "no lanes": {"lanes": False},
    "no priorities": {"priorities": False},
    "no prefixes": {"prefixes": False},
    "no slowness": {"slowness": False, "migration": False},
    "no migration": {"migration": False},
    "no split": {"split": False},
    "no planning": {"planning": False},
    "no mirror": {"mirror": 0.0},
}
FIGURES = {
    "mix_shift": ("goodput", "first_token_p95_s"),
    "crest": ("weighted_service",),
    "blocking": ("short_p99_s",),
    "slowed": ("p99_s",),
    "steady": ("goodput", "first_token_p95_s"),
}


def main() -> None:
    """Print the mean figures without each rule."""
    settings = {
        rule: replace(PolicySettings(), **switches) for rule, switches in RULES.items()
    }
    tasks = [
        Task(scenario=scenario, seed=seed, policy=LACEWINGLUG, settings=rules)
        for rules in settings.values()
        for scenario in FIGURES
        for seed in range(SEEDS)
    ]
    results = iter(run_tasks(tasks))
    columns = [
        f"{name}.{figure}" for name, items in FIGURES.items() for figure in items
    ]
    print("| rule |", " | ".join(columns), "|")
    print("|---|", "---|" * len(columns), sep="")
    for rule in settings:
        cells = []
        for items in FIGURES.values():
            rows = [next(results) for _ in range(SEEDS)]
            cells.extend(f"{fmean(row[item] for row in rows):.4g}" for item in items)
        print(f"| {rule} |", " | ".join(cells), "|")


if __name__ == "__main__":
    main()
