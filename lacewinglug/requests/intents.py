"""Intents to run calls under caller-supplied keys, ordered by the platform's log.

Keys are sharded, with one stream for each shard. The first intent for a key in
its stream names the only process that may run the call.
"""

from dataclasses import dataclass, field

import msgspec

from lacewinglug.backing.log import StoredRecord

SHARD_COUNT = 32


class Intent(msgspec.Struct, frozen=True, kw_only=True):
    """A process's intent to run the call of one key.

    :param call_id: id of the key, see ``supplied_key_id``.
    :param fingerprint: digest of the call.
    """

    call_id: str
    fingerprint: str


class IntentBatch(msgspec.Struct, frozen=True, kw_only=True, tag="intents"):
    """A log record with intents of one process.

    :param record_id: unique id; an append that is retried keeps it.
    :param host: host of the process.
    :param incarnation: run of the process.
    :param written_at_s: time of writing, in seconds since the Unix epoch; used
        only to expire the intents.
    :param intents: the intents.
    """

    record_id: str
    host: str
    incarnation: str
    written_at_s: float
    intents: list[Intent]


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyOwner:
    """The process whose intent for a key came first.

    :param host: host of the process.
    :param incarnation: run of the process.
    :param record_id: id of the record that holds the intent.
    :param written_at_s: time of writing of that record, in seconds since the Unix
        epoch.
    """

    host: str
    incarnation: str
    record_id: str
    written_at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimedKey:
    """A key that has an owner.

    :param owner: the only process that may run the call.
    :param fingerprint: digest of the call, see ``call_fingerprint``.
    """

    owner: KeyOwner
    fingerprint: str


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(IntentBatch)


def shard_of_key(call_id: str) -> int:
    """Return the shard of a key, given the key's id."""
    return int(call_id[:8], 16) % SHARD_COUNT


def shard_stream_name(shard: int) -> str:
    """Return the name of the stream of a shard."""
    return f"call-intents-{shard}"


def encode_intent_batch(batch: IntentBatch) -> bytes:
    """Return the encoded form of a record."""
    return _encoder.encode(batch)


@dataclass(kw_only=True)
class ShardIndex:
    """Owners of keys, from the records of one shard before ``next_offset``.

    :param retention_s: time for which a key is kept, in seconds.
    """

    retention_s: float
    next_offset: int = 0
    claimed_keys: dict[str, ClaimedKey] = field(default_factory=dict)
    undecodable_count: int = 0

    def apply(self, stored: StoredRecord, *, now_s: float) -> IntentBatch | None:
        """Apply one record; only the first intent for each key has an effect.

        :param stored: record read from the log.
        :param now_s: wall-clock time, in seconds.
        :returns: the decoded batch, or None if the record was applied before or
            cannot be decoded.
        """
        if stored.offset < self.next_offset:
            return None
        self.next_offset = stored.offset + 1
        try:
            batch = _decoder.decode(stored.data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.undecodable_count += 1
            return None
        if batch.written_at_s < now_s - self.retention_s:
            return batch
        owner = KeyOwner(
            host=batch.host,
            incarnation=batch.incarnation,
            record_id=batch.record_id,
            written_at_s=batch.written_at_s,
        )
        for intent in batch.intents:
            claimed_key = ClaimedKey(owner=owner, fingerprint=intent.fingerprint)
            self.claimed_keys.setdefault(intent.call_id, claimed_key)
        return batch

    def remove_expired(self, *, now_s: float) -> None:
        """Remove the keys that are older than the retention time."""
        while self.claimed_keys:
            oldest = next(iter(self.claimed_keys))
            if self.claimed_keys[oldest].owner.written_at_s >= now_s - self.retention_s:
                return
            del self.claimed_keys[oldest]
