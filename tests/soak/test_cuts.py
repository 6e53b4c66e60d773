"""The judge of calm runs counts a cut as the rule LOST does, by that request alone."""

from dataclasses import replace

import pytest

from tests.soak.cuts import Excuse, find_excuse
from tests.soak.judge import judge
from tests.soak.records import Evidence, Fault, Kind, Published, Run, Sent, Trace
from tests.soak.report import summarize

CUT = Sent(
    request_id="r",
    kind=Kind.STREAM,
    host="edge-1",
    target="/notes/1",
    body=b"hi",
    sent_s=10.0,
    all_sent_s=10.1,
    ended_s=12.0,
    deadline_s=6.0,
    status=200,
    signature="i-1",
)
CALL = replace(CUT, kind=Kind.UNSAFE, target="/unlock/1", status=None, signature="")
RUN = Run(request_id="r", instance="i-1", target="/notes/1", body=b"hi", ended_s=12.0)
TRACE = Trace(took_s=2.99, route="notes", version=2, gave_up=True)
STORE = Fault(name="store refuses", start_s=7.0, end_s=8.0)


def make_evidence(sent, runs, **fields):
    published = [
        Published(version=1, at_s=0.0, timeouts_s={"notes": 5.0, "unlock": 3.0}),
        Published(version=2, at_s=9.0, timeouts_s={"notes": 3.0, "unlock": 3.0}),
    ]
    return Evidence(
        calm=True, grace_s=8.0, sent=[sent], runs=runs, published=published, **fields
    )


@pytest.mark.parametrize(
    ("sent", "runs", "fields", "excuse"),
    [
        (CUT, [RUN], {}, None),
        (replace(CUT, all_sent_s=None), [RUN], {}, Excuse.NOT_SENT),
        (replace(CUT, ended_s=10.29), [], {}, Excuse.CROSSED),
        (replace(CUT, ended_s=10.31), [], {}, None),
        (replace(CUT, ended_s=11.29, paused_s=1.0), [], {}, Excuse.CROSSED),
        (replace(CUT, ended_s=10.3), [RUN], {}, None),
        (CUT, [replace(RUN, broken_off=True)], {}, Excuse.BROKEN_OFF),
        # Both versions may be in force, and only the log tells which one was.
        (replace(CUT, ended_s=13.0), [RUN], {}, None),
        (replace(CUT, ended_s=15.0), [RUN], {}, Excuse.TIMED_OUT),
        (replace(CUT, ended_s=13.0), [RUN], {"traces": {"r": TRACE}}, None),
        (
            replace(CUT, ended_s=13.0),
            [RUN],
            {"traces": {"r": replace(TRACE, took_s=3.0)}},
            Excuse.TIMED_OUT,
        ),
        (replace(CUT, deadline_s=2.0), [RUN], {}, Excuse.TIMED_OUT),
        (replace(CUT, deadline_s=2.01), [RUN], {}, None),
        # A host that reads a request late counts its time from then.
        (
            replace(CUT, ended_s=16.5, gave_up=True),
            [RUN],
            {"traces": {"r": replace(TRACE, took_s=1.85)}},
            Excuse.GAVE_UP,
        ),
        (replace(CALL, ended_s=13.0), [RUN], {}, Excuse.TIMED_OUT),
        (CUT, [RUN], {"faults": [STORE]}, Excuse.STORE),
        (CUT, [RUN], {"faults": [replace(STORE, end_s=5.9)]}, None),
        (CUT, [RUN], {"faults": [replace(STORE, planned=True)]}, None),
        (CALL, [RUN], {"faults": [STORE]}, None),
        (replace(CALL, kind=Kind.SAFE), [RUN], {"faults": [STORE]}, None),
        # The last sixth of a grace period of 8 s begins 6.67 s after SIGTERM.
        (CUT, [RUN], {"stops": [("edge-1", 5.3)]}, None),
        (CUT, [RUN], {"stops": [("edge-1", 7.2)]}, None),
        (
            CUT,
            [replace(RUN, ended_s=13.9)],
            {"stops": [("edge-1", 7.2)]},
            Excuse.AT_WORK,
        ),
        (CUT, [replace(RUN, ended_s=13.9)], {"stops": [("edge-1", 7.0)]}, None),
        (CUT, [replace(RUN, ended_s=13.9)], {"stops": [("edge-2", 7.2)]}, None),
        (CUT, [], {"stops": [("edge-1", 7.2)]}, None),
    ],
)
def test_excuses(sent, runs, fields, excuse):
    evidence = make_evidence(sent, runs, **fields)
    assert find_excuse(sent, evidence) is excuse
    assert any("cut after" in line for line in judge(evidence)) is (excuse is None)


def test_timed_out_streams_are_reported_by_cause():
    sent = replace(CUT, ended_s=13.0)
    trace = replace(TRACE, took_s=3.0)
    summary = summarize(make_evidence(sent, [RUN], traces={"r": trace}))
    assert summary.timed_out == {"engine given up": 1}
    trace = replace(trace, gave_up=False)
    summary = summarize(make_evidence(sent, [RUN], traces={"r": trace}))
    assert summary.timed_out == {"silences alone": 1}
    assert (summary.streams, summary.cuts) == (1, 0)
    assert summary.excused == {Excuse.TIMED_OUT.value: 1}


def test_other_runs_allow_a_cut_at_the_timeout_of_the_route():
    """Regression test: a late engine of a busy machine let seed 20 fail."""
    evidence = make_evidence(replace(CUT, ended_s=15.0), [RUN])
    evidence.calm = False
    assert judge(evidence) == []
    evidence.sent = [replace(CUT, ended_s=14.9)]
    assert judge(evidence)
