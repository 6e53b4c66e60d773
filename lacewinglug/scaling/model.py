"""Data types of the number of runners of a service."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

DEFAULT_PRICE = 1.0
"""Price of a runner second in a zone for which the configuration states none."""


class ScaleRulesError(Exception):
    """Rules contradict each other; the message names the object and the remedy."""


class RunnerKind(Enum):
    """Kind of a runner. The platform may take reclaimable ones back at any time."""

    NORMAL = "normal"
    RECLAIMABLE = "reclaimable"


@dataclass(frozen=True, kw_only=True, slots=True)
class ScaleRules:
    """Bounds and prices of the runners of a service that can be ordered.

    :param min_per_zone: minimum number of runners in a zone, of both kinds together.
    :param max_per_zone: maximum number of runners in a zone, of both kinds together.
    :param boot_time_s: time from an order until the runner serves, in s.
    :param reclaimable_price: price of a reclaimable runner relative to a normal one.
    :param zone_prices: price of a second of a normal runner, by zone.
    """

    min_per_zone: int
    max_per_zone: int
    boot_time_s: float
    reclaimable_price: float = DEFAULT_PRICE
    zone_prices: Mapping[str, float] = field(default_factory=dict)

    def check(self, service: str) -> None:
        """Check the rules of a service.

        :raises ScaleRulesError: a value is negative or the bounds contradict.
        """
        if self.min_per_zone > self.max_per_zone:
            raise ScaleRulesError(
                f"service {service} has Scale with Min {self.min_per_zone} over Max "
                f"{self.max_per_zone}; lower Min or raise Max"
            )
        values = {
            "Min": self.min_per_zone,
            "BootTimeS": self.boot_time_s,
            "SpotPrice": self.reclaimable_price,
            **{f"ZonePrices of {key}": item for key, item in self.zone_prices.items()},
        }
        for name, value in values.items():
            if value < 0 or not math.isfinite(value):
                raise ScaleRulesError(
                    f"service {service} has Scale with {name} {value}; set a finite "
                    "value of 0 or more"
                )
        if self.max_per_zone < 1:
            raise ScaleRulesError(
                f"service {service} has Scale with Max {self.max_per_zone}; set it to "
                "1 or more, or remove Scale"
            )

    @property
    def least(self) -> int:
        """Minimum number of runners in a zone; the platform has no zone without one."""
        return max(1, self.min_per_zone)

    def price(self, zone: str, kind: RunnerKind) -> float:
        """Return the price of a second of a runner."""
        price = self.zone_prices.get(zone, DEFAULT_PRICE)
        match kind:
            case RunnerKind.RECLAIMABLE:
                return price * self.reclaimable_price
            case RunnerKind.NORMAL:
                return price


@dataclass(frozen=True, kw_only=True, slots=True)
class Subject:
    """What an order states a count for, within one service.

    :param zone: availability zone.
    :param kind: kind of the runners.
    """

    zone: str
    kind: RunnerKind


@dataclass(frozen=True, kw_only=True, slots=True)
class StageCounts:
    """Number of runners by stage; those without a stage count as neither."""

    prefill: int = 0
    decode: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SubjectState:
    """Runners of one kind in one zone.

    :param registered: runners that are registered and accept work.
    :param serving: the same without those that warm up or that an order in progress
        removes.
    :param warming: registered runners that warm up.
    :param booting: runners that were ordered and are not registered yet.
    :param ordered: count that the platform presumably aims at: the last one ordered,
        or the highest one seen. Crashed runners count, since they may come back.
    :param available: whether further ones can presumably be had.
    :param stages: stages of the registered ones.
    :param cached_tokens: prompt tokens in the caches of the registered ones.
    """

    registered: int = 0
    serving: int = 0
    warming: int = 0
    booting: int = 0
    ordered: int = 0
    available: bool = True
    stages: StageCounts = field(default_factory=StageCounts)
    cached_tokens: float = 0.0

    @property
    def expected(self) -> int:
        """Runners once the orders in progress are carried out."""
        return self.serving + self.warming + self.booting


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineDemand:
    """Load of the engines of a service, in engines that it keeps busy.

    :param prefill: engines busy with prefill.
    :param decode: engines busy with decode.
    """

    prefill: float = 0.0
    decode: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetState:
    """Input of a decision.

    :param regions: region by zone; all zones in which runners may be ordered.
    :param subjects: runners by kind and zone.
    :param baseline: number of runners to have until the demand is known.
    :param found: number of runners found first, of both kinds together. It is above the
        baseline if they are being replaced; until the demand is known, none beyond it
        are removed.
    :param demand: highest demand to expect, None while it is unknown.
    :param demand_is_settled: whether the demand was observed for long enough to order
        fewer runners than the baseline.
    :param idle: whether there has not been any request yet.
    :param may_remove: whether runners may be removed now.
    """

    regions: Mapping[str, str]
    subjects: Mapping[Subject, SubjectState]
    baseline: int
    found: int = 0
    demand: EngineDemand | None = None
    demand_is_settled: bool = False
    idle: bool = False
    may_remove: bool = True

    def get(self, zone: str, kind: RunnerKind) -> SubjectState:
        """Return the runners of one kind in one zone."""
        return self.subjects.get(Subject(zone=zone, kind=kind), SubjectState())
