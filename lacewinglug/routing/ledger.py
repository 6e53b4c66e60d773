"""Estimates the load of a runner from its reports and this entry's own requests."""

from collections import deque
from dataclasses import dataclass, field

from lacewinglug.upstream.messages import LoadReport

_MAX_TRACKED_CHANGES = 128


@dataclass(kw_only=True, slots=True)
class LoadEstimate:
    """Estimated current load of a runner.

    :param in_flight: requests running or queued.
    :param low_priority: low-priority requests among them.
    :param prefill_tokens: prompt tokens waiting for prefill.
    """

    in_flight: float
    low_priority: float
    prefill_tokens: float


@dataclass(kw_only=True, slots=True)
class _LoadChange:
    at_s: float
    in_flight: int
    low_priority: int
    prefill_tokens: int


@dataclass(kw_only=True, slots=True)
class RunnerLoadTracker:
    """Tracks the load of a runner as seen by one entry.

    :param in_flight: requests of this entry on the runner.
    :param low_priority: low-priority requests among them.
    :param prefill_tokens: prompt tokens of this entry's requests that have not
        produced a first token.
    :param report: last load report.
    :param sampled_s: time at which the report was sampled, in seconds.
    """

    in_flight: int = 0
    low_priority: int = 0
    prefill_tokens: int = 0
    report: LoadReport | None = None
    sampled_s: float = float("-inf")
    _changes: deque[_LoadChange] = field(default_factory=deque)
    _in_flight_since_report: int = 0
    _low_priority_since_report: int = 0
    _prefill_tokens_since_report: int = 0

    def record_change(
        self,
        now_s: float,
        *,
        in_flight: int = 0,
        low_priority: int = 0,
        prefill_tokens: int = 0,
    ) -> None:
        """Record a change in this entry's own load on the runner."""
        self.in_flight += in_flight
        self.low_priority += low_priority
        self.prefill_tokens += prefill_tokens
        self._in_flight_since_report += in_flight
        self._low_priority_since_report += low_priority
        self._prefill_tokens_since_report += prefill_tokens
        self._changes.append(
            _LoadChange(
                at_s=now_s,
                in_flight=in_flight,
                low_priority=low_priority,
                prefill_tokens=prefill_tokens,
            )
        )
        if len(self._changes) > _MAX_TRACKED_CHANGES:
            self._merge_oldest_changes()

    def _merge_oldest_changes(self) -> None:
        """Merge the two oldest changes, to bound memory while no report arrives."""
        first = self._changes.popleft()
        second = self._changes[0]
        second.in_flight += first.in_flight
        second.low_priority += first.low_priority
        second.prefill_tokens += first.prefill_tokens

    def update_report(self, report: LoadReport, sampled_s: float) -> None:
        """Store a report unless a newer one is known."""
        if sampled_s < self.sampled_s:
            return
        self.report = report
        self.sampled_s = sampled_s
        changes = self._changes
        while changes and changes[0].at_s <= sampled_s:
            change = changes.popleft()
            self._in_flight_since_report -= change.in_flight
            self._low_priority_since_report -= change.low_priority
            self._prefill_tokens_since_report -= change.prefill_tokens

    def estimate(self, *, assumed_senders: float = 1.0) -> LoadEstimate:
        """Estimate the current load from the last report and the changes since.

        :param assumed_senders: number of entries, including this one, assumed to have
            sent as much as this one since the report.
        """
        report = self.report
        if report is None:
            return LoadEstimate(
                in_flight=self.in_flight,
                low_priority=self.low_priority,
                prefill_tokens=self.prefill_tokens,
            )
        other_senders = assumed_senders - 1.0
        return LoadEstimate(
            in_flight=_estimate_total(
                self.in_flight,
                report.running + report.queued,
                self._in_flight_since_report,
                other_senders,
            ),
            low_priority=_estimate_total(
                self.low_priority,
                report.low_priority,
                self._low_priority_since_report,
                other_senders,
            ),
            prefill_tokens=_estimate_total(
                self.prefill_tokens,
                report.queued_prefill_tokens,
                self._prefill_tokens_since_report,
                other_senders,
            ),
        )


def _estimate_total(
    own: int, reported: int, own_since_report: int, other_senders: float
) -> float:
    """Return the own load plus the estimated load of other entries."""
    reported_by_others = max(0, reported - (own - own_since_report))
    return own + reported_by_others + other_senders * max(0, own_since_report)
