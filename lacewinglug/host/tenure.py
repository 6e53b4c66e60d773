"""The authority to give orders: a claim in a log that no later claim supersedes."""

import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from lacewinglug.clock import read_boot_time_s
from lacewinglug.platform.store import StoreClient, StoreError

logger = logging.getLogger(__name__)

CLAIMS_TOPIC = "claims"
"""Topic of our own in which claims stand."""
CLAIM_MARGIN_S = 0.5
"""Wait beyond the lease before a new holder's first order, in s; covers the way
of the last order of the holder before."""
CONFIRMED_FOR_S = 0.5
"""Time after a read of the log in which an order may be sent, in s; a successor
waits out several times as long."""
REFUSED_PAUSE_S = 10.0
"""Time that a holder which was superseded claims nothing, in s; several leases."""


class _Claim(msgspec.Struct, array_like=True):
    host: str
    incarnation: int
    ip: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """Authority over the engines.

    :param holder: host that holds it.
    :param fencing_number: number that each order carries; later ones are higher.
    :param claim_offset: place of the claim in the log.
    """

    holder: str
    fencing_number: int
    claim_offset: int


@dataclass(kw_only=True)
class TenureKeeper:
    """Claims the tenure for this host, and checks that it still holds.

    :param store: client of the store.
    :param host: name of this host.
    :param ip: its address; another machine may come under the same name.
    :param incarnation: start of its process.
    :param lease_s: time that a holder's orders keep others from giving any.
    :param now_s: returns monotonic seconds.
    :param sleep: suspends for some seconds.
    :param boot_time_s: returns seconds that go on while the host is suspended.
    """

    store: StoreClient
    host: str
    ip: str
    incarnation: int
    lease_s: float
    now_s: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]]
    _tenure: Tenure | None = None
    boot_time_s: Callable[[], float] = read_boot_time_s
    _paused_until_s: float = 0.0
    _confirmed_s: float = -math.inf

    @property
    def fencing_number(self) -> int | None:
        """Number of this host's tenure, None where it holds none."""
        return None if self._tenure is None else self._tenure.fencing_number

    async def acquire(self) -> Tenure | None:
        """Return this host's tenure, claimed where need be; None for not now."""
        if self._tenure is not None:
            return self._tenure if await self.still_holds() else None
        if self.now_s() < self._paused_until_s:
            return None
        try:
            claimed = await self._claim()
        except StoreError as error:
            logger.info("tenure not claimed: %s", error)
            return None
        if claimed is None:
            self._give_up("another host claimed at the same time")
            return None
        self._tenure, alone = claimed
        # Another holder may have an order on its way, sent before this claim.
        await self.sleep(CLAIM_MARGIN_S + (0.0 if alone else self.lease_s))
        return self._tenure if await self.still_holds() else None

    async def still_holds(self) -> bool:
        """Return whether no later claim stands in the log, by reading it now."""
        if self._tenure is None:
            return False
        asked_s = self.boot_time_s()
        try:
            _, end_offset = await self.store.read_records(
                CLAIMS_TOPIC, from_offset=self._tenure.claim_offset + 1
            )
        except StoreError as error:
            logger.info("tenure not confirmed: %s", error)
            return False
        if end_offset != self._tenure.claim_offset + 1:
            self._give_up("another host claimed later")
            return False
        self._confirmed_s = asked_s
        return True

    def is_fresh(self) -> bool:
        """Return whether the log was read so lately that an order may be sent.

        A process that was suspended since then finds that it was not.
        """
        age_s = self.boot_time_s() - self._confirmed_s
        return self._tenure is not None and age_s <= CONFIRMED_FOR_S

    def note_fenced(self) -> None:
        """Stop at once: an engine has seen a higher fencing number."""
        self._give_up("an engine refused the fencing number")

    async def _claim(self) -> tuple[Tenure, bool] | None:
        """Return a new tenure and whether all before it were of this host.

        Its own process of before has ended, since only one runs.
        """
        records, end_offset = await self.store.read_records(CLAIMS_TOPIC, from_offset=0)
        claim = _Claim(host=self.host, incarnation=self.incarnation, ip=self.ip)
        data = msgspec.msgpack.encode(claim)
        if not await self.store.append_at(CLAIMS_TOPIC, data, offset=end_offset):
            return None
        logger.info("tenure claimed", extra={"fencing_number": end_offset + 1})
        claimed = Tenure(
            holder=self.host, fencing_number=end_offset + 1, claim_offset=end_offset
        )
        holders = {_holder(record) for record in records}
        alone = len(records) == end_offset and holders == {(self.host, self.ip)}
        return claimed, alone

    def _give_up(self, reason: str) -> None:
        logger.info("tenure given up", extra={"reason": reason})
        self._tenure = None
        self._paused_until_s = self.now_s() + REFUSED_PAUSE_S


def _holder(record: bytes) -> tuple[str, str] | None:
    """Return the name and address of a claim's host, None where it cannot be read."""
    try:
        claim = msgspec.msgpack.decode(record, type=_Claim)
    except msgspec.DecodeError as error:
        logger.warning("claim cannot be read: %s", error)
        return None
    return claim.host, claim.ip
