"""HTTP responses with typed messages and failures."""

import math

import msgspec
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from lacewinglug.requests.outcomes import (
    NotRun,
    OutcomeUnknown,
    RequestFailure,
    failure_body,
    failure_status,
)

ADDRESSES_HEADER = "X-Entry-Addresses"
_UNAUTHORIZED = 401


def message_response(message: object, *, status_code: int = 200) -> Response:
    """Return a message as a JSON response."""
    return Response(
        msgspec.json.encode(message),
        status_code=status_code,
        media_type="application/json",
    )


def failure_response(failure: RequestFailure) -> Response:
    """Return the response to a failed request."""
    body = failure_body(failure)
    response = message_response(body, status_code=failure_status(failure))
    if body.retry_after_s > 0:
        response.headers["Retry-After"] = str(math.ceil(body.retry_after_s))
    if response.status_code == _UNAUTHORIZED:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


def bad_request(reason: str) -> NotRun:
    """Return the refusal of an invalid request."""
    return NotRun(
        reason=f"the request is not valid: {reason}",
        remedy="correct the request; see docs/CALLERS.md",
        retry_after_s=0.0,
        status=400,
    )


def unknown_kind(service: str) -> NotRun:
    """Return the refusal of an undeclared service or request kind."""
    return NotRun(
        reason=f"service {service!r} has no such kind of request",
        remedy="use a service and kind of the configuration",
        retry_after_s=0.0,
        status=404,
    )


async def handle_http_error(request: Request, error: Exception) -> Response:
    """Respond to a request for an unknown path or method."""
    assert isinstance(error, HTTPException)
    refusal = NotRun(
        reason=f"{request.method} {request.url.path}: {error.detail}",
        remedy="use a path and method of docs/CALLERS.md",
        retry_after_s=0.0,
        status=error.status_code,
    )
    return failure_response(refusal)


async def handle_internal_error(request: Request, error: Exception) -> Response:
    """Respond to a request whose handler raised; the server logs the error."""
    failure = OutcomeUnknown(
        reason="the entry host failed while it handled the request",
        remedy="ask the service for the state before calling again",
    )
    return failure_response(failure)


def no_load_report() -> NotRun:
    """Return the refusal of a prompt before the first load report of a runner."""
    return NotRun(
        reason="the entry host has no load report of a runner yet",
        remedy="send it again after the retry time, or to another entry host",
    )
