"""Places a prompt on engines: where it is read, and where its stream runs."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

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
        read_s = (
            ROUND_TRIP_S[reader_away]
            + reader.backlog.wait_s(job.priority, now_s=now_s)
            + reading.time_s
        )
        stream_s = (
            ROUND_TRIP_S[runner_away]
            + move_s
            + runner.backlog.wait_s(job.priority, now_s=now_s)
            + STREAM_START_S
        )
        expected_s = read_s + stream_s
        cost_s = expected_s + reading.cost_s + move_cost_s + burden.cost_s
        cost_s += _late_cost_s(job, expected_s)
        cost_s += _region_cost_s(job, reader_away) + _region_cost_s(job, runner_away)
        return SplitPlan(
            reader=reader,
            runner=runner,
            fetch_from=reading.fetch_from,
            read_s=read_s,
            stream_s=stream_s,
            move_s=move_s,
            idle=reader.backlog.idle(now_s=now_s),
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
