"""Tests of counting outcomes against objectives."""

from lacewinglug.config.objects import Fleet, Objective
from lacewinglug.report.recorder import OutcomeRecorder, RequestOutcome
from lacewinglug.report.windows import MAX_BAD_TALLIES, OTHER


def make_recorder():
    fleet = Fleet(
        objectives={
            "all": Objective(service="s", target_ratio=0.9),
            "fast": Objective(service="s", kind="a", target_ratio=0.9, latency_s=1.0),
        }
    )
    return OutcomeRecorder(host="entry-1", get_fleet=lambda: fleet)


def note(recorder, *, kind="a", outcome="answered", latency_s=0.5, runner="r"):
    recorder.note(
        RequestOutcome(
            service="s", kind=kind, runner=runner, outcome=outcome, latency_s=latency_s
        )
    )


def test_late_answer_is_bad_only_where_a_latency_is_stated():
    recorder = make_recorder()
    note(recorder, latency_s=2.0)
    note(recorder, kind="b", latency_s=2.0)
    by_name = {tally.objective: tally for tally in recorder.take()}
    assert (by_name["all"].total, by_name["all"].good) == (2, 2)
    assert (by_name["fast"].total, by_name["fast"].good) == (1, 0)
    assert by_name["fast"].bad[0].reason == "late"


def test_taking_the_counts_starts_anew():
    recorder = make_recorder()
    note(recorder, outcome="not_run")
    assert recorder.take()
    assert recorder.take() == ()


def test_small_origins_are_put_together():
    recorder = make_recorder()
    for number in range(MAX_BAD_TALLIES + 5):
        note(recorder, outcome="not_run", runner=f"r-{number:02}")
    bad = recorder.take()[0].bad
    assert len(bad) == MAX_BAD_TALLIES + 1
    assert (bad[-1].runner, bad[-1].count) == (OTHER, 5)
