"""Bounds that no policy can beat.

An answer takes at least its prompt tokens that cannot be cached at the best
prefill rate of any role, and its answer tokens at the best decode rate of any
role. The bound lets all engines together serve any request in any slice of time
between its arrival and its deadline, cut as finely as wished, with no network, no
queue, no limit of slots, every role at once and every role change free. That is a
fractional problem of one machine with arrivals and deadlines. The sets of work that
fit form a polymatroid whose rank is found by serving the earliest deadline first,
so taking classes of value per second in descending order gives its optimum.
"""

import heapq
import math
from collections.abc import Callable, Sequence

from bench.policy.engine import Job
from bench.policy.simulation import Simulation
from bench.policy.workload import KINDS

BIN_S = 0.25
_CLASSES_PER_DOUBLING = 32


def capacity_of(simulation: Simulation) -> Callable[[float], float]:
    """Return the engines that work at a time, as a function of the time."""

    def capacity(now_s: float) -> float:
        total = float(len(simulation.engines))
        for item in simulation.disturbances:
            ends_s = item.at_s + item.duration_s
            if item.kind == "slow" and item.at_s <= now_s < ends_s:
                total -= 1.0 - 1.0 / item.factor
            elif item.kind == "withdraw" and now_s >= item.at_s:
                total -= 1.0
        return total

    return capacity


def best_value(
    jobs: Sequence[Job],
    simulation: Simulation,
    value: Callable[[Job], float],
) -> float:
    """Return the most value that any policy can answer in time."""
    rates = simulation.site.rates
    capacity = capacity_of(simulation)
    classes: dict[int, list[tuple[Job, float]]] = {}
    tops: dict[int, float] = {}
    for job in jobs:
        kind = KINDS[job.profile.kind]
        shared = kind.prompt_tokens - kind.missing_tokens
        missing = job.profile.prompt_tokens - shared
        work_s = rates.best_work_s(missing, job.output_tokens)
        density = value(job) / work_s
        index = math.floor(_CLASSES_PER_DOUBLING * math.log2(density))
        classes.setdefault(index, []).append((job, work_s))
        tops[index] = max(tops.get(index, 0.0), density)
    total = 0.0
    before = 0.0
    taken: list[tuple[Job, float]] = []
    for index in sorted(classes, reverse=True):
        taken.extend(classes[index])
        after = _most_work(taken, capacity)
        total += (after - before) * tops[index]
        before = after
    return min(total, sum(value(job) for job in jobs))


def _most_work(
    items: Sequence[tuple[Job, float]], capacity: Callable[[float], float]
) -> float:
    """Return the most work that fits, serving the earliest deadline first."""
    arrivals = sorted(items, key=lambda item: item[0].arrival_s)
    queue: list[list[float]] = []
    done = 0.0
    now_s = 0.0
    position = 0
    while position < len(arrivals) or queue:
        while position < len(arrivals) and arrivals[position][0].arrival_s < (
            now_s + BIN_S
        ):
            job, work_s = arrivals[position]
            heapq.heappush(queue, [job.profile.deadline_s, work_s])
            position += 1
        left = capacity(now_s) * BIN_S
        while queue and left > 0:
            if queue[0][0] < now_s:
                heapq.heappop(queue)
                continue
            served = min(left, queue[0][1])
            left -= served
            done += served
            queue[0][1] -= served
            if queue[0][1] <= 1e-12:
                heapq.heappop(queue)
        now_s += BIN_S
    return done


def least_latency_s(job: Job, simulation: Simulation) -> float:
    """Return the least time in which an idle engine answers, in seconds."""
    roles = simulation.site.roles.values()
    kind = KINDS[job.profile.kind]
    shared = kind.prompt_tokens - kind.missing_tokens
    prefill_s = min(
        (job.profile.prompt_tokens - shared) / item.prefill_tokens_per_s
        for item in roles
    )
    interval_s = min(item.token_interval_s(1) for item in roles)
    return (
        2 * simulation.site.zone_delay_s
        + prefill_s
        + (job.output_tokens - 1) * interval_s
    )
