"""Chooses engines for prompts from all that the host knows of them."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from lacewinglug.host.context import HostState, RequestContext
from lacewinglug.host.engines import (
    PREFILL_TOKENS_S,
    EngineAccount,
    EngineWork,
    find_holder,
)
from lacewinglug.host.model import EngineProfile, Prompt, RunnerEntry
from lacewinglug.host.plans import Burden, PromptJob, PromptPlan, SplitPlan
from lacewinglug.host.prompts import PromptPlanner
from lacewinglug.host.ranks import URGENT_RANK, URGENT_SHARE, choose_rank
from lacewinglug.host.residency import KeyedPart, key_parts

_NO_PROMPT = Prompt(model="", prompt_tokens=1, max_output_tokens=1)


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Where a prompt goes.

    :param plan: the engines.
    :param rank: its rank there, 0 first.
    """

    plan: PromptPlan
    rank: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _EngineView:
    """What is known of the engines of a service at a moment.

    :param now_s: the moment.
    :param accounts: engines that take new work.
    :param avoided: engines to use only where there is no other.
    :param burdens: streams and failures, by instance.
    """

    now_s: float
    accounts: Sequence[EngineAccount]
    avoided: set[str]
    burdens: dict[str, Burden]


@dataclass(kw_only=True)
class PromptPlacer:
    """Owns the planners of all model services.

    :param state: the host.
    """

    state: HostState
    _planners: dict[str, PromptPlanner] = field(default_factory=dict)

    def place(self, context: RequestContext, *, allow_split: bool) -> Placement | None:
        """Return the best placement, None where no engine streams.

        :param allow_split: whether the prompt may be read at another engine.
        """
        view = self._view(context)
        job = _job(context, view)
        plan = self._plan(context, view, job, allow_split=allow_split)
        near_s = context.remaining_s(view.now_s) * URGENT_SHARE
        if plan is not None and plan.expected_s > near_s and job.priority > URGENT_RANK:
            job = replace(job, priority=URGENT_RANK)
            plan = self._plan(context, view, job, allow_split=allow_split)
        if plan is None:
            return None
        context.trace.add_step(
            "place", now_s=view.now_s, rank=job.priority, **_describe(plan)
        )
        return Placement(plan=plan, rank=job.priority)

    def place_transfer(
        self, context: RequestContext, read: SplitPlan, *, rank: int
    ) -> SplitPlan | None:
        """Choose the engine that streams anew: reading may have taken seconds.

        :param read: plan by which the prompt was read.
        :param rank: rank of the prompt.
        """
        view = self._view(context)
        transfer = self._planner(context).plan_transfer(
            replace(_job(context, view), priority=rank),
            read.reader,
            view.accounts,
            now_s=view.now_s,
            avoided=view.avoided,
            burdens=view.burdens,
        )
        if transfer is not None and transfer.runner is not read.runner:
            instance = transfer.runner.entry.instance
            context.trace.add_step("transfer", now_s=view.now_s, runner=instance)
        return transfer

    def book(
        self,
        context: RequestContext,
        account: EngineAccount,
        *,
        rank: int,
        work_s: float,
    ) -> None:
        """Note work for an engine here, and tell the other hosts."""
        work = EngineWork(
            instance=account.entry.instance,
            priority=rank,
            work_s=work_s,
            parts=_shared_parts(context),
        )
        self.state.engines.note_work(work, now_s=self.state.now_s())
        self.state.announce_work(work)

    def _plan(
        self,
        context: RequestContext,
        view: _EngineView,
        job: PromptJob,
        *,
        allow_split: bool,
    ) -> PromptPlan | None:
        return self._planner(context).plan(
            job,
            view.accounts,
            now_s=view.now_s,
            avoided=view.avoided,
            burdens=view.burdens,
            allow_split=allow_split,
        )

    def _view(self, context: RequestContext) -> _EngineView:
        """Return what is known of the engines now."""
        now_s = self.state.now_s()
        profile = context.service.engine or EngineProfile()
        entries = self.state.fleet.ready(context.service.name)
        accounts = self.state.engines.accounts(entries, profile)
        return _EngineView(
            now_s=now_s,
            accounts=accounts,
            avoided=self._avoided(context, accounts, now_s),
            burdens=self._burdens(entries, now_s),
        )

    def _avoided(
        self,
        context: RequestContext,
        accounts: Sequence[EngineAccount],
        now_s: float,
    ) -> set[str]:
        """Return the engines to use only where there is no other."""
        health = self.state.upstreams.health
        return {
            account.entry.instance
            for account in accounts
            if account.entry.instance in context.tried_instances
            or account.switching_until_s > now_s
            or health(account.entry.instance).blocked(now_s)
        }

    def _burdens(
        self, entries: Sequence[RunnerEntry], now_s: float
    ) -> dict[str, Burden]:
        elsewhere = self.state.engines.streams_elsewhere(now_s=now_s)
        burdens = {}
        for entry in entries:
            health = self.state.upstreams.health(entry.instance)
            burdens[entry.instance] = Burden(
                streams=health.outstanding + elsewhere.get(entry.instance, 0),
                failure_share=health.failure_share(now_s),
            )
        return burdens

    def _planner(self, context: RequestContext) -> PromptPlanner:
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


def _job(context: RequestContext, view: _EngineView) -> PromptJob:
    parts = _shared_parts(context)
    tokens = max(1, _prompt(context).prompt_tokens)
    _, held = find_holder(view.accounts, parts, now_s=view.now_s)
    reading_s = max(0, tokens - held) / PREFILL_TOKENS_S
    rank = choose_rank(
        left_s=context.target_deadline_s - view.now_s, reading_s=reading_s
    )
    size_bytes = len(context.request.body)
    return PromptJob(
        parts=parts,
        tokens=tokens,
        priority=rank,
        size_bytes=size_bytes,
        late_in_s=context.target_deadline_s - view.now_s,
    )


def _prompt(context: RequestContext) -> Prompt:
    return context.metadata.prompt or _NO_PROMPT


def _shared_parts(context: RequestContext) -> tuple[KeyedPart, ...]:
    """Return the parts that other prompts may begin with."""
    return key_parts(_prompt(context))[:-1]


def _describe(plan: PromptPlan) -> dict[str, object]:
    fetch_from = plan.fetch_from.entry.instance if plan.fetch_from else None
    fields: dict[str, object] = {
        "runner": plan.runner.entry.instance,
        "expected_ms": round(plan.expected_s * 1000),
        "work_ms": round(plan.work_s * 1000),
        "new_tokens": plan.new_tokens,
        "pace": round(plan.runner.pace.value, 2),
        "fetch_from": fetch_from,
    }
    if isinstance(plan, SplitPlan):
        fields["reader"] = plan.reader.entry.instance
        fields["reader_pace"] = round(plan.reader.pace.value, 2)
        fields["read_ms"] = round(plan.read_s * 1000)
    return fields
