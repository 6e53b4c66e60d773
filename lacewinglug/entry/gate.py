"""ASGI middleware that enforces request limits before the handlers run."""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

from starlette.requests import Request
from starlette.responses import Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from lacewinglug.entry.connection import DISCARD_TIMEOUT_S, MAX_HEADER_BYTES
from lacewinglug.entry.intake import CALLER_HEADER, INCARNATION_HEADER, HandlerContext
from lacewinglug.entry.responses import ADDRESSES_HEADER, failure_response
from lacewinglug.requests.keys import MintedKey
from lacewinglug.requests.outcomes import NotRun, OutcomeUnknown, allow_same_key
from lacewinglug.settings import EntrySettings
from lacewinglug.upstream.client import KEY_HEADER

INTERNAL_PATH = "/internal/"
_CALLER_FIELD = CALLER_HEADER.lower().encode()
_KEY_FIELD = KEY_HEADER.lower().encode()
_INCARNATION_FIELD = INCARNATION_HEADER.lower().encode()
_CONTENT_LENGTH_FIELD = b"content-length"
_CLOSING_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
)


class RequestRefusedError(Exception):
    """A request exceeded a limit while its body was received.

    :param refusal: the refusal for the caller.
    """

    def __init__(self, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


def refusal_response(refusal: NotRun) -> Response:
    """Return the response to a request that exceeded a limit."""
    response = failure_response(refusal)
    if refusal.status in _CLOSING_STATUSES:
        response.headers["Connection"] = "close"
    return response


async def handle_refused_request(request: Request, error: Exception) -> Response:
    """Respond to a request that exceeded a limit while its handler read the body."""
    assert isinstance(error, RequestRefusedError)
    return refusal_response(error.refusal)


@dataclass(kw_only=True)
class RequestLimiter:
    """Counts requests in progress and refuses those over a limit.

    GET requests are neither limited nor counted. Requests under ``INTERNAL_PATH``
    skip the checks on arrival; only the limits on receiving the body apply.

    :param app: the wrapped application.
    :param context: state that the request handlers share.
    :param settings: the limits.
    :param refuses_new_requests: whether new requests are refused because the host
        shuts down; calls with a key of this process are still accepted.
    :param other_urls: URLs of other entries that refused callers may use.
    """

    app: ASGIApp
    context: HandlerContext
    settings: EntrySettings
    refuses_new_requests: bool = False
    other_urls: list[str] = field(default_factory=list)
    _active_by_organisation: Counter[str] = field(default_factory=Counter)
    # Tasks of requests in progress; the value tells whether cancel_all cancelled it.
    _tasks: "dict[asyncio.Task[None], bool]" = field(default_factory=dict)

    @property
    def active_requests(self) -> int:
        """Number of requests in progress, GET requests excluded."""
        return len(self._tasks)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward a request to the application, or refuse it."""
        if scope["type"] != "http" or scope["method"] == "GET":
            await self.app(scope, receive, send)
            return
        headers = dict(scope["headers"])
        organisation = headers.get(_CALLER_FIELD, b"").decode("latin-1")
        refusal = None
        if not scope["path"].startswith(INTERNAL_PATH):
            refusal = self._check_limits(headers, organisation)
        if refusal is not None:
            await _discard_body(receive)
            await self._refuse(refusal, scope, receive, send)
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = False
        self._active_by_organisation[organisation] += 1
        try:
            await self._run_app(scope, receive, send, task)
        finally:
            del self._tasks[task]
            self._active_by_organisation[organisation] -= 1
            if not self._active_by_organisation[organisation]:
                del self._active_by_organisation[organisation]

    def cancel_all(self) -> None:
        """Cancel every request in progress; each responds with a typed failure."""
        for task in self._tasks:
            self._tasks[task] = True
            task.cancel()

    async def _run_app(
        self, scope: Scope, receive: Receive, send: Send, task: "asyncio.Task[None]"
    ) -> None:
        body = _BodyReceiver(receive=receive, settings=self.settings)
        try:
            await self.app(scope, body, send)
        except asyncio.CancelledError:
            if not self._tasks[task]:
                raise
            task.uncancel()
            self.context.metrics.count("requests.ended_by_shutdown")
            failure = OutcomeUnknown(
                reason="the entry host reached the deadline of its shutdown",
                remedy="ask the service for the state before calling again",
            )
            await failure_response(failure)(scope, receive, send)

    async def _refuse(
        self, refusal: NotRun, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self.context.metrics.count(f"requests.refused.{int(refusal.status)}")
        if any(name == _KEY_FIELD for name, _ in scope["headers"]):
            refusal = allow_same_key(refusal)
        response = refusal_response(refusal)
        if refusal.status == HTTPStatus.SERVICE_UNAVAILABLE:
            response.headers[ADDRESSES_HEADER] = ", ".join(self.other_urls)
        if self.refuses_new_requests:
            response.headers["Connection"] = "close"
        await response(scope, receive, send)

    def _check_limits(
        self, headers: dict[bytes, bytes], organisation: str
    ) -> NotRun | None:
        """Return the refusal of a request over a limit, or None."""
        if self.refuses_new_requests and not self._is_key_owner(headers):
            return NotRun(
                reason="the entry host is shutting down",
                remedy=f"send it to {' or '.join(self.other_urls) or 'another host'}",
                retry_after_s=0.0,
            )
        if self.context.view.revision == 0:
            return NotRun(
                reason="the entry host has no configuration yet",
                remedy="send it again after the retry time, or to another entry host",
            )
        if (
            sum(len(name) + len(value) for name, value in headers.items())
            > MAX_HEADER_BYTES
        ):
            return NotRun(
                reason="the request's headers are too large",
                remedy=f"send at most {MAX_HEADER_BYTES} bytes of headers",
                retry_after_s=0.0,
                status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
        length = headers.get(_CONTENT_LENGTH_FIELD, b"")
        if length.isdigit() and int(length) > self.settings.max_body_bytes:
            return _body_too_large(self.settings)
        if self.active_requests >= self.settings.max_concurrent_requests:
            return NotRun(
                reason="the entry host is at its limit of concurrent requests",
                remedy="send it again after the retry time, or to another entry host",
            )
        return self._check_organisation(organisation)

    def _check_organisation(self, organisation: str) -> NotRun | None:
        """Return the refusal of an organisation at its concurrency limit, or None."""
        declared = self.context.view.fleet.organisations.get(organisation)
        if (
            declared is None
            or self._active_by_organisation[organisation]
            < declared.max_concurrent_requests
        ):
            return None
        return NotRun(
            reason=f"{organisation!r} has {self._active_by_organisation[organisation]} "
            "requests in progress at this entry host, its limit",
            remedy="wait for answers, or ask the operators for a higher limit",
            status=HTTPStatus.TOO_MANY_REQUESTS,
        )

    def _is_key_owner(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether only this process can answer the key of a call."""
        incarnation = self.context.ids.incarnation
        if headers.get(_INCARNATION_FIELD, b"").decode("latin-1") == incarnation:
            return True
        minted = MintedKey.parse(headers.get(_KEY_FIELD, b"").decode("latin-1"))
        return minted is not None and minted.minted_id.incarnation == incarnation


@dataclass(kw_only=True)
class _BodyReceiver:
    """Receives a request body within the size and time limits.

    :param receive: ASGI receive function of the server.
    :param settings: the limits.
    """

    receive: Receive
    settings: EntrySettings
    received_bytes: int = 0
    is_complete: bool = False

    async def __call__(self) -> Message:
        """Return the next part of the body, or the disconnect message."""
        if self.is_complete:
            return await self.receive()
        try:
            async with asyncio.timeout(self.settings.receive_timeout_s):
                message = await self.receive()
        except TimeoutError:
            raise RequestRefusedError(
                NotRun(
                    reason="the request's body did not arrive in time",
                    remedy="send the whole body at once",
                    status=HTTPStatus.REQUEST_TIMEOUT,
                )
            ) from None
        self.received_bytes += len(message.get("body", b""))
        if self.received_bytes > self.settings.max_body_bytes:
            await _discard_body(self.receive)
            raise RequestRefusedError(_body_too_large(self.settings))
        self.is_complete = not message.get("more_body", False)
        return message


async def _discard_body(receive: Receive) -> None:
    """Read and discard the rest of a body for a limited time.

    Closing with unread data would reset the connection, and the sender could lose
    the response.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DISCARD_TIMEOUT_S):
            while (await receive()).get("more_body", False):
                pass


def _body_too_large(settings: EntrySettings) -> NotRun:
    return NotRun(
        reason="the request's body is too large",
        remedy=f"send at most {settings.max_body_bytes} bytes",
        retry_after_s=0.0,
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
