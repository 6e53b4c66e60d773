"""Limits that every request passes before its handler sees it."""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

from starlette.requests import Request
from starlette.responses import Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from lacewinglug.entry.connection import DISCARD_TIMEOUT_S, MAX_HEADER_BYTES
from lacewinglug.entry.intake import CALLER_HEADER, INCARNATION_HEADER, Intake
from lacewinglug.entry.responses import ADDRESSES_HEADER, failure_response
from lacewinglug.requests.keys import MintedKey
from lacewinglug.requests.outcomes import NotRun, OutcomeUnknown, allow_same_key
from lacewinglug.settings import EntrySettings
from lacewinglug.upstream.client import KEY_HEADER

INTERNAL_PATH = "/internal/"
_CALLER = CALLER_HEADER.lower().encode()
_KEY = KEY_HEADER.lower().encode()
_INCARNATION = INCARNATION_HEADER.lower().encode()
_LENGTH = b"content-length"
_CLOSING_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
)


class RefusedError(Exception):
    """A request broke a limit while it arrived.

    :param refusal: what to tell the caller.
    """

    def __init__(self, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


def refusal_response(refusal: NotRun) -> Response:
    """Return the response to a request that broke a limit."""
    response = failure_response(refusal)
    if refusal.status in _CLOSING_STATUSES:
        response.headers["Connection"] = "close"
    return response


async def handle_refused(request: Request, error: Exception) -> Response:
    """Answer a request that broke a limit while its handler read it."""
    assert isinstance(error, RefusedError)
    return refusal_response(error.refusal)


@dataclass(kw_only=True)
class Gate:
    """Owns the count of requests in progress and refuses what is over a limit.

    :param app: the application behind the gate.
    :param intake: what the handlers share.
    :param settings: the limits.
    :param refusing: whether new work is refused since the host shuts down.
    :param addresses: entry addresses to use instead.
    """

    app: ASGIApp
    intake: Intake
    settings: EntrySettings
    refusing: bool = False
    addresses: list[str] = field(default_factory=list)
    _active: Counter[str] = field(default_factory=Counter)
    _tasks: "dict[asyncio.Task[None], bool]" = field(default_factory=dict)

    @property
    def active(self) -> int:
        """Requests in progress that are work."""
        return len(self._tasks)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass a request on, or refuse it."""
        if scope["type"] != "http" or scope["method"] == "GET":
            await self.app(scope, receive, send)
            return
        headers = dict(scope["headers"])
        organisation = headers.get(_CALLER, b"").decode("latin-1")
        refusal = None
        if not scope["path"].startswith(INTERNAL_PATH):
            refusal = self._find_refusal(headers, organisation)
        if refusal is not None:
            await _discard_body(receive)
            await self._refuse(refusal, scope, receive, send)
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = False
        self._active[organisation] += 1
        try:
            await self._pass(scope, receive, send, task)
        finally:
            del self._tasks[task]
            self._active[organisation] -= 1
            if not self._active[organisation]:
                del self._active[organisation]

    def end_all(self) -> None:
        """End every request in progress with a typed failure."""
        for task in self._tasks:
            self._tasks[task] = True
            task.cancel()

    async def _pass(
        self, scope: Scope, receive: Receive, send: Send, task: "asyncio.Task[None]"
    ) -> None:
        body = _BodyReceiver(receive=receive, settings=self.settings)
        try:
            await self.app(scope, body, send)
        except asyncio.CancelledError:
            if not self._tasks[task]:
                raise
            task.uncancel()
            self.intake.metrics.count("requests.ended_by_shutdown")
            failure = OutcomeUnknown(
                reason="the entry host reached the deadline of its shutdown",
                remedy="ask the service for the state before calling again",
            )
            await failure_response(failure)(scope, receive, send)

    async def _refuse(
        self, refusal: NotRun, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self.intake.metrics.count(f"requests.refused.{int(refusal.status)}")
        if any(name == _KEY for name, _ in scope["headers"]):
            refusal = allow_same_key(refusal)
        response = refusal_response(refusal)
        if refusal.status == HTTPStatus.SERVICE_UNAVAILABLE:
            response.headers[ADDRESSES_HEADER] = ", ".join(self.addresses)
        if self.refusing:
            response.headers["Connection"] = "close"
        await response(scope, receive, send)

    def _find_refusal(
        self, headers: dict[bytes, bytes], organisation: str
    ) -> NotRun | None:
        """Return why a request is not taken, None where it is."""
        if self.refusing and not self._owns_key(headers):
            return NotRun(
                reason="the entry host is shutting down",
                remedy=f"send it to {' or '.join(self.addresses) or 'another host'}",
                retry_after_s=0.0,
            )
        if self.intake.view.revision == 0:
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
        length = headers.get(_LENGTH, b"")
        if length.isdigit() and int(length) > self.settings.max_body_bytes:
            return _too_large(self.settings)
        if self.active >= self.settings.max_concurrent_requests:
            return NotRun(
                reason="the entry host is at its limit of concurrent requests",
                remedy="send it again after the retry time, or to another entry host",
            )
        return self._check_organisation(organisation)

    def _check_organisation(self, organisation: str) -> NotRun | None:
        """Return a refusal where an organisation has too much in progress."""
        item = self.intake.view.fleet.organisations.get(organisation)
        if item is None or self._active[organisation] < item.max_concurrent_requests:
            return None
        return NotRun(
            reason=f"{organisation!r} has {self._active[organisation]} requests in "
            "progress at this entry host, its limit",
            remedy="wait for answers, or ask the operators for a higher limit",
            status=HTTPStatus.TOO_MANY_REQUESTS,
        )

    def _owns_key(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether only this process can answer a call's key."""
        incarnation = self.intake.ids.incarnation
        if headers.get(_INCARNATION, b"").decode("latin-1") == incarnation:
            return True
        minted = MintedKey.parse(headers.get(_KEY, b"").decode("latin-1"))
        return minted is not None and minted.minted_id.incarnation == incarnation


@dataclass(kw_only=True)
class _BodyReceiver:
    """Receives the body of one request within its bounds.

    :param receive: the server's own function.
    :param settings: the bounds.
    """

    receive: Receive
    settings: EntrySettings
    received_bytes: int = 0
    whole: bool = False

    async def __call__(self) -> Message:
        """Return the next part of the body, or the caller's disconnect."""
        if self.whole:
            return await self.receive()
        try:
            async with asyncio.timeout(self.settings.receive_timeout_s):
                message = await self.receive()
        except TimeoutError:
            raise RefusedError(
                NotRun(
                    reason="the request's body did not arrive in time",
                    remedy="send the whole body at once",
                    status=HTTPStatus.REQUEST_TIMEOUT,
                )
            ) from None
        self.received_bytes += len(message.get("body", b""))
        if self.received_bytes > self.settings.max_body_bytes:
            await _discard_body(self.receive)
            raise RefusedError(_too_large(self.settings))
        self.whole = not message.get("more_body", False)
        return message


async def _discard_body(receive: Receive) -> None:
    """Read the rest of a body for a while, so that its sender reads the answer."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DISCARD_TIMEOUT_S):
            while (await receive()).get("more_body", False):
                pass


def _too_large(settings: EntrySettings) -> NotRun:
    return NotRun(
        reason="the request's body is too large",
        remedy=f"send at most {settings.max_body_bytes} bytes",
        retry_after_s=0.0,
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
