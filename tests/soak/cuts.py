"""Which cuts a soak of planned work counts, by the users' rule LOST."""

from enum import Enum

NOTICE_S = 3.0
"""Time after SIGTERM in which requests may still last until the host ends, in s."""
LAST_PART = 1 / 6
"""Part of the grace period at whose beginning a runner may still be at work."""
LOSS_SLACK_S = 0.2
"""Time after its last byte in which a request may cross a close, in s."""
CONFIG_APPLY_S = 2.5
"""Time that a host has to apply a configuration, in s."""
WAY_BACK_S = 0.03
"""Time before the client's deadline at which a host sends a final status, in s."""
STABLE_S = 4.0
"""Time that a disruption of the store still counts after its end, in s."""


class Excuse(Enum):
    """Why a cut does not count."""

    NOT_SENT = "not sent whole"
    CROSSED = "crossed a close"
    BROKEN_OFF = "runner broke off"
    TIMED_OUT = "deadline or timeout"
    GAVE_UP = "client gave up after its deadline"
    AT_WORK = "at work at the end of the grace period"
    STORE = "stream beside trouble of the store"


def find_excuse(item, evidence):
    """Return why a request that was cut does not count, None if it counts."""
    runs = [run for run in evidence.runs if run.request_id == item.request_id]
    if item.all_sent_s is None:
        return Excuse.NOT_SENT
    if not runs and item.ended_s - item.all_sent_s - item.paused_s <= LOSS_SLACK_S:
        return Excuse.CROSSED
    if any(run.broken_off for run in runs):
        return Excuse.BROKEN_OFF
    if reached_limit(item, evidence):
        return Excuse.TIMED_OUT
    if item.gave_up:
        return Excuse.GAVE_UP
    if _was_at_work(item, runs, evidence):
        return Excuse.AT_WORK
    if item.kind.streams and any(
        fault.start_s <= item.ended_s and item.sent_s <= fault.end_s + STABLE_S
        for fault in evidence.faults
        if not fault.planned
    ):
        return Excuse.STORE
    return None


def reached_limit(item, evidence):
    """Return whether a request lasted for its deadline or its route's timeout.

    Without a line in the log of its host, the longest timeout counts that may have been
    in force.
    """
    trace = evidence.traces.get(item.request_id)
    if trace is not None:
        timeouts_s = [
            published.timeouts_s[trace.route]
            for published in evidence.published
            if published.version == trace.version
            and trace.route in published.timeouts_s
        ]
        took_s = trace.took_s
    else:
        timeouts_s = _timeouts_in_force(item, evidence.published)
        took_s = item.ended_s - item.sent_s - item.paused_s
    deadline_s = item.deadline_s - (WAY_BACK_S if item.whole else 0.0)
    return took_s >= min(deadline_s, max(timeouts_s, default=float("inf")))


def _timeouts_in_force(item, published):
    """Return the timeouts that a request's route had while it was sent."""
    earliest_s = item.sent_s - CONFIG_APPLY_S
    first = max(
        (n for n, made in enumerate(published) if made.at_s <= earliest_s), default=0
    )
    return [
        made.timeouts_s[item.route]
        for made in published[first:]
        if made.at_s <= item.all_sent_s and item.route in made.timeouts_s
    ]


def _was_at_work(item, runs, evidence):
    for name, stopped_s in evidence.stops:
        if name != item.host or not stopped_s <= item.ended_s:
            continue
        last_part_s = stopped_s + evidence.grace_s * (1 - LAST_PART)
        if item.all_sent_s <= stopped_s + NOTICE_S and any(
            run.ended_s >= last_part_s for run in runs
        ):
            return True
    return False
