"""Keys of calls that may run at most once."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Result

from lacewinglug.ids import IdFactory, MintedId
from lacewinglug.requests.outcomes import RequestFailure
from lacewinglug.upstream.messages import CallReply

CallResult = Result[CallReply, RequestFailure]


@dataclass(kw_only=True)
class KeyLedger:
    """The calls that this process ran, by the key that it minted for each.

    :param ids: makes the keys.
    """

    ids: IdFactory
    _calls: dict[str, asyncio.Future[CallResult]] = field(default_factory=dict)

    def mint(self) -> str:
        """Return a new key, which only this process may run."""
        return self.ids.make()

    def owns(self, key: str) -> bool:
        """Return whether this run of the process minted the key."""
        minted = MintedId.parse(key)
        return (
            minted is not None
            and minted.host == self.ids.host
            and minted.incarnation == self.ids.incarnation
        )

    def find(self, key: str) -> asyncio.Future[CallResult] | None:
        """Return the call that runs or ran under a key."""
        return self._calls.get(key)

    def begin(self, key: str) -> asyncio.Future[CallResult]:
        """Note that the call of a key is about to be sent."""
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        self._calls[key] = future
        return future
