"""What a host tells of its decisions: log lines within a budget, and metrics."""

import logging
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

logger = logging.getLogger(__name__)

SUCCESS_LINES_A_SECOND = 20.0
"""Log lines a second for requests that were answered well; others are counted."""
FAILURE_LINES_A_SECOND = 100.0
"""Log lines a second for all other requests."""
_LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0)


@dataclass(kw_only=True, slots=True)
class LineBudget:
    """Bounds log lines to a rate, with a burst of one second.

    :param rate: lines a second.
    """

    rate: float
    _level: float = 0.0
    _last_s: float = 0.0

    def allow(self, now_s: float) -> bool:
        """Return whether a line may be written now."""
        earned = (now_s - self._last_s) * self.rate
        self._level = min(self.rate, self._level + earned)
        self._last_s = now_s
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


@dataclass(kw_only=True, slots=True)
class RequestStory:
    """What happened to one request, for its log line.

    :param request_id: id of the client attempt.
    :param started_s: monotonic time of its first byte.
    :param route: name of its route.
    :param service: name of its service.
    :param steps: what was decided, in order, with the inputs of each decision.
    """

    request_id: str
    started_s: float
    route: str = ""
    service: str = ""
    configuration_version: int = -1
    view_age_s: float = -1.0
    steps: list[dict[str, object]] = field(default_factory=list)

    def add(self, step: str, *, now_s: float, **inputs: object) -> None:
        """Note a decision."""
        after_ms = round((now_s - self.started_s) * 1000)
        self.steps.append({"step": step, "after_ms": after_ms, **inputs})


class HostMetrics:
    """Owns the counters and histograms of a host."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "lacewinglug_requests",
            "Requests by service and outcome",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.latency_s = Histogram(
            "lacewinglug_first_byte_seconds",
            "Time to the first byte of an answer, by service",
            ["service"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = Counter(
            "lacewinglug_attempts",
            "Requests sent to runners, by service and result",
            ["service", "result"],
            registry=self.registry,
        )
        self.store_failures = Counter(
            "lacewinglug_store_failures",
            "Calls to the store that failed, by what was wanted",
            ["what"],
            registry=self.registry,
        )
        self.lines_left_out = Counter(
            "lacewinglug_log_lines_left_out",
            "Log lines over the budget",
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "lacewinglug_configuration_version",
            "Version of the configuration in force",
            registry=self.registry,
        )
        self.view_age_s = Gauge(
            "lacewinglug_view_age_seconds",
            "Age of the view of runners",
            registry=self.registry,
        )
        self.hosts = Gauge(
            "lacewinglug_hosts", "Hosts that serve", registry=self.registry
        )

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)


@dataclass(kw_only=True)
class Reporter:
    """Owns the budgets of log lines and counts the outcomes of requests.

    :param metrics: counters and histograms.
    """

    metrics: HostMetrics
    _successes: LineBudget = field(
        default_factory=lambda: LineBudget(rate=SUCCESS_LINES_A_SECOND)
    )
    _failures: LineBudget = field(
        default_factory=lambda: LineBudget(rate=FAILURE_LINES_A_SECOND)
    )

    def note_end(
        self, story: RequestStory, *, outcome: str, status: int, now_s: float
    ) -> None:
        """Count the end of a request and write its line."""
        self.metrics.requests.labels(story.service, outcome).inc()
        good = outcome == "answered"
        budget = self._successes if good else self._failures
        if not budget.allow(now_s):
            self.metrics.lines_left_out.inc()
            return
        logger.log(
            logging.INFO if good else logging.WARNING,
            "request ended",
            extra={
                "request_id": story.request_id,
                "outcome": outcome,
                "status": status,
                "took_ms": round((now_s - story.started_s) * 1000),
                "route": story.route,
                "service": story.service,
                "configuration_version": story.configuration_version,
                "view_age_s": round(story.view_age_s, 3),
                "steps": story.steps,
            },
        )
