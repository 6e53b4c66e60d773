"""Tenure: the exclusive right of one host to send orders to engines.

A host claims the tenure by appending a record to a log in the store. The claim holds
until a later one supersedes it, or until the store is restored, which may have lost it.
Its position in the log gives the fencing number.
"""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from lacewinglug.clock import read_boot_time_s
from lacewinglug.decoding import MalformedDataError, decode_msgpack
from lacewinglug.host.positions import FIRST_ERA, StorePosition
from lacewinglug.platform.store import StoreClient, StoreError

logger = logging.getLogger(__name__)

CLAIMS_TOPIC = "claims"
"""Topic of the claims."""
CLAIM_MARGIN_S = 0.5
"""Time that a new holder waits beyond the lease before its first order, in seconds. It
covers the transit time of the previous holder's last order."""
CONFIRMATION_TTL_S = 0.5
"""Time after a read of the log within which an order may be sent, in seconds. A new
holder waits several times as long before its first order."""
RECLAIM_DELAY_S = 10.0
"""Time for which a superseded holder makes no claim, in seconds; several leases."""


class _Claim(msgspec.Struct, array_like=True):
    host: str
    incarnation: int
    ip: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """A tenure that a host has claimed.

    :param holder: name of the host that holds it.
    :param fencing_number: number sent with each order; later tenures have higher ones.
    :param claim: position of the claim in the log.
    """

    holder: str
    fencing_number: int
    claim: StorePosition


@dataclass(kw_only=True)
class TenureManager:
    """Claims the tenure for this host and checks that it has not been superseded.

    :param store: client of the store.
    :param host: name of this host.
    :param ip: its IP address, which tells machines with the same name apart.
    :param incarnation: start time of its process.
    :param lease_s: time in seconds after a holder's order for which no other host may
        send orders.
    :param now_s: returns monotonic time in seconds.
    :param sleep: suspends the task for a number of seconds.
    :param boot_time_s: returns seconds since boot, including time while suspended.
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
    _no_claim_until_s: float = 0.0
    _usable_from_s: float = 0.0
    _is_usable: bool = False
    _confirmed_boot_s: float = -math.inf
    _lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def fencing_number(self) -> int | None:
        """Fencing number of this host's tenure, None if it holds none."""
        return None if self._tenure is None else self._tenure.fencing_number

    @property
    def tenure(self) -> Tenure | None:
        """This host's tenure if calls may be made with it, else None.

        It may have been superseded, see :meth:`confirm`.
        """
        return self._tenure if self._is_usable else None

    async def acquire(self) -> Tenure | None:
        """Return this host's tenure, claiming it if necessary; None if that fails."""
        async with self._lock:
            if self._tenure is None and not await self._try_claim():
                return None
            # An order that a previous holder sent before this claim may still be in
            # flight.
            while (wait_s := self._usable_from_s - self.now_s()) > 0:
                await self.sleep(wait_s)
            self._is_usable = self._tenure is not None
            return self._tenure if await self.confirm() else None

    async def _try_claim(self) -> bool:
        if self.now_s() < self._no_claim_until_s:
            return False
        try:
            claimed = await self._claim()
        except StoreError as error:
            logger.info("claiming the tenure failed: %s", error)
            return False
        if claimed is None:
            self._lose_tenure("another host claimed at the same time")
            return False
        self._tenure, sole_claimant = claimed
        self._usable_from_s = (
            self.now_s() + CLAIM_MARGIN_S + (0.0 if sole_claimant else self.lease_s)
        )
        return True

    async def confirm(self) -> bool:
        """Read the log; return whether it has this claim and no later one."""
        tenure = self.tenure
        if tenure is None:
            return False
        started_boot_s = self.boot_time_s()
        try:
            _, end = await self.store.read_records(
                CLAIMS_TOPIC, start=tenure.claim.next
            )
        except StoreError as error:
            logger.info("confirming the tenure failed: %s", error)
            return False
        if self._tenure is not tenure:
            # Another task has found out meanwhile that it is lost.
            return False
        if end.era != tenure.claim.era:
            # The claim may be lost, but nobody else is known to have made one.
            self._lose_tenure("the store was restored", pause_s=0.0)
            return False
        if end != tenure.claim.next:
            self._lose_tenure("another host claimed later")
            return False
        self._confirmed_boot_s = started_boot_s
        return True

    def is_recently_confirmed(self) -> bool:
        """Return whether the tenure was confirmed recently enough to send an order.

        Time while the process was suspended counts too.
        """
        age_s = self.boot_time_s() - self._confirmed_boot_s
        return self._tenure is not None and age_s <= CONFIRMATION_TTL_S

    def require_confirmation(self) -> None:
        """Read the log again before the next order, however recent the last read is."""
        self._confirmed_boot_s = -math.inf

    def handle_fenced(self) -> None:
        """Give up the tenure: a receiver has seen a higher fencing number."""
        self._lose_tenure("the fencing number was refused")

    async def _claim(self) -> tuple[Tenure, bool] | None:
        """Claim the tenure; return None if another host made a claim at the same time.

        :returns: the tenure, and whether the log is complete and has claims of this
            host only. If so, no order can be in flight: the previous process of this
            host has ended, since only one runs at a time. The log of a store that was
            restored is not complete.
        """
        records, end = await self.store.read_records(CLAIMS_TOPIC)
        claim = _Claim(host=self.host, incarnation=self.incarnation, ip=self.ip)
        data = msgspec.msgpack.encode(claim)
        if not await self.store.append_at(CLAIMS_TOPIC, data, position=end):
            return None
        fencing_number = end.rank + 1
        logger.info("tenure claimed", extra={"fencing_number": fencing_number})
        claimed = Tenure(holder=self.host, fencing_number=fencing_number, claim=end)
        claimants = {_decode_claimant(record) for record in records}
        is_complete = end.era == FIRST_ERA and len(records) == end.offset
        return claimed, is_complete and claimants == {(self.host, self.ip)}

    def _lose_tenure(self, reason: str, *, pause_s: float = RECLAIM_DELAY_S) -> None:
        """Give up the tenure; make no claim for some time, in seconds."""
        logger.info("tenure given up", extra={"reason": reason})
        self._tenure = None
        self._is_usable = False
        self._confirmed_boot_s = -math.inf
        self._no_claim_until_s = self.now_s() + pause_s


def _decode_claimant(record: bytes) -> tuple[str, str] | None:
    """Return the name and IP address of the claiming host, None if malformed."""
    try:
        claim = decode_msgpack(record, kind=_Claim)
    except MalformedDataError as error:
        logger.warning("ignoring malformed tenure claim: %s", error)
        return None
    return claim.host, claim.ip
