"""Places prompts on engines, from the host's current view of the engines."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field, replace

from lacewinglug.host.context import HostState, RequestContext
from lacewinglug.host.engines import (
    EngineWork,
    TrackedEngine,
    find_longest_cached_prefix,
)
from lacewinglug.host.model import EngineProfile, Prompt, Stage
from lacewinglug.host.plans import (
    DisaggregatedPlan,
    EngineLoad,
    PlannedPrefill,
    PromptJob,
    PromptPlan,
)
from lacewinglug.host.prompts import PromptPlanner
from lacewinglug.host.ranks import (
    URGENT_PRIORITY,
    URGENT_TIME_FRACTION,
    choose_priority,
)
from lacewinglug.host.residency import HashedPart, hash_parts
from lacewinglug.host.speeds import PrefillWork, ServiceSpeeds
from lacewinglug.interference.placement import (
    expect_remote_streams,
    make_gap_model,
)
from lacewinglug.pacing.costs import engine_costs
from lacewinglug.shares.priorities import choose_share_priority
from lacewinglug.shares.service import describe_share, estimate_capacity

_DEFAULT_PROMPT = Prompt(model="", prompt_tokens=1, max_output_tokens=1)


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The chosen plan for a prompt.

    :param plan: engines for prefill and decode.
    :param priority: scheduling priority at the engines, 0 is the most urgent.
    """

    plan: PromptPlan
    priority: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _EngineSnapshot:
    """State of a service's engines at one point in time.

    :param now_s: monotonic time at which it was taken.
    :param accounts: engines that accept new work.
    :param avoided: engines to use only if there is no alternative.
    :param loads: load by instance id.
    :param speeds: estimated speeds of the service's engines.
    :param longest_target_s: longest latency target of the service's routes.
    :param shortest_gap_s: shortest target gap of these routes, None for none.
    """

    now_s: float
    accounts: Sequence[TrackedEngine]
    avoided: set[str]
    loads: dict[str, EngineLoad]
    speeds: ServiceSpeeds
    longest_target_s: float | None
    shortest_gap_s: float | None

    def without_pacing(self) -> "_EngineSnapshot":
        """Return the state without the costs of engines in their ramp."""
        loads = {
            instance: replace(load, pacing_cost_s=0.0)
            for instance, load in self.loads.items()
        }
        return replace(self, loads=loads)


@dataclass(kw_only=True)
class PromptPlacer:
    """Places prompts on engines, with one planner per model service.

    :param state: shared state of the host.
    """

    state: HostState
    _planners: dict[str, PromptPlanner] = field(default_factory=dict)

    def place(
        self,
        context: RequestContext,
        *,
        allow_disaggregated: bool,
        among: Collection[str] | None = None,
    ) -> Placement | None:
        """Return the best placement, None if no engine can decode.

        A prompt that is expected to come close to its deadline is planned again with
        a higher priority.

        :param allow_disaggregated: whether prefill may run on a separate engine.
        :param among: instances to choose from, whether tried or not; all by default,
            those that the request has tried last.
        """
        snapshot = self._take_snapshot(context, among=among)
        job = self._apply_share(context, snapshot, _make_job(context, snapshot))
        plan = self._plan(
            context, snapshot, job, allow_disaggregated=allow_disaggregated
        )
        urgent_s = context.remaining_s(snapshot.now_s) * URGENT_TIME_FRACTION
        if (
            plan is not None
            and plan.expected_ttft_s > urgent_s
            and job.priority > URGENT_PRIORITY
            and (context.share is None or context.share.within)
        ):
            job = replace(job, priority=URGENT_PRIORITY)
            plan = self._plan(
                context, snapshot, job, allow_disaggregated=allow_disaggregated
            )
        if (
            plan is not None
            and plan.expected_ttft_s > context.remaining_s(snapshot.now_s)
            and any(load.pacing_cost_s for load in snapshot.loads.values())
        ):
            # A request may be refused for lack of time, but not because of pacing.
            plan = self._plan(
                context,
                snapshot.without_pacing(),
                job,
                allow_disaggregated=allow_disaggregated,
            )
        if plan is None:
            return None
        _note_expected_times(context, plan)
        if context.organisation is not None:
            self.state.shares.record_wait(
                context.service.name,
                expected_s=plan.expected_ttft_s,
                left_s=context.target_deadline_s - snapshot.now_s,
                now_s=snapshot.now_s,
            )
        context.trace.add_step(
            "place",
            now_s=snapshot.now_s,
            rank=job.priority,
            **describe_share(context.share),
            **_log_fields(plan),
            **self.state.notices.describe_left_out(
                context.service.name, now_s=snapshot.now_s
            ),
        )
        return Placement(plan=plan, priority=job.priority)

    def place_decode(
        self, context: RequestContext, prefill_plan: DisaggregatedPlan, *, priority: int
    ) -> DisaggregatedPlan | None:
        """Choose the decode engine again once prefill is done.

        Prefill may have taken seconds, so the load of the engines may have changed.

        :param prefill_plan: plan by which the prompt was prefilled.
        :param priority: scheduling priority of the prompt.
        :returns: the new plan, None if no engine can decode.
        """
        snapshot = self._take_snapshot(context)
        plan = self._planner_for(context).plan_decode(
            replace(_make_job(context, snapshot), priority=priority),
            prefill_plan.prefill.engine,
            snapshot.accounts,
            now_s=snapshot.now_s,
            avoided=snapshot.avoided,
            loads=snapshot.loads,
        )
        if plan is not None:
            _note_expected_times(context, plan)
        if plan is not None and plan.decode_engine is not prefill_plan.decode_engine:
            instance = plan.decode_engine.entry.instance
            context.trace.add_step("transfer", now_s=snapshot.now_s, runner=instance)
        return plan

    def record_prefill(
        self, context: RequestContext, prefill: PlannedPrefill, *, priority: int
    ) -> int | None:
        """Record a prefill given to an engine and announce it to the other hosts.

        :returns: number of the prompt in the backlog of the engine.
        """
        return self._record_work(
            context,
            EngineWork(
                instance=prefill.engine.entry.instance,
                priority=priority,
                work_s=prefill.compute_s,
                parts=_shared_parts(context),
                work=prefill.work,
            ),
        )

    def record_transfer(
        self, context: RequestContext, engine: TrackedEngine, *, priority: int
    ) -> None:
        """Record that an engine fetches a KV cache, and announce it."""
        self._record_work(
            context,
            EngineWork(
                instance=engine.entry.instance,
                priority=priority,
                work_s=0.0,
                parts=_shared_parts(context),
            ),
        )

    def _record_work(self, context: RequestContext, work: EngineWork) -> int | None:
        number = self.state.engines.record_work(work, now_s=self.state.now_s())
        self.state.announce_work(work)
        return number

    def _apply_share(
        self, context: RequestContext, snapshot: _EngineSnapshot, job: PromptJob
    ) -> PromptJob:
        """Return the job with the priority that the organisation's share gives it."""
        if context.organisation is None:
            return job
        if context.share is None:
            context.share = self.state.shares.decide(
                context.service.name,
                context.organisation.name,
                work_s=job.prefill_s,
                capacity=lambda: estimate_capacity(
                    item.prefill_slowdown
                    for item in snapshot.accounts
                    if item.entry.stage is not Stage.DECODE
                ),
                host_count=self.state.count_hosts(),
                now_s=snapshot.now_s,
            )
        priority = choose_share_priority(
            job.priority,
            context.share,
            organisation_priority=context.priority,
        )
        return replace(job, priority=priority)

    def _plan(
        self,
        context: RequestContext,
        snapshot: _EngineSnapshot,
        job: PromptJob,
        *,
        allow_disaggregated: bool,
    ) -> PromptPlan | None:
        return self._planner_for(context).plan(
            job,
            snapshot.accounts,
            now_s=snapshot.now_s,
            avoided=snapshot.avoided,
            loads=snapshot.loads,
            allow_disaggregated=allow_disaggregated,
        )

    def _take_snapshot(
        self, context: RequestContext, *, among: Collection[str] | None = None
    ) -> _EngineSnapshot:
        """Return the current state of the service's engines."""
        now_s = self.state.now_s()
        profile = context.service.engine or EngineProfile()
        entries = self.state.notices.accepting(context.service.name, now_s=now_s)
        tried: Collection[str] = context.tried_instances
        if among is not None:
            entries = tuple(item for item in entries if item.instance in among)
            tried = ()
        accounts = self.state.engines.track(entries, profile)
        return _EngineSnapshot(
            now_s=now_s,
            accounts=accounts,
            avoided=self._avoided_instances(tried, accounts, now_s),
            loads=self._loads(context, accounts, profile, now_s),
            speeds=self.state.engines.speeds(context.service.name),
            longest_target_s=self.state.routes.longest_target_s(context.service.name),
            shortest_gap_s=self.state.routes.shortest_gap_s(context.service.name),
        )

    def _avoided_instances(
        self,
        tried: Collection[str],
        accounts: Sequence[TrackedEngine],
        now_s: float,
    ) -> set[str]:
        """Return the engines to use only if there is no alternative.

        These are engines that the request has tried, engines that are changing
        their stage, and engines that the health tracker blocks.
        """
        health = self.state.upstreams.health
        return {
            account.entry.instance
            for account in accounts
            if account.entry.instance in tried
            or account.stage_change_until_s > now_s
            or health(account.entry.instance).is_blocked(now_s)
        }

    def _loads(
        self,
        context: RequestContext,
        accounts: Sequence[TrackedEngine],
        profile: EngineProfile,
        now_s: float,
    ) -> dict[str, EngineLoad]:
        other_hosts = self.state.engines.remote_streams(now_s=now_s)
        pacing_costs = self._pacing_costs(context, accounts, other_hosts, now_s)
        expected = expect_remote_streams(accounts, other_hosts)
        loads = {}
        for account in accounts:
            instance = account.entry.instance
            health = self.state.upstreams.health(instance)
            loads[instance] = EngineLoad(
                streams=health.outstanding + other_hosts.get(instance, 0),
                slots=profile.slots,
                failure_rate=health.failure_share(now_s),
                slowdown=account.steps_slowdown(now_s),
                pacing_cost_s=pacing_costs.get(instance, 0.0),
                expected_streams=health.outstanding + expected.get(instance, 0.0),
            )
        return loads

    def _pacing_costs(
        self,
        context: RequestContext,
        accounts: Sequence[TrackedEngine],
        remote_streams: dict[str, int],
        now_s: float,
    ) -> dict[str, float]:
        """Return the costs of engines in their ramp, by instance."""
        pacer, service = self.state.upstreams.pacer, context.service.name
        pacer.observe(service, self.state.fleet.ready(service), now_s=now_s)
        if not pacer.is_active:
            return {}
        return engine_costs(
            pacer,
            accounts,
            service=service,
            health=self.state.upstreams.health,
            remote_streams=remote_streams,
            parts=_shared_parts(context),
            tokens=_prompt_of(context).prompt_tokens,
            typical_tokens=self.state.engines.speeds(service).demand.mean_tokens(),
            host_count=self.state.count_hosts(),
            now_s=now_s,
        )

    def _planner_for(self, context: RequestContext) -> PromptPlanner:
        profile = context.service.engine or EngineProfile()
        planner = self._planners.get(context.service.name)
        if planner is None or planner.profile != profile:
            planner = PromptPlanner(
                profile=profile,
                geography=self.state.geography,
                zone=self.state.settings.zone,
            )
            self._planners[context.service.name] = planner
        return planner


def _make_job(context: RequestContext, snapshot: _EngineSnapshot) -> PromptJob:
    parts = _shared_parts(context)
    tokens = max(1, _prompt_of(context).prompt_tokens)
    _, cached_tokens = find_longest_cached_prefix(
        snapshot.accounts, parts, now_s=snapshot.now_s
    )
    time_left_s = context.target_deadline_s - snapshot.now_s
    new_tokens = max(1, tokens - cached_tokens)
    speeds = snapshot.speeds
    prefill_s = speeds.prefill_s(
        PrefillWork.of_prompt(new_tokens=new_tokens, cached_tokens=cached_tokens)
    )
    longest_target_s = snapshot.longest_target_s or context.route.target_latency_s
    mean_tokens = speeds.demand.mean_tokens()
    return PromptJob(
        parts=parts,
        tokens=tokens,
        priority=choose_priority(
            time_left_s=time_left_s,
            longest_target_s=longest_target_s,
            prefill_s=prefill_s,
            short=mean_tokens is not None and new_tokens <= mean_tokens,
        ),
        prefill_s=prefill_s,
        request_bytes=len(context.request.body),
        ttft_budget_s=time_left_s,
        longest_target_s=longest_target_s,
        gaps=make_gap_model(
            speeds,
            context.service.engine or EngineProfile(),
            context.route,
            tokens=tokens,
            shortest_gap_s=snapshot.shortest_gap_s,
            longest_target_s=longest_target_s,
        ),
    )


def _prompt_of(context: RequestContext) -> Prompt:
    return context.metadata.prompt or _DEFAULT_PROMPT


def _shared_parts(context: RequestContext) -> tuple[HashedPart, ...]:
    """Return the parts that other prompts may share: all but the request's own."""
    return hash_parts(_prompt_of(context))[:-1]


def _note_expected_times(context: RequestContext, plan: PromptPlan) -> None:
    """Note what is expected of the engines of a plan, to judge their answers by."""
    expected_s = context.expected_answer_s
    expected_s[plan.prefill.engine.entry.instance] = plan.prefill.latency_s
    if isinstance(plan, DisaggregatedPlan):
        expected_s[plan.decode_engine.entry.instance] = plan.decode_latency_s


def _log_fields(plan: PromptPlan) -> dict[str, object]:
    """Return the fields of a plan for the log line of the request."""
    prefill = plan.prefill
    fetch_from = prefill.fetch_from.entry.instance if prefill.fetch_from else None
    fields: dict[str, object] = {
        "runner": plan.decode_engine.entry.instance,
        "expected_ms": round(plan.expected_ttft_s * 1000),
        "work_ms": round(prefill.compute_s * 1000),
        "new_tokens": round(prefill.work.tokens),
        "queued_prompts": round(prefill.work_ahead.prompts, 1),
        "pace": round(plan.decode_engine.prefill_slowdown.factor, 2),
        "steps_pace": round(plan.decode_engine.step_slowdown.factor, 2),
        "fetch_from": fetch_from,
    }
    if isinstance(plan, DisaggregatedPlan):
        fields["reader"] = prefill.engine.entry.instance
        fields["reader_pace"] = round(prefill.engine.prefill_slowdown.factor, 2)
        fields["read_ms"] = round(prefill.latency_s * 1000)
    return fields
