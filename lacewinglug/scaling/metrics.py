"""Metrics of the number of runners."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge

from lacewinglug.scaling.model import Subject


class ScalingMetrics:
    """Prometheus metrics of wanted and present runners.

    :param registry: registry of the host's metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        labels = ["service", "zone", "kind"]
        self.wanted = Gauge(
            "lacewinglug_runners_wanted",
            "Runners wanted by this host while it plans, by service, zone and kind",
            labels,
            registry=registry,
        )
        self.present = Gauge(
            "lacewinglug_runners_present",
            "Registered runners that accept work, by service, zone and kind",
            labels,
            registry=registry,
        )
        self.orders = Counter(
            "lacewinglug_runner_orders",
            "Orders of runners, by service and reply",
            ["service", "reply"],
            registry=registry,
        )

    def set_wanted(self, service: str, counts: Mapping[Subject, int]) -> None:
        """Set the wanted runners of a service."""
        _set_all(self.wanted, service, counts)

    def set_present(self, service: str, counts: Mapping[Subject, int]) -> None:
        """Set the present runners of a service."""
        _set_all(self.present, service, counts)


def _set_all(gauge: Gauge, service: str, counts: Mapping[Subject, int]) -> None:
    for subject, count in counts.items():
        gauge.labels(service, subject.zone, subject.kind.value).set(count)
