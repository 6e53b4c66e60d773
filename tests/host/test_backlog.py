"""Tests for queueing times at an engine that finishes each prefill before the next."""

import pytest

from lacewinglug.host.backlog import PrefillBacklog


def make_backlog(*work):
    backlog = PrefillBacklog()
    for priority, work_s in work:
        backlog.add(priority, work_s, now_s=0.0)
    return backlog


def test_an_idle_engine_starts_at_once():
    assert make_backlog().wait_s(9, now_s=5.0) == 0.0


def test_an_urgent_prompt_waits_for_the_prefill_in_progress():
    assert make_backlog((5, 0.6)).wait_s(0, now_s=0.1) == pytest.approx(0.5)


def test_an_urgent_prompt_goes_before_queued_ones():
    backlog = make_backlog((5, 0.6), (5, 1.0), (0, 0.1))
    assert backlog.wait_s(0, now_s=0.0) == pytest.approx(0.7)
    assert backlog.wait_s(5, now_s=0.0) == pytest.approx(1.7)


def test_a_prefill_in_progress_is_not_preempted():
    backlog = make_backlog((0, 0.2), (5, 1.0))
    assert backlog.wait_s(0, now_s=0.3) == pytest.approx(0.9)
    backlog.add(0, 0.1, now_s=0.3)
    assert backlog.wait_s(0, now_s=0.3) == pytest.approx(1.0)


def test_the_wait_ends_when_all_prompts_are_prefilled():
    backlog = make_backlog((5, 0.6), (2, 0.3), (7, 0.1))
    assert backlog.wait_s(9, now_s=0.95) == pytest.approx(0.05)
    assert backlog.wait_s(9, now_s=1.1) == 0.0


def test_idle_time_is_not_credited():
    backlog = make_backlog((5, 0.2))
    backlog.add(5, 0.3, now_s=4.0)
    assert backlog.wait_s(5, now_s=4.0) == pytest.approx(0.3)
