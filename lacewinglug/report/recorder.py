"""Counts the outcomes of requests for the service-level report."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestOutcome:
    """How one request ended.

    :param service: name of the service.
    :param kind: name of the kind of request.
    :param runner: runner that answered, empty for none.
    :param outcome: ``answered``, ``not_run``, ``outcome_unknown`` or
        ``failed_while_running``.
    :param latency_s: time to the whole answer, in seconds.
    """

    service: str
    kind: str
    runner: str
    outcome: str
    latency_s: float


@dataclass(kw_only=True)
class OutcomeRecorder:
    """Owns the counts of one entry."""

    counts: Counter[tuple[str, str, str]] = field(default_factory=Counter)

    def note(self, outcome: RequestOutcome) -> None:
        """Count one request."""
        self.counts[(outcome.service, outcome.kind, outcome.outcome)] += 1
