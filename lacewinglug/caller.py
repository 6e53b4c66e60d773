"""A caller's side: asks for entry addresses, sends prompts and calls."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lacewinglug.entry.authentication import AUTHORIZATION_HEADER
from lacewinglug.entry.calls import KeyReply
from lacewinglug.entry.intake import CALLER_HEADER, REGION_HEADER
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

_part_decoder = msgspec.json.Decoder(AnswerToken | AnswerHeartbeat | AnswerEnd)


class AnswerFailedError(Exception):
    """The answer ended with a typed failure.

    :param body: the failure as the entry told it.
    """

    def __init__(self, body: FailureBody) -> None:
        super().__init__(f"{body.outcome}: {body.reason}; {body.remedy}")
        self.body = body


@dataclass(kw_only=True)
class CallerClient:
    """Sends requests of one organisation.

    :param session: HTTP client session.
    :param entry_url: any entry host, to ask for addresses.
    :param organisation: name of the organisation.
    :param region: region of the caller.
    :param key: key of the organisation, empty where none is declared.
    """

    session: aiohttp.ClientSession
    entry_url: str
    organisation: str
    region: str
    key: str = field(default="", repr=False)
    addresses: list[str] = field(default_factory=list)

    def _headers(self) -> dict[str, str]:
        headers = {CALLER_HEADER: self.organisation, REGION_HEADER: self.region}
        if self.key:
            headers[AUTHORIZATION_HEADER] = f"Bearer {self.key}"
        return headers

    async def fetch_addresses(self) -> EntryAddresses:
        """Ask which entry hosts to use, and use the first from now on."""
        url = f"{self.entry_url}/v1/entries"
        async with self.session.get(url, headers=self._headers()) as response:
            reply = msgspec.json.decode(await response.read(), type=EntryAddresses)
        self.addresses = reply.addresses
        return reply

    @property
    def _entry(self) -> str:
        return self.addresses[0] if self.addresses else self.entry_url

    async def send_prompt(self, service: str, body: PromptBody) -> AsyncIterator[str]:
        """Yield the texts of an answer's tokens.

        :raises AnswerFailedError: the answer is not whole.
        """
        url = f"{self._entry}/v1/services/{service}/prompts"
        async with self.session.post(
            url, data=msgspec.json.encode(body), headers=self._headers()
        ) as response:
            if response.status != 200:
                content = await response.read()
                raise AnswerFailedError(msgspec.json.decode(content, type=FailureBody))
            async for line in response.content:
                try:
                    part = _part_decoder.decode(line)
                except msgspec.ValidationError:
                    raise AnswerFailedError(
                        msgspec.json.decode(line, type=FailureBody)
                    ) from None
                match part:
                    case AnswerToken(text=text):
                        yield text
                    case AnswerEnd():
                        return
        raise aiohttp.ClientPayloadError("the answer has no end; send it again")

    async def mint_key(self) -> str:
        """Return a key for a call that may not be repeated.

        :raises AnswerFailedError: the entry mints no key.
        """
        url = f"{self._entry}/v1/keys"
        async with self.session.post(url, headers=self._headers()) as response:
            content = await response.read()
        if response.status != 201:
            raise AnswerFailedError(msgspec.json.decode(content, type=FailureBody))
        return msgspec.json.decode(content, type=KeyReply).key

    async def send_call(
        self, service: str, kind: str, body: str, *, key: str = ""
    ) -> Result[CallReply, FailureBody]:
        """Run a call at a plain service."""
        headers = self._headers()
        if key:
            headers[KEY_HEADER] = key
        url = f"{self._entry}/v1/services/{service}/calls/{kind}"
        async with self.session.post(url, data=body, headers=headers) as response:
            content = await response.read()
        if response.status == 200:
            return Success(msgspec.json.decode(content, type=CallReply))
        return Failure(msgspec.json.decode(content, type=FailureBody))
