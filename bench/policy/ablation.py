"""Measures lacewinglug with one rule switched off at a time.

Run as ``python -m bench.policy.ablation``.
"""

from dataclasses import dataclass, field, replace
from statistics import fmean

from bench.policy.measure import Task, run_tasks
from bench.policy.runs import LACEWINGLUG
from lacewinglug.routing.rules import PolicySettings

SEEDS = 2

FIGURES = {
    "mix_shift": ("goodput", "first_token_p95_s"),
    "crest": ("weighted_service",),
    "blocking": ("short_p99_s", "short_answered"),
    "slowed": ("p99_s",),
    "steady": ("goodput", "first_token_p95_s"),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Ablation:
    """A rule to switch off.

    :param name: name of the row.
    :param scenarios: scenarios that the rule is meant for.
    :param switches: settings without the rule.
    """

    name: str
    scenarios: tuple[str, ...]
    switches: dict[str, bool | float] = field(default_factory=dict)


ABLATIONS = (
    Ablation(name="all rules", scenarios=tuple(FIGURES)),
    Ablation(
        name="no admission",
        scenarios=("crest", "steady"),
        switches={"admission": False},
    ),
    Ablation(name="no deadlines", scenarios=("crest",), switches={"deadlines": False}),
    Ablation(
        name="no lanes", scenarios=("blocking",), switches={"length_classes": False}
    ),
    Ablation(
        name="no priorities",
        scenarios=("crest", "steady"),
        switches={"priorities": False},
    ),
    Ablation(
        name="no prefixes",
        scenarios=("mix_shift",),
        switches={"prefix_affinity": False},
    ),
    Ablation(
        name="no slowness",
        scenarios=("slowed",),
        switches={"slowness_detection": False, "migration": False},
    ),
    Ablation(name="no migration", scenarios=("slowed",), switches={"migration": False}),
    Ablation(
        name="no split", scenarios=("mix_shift",), switches={"disaggregation": False}
    ),
    Ablation(
        name="no planning", scenarios=("mix_shift",), switches={"role_planning": False}
    ),
    Ablation(
        name="no mirror",
        scenarios=("mix_shift", "crest", "steady"),
        switches={"sender_share": 0.0},
    ),
)


def main() -> None:
    """Print the mean figures without each rule."""
    tasks = [
        Task(
            scenario=scenario,
            seed=seed,
            policy=LACEWINGLUG,
            settings=replace(PolicySettings(), **ablation.switches),
        )
        for ablation in ABLATIONS
        for scenario in ablation.scenarios
        for seed in range(SEEDS)
    ]
    results = iter(run_tasks(tasks))
    print("| rule | figures |")
    print("|---|---|")
    for ablation in ABLATIONS:
        cells = []
        for scenario in ablation.scenarios:
            rows = [next(results) for _ in range(SEEDS)]
            for name in FIGURES[scenario]:
                mean = fmean(row[name] for row in rows)
                cells.append(f"{scenario}.{name} {mean:.4g}")
        print(f"| {ablation.name} |", "; ".join(cells), "|")


if __name__ == "__main__":
    main()
