"""The runners as last read from the store, kept across outages of the store."""

import logging
import math
from collections.abc import Iterable, Set
from dataclasses import dataclass, field, replace
from enum import Enum

from lacewinglug.host.model import RunnerEntry

logger = logging.getLogger(__name__)

REGISTRATION_GRACE_S = 2.0
"""Time within which entries that expired during an outage of the store, or were lost
when it was restored, are registered again, in seconds; specified by the platform."""
MAX_DEPARTURE_SILENCE_S = 1.5
"""Time since its last response for which a runner whose entry is removed counts as one
that left deliberately, in seconds. The entry of a crashed runner is removed after three
heartbeat intervals of silence, which take longer."""
MAX_DEPARTED_RUNNERS = 256
"""Maximum number of runners to remember whose entries were removed; several times the
runners of a service."""
MAX_LEAVING_NOTICES = 1024
"""Maximum number of leaving notices to remember of incarnations that are not
registered."""


class LeavingSource(Enum):
    """Where a host learned that a runner leaves."""

    REGISTRY = "registry"
    RESPONSE = "response"


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingNotice:
    """A notice that a runner leaves; it is final for the runner's incarnation.

    :param source: first source of the notice.
    :param seen_at_s: monotonic time at which that source was read.
    """

    source: LeavingSource
    seen_at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """The end of a runner's registration.

    :param born_ms: start time of its last incarnation as Unix time in ms.
    :param for_good: whether it left rather than crashed, as far as is known.
    """

    born_ms: int
    for_good: bool


@dataclass(kw_only=True)
class FleetView:
    """Registered runners, with the time at which they were read from the store.

    A runner that the registry lists as draining, or that says in a response that it
    leaves, has draining set in all entries of its incarnation.

    :param read_at_s: monotonic time of the last successful read, None before the first.
    """

    read_at_s: float | None = None
    _entries: dict[str, RunnerEntry] = field(default_factory=dict)
    _by_service: dict[str, tuple[RunnerEntry, ...]] = field(default_factory=dict)
    _leaving: dict[tuple[str, int], LeavingNotice] = field(default_factory=dict)
    _missing: Set[str] = frozenset()
    _departed: dict[str, Departure] = field(default_factory=dict)
    # Start time, in ms, of the last incarnation of each instance that had ended when
    # the store was restored; its entries are held back for some time.
    _ended: dict[str, int] = field(default_factory=dict)
    _ended_until_s: float = float("-inf")
    _ended_expiry_s: float = 0.0
    _rewritten_at_s: float = float("-inf")
    _held_back: Set[str] = frozenset()
    _responded_at_s: dict[str, float] = field(default_factory=dict)
    _store_unavailable: bool = False
    _grace_until_s: float = float("-inf")

    @property
    def is_loaded(self) -> bool:
        """Whether the runners have been read at least once."""
        return self.read_at_s is not None

    def age_s(self, now_s: float) -> float:
        """Return the age of the view in seconds, infinite before the first read."""
        return float("inf") if self.read_at_s is None else now_s - self.read_at_s

    def mark_store_unavailable(self, *, now_s: float) -> None:
        """Record that the store did not answer; the last view stays in use."""
        if not self._store_unavailable:
            logger.warning(
                "store unavailable; keeping the last view of runners",
                extra={"view_age_s": round(self.age_s(now_s), 3)},
            )
        self._store_unavailable = True

    def mark_store_restored(
        self, *, now_s: float, rewrite_s: float, expiry_s: float
    ) -> None:
        """Record that the store was restored from a copy.

        Entries of runners newer than the copy are missing, and others state an earlier
        stage, until their runners write again. Entries of incarnations that have ended
        since are listed until they expire.

        :param rewrite_s: time after which all live runners have written again, in
            seconds.
        :param expiry_s: time after which entries that are not written again have
            expired, in seconds.
        """
        self._ended = {
            instance: departure.born_ms
            for instance, departure in self._departed.items()
        }
        for instance, entry in self._entries.items():
            # Incarnations before the registered one have ended.
            self._ended[instance] = entry.born_ms - 1
        self._ended_until_s = max(self._ended_until_s, now_s + expiry_s)
        self._ended_expiry_s = expiry_s
        self._rewritten_at_s = now_s + rewrite_s
        self._grace_until_s = max(self._grace_until_s, now_s + REGISTRATION_GRACE_S)

    def grace_left_s(self, now_s: float) -> float:
        """Return for how long missing entries are still kept, in seconds."""
        return max(0.0, self._grace_until_s - now_s)

    def update(
        self, entries: Iterable[RunnerEntry], *, now_s: float, grace_s: float = 0.0
    ) -> None:
        """Replace the view with the entries that were read from the store.

        :param grace_s: time for which missing entries are kept because they may be
            registered again after an outage of the store, in seconds; comes from the
            host that read the entries.
        """
        if self._store_unavailable:
            self._store_unavailable = False
            grace_s = max(grace_s, REGISTRATION_GRACE_S)
            if self._ended:
                # Entries may not expire while the store is unavailable.
                self._ended_until_s = now_s + self._ended_expiry_s
            logger.info("store available again")
        if grace_s > 0:
            self._grace_until_s = max(self._grace_until_s, now_s + grace_s)
        fresh = {
            item.instance: self._keep_leaving(
                self._keep_stage(item, now_s=now_s), now_s=now_s
            )
            for item in self._hold_back_ended(entries, now_s=now_s)
        }
        for instance in fresh:
            self._departed.pop(instance, None)
        missing = self._entries.keys() - fresh.keys()
        if now_s > self._grace_until_s:
            self._record_departed(missing, now_s=now_s)
            missing = set()
        for instance in missing:
            fresh[instance] = self._entries[instance]
        self._missing = missing
        self._responded_at_s = {
            instance: at_s
            for instance, at_s in self._responded_at_s.items()
            if instance in fresh
        }
        self._log_changes(fresh)
        self._entries = fresh
        self._forget_old_notices()
        self._by_service = _group(fresh.values())
        self.read_at_s = now_s

    def record_leaving(self, entry: RunnerEntry, *, now_s: float) -> bool:
        """Record that a runner said in a response that it leaves.

        :param entry: entry that the request was sent by.
        :returns: whether this incarnation was not known to leave.
        """
        if _incarnation(entry) in self._leaving:
            return False
        self._leaving[_incarnation(entry)] = LeavingNotice(
            source=LeavingSource.RESPONSE, seen_at_s=now_s
        )
        logger.info(
            "runner says that it leaves",
            extra={
                "runner": entry.instance,
                "born_ms": entry.born_ms,
                "service": entry.service,
                "zone": entry.zone,
                "view_age_s": round(self.age_s(now_s), 3),
            },
        )
        known = self._entries.get(entry.instance)
        if known is not None and known.born_ms == entry.born_ms:
            self._entries[entry.instance] = replace(known, draining=True)
            self._by_service = _group(self._entries.values())
        return True

    def leaving_notice(self, entry: RunnerEntry) -> LeavingNotice | None:
        """Return the notice that an incarnation of a runner leaves, None if none."""
        return self._leaving.get(_incarnation(entry))

    def leaving_by_response(self, service: str) -> list[str]:
        """Return the registered runners of a service that said themselves they leave.

        The instances are in the order in which they said so.
        """
        found = []
        for (instance, born_ms), notice in self._leaving.items():
            entry = self._entries.get(instance)
            if (
                notice.source is LeavingSource.RESPONSE
                and entry is not None
                and (entry.service, entry.born_ms) == (service, born_ms)
            ):
                found.append(instance)
        return found

    def record_response(self, instance: str, *, now_s: float) -> None:
        """Record that a runner sent a part of a response."""
        self._responded_at_s[instance] = now_s

    def ready(self, service: str) -> tuple[RunnerEntry, ...]:
        """Return the runners of a service that accept new work."""
        return self._by_service.get(service, ())

    def get(self, instance: str) -> RunnerEntry | None:
        """Return the entry of a runner, or None if it is not registered."""
        return self._entries.get(instance)

    def has_left(self, instance: str) -> bool:
        """Return whether a runner is draining, or has left for good.

        A runner whose entry expired without draining may have crashed, and may come
        back, unless it responded until shortly before. One that is still missing after
        an outage of the store has left.
        """
        entry = self._entries.get(instance)
        if entry is not None:
            return entry.draining
        departure = self._departed.get(instance)
        return departure is not None and departure.for_good

    @property
    def entries(self) -> tuple[RunnerEntry, ...]:
        """All entries, including those of draining runners."""
        return tuple(self._entries.values())

    def _hold_back_ended(
        self, entries: Iterable[RunnerEntry], *, now_s: float
    ) -> list[RunnerEntry]:
        """Return the entries without restored ones of incarnations that had ended."""
        if now_s > self._ended_until_s:
            self._ended = {}
        listed, held_back = [], set()
        for item in entries:
            if item.born_ms <= self._ended.get(item.instance, -1):
                held_back.add(item.instance)
            else:
                listed.append(item)
        for instance in held_back - self._held_back:
            logger.info(
                "ignoring a restored entry of an incarnation that has ended",
                extra={"runner": instance, "ended_born_ms": self._ended[instance]},
            )
        self._held_back = held_back
        return listed

    def _keep_stage(self, entry: RunnerEntry, *, now_s: float) -> RunnerEntry:
        """Return the entry with the known stage until restored entries are current."""
        known = self._entries.get(entry.instance)
        if (
            known is None
            or known.born_ms != entry.born_ms
            or now_s > self._rewritten_at_s
        ):
            return entry
        return replace(entry, stage=known.stage)

    def _keep_leaving(self, entry: RunnerEntry, *, now_s: float) -> RunnerEntry:
        """Return the entry to use: leaving is final within one incarnation."""
        if entry.draining:
            self._leaving.setdefault(
                _incarnation(entry),
                LeavingNotice(source=LeavingSource.REGISTRY, seen_at_s=now_s),
            )
        return replace(entry, draining=_incarnation(entry) in self._leaving)

    def _forget_old_notices(self) -> None:
        """Forget the oldest notices of incarnations that are not registered."""
        registered = {_incarnation(item) for item in self._entries.values()}
        old = [key for key in self._leaving if key not in registered]
        for key in old[: max(0, len(old) - MAX_LEAVING_NOTICES)]:
            del self._leaving[key]

    def _record_departed(self, missing: Iterable[str], *, now_s: float) -> None:
        """Remember runners whose entries were removed.

        One left for good if it did so deliberately, or was missing after an outage.
        """
        for instance in missing:
            responded_at_s = self._responded_at_s.pop(instance, -math.inf)
            entry = self._entries[instance]
            self._departed[instance] = Departure(
                born_ms=entry.born_ms,
                for_good=entry.draining
                or instance in self._missing
                or now_s - responded_at_s < MAX_DEPARTURE_SILENCE_S,
            )
        while len(self._departed) > MAX_DEPARTED_RUNNERS:
            del self._departed[next(iter(self._departed))]

    def _log_changes(self, fresh: dict[str, RunnerEntry]) -> None:
        for instance in self._entries.keys() - fresh.keys():
            logger.info("runner no longer registered", extra={"runner": instance})
        for instance, entry in fresh.items():
            before = self._entries.get(instance)
            changed = before is None or (
                (before.draining, before.stage) != (entry.draining, entry.stage)
            )
            if changed:
                logger.info(
                    "runner registered or changed",
                    extra={
                        "runner": instance,
                        "service": entry.service,
                        "zone": entry.zone,
                        "draining": entry.draining,
                        "stage": entry.stage.value,
                    },
                )


def _incarnation(entry: RunnerEntry) -> tuple[str, int]:
    return entry.instance, entry.born_ms


def _group(entries: Iterable[RunnerEntry]) -> dict[str, tuple[RunnerEntry, ...]]:
    """Return the runners that accept work, by service.

    If two entries have the same address, only the newer one counts, or the one that
    does not leave if both are equally old.
    """
    newest: dict[str, RunnerEntry] = {}
    for entry in entries:
        known = newest.get(entry.address)
        if known is None or _takes_address_from(known, entry):
            newest[entry.address] = entry
    groups: dict[str, list[RunnerEntry]] = {}
    for entry in newest.values():
        if not entry.draining:
            groups.setdefault(entry.service, []).append(entry)
    return {
        service: tuple(sorted(items, key=lambda item: item.instance))
        for service, items in groups.items()
    }


def _takes_address_from(known: RunnerEntry, entry: RunnerEntry) -> bool:
    return (entry.born_ms, not entry.draining) > (known.born_ms, not known.draining)
