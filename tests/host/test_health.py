"""Tests for the decay of samples and the backoff after failed connections."""

from lacewinglug.host.health import MAX_BACKOFF_S, MAX_PUSH_BACK_S, RunnerHealth
from lacewinglug.host.model import RunnerLoad


def test_backoff_grows_up_to_a_limit():
    health = RunnerHealth()
    backoffs = []
    for step in range(6):
        now_s = 10.0 * step
        health.record_unreachable(now_s=now_s)
        backoffs.append(health.blocked_until_s - now_s)
    assert backoffs == sorted(backoffs)
    assert backoffs[0] < backoffs[1]
    assert backoffs[-1] == MAX_BACKOFF_S
    health.record_result(failed=False, now_s=60.0)
    assert not health.is_blocked(60.0)


def test_the_failure_share_decays():
    health = RunnerHealth()
    for _ in range(10):
        health.record_result(failed=True, now_s=0.0)
    assert health.failure_share(0.0) > 0.8
    assert health.failure_share(30.0) < 0.05


def test_a_reported_load_excludes_own_requests_and_decays():
    health = RunnerHealth(outstanding=2)
    hint = RunnerLoad(running=5, queued=1, slots=6, slowdown=2.5)
    health.record_load(hint, now_s=0.0)
    assert health.estimated_requests(0.0) == 6
    assert health.slowness(0.0) == 2.5
    assert health.estimated_requests(10.0) < 2.1
    assert health.slowness(10.0) < 1.01


def test_a_pause_that_a_runner_asks_for_is_bounded_and_never_shortened():
    health = RunnerHealth()
    health.record_push_back(born_ms=1, retry_after_s=5.0, now_s=10.0)
    health.record_push_back(born_ms=1, retry_after_s=1.0, now_s=11.0)
    health.record_result(failed=False, now_s=11.5)
    assert health.push_back_left_s(1, 12.0) == 3.0
    assert health.is_pushing_back(12.0)
    assert health.push_back_left_s(1, 15.0) == 0.0
    assert not health.is_pushing_back(15.0)
    health.record_push_back(born_ms=1, retry_after_s=float("inf"), now_s=20.0)
    assert health.push_back_left_s(1, 20.0) == MAX_PUSH_BACK_S


def test_a_pause_belongs_to_one_incarnation():
    health = RunnerHealth()
    health.record_push_back(born_ms=1, retry_after_s=9.0, now_s=0.0)
    assert health.push_back_left_s(2, 0.0) == 0.0
    health.record_push_back(born_ms=2, retry_after_s=5.0, now_s=1.0)
    health.record_push_back(born_ms=1, retry_after_s=1.0, now_s=2.0)
    assert health.push_back_left_s(1, 2.0) == 7.0
    assert health.push_back_left_s(2, 2.0) == 4.0
