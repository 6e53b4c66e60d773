"""HTTP client of runners."""

from collections.abc import AsyncGenerator, Collection
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import aiohttp
import msgspec

from lacewinglug.upstream.messages import (
    CallReply,
    EndLine,
    GenerateRequest,
    KvImport,
    KvImportReply,
    LoadReport,
    StreamLine,
    TokenLine,
)

KEY_HEADER = "Idempotency-Key"
ORGANISATION_HEADER = "X-Caller"
_POLL_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 65536

_line_decoder = msgspec.json.Decoder(TokenLine | EndLine)


class RunnerError(Exception):
    """A runner did not answer as its protocol says.

    :param message: what happened.
    :param sent: whether a byte of the request may have reached the runner.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class RunnerStatusError(RunnerError):
    """A runner took the request and answered with an error status.

    :param status: HTTP status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"answered status {status}", sent=True)
        self.status = status


class CallTransport(Protocol):
    """A way to send calls to plain services."""

    async def call(
        self,
        url: str,
        path: str,
        *,
        key: str,
        organisation: str,
        body: bytes,
        timeout_s: float,
        repeatable: bool,
    ) -> CallReply:
        """Send a call once and return its answer.

        :raises RunnerError: there is no answer to this call.
        """
        ...


async def fetch_body(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    timeout_s: float,
    data: bytes | None = None,
    statuses: Collection[int] = (HTTPStatus.OK,),
) -> bytes:
    """Return the body of a runner's answer.

    :param statuses: statuses of a whole answer.
    :raises RunnerError: the runner did not answer so.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(method, url, data=data, timeout=timeout) as response:
            body = await response.read()
    except aiohttp.ClientConnectorError as error:
        raise RunnerError(f"cannot connect: {error}", sent=False) from None
    except (aiohttp.ClientError, TimeoutError) as error:
        raise RunnerError(f"no answer: {error!r}", sent=True) from None
    if response.status not in statuses:
        raise RunnerError(f"answered status {response.status}", sent=True)
    return body


@dataclass(kw_only=True)
class RunnerClient:
    """Talks to engines and plain services over HTTP.

    :param session: HTTP client session.
    :param fresh_session: session that opens a connection for each request, for
        calls that may not be repeated; None to use ``session`` for all.
    """

    session: aiohttp.ClientSession
    fresh_session: aiohttp.ClientSession | None = None

    async def fetch_load(self, url: str) -> LoadReport:
        """Return the load report of a runner."""
        body = await fetch_body(
            self.session, "GET", f"{url}/load", timeout_s=_POLL_TIMEOUT_S
        )
        return msgspec.json.decode(body, type=LoadReport)

    async def call(
        self,
        url: str,
        path: str,
        *,
        key: str,
        organisation: str,
        body: bytes,
        timeout_s: float,
        repeatable: bool,
    ) -> CallReply:
        """Send a call to a plain service once and return its answer.

        A redirect is an error, as following it would send the call again. The
        HTTP library repeats no POST by itself. A call that may not be repeated
        gets a connection of its own, so none is lost on a stale one.

        :raises RunnerError: there is no answer to this call.
        """
        session = self.session
        if not repeatable and self.fresh_session is not None:
            session = self.fresh_session
        timeout = aiohttp.ClientTimeout(total=timeout_s, connect=_CONNECT_TIMEOUT_S)
        try:
            async with session.post(
                url + path,
                data=body,
                headers={KEY_HEADER: key, ORGANISATION_HEADER: organisation},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise RunnerError(f"cannot connect: {error}", sent=False) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            raise RunnerError(f"no answer: {error!r}", sent=True) from None
        if response.status != 200:
            raise RunnerStatusError(response.status)
        try:
            reply = msgspec.json.decode(content, type=CallReply)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise RunnerError(f"answer not understood: {error}", sent=True) from None
        if reply.key != key:
            raise RunnerError("the answer to another call", sent=True)
        return reply

    async def import_kv(
        self, url: str, message: KvImport, *, timeout_s: float
    ) -> KvImportReply:
        """Let an engine fetch a KV cache from another engine."""
        body = await fetch_body(
            self.session,
            "POST",
            f"{url}/kv",
            data=msgspec.json.encode(message),
            timeout_s=timeout_s,
        )
        try:
            return msgspec.json.decode(body, type=KvImportReply)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise RunnerError(f"answer not understood: {error}", sent=True) from None

    async def generate(
        self, url: str, message: GenerateRequest
    ) -> AsyncGenerator[list[StreamLine], None]:
        """Yield the lines of an engine's answer, those that came together at once.

        The caller of this method bounds the time between two batches.

        :raises RunnerError: the engine refused, or its stream broke.
        """
        timeout = aiohttp.ClientTimeout(total=None, connect=_CONNECT_TIMEOUT_S)
        try:
            async with self.session.post(
                f"{url}/generate", data=msgspec.json.encode(message), timeout=timeout
            ) as response:
                _check_status(response.status)
                rest = b""
                async for data in response.content.iter_any():
                    complete, newline, rest = (rest + data).rpartition(b"\n")
                    if len(rest) > MAX_LINE_BYTES:
                        raise RunnerError("a line is too long", sent=True)
                    if newline:
                        yield _line_decoder.decode_lines(complete)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise RunnerError(f"cannot connect: {error}", sent=False) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            raise RunnerError(f"stream broken: {error!r}", sent=True) from None
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise RunnerError(f"line not understood: {error}", sent=True) from None


def _check_status(status: int) -> None:
    """Raise for an engine that does not stream; 503 means that it took nothing."""
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise RunnerError("accepts no prompts now", sent=False)
    if status != HTTPStatus.OK:
        raise RunnerError(f"answered status {status}", sent=True)
