"""Computes burn rates and error budgets from counted answers."""

from dataclasses import dataclass

from lacewinglug.config.objects import Objective
from lacewinglug.report.ledger import BurnLedger, MinuteCount
from lacewinglug.report.windows import WINDOW_S, BadTally, merge_bad

BURN_WINDOWS_S = (300, 3600, 21600, 259200)
MAX_ORIGINS = 10

# A pair of windows raises an alarm when both burn faster than the rate.
_ALARMS = ((3600, 300, 14.4), (21600, 3600, 6.0), (259200, 21600, 1.0))


@dataclass(frozen=True, kw_only=True, slots=True)
class BurnRate:
    """How fast the error budget is used in a window.

    :param window_s: length of the window, in seconds.
    :param total: answers in the window.
    :param rate: share of bad answers over the share allowed; 1 uses the budget
        up exactly at the end of the objective's period.
    """

    window_s: int
    total: int
    rate: float


@dataclass(frozen=True, kw_only=True, slots=True)
class MinuteRatio:
    """Share of bad answers in one minute, for plots.

    :param index: minutes since the Unix epoch.
    :param bad_ratio: share of bad answers.
    """

    index: int
    bad_ratio: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectiveBurn:
    """The state of one objective.

    :param objective: name of the objective.
    :param service: name of the service.
    :param kind: kind of request, empty for all.
    :param target_ratio: wanted share of good answers.
    :param total: answers in the covered period.
    :param good: good answers in the covered period.
    :param budget_left_ratio: share of the error budget that is left; negative
        when it is overspent.
    :param covered_s: part of the objective's period that the log still holds.
    :param rates: burn rates by window.
    :param alarm: the fastest alarm that is raised, empty for none.
    :param origins: who burned the budget, largest first.
    :param minutes: share of bad answers by minute.
    """

    objective: str
    service: str
    kind: str
    target_ratio: float
    total: int
    good: int
    budget_left_ratio: float
    covered_s: int
    rates: tuple[BurnRate, ...]
    alarm: str
    origins: tuple[BadTally, ...]
    minutes: tuple[MinuteRatio, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Coverage:
    """What the report could not see.

    :param oldest_s: start of the oldest window, seconds since the Unix epoch.
    :param expired: whether the log no longer holds older records.
    :param missing_windows: minutes that a host that reported before and after
        did not report.
    :param copies: windows that came more than once and counted once.
    :param undecodable: records that could not be read.
    """

    oldest_s: int
    expired: bool
    missing_windows: dict[str, int]
    copies: int
    undecodable: int


@dataclass(frozen=True, kw_only=True, slots=True)
class BurnReport:
    """The report on all objectives.

    :param at_s: time of the report, seconds since the Unix epoch.
    :param objectives: state of each objective.
    :param coverage: what the report could not see.
    """

    at_s: int
    objectives: tuple[ObjectiveBurn, ...]
    coverage: Coverage


def make_report(
    ledger: BurnLedger, objectives: dict[str, Objective], *, at_s: int, expired: bool
) -> BurnReport:
    """Return the report as of a time.

    :param ledger: the counted answers.
    :param objectives: objectives of the configuration.
    :param at_s: time of the report, seconds since the Unix epoch.
    :param expired: whether the log no longer holds the first records.
    """
    minutes = ledger.minutes()
    indexes = [key.index for key in ledger.window_keys()]
    oldest_s = min(indexes) * WINDOW_S if indexes else at_s
    states = [
        _objective_burn(name, item, minutes.get(name, {}), at_s, oldest_s)
        for name, item in sorted(objectives.items())
    ]
    coverage = Coverage(
        oldest_s=oldest_s,
        expired=expired,
        missing_windows=_missing_windows(ledger),
        copies=ledger.copies,
        undecodable=ledger.undecodable,
    )
    return BurnReport(at_s=at_s, objectives=tuple(states), coverage=coverage)


def _objective_burn(
    name: str,
    objective: Objective,
    minutes: dict[int, MinuteCount],
    at_s: int,
    oldest_s: int,
) -> ObjectiveBurn:
    period = _sum_since(minutes, at_s - int(objective.window_s), at_s)
    allowed_ratio = 1.0 - objective.target_ratio
    rates = tuple(
        BurnRate(
            window_s=window_s,
            total=(count := _sum_since(minutes, at_s - window_s, at_s)).total,
            rate=_bad_ratio(count) / allowed_ratio,
        )
        for window_s in BURN_WINDOWS_S
    )
    return ObjectiveBurn(
        objective=name,
        service=objective.service,
        kind=objective.kind,
        target_ratio=objective.target_ratio,
        total=period.total,
        good=period.good,
        budget_left_ratio=1.0 - _bad_ratio(period) / allowed_ratio,
        covered_s=min(int(objective.window_s), at_s - oldest_s),
        rates=rates,
        alarm=_find_alarm(rates),
        origins=merge_bad(period.bad, limit=MAX_ORIGINS),
        minutes=tuple(
            MinuteRatio(index=index, bad_ratio=_bad_ratio(minutes[index]))
            for index in sorted(minutes)
        ),
    )


def _sum_since(
    minutes: dict[int, MinuteCount], start_s: int, end_s: int
) -> MinuteCount:
    """Add up the minutes that start in a period."""
    result = MinuteCount()
    for index, count in minutes.items():
        if start_s <= index * WINDOW_S < end_s:
            result.total += count.total
            result.good += count.good
            result.bad.extend(count.bad)
    return result


def _bad_ratio(count: MinuteCount) -> float:
    return (count.total - count.good) / count.total if count.total else 0.0


def _find_alarm(rates: tuple[BurnRate, ...]) -> str:
    """Return the fastest pair of windows that both burn too fast."""
    by_window = {rate.window_s: rate.rate for rate in rates}
    for long_s, short_s, limit in _ALARMS:
        if by_window[long_s] >= limit and by_window[short_s] >= limit:
            return f"burns over {limit:g} times the budget for {long_s // 3600} h"
    return ""


def _missing_windows(ledger: BurnLedger) -> dict[str, int]:
    """Return minutes without a window between the first and last of each host."""
    indexes: dict[str, set[int]] = {}
    for key in ledger.window_keys():
        indexes.setdefault(key.host, set()).add(key.index)
    missing = {
        host: max(seen) - min(seen) + 1 - len(seen) for host, seen in indexes.items()
    }
    return {host: count for host, count in sorted(missing.items()) if count}
