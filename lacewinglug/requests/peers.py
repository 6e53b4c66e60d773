"""Interfaces for forwarding keyed calls between entry hosts."""

from enum import Enum
from typing import Protocol

from lacewinglug.requests.calls import Call
from lacewinglug.requests.ledger import CallResult


class ForwardTarget(Enum):
    """The role in which an entry is asked to handle a forwarded call.

    ``CLAIMANT`` is the entry that claims the keys of a shard; ``OWNER`` is the
    only process that may run the call. The values are part of the request path.
    """

    CLAIMANT = "claim"
    OWNER = "own"


class PeerError(Exception):
    """A forwarded call got no answer from the other entry.

    :param message: cause of the failure.
    :param sent: whether the other entry may have received the call.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class NotOwnerError(Exception):
    """The process asked for has ended; its host may run a newer one."""


class PeerClient(Protocol):
    """Client that forwards calls to other entries."""

    async def forward(
        self, host: str, incarnation: str, target: ForwardTarget, call: Call
    ) -> CallResult:
        """Forward a call and return the other entry's result.

        :param host: host of the entry.
        :param incarnation: run of the entry process to ask, empty for any.
        :param target: role in which the entry is asked to handle the call.
        :param call: the call to forward.
        :raises PeerError: the entry did not answer.
        :raises NotOwnerError: the requested run of the entry has ended.
        """
        ...


class PeerDirectory(Protocol):
    """Directory of the entry hosts of the fleet."""

    def is_member(self, host: str) -> bool:
        """Return whether a host belongs to the fleet."""
        ...

    def claimant_of(self, shard: int) -> str:
        """Return the host that claims the keys of a shard."""
        ...
