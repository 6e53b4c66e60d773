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
    PromptJob,
    PromptPlan,
)

TRANSFER_SETUP_S = 0.005
"""Setup time of a transfer between engines, in s, as the site files state it."""
RECOMPUTE_COST_S = 0.04e-3
"""Cost of each token that is prefilled although an engine has it cached, in s: the
time taken from other prompts on a decode engine, and the price of the compute."""
CROSS_REGION_COST_S_BYTE = 5e-6
"""Cost of each request byte that is sent to another region, in s; traffic between
regions is billed by volume."""
DECODE_START_S = 0.01
"""Time from the arrival of a KV cache to the first token, in s: one decode step."""
DECODE_INTERFERENCE_FACTOR = 0.035
"""Cost of prefill on a decode engine, relative to its time, per square of the number
of streams that run there: every prefill chunk stalls each stream, and the more
streams there are, the closer the long ones are to the route's timeout."""
MISSED_TARGET_COST_S = 1.0
"""Cost of a first token that misses its latency target, in s."""
TTFT_ERROR_S = 0.15
"""Error of the expected time to the first token, in s, as seen in the logs of
simulated days."""
LINK_CONTENTION_FACTOR = 2.0
"""Cost of a transfer, relative to its time: an engine runs its transfers one after
another, so each delays the next."""
TRANSFER_COST_S_GB = 0.15
"""Cost of transferring a gigabyte of KV cache between engines of a zone, in s."""
_BYTES_PER_GB = 1e9
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
            plans += self._plan_disaggregated(
                job, options, decode_engines, known_loads, now_s
            )
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
            engine=prefill_engine,
            estimate=_PrefillEstimate(
                compute_s=0.0, time_s=0.0, new_tokens=0, cost_s=0.0
            ),
            latency_s=0.0,
            idle=False,
            cost_s=0.0,
        )
        plans = self._plan_disaggregated(
            job, [done], decode_engines, loads or {}, now_s
        )
        return min(plans, key=lambda plan: plan.cost_s, default=None)

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
        prefill = self._estimate_prefill(job, engine, cache_holder, cached_tokens)
        distance = self._distance_to(engine)
        wait_s = engine.backlog.wait_s(job.priority, now_s=now_s)
        ttft_s = ROUND_TRIP_S[distance] + wait_s + prefill.time_s
        cost_s = (
            ttft_s + prefill.cost_s + _cross_region_cost_s(job, distance) + load.cost_s
        )
        cost_s += _missed_target_cost_s(job, ttft_s)
        if engine.entry.stage is Stage.DECODE:
            cost_s += DECODE_INTERFERENCE_FACTOR * load.streams**2 * prefill.compute_s
        return ColocatedPlan(
            decode_engine=engine,
            fetch_from=prefill.fetch_from,
            expected_ttft_s=ttft_s,
            idle=engine.backlog.idle(now_s=now_s),
            prefill_compute_s=prefill.compute_s,
            new_tokens=prefill.new_tokens,
            cost_s=cost_s,
        )

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
        prefill = self._estimate_prefill(job, engine, cache_holder, cached_tokens)
        distance = self._distance_to(engine)
        wait_s = engine.backlog.wait_s(job.priority, now_s=now_s)
        cost_s = prefill.cost_s + _cross_region_cost_s(job, distance)
        return _PrefillOption(
            engine=engine,
            estimate=prefill,
            latency_s=ROUND_TRIP_S[distance] + wait_s + prefill.time_s,
            idle=engine.backlog.idle(now_s=now_s),
            cost_s=cost_s + FAILURE_COST_S * load.failure_rate,
        )

    def _plan_disaggregated(
        self,
        job: PromptJob,
        options: Sequence["_PrefillOption"],
        decode_engines: Sequence[TrackedEngine],
        loads: dict[str, EngineLoad],
        now_s: float,
    ) -> list[DisaggregatedPlan]:
        """Return the plans for all pairs of a prefill option and a decode engine."""
        plans = []
        for engine in decode_engines:
            distance = self._distance_to(engine)
            start_s = (
                ROUND_TRIP_S[distance]
                + engine.backlog.wait_s(job.priority, now_s=now_s)
                + DECODE_START_S
            )
            cost_s = _load_of(loads, engine).cost_s + _cross_region_cost_s(
                job, distance
            )
            tokens = job.tokens - engine.prefix_cache.matched_tokens(job.parts)
            plans += [
                self._plan_pair(job, option, engine, tokens, start_s, cost_s)
                for option in options
            ]
        return plans

    def _plan_pair(
        self,
        job: PromptJob,
        option: "_PrefillOption",
        decode_engine: TrackedEngine,
        tokens: int,
        start_s: float,
        decode_cost_s: float,
    ) -> DisaggregatedPlan:
        """Return the plan for a pair of a prefill option and a decode engine.

        :param tokens: tokens whose KV cache is transferred.
        :param start_s: time from the request to the decode engine to the first token,
            without the transfer.
        :param decode_cost_s: cost of the decode engine, without the transfer.
        """
        transfer_s, transfer_cost_s = self._estimate_transfer(
            option.engine, decode_engine, tokens
        )
        ttft_s = option.latency_s + start_s + transfer_s
        cost_s = ttft_s + option.cost_s + transfer_cost_s + decode_cost_s
        return DisaggregatedPlan(
            prefill_engine=option.engine,
            decode_engine=decode_engine,
            fetch_from=option.estimate.fetch_from,
            prefill_latency_s=option.latency_s,
            decode_latency_s=start_s + transfer_s,
            transfer_s=transfer_s,
            idle=option.idle,
            prefill_compute_s=option.estimate.compute_s,
            new_tokens=option.estimate.new_tokens,
            cost_s=cost_s + _missed_target_cost_s(job, ttft_s),
        )

    def _estimate_prefill(
        self,
        job: PromptJob,
        engine: TrackedEngine,
        cache_holder: TrackedEngine | None,
        cached_tokens: int,
    ) -> "_PrefillEstimate":
        """Return the cheaper prefill: from the engine's own cache, or after a fetch.

        :param cache_holder: engine that has the longest cached prefix of the prompt.
        :param cached_tokens: length of that prefix.
        """
        own_tokens = min(engine.prefix_cache.matched_tokens(job.parts), job.tokens - 1)
        compute_s = engine.prefill_s(
            new_tokens=job.tokens - own_tokens, cached_tokens=own_tokens
        )
        without_fetch = _PrefillEstimate(
            compute_s=compute_s,
            time_s=compute_s,
            new_tokens=job.tokens - own_tokens,
            cost_s=RECOMPUTE_COST_S * max(0, cached_tokens - own_tokens),
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
        compute_s = engine.prefill_s(
            new_tokens=job.tokens - cached_tokens, cached_tokens=cached_tokens
        )
        with_fetch = _PrefillEstimate(
            compute_s=compute_s,
            time_s=compute_s + fetch_s,
            new_tokens=job.tokens - cached_tokens,
            cost_s=fetch_cost_s,
            fetch_from=cache_holder,
        )
        return min(
            without_fetch, with_fetch, key=lambda item: item.time_s + item.cost_s
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
            TRANSFER_COST_S_GB * distance_factor * size_bytes / _BYTES_PER_GB
            + LINK_CONTENTION_FACTOR * time_s
        )
        return TRANSFER_SETUP_S + time_s, cost_s

    def _distance_to(self, account: TrackedEngine) -> Distance:
        return self.geography.distance(self.zone, account.entry.zone)


@dataclass(frozen=True, kw_only=True, slots=True)
class _PrefillEstimate:
    """Estimate of a prefill on one engine.

    :param compute_s: compute time.
    :param time_s: compute time plus the time to fetch cached parts.
    :param new_tokens: tokens to prefill, without the cached ones.
    :param cost_s: cost to other requests.
    :param fetch_from: engine from which to fetch cached parts first.
    """

    compute_s: float
    time_s: float
    new_tokens: int
    cost_s: float
    fetch_from: TrackedEngine | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _PrefillOption:
    """Prefill on an engine that is separate from the decode engine.

    :param engine: engine that runs prefill.
    :param estimate: estimate of the prefill.
    :param latency_s: expected time until the engine responds.
    :param idle: whether the engine is expected to have no other prefill queued.
    :param cost_s: cost to other requests and of a failure.
    """

    engine: TrackedEngine
    estimate: _PrefillEstimate
    latency_s: float
    idle: bool
    cost_s: float


def _load_of(loads: dict[str, EngineLoad], account: TrackedEngine) -> EngineLoad:
    return loads.get(account.entry.instance, _NO_LOAD)


def _missed_target_cost_s(job: PromptJob, ttft_s: float) -> float:
    """Return the cost of missing the latency target times its probability, in s.

    The probability is a logistic function of the expected overrun.
    """
    overrun = (ttft_s - job.ttft_budget_s) / TTFT_ERROR_S
    if overrun < -_MAX_LOGIT:
        return 0.0
    return MISSED_TARGET_COST_S / (1.0 + math.exp(-min(overrun, _MAX_LOGIT)))


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
