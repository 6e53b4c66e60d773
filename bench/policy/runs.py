"""Runs a case under lacewinglug or a baseline and reads its figures."""

from collections.abc import Sequence

from bench.policy.baselines import BaselineEntry
from bench.policy.engine import Job
from bench.policy.entries import PolicyEntry
from bench.policy.planners import PolicyPlanner, ReactivePlanner
from bench.policy.scenarios import Case
from bench.policy.simulation import Simulation, copy_jobs
from lacewinglug.routing.rules import PolicySettings

LACEWINGLUG = "lacewinglug"
BASELINES = ("round_robin", "least_requests", "static_roles", "reactive_roles")
POLICIES = (LACEWINGLUG, *BASELINES)
_MIXED_ROLES = ("round_robin", "least_requests")


def run_case(
    case: Case,
    policy: str,
    settings: PolicySettings | None = None,
    *,
    telling_delay_s: float | None = None,
) -> Simulation:
    """Run one case under one policy.

    :param policy: one of ``POLICIES``.
    :param settings: rules in force for lacewinglug.
    :param telling_delay_s: as in :class:`Simulation`.
    """
    roles = case.roles
    if policy in _MIXED_ROLES:
        roles = ("mixed",) * len(case.roles)
    elif policy == "static_roles":
        roles = case.static_roles
    simulation = Simulation(
        site=case.site,
        jobs=copy_jobs(case.jobs),
        duration_s=case.duration_s,
        roles=roles,
        disturbances=case.disturbances,
        seed=case.seed,
        tail_s=case.tail_s,
        telling_delay_s=telling_delay_s,
    )
    rules = settings or PolicySettings()
    for index in range(len(case.site.entries)):
        match policy:
            case "lacewinglug":
                entry = PolicyEntry(simulation=simulation, index=index, settings=rules)
            case "round_robin":
                entry = BaselineEntry(simulation=simulation, index=index, by_turn=True)
            case "least_requests":
                entry = BaselineEntry(simulation=simulation, index=index)
            case _:
                entry = BaselineEntry(simulation=simulation, index=index, split=True)
        simulation.entries.append(entry)
    if policy == LACEWINGLUG and rules.role_planning:
        simulation.planner = PolicyPlanner(simulation=simulation)
    elif policy == "reactive_roles":
        simulation.planner = ReactivePlanner(simulation=simulation)
    simulation.run()
    return simulation


def answered(jobs: Sequence[Job]) -> list[Job]:
    """Return the jobs answered in time."""
    return [job for job in jobs if 0 <= job.finish_s <= job.profile.deadline_s]


def percentile(values: Sequence[float], rank: float) -> float:
    """Return a percentile, 0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(rank * len(ordered)))]


def latencies_s(jobs: Sequence[Job]) -> list[float]:
    """Return the times to the whole answer, an unanswered one at its deadline."""
    return [
        (job.finish_s if job.finish_s >= 0 else job.profile.deadline_s) - job.arrival_s
        for job in jobs
        if job.refused_s < 0
    ]


def first_tokens_s(jobs: Sequence[Job]) -> list[float]:
    """Return the times to the first token of the answered jobs."""
    return [job.first_token_s - job.arrival_s for job in answered(jobs)]


def token_intervals_s(jobs: Sequence[Job]) -> list[float]:
    """Return the mean time between tokens of each answered job."""
    return [
        (job.finish_s - job.first_token_s) / (job.output_tokens - 1)
        for job in answered(jobs)
        if job.output_tokens > 1
    ]


def refusals_s(jobs: Sequence[Job]) -> list[float]:
    """Return how late the refusals came, a silent deadline included."""
    late = [
        job.profile.deadline_s - job.arrival_s
        for job in jobs
        if job.refused_s < 0 and not 0 <= job.finish_s <= job.profile.deadline_s
    ]
    return late + [job.refused_s - job.arrival_s for job in jobs if job.refused_s >= 0]


def value_of(jobs: Sequence[Job]) -> float:
    """Return the weight of the jobs answered in time."""
    return sum(job.profile.weight for job in answered(jobs))
