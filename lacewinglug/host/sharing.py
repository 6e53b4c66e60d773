"""Replicates the runner entries that one host reads to the others of its region."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.positions import FIRST_ERA, StorePosition

MAX_CHANGES_PER_DATAGRAM = 8
"""Maximum number of changed entries in a datagram, which must fit into one network
packet."""

_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, kw_only=True, slots=True)
class ViewUpdate:
    """The result of one read of the runners, as a difference from the previous read.

    :param digest: hash of all entries.
    :param changed: new and changed entries.
    :param gone: instances whose entries were removed.
    :param age_s: time since the read, in seconds.
    :param grace_s: time for which missing entries are kept because they may be
        registered again after an outage of the store, in seconds.
    :param era: latest era of the store that the reader knows.
    :param configuration_end: end of the configuration topic, None if the reader does
        not know it.
    :param configuration_version: version of its configuration, -1 without one.
    """

    digest: int
    changed: tuple[RunnerEntry, ...] = ()
    gone: tuple[str, ...] = ()
    age_s: float = 0.0
    grace_s: float = 0.0
    era: int = FIRST_ERA
    configuration_end: StorePosition | None = None
    configuration_version: int = -1


@dataclass(kw_only=True)
class ReplicatedRunners:
    """Replica of the runner entries as of the last read of the store.

    Equal digests mean equal entries, so a host that missed an update notices it at
    the next one.
    """

    _entries: dict[str, RunnerEntry] = field(default_factory=dict)

    @property
    def entries(self) -> tuple[RunnerEntry, ...]:
        """All entries."""
        return tuple(self._entries.values())

    def replace(self, entries: Iterable[RunnerEntry]) -> ViewUpdate:
        """Replace the entries with those read from the store; return the difference.

        If there are too many changes for a datagram, the update has only the digest,
        and the other hosts read the store themselves.
        """
        before = self._entries
        self._entries = {item.instance: item for item in entries}
        changed = [
            item
            for instance, item in self._entries.items()
            if _encode_content(item) != _encode_content(before.get(instance))
        ]
        gone = [instance for instance in before if instance not in self._entries]
        if len(changed) + len(gone) > MAX_CHANGES_PER_DATAGRAM:
            return self.summary()
        return ViewUpdate(
            digest=self._digest(), changed=tuple(changed), gone=tuple(gone)
        )

    def summary(self) -> ViewUpdate:
        """Return an update with only the digest of the entries."""
        return ViewUpdate(digest=self._digest())

    def apply(self, update: ViewUpdate) -> bool:
        """Apply an update of another host; return whether the entries are now equal."""
        for instance in update.gone:
            self._entries.pop(instance, None)
        for item in update.changed:
            self._entries[item.instance] = item
        return self._digest() == update.digest

    def _digest(self) -> int:
        contents = sorted(
            (item.instance, _encode_content(item)) for item in self._entries.values()
        )
        return xxhash.xxh3_64_intdigest(_encoder.encode(contents))


def _encode_content(entry: RunnerEntry | None) -> bytes:
    """Encode the fields whose change is to be sent.

    Of the remaining warm-up time, which always shrinks, only whether there is any.
    """
    if entry is None:
        return b""
    return _encoder.encode(
        (
            entry.service,
            entry.address,
            entry.zone,
            entry.slots,
            entry.draining,
            entry.stage.value,
            entry.cold_s > 0,
            entry.born_ms,
        )
    )
