"""What one host reads in the store, told to the others of its region."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

from lacewinglug.host.model import RunnerEntry

MOST_CHANGES = 8
"""Changed entries in a datagram, which stays below one packet of the network."""

_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, kw_only=True, slots=True)
class ViewUpdate:
    """One read of the runners, as the difference to the read before it.

    :param digest: hash of all entries.
    :param changed: entries that are new or have changed.
    :param gone: instances whose entries are gone.
    :param age_s: time since the read, in s.
    :param grace_s: time in which entries that lapsed in an outage of the store come
        back, in s.
    :param configuration_offset: end of the configuration's topic, None where the
        reader does not know it.
    """

    digest: int
    changed: tuple[RunnerEntry, ...] = ()
    gone: tuple[str, ...] = ()
    age_s: float = 0.0
    grace_s: float = 0.0
    configuration_offset: int | None = None


@dataclass(kw_only=True)
class SharedEntries:
    """Owns the entries of runners as the store had them at the last read.

    Two hosts with the same digest have the same entries, so a host that missed a
    change finds out at the next update.
    """

    _entries: dict[str, RunnerEntry] = field(default_factory=dict)

    @property
    def entries(self) -> tuple[RunnerEntry, ...]:
        """All entries."""
        return tuple(self._entries.values())

    def replace(self, entries: Iterable[RunnerEntry]) -> ViewUpdate:
        """Take a read of the store; return what it changed.

        After many changes at once they are left out, and the others read by
        themselves.
        """
        before = self._entries
        self._entries = {item.instance: item for item in entries}
        changed = [
            item
            for instance, item in self._entries.items()
            if _content(item) != _content(before.get(instance))
        ]
        gone = [instance for instance in before if instance not in self._entries]
        if len(changed) + len(gone) > MOST_CHANGES:
            return self.summary()
        return ViewUpdate(
            digest=self._digest(), changed=tuple(changed), gone=tuple(gone)
        )

    def summary(self) -> ViewUpdate:
        """Return the entries by their digest alone."""
        return ViewUpdate(digest=self._digest())

    def apply(self, update: ViewUpdate) -> bool:
        """Take what another host tells; return whether the entries are now equal."""
        for instance in update.gone:
            self._entries.pop(instance, None)
        for item in update.changed:
            self._entries[item.instance] = item
        return self._digest() == update.digest

    def _digest(self) -> int:
        contents = sorted(
            (item.instance, _content(item)) for item in self._entries.values()
        )
        return xxhash.xxh3_64_intdigest(_encoder.encode(contents))


def _content(entry: RunnerEntry | None) -> bytes:
    """Return what counts as a change of an entry: all but how long it stays slow."""
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
