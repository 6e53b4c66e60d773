"""Request logs with a rate limit, and the metrics of a host."""

import logging
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from lacewinglug.interference.watch import StreamMetrics, StreamTimes
from lacewinglug.platform.headers import decode_request_id
from lacewinglug.wire.messages import Request
from lacewinglug.wire.server import EndReason

logger = logging.getLogger(__name__)

SUCCESS_LINES_PER_S = 20.0
"""Rate limit of log lines for successful requests, per second. Lines over the limit
are only counted."""
FAILURE_LINES_PER_S = 100.0
"""Rate limit of log lines for all other requests, per second."""
_LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0)


@dataclass(kw_only=True, slots=True)
class LogRateLimiter:
    """Token bucket for log lines that allows a burst of one second.

    :param rate: lines per second.
    """

    rate: float
    _tokens: float = 0.0
    _last_s: float = 0.0

    def try_acquire(self, now_s: float) -> bool:
        """Take a token; return whether a line may be written now."""
        earned = (now_s - self._last_s) * self.rate
        self._tokens = min(self.rate, self._tokens + earned)
        self._last_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(kw_only=True, slots=True)
class RequestTrace:
    """Trace of a request for its log line.

    :param request_id: id of the client's attempt.
    :param started_s: monotonic time at which its first byte arrived.
    :param route: name of the route.
    :param service: name of the service.
    :param organisation: name of the organisation, empty for none.
    :param configuration_version: configuration that it was routed by.
    :param view_age_s: age of the view of runners when it was routed, in s.
    :param steps: decisions in order, each with its inputs.
    :param stream: times of the events of a stream, None for other requests.
    :param longest_upstream_wait_s: longest wait for data of a stream, in s.
    :param longest_client_wait_s: longest wait until the client took data of it, in s.
    """

    request_id: str
    started_s: float
    route: str = ""
    service: str = ""
    organisation: str = ""
    configuration_version: int = -1
    view_age_s: float = -1.0
    steps: list[dict[str, object]] = field(default_factory=list)
    stream: StreamTimes | None = None
    longest_upstream_wait_s: float = 0.0
    longest_client_wait_s: float = 0.0

    def record_waits(self, *, upstream_s: float = 0.0, client_s: float = 0.0) -> None:
        """Record how long the relay of a stream waited on either side, in s."""
        self.longest_upstream_wait_s = max(self.longest_upstream_wait_s, upstream_s)
        self.longest_client_wait_s = max(self.longest_client_wait_s, client_s)

    def add_step(self, step: str, *, now_s: float, **inputs: object) -> None:
        """Append a decision.

        :param inputs: values that the decision was based on.
        """
        after_ms = round((now_s - self.started_s) * 1000)
        self.steps.append({"step": step, "after_ms": after_ms, **inputs})


class HostMetrics:
    """Prometheus metrics of a host."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "lacewinglug_requests",
            "Requests by service and outcome",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.first_byte_latency_s = Histogram(
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
        self.engine_crashes = Counter(
            "lacewinglug_engine_crashes",
            "Engines that crashed while they began an answer, by service",
            ["service"],
            registry=self.registry,
        )
        self.quarantined_parts = Gauge(
            "lacewinglug_quarantined_parts",
            "Prompt parts whose requests are refused, since they crash engines",
            registry=self.registry,
        )
        self.runner_notices = Counter(
            "lacewinglug_runner_notices",
            "Notices of runners in responses, by service and kind",
            ["service", "notice"],
            registry=self.registry,
        )
        self.withheld_requests = Counter(
            "lacewinglug_requests_withheld",
            "Requests that were not sent to the runner chosen for them, by reason",
            ["service", "reason"],
            registry=self.registry,
        )
        self.paced_runners = Gauge(
            "lacewinglug_paced_runners",
            "Runners that have just started or recovered, by service",
            ["service"],
            registry=self.registry,
        )
        self.pacing_limit = Gauge(
            "lacewinglug_pacing_limit",
            "Limit of the work of all hosts at such a runner, in typical requests",
            ["service", "runner"],
            registry=self.registry,
        )
        self.store_failures = Counter(
            "lacewinglug_store_failures",
            "Calls to the store that failed, by what was wanted",
            ["what"],
            registry=self.registry,
        )
        self.store_era = Gauge(
            "lacewinglug_store_era",
            "Era of the store, which rises when it is restored from a copy",
            registry=self.registry,
        )
        self.configuration_reads = Counter(
            "lacewinglug_configuration_reads",
            "Reads of the configuration from the store",
            registry=self.registry,
        )
        self.connection_ends = Counter(
            "lacewinglug_client_connections_ended",
            "Client connections that ended, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.unanswered_requests = Counter(
            "lacewinglug_unanswered_requests",
            "Whole requests whose connection ended without a complete response",
            ["reason"],
            registry=self.registry,
        )
        self.evictions = Counter(
            "lacewinglug_memory_evictions",
            "Connections that lost what they held to others, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.memory_charged_bytes = Gauge(
            "lacewinglug_memory_charged_bytes",
            "Memory held or reserved for clients and runners",
            registry=self.registry,
        )
        self.memory_limit_bytes = Gauge(
            "lacewinglug_memory_limit_bytes",
            "Bound on the memory held for clients and runners",
            registry=self.registry,
        )
        self.memory_waiting = Gauge(
            "lacewinglug_memory_waiting",
            "Large messages that wait for memory",
            registry=self.registry,
        )
        self.connections = Gauge(
            "lacewinglug_connections",
            "Open connections, by kind",
            ["kind"],
            registry=self.registry,
        )
        self.connection_limits = Gauge(
            "lacewinglug_connection_limit",
            "Bound on the open connections, by kind",
            ["kind"],
            registry=self.registry,
        )
        self.internal_errors = Counter(
            "lacewinglug_internal_errors",
            "Unexpected errors, by what failed and type of the error",
            ["what", "error"],
            registry=self.registry,
        )
        self.dropped_log_lines = Counter(
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
        self.serving_hosts = Gauge(
            "lacewinglug_hosts", "Hosts that serve", registry=self.registry
        )
        self.streams = StreamMetrics(registry=self.registry)

    def set_pacing(self, limits: dict[tuple[str, str], float]) -> None:
        """Replace the limits of runners in their ramp, by service and instance."""
        self.paced_runners.clear()
        self.pacing_limit.clear()
        for (service, runner), limit in limits.items():
            self.paced_runners.labels(service).inc()
            self.pacing_limit.labels(service, runner).set(limit)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


@dataclass(kw_only=True)
class RequestReporter:
    """Counts and logs the outcomes of requests.

    :param metrics: metrics of the host.
    """

    metrics: HostMetrics
    _success_limiter: LogRateLimiter = field(
        default_factory=lambda: LogRateLimiter(rate=SUCCESS_LINES_PER_S)
    )
    _failure_limiter: LogRateLimiter = field(
        default_factory=lambda: LogRateLimiter(rate=FAILURE_LINES_PER_S)
    )

    def record_completion(
        self, trace: RequestTrace, *, outcome: str, status: int, now_s: float
    ) -> None:
        """Count a completed request and log it unless the rate limit is exceeded."""
        self.metrics.requests.labels(trace.service, outcome).inc()
        good = outcome == "answered"
        stream: dict[str, object] | None = None
        if trace.stream is not None:
            # A client may leave before the end for reasons of its own.
            complete = good or outcome == "client_left"
            self.metrics.streams.record(
                trace.stream, route=trace.route, complete=complete, now_s=now_s
            )
            stream = trace.stream.describe(complete=complete, now_s=now_s)
        budget = self._success_limiter if good else self._failure_limiter
        if not budget.try_acquire(now_s):
            self.metrics.dropped_log_lines.inc()
            return
        logger.log(
            logging.INFO if good else logging.WARNING,
            "request ended",
            extra={
                "request_id": trace.request_id,
                "outcome": outcome,
                "status": status,
                "took_ms": round((now_s - trace.started_s) * 1000),
                "route": trace.route,
                "service": trace.service,
                "organisation": trace.organisation,
                "configuration_version": trace.configuration_version,
                "view_age_s": round(trace.view_age_s, 3),
                "longest_upstream_wait_ms": round(trace.longest_upstream_wait_s * 1000),
                "longest_client_wait_ms": round(trace.longest_client_wait_s * 1000),
                "steps": trace.steps,
            }
            | ({} if stream is None else {"stream": stream}),
        )

    def record_connection_end(
        self, reason: EndReason, unanswered: Request | None, *, now_s: float
    ) -> None:
        """Count the end of a client connection; log it if it left a request unanswered.

        :param unanswered: request that was received whole and has no complete response.
        """
        self.metrics.connection_ends.labels(reason.value).inc()
        if unanswered is None:
            return
        self.metrics.unanswered_requests.labels(reason.value).inc()
        if not self._failure_limiter.try_acquire(now_s):
            self.metrics.dropped_log_lines.inc()
            return
        logger.warning(
            "connection ended without a complete response",
            extra={
                "request_id": decode_request_id(unanswered),
                "reason": reason.value,
                "after_ms": round((now_s - unanswered.received_s) * 1000),
            },
        )

    def record_internal_error(
        self, error: Exception, *, what: str, request_id: str, now_s: float
    ) -> None:
        """Count an unexpected error in the handling of a request, and log it."""
        self.metrics.internal_errors.labels(what, type(error).__name__).inc()
        if not self._failure_limiter.try_acquire(now_s):
            self.metrics.dropped_log_lines.inc()
            return
        logger.error(
            "unexpected error",
            extra={"what": what, "request_id": request_id},
            exc_info=error,
        )
