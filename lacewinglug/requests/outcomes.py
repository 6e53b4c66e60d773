"""Typed outcomes of a request, and how a caller sees them."""

from dataclasses import dataclass, replace
from typing import Literal

import msgspec

RepeatWith = Literal["", "same_key", "new_key"]


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No byte of the request went to a runner.

    :param reason: why, in words.
    :param remedy: what the caller can do.
    :param retry_after_s: when to try again, in seconds.
    :param status: HTTP status.
    :param repeat_with: key to repeat a call with; ``new_key`` says that the call
        will never run under its old key, empty for a request without a key.
    """

    reason: str
    remedy: str
    retry_after_s: float = 1.0
    status: int = 503
    repeat_with: RepeatWith = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeUnknown:
    """The request may have run; the entry cannot tell.

    :param reason: why, in words.
    :param remedy: what the caller can do.
    :param retry_after_s: when a repeat may learn more, in seconds; 0 for never.
    :param repeat_with: ``same_key`` when a repeat may learn more.
    """

    reason: str
    remedy: str
    retry_after_s: float = 0.0
    repeat_with: RepeatWith = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class FailedWhileRunning:
    """A runner took the request and did not finish it.

    :param reason: why, in words.
    :param remedy: what the caller can do.
    :param retry_after_s: when to try again, in seconds.
    """

    reason: str
    remedy: str
    retry_after_s: float = 1.0


RequestFailure = NotRun | OutcomeUnknown | FailedWhileRunning


def open_key(refusal: NotRun) -> NotRun:
    """Return the refusal of one copy of a keyed call, which leaves the key open."""
    return replace(refusal, repeat_with=refusal.repeat_with or "same_key")


class FailureBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of a failed answer.

    :param outcome: ``not_run``, ``outcome_unknown`` or ``failed_while_running``.
    :param reason: why, in words.
    :param remedy: what the caller can do.
    :param retry_after_s: when to try again, in seconds; 0 for never.
    :param repeat_with: ``same_key`` or ``new_key`` for a keyed call.
    """

    outcome: str
    reason: str
    remedy: str
    retry_after_s: float
    repeat_with: RepeatWith = ""


def failure_status(failure: RequestFailure) -> int:
    """Return the HTTP status of a failure."""
    match failure:
        case NotRun(status=status):
            return status
        case OutcomeUnknown():
            return 504
        case FailedWhileRunning():
            return 502


def outcome_name(failure: RequestFailure) -> str:
    """Return the name of a failure's kind, as callers and reports see it."""
    match failure:
        case NotRun():
            return "not_run"
        case OutcomeUnknown():
            return "outcome_unknown"
        case FailedWhileRunning():
            return "failed_while_running"


def failure_body(failure: RequestFailure) -> FailureBody:
    """Return the body of a failed answer."""
    match failure:
        case NotRun() | OutcomeUnknown():
            repeat_with = failure.repeat_with
        case FailedWhileRunning():
            repeat_with = ""
    return FailureBody(
        outcome=outcome_name(failure),
        reason=failure.reason,
        remedy=failure.remedy,
        retry_after_s=failure.retry_after_s,
        repeat_with=repeat_with,
    )


def parse_failure(body: FailureBody, *, status: int) -> RequestFailure:
    """Return the failure that a body and its HTTP status describe."""
    match body.outcome:
        case "not_run":
            return NotRun(
                reason=body.reason,
                remedy=body.remedy,
                retry_after_s=body.retry_after_s,
                status=status,
                repeat_with=body.repeat_with,
            )
        case "failed_while_running":
            return FailedWhileRunning(
                reason=body.reason,
                remedy=body.remedy,
                retry_after_s=body.retry_after_s,
            )
        case _:
            return OutcomeUnknown(
                reason=body.reason,
                remedy=body.remedy,
                retry_after_s=body.retry_after_s,
                repeat_with=body.repeat_with,
            )
