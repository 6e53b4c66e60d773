"""Client of the platform's lagging list of live and leaving hosts."""

from dataclasses import dataclass
from typing import Literal, Protocol

import aiohttp
import msgspec

from lacewinglug.errors import PlatformError

_TIMEOUT_S = 3.0

HostState = Literal["live", "leaving"]


class HostList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's view of its hosts.

    :param hosts: state of each host or runner by name; one that left is missing.
    """

    hosts: dict[str, HostState]


class HostListClient(Protocol):
    """A source of the host list."""

    async def fetch(self) -> HostList:
        """Return the list.

        :raises PlatformError: the platform does not answer.
        """
        ...


@dataclass(kw_only=True)
class HttpHostListClient:
    """The host list over HTTP.

    :param session: HTTP client session.
    :param base_url: base URL of the host list.
    """

    session: aiohttp.ClientSession
    base_url: str

    async def fetch(self) -> HostList:
        """Return the list."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f"{self.base_url}/hosts"
        try:
            async with self.session.get(url, timeout=timeout) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformError(f"cannot read the host list: {error!r}") from None
        if response.status != 200:
            raise PlatformError(f"the host list answered status {response.status}")
        try:
            return msgspec.json.decode(body, type=HostList)
        except msgspec.MsgspecError as error:
            raise PlatformError(f"the host list is not readable: {error}") from None
