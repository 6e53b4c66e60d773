"""Seeded arrivals: kinds of request, phases of load, lengths and prefixes."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from bench.policy.engine import Job
from lacewinglug.routing.prefix import BLOCK_TOKENS
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rates import EngineRates

ENTRIES = 8
ORGANISATIONS = ("a", "b", "c", "d")
PREFIXES_PER_ORGANISATION = 16
_LENGTH_SPREAD = 0.25
_KIOSK_WORK_SHARE = 0.15
_BISECTIONS = 40


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of request.

    :param prompt_tokens: mean length of the prompt.
    :param output_tokens: mean length of the answer.
    :param pieces: leading pieces shared with other prompts.
    :param weight: value of an answer.
    :param timeout_s: time to answer in, in seconds.
    """

    prompt_tokens: int
    output_tokens: int
    weight: float
    timeout_s: float
    pieces: int = 0

    @property
    def missing_tokens(self) -> int:
        """Prompt tokens to compute when all shared pieces are cached."""
        return self.prompt_tokens - self.pieces * BLOCK_TOKENS


KINDS = {
    "kiosk": Kind(prompt_tokens=300, output_tokens=60, weight=3.0, timeout_s=5.0),
    "history": Kind(
        prompt_tokens=5000, output_tokens=60, weight=2.0, timeout_s=15.0, pieces=1
    ),
    "note": Kind(prompt_tokens=300, output_tokens=400, weight=1.0, timeout_s=40.0),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Phase:
    """A stretch of time with one load.

    :param start_s: when it starts, in seconds.
    :param load: engine seconds of work a second, over the number of engines.
    :param prefill_share: share of prefill in the work of engines of mixed role.
    """

    start_s: float
    load: float
    prefill_share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Rates:
    """Rates of the roles that loads are expressed in."""

    roles: dict[str, EngineRates]

    def best_work_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the least engine time that a request can take, in seconds."""
        prefill = max(rates.prefill_tokens_per_s for rates in self.roles.values())
        decode = max(rates.decode_tokens_per_s for rates in self.roles.values())
        return prompt_tokens / prefill + output_tokens / decode


def kind_rates(
    phase: Phase, rates: Rates, *, engines: int, long_factor: float = 1.0
) -> dict[str, float]:
    """Return the arrivals a second of each kind in a phase.

    :param long_factor: mean length of the jobs, relative to the kind's own.
    """
    work_s = {
        name: rates.best_work_s(kind.missing_tokens, kind.output_tokens)
        for name, kind in KINDS.items()
    }
    low, high = 0.0, 1.0 - _KIOSK_WORK_SHARE
    for _ in range(_BISECTIONS):
        history = (low + high) / 2
        shares = {
            "kiosk": _KIOSK_WORK_SHARE,
            "history": history,
            "note": 1.0 - _KIOSK_WORK_SHARE - history,
        }
        counts = {name: shares[name] / work_s[name] for name in KINDS}
        if _prefill_share(counts, rates) < phase.prefill_share:
            low = history
        else:
            high = history
    scale = phase.load * engines / long_factor
    return {name: count * scale for name, count in counts.items()}


def _same_work(
    counts: dict[str, float], rates: Rates, kinds: Sequence[str]
) -> dict[str, float]:
    """Return arrivals of fewer kinds with the same work, shared evenly."""
    work_s = {
        name: rates.best_work_s(kind.missing_tokens, kind.output_tokens)
        for name, kind in KINDS.items()
    }
    total_s = sum(count * work_s[name] for name, count in counts.items())
    return {name: total_s / len(kinds) / work_s[name] for name in kinds}


def _prefill_share(counts: dict[str, float], rates: Rates) -> float:
    """Return the share of prefill in the work of engines of mixed role."""
    mixed = rates.roles["mixed"]
    prefill_s = sum(
        count * KINDS[name].missing_tokens / mixed.prefill_tokens_per_s
        for name, count in counts.items()
    )
    decode_s = sum(
        count * KINDS[name].output_tokens / mixed.decode_tokens_per_s
        for name, count in counts.items()
    )
    return prefill_s / (prefill_s + decode_s)


@dataclass(frozen=True, kw_only=True, slots=True)
class LongJobs:
    """Jobs that are many times longer than the others of their kind.

    :param ratio: share of the jobs.
    :param factor: how many times longer.
    :param timeout_s: time to answer in, in seconds.
    """

    ratio: float
    factor: float
    timeout_s: float


def make_jobs(
    phases: Sequence[Phase],
    *,
    seed: int,
    duration_s: float,
    rates: Rates,
    engines: int,
    long_jobs: LongJobs | None = None,
    kinds: Sequence[str] = tuple(KINDS),
) -> list[Job]:
    """Return the arrivals of a run in the order of time.

    :param kinds: kinds that arrive.
    """
    rng = random.Random(seed)
    mean_factor = 1.0
    if long_jobs is not None:
        mean_factor += long_jobs.ratio * (long_jobs.factor - 1.0)
    jobs = []
    for index, phase in enumerate(phases):
        end_s = phases[index + 1].start_s if index + 1 < len(phases) else duration_s
        counts = kind_rates(phase, rates, engines=engines, long_factor=mean_factor)
        if tuple(kinds) != tuple(KINDS):
            counts = _same_work(counts, rates, kinds)
        names = list(counts)
        weights = list(counts.values())
        total = sum(weights)
        now_s = phase.start_s + rng.expovariate(total)
        while now_s < end_s:
            name = rng.choices(names, weights)[0]
            jobs.append(_make_job(rng, name, now_s, len(jobs), long_jobs))
            now_s += rng.expovariate(total)
    return jobs


def _make_job(
    rng: random.Random,
    name: str,
    now_s: float,
    number: int,
    long_jobs: LongJobs | None,
) -> Job:
    kind = KINDS[name]
    organisation = rng.choices(ORGANISATIONS, (4, 3, 2, 1))[0]
    output_tokens = _vary(rng, kind.output_tokens)
    prompt_tokens = _vary(rng, kind.missing_tokens) + kind.pieces * BLOCK_TOKENS
    prefix = min(
        int(rng.expovariate(0.25)), PREFIXES_PER_ORGANISATION - 1
    ) + PREFIXES_PER_ORGANISATION * ORGANISATIONS.index(organisation)
    entry = rng.randrange(ENTRIES)
    is_long = long_jobs is not None and rng.random() < long_jobs.ratio
    timeout_s = kind.timeout_s
    if is_long and long_jobs is not None:
        output_tokens = int(output_tokens * long_jobs.factor)
        prompt_tokens = int(prompt_tokens * long_jobs.factor)
        timeout_s = long_jobs.timeout_s
    profile = RequestProfile(
        request_id=str(number),
        service="assistant",
        kind=name,
        organisation=organisation,
        weight=kind.weight,
        deadline_s=now_s + timeout_s,
        idempotent=True,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix_hashes=tuple(prefix * 100 + piece for piece in range(kind.pieces)),
    )
    return Job(
        profile=profile,
        entry=entry,
        arrival_s=now_s,
        output_tokens=output_tokens,
        is_long=is_long,
    )


def _vary(rng: random.Random, mean: int) -> int:
    """Return a length about a mean."""
    return max(
        8, int(mean * rng.lognormvariate(-(_LENGTH_SPREAD**2) / 2, _LENGTH_SPREAD))
    )


def without_long(jobs: Sequence[Job]) -> list[Job]:
    """Return fresh copies of the jobs that are not long."""
    return [replace(job) for job in jobs if not job.is_long]


def only_long(jobs: Sequence[Job]) -> list[Job]:
    """Return fresh copies of the long jobs."""
    return [replace(job) for job in jobs if job.is_long]
