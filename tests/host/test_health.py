"""Samples of runners fade, and unreachable runners rest longer each time."""

from lacewinglug.host.health import LONGEST_BLOCK_S, RunnerHealth
from lacewinglug.host.model import RunnerLoad


def test_an_unreachable_runner_rests_longer_each_time_up_to_a_bound():
    health = RunnerHealth()
    rests = []
    for step in range(6):
        now_s = 10.0 * step
        health.note_unreachable(now_s=now_s)
        rests.append(health.blocked_until_s - now_s)
    assert rests == sorted(rests)
    assert rests[0] < rests[1]
    assert rests[-1] == LONGEST_BLOCK_S
    health.note_answer(failed=False, now_s=60.0)
    assert not health.blocked(60.0)


def test_the_belief_in_failures_fades():
    health = RunnerHealth()
    for _ in range(10):
        health.note_answer(failed=True, now_s=0.0)
    assert health.failure_share(0.0) > 0.8
    assert health.failure_share(30.0) < 0.05


def test_a_stated_load_leaves_out_own_requests_and_fades():
    health = RunnerHealth(outstanding=2)
    hint = RunnerLoad(running=5, queued=1, slots=6, slowdown=2.5)
    health.note_load(hint, now_s=0.0)
    assert health.in_use(0.0) == 6
    assert health.slowness(0.0) == 2.5
    assert health.in_use(10.0) < 2.1
    assert health.slowness(10.0) < 1.01
