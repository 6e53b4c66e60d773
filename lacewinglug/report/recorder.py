"""Counts the outcomes of requests against the objectives."""

from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.config.objects import Fleet, Objective
from lacewinglug.report.windows import (
    MAX_BAD_TALLIES,
    BadTally,
    ObjectiveTally,
    merge_bad,
)

ANSWERED = "answered"
LATE = "late"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestOutcome:
    """How one request ended.

    :param service: name of the service.
    :param kind: name of the kind of request.
    :param runner: runner that worked on it, empty for none.
    :param outcome: ``answered``, ``not_run``, ``outcome_unknown`` or
        ``failed_while_running``.
    :param latency_s: time to the whole answer, in seconds.
    """

    service: str
    kind: str
    runner: str
    outcome: str
    latency_s: float


@dataclass(kw_only=True, slots=True)
class _Count:
    total: int = 0
    good: int = 0
    bad: dict[tuple[str, str, str], int] = field(default_factory=dict)


@dataclass(kw_only=True)
class OutcomeRecorder:
    """Owns the counts of one entry since they were last taken.

    :param host: name of the host.
    :param get_fleet: returns the configuration in force.
    """

    host: str
    get_fleet: Callable[[], Fleet]
    _counts: dict[str, _Count] = field(default_factory=dict)

    def note(self, outcome: RequestOutcome) -> None:
        """Count one request for each objective that it falls under."""
        for name, objective in self.get_fleet().objectives.items():
            if objective.service != outcome.service:
                continue
            if objective.kind in ("", outcome.kind):
                count = self._counts.setdefault(name, _Count())
                _add(count, outcome, bad_reason(objective, outcome))

    def take(self) -> tuple[ObjectiveTally, ...]:
        """Return the counts and start anew."""
        counts, self._counts = self._counts, {}
        return tuple(
            ObjectiveTally(
                objective=name,
                total=count.total,
                good=count.good,
                bad=self._bad_tallies(count),
            )
            for name, count in sorted(counts.items())
        )

    def _bad_tallies(self, count: _Count) -> tuple[BadTally, ...]:
        tallies = [
            BadTally(
                host=self.host, runner=runner, kind=kind, reason=reason, count=number
            )
            for (runner, kind, reason), number in count.bad.items()
        ]
        return merge_bad(tallies, limit=MAX_BAD_TALLIES)


def bad_reason(objective: Objective, outcome: RequestOutcome) -> str:
    """Return why an answer is bad for an objective, empty when it is good."""
    if outcome.outcome != ANSWERED:
        return outcome.outcome
    if 0 < objective.latency_s < outcome.latency_s:
        return LATE
    return ""


def _add(count: _Count, outcome: RequestOutcome, reason: str) -> None:
    count.total += 1
    if not reason:
        count.good += 1
        return
    origin = (outcome.runner, outcome.kind, reason)
    count.bad[origin] = count.bad.get(origin, 0) + 1
