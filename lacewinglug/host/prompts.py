"""Chooses on which engines the prefill and the decode of a prompt run."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from lacewinglug.host.distance import (
    ROUND_TRIP_S,
    TRANSFER_TIME_FACTOR,
    Distance,
    Geography,
)
from lacewinglug.host.engines import TrackedEngine, find_longest_cached_prefix
from lacewinglug.host.model import EngineProfile, Stage
from lacewinglug.host.plans import (
    FAILURE_COST_S,
    ColocatedPlan,
    DisaggregatedPlan,
    EngineLoad,
    PlannedPrefill,
    PromptJob,
    PromptPlan,
)
from lacewinglug.host.speeds import NO_WORK, PrefillWork
from lacewinglug.interference.placement import find_engine_gaps

TRANSFER_SETUP_S = 0.005
"""Setup time of a transfer between engines, in s, as the site files state it."""
RECOMPUTE_COST_FACTOR = 4.0
"""Cost of tokens that are prefilled although an engine has them cached, relative to
their prefill time: the time taken from other prompts, and the price of the compute."""
CROSS_REGION_COST_S_BYTE = 5e-6
"""Cost of each request byte that is sent to another region, in s; traffic between
regions is billed by volume."""
DECODE_INTERFERENCE_FACTOR = 570.0
"""Cost of prefill on a decode engine with a full batch, relative to its time; it grows
with the square of the batch: every prefill chunk stalls each stream, and the more
streams there are, the closer the long ones are to the route's timeout. The cost of gaps
over their target takes its place where that is higher."""
MISSED_TARGET_COST = 1.0
"""Cost of a first token that misses its latency target, relative to the longest target
of the service."""
TTFT_ERROR_FRACTION = 0.125
"""Error of the expected time to the first token, relative to that target."""
LINK_CONTENTION_FACTOR = 2.0
"""Cost of a transfer, relative to its time: an engine runs its transfers one after
another, so each delays the next."""
TRANSFER_COST_FACTOR = 7.0
"""Cost of the traffic of a transfer between engines of a zone, relative to its time."""
_MAX_LOGIT = 20.0
_NO_LOAD = EngineLoad()


@dataclass(kw_only=True)
class PromptPlanner:
    """Chooses the plan with the lowest cost among the engines of a service.

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
        accounts: Sequence[TrackedEngine],
        *,
        now_s: float,
        avoided: Collection[str] = (),
        loads: dict[str, EngineLoad] | None = None,
        allow_disaggregated: bool = True,
    ) -> PromptPlan | None:
        """Return the best plan, None if no engine can decode.

        :param accounts: engines that accept new work.
        :param avoided: engines to use only if there is no alternative.
        :param loads: load by instance id.
        :param allow_disaggregated: whether prefill may run on a separate engine.
        """
        cache_holder, cached_tokens = find_longest_cached_prefix(
            accounts, job.parts, now_s=now_s
        )
        cached_tokens = min(cached_tokens, job.tokens - 1)
        decode_engines = _candidates(
            accounts, avoided, stages=(Stage.DECODE, Stage.NONE)
        )
        known_loads = loads or {}
        plans: list[PromptPlan] = [
            self._plan_colocated(
                job,
                engine,
                cache_holder,
                cached_tokens,
                _load_of(known_loads, engine),
                now_s,
            )
            for engine in decode_engines
        ]
        if allow_disaggregated:
            prefill_engines = _candidates(accounts, avoided, stages=(Stage.PREFILL,))
            options = [
                self._estimate_separate_prefill(
                    job,
                    engine,
                    cache_holder,
                    cached_tokens,
                    _load_of(known_loads, engine),
                    now_s,
                )
                for engine in prefill_engines
            ]
            plan = self._plan_disaggregated(
                job, options, decode_engines, known_loads, now_s
            )
            if plan is not None:
                plans.append(plan)
        return min(plans, key=lambda plan: plan.cost_s, default=None)

    def plan_decode(
        self,
        job: PromptJob,
        prefill_engine: TrackedEngine,
        accounts: Sequence[TrackedEngine],
        *,
        now_s: float,
        avoided: Collection[str] = (),
        loads: dict[str, EngineLoad] | None = None,
    ) -> DisaggregatedPlan | None:
        """Return the best plan for the decode of a prefilled prompt.

        :param prefill_engine: engine that has run the prefill.
        :returns: None if no engine can decode.
        """
        decode_engines = _candidates(
            accounts, avoided, stages=(Stage.DECODE, Stage.NONE)
        )
        done = _PrefillOption(
            prefill=PlannedPrefill(
                engine=prefill_engine,
                fetch_from=None,
                work=NO_WORK,
                work_ahead=NO_WORK,
                compute_s=0.0,
                overhead_s=0.0,
                latency_s=0.0,
            ),
            cost_s=0.0,
        )
        return self._plan_disaggregated(job, [done], decode_engines, loads or {}, now_s)

    def _plan_colocated(
        self,
        job: PromptJob,
        engine: TrackedEngine,
        cache_holder: TrackedEngine | None,
        cached_tokens: int,
        load: EngineLoad,
        now_s: float,
    ) -> ColocatedPlan:
        """Return the plan that runs both prefill and decode on one engine."""
        prefill, cost_s = self._plan_prefill(
            job, engine, cache_holder, cached_tokens, load, now_s
        )
        cost_s += prefill.latency_s + load.cost_s
        stall_cost_s = gap_cost_s = 0.0
        if engine.entry.stage is Stage.DECODE:
            stall_cost_s = (
                DECODE_INTERFERENCE_FACTOR * load.batch_fill**2 * prefill.compute_s
            )
        gaps = find_engine_gaps(job, engine, load=load, now_s=now_s)
        if gaps is not None:
            stall_cost_s = max(stall_cost_s, gaps.prefill_cost_s(prefill.work.tokens))
            gap_cost_s = gaps.stream_cost_s(first_event_s=prefill.latency_s)
        cost_s += stall_cost_s + _late_cost_s(job, prefill.latency_s, gap_cost_s)
        return ColocatedPlan(decode_engine=engine, prefill=prefill, cost_s=cost_s)

    def _estimate_separate_prefill(
        self,
        job: PromptJob,
        engine: TrackedEngine,
        cache_holder: TrackedEngine | None,
        cached_tokens: int,
        load: EngineLoad,
        now_s: float,
    ) -> "_PrefillOption":
        """Return the time and cost of prefill on a separate engine."""
        prefill, cost_s = self._plan_prefill(
            job, engine, cache_holder, cached_tokens, load, now_s
        )
        return _PrefillOption(
            prefill=prefill,
            cost_s=cost_s + FAILURE_COST_S * load.failure_rate + load.pacing_cost_s,
        )

    def _plan_prefill(
        self,
        job: PromptJob,
        engine: TrackedEngine,
        cache_holder: TrackedEngine | None,
        cached_tokens: int,
        load: EngineLoad,
        now_s: float,
    ) -> tuple[PlannedPrefill, float]:
        """Return the plan of a prefill on an engine, and its cost to other requests."""
        estimate = self._estimate_prefill(
            job, engine, cache_holder, cached_tokens, now_s
        )
        distance = self._distance_to(engine)
        wait_s = engine.backlog.wait_s(job.priority, now_s=now_s)
        overhead_s = ROUND_TRIP_S[distance] + estimate.fetch_s
        prefill = PlannedPrefill(
            engine=engine,
            fetch_from=estimate.fetch_from,
            work=estimate.work,
            work_ahead=engine.backlog.work_ahead(job.priority, now_s=now_s),
            compute_s=estimate.compute_s,
            overhead_s=overhead_s,
            latency_s=overhead_s + wait_s + estimate.compute_s,
        )
        return prefill, estimate.cost_s + _cross_region_cost_s(job, distance)

    def _plan_disaggregated(
        self,
        job: PromptJob,
        options: Sequence["_PrefillOption"],
        decode_engines: Sequence[TrackedEngine],
        loads: dict[str, EngineLoad],
        now_s: float,
    ) -> DisaggregatedPlan | None:
        """Return the best plan of all pairs of a prefill option and a decode engine."""
        best: DisaggregatedPlan | None = None
        best_cost_s = math.inf
        prefilled_s = min((item.prefill.latency_s for item in options), default=0.0)
        for engine in decode_engines:
            distance = self._distance_to(engine)
            load = _load_of(loads, engine)
            earliest_s = ROUND_TRIP_S[distance]
            earliest_s += engine.speeds.decode_start_s * load.slowdown
            start_s = earliest_s + engine.backlog.wait_s(job.priority, now_s=now_s)
            cost_s = load.cost_s + _cross_region_cost_s(job, distance)
            gaps = find_engine_gaps(job, engine, load=load, now_s=now_s)
            gap_cost_s = 0.0
            if gaps is not None:
                # A stream whose KV cache is transferred does not wait for the prefills
                # there; its steps compete with them.
                gap_cost_s = gaps.stream_cost_s(first_event_s=prefilled_s + earliest_s)
            tokens = job.tokens - engine.prefix_cache.matched_tokens(job.parts)
            known_s = start_s + cost_s
            for option in options:
                # Most pairs cost too much already without their transfer, so that it
                # need not be estimated.
                least_s = known_s + option.prefill.latency_s + option.cost_s
                if least_s >= best_cost_s:
                    continue
                ttft_s = start_s + option.prefill.latency_s
                least_s += _late_cost_s(job, ttft_s, gap_cost_s)
                if least_s >= best_cost_s:
                    continue
                plan = self._plan_pair(
                    job, option, engine, tokens, start_s, cost_s, gap_cost_s
                )
                if plan.cost_s < best_cost_s:
                    best, best_cost_s = plan, plan.cost_s
        return best

    def _plan_pair(
        self,
        job: PromptJob,
        option: "_PrefillOption",
        decode_engine: TrackedEngine,
        tokens: int,
        start_s: float,
        decode_cost_s: float,
        gap_cost_s: float,
    ) -> DisaggregatedPlan:
        """Return the plan for a pair of a prefill option and a decode engine.

        :param tokens: tokens whose KV cache is transferred.
        :param start_s: time from the request to the decode engine to the first token,
            without the transfer.
        :param decode_cost_s: cost of the decode engine, without the transfer.
        :param gap_cost_s: cost of gaps of the stream over their target there.
        """
        transfer_s, transfer_cost_s = self._estimate_transfer(
            option.prefill.engine, decode_engine, tokens
        )
        ttft_s = option.prefill.latency_s + start_s + transfer_s
        cost_s = ttft_s + option.cost_s + transfer_cost_s + decode_cost_s
        return DisaggregatedPlan(
            prefill=option.prefill,
            decode_engine=decode_engine,
            decode_latency_s=start_s + transfer_s,
            transfer_s=transfer_s,
            cost_s=cost_s + _late_cost_s(job, ttft_s, gap_cost_s),
        )

    def _estimate_prefill(
        self,
        job: PromptJob,
        engine: TrackedEngine,
        cache_holder: TrackedEngine | None,
        cached_tokens: int,
        now_s: float,
    ) -> "_PrefillEstimate":
        """Return the cheaper prefill: from the engine's own cache, or after a fetch.

        :param cache_holder: engine that has the longest cached prefix of the prompt.
        :param cached_tokens: length of that prefix.
        """
        own_tokens = min(engine.prefix_cache.matched_tokens(job.parts), job.tokens - 1)
        work = PrefillWork.of_prompt(
            new_tokens=job.tokens - own_tokens, cached_tokens=own_tokens
        )
        compute_s = engine.prefill_s(work, now_s=now_s)
        repeated = PrefillWork(tokens=max(0, cached_tokens - own_tokens))
        without_fetch = _PrefillEstimate(
            work=work,
            compute_s=compute_s,
            cost_s=RECOMPUTE_COST_FACTOR * engine.speeds.prefill_s(repeated),
        )
        if (
            cache_holder is None
            or cache_holder is engine
            or cached_tokens <= own_tokens
        ):
            return without_fetch
        fetch_s, fetch_cost_s = self._estimate_transfer(
            cache_holder, engine, cached_tokens - own_tokens
        )
        work = PrefillWork.of_prompt(
            new_tokens=job.tokens - cached_tokens, cached_tokens=cached_tokens
        )
        with_fetch = _PrefillEstimate(
            work=work,
            compute_s=engine.prefill_s(work, now_s=now_s),
            cost_s=fetch_cost_s,
            fetch_s=fetch_s,
            fetch_from=cache_holder,
        )
        return min(
            without_fetch,
            with_fetch,
            key=lambda item: item.compute_s + item.fetch_s + item.cost_s,
        )

    def _estimate_transfer(
        self, source: TrackedEngine, target: TrackedEngine, tokens: int
    ) -> tuple[float, float]:
        """Return the time and the cost of a KV cache transfer, in s."""
        distance = self.geography.distance(source.entry.zone, target.entry.zone)
        size_bytes = tokens * self.profile.bytes_per_token
        time_s = (
            size_bytes / self.profile.link_bytes_per_s * TRANSFER_TIME_FACTOR[distance]
        )
        time_s *= max(source.link_slowdown.factor, target.link_slowdown.factor)
        distance_factor = 1.0 + distance
        cost_s = (
            TRANSFER_COST_FACTOR
            * distance_factor
            * size_bytes
            / self.profile.link_bytes_per_s
            + LINK_CONTENTION_FACTOR * time_s
        )
        return TRANSFER_SETUP_S + time_s, cost_s

    def _distance_to(self, account: TrackedEngine) -> Distance:
        return self.geography.distance(self.zone, account.entry.zone)


@dataclass(frozen=True, kw_only=True, slots=True)
class _PrefillEstimate:
    """Estimate of a prefill on one engine.

    :param work: work of the prompt.
    :param compute_s: compute time.
    :param cost_s: cost to other requests.
    :param fetch_s: time to fetch cached parts first.
    :param fetch_from: engine from which to fetch them, None for none.
    """

    work: PrefillWork
    compute_s: float
    cost_s: float
    fetch_s: float = 0.0
    fetch_from: TrackedEngine | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _PrefillOption:
    """Prefill on an engine that is separate from the decode engine.

    :param prefill: the prefill.
    :param cost_s: cost to other requests and of a failure.
    """

    prefill: PlannedPrefill
    cost_s: float


def _load_of(loads: dict[str, EngineLoad], account: TrackedEngine) -> EngineLoad:
    return loads.get(account.entry.instance, _NO_LOAD)


def _missed_target_cost_s(job: PromptJob, ttft_s: float) -> float:
    """Return the cost of missing the latency target times its probability, in s.

    The probability is a logistic function of the expected overrun.
    """
    error_s = TTFT_ERROR_FRACTION * job.longest_target_s
    overrun = (ttft_s - job.ttft_budget_s) / error_s
    if overrun < -_MAX_LOGIT:
        return 0.0
    cost_s = MISSED_TARGET_COST * job.longest_target_s
    return cost_s / (1.0 + math.exp(-min(overrun, _MAX_LOGIT)))


def _late_cost_s(job: PromptJob, ttft_s: float, gap_cost_s: float) -> float:
    """Return the cost of a late response, in s, by its first token or by a gap.

    A response that misses the target of its first token has no more to lose by a gap.

    :param gap_cost_s: cost of gaps over their target if the first token is in time.
    """
    missed_s = _missed_target_cost_s(job, ttft_s)
    if gap_cost_s <= 0.0:
        return missed_s
    in_time = 1.0 - missed_s / (MISSED_TARGET_COST * job.longest_target_s)
    return missed_s + gap_cost_s * in_time


def _cross_region_cost_s(job: PromptJob, distance: Distance) -> float:
    if distance is not Distance.OTHER_REGION:
        return 0.0
    return CROSS_REGION_COST_S_BYTE * job.request_bytes


def _candidates(
    accounts: Sequence[TrackedEngine],
    avoided: Collection[str],
    *,
    stages: tuple[Stage, ...],
) -> list[TrackedEngine]:
    """Return the engines of some stages, avoided ones only if there are no others."""
    matching = [item for item in accounts if item.entry.stage in stages]
    allowed = [item for item in matching if item.entry.instance not in avoided]
    return allowed or matching
