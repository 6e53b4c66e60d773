"""Takes the decision to refuse a prompt from its plan and the load of the engines."""

from lacewinglug.host.context import HostState, RequestContext
from lacewinglug.host.model import EngineProfile
from lacewinglug.host.plans import PromptPlan
from lacewinglug.shedding.decision import PromptOutlook, choose_retry_after_s


def refuse_after_s(
    state: HostState, context: RequestContext, plan: PromptPlan
) -> float | None:
    """Return ``Retry-After`` of a prompt to refuse, None if it is to be served."""
    now_s = state.now_s()
    engine = plan.prefill.engine
    left_s = context.remaining_s(now_s)
    confidence = engine.speeds.of_stage(engine.entry.stage).confidence()
    if plan.expected_ttft_s * confidence <= left_s:
        return None
    outlook = PromptOutlook(
        expected_s=plan.expected_ttft_s,
        confidence=confidence,
        left_s=left_s,
        waiting=plan.prefill.work_ahead.prompts,
        fill=_fill(state, context, now_s=now_s),
    )
    retry_after_s = choose_retry_after_s(
        outlook, request_id=context.metadata.request_id
    )
    if retry_after_s is not None:
        context.trace.add_step(
            "shed",
            now_s=now_s,
            expected_ms=round(outlook.expected_s * confidence * 1000),
            left_ms=round(left_s * 1000),
            queued_prompts=round(outlook.waiting, 1),
            fill=round(outlook.fill, 2),
            retry_after_ms=round(retry_after_s * 1000),
        )
    return retry_after_s


def _fill(state: HostState, context: RequestContext, *, now_s: float) -> float:
    """Return the part of the slots of the service's engines that is taken."""
    entries = state.notices.accepting(context.service.name, now_s=now_s)
    slots = (context.service.engine or EngineProfile()).slots * len(entries)
    remote = state.engines.remote_streams(now_s=now_s)
    taken = sum(
        state.upstreams.health(item.instance).outstanding + remote.get(item.instance, 0)
        for item in entries
    )
    return taken / max(1, slots)
