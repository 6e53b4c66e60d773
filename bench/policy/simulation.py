"""Runs one policy under one load on virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from bench.policy.engine import Engine, EventLoop, Job
from bench.policy.notices import NoticeCounts
from bench.policy.workload import ENTRIES, Rates
from lacewinglug.config.objects import Fleet
from lacewinglug.routing.rates import EngineRates
from lacewinglug.upstream.messages import LoadReport

REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = (0.2, 0.8)
CACHE_EVENT_LAG_S = (0.5, 3.0)
CACHE_EVENT_LOSS = 0.1
CONNECT_TIMEOUT_S = 0.5
STALL_TIMEOUT_S = 1.0
TICK_S = 0.1
REGISTRY_LAG_S = 1.0
"""Time after which entries know that an engine has ended, in seconds."""
ORDER_DELAY_S = 0.2
KV_BYTES_PER_S = 1.25e9
REMOTE_KV_BYTES_PER_S = 0.6e9
KV_BYTES_PER_TOKEN = 131072


@dataclass(frozen=True, kw_only=True, slots=True)
class Site:
    """Sizes and delays of a deployment.

    :param engines: region of each engine.
    :param entries: region of each entry.
    :param zone_delay_s: one-way delay within a region, in seconds.
    :param region_delay_s: one-way delay between regions, in seconds.
    :param roles: rates by engine role.
    :param change_s: seconds that a change of role takes an engine away.
    """

    engines: tuple[int, ...]
    entries: tuple[int, ...]
    zone_delay_s: float
    region_delay_s: float
    roles: dict[str, EngineRates]
    change_s: float

    @property
    def rates(self) -> Rates:
        """Rates of the roles."""
        return Rates(roles=self.roles)


def site_of(fleet: Fleet, service: str) -> Site:
    """Return the sizes and delays of a configuration."""
    regions = list(fleet.regions)
    runners = [fleet.runners[name] for name in fleet.runners_of(service)]
    roles = [fleet.engine_roles[name] for name in fleet.services[service].roles]

    def region_index(zone: str) -> int:
        return regions.index(fleet.region_of(zone))

    return Site(
        engines=tuple(region_index(item.availability_zone) for item in runners),
        entries=tuple(
            region_index(host.availability_zone)
            for host in list(fleet.hosts.values())[:ENTRIES]
        ),
        zone_delay_s=next(iter(fleet.availability_zones.values())).one_way_delay_s,
        region_delay_s=next(iter(fleet.regions.values())).one_way_delay_s,
        roles={
            role.does: EngineRates(
                prefill_tokens_per_s=role.prefill_tokens_per_s,
                decode_tokens_per_s=role.decode_tokens_per_s,
                slots=role.slots,
            )
            for role in roles
        },
        change_s=max(role.change_s for role in roles),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Disturbance:
    """Something that happens to the fleet.

    :param at_s: when it starts, in seconds.
    :param kind: ``slow``, ``withdraw``, ``cut``, ``leave`` or ``push_back``.
    :param target: index of the engine, or of the region that is cut off.
    :param duration_s: how long it lasts, in seconds; for ``leave`` the time until the
        engine ends, 0 for one that announces it and goes on.
    :param factor: how many times slower.
    :param pause_s: pause that an engine asks for that pushes back, in seconds.
    """

    at_s: float
    kind: str
    target: int
    duration_s: float = 0.0
    factor: float = 1.0
    pause_s: float = 0.0


class Entry(Protocol):
    """An entry with its policy."""

    def arrive(self, job: Job) -> None:
        """Place a request that arrived."""

    def note_first_token(self, job: Job, engine: Engine) -> None:
        """Note a first token; move the stream on where wanted."""

    def note_closed(self, job: Job, engine: Engine) -> None:
        """Note that an engine no longer works on a request."""

    def note_finished(self, job: Job) -> None:
        """Note that a request is answered whole."""

    def note_failed(self, job: Job, engine: Engine) -> None:
        """Place again a request that an engine lost or refused."""

    def choose_move(self, job: Job, engine: Engine) -> Engine | None:
        """Return where a request of a draining engine goes on."""

    def note_report(self, engine: Engine, report: LoadReport, at_s: float) -> None:
        """Take a load report."""

    def note_interval(self, engine: Engine, interval_s: float) -> None:
        """Note the time between two tokens."""

    def note_cache(
        self, engine: Engine, added: Sequence[int], evicted: Sequence[int]
    ) -> None:
        """Take a cache event."""

    def note_notice(self, engine: Engine, pause_s: float) -> None:
        """Take the notice of an engine."""

    def note_draining(self, engine: Engine, draining: bool) -> None:
        """Note that an engine takes no new work, or does again."""

    def tick(self) -> None:
        """Look after the requests under way."""


@dataclass(kw_only=True)
class Simulation:
    """Owns the engines, the entries and the network between them.

    :param site: sizes and delays.
    :param jobs: arrivals in the order of time.
    :param duration_s: time of the last arrival, in seconds.
    :param roles: role of each engine at the start.
    :param disturbances: what happens to the fleet.
    :param seed: seed of the reports' lag.
    :param telling_delay_s: time after which the other entries learn of a notice from
        the entry that got it, in seconds; None if they do not.
    """

    site: Site
    jobs: list[Job]
    duration_s: float
    roles: tuple[str, ...]
    disturbances: tuple[Disturbance, ...] = ()
    seed: int = 0
    telling_delay_s: float | None = None
    tail_s: float = 60.0
    loop: EventLoop = field(default_factory=EventLoop)
    entries: list[Entry] = field(default_factory=list)
    notice_counts: NoticeCounts = field(default_factory=NoticeCounts)
    role_changes: int = 0
    moves: int = 0
    remote_bytes: float = 0.0
    planner: Callable[[], None] | None = None
    changing: Engine | None = None

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.cut_regions: set[int] = set()
        self.engines = [
            Engine(
                loop=self.loop,
                name=f"engine-{index}",
                region=region,
                rates=self.site.roles,
                change_s=self.site.change_s,
                role=self.roles[index],
                on_first_token=self._first_token,
                on_imported=self._begin_answer,
                on_finished=self._finished,
                on_interval=self._interval,
                on_drained=self._drained,
                on_cache=self._cache,
            )
            for index, region in enumerate(self.site.engines)
        ]
        self.by_name = {engine.name: engine for engine in self.engines}
        self._wanted: dict[str, str] = {}

    def run(self) -> None:
        """Run until the last request has ended."""
        for job in self.jobs:
            self.loop.at(job.arrival_s, self._arrive, job)
        for index, engine in enumerate(self.engines):
            self._report(engine, engine.report(), 0.0)
            self.loop.at(index * 0.08, self._poll, engine)
        for index in range(len(self.entries)):
            self.loop.at(0.01 + index * TICK_S / ENTRIES, self._tick, index)
        for item in self.disturbances:
            self.loop.at(item.at_s, self._disturb, item)
        if self.planner is not None:
            self.loop.at(1.0, self._plan)
        self.loop.run(self.duration_s + self.tail_s)

    def delay_s(self, entry: int, engine: Engine) -> float:
        """Return the one-way delay between an entry and an engine, in seconds."""
        if self.site.entries[entry] == engine.region:
            return self.site.zone_delay_s
        return self.site.region_delay_s

    def is_connected(self, entry: int, engine: Engine) -> bool:
        """Return whether an entry reaches an engine."""
        region = self.site.entries[entry]
        return region == engine.region or not (
            region in self.cut_regions or engine.region in self.cut_regions
        )

    def send(self, job: Job, engine: Engine) -> None:
        """Send a request to an engine."""
        if not self.is_connected(job.entry, engine):
            self.loop.after(CONNECT_TIMEOUT_S, self._fail, job, engine)
            return
        job.stage = "sent"
        self.loop.after(self.delay_s(job.entry, engine), self._submit, job, engine)

    def move(self, job: Job, source: Engine, target: Engine) -> None:
        """Move a request to another engine, its KV cache with it."""
        source.remove(job)
        self.moves += 1
        job.moves += 1
        delay_s = 2 * self.delay_s(job.entry, target)
        if job.computed:
            size = (job.profile.prompt_tokens + job.tokens) * KV_BYTES_PER_TOKEN
            if source.region == target.region:
                delay_s += size / KV_BYTES_PER_S
            else:
                delay_s += size / REMOTE_KV_BYTES_PER_S
                self.remote_bytes += size
        job.stage = "moving"
        self.loop.after(delay_s, self._submit, job, target)

    def refuse(self, job: Job) -> None:
        """Refuse a request as not run."""
        job.refused_s = self.loop.now_s
        job.stage = "refused"

    def order_role(self, engine: Engine, role: str) -> None:
        """Drain an engine and change its role."""
        self.role_changes += 1
        self.changing = engine
        self._wanted[engine.name] = role
        self.loop.after(ORDER_DELAY_S, self._drain, engine)

    def _arrive(self, job: Job) -> None:
        self.loop.at(job.profile.deadline_s, self._expire, job)
        self.entries[job.entry].arrive(job)

    def _submit(self, job: Job, engine: Engine) -> None:
        if job.stage not in ("sent", "moving"):
            self.entries[job.entry].note_closed(job, engine)
            return
        if engine.state != "ready":
            self._fail(job, engine)
            return
        self.notice_counts.record_request(
            job.entry, engine.name, arrival_s=job.arrival_s, now_s=self.loop.now_s
        )
        if engine.pause_s > 0:
            delay_s = self.delay_s(job.entry, engine)
            self.loop.after(delay_s, self._tell, job.entry, engine, engine.pause_s)
            self.loop.after(delay_s, self._fail, job, engine)
            return
        engine.submit(job)

    def _tell(self, entry: int, engine: Engine, pause_s: float = 0.0) -> None:
        self.notice_counts.record(entry, engine.name, pause_s, now_s=self.loop.now_s)
        self.entries[entry].note_notice(engine, pause_s)
        if self.telling_delay_s is None:
            return
        for other in self.entries:
            if other is not self.entries[entry]:
                self.loop.after(
                    self.telling_delay_s, other.note_notice, engine, pause_s
                )

    def _begin_answer(self, job: Job) -> None:
        engine = job.engine
        if engine is not None and engine.leaving:
            delay_s = self.delay_s(job.entry, engine)
            self.loop.after(delay_s, self._tell, job.entry, engine)

    def _fail(self, job: Job, engine: Engine) -> None:
        entry = self.entries[job.entry]
        entry.note_closed(job, engine)
        if job.stage != "expired":
            entry.note_failed(job, engine)

    def _expire(self, job: Job) -> None:
        """Let the caller give up."""
        if job.finish_s >= 0 or job.refused_s >= 0:
            return
        engine = job.engine
        if engine is not None:
            engine.remove(job)
            self.entries[job.entry].note_closed(job, engine)
        job.stage = "expired"

    def _first_token(self, job: Job) -> None:
        engine = job.engine
        delay_s = self.delay_s(job.entry, engine)
        if job.first_token_s < 0:
            job.first_token_s = self.loop.now_s + delay_s
        self._begin_answer(job)
        self.entries[job.entry].note_first_token(job, engine)

    def _finished(self, job: Job) -> None:
        job.finish_s = self.loop.now_s + self.site.zone_delay_s
        job.stage = "finished"
        self.entries[job.entry].note_finished(job)

    def _interval(self, engine: Engine, interval_s: float) -> None:
        for entry, streams in engine.entries.items():
            if streams > 0 and self.is_connected(entry, engine):
                self.entries[entry].note_interval(engine, interval_s)

    def _poll(self, engine: Engine) -> None:
        """Report an engine's load to all entries, late."""
        if engine.ended:
            return
        lag_s = self.rng.uniform(*REPORT_LAG_S)
        report = engine.report()
        self.loop.after(lag_s, self._report, engine, report, self.loop.now_s)
        self.loop.after(REPORT_INTERVAL_S, self._poll, engine)

    def _report(self, engine: Engine, report: LoadReport, sampled_s: float) -> None:
        for index, entry in enumerate(self.entries):
            if self.is_connected(index, engine):
                entry.note_report(engine, report, sampled_s)

    def _cache(self, engine: Engine, added: list[int], evicted: list[int]) -> None:
        if self.rng.random() < CACHE_EVENT_LOSS:
            return
        lag_s = self.rng.uniform(*CACHE_EVENT_LAG_S)
        self.loop.after(lag_s, self._cache_event, engine, added, evicted)

    def _cache_event(
        self, engine: Engine, added: list[int], evicted: list[int]
    ) -> None:
        for entry in self.entries:
            entry.note_cache(engine, added, evicted)

    def _tick(self, index: int) -> None:
        self.entries[index].tick()
        self.loop.after(TICK_S, self._tick, index)

    def _plan(self) -> None:
        if self.planner is not None:
            self.planner()
        self.loop.after(1.0, self._plan)

    def _drain(self, engine: Engine) -> None:
        if engine.ended:
            return
        for entry in self.entries:
            entry.note_draining(engine, True)
        engine.drain()
        for job in list(engine.jobs):
            self.move_away(job, engine)

    def move_away(self, job: Job, engine: Engine) -> None:
        """Move a request off a draining engine where another takes it."""
        if engine.state != "draining" or job.engine is not engine:
            return
        target = self.entries[job.entry].choose_move(job, engine)
        if target is not None:
            self.move(job, engine, target)

    def _drained(self, engine: Engine) -> None:
        role = self._wanted.pop(engine.name, "")
        if not role:
            engine.state = "gone"
            return
        engine.change_role(role)
        self.loop.after(self.site.change_s + ORDER_DELAY_S, self._changed, engine)

    def _changed(self, engine: Engine) -> None:
        if engine.ended:
            return
        self.changing = None
        for entry in self.entries:
            entry.note_draining(engine, False)

    def _disturb(self, item: Disturbance) -> None:
        match item.kind:
            case "slow":
                engine = self.engines[item.target]
                engine.slow_factor = item.factor
                self.loop.after(item.duration_s, self._recover, engine)
            case "withdraw":
                self._drain(self.engines[item.target])
            case "cut":
                self._cut(item)
            case "leave":
                engine = self.engines[item.target]
                engine.leaving = True
                if item.duration_s > 0:
                    self.loop.after(item.duration_s, self._end, engine)
            case "push_back":
                engine = self.engines[item.target]
                engine.pause_s = item.pause_s
                self.loop.after(item.duration_s, setattr, engine, "pause_s", 0.0)

    def _recover(self, engine: Engine) -> None:
        engine.slow_factor = 1.0

    def _end(self, engine: Engine) -> None:
        if self.changing is engine:
            self.changing = None
        for job in engine.end():
            job.computed = False
            delay_s = self.delay_s(job.entry, engine)
            self.loop.after(delay_s, self._fail, job, engine)
        for entry in self.entries:
            self.loop.after(REGISTRY_LAG_S, entry.note_draining, engine, True)

    def _cut(self, item: Disturbance) -> None:
        self.cut_regions.add(item.target)
        self.loop.after(item.duration_s, self.cut_regions.discard, item.target)
        for engine in self.engines:
            for job in list(engine.jobs):
                if not self.is_connected(job.entry, engine):
                    self.loop.after(STALL_TIMEOUT_S, self._lose, job, engine)

    def _lose(self, job: Job, engine: Engine) -> None:
        """Give up a silent stream; resume it elsewhere."""
        if job.engine is not engine or self.is_connected(job.entry, engine):
            return
        engine.remove(job)
        job.computed = False
        self._fail(job, engine)


def copy_jobs(jobs: Sequence[Job]) -> list[Job]:
    """Return fresh copies of jobs, for another run."""
    return [replace(job) for job in jobs]
