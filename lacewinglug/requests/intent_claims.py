"""Claims caller-supplied keys by appending intents to the platform's log.

The first intent for a key in the log decides which process may run the call.
"""

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
    ClaimedKey,
    Intent,
    IntentBatch,
    ShardIndex,
    encode_intent_batch,
    shard_stream_name,
)

_MAX_APPEND_ATTEMPTS = 3
_RETRY_DELAY_S = 0.3
_MAX_ABANDONED_KEYS = 1_000
_MAX_BATCH_INTENTS = 500
_FOREIGN_CLAIM_QUIET_S = 60.0
_READ_INTERVAL_S = 2.0
_MAX_SLEEP_OVERRUN_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWon:
    """This process, and no other, may run the call."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimLost:
    """Another claim of the key came first.

    :param claimed_key: owner of the key and fingerprint of the call it may run.
    """

    claimed_key: ClaimedKey


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimFailed:
    """The claim could not be decided from the log; the call is not sent.

    :param reason: human-readable cause.
    :param is_index_current: whether this process is likely to know all earlier
        intents of the shard.
    """

    reason: str
    is_index_current: bool


ClaimResult = ClaimWon | ClaimLost | ClaimFailed


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingIntent:
    """An intent queued for the next append.

    :param intent: the intent to append.
    :param result: future that receives the result of the claim.
    """

    intent: Intent
    result: asyncio.Future[ClaimResult]


@dataclass(kw_only=True)
class ShardClaims:
    """Claims the keys of one shard, batching pending intents into each append.

    :param shard: number of the shard.
    :param log: client of the platform's log.
    :param ids: generates record ids and identifies this process.
    :param clock: source of time.
    :param metrics: counters.
    :param append_interval_s: minimum time between two appends, in seconds.
    :param index: owner of each key, as read from the log.
    """

    shard: int
    log: LogClient
    ids: IdFactory
    clock: Clock
    metrics: Metrics
    append_interval_s: float
    index: ShardIndex
    is_loaded: bool = False
    _pending: list[PendingIntent] = field(default_factory=list)
    _abandoned: set[str] = field(default_factory=set)
    _append_task: asyncio.Task[None] | None = None
    _last_append_s: float = float("-inf")
    _last_foreign_claim_s: float = float("-inf")
    _read_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_busy(self) -> bool:
        """Whether pending or abandoned claims prevent discarding the shard."""
        return bool(self._pending or self._abandoned) or not (
            self._append_task is None or self._append_task.done()
        )

    def find_claimed_key(self, call_id: str) -> ClaimedKey | None:
        """Return a key's owner according to the records read so far, else None."""
        self.index.remove_expired(now_s=self.clock.wall_s())
        return self.index.claimed_keys.get(call_id)

    def is_owned_here(self, claimed_key: ClaimedKey) -> bool:
        """Return whether this run of the process owns a key."""
        owner = claimed_key.owner
        return owner.host == self.ids.host and owner.incarnation == self.ids.incarnation

    async def claim(self, call_id: str, fingerprint: str) -> ClaimResult:
        """Claim a key; the first intent for it in the log wins."""
        result = self.known_result(call_id)
        if result is not None:
            return result
        pending = PendingIntent(
            intent=Intent(call_id=call_id, fingerprint=fingerprint),
            result=asyncio.get_running_loop().create_future(),
        )
        self._pending.append(pending)
        if self._append_task is None or self._append_task.done():
            self._append_task = asyncio.create_task(self._append_pending())
        return await asyncio.shield(pending.result)

    def known_result(self, call_id: str) -> ClaimResult | None:
        """Return the result of claiming a key that has an owner, else None.

        If this process abandoned its claim before sending the call, but the log
        names it as the owner, the claim counts as won.
        """
        claimed_key = self.find_claimed_key(call_id)
        if claimed_key is None:
            return None
        if self.is_owned_here(claimed_key) and call_id in self._abandoned:
            self._abandoned.discard(call_id)
            return ClaimWon()
        self._abandoned.discard(call_id)
        return ClaimLost(claimed_key=claimed_key)

    async def load(self) -> None:
        """Read the shard's stream to its current end.

        :raises PlatformError: the log cannot be read.
        """
        async with self._read_lock:
            while await self._read_batch():
                pass
            self.is_loaded = True

    async def _read_batch(self) -> bool:
        """Read the next batch of records; return whether more may follow."""
        try:
            reply = await self.log.read(
                shard_stream_name(self.shard), self.index.next_offset, wait_s=0.0
            )
        except RecordsExpiredError as error:
            self.index.next_offset = error.first_offset
            return True
        now_s = self.clock.wall_s()
        for stored in reply.records:
            batch = self.index.apply(stored, now_s=now_s)
            if batch is not None and batch.incarnation != self.ids.incarnation:
                self._last_foreign_claim_s = max(
                    self._last_foreign_claim_s, batch.written_at_s
                )
        return bool(reply.records)

    async def _append_pending(self) -> None:
        """Append pending intents in batches until none are left."""
        while self._pending:
            wait_s = self._last_append_s + self.append_interval_s - self.clock.now_s()
            if wait_s > 0:
                await self.clock.sleep(wait_s)
            batch = self._pending[:_MAX_BATCH_INTENTS]
            del self._pending[:_MAX_BATCH_INTENTS]
            try:
                await self._append_batch(batch)
            except PlatformError as error:
                self._fail_claims(batch, str(error))
            except Exception as error:
                self._mark_abandoned(batch)
                self._fail_claims(batch, f"a fault of the entry: {error!r}")
                raise

    async def _append_batch(self, batch: list[PendingIntent]) -> None:
        """Append the intents of a batch and set the results of their claims."""
        if not self.is_loaded:
            await self.load()
        batch = self._resolve_claimed(batch)
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
            await self._append_record(record)
        except AppendOutcomeUnknownError as error:
            self._mark_abandoned(batch)
            self._fail_claims(batch, str(error))
            return
        for pending in batch:
            pending.result.set_result(self._result_after_append(pending.intent, record))

    def _result_after_append(self, intent: Intent, record: IntentBatch) -> ClaimResult:
        """Return the result of a claim whose record was read back from the log."""
        claimed_key = self.index.claimed_keys[intent.call_id]
        if claimed_key.owner.record_id == record.record_id:
            self._abandoned.discard(intent.call_id)
            return ClaimWon()
        self.metrics.count("calls.claims_lost")
        return self.known_result(intent.call_id) or ClaimLost(claimed_key=claimed_key)

    def _resolve_claimed(self, batch: list[PendingIntent]) -> list[PendingIntent]:
        """Set the results of claims of already owned keys; return the other claims."""
        unclaimed = []
        for pending in batch:
            result = self.known_result(pending.intent.call_id)
            if result is None:
                unclaimed.append(pending)
            else:
                pending.result.set_result(result)
        return unclaimed

    async def _append_record(self, record: IntentBatch) -> None:
        """Append a record and read the stream until it confirms the append.

        :raises AppendOutcomeUnknownError: the record may be in the log.
        :raises LogUnavailableError: the record is not in the log.
        """
        data = encode_intent_batch(record)
        may_be_appended = False
        for attempt in range(_MAX_APPEND_ATTEMPTS):
            if attempt > 0:
                await self.clock.sleep(_RETRY_DELAY_S)
            self._last_append_s = self.clock.now_s()
            self.metrics.count("calls.intent_appends")
            try:
                await self.log.append(shard_stream_name(self.shard), data)
                may_be_appended = True
            except AppendOutcomeUnknownError:
                may_be_appended = True
            except LogUnavailableError:
                if not may_be_appended:
                    raise
            if await self._is_confirmed(record):
                return
        raise AppendOutcomeUnknownError(
            "the log did not confirm the append of an intent; repeat the call"
        )

    async def _is_confirmed(self, record: IntentBatch) -> bool:
        """Read the stream and return whether it decides every key of a record."""
        try:
            await self.load()
        except PlatformError:
            return False
        # Every key has an owner once the record is read; if all of them had one
        # before, the record changes nothing.
        return all(
            intent.call_id in self.index.claimed_keys for intent in record.intents
        )

    def _is_index_current(self) -> bool:
        """Return whether the index is likely to have all claims of the shard.

        Processes that recently claimed keys of the shard may have claimed more
        since the log was read.
        """
        quiet_since_s = self.clock.wall_s() - _FOREIGN_CLAIM_QUIET_S
        return self.is_loaded and self._last_foreign_claim_s < quiet_since_s

    def _mark_abandoned(self, batch: list[PendingIntent]) -> None:
        """Record that no call was sent for intents that may be in the log."""
        for pending in batch:
            if len(self._abandoned) < _MAX_ABANDONED_KEYS:
                self._abandoned.add(pending.intent.call_id)

    def _fail_claims(self, batch: list[PendingIntent], reason: str) -> None:
        """Set the result of a batch's unresolved claims to a failure."""
        self.metrics.count("calls.claims_failed", len(batch))
        for pending in batch:
            if not pending.result.done():
                result = ClaimFailed(
                    reason=reason, is_index_current=self._is_index_current()
                )
                pending.result.set_result(result)


@dataclass(kw_only=True)
class KeyClaims:
    """The shards in which this process claims keys.

    :param log: client of the platform's log.
    :param ids: generates record ids and identifies this process.
    :param clock: source of time.
    :param metrics: counters.
    :param append_interval_s: minimum time between two appends to a shard, in
        seconds.
    :param retention_s: time for which claimed keys are kept, in seconds.
    :param max_keys: maximum number of keys kept in memory, over all shards.
    """

    log: LogClient
    ids: IdFactory
    clock: Clock
    metrics: Metrics
    append_interval_s: float
    retention_s: float
    max_keys: int
    _shards: dict[int, ShardClaims] = field(default_factory=dict)

    def get_shard(self, number: int) -> ShardClaims:
        """Return the claims of a shard, creating them on first use."""
        if number not in self._shards:
            self._shards[number] = ShardClaims(
                shard=number,
                log=self.log,
                ids=self.ids,
                clock=self.clock,
                metrics=self.metrics,
                append_interval_s=self.append_interval_s,
                index=ShardIndex(retention_s=self.retention_s),
            )
        return self._shards[number]

    @property
    def key_count(self) -> int:
        """Number of keys kept in memory."""
        return sum(len(shard.index.claimed_keys) for shard in self._shards.values())

    @property
    def is_full(self) -> bool:
        """Whether the limit on keys in memory is reached."""
        return self.key_count >= self.max_keys

    async def refresh_shards(self, shards: set[int]) -> None:
        """Read the given shards to their current ends and discard idle others.

        :raises PlatformError: the log cannot be read.
        """
        for number in set(self._shards) - shards:
            if not self._shards[number].is_busy:
                del self._shards[number]
        for number in sorted(shards):
            await self.get_shard(number).load()

    def mark_stale(self) -> None:
        """Require each shard to be read again before its next append."""
        for shard in self._shards.values():
            shard.is_loaded = False

    async def run(self, shards: Callable[[], set[int]]) -> None:
        """Refresh the shards of this process until cancelled.

        A sleep that overruns means that the process was paused; other processes
        may have claimed keys meanwhile, so the shards are marked stale.

        :param shards: returns the shards in which this process claims keys.
        """
        while True:
            try:
                await self.refresh_shards(shards())
            except PlatformError:
                self.metrics.count("calls.intent_reads_failed")
            sleep_started_s = self.clock.now_s()
            await self.clock.sleep(_READ_INTERVAL_S)
            if (
                self.clock.now_s() - sleep_started_s
                > _READ_INTERVAL_S + _MAX_SLEEP_OVERRUN_S
            ):
                self.mark_stale()
