"""Metrics of the duties and of the usage reports."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class DutyMetrics:
    """Prometheus metrics of a host that may make calls to the platform's interface.

    :param registry: registry of the host's metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.holds = Gauge(
            "lacewinglug_duty_holder",
            "1 while this host makes the calls to the platform's interface",
            registry=registry,
        )
        self.calls = Counter(
            "lacewinglug_duty_calls",
            "Calls to the platform's interface, by reply",
            ["reply"],
            registry=registry,
        )
        self.withheld = Counter(
            "lacewinglug_duty_calls_withheld",
            "Calls to the platform's interface that were not sent, by reason",
            ["reason"],
            registry=registry,
        )
        self.counted = Counter(
            "lacewinglug_usage_requests_counted",
            "Requests counted for the usage report when they began to run",
            registry=registry,
        )
        self.decided = Counter(
            "lacewinglug_usage_windows_decided",
            "Windows whose usage report this host has decided",
            registry=registry,
        )
        self.missing_hosts = Counter(
            "lacewinglug_usage_hosts_missing",
            "Hosts whose counts were incomplete when a window was decided",
            registry=registry,
        )
        self.pending = Gauge(
            "lacewinglug_usage_reports_pending",
            "Decided usage reports that the platform has not confirmed",
            registry=registry,
        )
        self.abandoned = Counter(
            "lacewinglug_usage_reports_abandoned",
            "Usage reports that were given up, by reason",
            ["reason"],
            registry=registry,
        )
        self.clock_offset_s = Gauge(
            "lacewinglug_clock_offset_seconds",
            "Time of day of this host minus the median of the hosts, in seconds",
            registry=registry,
        )
