"""Typed outcomes of a request, and how a caller sees them."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No byte of the request went to a runner.

    :param reason: why, in words.
    :param remedy: what the caller can do.
    :param retry_after_s: when to try again, in seconds.
    :param status: HTTP status.
    """

    reason: str
    remedy: str
    retry_after_s: float = 1.0
    status: int = 503


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeUnknown:
    """The request may have run; nobody can tell any more.

    :param reason: why, in words.
    :param remedy: what the caller can do.
    """

    reason: str
    remedy: str


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


class FailureBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a failed answer.

    :param outcome: ``not_run``, ``outcome_unknown`` or ``failed_while_running``.
    :param reason: why, in words.
    :param remedy: what the caller can do.
    :param retry_after_s: when to try again, in seconds; 0 for never.
    """

    outcome: str
    reason: str
    remedy: str
    retry_after_s: float


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
        case NotRun() | FailedWhileRunning():
            retry_after_s = failure.retry_after_s
        case OutcomeUnknown():
            retry_after_s = 0.0
    return FailureBody(
        outcome=outcome_name(failure),
        reason=failure.reason,
        remedy=failure.remedy,
        retry_after_s=retry_after_s,
    )
