"""Intents to run callers' own keys, as the platform's log orders them.

The keys are spread over streams, one for each shard. The first intent record
of a key in its stream names the only process that may run the call.
"""

from dataclasses import dataclass, field

import msgspec

from lacewinglug.backing.log import StoredRecord

SHARD_COUNT = 32


class Intent(msgspec.Struct, frozen=True, kw_only=True):
    """One process's intent to run one key.

    :param call_id: id of the key.
    :param fingerprint: digest of the call.
    """

    call_id: str
    fingerprint: str


class IntentBatch(msgspec.Struct, frozen=True, kw_only=True, tag="intents"):
    """Intents of one process, appended together.

    :param record_id: unique id, the same in every copy of the record.
    :param host: host of the process.
    :param incarnation: run of the process.
    :param written_at_s: time of writing, in seconds since the Unix epoch; tells
        only when the intents are forgotten.
    :param intents: the intents.
    """

    record_id: str
    host: str
    incarnation: str
    written_at_s: float
    intents: list[Intent]


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """The process whose intent was first.

    :param host: host of the process.
    :param incarnation: run of the process.
    :param record_id: id of the record with its intent.
    :param written_at_s: time of that record, in seconds since the Unix epoch.
    """

    host: str
    incarnation: str
    record_id: str
    written_at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldKey:
    """A key that has an owner.

    :param holder: the process that may run it.
    :param fingerprint: digest of the call that it may run.
    """

    holder: Holder
    fingerprint: str


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(IntentBatch)


def shard_of(call_id: str) -> int:
    """Return the shard of a key."""
    return int(call_id[:8], 16) % SHARD_COUNT


def shard_stream(shard: int) -> str:
    """Return the name of the stream of a shard."""
    return f"call-intents-{shard}"


def encode_batch(batch: IntentBatch) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(batch)


@dataclass(kw_only=True)
class ShardIndex:
    """Who holds each key, by the records of one shard up to ``next_offset``.

    :param window_s: time for which a key is remembered, in seconds.
    """

    window_s: float
    next_offset: int = 0
    held: dict[str, HeldKey] = field(default_factory=dict)
    undecodable: int = 0

    def apply(self, stored: StoredRecord, *, now_s: float) -> IntentBatch | None:
        """Replay one record; a later intent of a held key has no effect.

        :param stored: the record.
        :param now_s: time of the clock on the wall, in seconds.
        :returns: the batch, or None when it was read before or cannot be read.
        """
        if stored.offset < self.next_offset:
            return None
        self.next_offset = stored.offset + 1
        try:
            batch = _decoder.decode(stored.data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.undecodable += 1
            return None
        if batch.written_at_s < now_s - self.window_s:
            return batch
        holder = Holder(
            host=batch.host,
            incarnation=batch.incarnation,
            record_id=batch.record_id,
            written_at_s=batch.written_at_s,
        )
        for intent in batch.intents:
            held = HeldKey(holder=holder, fingerprint=intent.fingerprint)
            self.held.setdefault(intent.call_id, held)
        return batch

    def forget_old(self, *, now_s: float) -> None:
        """Forget the keys that are older than the window."""
        while self.held:
            oldest = next(iter(self.held))
            if self.held[oldest].holder.written_at_s >= now_s - self.window_s:
                return
            del self.held[oldest]
