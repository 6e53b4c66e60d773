"""Relays server-sent event streams of model services to clients."""

import asyncio
import re
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, TypeVar

from lacewinglug.host.answers import Refusal, RefusalReason, refuse_as_not_run
from lacewinglug.host.calls import (
    MAX_CONNECT_ATTEMPTS,
    MAX_RESPONSE_BYTES,
    REJECTED_RETRY_AFTER_S,
)
from lacewinglug.host.context import (
    Attempt,
    HostState,
    RequestContext,
    wait_for_any,
)
from lacewinglug.host.crashes import ANSWER_START_S, CrashMonitor
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.events import Event, EventTooLongError
from lacewinglug.host.model import Stage
from lacewinglug.host.placing import PromptPlacer
from lacewinglug.host.plans import (
    ColocatedPlan,
    DisaggregatedPlan,
    PromptPlan,
    record_transfer_time,
)
from lacewinglug.host.prefills import (
    FIRST_EVENT_TIMEOUT_FACTOR,
    MIN_FIRST_EVENT_TIMEOUT_S,
    PrefillClient,
)
from lacewinglug.host.verdicts import Verdict, judge_response
from lacewinglug.interference.watch import EngineWatch, StreamTimes
from lacewinglug.platform.headers import (
    decode_response_headers,
    encode_response_headers,
)
from lacewinglug.shedding.streams import refuse_after_s
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.messages import Response, ResponseHead
from lacewinglug.wire.server import Exchange

GAP_TIMEOUT_FACTOR = 2.0
"""Least multiple of the route's target gap between events after which a resumable
stream is resumed on another engine."""
SOUND_SILENCE_S = 2.0
"""Time for which a sound engine may be silent, in s; a stream is resumed elsewhere only
after it, or after half of the time left if that is shorter."""
MAX_OVERLAP_S = 0.3
"""Time after sending to another engine for which a silent one may go on, in s. Most
rejections arrive within it; later both engines would run the request."""
MIN_RETURN_INTERVAL_S = 0.1
"""Time after which a stream returns once more to engines that it was sent to before, in
s; doubles with each try."""
MAX_RETURN_INTERVAL_S = 0.5
"""Upper bound of that time, in s."""
_OK = 200
_DEFAULT_TARGET_GAP_S = 0.5
_T = TypeVar("_T")
_DATA_LINE = re.compile(rb"(?:\A|[\r\n])data[:\r\n]")


@dataclass(kw_only=True)
class _StreamProgress:
    """Progress of a stream across attempts.

    :param last_event_id: id of the last event the client received, None before the
        first.
    :param head_sent: whether the response head was sent to the client.
    :param unnumbered_sent: whether events without an id were sent to the client.
    :param failure_response: error response of a runner, returned if all other
        attempts fail.
    :param connect_failures: runners that could not be connected to.
    :param separate_prefill_failed: whether prefill on a separate engine has failed.
    :param priority: scheduling priority of the prompt at the engines.
    :param backlog_number: number of the prompt in the backlog of the engine that runs
        both prefill and decode, None if it is not queued there.
    :param may_fail_over: whether a silent engine is given up for another one.
    :param gave_up_engine: whether an engine was given up only since it was silent.
    :param earlier_engines: instances of the engines that were given up so, or that
        rejected the stream; the last one comes last.
    :param engines_run: instances of the engines that may have run the stream.
    :param silent: attempts whose engines fell silent, until another one goes on.
    """

    last_event_id: int | None = None
    head_sent: bool = False
    unnumbered_sent: bool = False
    failure_response: Response | None = None
    connect_failures: int = 0
    separate_prefill_failed: bool = False
    priority: int = 5
    backlog_number: int | None = None
    may_fail_over: bool = True
    gave_up_engine: bool = False
    earlier_engines: list[str] = field(default_factory=list)
    engines_run: set[str] = field(default_factory=set)
    silent: list["_SilentAttempt"] = field(default_factory=list)
    _overlap_timer: asyncio.TimerHandle | None = None

    @property
    def may_resume(self) -> bool:
        """Whether another engine would not repeat what was sent to the client."""
        return self.last_event_id is not None or not self.unnumbered_sent

    def limit_overlap(self) -> None:
        """Close silent attempts soon, since the request was sent to another engine."""
        self.lift_overlap_limit()
        if self.silent:
            loop = asyncio.get_running_loop()
            self._overlap_timer = loop.call_later(MAX_OVERLAP_S, self.close_silent)

    def lift_overlap_limit(self) -> None:
        """Keep silent attempts open, since no other engine runs the request."""
        if self._overlap_timer is not None:
            self._overlap_timer.cancel()
            self._overlap_timer = None

    def close_silent(self) -> None:
        """Close the attempts whose engines fell silent."""
        self.lift_overlap_limit()
        while self.silent:
            silent = self.silent.pop()
            silent.give_up()
            self.gave_up_engine = True
            self.add_earlier_engine(silent.attempt.entry.instance)

    def add_earlier_engine(self, instance: str) -> None:
        """Add an engine to which the stream may return."""
        self.remove_earlier_engine(instance)
        self.earlier_engines.append(instance)

    def remove_earlier_engine(self, instance: str) -> None:
        """Remove an engine that broke off the stream."""
        if instance in self.earlier_engines:
            self.earlier_engines.remove(instance)


@dataclass(kw_only=True)
class _SilentAttempt:
    """An attempt whose engine fell silent; it may still go on.

    :param attempt: the attempt, still open.
    :param plan: its plan.
    :param backlog_number: number of the prompt in the backlog of its engine.
    :param free_handle: frees the KV cache that its engine fetches, None if it
        fetches none.
    """

    attempt: Attempt
    plan: PromptPlan
    backlog_number: int | None
    free_handle: Callable[[], None] | None = None

    def give_up(self) -> None:
        """Close the attempt, and free a KV cache that was not fetched."""
        self.attempt.close()
        if self.free_handle is not None and self.attempt.first_event_s is None:
            self.free_handle()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Completed:
    """The stream was relayed to its end."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _AttemptFailed:
    """An attempt failed; the state of the request decides what happens next.

    :param reason: cause, for the log line of the request.
    :param silent: whether the engine fell silent and may still go on.
    :param rejected: whether the engine did not run the request.
    :param overtaken_by: the attempt whose engine was silent and went on first, None
        if there is none.
    """

    reason: str
    silent: bool = False
    rejected: bool = False
    overtaken_by: _SilentAttempt | None = None


class _OvertakenError(Exception):
    """An engine that was silent goes on before the one that the request was sent to.

    :param silent: the attempt at that engine.
    """

    def __init__(self, silent: _SilentAttempt) -> None:
        super().__init__("overtaken by a silent engine")
        self.silent = silent


@dataclass(kw_only=True)
class StreamRelay:
    """Sends prompts to engines and relays the resulting events.

    :param state: shared state of the host.
    :param placer: chooses engines.
    :param prefill_client: runs prefill on a separate engine.
    :param crash_monitor: examines engines that lost a request.
    """

    state: HostState
    placer: PromptPlacer
    prefill_client: PrefillClient
    crash_monitor: CrashMonitor

    async def relay(
        self, context: RequestContext, exchange: Exchange
    ) -> Response | Refusal | None:
        """Relay a stream to the client, retrying on other engines.

        :returns: None once the stream was relayed to its end, else the response that
            ends the request; status 502 after a part of the stream was relayed.
        """
        progress = _StreamProgress(last_event_id=context.metadata.last_event)
        context.trace.stream = StreamTimes(
            started_s=context.request.received_s,
            target_s=context.route.target_latency_s,
            target_gap_s=context.route.target_gap_s,
            timeout_s=context.route.timeout_s,
        )
        try:
            return await self._relay_attempts(context, progress, exchange)
        finally:
            progress.close_silent()

    async def _relay_attempts(
        self, context: RequestContext, progress: _StreamProgress, exchange: Exchange
    ) -> Response | Refusal | None:
        while True:
            progress.lift_overlap_limit()
            placement = self.placer.place(
                context, allow_disaggregated=not progress.separate_prefill_failed
            )
            if placement is None:
                return await self._finish_without_retry(
                    context, progress, exchange, RefusalReason.NO_RUNNER
                )
            plan, progress.priority = placement.plan, placement.priority
            retry_after_s = None
            if context.lifecycle.not_executed:
                retry_after_s = refuse_after_s(self.state, context, plan)
            if retry_after_s is not None:
                return refuse_as_not_run(
                    RefusalReason.NO_TIME, retry_after_s=retry_after_s
                )
            result = await self._attempt_plan(context, progress, plan, exchange)
            self._trace_result(context, progress, result)
            if isinstance(result, _AttemptFailed) and result.overtaken_by is not None:
                result = await self._relay_silent(
                    context, progress, exchange, result.overtaken_by, step="went on"
                )
            match result:
                case _Completed():
                    return None
                case Response():
                    return result
            if not self._may_retry(context, progress):
                return await self._finish_without_retry(
                    context, progress, exchange, RefusalReason.REJECTED
                )

    async def _finish_without_retry(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        exchange: Exchange,
        reason: RefusalReason,
    ) -> Response | Refusal | None:
        """Finish a request that is not sent again.

        Engines that fell silent may still go on, and are waited for.
        """
        progress.may_fail_over = False
        progress.lift_overlap_limit()
        while progress.silent:
            attempts = [item.attempt for item in progress.silent]
            limit_s = None
            if progress.failure_response is not None:
                limit_s = context.time_to_report_s(self.state.now_s())
            try:
                async with asyncio.timeout(limit_s):
                    attempt = await wait_for_any(attempts)
            except TimeoutError:
                break
            silent = next(item for item in progress.silent if item.attempt is attempt)
            result = await self._relay_silent(
                context, progress, exchange, silent, step="waited"
            )
            match result:
                case _Completed():
                    return None
                case Response():
                    return result
        if await self._return_to_engines(context, progress, exchange):
            return None
        return self._final_failure(context, progress, reason)

    async def _relay_silent(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        exchange: Exchange,
        silent: _SilentAttempt,
        *,
        step: str,
    ) -> _Completed | _AttemptFailed | Response:
        """Relay the rest of the response to an attempt whose engine fell silent.

        :param step: step in the log line of the request.
        """
        progress.silent.remove(silent)
        progress.backlog_number = silent.backlog_number
        context.lifecycle.apply("wait")
        context.trace.add_step(
            step, now_s=self.state.now_s(), runner=silent.attempt.entry.instance
        )
        result: _Completed | _AttemptFailed | Response | None = None
        try:
            result = await self._relay_attempt(
                context, progress, silent.plan, exchange, silent.attempt
            )
        finally:
            if isinstance(result, _AttemptFailed) and result.silent:
                progress.silent[-1].free_handle = silent.free_handle
            else:
                silent.give_up()
        self._trace_result(context, progress, result)
        return result

    async def _return_to_engines(
        self, context: RequestContext, progress: _StreamProgress, exchange: Exchange
    ) -> bool:
        """Resume a stream that has begun at engines to which it was sent before.

        The limit on attempts is a limit on engines. An engine that was given up since
        it was silent may be sound, and one that rejected the stream may accept it. If
        none of them takes requests any more, another one takes their place, unless
        the stream has run on as many engines as the limit allows.

        :returns: whether the stream was relayed to its end.
        """
        pause_s = 0.0
        while choices := self._engines_to_return_to(context, progress):
            await asyncio.sleep(pause_s)
            pause_s = min(
                max(MIN_RETURN_INTERVAL_S, 2 * pause_s), MAX_RETURN_INTERVAL_S
            )
            if self._retries_left(context) < 1:
                context.trace.add_step("retry denied", now_s=self.state.now_s())
                continue
            placements = (
                self.placer.place(context, allow_disaggregated=False, among=engines)
                for engines in choices
            )
            placement = next((item for item in placements if item is not None), None)
            if placement is None:
                continue
            self._try_spend_retry(context)
            progress.priority = placement.priority
            result = await self._attempt_plan(
                context, progress, placement.plan, exchange
            )
            self._trace_result(context, progress, result)
            if isinstance(result, _Completed):
                return True
        return False

    def _engines_to_return_to(
        self, context: RequestContext, progress: _StreamProgress
    ) -> list[set[str]]:
        """Return sets of engines to choose from, in order of preference.

        An engine that has not had the stream stands for the earlier ones while none of
        these accepts requests.
        """
        if (
            not (progress.head_sent and progress.may_resume)
            or not progress.gave_up_engine
            or not context.lifecycle.may_send
            or context.crashed_engine
            or context.remaining_s(self.state.now_s()) <= 0
            or self.state.find_quarantined(context) is not None
        ):
            return []
        service, now_s = context.service.name, self.state.now_s()
        ready, accepting = (
            {entry.instance for entry in entries if entry.stage is not Stage.PREFILL}
            for entries in (
                self.state.fleet.ready(service),
                self.state.notices.accepting(service, now_s=now_s),
            )
        )
        allowed = ready
        if len(progress.engines_run) >= context.route.max_attempts:
            allowed = ready & progress.engines_run
        earlier = [item for item in progress.earlier_engines if item in allowed]
        others = (accepting & allowed) - progress.engines_run
        if others and not accepting.intersection(earlier):
            return [others]
        return [{item} for item in earlier]

    def _trace_result(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        result: _Completed | _AttemptFailed | Response,
    ) -> None:
        now_s = self.state.now_s()
        match result:
            case _Completed():
                context.trace.add_step(
                    "finished", now_s=now_s, events=progress.last_event_id
                )
            case _AttemptFailed(reason=reason):
                context.trace.add_step("failed", now_s=now_s, reason=reason)

    async def _attempt_plan(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        plan: PromptPlan,
        exchange: Exchange,
    ) -> _Completed | _AttemptFailed | Response:
        match plan:
            case DisaggregatedPlan():
                handle = await self.prefill_client.prefill(
                    context, plan, priority=progress.priority
                )
                if handle is None:
                    progress.separate_prefill_failed = True
                    return _AttemptFailed(reason="prefill failed")
                return await self._decode_from_handle(
                    context, progress, plan, exchange, handle
                )
            case ColocatedPlan():
                progress.backlog_number = self.placer.record_prefill(
                    context, plan.prefill, priority=progress.priority
                )
                fetch_from = plan.prefill.fetch_from
                address = None if fetch_from is None else fetch_from.entry.address
                result: _Completed | _AttemptFailed | Response | None = None
                try:
                    result = await self._stream_from_engine(
                        context, progress, plan, exchange, fetch_from=address
                    )
                finally:
                    if not isinstance(result, _Completed):
                        plan.decode_engine.withdraw(
                            progress.backlog_number, now_s=self.state.now_s()
                        )
                return result

    async def _decode_from_handle(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        plan: DisaggregatedPlan,
        exchange: Exchange,
        handle: str,
    ) -> _Completed | _AttemptFailed | Response:
        """Run decode of a prompt whose KV cache is held under a handle.

        The handle is freed unless the stream was relayed to its end, or may yet be.
        """
        source = f"{plan.prefill.engine.entry.address}/{handle}"
        result: _Completed | _AttemptFailed | Response | None = None
        try:
            decode_plan = self.placer.place_decode(
                context, plan, priority=progress.priority
            )
            if decode_plan is None:
                result = _AttemptFailed(reason="no decode engine available")
                return result
            self.placer.record_transfer(
                context, decode_plan.decode_engine, priority=progress.priority
            )
            result = await self._stream_from_engine(
                context, progress, decode_plan, exchange, cache_source=source
            )
        finally:
            if not isinstance(result, _Completed):
                free_handle = partial(
                    self.prefill_client.free_handle,
                    context,
                    plan.prefill.engine,
                    handle,
                )
                if isinstance(result, _AttemptFailed) and result.silent:
                    # The engine may still be fetching the KV cache.
                    progress.silent[-1].free_handle = free_handle
                else:
                    free_handle()
                progress.separate_prefill_failed = True
        return result

    async def _stream_from_engine(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        plan: PromptPlan,
        exchange: Exchange,
        *,
        cache_source: str | None = None,
        fetch_from: str | None = None,
    ) -> _Completed | _AttemptFailed | Response:
        """Send the request to the plan's decode engine and relay its events.

        :param cache_source: ``IP:PORT/HANDLE`` of the prefilled KV cache to fetch.
        :param fetch_from: ``IP:PORT`` of an engine from which to fetch cached parts.
        """
        engine = plan.decode_engine
        context.tried_instances.add(engine.entry.instance)
        attempt = Attempt(state=self.state, context=context, entry=engine.entry)
        try:
            await attempt.connect()
            attempt.send(
                context.make_forwarding_fields(
                    engine.entry,
                    now_s=self.state.now_s(),
                    priority=progress.priority,
                    cache_source=cache_source,
                    fetch_from=fetch_from,
                    last_event=progress.last_event_id if progress.head_sent else None,
                )
            )
        except UpstreamError as error:
            attempt.close()
            progress.connect_failures += 1
            return _AttemptFailed(reason=error.reason)
        except BaseException:
            attempt.close()
            raise
        context.attempt_count += 1
        context.lifecycle.apply("send")
        progress.limit_overlap()
        result = await self._relay_attempt(context, progress, plan, exchange, attempt)
        if not (isinstance(result, _AttemptFailed) and result.rejected):
            progress.engines_run.add(engine.entry.instance)
        return result

    async def _relay_attempt(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        plan: PromptPlan,
        exchange: Exchange,
        attempt: Attempt,
    ) -> _Completed | _AttemptFailed | Response:
        """Relay the response to an attempt, which stays open if its engine is silent.

        Its silence may be short, and the attempts that follow may fail.
        """
        silent = False
        try:
            return await self._relay_response(
                context, progress, plan, exchange, attempt
            )
        except _OvertakenError as error:
            context.lifecycle.apply("lose")
            progress.gave_up_engine = True
            progress.add_earlier_engine(attempt.entry.instance)
            return _AttemptFailed(reason=str(error), overtaken_by=error.silent)
        except (UpstreamError, TimeoutError, EventTooLongError) as error:
            silent = isinstance(error, TimeoutError)
            context.lifecycle.apply("lose")
            attempt.health.record_incomplete(silent=silent, now_s=self.state.now_s())
            if not silent:
                progress.remove_earlier_engine(attempt.entry.instance)
            if isinstance(error, UpstreamError) and self._is_beginning(attempt):
                attempt.close()
                # Only silent engines run the request during the check.
                progress.lift_overlap_limit()
                await self.crash_monitor.examine_loss(context, attempt.entry)
            return _AttemptFailed(reason=str(error) or "silent", silent=silent)
        finally:
            if silent:
                progress.silent.append(
                    _SilentAttempt(
                        attempt=attempt,
                        plan=plan,
                        backlog_number=progress.backlog_number,
                    )
                )
            else:
                attempt.close()

    def _is_beginning(self, attempt: Attempt) -> bool:
        """Return whether the answer of an attempt is yet to begin, or just began."""
        began_s = attempt.first_event_s
        return began_s is None or self.state.now_s() - began_s < ANSWER_START_S

    def _record_answer(self, context: RequestContext) -> None:
        self.state.quarantine.record_answer(context.part_keys, now_s=self.state.now_s())

    async def _relay_response(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        plan: PromptPlan,
        exchange: Exchange,
        attempt: Attempt,
    ) -> _Completed | _AttemptFailed | Response:
        """Read the response of an engine and relay its events to the client.

        :raises UpstreamError: the response is lost, cut short or not as the engine
            sent it.
        :raises TimeoutError: the first or the next event is overdue.
        :raises EventTooLongError: an event exceeds the size limit.
        :raises _OvertakenError: another engine, which was silent, goes on first.
        """
        first_event_timeout_s = self._first_event_timeout_s(context, progress, plan)
        head = await self._read_unless_overtaken(
            progress, attempt.read_head_in_time(first_event_timeout_s)
        )
        verdict = _judge_head(head)
        if verdict is Verdict.UNVERIFIED:
            raise UpstreamError("response is unsigned or was re-encoded", sent=True)
        if verdict is not Verdict.SUCCESS or head.status != _OK:
            response = await attempt.read_response(head, max_bytes=MAX_RESPONSE_BYTES)
            return self._classify_response(
                context, progress, attempt, response, verdict
            )
        if not progress.head_sent:
            context.lifecycle.apply("answer")
        loop = asyncio.get_running_loop()
        next_event_by_s = _add_timeout(loop.time(), first_event_timeout_s)
        answer_recorded = False
        watch = _make_watch(context, plan, announce=self.state.announce_work)
        while True:
            waits_since_s = self.state.now_s()
            try:
                async with asyncio.timeout_at(next_event_by_s):
                    goes_on = await self._read_unless_overtaken(
                        progress, attempt.read_events()
                    )
            finally:
                waited_s = self.state.now_s() - waits_since_s
                context.trace.record_waits(upstream_s=waited_s)
            if not goes_on:
                break
            events = _undelivered(attempt.take_events(), progress.last_event_id)
            if not events:
                continue
            progresses = _shows_progress(events, progress.last_event_id)
            if progresses:
                progress.close_silent()
                watch.record_events(_count_events(events), now_s=self.state.now_s())
            if progresses and attempt.first_event_s is None:
                self._record_first_event(context, progress, plan, attempt)
            began = attempt.first_event_s is not None
            if began and not (answer_recorded or self._is_beginning(attempt)):
                self._record_answer(context)
                answer_recorded = True
            await self._send_events(context, progress, exchange, head.headers, events)
            if progresses:
                gap_timeout_s = self._gap_timeout_s(context, progress)
                next_event_by_s = _add_timeout(loop.time(), gap_timeout_s)
        if attempt.splitter.remainder:
            raise UpstreamError("stream ended inside an event", sent=True)
        if attempt.first_event_s is None and head.ends_with_connection:
            raise UpstreamError("stream ended before its first event", sent=True)
        attempt.release(head)
        attempt.health.record_result(failed=False, now_s=self.state.now_s())
        watch.record_end(now_s=self.state.now_s())
        ended_early = head.ends_with_connection and self._is_beginning(attempt)
        if not (answer_recorded or ended_early):
            self._record_answer(context)
        if not progress.head_sent:
            await self._send_events(context, progress, exchange, head.headers, [])
        await exchange.finish()
        return _Completed()

    async def _read_unless_overtaken(
        self, progress: _StreamProgress, reading: Coroutine[Any, Any, _T]
    ) -> _T:
        """Read from an engine, and listen to those that fell silent meanwhile.

        What is read has to stay at the attempt, since a timeout may end the wait after
        it was read.

        :raises _OvertakenError: one of these goes on first.
        """
        if not progress.silent:
            return await reading
        read = asyncio.ensure_future(reading)
        waits: dict[asyncio.Future[Any], _SilentAttempt] = {
            asyncio.ensure_future(
                _wait_for_progress(item.attempt, progress.last_event_id)
            ): item
            for item in progress.silent
        }
        pending: set[asyncio.Future[Any]] = {read, *waits}
        try:
            while not read.done():
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if read in done:
                    break
                for wait in done:
                    # The attempt may have been closed at the overlap limit.
                    if waits[wait] in progress.silent and wait.result():
                        progress.lift_overlap_limit()
                        raise _OvertakenError(waits[wait])
            return read.result()
        finally:
            for task in (read, *waits):
                task.cancel()
            await asyncio.gather(read, *waits, return_exceptions=True)

    async def _send_events(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        exchange: Exchange,
        headers: tuple[tuple[bytes, bytes], ...],
        events: Sequence[Event],
    ) -> None:
        """Write events to the client, after the response head for the first ones."""
        if not progress.head_sent:
            schedule = self.state.shutdown
            context.extend_to_deadline(
                now_s=self.state.now_s(),
                stops_s=None if schedule is None else schedule.finish_by_s,
            )
            await exchange.start_response(_OK, encode_response_headers(headers))
            progress.head_sent = True
        context.lifecycle.apply("relay")
        for event in events:
            if event.event_id is not None:
                progress.last_event_id = event.event_id
            elif _has_data(event):
                progress.unnumbered_sent = True
        data = b"".join(event.data for event in events)
        if data:
            written_s = self.state.now_s()
            try:
                await exchange.write(data)
            finally:
                waited_s = self.state.now_s() - written_s
                context.trace.record_waits(client_s=waited_s)

    def _classify_response(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        attempt: Attempt,
        response: Response,
        verdict: Verdict,
    ) -> _AttemptFailed | Response:
        """Classify a response that is not a stream: final or to be retried."""
        now_s = self.state.now_s()
        if verdict is Verdict.NOT_EXECUTED:
            context.lifecycle.apply("reject")
            attempt.health.record_result(failed=True, now_s=now_s)
            progress.add_earlier_engine(attempt.entry.instance)
            return _AttemptFailed(
                reason=f"not executed {response.status}", rejected=True
            )
        failed = verdict is Verdict.SERVER_ERROR
        attempt.health.record_result(failed=failed, now_s=now_s)
        answer = Response(
            status=response.status,
            headers=encode_response_headers(response.headers),
            body=response.body,
        )
        if progress.head_sent:
            context.lifecycle.apply("lose")
            return _AttemptFailed(reason=f"resume request answered {response.status}")
        context.lifecycle.apply("answer")
        if verdict is Verdict.SUCCESS:
            self._record_answer(context)
        if not failed or not context.lifecycle.idempotent:
            return answer
        context.lifecycle.apply("lose")
        progress.failure_response = answer
        return _AttemptFailed(reason=f"answered {response.status}")

    def _record_first_event(
        self,
        context: RequestContext,
        progress: _StreamProgress,
        plan: PromptPlan,
        attempt: Attempt,
    ) -> None:
        """Record the time to the first event in estimates, request log and metrics."""
        now_s = self.state.now_s()
        elapsed_s = now_s - attempt.started_s
        attempt.first_event_s = now_s
        self.state.record_run(context, attempt.entry)
        match plan:
            case ColocatedPlan():
                expected_s = plan.expected_ttft_s
                plan.prefill.record_time(took_s=elapsed_s, now_s=now_s)
                plan.decode_engine.complete(progress.backlog_number, now_s=now_s)
            case DisaggregatedPlan():
                expected_s = plan.decode_latency_s
                record_transfer_time(plan, elapsed_s=elapsed_s)
        context.trace.add_step(
            "first event",
            now_s=now_s,
            expected_ms=round(expected_s * 1000),
            took_ms=round(elapsed_s * 1000),
        )
        self.state.metrics.first_byte_latency_s.labels(context.service.name).observe(
            now_s - context.request.received_s
        )

    def _first_event_timeout_s(
        self, context: RequestContext, progress: _StreamProgress, plan: PromptPlan
    ) -> float | None:
        """Return the timeout of the first event, None if no retry is possible."""
        if not self._may_fail_over(context, progress):
            return None
        return max(
            MIN_FIRST_EVENT_TIMEOUT_S, plan.expected_ttft_s * FIRST_EVENT_TIMEOUT_FACTOR
        )

    def _gap_timeout_s(
        self, context: RequestContext, progress: _StreamProgress
    ) -> float | None:
        """Return the timeout of the next event, None if no retry is possible."""
        if not self._may_fail_over(context, progress):
            return None
        target_gap_s = context.route.target_gap_s or _DEFAULT_TARGET_GAP_S
        half_left_s = context.remaining_s(self.state.now_s()) / 2
        return max(target_gap_s * GAP_TIMEOUT_FACTOR, min(SOUND_SILENCE_S, half_left_s))

    def _may_fail_over(
        self, context: RequestContext, progress: _StreamProgress
    ) -> bool:
        return (
            progress.may_fail_over
            and progress.may_resume
            and context.lifecycle.idempotent
            and context.attempt_count < context.route.max_attempts
        )

    def _may_retry(self, context: RequestContext, progress: _StreamProgress) -> bool:
        now_s = self.state.now_s()
        if not context.lifecycle.may_send or context.remaining_s(now_s) <= 0:
            return False
        if not progress.may_resume:
            return False
        if context.crashed_engine and not progress.head_sent:
            return False
        if self.state.find_quarantined(context) is not None:
            return False
        if (
            0 < progress.connect_failures < MAX_CONNECT_ATTEMPTS
            and context.attempt_count == 0
        ):
            return True
        if context.attempt_count >= context.route.max_attempts:
            return False
        # The next engine may reject the stream after a silent one was given up.
        reserve = 1 if progress.silent and progress.head_sent else 0
        return self._retries_left(context) >= 1 + reserve and self._try_spend_retry(
            context
        )

    def _retries_left(self, context: RequestContext) -> float:
        """Return how many retries the budget of the service allows now."""
        return self.state.retry_budget(context.service.name).remaining(
            now_s=self.state.now_s(), host_count=self.state.count_hosts()
        )

    def _try_spend_retry(self, context: RequestContext) -> bool:
        """Count a retry against the budget of the service, if that allows it."""
        return self.state.retry_budget(context.service.name).try_spend(
            now_s=self.state.now_s(), host_count=self.state.count_hosts()
        )

    def _final_failure(
        self, context: RequestContext, progress: _StreamProgress, reason: RefusalReason
    ) -> Response | Refusal:
        if progress.head_sent:
            return Refusal(status=502, reason=RefusalReason.STREAM_CUT)
        if progress.failure_response is not None:
            return progress.failure_response
        if not context.lifecycle.not_executed:
            return Refusal(status=502, reason=RefusalReason.OUTCOME_UNKNOWN)
        quarantined = self.state.find_quarantined(context)
        if quarantined is not None:
            return refuse_as_not_run(
                RefusalReason.QUARANTINED, retry_after_s=quarantined.retry_after_s
            )
        return self.state.notices.refuse(
            context.trace,
            reason,
            retry_after_s=REJECTED_RETRY_AFTER_S,
            now_s=self.state.now_s(),
        )


def _add_timeout(now_s: float, timeout_s: float | None) -> float | None:
    return None if timeout_s is None else now_s + timeout_s


def _judge_head(head: ResponseHead) -> Verdict:
    return judge_response(head.status, decode_response_headers(head.headers))


async def _wait_for_progress(attempt: Attempt, last_event_id: int | None) -> bool:
    """Read ahead until the engine of an attempt makes progress.

    :returns: False if its response ends otherwise; the attempt is settled then.
    """
    try:
        progresses = await _read_until_progress(attempt, last_event_id)
    except (UpstreamError, EventTooLongError):
        progresses = False
    attempt.is_settled = not progresses
    return progresses


async def _read_until_progress(attempt: Attempt, last_event_id: int | None) -> bool:
    """Read ahead as :func:`_wait_for_progress`.

    :raises UpstreamError: the response is lost or cut short.
    :raises EventTooLongError: an event exceeds the size limit.
    """
    head = await attempt.read_head()
    if head.status != _OK or _judge_head(head) is not Verdict.SUCCESS:
        return False
    events: Sequence[Event] | None = attempt.events
    while events is not None:
        if _shows_progress(_undelivered(events, last_event_id), last_event_id):
            return True
        events = await attempt.read_events_ahead()
    # The end of a connection may also cut the stream short; the next engine goes on.
    whole = not (attempt.splitter.remainder or head.ends_with_connection)
    return whole and attempt.first_event_s is not None


def _make_watch(
    context: RequestContext,
    plan: PromptPlan,
    *,
    announce: Callable[[EngineWork], None],
) -> EngineWatch:
    times, profile = context.trace.stream, context.service.engine
    assert times is not None
    return EngineWatch(
        engine=plan.decode_engine,
        times=times,
        route=context.route.name,
        stride=1 if profile is None else profile.stride,
        announce=announce,
    )


def _count_events(events: Sequence[Event]) -> int:
    """Return the number of events that show progress, at least one."""
    return max(1, sum(event.event_id is not None for event in events))


def _shows_progress(events: Sequence[Event], last_event_id: int | None) -> bool:
    """Return whether events that the client has not received show progress.

    Only events with an id do, unless the engine numbers none of them. Other bytes may
    come without end.
    """
    return any(
        event.event_id is not None or (last_event_id is None and _has_data(event))
        for event in events
    )


def _has_data(event: Event) -> bool:
    """Return whether an event is more than a comment."""
    return _DATA_LINE.search(event.data) is not None


def _undelivered(events: Sequence[Event], last_event_id: int | None) -> list[Event]:
    """Return the events that the client has not received yet."""
    return [
        event
        for event in events
        if event.event_id is None
        or last_event_id is None
        or event.event_id > last_event_id
    ]
