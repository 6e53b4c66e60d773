"""The runners as last read from the store, and what outlives its outages."""

import logging
from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from lacewinglug.host.model import RunnerEntry

logger = logging.getLogger(__name__)

REGISTRATION_GRACE_S = 2.0
"""Time after the store's return in which lapsed entries come back, in s; stated
by the platform."""
MOST_GONE = 256
"""Runners that have left and are remembered, several times a service."""


@dataclass(kw_only=True)
class FleetView:
    """Owns the entries of runners and the time of the read that they come from.

    :param read_s: monotonic time of the last successful read, None before it.
    """

    read_s: float | None = None
    _entries: dict[str, RunnerEntry] = field(default_factory=dict)
    _by_service: dict[str, tuple[RunnerEntry, ...]] = field(default_factory=dict)
    _drained: dict[str, int] = field(default_factory=dict)
    _awaited: Set[str] = frozenset()
    _gone: dict[str, None] = field(default_factory=dict)
    _away: bool = False
    _grace_until_s: float = float("-inf")

    @property
    def known(self) -> bool:
        """Whether the runners were read at least once."""
        return self.read_s is not None

    def age_s(self, now_s: float) -> float:
        """Return the age of the view, in s; infinite before the first read."""
        return float("inf") if self.read_s is None else now_s - self.read_s

    def note_unavailable(self, *, now_s: float) -> None:
        """Note that the store did not answer; the last view holds."""
        if not self._away:
            logger.warning(
                "store lost; the last view of runners holds",
                extra={"view_age_s": round(self.age_s(now_s), 3)},
            )
        self._away = True

    def grace_left_s(self, now_s: float) -> float:
        """Return for how long entries that are missing may still come back, in s."""
        return max(0.0, self._grace_until_s - now_s)

    def update(
        self, entries: Iterable[RunnerEntry], *, now_s: float, grace_s: float = 0.0
    ) -> None:
        """Take what the store holds now.

        :param grace_s: time in which entries that lapsed in an outage of the store
            come back, as the host that has read them knows it.
        """
        if self._away:
            self._away = False
            grace_s = max(grace_s, REGISTRATION_GRACE_S)
            logger.info("store regained")
        if grace_s > 0:
            self._grace_until_s = max(self._grace_until_s, now_s + grace_s)
        fresh = {item.instance: self._settle(item) for item in entries}
        for instance in fresh:
            self._gone.pop(instance, None)
        missing = self._entries.keys() - fresh.keys()
        if now_s > self._grace_until_s:
            self._note_gone(missing)
            missing = set()
        for instance in missing:
            fresh[instance] = self._entries[instance]
        self._awaited = missing
        self._log_changes(fresh)
        self._entries = fresh
        self._drained = {
            item.instance: item.born_ms for item in fresh.values() if item.draining
        }
        self._by_service = _group(fresh.values())
        self.read_s = now_s

    def ready(self, service: str) -> tuple[RunnerEntry, ...]:
        """Return the runners of a service that take new work."""
        return self._by_service.get(service, ())

    def get(self, instance: str) -> RunnerEntry | None:
        """Return the entry of a runner that has not left."""
        return self._entries.get(instance)

    def has_left(self, instance: str) -> bool:
        """Return whether a runner leaves, or has left and will not come back.

        A runner that was silent may have crashed, and may come back.
        """
        entry = self._entries.get(instance)
        return instance in self._gone if entry is None else entry.draining

    @property
    def entries(self) -> tuple[RunnerEntry, ...]:
        """All entries, draining ones included."""
        return tuple(self._entries.values())

    def _settle(self, entry: RunnerEntry) -> RunnerEntry:
        """Keep a runner draining that was so before in the same incarnation."""
        if self._drained.get(entry.instance) != entry.born_ms or entry.draining:
            return entry
        return self._entries[entry.instance]

    def _note_gone(self, missing: Iterable[str]) -> None:
        """Remember runners that left by plan, or were missed after an outage."""
        for instance in missing:
            if self._entries[instance].draining or instance in self._awaited:
                self._gone[instance] = None
        while len(self._gone) > MOST_GONE:
            del self._gone[next(iter(self._gone))]

    def _log_changes(self, fresh: dict[str, RunnerEntry]) -> None:
        for instance in self._entries.keys() - fresh.keys():
            logger.info("runner left", extra={"runner": instance})
        for instance, entry in fresh.items():
            before = self._entries.get(instance)
            changed = before is None or (
                (before.draining, before.stage) != (entry.draining, entry.stage)
            )
            if changed:
                logger.info(
                    "runner changed",
                    extra={
                        "runner": instance,
                        "service": entry.service,
                        "zone": entry.zone,
                        "draining": entry.draining,
                        "stage": entry.stage.value,
                    },
                )


def _group(entries: Iterable[RunnerEntry]) -> dict[str, tuple[RunnerEntry, ...]]:
    """Return the runners that take work by service; a reused address counts once."""
    newest: dict[str, RunnerEntry] = {}
    for entry in entries:
        known = newest.get(entry.address)
        if known is None or entry.born_ms > known.born_ms:
            newest[entry.address] = entry
    groups: dict[str, list[RunnerEntry]] = {}
    for entry in newest.values():
        if not entry.draining:
            groups.setdefault(entry.service, []).append(entry)
    return {
        service: tuple(sorted(items, key=lambda item: item.instance))
        for service, items in groups.items()
    }
