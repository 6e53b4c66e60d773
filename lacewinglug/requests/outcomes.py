"""Failure types of a request and their representation in responses."""

from dataclasses import dataclass, replace
from typing import Literal

import msgspec

RepeatWith = Literal["", "same_key", "new_key"]


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request was not run, as no part of it was sent to a runner.

    :param reason: human-readable cause.
    :param remedy: human-readable advice to the caller.
    :param retry_after_s: delay before a retry, in seconds.
    :param status: HTTP status.
    :param repeat_with: key to retry a keyed call with; ``new_key`` means that the
        call will never run under its current key. Empty for a request without a key.
    """

    reason: str
    remedy: str
    retry_after_s: float = 1.0
    status: int = 503
    repeat_with: RepeatWith = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeUnknown:
    """The request may or may not have run.

    :param reason: human-readable cause.
    :param remedy: human-readable advice to the caller.
    :param retry_after_s: delay after which a retry may find the outcome, in seconds;
        0 if none will.
    :param repeat_with: ``same_key`` if a retry may find the outcome.
    """

    reason: str
    remedy: str
    retry_after_s: float = 0.0
    repeat_with: RepeatWith = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class FailedWhileRunning:
    """A runner received the request but did not complete it.

    :param reason: human-readable cause.
    :param remedy: human-readable advice to the caller.
    :param retry_after_s: delay before a retry, in seconds.
    """

    reason: str
    remedy: str
    retry_after_s: float = 1.0


RequestFailure = NotRun | OutcomeUnknown | FailedWhileRunning


def allow_same_key(refusal: NotRun) -> NotRun:
    """Return a refusal that lets the caller retry with the same key.

    A refusal that already requires a new key is returned unchanged.
    """
    return replace(refusal, repeat_with=refusal.repeat_with or "same_key")


class FailureBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response body of a failed request.

    :param outcome: ``not_run``, ``outcome_unknown`` or ``failed_while_running``.
    :param reason: human-readable cause.
    :param remedy: human-readable advice to the caller.
    :param retry_after_s: delay before a retry, in seconds; 0 if a retry cannot help.
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
    """Return the outcome name of a failure, as used in responses and reports."""
    match failure:
        case NotRun():
            return "not_run"
        case OutcomeUnknown():
            return "outcome_unknown"
        case FailedWhileRunning():
            return "failed_while_running"


def failure_body(failure: RequestFailure) -> FailureBody:
    """Return the response body of a failure."""
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
    """Return the failure for a response body and its HTTP status."""
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
