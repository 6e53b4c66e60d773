"""One memory budget for everything that a host holds for its peers.

Each connection has an account, to which it charges what it holds. Small messages are
charged as they arrive. A large one has to reserve room first and waits for it, so that
its connection reads no further. When the budget is used up, those that hold much and
progress slowly are evicted.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lacewinglug.memory.limits import GRANT_SHARE

logger = logging.getLogger(__name__)

CONNECTION_BYTES = 12_288
"""Memory that an idle connection takes, in bytes."""
LARGE_MESSAGE_BYTES = 262_144
"""Size above which a message reserves memory before it is read on, in bytes. Bodies of
well-behaved clients stay under some 100 KB."""
MAX_WAIT_S = 2.0
"""Time for which a large message waits for memory before it is refused, in s."""
RETRY_AFTER_S = 1.0
"""``Retry-After`` of a request that was refused for lack of memory, in s."""
SWEEP_INTERVAL_S = 0.25
"""Interval of checks for slow connections while memory is scarce, in s."""
PROGRESS_WINDOW_S = 1.0
"""Time over which the progress of a connection is measured, in s."""
MIN_PROGRESS_BYTES_PER_S = 65_536
"""Rate under which a connection counts as slow while memory is scarce, in bytes per s;
a tenth of the slowest link of a machine (5 Mbit/s)."""
READ_BYTES = 131_072
"""Data that a connection may read at once, in bytes."""
SCARCE_SHARE = 0.75
"""Share of the budget above which memory counts as scarce."""
RELIEF_SHARE = 0.9
"""Share of the budget down to which connections are evicted once it is exceeded."""
CALM_S = 2.0
"""Time without scarcity after which it counts as over, in s."""


class OverBudgetError(Exception):
    """There is no room for a message."""


class MemoryState(Enum):
    """How much of the budget is left."""

    NORMAL = "normal"
    SCARCE = "scarce"


class EvictionReason(Enum):
    """Why a connection lost what it held."""

    SLOW_UPLOAD = "slow_upload"
    SLOW_UPSTREAM = "slow_upstream"
    UNREAD_RESPONSE = "unread_response"
    NO_ROOM = "no_room"
    CONNECTION_LIMIT = "connection_limit"


class Holder(Protocol):
    """Connection that an account belongs to."""

    def eviction_reason(self) -> EvictionReason | None:
        """Return why the holder may be evicted now, None if it may not."""

    def evict(self, reason: EvictionReason) -> None:
        """Refuse the current request or close the connection, and free what it held."""

    def measure(self) -> None:
        """Update the account from the state of the connection."""


class Account:
    """What one connection holds.

    The budget knows the connection. The account does not refer to it, as the connection
    refers to its account, and the cycle would keep in memory what a connection held.

    :param budget: the budget that it counts against.
    :param charged_bytes: what counts against the budget, in bytes: what is held or, if
        more, reserved.
    :param moved_bytes: total amount of data that the peer has sent or taken, in bytes.
    :param is_slow: whether it moved little in the last window of progress.
    """

    __slots__ = (
        "_budget",
        "_held_bytes",
        "_is_closed",
        "_mark_bytes",
        "_mark_s",
        "_reserved_bytes",
        "charged_bytes",
        "is_slow",
        "moved_bytes",
    )

    def __init__(self, *, budget: "MemoryBudget") -> None:
        self._budget = budget
        self.charged_bytes = 0
        self.moved_bytes = 0
        self.is_slow = False
        self._held_bytes = 0
        self._is_closed = False
        self._reserved_bytes = 0
        self._mark_bytes = 0
        self._mark_s: float | None = None

    @property
    def reserved_bytes(self) -> int:
        """Memory reserved for a large message, in bytes."""
        return self._reserved_bytes

    def hold(self, held_bytes: int) -> None:
        """State how much the connection holds; evicts others over the budget."""
        if held_bytes == self._held_bytes or self._is_closed:
            return
        self._held_bytes = held_bytes
        charged = max(held_bytes, self._reserved_bytes)
        budget = self._budget
        budget.charged_bytes += charged - self.charged_bytes
        self.charged_bytes = charged
        if budget.charged_bytes > budget.scarce_bytes:
            budget.note_scarcity()

    async def reserve(self, total_bytes: int) -> None:
        """Reserve memory for a message, waiting for it if there is none.

        :param total_bytes: size of the message, in bytes.
        :raises OverBudgetError: there was none in time.
        """
        if total_bytes <= self._reserved_bytes:
            return
        if not self._budget.try_reserve(self, total_bytes):
            await self._budget.wait_for_room(self, total_bytes)

    def set_reserved(self, reserved_bytes: int) -> None:
        """Set the reservation; called by the budget, and with 0 by the holder."""
        if self._is_closed:
            return
        budget = self._budget
        budget.reserved_bytes += reserved_bytes - self._reserved_bytes
        self._reserved_bytes = reserved_bytes
        charged = max(self._held_bytes, reserved_bytes)
        budget.charged_bytes += charged - self.charged_bytes
        self.charged_bytes = charged
        if budget.is_scarce and reserved_bytes == 0:
            budget.grant_waiting()

    def mark_progress(self, now_s: float) -> None:
        """Judge the progress since the last mark, once the window is over."""
        if self._mark_s is None:
            self._mark_s, self._mark_bytes = now_s, self.moved_bytes
            return
        elapsed_s = now_s - self._mark_s
        if elapsed_s >= PROGRESS_WINDOW_S:
            moved = self.moved_bytes - self._mark_bytes
            self.is_slow = moved < MIN_PROGRESS_BYTES_PER_S * elapsed_s
            self._mark_s, self._mark_bytes = now_s, self.moved_bytes

    def forget_progress(self) -> None:
        """Begin a new measurement when memory is scarce again."""
        self.is_slow = False
        self._mark_s = None

    def close(self) -> None:
        """Release everything, for good."""
        self.set_reserved(0)
        self.hold(0)
        self._is_closed = True
        self._budget.remove(self)


@dataclass(kw_only=True, slots=True, eq=False)
class _Waiting:
    """A large message that waits for memory."""

    account: Account
    total_bytes: int
    granted: asyncio.Future[None]


@dataclass(kw_only=True, eq=False)
class MemoryBudget:
    """Accounts of all connections and the bound on their sum.

    :param limit_bytes: bound, in bytes.
    :param on_eviction: called for each connection that is evicted.
    :param charged_bytes: sum of all accounts, in bytes.
    :param reserved_bytes: sum of all reservations, in bytes.
    :param is_scarce: whether connections are being watched for their progress.
    """

    limit_bytes: int
    on_eviction: Callable[[EvictionReason], None] = lambda _reason: None
    charged_bytes: int = 0
    reserved_bytes: int = 0
    is_scarce: bool = False
    scarce_bytes: int = field(init=False)
    _accounts: dict[Account, Holder] = field(default_factory=dict)
    _waiting: list[_Waiting] = field(default_factory=list)
    _paused: dict[Callable[[], None], None] = field(default_factory=dict)
    _calm_since_s: float | None = None
    _evictions: int = 0

    def __post_init__(self) -> None:
        self.scarce_bytes = int(self.limit_bytes * SCARCE_SHARE)

    @property
    def state(self) -> MemoryState:
        """How much of the budget is left."""
        return MemoryState.SCARCE if self.is_scarce else MemoryState.NORMAL

    @property
    def waiting_count(self) -> int:
        """Number of large messages that wait for memory."""
        return len(self._waiting)

    @property
    def is_exceeded(self) -> bool:
        """Whether more is charged than the bound allows, so that reading pauses."""
        return self.charged_bytes > self.limit_bytes

    def call_when_relieved(self, resume: Callable[[], None]) -> None:
        """Call a function that resumes reading, once the budget allows it again."""
        self._paused[resume] = None
        self._become_scarce()

    def forget_paused(self, resume: Callable[[], None]) -> None:
        """Don't resume reading; the connection has ended."""
        self._paused.pop(resume, None)

    def _resume_reading(self) -> None:
        """Resume as many connections as the budget has room for a read of each."""
        room = (self.limit_bytes - self.charged_bytes) // READ_BYTES
        for resume in list(self._paused)[: max(0, room)]:
            del self._paused[resume]
            resume()

    def open_account(self, holder: Holder) -> Account:
        """Return the account of a new connection."""
        account = Account(budget=self)
        self._accounts[account] = holder
        return account

    def remove(self, account: Account) -> None:
        """Remove an account that holds nothing any more."""
        self._accounts.pop(account, None)

    def try_reserve(self, account: Account, total_bytes: int) -> bool:
        """Reserve memory for a large message if there is room and no one waits.

        One message always fits, whatever its size, when nothing else is reserved.
        """
        if self._waiting or not self._fits(account, total_bytes):
            return False
        account.set_reserved(total_bytes)
        return True

    async def wait_for_room(self, account: Account, total_bytes: int) -> None:
        """Wait until memory for a large message is reserved.

        :raises OverBudgetError: there was none in time.
        """
        granted = asyncio.get_running_loop().create_future()
        waiting = _Waiting(account=account, total_bytes=total_bytes, granted=granted)
        self._waiting.append(waiting)
        self._become_scarce()
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await granted
        except TimeoutError:
            raise OverBudgetError("no memory in time") from None
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def grant_waiting(self) -> None:
        """Reserve memory for those that wait, in order, as far as there is room."""
        while self._waiting:
            first = self._waiting[0]
            if not self._fits(first.account, first.total_bytes):
                return
            del self._waiting[0]
            if not first.granted.done():
                first.account.set_reserved(first.total_bytes)
                first.granted.set_result(None)

    def note_scarcity(self) -> None:
        """Watch the connections, and evict some if the budget is exceeded."""
        self._become_scarce()
        if self.charged_bytes > self.limit_bytes:
            self._relieve(int(self.limit_bytes * RELIEF_SHARE))

    def _fits(self, account: Account, total_bytes: int) -> bool:
        others = self.reserved_bytes - account.reserved_bytes
        grown = self.charged_bytes - account.charged_bytes + total_bytes
        within_share = others + total_bytes <= self.limit_bytes * GRANT_SHARE
        return (within_share or others == 0) and grown <= max(
            self.limit_bytes, total_bytes
        )

    def _become_scarce(self) -> None:
        self._calm_since_s = None
        if self.is_scarce:
            return
        self.is_scarce = True
        self._evictions = 0
        logger.warning("memory for clients and runners is scarce", extra=self._figures)
        asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def _figures(self) -> dict[str, int]:
        return {
            "charged_bytes": self.charged_bytes,
            "limit_bytes": self.limit_bytes,
            "waiting": len(self._waiting),
            "connections": len(self._accounts),
            "evictions": self._evictions,
        }

    def _sweep(self) -> None:
        """Judge the progress of all connections, and evict slow ones for others."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for account, holder in list(self._accounts.items()):
            holder.measure()
            account.mark_progress(now_s)
        if self._waiting:
            self._evict_slow_reservations()
            self.grant_waiting()
        if self.charged_bytes > self.scarce_bytes:
            self._relieve(self.scarce_bytes, only_slow=True)
        self._resume_reading()
        if self._waiting or self._paused or self.charged_bytes > self.scarce_bytes:
            self._calm_since_s = None
        elif self._calm_since_s is None:
            self._calm_since_s = now_s
        elif now_s - self._calm_since_s >= CALM_S:
            self.is_scarce = False
            for account in self._accounts:
                account.forget_progress()
            logger.info(
                "memory for clients and runners is sufficient again",
                extra=self._figures,
            )
            return
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _evict_slow_reservations(self) -> None:
        """Evict slow holders of reservations until the first that waits fits."""
        first = self._waiting[0]
        for account, reason in self._victims(only_slow=True):
            if self._fits(first.account, first.total_bytes):
                return
            if account.reserved_bytes:
                self._evict(account, reason)

    def _relieve(self, target_bytes: int, *, only_slow: bool = False) -> None:
        for account, reason in self._victims(only_slow=only_slow):
            if self.charged_bytes <= target_bytes:
                return
            self._evict(account, reason)

    def _victims(self, *, only_slow: bool) -> list[tuple[Account, EvictionReason]]:
        """Return the connections that may be evicted, the first one first.

        Slow ones come before others, and those that hold more before those that hold
        less. One that holds little may be evicted only if it is slow.
        """
        candidates = [
            (account, reason)
            for account, holder in self._accounts.items()
            if (account.is_slow or not only_slow)
            and (account.is_slow or account.charged_bytes > LARGE_MESSAGE_BYTES)
            and account.charged_bytes > CONNECTION_BYTES
            and (reason := holder.eviction_reason()) is not None
        ]
        candidates.sort(
            key=lambda item: (item[0].is_slow, item[0].charged_bytes), reverse=True
        )
        return candidates

    def note_eviction(self, reason: EvictionReason) -> None:
        """Count a connection that lost what it held."""
        self._evictions += 1
        self.on_eviction(reason)

    def _evict(self, account: Account, reason: EvictionReason) -> None:
        self.note_eviction(reason)
        for waiting in self._waiting:
            if waiting.account is account and not waiting.granted.done():
                waiting.granted.set_exception(OverBudgetError("evicted"))
        account.set_reserved(0)
        account.hold(CONNECTION_BYTES)
        self._accounts[account].evict(reason)
