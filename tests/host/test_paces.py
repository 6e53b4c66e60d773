"""Tests for the estimated slowdown of engines and links."""

from lacewinglug.host.paces import LinkSlowdown, PrefillSlowdown


def test_prefill_slowdown_follows_samples_within_bounds():
    slowdown = PrefillSlowdown()
    for _ in range(100):
        slowdown.add_sample(nominal_s=0.1, actual_s=1.0)
    assert slowdown.factor == 4.0
    for _ in range(100):
        slowdown.add_sample(nominal_s=0.1, actual_s=0.01)
    assert slowdown.factor == 0.8


def test_queueing_before_short_prefills_does_not_make_an_engine_slow():
    """40 ms in the queue are four times the duration of a short prefill."""
    slowdown = PrefillSlowdown()
    for _ in range(5):
        slowdown.add_sample(nominal_s=0.01, actual_s=0.05)
        slowdown.add_sample(nominal_s=0.5, actual_s=0.5)
    assert slowdown.factor < 1.2


def test_a_slow_engine_is_detected_after_a_few_prefills():
    slowdown = PrefillSlowdown()
    for _ in range(6):
        slowdown.add_sample(nominal_s=0.2, actual_s=0.8)
    assert slowdown.factor > 2.5


def test_link_slowdown_rises_after_two_transfers_and_falls_after_ten():
    slowdown = LinkSlowdown()
    for _ in range(2):
        slowdown.add_sample(nominal_s=0.07, actual_s=0.56)
    assert slowdown.factor > 4.0
    for _ in range(10):
        slowdown.add_sample(nominal_s=0.07, actual_s=0.07)
    assert slowdown.factor < 1.2


def test_short_transfers_do_not_change_link_slowdown():
    slowdown = LinkSlowdown()
    slowdown.add_sample(nominal_s=0.012, actual_s=0.2)
    assert slowdown.factor == 1.0
