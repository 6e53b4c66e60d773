"""Tests of counters."""

import socket

from lacewinglug.metrics import Metrics, make_metrics


def test_counts_reach_the_statsd_daemon():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as daemon:
        daemon.bind(("127.0.0.1", 0))
        port = daemon.getsockname()[1]
        metrics = make_metrics(
            statsd_host="127.0.0.1", statsd_port=port, program="entry"
        )
        metrics.count("calls.repeats", 2)
        assert daemon.recv(1500) == b"lacewinglug.entry.calls.repeats:2|c"
    assert metrics.counts["calls.repeats"] == 2


def test_counts_are_kept_without_a_daemon():
    metrics = Metrics()
    metrics.count("calls.repeats")
    metrics.timing("requests.latency", 0.1)
    assert metrics.counts["calls.repeats"] == 1
