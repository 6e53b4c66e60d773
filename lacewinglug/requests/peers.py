"""What entries ask one another about keyed calls."""

from enum import Enum
from typing import Protocol

from lacewinglug.requests.calls import Call
from lacewinglug.requests.ledger import CallResult


class PeerStep(Enum):
    """What the other entry has to do with a call.

    ``CLAIM`` asks the entry that claims the keys of a shard; ``OWN`` asks the
    process that alone may run the key.
    """

    CLAIM = "claim"
    OWN = "own"


class PeerError(Exception):
    """Another entry did not answer.

    :param message: what happened.
    :param sent: whether the other entry may have taken the call.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class NotOwnerError(Exception):
    """The entry now on that host is another run of the process."""


class PeerClient(Protocol):
    """A way to forward calls to other entries."""

    async def forward(
        self, host: str, incarnation: str, step: PeerStep, call: Call
    ) -> CallResult:
        """Return another entry's result of a call.

        :param host: host of the entry.
        :param incarnation: run of the entry that is asked for, empty for any.
        :raises PeerError: the entry does not answer.
        :raises NotOwnerError: that run of the entry has ended.
        """
        ...


class PeerDirectory(Protocol):
    """The entry hosts of the fleet."""

    def is_member(self, host: str) -> bool:
        """Return whether a host belongs to the fleet."""
        ...

    def claimant_of(self, shard: int) -> str:
        """Return the host that claims the keys of a shard."""
        ...
