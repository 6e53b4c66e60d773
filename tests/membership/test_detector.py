"""Tests of the failure detector."""

from lacewinglug.membership.detector import (
    FailureDetector,
    IndirectProbe,
    Reconnect,
    SuspectHost,
)


def run_until(detector, end_s, *, heard=()):
    actions = []
    now_s = 0.0
    while now_s < end_s:
        now_s += 1.0
        for host in heard:
            detector.record_alive(host, now_s=now_s)
            detector.record_reply(host, now_s=now_s)
        actions += detector.tick(now_s=now_s)
    return actions


def make_detector(*hosts):
    detector = FailureDetector()
    detector.set_targets(hosts, now_s=0.0)
    return detector


def test_silence_leads_to_reconnect_then_indirect_probe_then_suspicion():
    actions = run_until(make_detector("a", "b"), 5.0, heard=["b"])
    assert actions == [
        Reconnect(host="a"),
        IndirectProbe(host="a"),
        SuspectHost(host="a"),
    ]


def test_isolated_detector_suspects_no_host():
    actions = run_until(make_detector("a", "b", "c"), 20.0)
    assert not any(isinstance(item, SuspectHost) for item in actions)


def test_paused_detector_suspects_no_host():
    detector = make_detector("a", "b")
    detector.tick(now_s=1.0)
    assert detector.tick(now_s=60.0) == []


def test_connection_without_replies_is_replaced_even_if_the_host_is_alive():
    detector = make_detector("a")
    actions = []
    for second in range(1, 10):
        detector.record_alive("a", now_s=float(second))
        actions += detector.tick(now_s=float(second))
    assert actions == [Reconnect(host="a")] * 2
