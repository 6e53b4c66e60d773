"""Decides at a crest which requests are worth the runners' time."""

import math
from dataclasses import dataclass, field

_OFFERED_SMOOTHING_S = 1.0
_BUCKETS_PER_DOUBLING = 4
_WAIT_SMOOTHING_S = 0.3
_DRAIN_S = 1.0
_MEAN_WORK_WEIGHT = 0.02
_CREST_RATIO = 1.6
_MIN_CORRECTION = 0.3
_MAX_CORRECTION = 1.2
_SHARE_FLOOR = 0.25


@dataclass(kw_only=True, slots=True)
class _Rate:
    """A rate smoothed exponentially over time.

    :param value: amount a second.
    :param at_s: time of the last change, in seconds.
    """

    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        self.value = self.current(now_s) + amount / _OFFERED_SMOOTHING_S
        self.at_s = now_s

    def current(self, now_s: float) -> float:
        return self.value * math.exp((self.at_s - now_s) / _OFFERED_SMOOTHING_S)


@dataclass(kw_only=True, slots=True)
class _Wait:
    """A predicted wait smoothed exponentially over time."""

    value_s: float = 0.0
    at_s: float = 0.0

    def note(self, wait_s: float, now_s: float) -> None:
        kept = math.exp((self.at_s - now_s) / _WAIT_SMOOTHING_S)
        self.value_s = kept * self.value_s + (1.0 - kept) * wait_s
        self.at_s = now_s


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """A request as admission weighs it.

    :param organisation: organisation of the caller.
    :param organisation_weight: its share of the fleet, relative to others.
    :param value: value of an answer.
    :param work_s: runner time that the phase takes, in seconds.
    :param wait_s: predicted wait for the phase on the chosen runner, in seconds.
    """

    organisation: str
    organisation_weight: float
    value: float
    work_s: float
    wait_s: float


@dataclass(kw_only=True, slots=True)
class AdmissionControl:
    """Owns the smoothed offers of an entry and admits the most valuable ones.

    Offers are ordered by value per second of runner time. Those that fit into
    the capacity are admitted; of the class at the limit a matching share is. While
    the wait is short, all are.

    :param target_wait_s: wait that admission holds the runners to, in seconds.
    :param fair_shares: weigh organisations.
    """

    target_wait_s: float
    fair_shares: bool = True
    _offered: dict[int, _Rate] = field(default_factory=dict)
    _admitted: dict[str, _Rate] = field(default_factory=dict)
    _weights: dict[str, float] = field(default_factory=dict)
    _credit: dict[int, float] = field(default_factory=dict)
    _arrivals: _Rate = field(default_factory=_Rate)
    _mean_work_s: float = 0.0
    _waits: dict[int, _Wait] = field(default_factory=dict)

    def admit(self, offer: Offer, *, capacity: float, now_s: float) -> bool:
        """Return whether a request is worth the runners' time.

        :param offer: the request.
        :param capacity: runner seconds a second that this entry may use.
        :param now_s: time, in seconds.
        """
        bucket = self._bucket(offer, now_s)
        wait = self._waits.setdefault(bucket, _Wait())
        wait.note(offer.wait_s, now_s)
        self._offered.setdefault(bucket, _Rate()).add(offer.work_s, now_s)
        is_waiting = wait.value_s > self.target_wait_s / 2
        if self._is_crest(offer.work_s, capacity, now_s) or is_waiting:
            usable = capacity * self._correction(wait.value_s)
            share = self._admitted_share(bucket, usable, now_s)
            if not self._spend_credit(bucket, share):
                return False
        self._admitted.setdefault(offer.organisation, _Rate()).add(offer.work_s, now_s)
        return True

    def _is_crest(self, work_s: float, capacity: float, now_s: float) -> bool:
        """Return whether arrivals exceed the capacity beyond their noise."""
        self._arrivals.add(1.0, now_s)
        self._mean_work_s += _MEAN_WORK_WEIGHT * (work_s - self._mean_work_s)
        offered = self._arrivals.value * self._mean_work_s
        return offered > _CREST_RATIO * capacity

    def _correction(self, wait_s: float) -> float:
        """Return the factor on the capacity that brings the wait to its target."""
        correction = 1.0 + (self.target_wait_s - wait_s) / _DRAIN_S
        return min(_MAX_CORRECTION, max(_MIN_CORRECTION, correction))

    def _bucket(self, offer: Offer, now_s: float) -> int:
        """Return the class of value per second, on a logarithmic scale."""
        density = offer.value / max(offer.work_s, 1e-6)
        if self.fair_shares:
            density *= self._fairness(offer, now_s)
        return math.floor(_BUCKETS_PER_DOUBLING * math.log2(max(density, 1e-9)))

    def _fairness(self, offer: Offer, now_s: float) -> float:
        """Return below 1 for an organisation that has more than its share."""
        self._weights[offer.organisation] = offer.organisation_weight
        rate = self._admitted.get(offer.organisation)
        own = rate.current(now_s) if rate else 0.0
        if own <= 0.0:
            return 1.0
        rates = {name: item.current(now_s) for name, item in self._admitted.items()}
        active = [name for name, value in rates.items() if value > 0.01 * own]
        weight = sum(self._weights.get(name, 1.0) for name in active)
        fair = sum(rates.values()) * offer.organisation_weight / weight
        return min(1.0, max(_SHARE_FLOOR, fair / own))

    def _admitted_share(self, bucket: int, capacity: float, now_s: float) -> float:
        """Return the share of a class that the capacity leaves room for."""
        above = 0.0
        for other, rate in self._offered.items():
            if other > bucket:
                above += rate.current(now_s)
        own = self._offered[bucket].current(now_s)
        return min(1.0, max(0.0, (capacity - above) / own))

    def _spend_credit(self, bucket: int, share: float) -> bool:
        """Return whether this request is one of the share of its class."""
        if share >= 1.0:
            return True
        credit = self._credit.get(bucket, 0.5) + share
        admitted = credit >= 1.0
        self._credit[bucket] = credit - 1.0 if admitted else credit
        return admitted
