"""Counters and timings, kept in memory and sent to statsd when one is set."""

from collections import Counter
from dataclasses import dataclass, field

import statsd

_PREFIX = "lacewinglug"


@dataclass(kw_only=True)
class Metrics:
    """The counters of one process.

    :param client: statsd client, or None to keep counters in memory only.
    """

    client: statsd.StatsClient | None = None
    counts: Counter[str] = field(default_factory=Counter)

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to a counter."""
        self.counts[name] += value
        if self.client is not None:
            self.client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self.client is not None:
            self.client.gauge(name, value)

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration."""
        if self.client is not None:
            self.client.timing(name, duration_s * 1000.0)


def make_metrics(*, statsd_host: str, statsd_port: int, program: str) -> Metrics:
    """Make the metrics of a program; an empty host keeps them in memory."""
    if not statsd_host:
        return Metrics()
    client = statsd.StatsClient(statsd_host, statsd_port, prefix=f"{_PREFIX}.{program}")
    return Metrics(client=client)
