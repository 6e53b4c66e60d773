"""What a request's state allows: retries, resumption and 503 responses."""

import pytest

from lacewinglug.charts import ChartError, load_chart
from lacewinglug.host.life import RequestLifecycle

CHART = load_chart("request")


def request_after(*events, idempotent=False):
    lifecycle = RequestLifecycle(idempotent=idempotent)
    for event in events:
        lifecycle.apply(event)
    return lifecycle


def test_a_rejected_request_did_not_run():
    lifecycle = request_after("send", "reject")
    assert lifecycle.not_executed
    assert lifecycle.may_send


def test_a_lost_request_is_retried_only_if_idempotent():
    assert not request_after("send", "lose").may_send
    assert not request_after("send", "lose").not_executed
    assert request_after("send", "lose", idempotent=True).may_send


def test_a_rejected_retry_may_still_have_run():
    lifecycle = request_after("send", "lose", "send", "reject", idempotent=True)
    assert not lifecycle.not_executed
    assert lifecycle.chart_state == "unknown"


def test_an_interrupted_stream_is_resumed_only_if_idempotent():
    events = ("send", "answer", "relay", "lose")
    assert not request_after(*events).may_send
    assert request_after(*events, idempotent=True).may_send
    assert not request_after(*events).response_not_started


@pytest.mark.parametrize("state", sorted(CHART.states))
def test_only_the_initial_state_guarantees_that_nothing_ran(state):
    lifecycle = RequestLifecycle(idempotent=False, chart_state=state)
    assert lifecycle.not_executed == (state == "read")
    assert lifecycle.may_send == (state == "read")


def test_an_ended_request_is_not_sent():
    with pytest.raises(ChartError):
        request_after("end", "send")
