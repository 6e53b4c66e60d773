"""HTTP responses that carry typed messages and failures."""

import math

import msgspec
from starlette.responses import Response

from lacewinglug.requests.outcomes import (
    NotRun,
    RequestFailure,
    failure_body,
    failure_status,
)

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
    """Return the refusal of a request that is not valid."""
    return NotRun(
        reason=f"the request is not valid: {reason}",
        remedy="correct the request; see docs/CALLERS.md",
        retry_after_s=0.0,
        status=400,
    )


def unknown_kind(service: str) -> NotRun:
    """Return the refusal of a request of no declared kind."""
    return NotRun(
        reason=f"service {service!r} has no such kind of request",
        remedy="use a service and kind of the configuration",
        retry_after_s=0.0,
        status=404,
    )
