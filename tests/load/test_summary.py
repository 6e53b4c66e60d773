"""Tests of the summary of a load."""

import math

from lacewinglug.load.summary import (
    RequestResult,
    format_table,
    percentile,
    summarise,
)


def test_percentile_takes_the_nearest_rank():
    values = [float(value) for value in range(1, 101)]
    assert percentile(values, 50.0) == 50.0
    assert percentile(values, 99.0) == 99.0
    assert math.isnan(percentile([], 50.0))


def test_only_answered_requests_count_for_latency(snapshot):
    results = [
        RequestResult(kind="a", outcome="answered", latency_s=0.1),
        RequestResult(kind="a", outcome="not_run", latency_s=9.0),
        RequestResult(
            kind="b", outcome="answered", latency_s=0.2, first_token_s=0.1, tokens=2
        ),
    ]
    summary = summarise(results, seed=1, duration_s=1.0)
    assert format_table(summary) == snapshot
