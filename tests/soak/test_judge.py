"""The judge of the soak sees each broken promise, and nothing else."""

from dataclasses import replace

import pytest

from tests.soak.judge import judge
from tests.soak.records import (
    EVENTS,
    Evidence,
    Fault,
    Kind,
    Run,
    Sent,
    plain_answer,
    stream_answer,
)


def answered(kind=Kind.UNSAFE, **fields):
    body = stream_answer("r", EVENTS) if kind.streams else plain_answer("r")
    sent = Sent(
        request_id="r",
        kind=kind,
        host="edge-1",
        target="/x/1",
        body=b"hi",
        ended_s=9.0,
        status=200,
        signature="i-1",
        answer=body,
        whole=True,
    )
    return replace(sent, **fields)


RUN = Run(request_id="r", instance="i-1", target="/x/1", body=b"hi")


@pytest.mark.parametrize("kind", list(Kind))
def test_a_sound_request_breaks_nothing(kind):
    assert judge(Evidence(sent=[answered(kind)], runs=[RUN])) == []


@pytest.mark.parametrize(
    ("sent", "runs"),
    [
        (answered(signature=""), [RUN]),
        (answered(answer=b"done other"), [RUN]),
        (answered(), [RUN, RUN]),
        (answered(Kind.STREAM), [RUN, RUN]),
        (answered(status=503, signature="", answer=b""), [RUN]),
        (answered(), [replace(RUN, body=b"other")]),
        (answered(), [replace(RUN, target="/other")]),
        (answered(), [RUN, replace(RUN, request_id="smuggled")]),
        (answered(status=None, whole=False), [RUN]),
        (answered(Kind.STREAM, answer=stream_answer("r", EVENTS)[:-9]), [RUN]),
        (answered(Kind.STREAM, answer=b"id: 2\n", whole=False), [RUN]),
    ],
)
def test_a_broken_promise_is_seen(sent, runs):
    assert judge(Evidence(sent=[sent], runs=runs))


def test_a_cut_is_borne_near_an_unplanned_fault_only():
    evidence = Evidence(
        sent=[answered(status=None, whole=False, answer=b"")], runs=[RUN]
    )
    fault = Fault(name="kill edge-1", start_s=8.0, end_s=8.5)
    evidence.faults = [replace(fault, planned=True)]
    assert judge(evidence)
    evidence.faults = [fault]
    assert judge(evidence) == []
    evidence.faults = [replace(fault, start_s=1.0, end_s=2.0)]
    assert judge(evidence)


def test_a_repeat_of_an_idempotent_request_is_allowed():
    assert judge(Evidence(sent=[answered(Kind.RESUMABLE)], runs=[RUN, RUN])) == []


def test_an_end_of_a_host_and_a_host_that_stays_away_are_seen():
    assert len(judge(Evidence(exits=["edge-1"], unrecovered=["edge-2"]))) == 2
