"""Client of the platform's rate-limited weight store."""

from dataclasses import dataclass
from typing import Protocol

import aiohttp

from lacewinglug.errors import PlatformError

_CHECK_TIMEOUT_S = 3.0
_DEFAULT_RETRY_AFTER_S = 5.0


class WeightsUnavailableError(PlatformError):
    """The weight store refuses a pull, lacks the weights or does not answer.

    :param message: what happened, naming the remedy.
    :param retry_after_s: earliest time to try again, in seconds.
    """

    def __init__(self, message: str, *, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class WeightStoreClient(Protocol):
    """A store of model weights with a rate limit."""

    async def check(self, key: str) -> None:
        """Return when the store would serve a pull of the weights now.

        :raises WeightsUnavailableError: it would not.
        """
        ...

    async def pull(self, key: str) -> int:
        """Pull weights and return their size, in bytes.

        :raises WeightsUnavailableError: the store did not serve them.
        """
        ...


@dataclass(kw_only=True)
class HttpWeightStoreClient:
    """The weight store over HTTP.

    :param session: HTTP client session.
    :param base_url: base URL of the weight store.
    :param pull_timeout_s: longest silence during a pull, in seconds.
    """

    session: aiohttp.ClientSession
    base_url: str
    pull_timeout_s: float = 30.0

    async def check(self, key: str) -> None:
        """Return when the store would serve a pull of the weights now."""
        timeout = aiohttp.ClientTimeout(total=_CHECK_TIMEOUT_S)
        await self._request("HEAD", key, timeout)

    async def pull(self, key: str) -> int:
        """Pull weights and return their size, in bytes."""
        timeout = aiohttp.ClientTimeout(
            total=None, connect=_CHECK_TIMEOUT_S, sock_read=self.pull_timeout_s
        )
        return await self._request("GET", key, timeout)

    async def _request(
        self, method: str, key: str, timeout: aiohttp.ClientTimeout
    ) -> int:
        url = f"{self.base_url}/weights/{key}"
        try:
            async with self.session.request(method, url, timeout=timeout) as response:
                size = 0
                async for chunk in response.content.iter_any():
                    size += len(chunk)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WeightsUnavailableError(
                f"the weight store does not answer: {error!r}; it is tried again",
                retry_after_s=_DEFAULT_RETRY_AFTER_S,
            ) from None
        if response.status != 200:
            raise _refusal(key, response.status, response.headers.get("Retry-After"))
        return size


def _refusal(key: str, status: int, retry_after: str | None) -> WeightsUnavailableError:
    """Return the error of an answer that holds no weights."""
    try:
        retry_after_s = float(retry_after or "")
    except ValueError:
        retry_after_s = _DEFAULT_RETRY_AFTER_S
    match status:
        case 404:
            message = f"no weights {key!r}; put them into the store or publish another"
        case 429:
            message = f"pull of {key!r} is over the store's rate limit; try later"
        case _:
            message = f"the weight store answered {key!r} with status {status}"
    return WeightsUnavailableError(message, retry_after_s=max(0.0, retry_after_s))
