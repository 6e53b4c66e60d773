"""Tracks the estimated state of the engines of model services."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from lacewinglug.host.backlog import PRIORITY_LEVELS, PrefillBacklog
from lacewinglug.host.link_slowdown import LinkSlowdown
from lacewinglug.host.model import EngineProfile, RunnerEntry
from lacewinglug.host.residency import HashedPart, PrefixCacheEstimate
from lacewinglug.host.speeds import (
    NO_WORK,
    EngineSlowdown,
    PrefillWork,
    ServiceSpeeds,
    SharedSpeed,
    WorkRate,
)
from lacewinglug.interference.pace import EnginePace

MIN_COMPUTE_SHARE = 0.05
"""Minimum share of a measured prefill time that counts as computation."""
MAX_UNREGISTERED_ENGINES = 256
"""Maximum number of engines for which cached parts are kept before the engine is
seen in the store."""
MAX_PARTS_PER_UNREGISTERED_ENGINE = 2_000
"""Maximum number of cached parts kept per such engine; a full cache has a few
hundred."""
STREAM_COUNTS_TTL_S = 2.6
"""Time after which the stream counts reported by another host are ignored, in
seconds; the same as the time after which a silent host gets no clients."""


@dataclass(kw_only=True, slots=True)
class TrackedEngine:
    """Estimated state of one engine.

    :param entry: registration of the engine.
    :param prefix_cache: prompt parts that are in its KV cache.
    :param backlog: prompts that are queued for prefill.
    :param speeds: estimated speed of the engines of its service.
    :param prefill_rate: prefills that hosts have assigned to it.
    :param prefill_slowdown: measured slowdown of its prefills, relative to its service.
    :param step_slowdown: measured slowdown of its steps, relative to its service.
    :param pace: temporary slowdown of steps and prefills, told by its steps.
    :param link_slowdown: measured slowdown of KV cache transfers over its link.
    :param stage_change_until_s: monotonic time at which its current stage change ends.
    """

    entry: RunnerEntry
    prefix_cache: PrefixCacheEstimate
    speeds: ServiceSpeeds = field(default_factory=ServiceSpeeds)
    backlog: PrefillBacklog = field(default_factory=PrefillBacklog)
    prefill_rate: WorkRate = field(default_factory=WorkRate)
    prefill_slowdown: EngineSlowdown = field(default_factory=EngineSlowdown)
    step_slowdown: EngineSlowdown = field(default_factory=EngineSlowdown)
    pace: EnginePace = field(default_factory=EnginePace)
    link_slowdown: LinkSlowdown = field(default_factory=LinkSlowdown)
    stage_change_until_s: float = 0.0

    def prefill_s(self, work: PrefillWork, *, now_s: float | None = None) -> float:
        """Return the estimated time of prefill work, in seconds.

        :param now_s: monotonic time, None for the time at the engine's usual speed.
        """
        speed = self.speeds.of_stage(self.entry.stage)
        pace = 1.0 if now_s is None else self.pace.factor(now_s)
        return speed.expected_s(work) * self.prefill_slowdown.factor * pace

    def steps_slowdown(self, now_s: float) -> float:
        """Return the estimated time of its decode steps, relative to its service."""
        return self.step_slowdown.factor * self.pace.factor(now_s)

    def record_prefill(
        self, work: PrefillWork, *, took_s: float, overhead_s: float, now_s: float
    ) -> None:
        """Update the estimated speeds from a prefill that has ended.

        :param work: work of the prompt and of those that were queued before it.
        :param took_s: time from the request to its response.
        :param overhead_s: part of that time that is expected for network and transfers.
        """
        speed = self.speeds.of_stage(self.entry.stage)
        expected_s = speed.expected_s(work)
        # The network time is known only roughly, so that a sample tells less the
        # larger its share is.
        compute_s = max(took_s - overhead_s, MIN_COMPUTE_SHARE * took_s)
        weight = compute_s / (compute_s + overhead_s)
        self.prefill_slowdown.add_sample(
            expected_s=expected_s * speed.median_overrun * weight,
            actual_s=compute_s * weight,
        )
        speed.add_sample(work, took_s=compute_s, weight=weight, now_s=now_s)

    def record_step_pace(self, slowdown: float, *, now_s: float) -> bool:
        """Record the time of decode steps relative to the service.

        :returns: whether other hosts are to be told of it.
        """
        return self.pace.add_sample(slowdown, usual=self.step_slowdown, now_s=now_s)

    def complete(self, number: int | None, *, now_s: float) -> None:
        """Record that a prompt of the backlog is prefilled."""
        if number is not None:
            self.backlog.complete(number, now_s=now_s)

    def withdraw(self, number: int | None, *, now_s: float) -> None:
        """Remove a prompt from the backlog that the engine will not prefill."""
        if number is not None:
            self.backlog.remove(number, now_s=now_s)


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineWork:
    """Prefill work that a host assigned to an engine, as sent to the other hosts.

    :param instance: instance id of the engine.
    :param priority: priority of the prompt, 0 first.
    :param work_s: estimated prefill time, in seconds.
    :param parts: parts of the prompt that the engine caches afterwards.
    :param work: amount of the work.
    :param age_s: time since it was assigned, in seconds.
    :param step_slowdown: measured time of decode steps relative to the service, 0 if
        the message is not about them.
    """

    instance: str
    priority: int
    work_s: float
    parts: tuple[HashedPart, ...]
    work: PrefillWork = NO_WORK
    age_s: float = 0.0
    step_slowdown: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _StreamCounts:
    counts: dict[str, int]
    received_at_s: float


@dataclass(kw_only=True)
class EngineTracker:
    """Tracks the engines of all services."""

    _engines: dict[str, TrackedEngine] = field(default_factory=dict)
    _remote_counts: dict[str, _StreamCounts] = field(default_factory=dict)
    _unregistered_parts: dict[str, list[HashedPart]] = field(default_factory=dict)
    _speeds: dict[str, ServiceSpeeds] = field(default_factory=dict)

    def speeds(self, service: str) -> ServiceSpeeds:
        """Return the estimated speeds of the engines of a service."""
        return self._speeds.setdefault(service, ServiceSpeeds())

    def add_shared_speed(self, speed: SharedSpeed, *, now_s: float) -> None:
        """Add samples of prefill times of another host."""
        known = self.speeds(speed.service).of_stage(speed.stage)
        known.add_sums(speed.sums, now_s=now_s)

    def take_unshared_speeds(self) -> list[SharedSpeed]:
        """Return this host's samples of prefill times since the last call."""
        return [
            SharedSpeed(service=service, stage=stage, sums=sums)
            for service, speeds in self._speeds.items()
            for stage, sums in speeds.take_unshared()
        ]

    def track(
        self, entries: Iterable[RunnerEntry], profile: EngineProfile
    ) -> list[TrackedEngine]:
        """Return the state of the given engines, starting to track new ones."""
        return [self._track_one(entry, profile) for entry in entries]

    def get(self, instance: str) -> TrackedEngine | None:
        """Return the state of an engine, or None if it is not tracked."""
        return self._engines.get(instance)

    def record_work(self, work: EngineWork, *, now_s: float) -> int | None:
        """Record work that this or another host assigned to an engine.

        :returns: number of the prompt in the backlog of the engine, None if it needs no
            prefill or the engine is not tracked.
        """
        engine = self._engines.get(work.instance)
        if engine is None:
            self._store_unregistered(work)
            return None
        if work.step_slowdown > 0.0:
            engine.record_step_pace(work.step_slowdown, now_s=now_s)
        if work.work_s <= 0.0:
            engine.prefix_cache.add(work.parts, ready_s=now_s)
            return None
        engine.speeds.record_demand(work.work, now_s=now_s)
        engine.prefill_rate.add(work.work, now_s=now_s)
        assigned_s = now_s - work.age_s
        wait_s = engine.backlog.wait_s(work.priority, now_s=assigned_s)
        number = engine.backlog.add(
            work.priority, work.work, work.work_s, now_s=assigned_s
        )
        ready_s = assigned_s + wait_s + work.work_s
        engine.prefix_cache.add(work.parts, ready_s=ready_s)
        return number

    def record_remote_streams(
        self, host: str, counts: dict[str, int], *, now_s: float
    ) -> None:
        """Record how many streams another host runs at each engine."""
        self._remote_counts[host] = _StreamCounts(counts=counts, received_at_s=now_s)

    def remote_streams(self, *, now_s: float) -> dict[str, int]:
        """Return the streams of all other hosts, by engine instance."""
        totals: dict[str, int] = {}
        for host, item in list(self._remote_counts.items()):
            if now_s - item.received_at_s > STREAM_COUNTS_TTL_S:
                del self._remote_counts[host]
                continue
            for instance, count in item.counts.items():
                totals[instance] = totals.get(instance, 0) + count
        return totals

    def mark_stage_change(self, instance: str, *, until_s: float) -> None:
        """Mark an engine as changing its stage, so that it gets no new work."""
        engine = self._engines.get(instance)
        if engine is not None:
            engine.stage_change_until_s = until_s

    def cached_parts_as_work(self) -> list[EngineWork]:
        """Return the cached parts of all engines, as work that takes no time."""
        return [
            EngineWork(
                instance=instance,
                priority=PRIORITY_LEVELS - 1,
                work_s=0.0,
                parts=engine.prefix_cache.parts,
            )
            for instance, engine in self._engines.items()
        ]

    def remove_departed(self, remaining: Iterable[str]) -> None:
        """Stop tracking all engines but the given instances."""
        names = set(remaining)
        for instance in [item for item in self._engines if item not in names]:
            del self._engines[instance]

    def _store_unregistered(self, work: EngineWork) -> None:
        """Keep cached parts that arrive before the engine is seen in the store."""
        if (
            len(self._unregistered_parts) < MAX_UNREGISTERED_ENGINES
            or work.instance in self._unregistered_parts
        ):
            parts = self._unregistered_parts.setdefault(work.instance, [])
            parts += work.parts[: MAX_PARTS_PER_UNREGISTERED_ENGINE - len(parts)]

    def _track_one(self, entry: RunnerEntry, profile: EngineProfile) -> TrackedEngine:
        engine = self._engines.get(entry.instance)
        if engine is None or engine.entry.born_ms != entry.born_ms:
            prefix_cache = PrefixCacheEstimate(
                capacity_tokens=profile.cache_capacity_tokens
            )
            engine = TrackedEngine(
                entry=entry,
                prefix_cache=prefix_cache,
                speeds=self.speeds(entry.service),
            )
            self._engines[entry.instance] = engine
            prefix_cache.add(
                self._unregistered_parts.pop(entry.instance, ()), ready_s=0.0
            )
        if engine.entry.stage is not entry.stage:
            # The stage change has ended: the engine registered its new stage.
            engine.stage_change_until_s = 0.0
        engine.entry = entry
        return engine


def find_longest_cached_prefix(
    engines: Sequence[TrackedEngine], parts: Sequence[HashedPart], *, now_s: float
) -> tuple[TrackedEngine | None, int]:
    """Return the engine that has the longest prefix cached now, and its tokens.

    The engine is None if none has the first part cached.
    """
    best: TrackedEngine | None = None
    most = 0
    for engine in engines:
        tokens = engine.prefix_cache.matched_tokens(parts, ready_by_s=now_s)
        if tokens > most:
            best, most = engine, tokens
    return best, most
