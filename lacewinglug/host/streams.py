"""Relays streams of model services, event by event."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from lacewinglug.host.answers import Reason, Refusal, not_run
from lacewinglug.host.calls import (
    CONNECT_TRIES,
    MOST_ANSWER_BYTES,
    REJECTED_RETRY_S,
)
from lacewinglug.host.context import Attempt, HostState, RequestContext
from lacewinglug.host.engines import (
    PREFILL_TOKENS_S,
    EngineAccount,
    EngineWork,
    find_holder,
)
from lacewinglug.host.events import Event, EventSplitter, EventTooLongError
from lacewinglug.host.model import EngineProfile, Prompt, RunnerEntry, UpstreamCall
from lacewinglug.host.prompts import (
    Burden,
    DirectPlan,
    PromptJob,
    PromptPlan,
    PromptPlanner,
    SplitPlan,
)
from lacewinglug.host.ranks import URGENT_RANK, URGENT_SHARE, choose_rank
from lacewinglug.host.residency import KeyedPart, key_parts
from lacewinglug.platform.calls import decode_prefill, drop_handle_target
from lacewinglug.platform.headers import decode_answer, encode_answer
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.messages import Response
from lacewinglug.wire.server import Exchange

FIRST_EVENT_PATIENCE = 3.0
"""Multiple of the expected time to the first event after which a stream that may
be resumed is tried elsewhere."""
SHORTEST_PATIENCE_S = 2.0
"""Bound of that time, in s; a shorter one breaks off work that merely waits and
adds to the load that it waits for."""
GAP_PATIENCE = 2.0
"""Multiple of the route's longest pause after which a stream that may be resumed
goes on elsewhere."""
REFUSE_SHARE = 1.0
"""Share of the time left that the first event may be expected to take before the
request is refused."""
LONGEST_RETRY_S = 2.0
"""Bound of the time after which a refused client comes back, in s."""
_SERVER_ERROR = 500
_OK = 200
_DEFAULT_GAP_S = 0.5


@dataclass(kw_only=True)
class _Progress:
    """What the client has of a stream.

    :param last_event: number of its last event, None before the first.
    :param started: whether the head was sent.
    :param failure: a runner's own failure, the last resort as an answer.
    :param unreached: runners to which no connection could be had.
    :param split_failed: whether reading at another engine has failed.
    :param rank: rank of the prompt at engines.
    """

    last_event: int | None = None
    started: bool = False
    failure: Response | None = None
    unreached: int = 0
    split_failed: bool = False
    rank: int = 5


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


@dataclass(frozen=True, kw_only=True, slots=True)
class _Finished:
    """The stream is whole."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Failed:
    """A run came to no good end; the life of the request says what follows.

    :param reason: what was seen.
    """

    reason: str


@dataclass(kw_only=True)
class StreamRelay:
    """Gives prompts to engines and relays their events.

    :param state: the host.
    """

    state: HostState
    _planners: dict[str, PromptPlanner] = field(default_factory=dict)

    async def relay(
        self, context: RequestContext, exchange: Exchange
    ) -> Response | Refusal | None:
        """Relay a stream; return the final answer where no stream was begun."""
        progress = _Progress(last_event=context.facts.last_event)
        while True:
            plan = self._plan(context, progress)
            if plan is None:
                return self._give_up(context, progress, Reason.NO_RUNNER)
            late = self._lateness_s(context, plan)
            if late > 0 and context.life.nothing_ran:
                retry_s = min(max(late, REJECTED_RETRY_S), LONGEST_RETRY_S)
                return not_run(Reason.NO_TIME, retry_after_s=retry_s)
            result = await self._run(context, progress, plan, exchange)
            now_s = self.state.now_s()
            match result:
                case _Finished():
                    context.story.add(
                        "finished",
                        now_s=now_s,
                        events=progress.last_event,
                        most_tokens=_prompt(context).output_tokens,
                    )
                    return None
                case Response():
                    return result
                case _Failed(reason=reason):
                    context.story.add("failed", now_s=now_s, reason=reason)
            if not self._may_repeat(context, progress):
                return self._give_up(context, progress, Reason.REJECTED)

    def _plan(self, context: RequestContext, progress: _Progress) -> PromptPlan | None:
        view = self._view(context)
        job = _job(context, view)
        plan = self._plan_job(context, progress, view, job)
        near_s = context.left_s(view.now_s) * URGENT_SHARE
        if plan is not None and plan.expected_s > near_s and job.priority > URGENT_RANK:
            job = replace(job, priority=URGENT_RANK)
            plan = self._plan_job(context, progress, view, job)
        progress.rank = job.priority
        if plan is not None:
            context.story.add("place", now_s=view.now_s, **_describe(plan))
        return plan

    def _plan_job(
        self,
        context: RequestContext,
        progress: _Progress,
        view: _EngineView,
        job: PromptJob,
    ) -> PromptPlan | None:
        return self._planner(context).plan(
            job,
            view.accounts,
            now_s=view.now_s,
            avoided=view.avoided,
            burdens=view.burdens,
            allow_split=not progress.split_failed,
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
            if account.entry.instance in context.tried
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

    def _lateness_s(self, context: RequestContext, plan: PromptPlan) -> float:
        left_s = context.left_s(self.state.now_s())
        return plan.expected_s - left_s * REFUSE_SHARE

    async def _run(
        self,
        context: RequestContext,
        progress: _Progress,
        plan: PromptPlan,
        exchange: Exchange,
    ) -> _Finished | _Failed | Response:
        match plan:
            case SplitPlan():
                handle = await self._prefill(context, progress, plan)
                if handle is None:
                    progress.split_failed = True
                    return _Failed(reason="prefill failed")
                return await self._stream_from_handle(
                    context, progress, plan, exchange, handle
                )
            case DirectPlan():
                self._book(
                    context, progress, plan.runner, plan.work_s, _shared(context)
                )
                fetch_from = plan.fetch_from
                address = None if fetch_from is None else fetch_from.entry.address
                return await self._stream(
                    context, progress, plan, exchange, fetch_from=address
                )

    async def _prefill(
        self, context: RequestContext, progress: _Progress, plan: SplitPlan
    ) -> str | None:
        """Let an engine read the prompt; return the handle of its KV cache."""
        reader = plan.reader
        self._book(context, progress, reader, plan.work_s, _shared(context))
        attempt = Attempt(state=self.state, context=context, entry=reader.entry)
        wait_s = max(SHORTEST_PATIENCE_S, plan.expected_s * FIRST_EVENT_PATIENCE)
        fetch_from = plan.fetch_from
        try:
            await attempt.connect()
            attempt.send(
                self._call(
                    context,
                    progress,
                    reader,
                    prefill_only=True,
                    fetch_from=None if fetch_from is None else fetch_from.entry.address,
                )
            )
            async with asyncio.timeout(wait_s):
                head = await attempt.read_head()
                response = await attempt.read_whole(head, most_bytes=MOST_ANSWER_BYTES)
        except (UpstreamError, TimeoutError) as error:
            self._note_loss(attempt, silent=isinstance(error, TimeoutError))
            context.sends += 1
            context.story.add(
                "prefill", now_s=self.state.now_s(), result=str(error) or "timeout"
            )
            context.tried.add(reader.entry.instance)
            return None
        finally:
            attempt.drop()
        answer = decode_prefill(response.body) if response.status == _OK else None
        now_s = self.state.now_s()
        context.story.add("prefill", now_s=now_s, result=response.status)
        attempt.health.note_answer(failed=answer is None, now_s=now_s)
        if answer is None:
            context.sends += 1
            context.tried.add(reader.entry.instance)
            return None
        reader.note_first_token(
            expected_s=plan.expected_s, actual_s=now_s - attempt.started_s
        )
        return answer.handle

    async def _stream_from_handle(
        self,
        context: RequestContext,
        progress: _Progress,
        plan: SplitPlan,
        exchange: Exchange,
        handle: str,
    ) -> _Finished | _Failed | Response:
        source = f"{plan.reader.entry.address}/{handle}"
        result: _Finished | _Failed | Response | None = None
        try:
            transfer = self._plan_transfer(context, progress, plan)
            if transfer is None:
                result = _Failed(reason="no engine streams")
                return result
            self._book(context, progress, transfer.runner, 0.0, _shared(context))
            result = await self._stream(
                context, progress, transfer, exchange, cache_source=source
            )
        finally:
            if not isinstance(result, _Finished):
                self._free_handle(context, plan.reader, handle)
                progress.split_failed = True
        return result

    def _plan_transfer(
        self, context: RequestContext, progress: _Progress, plan: SplitPlan
    ) -> SplitPlan | None:
        """Choose the engine that streams anew: reading may have taken seconds."""
        view = self._view(context)
        job = replace(_job(context, view), priority=progress.rank)
        transfer = self._planner(context).plan_transfer(
            job,
            plan.reader,
            view.accounts,
            now_s=view.now_s,
            avoided=view.avoided,
            burdens=view.burdens,
        )
        if transfer is not None and transfer.runner is not plan.runner:
            context.story.add(
                "transfer",
                now_s=view.now_s,
                runner=transfer.runner.entry.instance,
            )
        return transfer

    async def _stream(
        self,
        context: RequestContext,
        progress: _Progress,
        plan: PromptPlan,
        exchange: Exchange,
        *,
        cache_source: str | None = None,
        fetch_from: str | None = None,
    ) -> _Finished | _Failed | Response:
        """Run the stream at one engine as far as it goes."""
        runner = plan.runner
        context.tried.add(runner.entry.instance)
        attempt = Attempt(state=self.state, context=context, entry=runner.entry)
        try:
            await attempt.connect()
            attempt.send(
                self._call(
                    context,
                    progress,
                    runner,
                    cache_source=cache_source,
                    fetch_from=fetch_from,
                    last_event=progress.last_event if progress.started else None,
                )
            )
        except UpstreamError as error:
            attempt.drop()
            progress.unreached += 1
            return _Failed(reason=error.reason)
        context.sends += 1
        context.life.apply("send")
        try:
            return await self._read_stream(context, progress, plan, exchange, attempt)
        except (UpstreamError, TimeoutError, EventTooLongError) as error:
            context.life.apply("lose")
            self._note_loss(attempt, silent=isinstance(error, TimeoutError))
            return _Failed(reason=str(error) or "silent")
        finally:
            attempt.drop()

    async def _read_stream(
        self,
        context: RequestContext,
        progress: _Progress,
        plan: PromptPlan,
        exchange: Exchange,
        attempt: Attempt,
    ) -> _Finished | _Failed | Response:
        first_wait_s = self._first_wait_s(context, plan)
        async with asyncio.timeout(first_wait_s):
            head = await attempt.read_head()
        facts = decode_answer(head.headers)
        if head.status != _OK:
            response = await attempt.read_whole(head, most_bytes=MOST_ANSWER_BYTES)
            return self._judge(context, progress, attempt, response)
        if not facts.signed or facts.encoded:
            raise UpstreamError("answer without signature", sent=True)
        if not progress.started:
            context.life.apply("answer")
        splitter = EventSplitter()
        wait_s = first_wait_s
        first = True
        while True:
            async with asyncio.timeout(wait_s):
                part = await attempt.read_part()
            if part is None:
                break
            events = _unseen(splitter.feed(part), progress.last_event)
            if not events:
                continue
            if first:
                self._note_first_event(context, plan, attempt)
                first = False
            wait_s = self._gap_wait_s(context)
            await self._pass_on(context, progress, exchange, head.headers, events)
        attempt.finish(head)
        attempt.health.note_answer(failed=False, now_s=self.state.now_s())
        rest = splitter.rest
        if rest or not progress.started:
            event = Event(data=rest, number=None)
            await self._pass_on(context, progress, exchange, head.headers, [event])
        await exchange.finish()
        return _Finished()

    async def _pass_on(
        self,
        context: RequestContext,
        progress: _Progress,
        exchange: Exchange,
        headers: tuple[tuple[bytes, bytes], ...],
        events: Sequence[Event],
    ) -> None:
        if not progress.started:
            await exchange.start(_OK, encode_answer(headers))
            progress.started = True
        context.life.apply("relay")
        for event in events:
            if event.number is not None:
                progress.last_event = event.number
        data = b"".join(event.data for event in events)
        if data:
            await exchange.write(data)

    def _note_loss(self, attempt: Attempt, *, silent: bool) -> None:
        """Note a run that ended early; a silent engine gets no work for a while."""
        now_s = self.state.now_s()
        if silent:
            attempt.health.note_unreachable(now_s=now_s)
        else:
            attempt.health.note_answer(failed=True, now_s=now_s)

    def _judge(
        self,
        context: RequestContext,
        progress: _Progress,
        attempt: Attempt,
        response: Response,
    ) -> _Failed | Response:
        """Judge an answer that is no stream."""
        facts = decode_answer(response.headers)
        now_s = self.state.now_s()
        if facts.not_executed or response.status == 421:
            context.life.apply("reject")
            attempt.health.note_answer(failed=True, now_s=now_s)
            return _Failed(reason=f"not executed {response.status}")
        attempt.health.note_answer(failed=response.status >= _SERVER_ERROR, now_s=now_s)
        answer = Response(
            status=response.status,
            headers=encode_answer(response.headers),
            body=response.body,
        )
        if progress.started:
            context.life.apply("lose")
            return _Failed(reason=f"resume answered {response.status}")
        context.life.apply("answer")
        if response.status < _SERVER_ERROR or not context.life.idempotent:
            return answer
        context.life.apply("lose")
        progress.failure = answer
        return _Failed(reason=f"answered {response.status}")

    def _note_first_event(
        self, context: RequestContext, plan: PromptPlan, attempt: Attempt
    ) -> None:
        now_s = self.state.now_s()
        took_s = now_s - attempt.started_s
        context.story.add(
            "first event",
            now_s=now_s,
            expected_ms=round(plan.expected_s * 1000),
            took_ms=round(took_s * 1000),
        )
        self.state.metrics.latency_s.labels(context.service.name).observe(
            now_s - context.request.received_s
        )
        if isinstance(plan, DirectPlan):
            plan.runner.note_first_token(expected_s=plan.expected_s, actual_s=took_s)

    def _call(
        self,
        context: RequestContext,
        progress: _Progress,
        account: EngineAccount,
        *,
        prefill_only: bool = False,
        cache_source: str | None = None,
        fetch_from: str | None = None,
        last_event: int | None = None,
    ) -> UpstreamCall:
        return UpstreamCall(
            instance=account.entry.instance,
            deadline_s=context.deadline_s(self.state.now_s()),
            priority=progress.rank,
            prefill_only=prefill_only,
            cache_source=cache_source,
            fetch_from=fetch_from,
            last_event=last_event,
        )

    def _book(
        self,
        context: RequestContext,
        progress: _Progress,
        account: EngineAccount,
        work_s: float,
        parts: tuple[KeyedPart, ...],
    ) -> None:
        """Note work for an engine here, and tell the other hosts."""
        work = EngineWork(
            instance=account.entry.instance,
            priority=progress.rank,
            work_s=work_s,
            parts=parts,
        )
        self.state.engines.note_work(work, now_s=self.state.now_s())
        self.state.tell_work(work)

    def _first_wait_s(self, context: RequestContext, plan: PromptPlan) -> float | None:
        if not self._may_move(context):
            return None
        return max(SHORTEST_PATIENCE_S, plan.expected_s * FIRST_EVENT_PATIENCE)

    def _gap_wait_s(self, context: RequestContext) -> float | None:
        if not self._may_move(context):
            return None
        return (context.route.target_gap_s or _DEFAULT_GAP_S) * GAP_PATIENCE

    def _may_move(self, context: RequestContext) -> bool:
        return context.life.idempotent and context.sends < context.route.max_attempts

    def _may_repeat(self, context: RequestContext, progress: _Progress) -> bool:
        now_s = self.state.now_s()
        if not context.life.may_send or context.left_s(now_s) <= 0:
            return False
        if 0 < progress.unreached < CONNECT_TRIES and context.sends == 0:
            return True
        return context.sends < context.route.max_attempts and self.state.budget(
            context.service.name
        ).try_spend(now_s=now_s, hosts=self.state.hosts())

    def _give_up(
        self, context: RequestContext, progress: _Progress, reason: Reason
    ) -> Response | Refusal:
        if progress.started:
            return Refusal(status=502, reason=Reason.CUT)
        if progress.failure is not None:
            return progress.failure
        if context.life.nothing_ran:
            return not_run(reason, retry_after_s=REJECTED_RETRY_S)
        return Refusal(status=502, reason=Reason.UNKNOWN)

    def _free_handle(
        self, context: RequestContext, reader: EngineAccount, handle: str
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._send_free(context, reader, handle)
        )
        self.state.background.add(task)
        task.add_done_callback(self.state.background.discard)

    async def _send_free(
        self, context: RequestContext, reader: EngineAccount, handle: str
    ) -> None:
        try:
            await self.state.call_engine(
                context.service,
                reader.entry,
                method=b"DELETE",
                target=drop_handle_target(handle),
            )
        except (UpstreamError, TimeoutError) as error:
            # The engine frees it by itself after the handle's time to live.
            self.state.metrics.attempts.labels(
                context.service.name, "handle_not_freed"
            ).inc()
            context.story.add("free", now_s=self.state.now_s(), result=str(error))


def _job(context: RequestContext, view: _EngineView) -> PromptJob:
    parts = _shared(context)
    tokens = max(1, _prompt(context).prompt_tokens)
    _, held = find_holder(view.accounts, parts, now_s=view.now_s)
    reading_s = max(0, tokens - held) / PREFILL_TOKENS_S
    rank = choose_rank(left_s=context.late_at_s - view.now_s, reading_s=reading_s)
    size_bytes = len(context.request.body)
    return PromptJob(parts=parts, tokens=tokens, priority=rank, size_bytes=size_bytes)


def _prompt(context: RequestContext) -> Prompt:
    return context.facts.prompt or Prompt(model="", prompt_tokens=1, output_tokens=1)


def _shared(context: RequestContext) -> tuple[KeyedPart, ...]:
    """Return the parts that other prompts may begin with."""
    return key_parts(_prompt(context))[:-1]


def _unseen(events: Sequence[Event], last_event: int | None) -> list[Event]:
    """Return the events that the client does not have yet."""
    return [
        event
        for event in events
        if event.number is None or last_event is None or event.number > last_event
    ]


def _describe(plan: PromptPlan) -> dict[str, object]:
    fetch_from = plan.fetch_from.entry.instance if plan.fetch_from else None
    fields: dict[str, object] = {
        "runner": plan.runner.entry.instance,
        "expected_ms": round(plan.expected_s * 1000),
        "work_ms": round(plan.work_s * 1000),
        "new_tokens": plan.new_tokens,
        "pace": round(plan.runner.pace, 2),
        "fetch_from": fetch_from,
    }
    if isinstance(plan, SplitPlan):
        fields["reader"] = plan.reader.entry.instance
    return fields
