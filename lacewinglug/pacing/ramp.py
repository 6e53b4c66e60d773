"""Decides how much work one runner gets while it starts or recovers.

All times are passed in, so that decisions depend on their arguments only.
"""

import math
from dataclasses import dataclass
from enum import Enum

LATE_FACTOR = 1.5
"""Factor by which an answer may exceed its expected time and still be in time. The
service times of one engine vary by about a fifth."""
LATE_SLACK_S = 0.1
"""Time by which any answer may exceed its expected time, in s; the clocks, the network
and the lag of announced work add up to this much."""
HOLD_S = 0.5
"""Time after a late answer or a rejection in which the limit does not rise, in s; about
twice the lag at which hosts learn of each other's work."""
MAX_DOUBLING_S = 4.0
"""Upper bound of the time in which the limit doubles, in s."""
MAX_RAMP_S = 30.0
"""Time after which a ramp ends in any case, in s. The estimates of speed and failures
have adapted to the runner by then."""
FAILURE_MEMORY_S = 10.0
"""Time after the end of a ramp within which the next one of the runner counts as a
recovery that failed, in s."""
MAX_COST_S = 2.0
"""Upper bound of the cost of a request, in s. Requests that would wait longer elsewhere
go to the runner nevertheless."""
_HASH_RANGE = 1 << 32


class RampReason(Enum):
    """Why a runner is in its ramp."""

    STARTED = "started"
    RETURNED = "returned"
    INTERRUPTED = "interrupted"


class RampEnd(Enum):
    """Why a ramp has ended."""

    KEEPS_UP = "keeps_up"
    TIME_LIMIT = "time_limit"
    DEPARTED = "departed"


@dataclass(frozen=True, kw_only=True, slots=True)
class RampPolicy:
    """Constants of a ramp, chosen by the comparison in ``bench/pacing``.

    :param start_share: share of the runner's slots that all hosts together use at its
        start.
    :param timed_share: share of the slots up to which the limit rises with time alone;
        above it, answers in time are needed.
    :param doubling_s: time in which the limit doubles without a late answer, in s.
    :param fall_factor: factor of the limit on a late answer or a rejection.
    :param excess_cost_s: greatest cost of a request above the limit, in s.
    :param request_cost_s: cost of each request in progress below the limit, in s,
        times the ratio by which the limit is too low; about the time of a typical one.
    :param idle_spread_s: time in which all hosts in turn may send one request to a
        runner that is idle as far as they know, in s.
    """

    start_share: float = 1 / 16
    timed_share: float = 0.5
    doubling_s: float = 1.0
    fall_factor: float = 0.5
    excess_cost_s: float = 1.0
    request_cost_s: float = 0.05
    idle_spread_s: float = 1.0


DEFAULT_POLICY = RampPolicy()


@dataclass(frozen=True, kw_only=True, slots=True)
class RampLoad:
    """Work in progress at a runner, in requests of typical size.

    :param own: work of this host.
    :param total: work of all hosts, as far as this one knows.
    """

    own: float
    total: float


@dataclass(kw_only=True, slots=True)
class Ramp:
    """Limit on the work in progress at one runner.

    The limit is one for all hosts together. Each host estimates it from time and from
    its own answers, and takes its part of it.

    :param reason: why the ramp began.
    :param began_s: monotonic time at which the runner could take requests.
    :param slots: requests that the runner runs concurrently.
    :param cold_until_s: monotonic time until which the runner says that it is slow.
    :param failures: recoveries that have failed shortly before.
    :param own_tokens: prompt tokens of this host's requests in progress.
    :param in_time: answers of this host's requests that were in time.
    :param late: answers that were late, and requests that got none.
    :param rejected: requests that the runner rejected.
    """

    reason: RampReason
    began_s: float
    slots: int
    cold_until_s: float = 0.0
    failures: int = 0
    policy: RampPolicy = DEFAULT_POLICY
    own_tokens: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0
    _limit: float = 0.0
    _updated_at_s: float = 0.0
    _held_until_s: float = 0.0
    _idle_since_s: float | None = None

    def __post_init__(self) -> None:
        self._limit = self._least
        self._updated_at_s = self.began_s

    @property
    def _least(self) -> float:
        return max(1.0, self.policy.start_share * self.slots)

    def limit(self, now_s: float) -> float:
        """Return the limit of all hosts together, in requests of typical size."""
        cold_s = min(now_s, self.cold_until_s)
        # A runner that says it is slow gets twice the time.
        self._rise(cold_s, 2 * self._doubling_s)
        self._rise(now_s, self._doubling_s)
        return self._limit

    def end(self, now_s: float) -> RampEnd | None:
        """Return why the ramp has ended, None if it has not."""
        if self.limit(now_s) >= self.slots and now_s >= self._held_until_s:
            return RampEnd.KEEPS_UP
        if now_s - self.began_s >= MAX_RAMP_S:
            return RampEnd.TIME_LIMIT
        return None

    def record_answer(
        self, *, took_s: float, expected_s: float, host_count: int, now_s: float
    ) -> None:
        """Adapt the limit to an answer.

        :param took_s: time from the request to the first event, or to the response.
        :param expected_s: time that was expected when the request was placed.
        :param host_count: hosts that send to the runner.
        """
        if is_late(took_s=took_s, expected_s=expected_s):
            self.record_late(now_s=now_s)
            return
        self.in_time += 1
        limit = self.limit(now_s)
        if now_s >= self._held_until_s:
            # Each of the other hosts is taken to get an answer in time as well.
            self._limit = min(float(self.slots), limit + min(limit, host_count))

    def record_late(self, *, now_s: float) -> None:
        """Lower the limit since an answer is late or did not come."""
        self.late += 1
        self._fall(now_s)

    def record_no_answer(
        self, *, waited_s: float, expected_s: float, now_s: float
    ) -> None:
        """Lower the limit if a request that got no answer was overdue."""
        if is_late(took_s=waited_s, expected_s=expected_s):
            self.record_late(now_s=now_s)

    def record_rejection(self, *, now_s: float) -> None:
        """Lower the limit since the runner rejected a request."""
        self.rejected += 1
        self._fall(now_s)

    def postpone(self, *, began_s: float) -> None:
        """Begin later, since the runner is still interrupted."""
        self.began_s = began_s
        self._updated_at_s = self._held_until_s = began_s

    def restart(self, *, began_s: float) -> None:
        """Begin again since the recovery has failed; the next rise is slower."""
        self.failures += 1
        self._limit = self._least
        self.postpone(began_s=began_s)

    def cost_s(
        self, load: RampLoad, *, size: float, host_count: int, turn: float, now_s: float
    ) -> float:
        """Return the cost of one more request of this host, in s.

        :param size: size of the request relative to a typical one.
        :param host_count: hosts that send to the runner.
        :param turn: number from 0 to 1 that differs between hosts and over time. A
            fraction of the hosts takes one request more than the whole part of a
            host's share; these numbers choose them.
        """
        limit = self.limit(now_s)
        part, whole = math.modf(limit / host_count)
        if load.total < 1.0:
            if self._idle_since_s is None:
                self._idle_since_s = now_s
            idle_s = now_s - self._idle_since_s
            part = max(part, idle_s / self.policy.idle_spread_s)
        else:
            self._idle_since_s = None
        own_limit = whole + (turn < part)
        is_first = load.own < 1.0 and own_limit >= 1.0
        shortfall = max(0.0, self.policy.timed_share * self.slots / limit - 1.0)
        cost_s = self.policy.request_cost_s * (load.total + size - 1.0) * shortfall
        if load.total < limit and (is_first or load.own + size <= own_limit):
            return min(MAX_COST_S, cost_s)
        excess = max(
            (load.total + size - limit) / limit,
            (load.own + size - own_limit) / max(1.0, own_limit),
        )
        return min(MAX_COST_S, cost_s + self.policy.excess_cost_s * min(1.0, excess))

    @property
    def _doubling_s(self) -> float:
        return min(MAX_DOUBLING_S, self.policy.doubling_s * 2.0**self.failures)

    def _rise(self, until_s: float, doubling_s: float) -> None:
        from_s = max(self._updated_at_s, self._held_until_s)
        if until_s > from_s:
            doublings = min(32.0, (until_s - from_s) / doubling_s)
            ceiling = max(self._limit, self.policy.timed_share * self.slots)
            self._limit = min(ceiling, self._limit * 2.0**doublings)
        self._updated_at_s = max(self._updated_at_s, until_s)

    def _fall(self, now_s: float) -> None:
        self._limit = max(self._least, self.limit(now_s) * self.policy.fall_factor)
        self._held_until_s = now_s + HOLD_S


def is_late(*, took_s: float, expected_s: float) -> bool:
    """Return whether an answer is late against what was expected."""
    return took_s > LATE_FACTOR * expected_s + LATE_SLACK_S


def choose_turn(host_hash: int, instance_hash: int, epoch: int) -> float:
    """Return the number of a host's turn at a runner, from 0 to below 1.

    It is a permutation of the hash values of the hosts, which changes with the epoch.
    """
    mixed = (host_hash ^ instance_hash ^ (epoch * 0x9E3779B1)) % _HASH_RANGE
    mixed = (mixed ^ (mixed >> 16)) * 0x85EBCA6B % _HASH_RANGE
    mixed = (mixed ^ (mixed >> 13)) * 0xC2B2AE35 % _HASH_RANGE
    return (mixed ^ (mixed >> 16)) / _HASH_RANGE
