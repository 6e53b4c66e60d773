"""The paces of engines and links follow what was seen, within bounds."""

from lacewinglug.host.paces import LinkPace, ReadingPace


def test_a_slow_engine_gets_a_slower_pace_within_bounds():
    pace = ReadingPace()
    for _ in range(100):
        pace.note(computed_s=0.1, actual_s=1.0)
    assert pace.value == 4.0
    for _ in range(100):
        pace.note(computed_s=0.1, actual_s=0.01)
    assert pace.value == 0.8


def test_short_readings_that_waited_do_not_make_an_engine_slow():
    """Forty milliseconds of waiting are four times a short reading."""
    pace = ReadingPace()
    for _ in range(5):
        pace.note(computed_s=0.01, actual_s=0.05)
        pace.note(computed_s=0.5, actual_s=0.5)
    assert pace.value < 1.2


def test_an_engine_is_known_to_be_slow_after_a_few_readings():
    pace = ReadingPace()
    for _ in range(6):
        pace.note(computed_s=0.2, actual_s=0.8)
    assert pace.value > 2.5


def test_a_slow_link_is_known_after_two_moves_and_forgotten_after_some():
    pace = LinkPace()
    for _ in range(2):
        pace.note(computed_s=0.07, actual_s=0.56)
    assert pace.value > 4.0
    for _ in range(10):
        pace.note(computed_s=0.07, actual_s=0.07)
    assert pace.value < 1.2


def test_short_moves_say_nothing_of_a_link():
    pace = LinkPace()
    pace.note(computed_s=0.012, actual_s=0.2)
    assert pace.value == 1.0
