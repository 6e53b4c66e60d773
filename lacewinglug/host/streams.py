"""Relays streams of model services, event by event."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from lacewinglug.host.answers import Reason, Refusal, not_run
from lacewinglug.host.calls import (
    CONNECT_TRIES,
    MOST_ANSWER_BYTES,
    REJECTED_RETRY_S,
)
from lacewinglug.host.context import Attempt, HostState, RequestContext
from lacewinglug.host.events import Event, EventSplitter, EventTooLongError
from lacewinglug.host.placing import PromptPlacer
from lacewinglug.host.plans import (
    DirectPlan,
    PromptPlan,
    SplitPlan,
    learn_move,
    learn_reading,
)
from lacewinglug.host.prefills import (
    FIRST_EVENT_PATIENCE,
    SHORTEST_PATIENCE_S,
    Prefiller,
)
from lacewinglug.platform.headers import (
    decode_response_headers,
    encode_response_headers,
)
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.messages import Response
from lacewinglug.wire.server import Exchange

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
    :param placer: chooses engines.
    :param prefiller: lets engines read prompts.
    """

    state: HostState
    placer: PromptPlacer
    prefiller: Prefiller

    async def relay(
        self, context: RequestContext, exchange: Exchange
    ) -> Response | Refusal | None:
        """Relay a stream; return the final answer where no stream was begun."""
        progress = _Progress(last_event=context.facts.last_event)
        while True:
            placement = self.placer.place(
                context, allow_split=not progress.split_failed
            )
            if placement is None:
                return self._give_up(context, progress, Reason.NO_RUNNER)
            plan, progress.rank = placement.plan, placement.rank
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
                    )
                    return None
                case Response():
                    return result
                case _Failed(reason=reason):
                    context.story.add("failed", now_s=now_s, reason=reason)
            if not self._may_repeat(context, progress):
                return self._give_up(context, progress, Reason.REJECTED)

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
                handle = await self.prefiller.read(context, plan, rank=progress.rank)
                if handle is None:
                    progress.split_failed = True
                    return _Failed(reason="prefill failed")
                return await self._stream_from_handle(
                    context, progress, plan, exchange, handle
                )
            case DirectPlan():
                self.placer.book(
                    context, plan.runner, rank=progress.rank, work_s=plan.work_s
                )
                fetch_from = plan.fetch_from
                address = None if fetch_from is None else fetch_from.entry.address
                return await self._stream(
                    context, progress, plan, exchange, fetch_from=address
                )

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
            transfer = self.placer.place_transfer(context, plan, rank=progress.rank)
            if transfer is None:
                result = _Failed(reason="no engine streams")
                return result
            self.placer.book(context, transfer.runner, rank=progress.rank, work_s=0.0)
            result = await self._stream(
                context, progress, transfer, exchange, cache_source=source
            )
        finally:
            if not isinstance(result, _Finished):
                self.prefiller.free(context, plan.reader, handle)
                progress.split_failed = True
        return result

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
                context.make_call(
                    runner.entry,
                    now_s=self.state.now_s(),
                    priority=progress.rank,
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
            attempt.health.note_loss(
                silent=isinstance(error, TimeoutError), now_s=self.state.now_s()
            )
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
        facts = decode_response_headers(head.headers)
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
            await exchange.start_response(_OK, encode_response_headers(headers))
            progress.started = True
        context.life.apply("relay")
        for event in events:
            if event.number is not None:
                progress.last_event = event.number
        data = b"".join(event.data for event in events)
        if data:
            await exchange.write(data)

    def _judge(
        self,
        context: RequestContext,
        progress: _Progress,
        attempt: Attempt,
        response: Response,
    ) -> _Failed | Response:
        """Judge an answer that is no stream."""
        facts = decode_response_headers(response.headers)
        now_s = self.state.now_s()
        if facts.not_executed or response.status == 421:
            context.life.apply("reject")
            attempt.health.note_answer(failed=True, now_s=now_s)
            return _Failed(reason=f"not executed {response.status}")
        attempt.health.note_answer(failed=response.status >= _SERVER_ERROR, now_s=now_s)
        answer = Response(
            status=response.status,
            headers=encode_response_headers(response.headers),
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
        match plan:
            case DirectPlan():
                expected_s = plan.expected_s
                learn_reading(plan, took_s=took_s)
            case SplitPlan():
                expected_s = plan.stream_s
                learn_move(plan, took_s=took_s)
        context.story.add(
            "first event",
            now_s=now_s,
            expected_ms=round(expected_s * 1000),
            took_ms=round(took_s * 1000),
        )
        self.state.metrics.latency_s.labels(context.service.name).observe(
            now_s - context.request.received_s
        )

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


def _unseen(events: Sequence[Event], last_event: int | None) -> list[Event]:
    """Return the events that the client does not have yet."""
    return [
        event
        for event in events
        if event.number is None or last_event is None or event.number > last_event
    ]
