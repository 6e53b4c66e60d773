"""A host's account of the engines of model services."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from lacewinglug.host.backlog import PRIORITIES, ReadingBacklog
from lacewinglug.host.model import EngineProfile, RunnerEntry, Stage
from lacewinglug.host.paces import LinkPace, ReadingPace
from lacewinglug.host.residency import KeyedPart, Residency

PREFILL_TOKENS_S = 95_000.0
"""Rate of reading on engines of stage prefill, in tokens a second; from the
users' sheet of their engines."""
DECODE_TOKENS_S = 33_000.0
"""Rate of reading on engines of stage decode: half of the above, less the steps
of running streams between its short chunks."""
PAIR_S = 0.218e-9
"""Time for each pair of a new and an earlier token, in s; from the site files."""
FIRST_TOKEN_S = 0.031
"""Time of the step that ends a reading, in s; from the site files. The engine reads
nothing else in it."""
MOST_EARLY_ENGINES = 256
"""Engines of which something is kept before they are known."""
MOST_EARLY_PARTS = 2_000
"""Cached parts that are kept of each such engine; a full cache has some hundred."""
STREAM_COUNTS_TTL_S = 2.6
"""Time after which the streams that another host told of no longer count, in s;
as long as its silence is borne."""


@dataclass(kw_only=True, slots=True)
class EngineAccount:
    """What a host believes of one engine.

    :param entry: the engine, as it registered itself.
    :param residency: parts that it keeps.
    :param backlog: prompts that it has to read.
    :param pace: how fast it reads.
    :param link_pace: how fast KV cache moves over its link.
    :param switching_until_s: time until which it changes its stage.
    """

    entry: RunnerEntry
    residency: Residency
    backlog: ReadingBacklog = field(default_factory=ReadingBacklog)
    pace: ReadingPace = field(default_factory=ReadingPace)
    link_pace: LinkPace = field(default_factory=LinkPace)
    switching_until_s: float = 0.0

    def reading_s(self, *, new_tokens: int, cached_tokens: int) -> float:
        """Return the time to read a part of a prompt to its end, in s.

        :param new_tokens: tokens to read.
        :param cached_tokens: tokens before them that are at hand.
        """
        prefill = self.entry.stage is Stage.PREFILL
        rate = PREFILL_TOKENS_S if prefill else DECODE_TOKENS_S
        pairs = new_tokens * (cached_tokens + new_tokens / 2)
        pairs_s = pairs * PAIR_S * (1.0 if prefill else 2.0)
        return (new_tokens / rate + pairs_s + FIRST_TOKEN_S) * self.pace.value


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineWork:
    """Work that a host gave to an engine, as it tells the other hosts.

    :param instance: the engine.
    :param priority: rank of the work.
    :param work_s: time that the engine takes to read it, in s.
    :param parts: parts of the prompt that the engine keeps afterwards.
    """

    instance: str
    priority: int
    work_s: float
    parts: tuple[KeyedPart, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _StreamCounts:
    counts: dict[str, int]
    heard_s: float


@dataclass(kw_only=True)
class EngineBook:
    """Owns the accounts of the engines of all services."""

    _accounts: dict[str, EngineAccount] = field(default_factory=dict)
    _streams: dict[str, _StreamCounts] = field(default_factory=dict)
    _early: dict[str, list[KeyedPart]] = field(default_factory=dict)

    def accounts(
        self, entries: Iterable[RunnerEntry], profile: EngineProfile
    ) -> list[EngineAccount]:
        """Return the accounts of engines, new ones included."""
        return [self._account(entry, profile) for entry in entries]

    def get(self, instance: str) -> EngineAccount | None:
        """Return the account of an engine by its instance."""
        return self._accounts.get(instance)

    def note_work(self, work: EngineWork, *, now_s: float) -> None:
        """Take work that this or another host gave to an engine."""
        account = self._accounts.get(work.instance)
        if account is None:
            self._keep_early(work)
            return
        wait_s = account.backlog.wait_s(work.priority, now_s=now_s)
        account.backlog.add(work.priority, work.work_s, now_s=now_s)
        ready_s = now_s + wait_s + work.work_s
        account.residency.add(work.parts, ready_s=ready_s)

    def note_streams(self, host: str, counts: dict[str, int], *, now_s: float) -> None:
        """Take the number of streams that another host runs at each engine."""
        self._streams[host] = _StreamCounts(counts=counts, heard_s=now_s)

    def streams_elsewhere(self, *, now_s: float) -> dict[str, int]:
        """Return the streams of all other hosts at each engine."""
        totals: dict[str, int] = {}
        for host, item in list(self._streams.items()):
            if now_s - item.heard_s > STREAM_COUNTS_TTL_S:
                del self._streams[host]
                continue
            for instance, count in item.counts.items():
                totals[instance] = totals.get(instance, 0) + count
        return totals

    def note_switching(self, instance: str, *, until_s: float) -> None:
        """Give an engine no work while it changes its stage."""
        account = self._accounts.get(instance)
        if account is not None:
            account.switching_until_s = until_s

    def known_work(self) -> list[EngineWork]:
        """Return what all engines keep, as work that takes no time."""
        return [
            EngineWork(
                instance=instance,
                priority=PRIORITIES - 1,
                work_s=0.0,
                parts=account.residency.parts,
            )
            for instance, account in self._accounts.items()
        ]

    def forget_gone(self, kept: Iterable[str]) -> None:
        """Drop the accounts of engines that have left."""
        names = set(kept)
        for instance in [item for item in self._accounts if item not in names]:
            del self._accounts[instance]

    def _keep_early(self, work: EngineWork) -> None:
        """Keep what is told of an engine before the store tells that it exists."""
        if len(self._early) < MOST_EARLY_ENGINES or work.instance in self._early:
            parts = self._early.setdefault(work.instance, [])
            parts += work.parts[: MOST_EARLY_PARTS - len(parts)]

    def _account(self, entry: RunnerEntry, profile: EngineProfile) -> EngineAccount:
        account = self._accounts.get(entry.instance)
        if account is None or account.entry.born_ms != entry.born_ms:
            residency = Residency(capacity_tokens=profile.cache_capacity_tokens)
            account = EngineAccount(entry=entry, residency=residency)
            self._accounts[entry.instance] = account
            residency.add(self._early.pop(entry.instance, ()), ready_s=0.0)
        if account.entry.stage is not entry.stage:
            # The change is over: the engine is listed under its new stage.
            account.switching_until_s = 0.0
        account.entry = entry
        return account


def find_holder(
    accounts: Sequence[EngineAccount], parts: Sequence[KeyedPart], *, now_s: float
) -> tuple[EngineAccount | None, int]:
    """Return the engine that has the most of a prompt now, and how many tokens."""
    best: EngineAccount | None = None
    most = 0
    for account in accounts:
        tokens = account.residency.matched_tokens(parts, by_s=now_s)
        if tokens > most:
            best, most = account, tokens
    return best, most
