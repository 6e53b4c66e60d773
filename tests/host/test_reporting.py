"""Log lines are rate-limited, with a separate limit for failures."""

import logging

from lacewinglug.host.reporting import HostMetrics, RequestReporter, RequestTrace
from lacewinglug.wire.messages import Request
from lacewinglug.wire.server import EndReason


def test_success_lines_are_limited_without_dropping_failure_lines(caplog):
    reporter = RequestReporter(metrics=HostMetrics())
    trace = RequestTrace(request_id="r", started_s=10.0, service="app")
    with caplog.at_level(logging.INFO):
        for _ in range(100):
            reporter.record_completion(
                trace, outcome="answered", status=200, now_s=11.0
            )
        for _ in range(50):
            reporter.record_completion(
                trace, outcome="rejected", status=503, now_s=11.0
            )
    lines = [record.outcome for record in caplog.records]
    assert lines.count("answered") == 20
    assert lines.count("rejected") == 50
    assert "log_lines_left_out_total 80.0" in reporter.metrics.render().decode()


def test_an_unanswered_request_is_counted_and_logged_with_its_id(caplog):
    reporter = RequestReporter(metrics=HostMetrics())
    request = Request(
        method=b"GET",
        target=b"/",
        headers=((b"X-Lacewinglug-Request-Id", b"a7"),),
        received_s=10.0,
    )
    with caplog.at_level(logging.INFO):
        for _ in range(150):
            reporter.record_connection_end(EndReason.CUT, request, now_s=10.5)
        reporter.record_connection_end(EndReason.IDLE, None, now_s=10.5)
    assert len(caplog.records) == 100
    first = caplog.records[0]
    assert (first.request_id, first.reason, first.after_ms) == ("a7", "cut", 500)
    rendered = reporter.metrics.render().decode()
    assert 'unanswered_requests_total{reason="cut"} 150.0' in rendered
    assert 'connections_ended_total{reason="idle"} 1.0' in rendered


def test_a_trace_records_each_step_with_its_inputs():
    trace = RequestTrace(request_id="r", started_s=10.0)
    trace.add_step("place", now_s=10.25, runner="i-1", expected_ms=70)
    assert trace.steps == [
        {"step": "place", "after_ms": 250, "runner": "i-1", "expected_ms": 70}
    ]
