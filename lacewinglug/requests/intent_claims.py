"""Claims callers' own keys by appending intents to the platform's log."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.backing.log import LogClient
from lacewinglug.clock import Clock
from lacewinglug.errors import (
    AppendOutcomeUnknownError,
    LogUnavailableError,
    PlatformError,
    RecordsExpiredError,
)
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.requests.intents import (
    HeldKey,
    Intent,
    IntentBatch,
    ShardIndex,
    encode_batch,
    shard_stream,
)

_APPEND_ATTEMPTS = 3
_RETRY_DELAY_S = 0.3
_MAX_ABANDONED = 1_000
_MAX_BATCH_INTENTS = 500
_SOLE_CLAIMANT_S = 60.0
_READ_INTERVAL_S = 2.0
_MAX_PAUSE_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWon:
    """This process may run the key, and no other."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimLost:
    """The key has an owner already.

    :param held: the owner and the call that it may run.
    """

    held: HeldKey


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimFailed:
    """The log did not settle the claim, and this process sends nothing.

    :param reason: why, in words.
    :param complete: whether the earlier intents of the shard are known here.
    """

    reason: str
    complete: bool


Claim = ClaimWon | ClaimLost | ClaimFailed


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingIntent:
    """An intent that waits to be appended.

    :param intent: the intent.
    :param claim: becomes the verdict.
    """

    intent: Intent
    claim: asyncio.Future[Claim]


@dataclass(kw_only=True)
class ShardClaims:
    """Claims the keys of one shard, several with each append.

    :param shard: number of the shard.
    :param log: the platform's log.
    :param ids: makes record ids, and names this process.
    :param clock: source of time.
    :param metrics: counters.
    :param interval_s: shortest time between two appends, in seconds.
    :param index: who holds each key.
    """

    shard: int
    log: LogClient
    ids: IdFactory
    clock: Clock
    metrics: Metrics
    interval_s: float
    index: ShardIndex
    loaded: bool = False
    _pending: list[PendingIntent] = field(default_factory=list)
    _abandoned: set[str] = field(default_factory=set)
    _task: asyncio.Task[None] | None = None
    _last_append_s: float = float("-inf")
    _last_foreign_s: float = float("-inf")
    _reading: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_busy(self) -> bool:
        """Whether the shard has to be kept for the sake of what it waits for."""
        return bool(self._pending or self._abandoned) or not (
            self._task is None or self._task.done()
        )

    def find(self, call_id: str) -> HeldKey | None:
        """Return who holds a key, as far as this process has read."""
        self.index.forget_old(now_s=self.clock.wall_s())
        return self.index.held.get(call_id)

    def is_mine(self, held: HeldKey) -> bool:
        """Return whether this run of the process holds a key."""
        holder = held.holder
        return (
            holder.host == self.ids.host and holder.incarnation == self.ids.incarnation
        )

    async def claim(self, call_id: str, fingerprint: str) -> Claim:
        """Claim a key; the order of the log decides."""
        verdict = self.verdict(call_id)
        if verdict is not None:
            return verdict
        pending = PendingIntent(
            intent=Intent(call_id=call_id, fingerprint=fingerprint),
            claim=asyncio.get_running_loop().create_future(),
        )
        self._pending.append(pending)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._append_pending())
        return await asyncio.shield(pending.claim)

    def verdict(self, call_id: str) -> Claim | None:
        """Return the verdict on a key that has a holder, else None.

        A key whose claim by this process was given up before anything was sent
        is won when the log turns out to name this process.
        """
        held = self.find(call_id)
        if held is None:
            return None
        if self.is_mine(held) and call_id in self._abandoned:
            self._abandoned.discard(call_id)
            return ClaimWon()
        self._abandoned.discard(call_id)
        return ClaimLost(held=held)

    async def load(self) -> None:
        """Read the shard's stream to its end.

        :raises PlatformError: the log cannot be read.
        """
        async with self._reading:
            while await self._read_on():
                pass
            self.loaded = True

    async def _read_on(self) -> bool:
        """Read one batch of records; return whether there was one."""
        try:
            reply = await self.log.read(
                shard_stream(self.shard), self.index.next_offset, wait_s=0.0
            )
        except RecordsExpiredError as error:
            self.index.next_offset = error.first_offset
            return True
        now_s = self.clock.wall_s()
        for stored in reply.records:
            batch = self.index.apply(stored, now_s=now_s)
            if batch is not None and batch.incarnation != self.ids.incarnation:
                self._last_foreign_s = max(self._last_foreign_s, batch.written_at_s)
        return bool(reply.records)

    async def _append_pending(self) -> None:
        """Append what waits, until nothing waits any more."""
        while self._pending:
            wait_s = self._last_append_s + self.interval_s - self.clock.now_s()
            if wait_s > 0:
                await self.clock.sleep(wait_s)
            batch = self._pending[:_MAX_BATCH_INTENTS]
            del self._pending[:_MAX_BATCH_INTENTS]
            try:
                await self._settle(batch)
            except PlatformError as error:
                self._fail(batch, str(error))
            except Exception as error:
                self._abandon(batch)
                self._fail(batch, f"a fault of the entry: {error!r}")
                raise

    async def _settle(self, batch: list[PendingIntent]) -> None:
        """Append the intents of a batch and tell everyone the verdict."""
        if not self.loaded:
            await self.load()
        batch = self._resolve(batch)
        if not batch:
            return
        record = IntentBatch(
            record_id=self.ids.make(),
            host=self.ids.host,
            incarnation=self.ids.incarnation,
            written_at_s=self.clock.wall_s(),
            intents=[pending.intent for pending in batch],
        )
        try:
            await self._append(record)
        except AppendOutcomeUnknownError as error:
            self._abandon(batch)
            self._fail(batch, str(error))
            return
        for pending in batch:
            pending.claim.set_result(self._settled(pending.intent, record))

    def _settled(self, intent: Intent, record: IntentBatch) -> Claim:
        """Return the verdict on an intent whose record was read."""
        held = self.index.held[intent.call_id]
        if held.holder.record_id == record.record_id:
            self._abandoned.discard(intent.call_id)
            return ClaimWon()
        self.metrics.count("calls.claims_lost")
        return self.verdict(intent.call_id) or ClaimLost(held=held)

    def _resolve(self, batch: list[PendingIntent]) -> list[PendingIntent]:
        """Answer the claims of keys that have a holder; return the others."""
        rest = []
        for pending in batch:
            verdict = self.verdict(pending.intent.call_id)
            if verdict is None:
                rest.append(pending)
            else:
                pending.claim.set_result(verdict)
        return rest

    async def _append(self, record: IntentBatch) -> None:
        """Append a record and read the stream up to it.

        :raises AppendOutcomeUnknownError: the record may stand in the log.
        :raises LogUnavailableError: the record does not stand in the log.
        """
        data = encode_batch(record)
        uncertain = False
        for attempt in range(_APPEND_ATTEMPTS):
            if attempt > 0:
                await self.clock.sleep(_RETRY_DELAY_S)
            self._last_append_s = self.clock.now_s()
            self.metrics.count("calls.intent_appends")
            try:
                await self.log.append(shard_stream(self.shard), data)
                uncertain = True
            except AppendOutcomeUnknownError:
                uncertain = True
            except LogUnavailableError:
                if not uncertain:
                    raise
            if await self._has_read(record):
                return
        raise AppendOutcomeUnknownError(
            "the log did not confirm the append of an intent; repeat the call"
        )

    async def _has_read(self, record: IntentBatch) -> bool:
        """Return whether a record is found in the log."""
        try:
            await self.load()
        except PlatformError:
            return False
        # A batch holds a key of its own unless every key was claimed before it.
        return all(intent.call_id in self.index.held for intent in record.intents)

    def _is_complete(self) -> bool:
        """Return whether no other process is likely to hold keys unseen.

        Others that claimed keys of the shard lately may have claimed more since
        the log was read.
        """
        since_s = self.clock.wall_s() - _SOLE_CLAIMANT_S
        return self.loaded and self._last_foreign_s < since_s

    def _abandon(self, batch: list[PendingIntent]) -> None:
        """Remember that this process sent nothing for intents that may stand."""
        for pending in batch:
            if len(self._abandoned) < _MAX_ABANDONED:
                self._abandoned.add(pending.intent.call_id)

    def _fail(self, batch: list[PendingIntent], reason: str) -> None:
        """Tell everyone that the claims are not settled."""
        self.metrics.count("calls.claims_failed", len(batch))
        for pending in batch:
            if not pending.claim.done():
                claim = ClaimFailed(reason=reason, complete=self._is_complete())
                pending.claim.set_result(claim)


@dataclass(kw_only=True)
class IntentClaims:
    """The shards that this process claims keys in.

    :param log: the platform's log.
    :param ids: makes record ids, and names this process.
    :param clock: source of time.
    :param metrics: counters.
    :param interval_s: shortest time between two appends of a shard, in seconds.
    :param window_s: time for which keys are remembered, in seconds.
    :param max_keys: number of keys held in memory, over all shards.
    """

    log: LogClient
    ids: IdFactory
    clock: Clock
    metrics: Metrics
    interval_s: float
    window_s: float
    max_keys: int
    _shards: dict[int, ShardClaims] = field(default_factory=dict)

    def shard(self, number: int) -> ShardClaims:
        """Return the claims of a shard."""
        if number not in self._shards:
            self._shards[number] = ShardClaims(
                shard=number,
                log=self.log,
                ids=self.ids,
                clock=self.clock,
                metrics=self.metrics,
                interval_s=self.interval_s,
                index=ShardIndex(window_s=self.window_s),
            )
        return self._shards[number]

    @property
    def key_count(self) -> int:
        """Number of keys held in memory."""
        return sum(len(shard.index.held) for shard in self._shards.values())

    @property
    def is_full(self) -> bool:
        """Whether no further key can be remembered."""
        return self.key_count >= self.max_keys

    async def keep_loaded(self, shards: set[int]) -> None:
        """Read the given shards to their ends, and forget all others.

        :raises PlatformError: the log cannot be read.
        """
        for number in set(self._shards) - shards:
            if not self._shards[number].is_busy:
                del self._shards[number]
        for number in sorted(shards):
            await self.shard(number).load()

    def distrust(self) -> None:
        """Note that others may have claimed keys without this process seeing it."""
        for shard in self._shards.values():
            shard.loaded = False

    async def run(self, shards: Callable[[], set[int]]) -> None:
        """Keep the shards of this process read until cancelled.

        :param shards: returns the shards that this process claims keys in.
        """
        while True:
            try:
                await self.keep_loaded(shards())
            except PlatformError:
                self.metrics.count("calls.intent_reads_failed")
            slept_from_s = self.clock.now_s()
            await self.clock.sleep(_READ_INTERVAL_S)
            if self.clock.now_s() - slept_from_s > _READ_INTERVAL_S + _MAX_PAUSE_S:
                self.distrust()
