"""Judges the evidence of a soak by the promises to callers and runners."""

from collections import Counter

from tests.soak.cuts import find_excuse, reached_limit
from tests.soak.records import Evidence, plain_answer, stream_answer

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
UNSETTLED_S = 4.0
"""Time after an unplanned fault in which a request may still be cut by it, in s;
the users' time after which a host counts as undisturbed."""


def judge(evidence: Evidence) -> list[str]:
    """Return each broken promise in a line."""
    judge_cuts = _judge_calm_cuts if evidence.calm else _judge_cuts
    return [
        *_judge_answers(evidence),
        *_judge_runs(evidence),
        *_judge_refusals(evidence),
        *judge_cuts(evidence),
        *evidence.errors,
        *[f"host {name} ended by itself" for name in evidence.exits],
        *[f"host {name} did not serve again" for name in evidence.unrecovered],
    ]


def _judge_answers(evidence):
    for item in evidence.sent:
        if item.status != 200:
            if item.status is not None and item.signature and item.status < 500:
                yield f"{item.request_id}: {item.status} with a runner's signature"
            continue
        whole = _expected(item)
        if not item.signature:
            yield f"{item.request_id}: success without a signature"
        if item.whole and item.answer != whole:
            yield f"{item.request_id}: wrong answer {item.answer[:80]!r}"
        if not item.whole and not whole.startswith(item.answer):
            yield f"{item.request_id}: wrong part of an answer {item.answer[:80]!r}"


def _expected(item):
    if item.kind.streams:
        return stream_answer(item.request_id, item.events)
    return plain_answer(item.request_id)


def _judge_runs(evidence):
    sent = {item.request_id: item for item in evidence.sent}
    times = Counter(run.request_id for run in evidence.runs)
    for run in evidence.runs:
        item = sent.get(run.request_id)
        if item is None:
            yield f"{run.request_id}: run though no client sent it"
        elif (item.target, item.body) != (run.target, run.body):
            yield f"{run.request_id}: run with another path or body"
    for request_id, count in times.items():
        item = sent.get(request_id)
        if item is not None and not item.kind.idempotent and count > 1:
            yield f"{request_id}: {item.kind.value} ran {count} times"


def _judge_refusals(evidence):
    ran = {run.request_id for run in evidence.runs}
    for item in evidence.sent:
        if (
            not item.kind.idempotent
            and item.status in NOT_RUN
            and item.request_id in ran
        ):
            yield f"{item.request_id}: answered {item.status} though it ran"


def _judge_cuts(evidence):
    """A request that reached a runner is answered whole but for unplanned faults.

    At its route's timeout it may be cut at any time.
    """
    ran = {run.request_id for run in evidence.runs}
    for item in evidence.sent:
        if item.whole or item.request_id not in ran or reached_limit(item, evidence):
            continue
        disturbed = any(
            fault.start_s <= item.ended_s <= fault.end_s + UNSETTLED_S
            for fault in evidence.faults
            if not fault.planned
        )
        if not disturbed:
            yield (
                f"{item.request_id}: {item.kind.value} cut at {item.ended_s:.2f} s by"
                f" {item.host} with no fault near"
            )


def _judge_calm_cuts(evidence):
    """A request that was sent whole is answered whole beside planned work."""
    for item in evidence.sent:
        if not item.whole and find_excuse(item, evidence) is None:
            yield (
                f"{item.request_id}: {item.target} cut after"
                f" {item.ended_s - item.sent_s:.2f} s by {item.host}"
            )
