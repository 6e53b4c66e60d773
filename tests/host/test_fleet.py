"""The view of runners outlives outages of the store, and forgets what is gone."""

from lacewinglug.host.fleet import MOST_GONE, REGISTRATION_GRACE_S, FleetView
from tests.host.samples import make_runner


def names(view):
    return [entry.instance for entry in view.ready("app")]


def test_a_missing_entry_is_gone_at_once_while_the_store_answers():
    view = FleetView()
    view.update([make_runner("a"), make_runner("b")], now_s=0.0)
    view.update([make_runner("b")], now_s=1.0)
    assert names(view) == ["b"]


def test_entries_that_lapse_in_an_outage_hold_until_the_grace_is_over():
    view = FleetView()
    view.update([make_runner("a"), make_runner("b")], now_s=0.0)
    view.note_unavailable(now_s=1.0)
    assert names(view) == ["a", "b"]
    view.update([make_runner("b")], now_s=5.0)
    assert names(view) == ["a", "b"]
    view.update([make_runner("b")], now_s=5.0 + REGISTRATION_GRACE_S + 0.1)
    assert names(view) == ["b"]


def test_an_entry_that_returns_within_the_grace_stays():
    view = FleetView()
    view.update([make_runner("a")], now_s=0.0)
    view.note_unavailable(now_s=1.0)
    view.update([], now_s=5.0)
    view.update([make_runner("a")], now_s=6.0)
    view.update([make_runner("a")], now_s=9.0)
    assert names(view) == ["a"]


def test_a_draining_runner_does_not_come_back_in_the_same_incarnation():
    view = FleetView()
    view.update([make_runner("a", draining=True, born_ms=5)], now_s=0.0)
    view.update([make_runner("a", draining=False, born_ms=5)], now_s=1.0)
    assert names(view) == []
    view.update([make_runner("a", draining=False, born_ms=9)], now_s=2.0)
    assert names(view) == ["a"]


def test_a_reused_address_belongs_to_the_later_runner():
    view = FleetView()
    old = make_runner("a", address="10.0.0.1:80", born_ms=1)
    new = make_runner("b", address="10.0.0.1:80", born_ms=2)
    view.update([old, new], now_s=0.0)
    assert names(view) == ["b"]


def test_a_runner_that_drained_or_was_missed_after_an_outage_has_left():
    view = FleetView()
    view.update([make_runner("a", draining=True), make_runner("b")], now_s=0.0)
    assert view.has_left("a")
    assert not view.has_left("b")
    view.note_unavailable(now_s=1.0)
    view.update([], now_s=5.0)
    assert not view.has_left("b")
    view.update([], now_s=5.0 + REGISTRATION_GRACE_S + 0.1)
    assert view.has_left("a")
    assert view.has_left("b")


def test_a_runner_that_fell_silent_may_come_back():
    view = FleetView()
    view.update([make_runner("a"), make_runner("b", draining=True)], now_s=0.0)
    view.update([], now_s=1.0)
    assert not view.has_left("a")
    view.update([make_runner("b", born_ms=9)], now_s=2.0)
    view.update([], now_s=3.0)
    assert not view.has_left("b"), "it came back, and may have crashed"


def test_only_the_last_runners_that_left_are_remembered():
    view = FleetView()
    for number in range(MOST_GONE + 10):
        view.update([make_runner(f"r-{number}", draining=True)], now_s=2.0 * number)
        view.update([], now_s=2.0 * number + 1.0)
    assert not view.has_left("r-0")
    assert view.has_left(f"r-{MOST_GONE + 9}")
