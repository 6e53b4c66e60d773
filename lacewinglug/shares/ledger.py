"""Decides at one host which requests are within the share of their organisation."""

import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from lacewinglug.shares.decision import fair_limits

logger = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 1.0
"""Interval at which the shares are computed, in s."""
DEMAND_WINDOW_S = 3.0
"""Time constant of the measured demand, in s; a third of the shortest known wave of
demand."""
BURST_S = 1.0
"""Time for which an unused share is kept, in s."""
REPORT_TTL_S = 3.5
"""Time for which the demand reported by another host counts, in s; three reports in
succession have to be lost before it is missed."""
CAPACITY_FRACTION = 0.85
"""Part of the estimated capacity that is divided. An estimate that is too high would
let requests within shares wait for each other; what is not divided still serves
requests in excess."""
MAX_DIVIDED_DEMAND = 0.9
"""Part of the demand that is divided at most. Under contention the demand exceeds the
capacity, whatever the estimate of the capacity is."""
BEGIN_RATIO = 0.75
"""Mean expected time to the first token, relative to the time until it is late, at
which contention begins."""
END_RATIO = 0.4
"""Mean ratio below which contention ends."""
RATIO_WINDOW_S = 1.0
"""Time constant of this mean, in s."""
MIN_SAMPLES = 3.0
"""Requests in this window below which contention does not begin."""
MAX_RATIO = 4.0
"""Bound of one sample, so that a single very late request begins no contention."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareDecision:
    """Whether a request is within the share of its organisation, and why.

    :param within: whether it is.
    :param rate: share of the organisation at this host, in s of prefill per s.
    :param demand: demand of the organisation at this host, in s of prefill per s.
    :param hosts: number of other hosts whose reports were used.
    :param oldest_s: age of the oldest of these reports, in s.
    """

    within: bool
    rate: float
    demand: float
    hosts: int
    oldest_s: float


@dataclass(kw_only=True, slots=True)
class _Decaying:
    """A sum in which older values count exponentially less."""

    window_s: float
    value: float = 0.0
    since_s: float = 0.0

    def at(self, now_s: float) -> float:
        if now_s > self.since_s:
            self.value *= math.exp((self.since_s - now_s) / self.window_s)
            self.since_s = now_s
        return self.value

    def add(self, amount: float, *, now_s: float) -> None:
        self.at(now_s)
        self.value += amount


@dataclass(kw_only=True, slots=True)
class _Account:
    """Demand and share of one organisation at this host.

    :param rate: its share here, in s of prefill per s; None until the first update.
    :param balance_s: prefill time that it may use now; below 0 after a request that
        is larger than what was left.
    """

    demand: _Decaying = field(
        default_factory=lambda: _Decaying(window_s=DEMAND_WINDOW_S)
    )
    rate: float | None = None
    balance_s: float = 0.0
    filled_s: float = 0.0

    def fill(self, now_s: float) -> None:
        if self.rate is not None:
            filled_s = self.balance_s + self.rate * max(0.0, now_s - self.filled_s)
            self.balance_s = min(filled_s, self.rate * BURST_S)
        self.filled_s = now_s


@dataclass(frozen=True, kw_only=True, slots=True)
class _Report:
    demands: Mapping[str, float]
    received_s: float


@dataclass(kw_only=True)
class ShareLedger:
    """Shares of the organisations at one host, for one model service.

    :param service: name of the service, for the log.
    :param contended: whether requests wait so long that shares apply.
    """

    service: str = ""
    contended: bool = False
    _accounts: dict[str, _Account] = field(default_factory=dict)
    _reports: dict[str, _Report] = field(default_factory=dict)
    _ratios: _Decaying = field(
        default_factory=lambda: _Decaying(window_s=RATIO_WINDOW_S)
    )
    _samples: _Decaying = field(
        default_factory=lambda: _Decaying(window_s=RATIO_WINDOW_S)
    )
    _updated_s: float = -math.inf
    _oldest_s: float = 0.0

    def record_wait(self, *, expected_s: float, left_s: float, now_s: float) -> None:
        """Record the expected time to the first token of a request.

        :param left_s: time until the first token is late, in s.
        """
        ratio = MAX_RATIO
        if left_s > 0.0:
            ratio = min(MAX_RATIO, expected_s / left_s)
        self._ratios.add(ratio, now_s=now_s)
        self._samples.add(1.0, now_s=now_s)

    def decide(
        self, organisation: str, *, work_s: float, now_s: float
    ) -> ShareDecision:
        """Count a request and decide whether it is within its organisation's share.

        Without contention every request is. One of an organisation without demand at
        the last update, at most :data:`UPDATE_INTERVAL_S` ago, is as well.

        :param work_s: its prefill time.
        """
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account()
        account.demand.add(work_s, now_s=now_s)
        account.fill(now_s)
        within = not self.contended or account.rate is None or account.balance_s > 0.0
        if within:
            account.balance_s -= work_s
            if not self.contended:
                account.balance_s = max(0.0, account.balance_s)
        return ShareDecision(
            within=within,
            rate=account.rate or 0.0,
            demand=account.demand.at(now_s) / DEMAND_WINDOW_S,
            hosts=len(self._reports),
            oldest_s=self._oldest_s,
        )

    def own_demands(self, *, now_s: float) -> dict[str, float]:
        """Return the demand at this host, in s of prefill per s by organisation."""
        return {
            name: account.demand.at(now_s) / DEMAND_WINDOW_S
            for name, account in self._accounts.items()
        }

    def record_report(
        self, host: str, demands: Mapping[str, float], *, now_s: float
    ) -> None:
        """Record the demand at another host."""
        self._reports[host] = _Report(demands=demands, received_s=now_s)

    def is_due(self, now_s: float) -> bool:
        """Return whether the shares are to be computed again."""
        return now_s - self._updated_s >= UPDATE_INTERVAL_S

    def update(
        self,
        *,
        capacity: float,
        host_count: int,
        now_s: float,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Compute the shares, and whether there is contention.

        :param capacity: estimated capacity of all engines, in s of prefill per s.
        :param host_count: number of hosts, this one included.
        """
        self._updated_s = now_s
        self._remove_old(now_s)
        own = self.own_demands(now_s=now_s)
        totals = dict(own)
        for report in self._reports.values():
            for name, demand in report.demands.items():
                totals[name] = totals.get(name, 0.0) + demand
        if not self._reports:
            # Nothing is known of the other hosts: they may have the same demand.
            totals = {name: demand * max(1, host_count) for name, demand in own.items()}
        demand = sum(totals.values())
        limits = fair_limits(
            totals,
            capacity=min(capacity * CAPACITY_FRACTION, demand * MAX_DIVIDED_DEMAND),
            weights=weights,
        )
        for name, account in self._accounts.items():
            account.fill(now_s)
            part = own[name] / totals[name] if totals[name] > 0.0 else 1.0
            account.rate = limits[name] * part
        self._update_contention(demand, capacity, now_s)

    def _remove_old(self, now_s: float) -> None:
        for host, report in list(self._reports.items()):
            if now_s - report.received_s > REPORT_TTL_S:
                del self._reports[host]
        ages = (now_s - report.received_s for report in self._reports.values())
        self._oldest_s = max(ages, default=0.0)
        for name, account in list(self._accounts.items()):
            if account.demand.at(now_s) < 1e-6:
                del self._accounts[name]

    def _update_contention(self, demand: float, capacity: float, now_s: float) -> None:
        samples = self._samples.at(now_s)
        ratio = self._ratios.at(now_s) / samples if samples > 0.0 else 0.0
        before = self.contended
        if before:
            self.contended = ratio >= END_RATIO and samples > 0.05
        else:
            self.contended = ratio >= BEGIN_RATIO and samples >= MIN_SAMPLES
        if self.contended is not before:
            logger.info(
                "contention begins" if self.contended else "contention ends",
                extra={
                    "service": self.service,
                    "wait_ratio": round(ratio, 2),
                    "samples": round(samples, 1),
                    "demand": round(demand, 2),
                    "capacity": round(capacity, 2),
                    "organisations": len(self._accounts),
                    "hosts_heard": len(self._reports),
                },
            )
