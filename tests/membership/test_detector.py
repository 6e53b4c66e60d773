"""Tests of the failure detector's own rules."""

from lacewinglug.membership.detector import (
    AskOthers,
    FailureDetector,
    Reconnect,
    Suspect,
)


def advance_to(detector, end_s, *, heard=()):
    actions = []
    now_s = 0.0
    while now_s < end_s:
        now_s += 1.0
        for host in heard:
            detector.note_alive(host, now_s=now_s)
            detector.note_answer(host, now_s=now_s)
        actions += detector.advance(now_s=now_s)
    return actions


def watch(*hosts):
    detector = FailureDetector()
    detector.set_targets(hosts, now_s=0.0)
    return detector


def test_silence_is_met_by_a_new_connection_then_others_then_suspicion():
    actions = advance_to(watch("a", "b"), 5.0, heard=["b"])
    assert actions == [Reconnect(host="a"), AskOthers(host="a"), Suspect(host="a")]


def test_one_that_hears_nobody_suspects_nobody():
    actions = advance_to(watch("a", "b", "c"), 20.0)
    assert not any(isinstance(item, Suspect) for item in actions)


def test_one_that_was_paused_suspects_nobody():
    detector = watch("a", "b")
    detector.advance(now_s=1.0)
    assert detector.advance(now_s=60.0) == []


def test_connection_without_answers_is_replaced_though_the_host_is_alive():
    detector = watch("a")
    actions = []
    for second in range(1, 10):
        detector.note_alive("a", now_s=float(second))
        actions += detector.advance(now_s=float(second))
    assert actions == [Reconnect(host="a")] * 2
