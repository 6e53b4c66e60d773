"""Admission control: sheds the least valuable requests under overload."""

import math
from dataclasses import dataclass, field

_RATE_TIME_CONSTANT_S = 1.0
_BUCKETS_PER_DOUBLING = 4
_WAIT_TIME_CONSTANT_S = 0.3
# Time in which a deviation of the wait from its target is to be corrected.
_WAIT_CORRECTION_TIME_S = 1.0
_MEAN_WORK_EWMA_ALPHA = 0.02
# Ratio of offered load to capacity that counts as overload: above 1, since the
# arrival rate is noisy.
_OVERLOAD_RATIO = 1.6
_MIN_CAPACITY_FACTOR = 0.3
_MAX_CAPACITY_FACTOR = 1.2
_MIN_FAIRNESS_FACTOR = 0.25


@dataclass(kw_only=True, slots=True)
class _DecayingRate:
    """An event rate with exponential decay.

    :param per_s: rate at ``updated_s``, in units per second.
    :param updated_s: time of the last update, in seconds.
    """

    per_s: float = 0.0
    updated_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        self.per_s = self.current(now_s) + amount / _RATE_TIME_CONSTANT_S
        self.updated_s = now_s

    def current(self, now_s: float) -> float:
        return self.per_s * math.exp((self.updated_s - now_s) / _RATE_TIME_CONSTANT_S)


@dataclass(kw_only=True, slots=True)
class _SmoothedWait:
    """An exponentially smoothed predicted wait."""

    value_s: float = 0.0
    updated_s: float = 0.0

    def update(self, wait_s: float, now_s: float) -> None:
        decay = math.exp((self.updated_s - now_s) / _WAIT_TIME_CONSTANT_S)
        self.value_s = decay * self.value_s + (1.0 - decay) * wait_s
        self.updated_s = now_s


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferedWork:
    """The work of one phase of a request, offered for admission.

    :param organisation: organisation of the caller.
    :param organisation_weight: fair-share weight of the organisation.
    :param value: value of a completed response.
    :param work_s: runner time that the phase needs, in seconds.
    :param wait_s: predicted queueing time of the phase on the chosen runner, in
        seconds.
    """

    organisation: str
    organisation_weight: float
    value: float
    work_s: float
    wait_s: float


@dataclass(kw_only=True, slots=True)
class AdmissionController:
    """Admits the most valuable work that fits into the capacity.

    Work is sorted into buckets by its value per second of runner time. Buckets are
    admitted from the most valuable down until the capacity is used up; the bucket
    at the limit is admitted in part. Without overload, and while waits are short,
    all work is admitted.

    :param target_wait_s: queueing time to hold the runners to, in seconds.
    :param fair_sharing: whether organisations above their fair share lose priority.
    """

    target_wait_s: float
    fair_sharing: bool = True
    _offered_rates: dict[int, _DecayingRate] = field(default_factory=dict)
    _admitted_rates: dict[str, _DecayingRate] = field(default_factory=dict)
    _organisation_weights: dict[str, float] = field(default_factory=dict)
    _credits: dict[int, float] = field(default_factory=dict)
    _arrival_rate: _DecayingRate = field(default_factory=_DecayingRate)
    _mean_work_s: float = 0.0
    _waits_by_bucket: dict[int, _SmoothedWait] = field(default_factory=dict)

    def admit(self, work: OfferedWork, *, capacity: float, now_s: float) -> bool:
        """Return whether to admit the work.

        :param work: the offered work.
        :param capacity: runner seconds per second available to this entry.
        :param now_s: current time, in seconds.
        """
        bucket = self._value_bucket(work, now_s)
        wait = self._waits_by_bucket.setdefault(bucket, _SmoothedWait())
        wait.update(work.wait_s, now_s)
        self._offered_rates.setdefault(bucket, _DecayingRate()).add(work.work_s, now_s)
        is_waiting = wait.value_s > self.target_wait_s / 2
        if self._is_overloaded(work.work_s, capacity, now_s) or is_waiting:
            usable_capacity = capacity * self._capacity_factor(wait.value_s)
            fraction = self._admitted_fraction(bucket, usable_capacity, now_s)
            if not self._take_credit(bucket, fraction):
                return False
        self._admitted_rates.setdefault(work.organisation, _DecayingRate()).add(
            work.work_s, now_s
        )
        return True

    def _is_overloaded(self, work_s: float, capacity: float, now_s: float) -> bool:
        """Return whether the offered load exceeds the capacity by more than noise."""
        self._arrival_rate.add(1.0, now_s)
        self._mean_work_s += _MEAN_WORK_EWMA_ALPHA * (work_s - self._mean_work_s)
        offered_load = self._arrival_rate.per_s * self._mean_work_s
        return offered_load > _OVERLOAD_RATIO * capacity

    def _capacity_factor(self, wait_s: float) -> float:
        """Return the capacity scaling that steers the wait towards its target."""
        factor = 1.0 + (self.target_wait_s - wait_s) / _WAIT_CORRECTION_TIME_S
        return min(_MAX_CAPACITY_FACTOR, max(_MIN_CAPACITY_FACTOR, factor))

    def _value_bucket(self, work: OfferedWork, now_s: float) -> int:
        """Return the bucket of value per second, on a logarithmic scale."""
        value_per_s = work.value / max(work.work_s, 1e-6)
        if self.fair_sharing:
            value_per_s *= self._fairness_factor(work, now_s)
        return math.floor(_BUCKETS_PER_DOUBLING * math.log2(max(value_per_s, 1e-9)))

    def _fairness_factor(self, work: OfferedWork, now_s: float) -> float:
        """Return a factor below 1 for an organisation above its fair share."""
        self._organisation_weights[work.organisation] = work.organisation_weight
        rate = self._admitted_rates.get(work.organisation)
        own_rate = rate.current(now_s) if rate else 0.0
        if own_rate <= 0.0:
            return 1.0
        rates = {
            name: item.current(now_s) for name, item in self._admitted_rates.items()
        }
        active = [name for name, value in rates.items() if value > 0.01 * own_rate]
        total_weight = sum(self._organisation_weights.get(name, 1.0) for name in active)
        fair_rate = sum(rates.values()) * work.organisation_weight / total_weight
        return min(1.0, max(_MIN_FAIRNESS_FACTOR, fair_rate / own_rate))

    def _admitted_fraction(self, bucket: int, capacity: float, now_s: float) -> float:
        """Return the fraction of a bucket that fits into the capacity.

        Buckets of higher value are served first.
        """
        higher_rate = 0.0
        for other, rate in self._offered_rates.items():
            if other > bucket:
                higher_rate += rate.current(now_s)
        own_rate = self._offered_rates[bucket].current(now_s)
        return min(1.0, max(0.0, (capacity - higher_rate) / own_rate))

    def _take_credit(self, bucket: int, fraction: float) -> bool:
        """Return whether this request is in the admitted fraction of its bucket.

        Carries the remainder over, so that the fraction is met without randomness.
        """
        if fraction >= 1.0:
            return True
        credit = self._credits.get(bucket, 0.5) + fraction
        admitted = credit >= 1.0
        self._credits[bucket] = credit - 1.0 if admitted else credit
        return admitted
