"""An entry's account of one runner: its reports and the entry's own sends."""

from collections import deque
from dataclasses import dataclass, field

from lacewinglug.upstream.messages import LoadReport

_MAX_CHANGES = 128


@dataclass(kw_only=True, slots=True)
class LoadEstimate:
    """Load of a runner as predicted for now.

    :param in_flight: requests in progress or queued.
    :param low_priority: those of them at low priority.
    :param prefill_tokens: prompt tokens still to compute.
    """

    in_flight: float
    low_priority: float
    prefill_tokens: float


@dataclass(kw_only=True, slots=True)
class _Change:
    at_s: float
    in_flight: int
    low_priority: int
    prefill_tokens: int


@dataclass(kw_only=True, slots=True)
class RunnerLedger:
    """Owns what an entry knows of the load of a runner.

    :param in_flight: requests of this entry on the runner.
    :param low_priority: those of them at low priority.
    :param prefill_tokens: prompt tokens of this entry without a first token yet.
    :param report: last report.
    :param sampled_s: time when the report was true, in seconds.
    """

    in_flight: int = 0
    low_priority: int = 0
    prefill_tokens: int = 0
    report: LoadReport | None = None
    sampled_s: float = float("-inf")
    _changes: deque[_Change] = field(default_factory=deque)
    _since_in_flight: int = 0
    _since_low: int = 0
    _since_prefill: int = 0

    def note(
        self,
        now_s: float,
        *,
        in_flight: int = 0,
        low_priority: int = 0,
        prefill_tokens: int = 0,
    ) -> None:
        """Note a change of this entry's own work on the runner."""
        self.in_flight += in_flight
        self.low_priority += low_priority
        self.prefill_tokens += prefill_tokens
        self._since_in_flight += in_flight
        self._since_low += low_priority
        self._since_prefill += prefill_tokens
        self._changes.append(
            _Change(
                at_s=now_s,
                in_flight=in_flight,
                low_priority=low_priority,
                prefill_tokens=prefill_tokens,
            )
        )
        if len(self._changes) > _MAX_CHANGES:
            self._merge_oldest()

    def _merge_oldest(self) -> None:
        """Bound the memory while no report comes."""
        first = self._changes.popleft()
        second = self._changes[0]
        second.in_flight += first.in_flight
        second.low_priority += first.low_priority
        second.prefill_tokens += first.prefill_tokens

    def note_report(self, report: LoadReport, sampled_s: float) -> None:
        """Take a report unless a newer one is known."""
        if sampled_s < self.sampled_s:
            return
        self.report = report
        self.sampled_s = sampled_s
        changes = self._changes
        while changes and changes[0].at_s <= sampled_s:
            change = changes.popleft()
            self._since_in_flight -= change.in_flight
            self._since_low -= change.low_priority
            self._since_prefill -= change.prefill_tokens

    def estimate(self, *, mirror: float = 1.0) -> LoadEstimate:
        """Predict the load of now from the report and the own changes since.

        :param mirror: entries assumed to have sent what this one has sent since
            the report, this one included.
        """
        report = self.report
        if report is None:
            return LoadEstimate(
                in_flight=self.in_flight,
                low_priority=self.low_priority,
                prefill_tokens=self.prefill_tokens,
            )
        others = mirror - 1.0
        return LoadEstimate(
            in_flight=_predict(
                self.in_flight,
                report.running + report.queued,
                self._since_in_flight,
                others,
            ),
            low_priority=_predict(
                self.low_priority, report.low_priority, self._since_low, others
            ),
            prefill_tokens=_predict(
                self.prefill_tokens,
                report.queued_prefill_tokens,
                self._since_prefill,
                others,
            ),
        )


def _predict(own: int, reported: int, own_since: int, others: float) -> float:
    """Add the reported work of other entries to the own work of now."""
    of_others = max(0, reported - (own - own_since))
    return own + of_others + others * max(0, own_since)
