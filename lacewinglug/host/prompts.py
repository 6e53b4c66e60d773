"""Places a prompt on engines: where it is read, and where its stream runs."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from lacewinglug.host.distance import (
    ROUND_TRIP_S,
    TRANSFER_FACTOR,
    Distance,
    Geography,
)
from lacewinglug.host.engines import (
    FIRST_TOKEN_S,
    EngineAccount,
    find_holder,
)
from lacewinglug.host.model import EngineProfile, Stage
from lacewinglug.host.residency import KeyedPart

TRANSFER_SETUP_S = 0.005
"""Time before a transfer between engines begins, in s; from the site files."""
REREAD_COST_S = 0.04e-3
"""Cost of each token that is read although an engine keeps it, in s; what the
reading takes from other prompts at a decode engine, and its price."""
REGION_COST_S_BYTE = 5e-6
"""Cost of each byte of a request that goes to another region, in s; traffic there
is paid by volume."""
SEAT_COST_S = 0.006
"""Cost of each stream that runs at an engine already, in s; some sixty tokens,
each of which it makes a tenth of a millisecond slower."""
HOLD_UP_FACTOR = 0.5
"""Cost of reading on a decode engine, relative to its time, for each stream that
runs there and is held up by every chunk."""
FAILURE_COST_S = 1.5
"""Cost of a run that fails, in s; a silent one is found after about that."""
LINK_FACTOR = 2.0
"""Cost of a transfer, relative to its time: the transfers of an engine run one
after another, so each holds up the next."""
_GIGA = 1e9
TRANSFER_COST_S_GB = 0.15
"""Cost of moving a gigabyte of KV cache between engines of a zone, in s."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectPlan:
    """One engine reads the prompt and runs the stream.

    :param runner: the engine.
    :param fetch_from: engine whose cached parts it fetches first, None for none.
    :param expected_s: time to the first token.
    :param work_s: time that the engine reads.
    :param new_tokens: tokens that it reads.
    :param cost_s: expected time with the costs of others.
    """

    runner: EngineAccount
    fetch_from: EngineAccount | None
    expected_s: float
    work_s: float
    new_tokens: int
    cost_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SplitPlan:
    """One engine reads the prompt, another fetches its KV cache and streams.

    :param reader: engine that reads.
    :param runner: engine that streams.
    :param fetch_from: engine whose cached parts the reader fetches first.
    :param expected_s: time to the first token.
    :param work_s: time that the reader reads.
    :param new_tokens: tokens that it reads.
    :param cost_s: expected time with the costs of others.
    """

    reader: EngineAccount
    runner: EngineAccount
    fetch_from: EngineAccount | None
    expected_s: float
    work_s: float
    new_tokens: int
    cost_s: float


PromptPlan = DirectPlan | SplitPlan


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptJob:
    """A prompt to place.

    :param parts: its parts, chained.
    :param tokens: its length.
    :param priority: its rank, 0 first.
    :param size_bytes: size of its request.
    """

    parts: tuple[KeyedPart, ...]
    tokens: int
    priority: int
    size_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Burden:
    """What is known of an engine besides its account.

    :param streams: streams that run there, of all hosts.
    :param failure_share: believed share of its runs that fail.
    """

    streams: int = 0
    failure_share: float = 0.0

    @property
    def cost_s(self) -> float:
        """Cost of one more stream there, in s."""
        return SEAT_COST_S * self.streams + FAILURE_COST_S * self.failure_share


_NO_BURDEN = Burden()


@dataclass(kw_only=True)
class PromptPlanner:
    """Chooses the plan with the least cost among the engines of a service.

    :param profile: constants of the engines.
    :param geography: regions of the availability zones.
    :param zone: availability zone of this host.
    """

    profile: EngineProfile
    geography: Geography
    zone: str

    def plan(
        self,
        job: PromptJob,
        accounts: Sequence[EngineAccount],
        *,
        now_s: float,
        avoided: Collection[str] = (),
        burdens: dict[str, Burden] | None = None,
        allow_split: bool = True,
    ) -> PromptPlan | None:
        """Return the best plan, None where no engine can stream.

        :param accounts: engines that take new work.
        :param avoided: engines to use only where there is no other.
        :param burdens: what is known of engines besides their accounts.
        :param allow_split: whether the prompt may be read at another engine.
        """
        holder, held = find_holder(accounts, job.parts, now_s=now_s)
        held = min(held, job.tokens - 1)
        runners = _preferred(accounts, avoided, stages=(Stage.DECODE, Stage.NONE))
        readers = _preferred(accounts, avoided, stages=(Stage.PREFILL,))
        known = burdens or {}
        plans: list[PromptPlan] = []
        for runner in runners:
            burden = known.get(runner.entry.instance, _NO_BURDEN)
            plans.append(self._direct(job, runner, holder, held, burden, now_s))
            if not allow_split:
                continue
            for reader in readers:
                failing = known.get(reader.entry.instance, _NO_BURDEN).failure_share
                plan = self._split(job, reader, runner, holder, held, burden, now_s)
                cost_s = plan.cost_s + FAILURE_COST_S * failing
                plans.append(replace(plan, cost_s=cost_s))
        return min(plans, key=lambda plan: plan.cost_s, default=None)

    def plan_transfer(
        self,
        job: PromptJob,
        reader: EngineAccount,
        accounts: Sequence[EngineAccount],
        *,
        now_s: float,
        avoided: Collection[str] = (),
        burdens: dict[str, Burden] | None = None,
    ) -> SplitPlan | None:
        """Return where a prompt that was read goes on, None where no engine can.

        :param reader: engine that has read it.
        """
        runners = _preferred(accounts, avoided, stages=(Stage.DECODE, Stage.NONE))
        known = burdens or {}
        plans = [
            self._split(
                job,
                reader,
                runner,
                None,
                0,
                known.get(runner.entry.instance, _NO_BURDEN),
                now_s,
            )
            for runner in runners
        ]
        return min(plans, key=lambda plan: plan.cost_s, default=None)

    def _direct(
        self,
        job: PromptJob,
        runner: EngineAccount,
        holder: EngineAccount | None,
        held: int,
        burden: "Burden",
        now_s: float,
    ) -> DirectPlan:
        reading = self._reading(job, runner, holder, held)
        away = self._away(runner)
        wait_s = runner.backlog.wait_s(job.priority, now_s=now_s)
        expected_s = (
            ROUND_TRIP_S[away] + wait_s + reading.time_s + FIRST_TOKEN_S * runner.pace
        )
        cost_s = expected_s + reading.cost_s + _region_cost_s(job, away) + burden.cost_s
        if runner.entry.stage is Stage.DECODE:
            cost_s += HOLD_UP_FACTOR * burden.streams * reading.work_s
        return DirectPlan(
            runner=runner,
            fetch_from=reading.fetch_from,
            expected_s=expected_s,
            work_s=reading.work_s,
            new_tokens=reading.new_tokens,
            cost_s=cost_s,
        )

    def _split(
        self,
        job: PromptJob,
        reader: EngineAccount,
        runner: EngineAccount,
        holder: EngineAccount | None,
        held: int,
        burden: "Burden",
        now_s: float,
    ) -> SplitPlan:
        reading = self._reading(job, reader, holder, held)
        kept = runner.residency.matched_tokens(job.parts)
        move_s, move_cost_s = self._transfer(reader, runner, job.tokens - kept)
        reader_away, runner_away = self._away(reader), self._away(runner)
        expected_s = (
            ROUND_TRIP_S[reader_away]
            + reader.backlog.wait_s(job.priority, now_s=now_s)
            + reading.time_s
            + ROUND_TRIP_S[runner_away]
            + move_s
            + runner.backlog.wait_s(job.priority, now_s=now_s)
            + FIRST_TOKEN_S * runner.pace
        )
        cost_s = expected_s + reading.cost_s + move_cost_s + burden.cost_s
        cost_s += _region_cost_s(job, reader_away) + _region_cost_s(job, runner_away)
        return SplitPlan(
            reader=reader,
            runner=runner,
            fetch_from=reading.fetch_from,
            expected_s=expected_s,
            work_s=reading.work_s,
            new_tokens=reading.new_tokens,
            cost_s=cost_s,
        )

    def _reading(
        self,
        job: PromptJob,
        engine: EngineAccount,
        holder: EngineAccount | None,
        held: int,
    ) -> "_Reading":
        """Return how an engine reads a prompt: with or without a fetch."""
        own = min(engine.residency.matched_tokens(job.parts), job.tokens - 1)
        work_s = engine.reading_s(new_tokens=job.tokens - own, cached_tokens=own)
        alone = _Reading(
            work_s=work_s,
            time_s=work_s,
            new_tokens=job.tokens - own,
            cost_s=REREAD_COST_S * max(0, held - own),
        )
        if holder is None or holder is engine or held <= own:
            return alone
        move_s, move_cost_s = self._transfer(holder, engine, held - own)
        work_s = engine.reading_s(new_tokens=job.tokens - held, cached_tokens=held)
        fetched = _Reading(
            work_s=work_s,
            time_s=work_s + move_s,
            new_tokens=job.tokens - held,
            cost_s=move_cost_s,
            fetch_from=holder,
        )
        return min(alone, fetched, key=lambda item: item.time_s + item.cost_s)

    def _transfer(
        self, source: EngineAccount, target: EngineAccount, tokens: int
    ) -> tuple[float, float]:
        """Return the time and the cost of moving a KV cache, in s."""
        distance = self.geography.distance(source.entry.zone, target.entry.zone)
        size = tokens * self.profile.token_bytes
        time_s = size / self.profile.link_bytes_s * TRANSFER_FACTOR[distance]
        factor = 1.0 + distance
        cost_s = TRANSFER_COST_S_GB * factor * size / _GIGA + LINK_FACTOR * time_s
        return TRANSFER_SETUP_S + time_s, cost_s

    def _away(self, account: EngineAccount) -> Distance:
        return self.geography.distance(self.zone, account.entry.zone)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reading:
    work_s: float
    time_s: float
    new_tokens: int
    cost_s: float
    fetch_from: EngineAccount | None = None


def _region_cost_s(job: PromptJob, distance: Distance) -> float:
    if distance is not Distance.OTHER_REGION:
        return 0.0
    return REGION_COST_S_BYTE * job.size_bytes


def _preferred(
    accounts: Sequence[EngineAccount],
    avoided: Collection[str],
    *,
    stages: tuple[Stage, ...],
) -> list[EngineAccount]:
    """Return the engines of some stages, avoided ones only as a last resort."""
    fitting = [item for item in accounts if item.entry.stage in stages]
    free = [item for item in fitting if item.entry.instance not in avoided]
    return free or fitting
