"""Places a prompt on engines: where it is read, and where its stream runs."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from lacewinglug.host.distance import (
    ROUND_TRIP_S,
    TRANSFER_FACTOR,
    Distance,
    Geography,
)
from lacewinglug.host.engines import EngineAccount, find_holder
from lacewinglug.host.model import EngineProfile, Stage
from lacewinglug.host.plans import (
    FAILURE_COST_S,
    Burden,
    DirectPlan,
    PromptJob,
    PromptPlan,
    SplitPlan,
)

TRANSFER_SETUP_S = 0.005
"""Time before a transfer between engines begins, in s; from the site files."""
REREAD_COST_S = 0.04e-3
"""Cost of each token that is read although an engine keeps it, in s; what the
reading takes from other prompts at a decode engine, and its price."""
REGION_COST_S_BYTE = 5e-6
"""Cost of each byte of a request that goes to another region, in s; traffic there
is paid by volume."""
STREAM_START_S = 0.01
"""Time from the arrival of a KV cache to the first token, in s: one step."""
HOLD_UP_FACTOR = 0.035
"""Cost of reading on a decode engine, relative to its time, by the square of the
streams that run there: each is held up by every chunk, and the more there are, the
nearer are the long ones to the route's timeout."""
LATE_COST_S = 1.0
"""Cost of a first token that comes late, in s."""
LATE_SPREAD_S = 0.15
"""Error of the expected time to a first token, in s; from logs of played days."""
LINK_FACTOR = 2.0
"""Cost of a transfer, relative to its time: the transfers of an engine run one
after another, so each holds up the next."""
TRANSFER_COST_S_GB = 0.15
"""Cost of moving a gigabyte of KV cache between engines of a zone, in s."""
_GIGA = 1e9
_CERTAIN = 20.0
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
        known = burdens or {}
        plans: list[PromptPlan] = [
            self._direct(job, runner, holder, held, _burden(known, runner), now_s)
            for runner in runners
        ]
        if allow_split:
            readers = _preferred(accounts, avoided, stages=(Stage.PREFILL,))
            apart = [
                self._read_apart(
                    job, reader, holder, held, _burden(known, reader), now_s
                )
                for reader in readers
            ]
            plans += self._split_all(job, apart, runners, known, now_s)
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
        done = _ApartReading(
            reader=reader,
            reading=_Reading(work_s=0.0, time_s=0.0, new_tokens=0, cost_s=0.0),
            read_s=0.0,
            idle=False,
            cost_s=0.0,
        )
        plans = self._split_all(job, [done], runners, burdens or {}, now_s)
        return min(plans, key=lambda plan: plan.cost_s, default=None)

    def _direct(
        self,
        job: PromptJob,
        runner: EngineAccount,
        holder: EngineAccount | None,
        held: int,
        burden: Burden,
        now_s: float,
    ) -> DirectPlan:
        reading = self._reading(job, runner, holder, held)
        away = self._away(runner)
        wait_s = runner.backlog.wait_s(job.priority, now_s=now_s)
        expected_s = ROUND_TRIP_S[away] + wait_s + reading.time_s
        cost_s = expected_s + reading.cost_s + _region_cost_s(job, away) + burden.cost_s
        cost_s += _late_cost_s(job, expected_s)
        if runner.entry.stage is Stage.DECODE:
            cost_s += HOLD_UP_FACTOR * burden.streams**2 * reading.work_s
        return DirectPlan(
            runner=runner,
            fetch_from=reading.fetch_from,
            expected_s=expected_s,
            idle=runner.backlog.idle(now_s=now_s),
            work_s=reading.work_s,
            new_tokens=reading.new_tokens,
            cost_s=cost_s,
        )

    def _read_apart(
        self,
        job: PromptJob,
        reader: EngineAccount,
        holder: EngineAccount | None,
        held: int,
        burden: Burden,
        now_s: float,
    ) -> "_ApartReading":
        reading = self._reading(job, reader, holder, held)
        away = self._away(reader)
        wait_s = reader.backlog.wait_s(job.priority, now_s=now_s)
        cost_s = reading.cost_s + _region_cost_s(job, away)
        return _ApartReading(
            reader=reader,
            reading=reading,
            read_s=ROUND_TRIP_S[away] + wait_s + reading.time_s,
            idle=reader.backlog.idle(now_s=now_s),
            cost_s=cost_s + FAILURE_COST_S * burden.failure_share,
        )

    def _split_all(
        self,
        job: PromptJob,
        apart: Sequence["_ApartReading"],
        runners: Sequence[EngineAccount],
        burdens: dict[str, Burden],
        now_s: float,
    ) -> list[SplitPlan]:
        """Return the plans for all pairs of a reading and an engine that streams."""
        plans = []
        for runner in runners:
            away = self._away(runner)
            start_s = (
                ROUND_TRIP_S[away]
                + runner.backlog.wait_s(job.priority, now_s=now_s)
                + STREAM_START_S
            )
            cost_s = _burden(burdens, runner).cost_s + _region_cost_s(job, away)
            tokens = job.tokens - runner.residency.matched_tokens(job.parts)
            plans += [
                self._split(job, item, runner, tokens, start_s, cost_s)
                for item in apart
            ]
        return plans

    def _split(
        self,
        job: PromptJob,
        apart: "_ApartReading",
        runner: EngineAccount,
        tokens: int,
        start_s: float,
        runner_cost_s: float,
    ) -> SplitPlan:
        """Return the plan for a pair of a reading and an engine that streams.

        :param tokens: tokens whose KV cache moves.
        :param start_s: time from the call of the runner to the first token, but for
            the move.
        """
        move_s, move_cost_s = self._transfer(apart.reader, runner, tokens)
        expected_s = apart.read_s + start_s + move_s
        cost_s = expected_s + apart.cost_s + move_cost_s + runner_cost_s
        return SplitPlan(
            reader=apart.reader,
            runner=runner,
            fetch_from=apart.reading.fetch_from,
            read_s=apart.read_s,
            stream_s=start_s + move_s,
            move_s=move_s,
            idle=apart.idle,
            work_s=apart.reading.work_s,
            new_tokens=apart.reading.new_tokens,
            cost_s=cost_s + _late_cost_s(job, expected_s),
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
        size = tokens * self.profile.bytes_per_token
        time_s = size / self.profile.link_bytes_per_s * TRANSFER_FACTOR[distance]
        time_s *= max(source.link_pace.value, target.link_pace.value)
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


@dataclass(frozen=True, kw_only=True, slots=True)
class _ApartReading:
    """How an engine reads a prompt whose stream runs at another one."""

    reader: EngineAccount
    reading: _Reading
    read_s: float
    idle: bool
    cost_s: float


def _burden(burdens: dict[str, Burden], account: EngineAccount) -> Burden:
    return burdens.get(account.entry.instance, _NO_BURDEN)


def _late_cost_s(job: PromptJob, expected_s: float) -> float:
    """Return the cost of a first token that may come late, in s."""
    over = (expected_s - job.late_in_s) / LATE_SPREAD_S
    if over < -_CERTAIN:
        return 0.0
    return LATE_COST_S / (1.0 + math.exp(-min(over, _CERTAIN)))


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
