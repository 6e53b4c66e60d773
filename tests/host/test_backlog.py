"""Waits at an engine that reads each prompt to its end before it takes the next."""

import pytest

from lacewinglug.host.backlog import ReadingBacklog


def fill(*work):
    backlog = ReadingBacklog()
    for priority, work_s in work:
        backlog.add(priority, work_s, now_s=0.0)
    return backlog


def test_an_idle_engine_reads_at_once():
    assert fill().wait_s(9, now_s=5.0) == 0.0


def test_an_urgent_prompt_waits_for_the_one_that_is_read():
    assert fill((5, 0.6)).wait_s(0, now_s=0.1) == pytest.approx(0.5)


def test_an_urgent_prompt_goes_before_those_that_wait():
    backlog = fill((5, 0.6), (5, 1.0), (0, 0.1))
    assert backlog.wait_s(0, now_s=0.0) == pytest.approx(0.7)
    assert backlog.wait_s(5, now_s=0.0) == pytest.approx(1.7)


def test_a_prompt_that_was_begun_is_not_put_back():
    backlog = fill((0, 0.2), (5, 1.0))
    assert backlog.wait_s(0, now_s=0.3) == pytest.approx(0.9)
    backlog.add(0, 0.1, now_s=0.3)
    assert backlog.wait_s(0, now_s=0.3) == pytest.approx(1.0)


def test_waits_end_when_all_is_read():
    backlog = fill((5, 0.6), (2, 0.3), (7, 0.1))
    assert backlog.wait_s(9, now_s=0.95) == pytest.approx(0.05)
    assert backlog.wait_s(9, now_s=1.1) == 0.0


def test_an_idle_time_is_not_made_up_for():
    backlog = fill((5, 0.2))
    backlog.add(5, 0.3, now_s=4.0)
    assert backlog.wait_s(5, now_s=4.0) == pytest.approx(0.3)
