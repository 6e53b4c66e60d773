"""A caller's side: asks for entry addresses, sends prompts and calls."""

import asyncio
import itertools
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass, field

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lacewinglug.clock import Clock, SystemClock
from lacewinglug.entry.authentication import AUTHORIZATION_HEADER
from lacewinglug.entry.calls import KeyReply
from lacewinglug.entry.intake import CALLER_HEADER, REGION_HEADER
from lacewinglug.entry.responses import ADDRESSES_HEADER
from lacewinglug.membership.addresses import EntryAddresses
from lacewinglug.requests.answers import (
    AnswerEnd,
    AnswerHeartbeat,
    AnswerToken,
    PromptBody,
)
from lacewinglug.requests.outcomes import FailureBody
from lacewinglug.upstream.client import KEY_HEADER
from lacewinglug.upstream.messages import CallReply

_ADDRESS_LISTS = 3
_SHORT_TIMEOUT = aiohttp.ClientTimeout(total=5.0, connect=2.0)
_STREAM_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=2.0, sock_read=7.0)

SETTLE_TIMEOUT_S = 30.0
"""Time for which a call without a settled outcome is repeated, in s; longer than
the restart of an entry host."""
_REPEAT_DELAY_S = 1.0
_part_decoder = msgspec.json.Decoder(AnswerToken | AnswerHeartbeat | AnswerEnd)


class AnswerFailedError(Exception):
    """The answer ended with a typed failure.

    :param body: the failure as the entry told it.
    """

    def __init__(self, body: FailureBody) -> None:
        super().__init__(f"{body.outcome}: {body.reason}; {body.remedy}")
        self.body = body


class _NextEntryError(Exception):
    """An entry host gave nothing of the answer, so another one may.

    :param cause: what to raise when there is no other.
    """

    def __init__(self, *, cause: Exception) -> None:
        super().__init__(str(cause))
        self.cause = cause


def _decode_part(line: bytes) -> AnswerToken | AnswerHeartbeat | AnswerEnd:
    """Return a line of an answer, or raise the failure that it carries."""
    try:
        return _part_decoder.decode(line)
    except msgspec.ValidationError:
        body = msgspec.json.decode(line, type=FailureBody)
        raise AnswerFailedError(body) from None


async def _read_refusal(response: aiohttp.ClientResponse) -> Exception:
    """Return the error of an answer without a stream."""
    body = msgspec.json.decode(await response.read(), type=FailureBody)
    error = AnswerFailedError(body)
    if ADDRESSES_HEADER in response.headers:
        return _NextEntryError(cause=error)
    return error


@dataclass(kw_only=True)
class CallerClient:
    """Sends requests of one organisation.

    :param session: HTTP client session.
    :param entry_url: any entry host, to ask for addresses.
    :param organisation: name of the organisation.
    :param region: region of the caller.
    :param key: key of the organisation, empty where none is declared.
    :param clock: source of time.
    """

    session: aiohttp.ClientSession
    entry_url: str
    organisation: str
    region: str
    key: str = field(default="", repr=False)
    clock: Clock = field(default_factory=SystemClock)
    addresses: list[str] = field(default_factory=list)
    _keep_until_s: float = 0.0
    _refresh: asyncio.Lock = field(default_factory=asyncio.Lock)

    def _headers(self) -> dict[str, str]:
        headers = {CALLER_HEADER: self.organisation, REGION_HEADER: self.region}
        if self.key:
            headers[AUTHORIZATION_HEADER] = f"Bearer {self.key}"
        return headers

    async def fetch_addresses(self) -> EntryAddresses:
        """Ask which entry hosts to use, and keep the answer for its time to live.

        :raises aiohttp.ClientError: no known entry host answers.
        """
        error: aiohttp.ClientError | None = None
        reply: EntryAddresses | None = None
        for base_url in dict.fromkeys((*self.addresses, self.entry_url)):
            try:
                reply = await self._fetch_from(base_url)
            except TimeoutError:
                error = aiohttp.ServerTimeoutError(f"{base_url} does not answer")
            except aiohttp.ClientError as caught:
                error = caught
            if reply is not None and reply.addresses:
                self.addresses = reply.addresses
                self._keep_until_s = self.clock.now_s() + reply.ttl_s
                return reply
        if reply is None:
            raise error or aiohttp.ClientError("no entry host is known")
        return reply

    async def _fetch_from(self, base_url: str) -> EntryAddresses:
        async with self.session.get(
            f"{base_url}/v1/entries",
            headers=self._headers(),
            timeout=_SHORT_TIMEOUT,
            raise_for_status=True,
        ) as response:
            return msgspec.json.decode(await response.read(), type=EntryAddresses)

    async def _find_entries(self, *, failed: list[str] | None = None) -> list[str]:
        """Return the entry hosts to use, best first.

        :param failed: kept addresses that all failed, to be replaced by new ones.
        """
        async with self._refresh:
            is_old = self.clock.now_s() >= self._keep_until_s
            if is_old or self.addresses is failed:
                await self.fetch_addresses()
        return self.addresses

    @property
    def _entry(self) -> str:
        return self.addresses[0] if self.addresses else self.entry_url

    async def send_prompt(self, service: str, body: PromptBody) -> AsyncIterator[str]:
        """Yield the texts of an answer's tokens.

        Goes to the next address where one cannot be connected or refuses, and
        asks for addresses again when all of them did.

        :raises AnswerFailedError: the answer is not whole.
        :raises aiohttp.ClientError: the connection broke in the middle.
        """
        cause: Exception | None = None
        entries: list[str] | None = None
        for _ in range(_ADDRESS_LISTS):
            entries = await self._find_entries(failed=entries)
            for entry in entries:
                tokens = self._send_prompt_to(entry, service, body)
                try:
                    async with aclosing(tokens):
                        async for text in tokens:
                            yield text
                    return
                except _NextEntryError as error:
                    cause = error.cause
        raise cause or aiohttp.ClientError("no entry host is in service; try later")

    async def _send_prompt_to(
        self, entry: str, service: str, body: PromptBody
    ) -> AsyncGenerator[str, None]:
        """Yield the answer of one entry host.

        :raises _NextEntryError: nothing of the answer came from this host.
        """
        url = f"{entry}/v1/services/{service}/prompts"
        tokens = 0
        try:
            async with self.session.post(
                url,
                data=msgspec.json.encode(body),
                headers=self._headers(),
                timeout=_STREAM_TIMEOUT,
            ) as response:
                if response.status != 200:
                    raise await _read_refusal(response)
                async for line in response.content:
                    part = _decode_part(line)
                    match part:
                        case AnswerToken(text=text):
                            tokens += 1
                            yield text
                        case AnswerEnd():
                            return
            raise aiohttp.ClientPayloadError("the answer has no end; send it again")
        except (aiohttp.ClientError, TimeoutError) as error:
            if tokens:
                raise
            raise _NextEntryError(cause=error) from None

    async def mint_key(self) -> str:
        """Return a key for a call that may not be repeated.

        :raises AnswerFailedError: the entry mints no key.
        """
        return await self._mint_at(self._entry)

    async def _mint_first(self, entries: list[str]) -> str:
        """Return a key of the first entry host that answers."""
        error: Exception = aiohttp.ClientError("no entry host is in service; try later")
        for entry in entries:
            try:
                return await self._mint_at(entry)
            except (AnswerFailedError, aiohttp.ClientError) as caught:
                error = caught
            except TimeoutError:
                error = aiohttp.ServerTimeoutError(f"{entry} does not answer")
        raise error

    async def _mint_at(self, entry: str) -> str:
        """Return a key of one entry host."""
        url = f"{entry}/v1/keys"
        async with self.session.post(
            url, headers=self._headers(), timeout=_SHORT_TIMEOUT
        ) as response:
            content = await response.read()
        if response.status != 201:
            raise AnswerFailedError(msgspec.json.decode(content, type=FailureBody))
        return msgspec.json.decode(content, type=KeyReply).key

    async def run_call(
        self,
        service: str,
        kind: str,
        body: str,
        *,
        timeout_s: float = 30.0,
        settle_timeout_s: float = SETTLE_TIMEOUT_S,
    ) -> Result[CallReply, FailureBody]:
        """Run a call at most once, repeating it until its outcome is settled.

        Every repeat carries the same minted key, so none runs the call again. A
        result that may still be repeated with the same key is not settled.

        :param service: name of the service.
        :param kind: name of the kind of request.
        :param body: body of the call.
        :param timeout_s: longest wait for one copy's answer, in seconds.
        :param settle_timeout_s: time after which no further copy is sent, in seconds.
        :raises AnswerFailedError: the entry mints no key.
        :raises aiohttp.ClientError: no entry host answers.
        """
        entries = await self._find_entries()
        key = await self._mint_first(entries)
        give_up_s = self.clock.now_s() + settle_timeout_s
        for entry in itertools.cycle(entries):
            result = await self._send_copy(entry, service, kind, body, key, timeout_s)
            match result:
                case Failure(FailureBody(repeat_with="same_key")) if (
                    self.clock.now_s() < give_up_s
                ):
                    await self.clock.sleep(_REPEAT_DELAY_S)
                case _:
                    return result
        raise aiohttp.ClientError("no entry host is in service; try later")

    async def _send_copy(
        self,
        entry: str,
        service: str,
        kind: str,
        body: str,
        key: str,
        timeout_s: float,
    ) -> Result[CallReply, FailureBody]:
        """Send one copy of a call; a lost connection leaves its outcome unknown."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._post_call(entry, service, kind, body, key)
        except (aiohttp.ClientError, TimeoutError):
            return Failure(_connection_lost())

    async def send_call(
        self, service: str, kind: str, body: str, *, key: str = ""
    ) -> Result[CallReply, FailureBody]:
        """Send one copy of a call to a plain service.

        :param key: key of the call, empty to let the entry mint one.
        """
        return await self._post_call(self._entry, service, kind, body, key)

    async def _post_call(
        self, entry: str, service: str, kind: str, body: str, key: str
    ) -> Result[CallReply, FailureBody]:
        """Send one copy of a call to one entry."""
        headers = self._headers()
        if key:
            headers[KEY_HEADER] = key
        url = f"{entry}/v1/services/{service}/calls/{kind}"
        async with self.session.post(url, data=body, headers=headers) as response:
            content = await response.read()
        if response.status == 200:
            return Success(msgspec.json.decode(content, type=CallReply))
        return Failure(msgspec.json.decode(content, type=FailureBody))


def _connection_lost() -> FailureBody:
    """Return the outcome of a call whose answer did not arrive."""
    return FailureBody(
        outcome="outcome_unknown",
        reason="the connection to the entry was lost before its answer",
        remedy="repeat with the same key, at another entry host",
        retry_after_s=_REPEAT_DELAY_S,
        repeat_with="same_key",
    )
