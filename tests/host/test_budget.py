"""Tests that retries stay within a host's share of the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.budget import RetryBudget


def make_budget():
    return RetryBudget(ratio=0.2, slack=54.0, window_s=10.0)


@given(
    steps=st.lists(
        st.tuples(st.floats(0, 0.5), st.booleans()), min_size=1, max_size=300
    ),
    host_count=st.integers(1, 90),
)
def test_retries_never_exceed_the_hosts_share_in_any_window(steps, host_count):
    budget = make_budget()
    now_s = 0.0
    requests, retries = [], []
    for pause_s, retry in steps:
        now_s += pause_s
        budget.record_request(now_s=now_s)
        requests.append(now_s)
        if retry and budget.try_spend(now_s=now_s, host_count=host_count):
            retries.append(now_s)
            window_start = now_s - 10.0
            spent = sum(1 for item in retries if item > window_start)
            requested = sum(1 for item in requests if item > window_start)
            assert spent <= 0.2 * requested + 54.0 / host_count


def test_spent_retries_are_available_again_after_the_window():
    budget = make_budget()
    spent = 0
    while budget.try_spend(now_s=1.0, host_count=8):
        spent += 1
    assert spent == 4
    assert not budget.try_spend(now_s=10.9, host_count=8)
    assert budget.try_spend(now_s=11.1, host_count=8)
