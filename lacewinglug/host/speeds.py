"""Learns how fast the engines of a service prefill, from the times of responses.

The time of a prefill is modelled as linear in three terms: a step that ends each
prompt, its tokens, and its pairs of a new and an earlier token. A fit of the terms by
weighted least squares needs only sums over the samples, which hosts exchange.
"""

import math
import operator
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Self

from lacewinglug.host.model import Stage
from lacewinglug.interference.mix import PrefillMix
from lacewinglug.interference.rhythm import DecodeRhythm

PRIOR_STEP_S = 0.02
"""Initial duration of the step that ends a prefill, in seconds. Like the other initial
values it only sets the scale of the estimate: a few samples outweigh it."""
PRIOR_TOKEN_S = 7e-6
"""Initial prefill time of a token, in seconds."""
PRIOR_TOKEN_PAIR_S = 0.08e-9
"""Initial attention time per pair of a new and an earlier token, in seconds."""
PRIOR_SAMPLES = 2.0
"""Weight of the initial values, in samples."""
SHAPE_SAMPLES = 1.5
"""Weight in samples of the assumption that all terms differ from their initial values
by the same factor; it decides the terms that the samples do not tell apart."""
FORGETTING_S = 20.0
"""Time constant of the exponential decay of the weight of samples, in seconds."""
OVERRUN_WEIGHT = 0.02
"""Weight of a sample that took longer than expected, once the speed is known well.
Work of other hosts that this one does not know of yet delays a prompt and never speeds
it up, so that short times tell more of the engine than long ones."""
MAX_OVERRUN_FACTOR = 4.0
"""A sample counts at most as this multiple of its expected time, so that one stalled
request changes the estimate little while a series of them corrects it."""
RECENT_SAMPLES = 30.0
"""Number of samples over which the error of the expected times is averaged."""
RECENT_OVERRUNS = 15
"""Number of samples that must all be overruns for the speed to count as lower."""
MAX_BIAS_FACTOR = 2.0
"""Factor by which recent times may be shorter than expected on average, or longer in
every case; beyond it the speed has changed, and the earlier samples are discarded."""
RETAINED_SAMPLES = 0.5
"""Weight of the earlier samples after such a change."""
MEDIAN_STEP = 0.03
"""Relative step by which the median overrun of a service follows a new sample."""
MIN_TERM_FRACTION = 0.02
"""Lower bound of each term, relative to the common factor of all terms."""
CONFIDENT_SAMPLES = 10.0
"""Number of samples at which half of an expected time is relied on for a refusal."""

DECODE_STAGE_TOKEN_FACTOR = 2.0
"""How much longer engines in the decode stage take to prefill a token than those in the
prefill stage; stated by the platform."""
PRIOR_DECODE_START_S = 0.01
"""Initial time from the arrival of a KV cache to the first token, in seconds."""
DECODE_START_SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of that time."""
DEMAND_WINDOW_S = 8.0
"""Time constant of the average rate of prefill work, in seconds. Stages are
to follow the mix rather than single bursts, and take seconds to change."""
RECENT_DEMAND_WINDOW_S = 1.5
"""The same for the number of runners, in seconds, which is to follow waves of 11 s; a
prompt of 17,000 tokens every 40 ms still gives a steady rate."""
MIN_DEMAND_WINDOW_S = 1.0
"""Minimum time over which a rate is averaged, in seconds."""

ENGINE_PRIOR_PROMPTS = 4.0
"""Weight of the assumption that an engine is as fast as its service, in prompts."""
ENGINE_SAMPLE_DECAY = 0.1
"""Fraction by which the weight of an engine's samples decays with each new one."""
MAX_ENGINE_SLOWDOWN = 16.0
"""Upper bound of an engine's slowdown relative to its service."""
MIN_ENGINE_SLOWDOWN = 0.1
"""Lower bound of an engine's slowdown relative to its service."""

_TERMS = 3
_PRIOR_TERMS_S = (PRIOR_STEP_S, PRIOR_TOKEN_S, PRIOR_TOKEN_PAIR_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillWork:
    """Amount of prefill work, in the quantities that its time depends on.

    :param prompts: number of prompts; each ends with a step of fixed duration.
    :param tokens: tokens to prefill.
    :param token_pairs: pairs of a token to prefill and an earlier token.
    """

    prompts: float = 0.0
    tokens: float = 0.0
    token_pairs: float = 0.0

    @classmethod
    def of_prompt(cls, *, new_tokens: int, cached_tokens: int) -> Self:
        """Return the work of one prompt.

        :param new_tokens: tokens to prefill.
        :param cached_tokens: preceding tokens that are already cached.
        """
        return cls(
            prompts=1.0,
            tokens=new_tokens,
            token_pairs=new_tokens * (cached_tokens + new_tokens / 2),
        )

    @property
    def prompt_tokens(self) -> float:
        """Length of the prompt, cached tokens included, if this is a single prompt."""
        if self.tokens <= 0.0:
            return 0.0
        return self.token_pairs / self.tokens + self.tokens / 2

    def plus(self, other: "PrefillWork", *, fraction: float = 1.0) -> "PrefillWork":
        """Return the sum of this work and a fraction of another."""
        return PrefillWork(
            prompts=self.prompts + fraction * other.prompts,
            tokens=self.tokens + fraction * other.tokens,
            token_pairs=self.token_pairs + fraction * other.token_pairs,
        )


NO_WORK = PrefillWork()


@dataclass(kw_only=True, slots=True)
class SpeedSums:
    """Sufficient statistics of samples; the sums of several hosts can be added.

    A sample is the share of each term in the work, and the time relative to the
    initial values.

    :param count: number of samples.
    :param ratio: sum of the relative times.
    :param products: sums of the products of shares, row by row.
    :param responses: sums of the shares times the relative time.
    """

    count: float = 0.0
    ratio: float = 0.0
    products: list[float] = field(default_factory=lambda: [0.0] * _TERMS**2)
    responses: list[float] = field(default_factory=lambda: [0.0] * _TERMS)

    def add_sample(
        self, shares: Sequence[float], ratio: float, *, weight: float
    ) -> None:
        """Add a sample.

        :param shares: share of each term in the work.
        :param ratio: its time relative to the initial values.
        :param weight: weight, 1 for a whole sample.
        """
        self.count += weight
        self.ratio += weight * ratio
        for row, share in enumerate(shares):
            self.responses[row] += weight * share * ratio
            for column, other in enumerate(shares):
                self.products[row * _TERMS + column] += weight * share * other

    def add(self, other: "SpeedSums") -> None:
        """Add the sums of other samples."""
        self.count += other.count
        self.ratio += other.ratio
        self.products = [
            a + b for a, b in zip(self.products, other.products, strict=True)
        ]
        self.responses = [
            a + b for a, b in zip(self.responses, other.responses, strict=True)
        ]

    def expected_ratio(self, factors: Sequence[float]) -> float:
        """Return the sum of the relative times that is expected of the samples.

        :param factors: time of each term, relative to the initial values.
        """
        return sum(
            factor * sum(self.products[row * _TERMS : (row + 1) * _TERMS])
            for row, factor in enumerate(factors)
        )

    def is_valid(self) -> bool:
        """Return whether the sums have the right shape and are plausible."""
        values = (self.count, self.ratio, *self.products, *self.responses)
        return (
            len(self.products) == _TERMS**2
            and len(self.responses) == _TERMS
            and all(math.isfinite(value) and value >= 0.0 for value in values)
        )

    def scale(self, factor: float) -> None:
        """Multiply the weight of all samples by a factor."""
        self.count *= factor
        self.ratio *= factor
        self.products = [item * factor for item in self.products]
        self.responses = [item * factor for item in self.responses]


@dataclass(frozen=True, kw_only=True, slots=True)
class SharedSpeed:
    """Samples of prefill times that one host sends to the others.

    :param service: service of the engines.
    :param stage: stage of the engines.
    :param sums: the samples.
    """

    service: str
    stage: Stage
    sums: SpeedSums


@dataclass(kw_only=True)
class PrefillSpeed:
    """Estimates the prefill time of work by a regression with forgetting.

    :param base: estimate of another stage, whose common factor is assumed before there
        are samples.
    :param token_factor: how much longer tokens take than in the initial values.
    :param median_overrun: median time of prefills relative to the expected one; it
        includes queueing behind work that this host does not know of.
    """

    base: "PrefillSpeed | None" = None
    token_factor: float = 1.0
    median_overrun: float = 1.0
    _sums: SpeedSums = field(default_factory=SpeedSums)
    _unshared: SpeedSums = field(default_factory=SpeedSums)
    _updated_at_s: float = 0.0
    _factors: tuple[float, ...] | None = None
    _prior_count: float = PRIOR_SAMPLES
    _recent_count: float = 0.0
    _recent_ratio: float = 0.0
    _recent_expected_ratio: float = 0.0
    _consecutive_overruns: int = 0
    _sample_count: float = 0.0

    def expected_s(self, work: PrefillWork) -> float:
        """Return the expected time of work, in seconds."""
        prior_s = self._prior_parts_s(work)
        return sum(map(operator.mul, self._get_factors(), prior_s))

    def confidence(self) -> float:
        """Return how far expected times may be relied on, from 0 to 1."""
        return self._sample_count / (self._sample_count + CONFIDENT_SAMPLES)

    def add_sample(
        self, work: PrefillWork, *, took_s: float, now_s: float, weight: float = 1.0
    ) -> None:
        """Add the time that work took, including the work that was queued before."""
        prior_s = self._prior_parts_s(work)
        total_s = sum(prior_s)
        if total_s <= 0.0 or took_s <= 0.0:
            return
        expected_s = self.expected_s(work)
        overrun = min(took_s / expected_s, MAX_OVERRUN_FACTOR)
        self.median_overrun *= math.exp(
            math.copysign(MEDIAN_STEP * weight, overrun - self.median_overrun)
        )
        self._discard_if_slower(overrun)
        if overrun > 1.0:
            weight *= 1.0 - (1.0 - OVERRUN_WEIGHT) * self.confidence()
        sample = SpeedSums()
        sample.add_sample(
            [item / total_s for item in prior_s],
            overrun * expected_s / total_s,
            weight=weight,
        )
        self._unshared.add(sample)
        self.add_sums(sample, now_s=now_s)

    def add_sums(self, sums: SpeedSums, *, now_s: float) -> None:
        """Add samples, of this or another host."""
        self._decay(now_s)
        self._discard_if_faster(sums)
        self._sums.add(sums)
        self._sample_count += max(1.0, sums.count)
        self._factors = None

    def _discard_if_faster(self, sums: SpeedSums) -> None:
        """Discard the earlier samples if new ones are much shorter on average."""
        kept = math.exp(-sums.count / RECENT_SAMPLES)
        self._recent_count = kept * self._recent_count + sums.count
        self._recent_ratio = kept * self._recent_ratio + sums.ratio
        self._recent_expected_ratio = (
            kept * self._recent_expected_ratio
            + sums.expected_ratio(self._get_factors())
        )
        if (
            self._recent_count > RECENT_SAMPLES / 2
            and self._recent_ratio * MAX_BIAS_FACTOR < self._recent_expected_ratio
        ):
            self._discard()

    def _discard_if_slower(self, overrun: float) -> None:
        """Discard the earlier samples if all new ones are much longer."""
        self._consecutive_overruns = (
            self._consecutive_overruns + 1 if overrun > MAX_BIAS_FACTOR else 0
        )
        if self._consecutive_overruns >= RECENT_OVERRUNS:
            self._discard()

    def _discard(self) -> None:
        """Reduce the weight of all earlier samples and of the initial values."""
        known = self._sums.count + self._prior_count
        if known > RETAINED_SAMPLES:
            self._sums.scale(RETAINED_SAMPLES / known)
            self._prior_count *= RETAINED_SAMPLES / known
        self._recent_count = self._recent_ratio = self._recent_expected_ratio = 0.0
        self._consecutive_overruns = 0
        self._sample_count = 0.0
        self._factors = None

    def take_unshared(self) -> SpeedSums | None:
        """Return this host's samples since the last call, None if there are none."""
        if not self._unshared.count:
            return None
        taken, self._unshared = self._unshared, SpeedSums()
        return taken

    def _decay(self, now_s: float) -> None:
        age_s = now_s - self._updated_at_s
        if age_s > 0.0:
            kept = math.exp(-age_s / FORGETTING_S)
            self._sums.scale(kept)
            self._sample_count *= kept
            self._updated_at_s = now_s

    def _prior_parts_s(self, work: PrefillWork) -> tuple[float, float, float]:
        step_s, token_s, pair_s = _PRIOR_TERMS_S
        return (
            work.prompts * step_s,
            work.tokens * token_s * self.token_factor,
            work.token_pairs * pair_s * self.token_factor,
        )

    def _common_factor(self) -> float:
        prior = 1.0 if self.base is None else self.base._common_factor()
        return (self._sums.ratio + self._prior_count * prior) / (
            self._sums.count + self._prior_count
        )

    def _get_factors(self) -> tuple[float, ...]:
        """Return the time of each term, relative to the initial values."""
        if self._factors is None or self.base is not None:
            common = self._common_factor()
            products = list(self._sums.products)
            remainder = []
            for row in range(_TERMS):
                start = row * _TERMS
                explained = common * sum(products[start : start + _TERMS])
                remainder.append(self._sums.responses[row] - explained)
                products[start + row] += SHAPE_SAMPLES
            deviations = _solve(products, remainder)
            least = MIN_TERM_FRACTION * common
            self._factors = tuple(max(common + item, least) for item in deviations)
        return self._factors


@dataclass(kw_only=True, slots=True)
class EngineSlowdown:
    """Estimates how much slower than its service an engine prefills.

    :param factor: estimated time relative to that of the service.
    """

    factor: float = 1.0
    _prompts: float = 0.0
    _expected_s: float = 0.0
    _actual_s: float = 0.0

    def add_sample(self, *, expected_s: float, actual_s: float) -> None:
        """Add the time of a prefill, and the one expected from the service."""
        if expected_s <= 0.0:
            return
        kept = 1.0 - ENGINE_SAMPLE_DECAY
        self._prompts = kept * self._prompts + 1.0
        self._expected_s = kept * self._expected_s + expected_s
        self._actual_s = kept * self._actual_s + min(
            max(0.0, actual_s), MAX_ENGINE_SLOWDOWN * expected_s
        )
        prior_s = ENGINE_PRIOR_PROMPTS * self._expected_s / self._prompts
        slowdown = (self._actual_s + prior_s) / (self._expected_s + prior_s)
        self.factor = min(max(slowdown, MIN_ENGINE_SLOWDOWN), MAX_ENGINE_SLOWDOWN)


@dataclass(kw_only=True)
class WorkRate:
    """Rate at which prefill work arrives, as an exponentially weighted average.

    :param time_constant_s: time over which it is averaged, in seconds.
    """

    time_constant_s: float = DEMAND_WINDOW_S
    _total: PrefillWork = NO_WORK
    _updated_at_s: float = -math.inf
    _started_at_s: float | None = None

    def add(self, work: PrefillWork, *, now_s: float) -> None:
        """Record work that arrived."""
        if self._started_at_s is None:
            self._started_at_s = now_s
        decay = math.exp(-max(0.0, now_s - self._updated_at_s) / self.time_constant_s)
        self._total = work.plus(self._total, fraction=decay)
        self._updated_at_s = now_s

    def per_s(self, *, now_s: float) -> PrefillWork:
        """Return the work that arrives per second."""
        if self._started_at_s is None:
            return NO_WORK
        decay = math.exp(-max(0.0, now_s - self._updated_at_s) / self.time_constant_s)
        observed_s = max(now_s - self._started_at_s, MIN_DEMAND_WINDOW_S)
        window_s = self.time_constant_s * (
            1.0 - math.exp(-observed_s / self.time_constant_s)
        )
        return NO_WORK.plus(self._total, fraction=decay / window_s)

    def mean_tokens(self) -> float | None:
        """Return the mean number of tokens that a prompt needs to have prefilled."""
        if self._total.prompts <= 0.0:
            return None
        return self._total.tokens / self._total.prompts


@dataclass(kw_only=True)
class ServiceSpeeds:
    """Estimated speeds of the engines of one service, and the work that they get.

    :param demand: prefill work that all hosts assign to these engines.
    :param recent_demand: the same over a shorter time.
    :param prompt_lengths: lengths of these prompts, cached or not.
    :param decode_start_s: time from the arrival of a KV cache to the first token.
    :param rhythm: rhythm of the streams.
    :param mix: lengths of the prefills.
    """

    demand: WorkRate = field(default_factory=WorkRate)
    recent_demand: WorkRate = field(
        default_factory=lambda: WorkRate(time_constant_s=RECENT_DEMAND_WINDOW_S)
    )
    prompt_lengths: WorkRate = field(default_factory=WorkRate)
    decode_start_s: float = PRIOR_DECODE_START_S
    rhythm: DecodeRhythm = field(default_factory=DecodeRhythm)
    mix: PrefillMix = field(default_factory=PrefillMix)
    _prefill: PrefillSpeed = field(default_factory=PrefillSpeed)
    _decode: PrefillSpeed = field(init=False)

    def __post_init__(self) -> None:
        self._decode = PrefillSpeed(
            base=self._prefill, token_factor=DECODE_STAGE_TOKEN_FACTOR
        )

    def of_stage(self, stage: Stage) -> PrefillSpeed:
        """Return the prefill speed of engines in a stage."""
        match stage:
            case Stage.DECODE:
                return self._decode
            case _:
                return self._prefill

    def prefill_s(self, work: PrefillWork) -> float:
        """Return the expected time of work in the prefill stage, in seconds."""
        return self._prefill.expected_s(work)

    def record_demand(self, work: PrefillWork, *, now_s: float) -> None:
        """Record a prompt that a host assigned to an engine."""
        self.demand.add(work, now_s=now_s)
        self.recent_demand.add(work, now_s=now_s)
        self.mix.record(work.tokens, now_s=now_s)
        self.prompt_lengths.add(PrefillWork(tokens=work.prompt_tokens), now_s=now_s)

    def record_decode_start(self, took_s: float) -> None:
        """Record the time from the arrival of a KV cache to the first token."""
        limited_s = min(max(0.0, took_s), MAX_OVERRUN_FACTOR * self.decode_start_s)
        self.decode_start_s += DECODE_START_SAMPLE_WEIGHT * (
            limited_s - self.decode_start_s
        )

    def take_unshared(self) -> list[tuple[Stage, SpeedSums]]:
        """Return this host's samples since the last call, by stage."""
        taken = [
            (stage, self.of_stage(stage).take_unshared())
            for stage in (Stage.PREFILL, Stage.DECODE)
        ]
        return [(stage, sums) for stage, sums in taken if sums is not None]


def _solve(matrix: list[float], vector: list[float]) -> list[float]:
    """Solve a small positive definite system of linear equations.

    :param matrix: coefficients, row by row; changed in place.
    :param vector: right-hand side; changed in place.
    """
    size = len(vector)
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = matrix[row * size + pivot] / matrix[pivot * size + pivot]
            for column in range(pivot, size):
                matrix[row * size + column] -= factor * matrix[pivot * size + column]
            vector[row] -= factor * vector[pivot]
    result = [0.0] * size
    for row in reversed(range(size)):
        known = sum(
            matrix[row * size + column] * result[column]
            for column in range(row + 1, size)
        )
        result[row] = (vector[row] - known) / matrix[row * size + row]
    return result
