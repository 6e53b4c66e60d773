"""Relays the answer to a prompt from engines to the caller.

If an engine's stream breaks or stalls, another engine resumes the answer at the next
token.
"""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from lacewinglug.clock import Clock
from lacewinglug.entry.dispatch import Dispatch, Dispatcher
from lacewinglug.entry.view import EntryView
from lacewinglug.metrics import Metrics
from lacewinglug.requests.answers import AnswerBatch, PromptBody
from lacewinglug.requests.moves import (
    KvCacheMethod,
    choose_kv_cache_method,
    estimate_migration,
    is_migration_worthwhile,
)
from lacewinglug.requests.outcomes import FailedWhileRunning, NotRun
from lacewinglug.requests.sequence import AnswerSequence, BrokenSequenceError
from lacewinglug.requests.streams import BlockedOn, Interruption, OpenStream
from lacewinglug.upstream.client import RunnerClient, RunnerError
from lacewinglug.upstream.messages import GenerateRequest, KvImport

_MAX_ATTEMPTS_WITHOUT_PROGRESS = 6
_INITIAL_RETRY_DELAY_S = 0.1
_MAX_BACKOFF_DOUBLINGS = 3
_MIGRATION_PLACEMENT_TIMEOUT_S = 0.1


@dataclass(kw_only=True)
class PromptRelay:
    """Relays prompts to runners, with failover when a stream breaks.

    :param dispatcher: places prompts on runners.
    :param client: client of the runners.
    :param view: state of the fleet.
    :param clock: source of time.
    :param metrics: counters.
    """

    dispatcher: Dispatcher
    client: RunnerClient
    view: EntryView
    clock: Clock
    metrics: Metrics

    def relay(
        self, stream: OpenStream, body: PromptBody
    ) -> AsyncGenerator[AnswerBatch, None]:
        """Yield an answer in batches; the last one has the end line or is a failure."""
        sequence = AnswerSequence(
            request_id=stream.profile.request_id,
            max_tokens=body.max_tokens,
            metrics=self.metrics,
        )
        answer = _AnswerRelay(relay=self, stream=stream, body=body, sequence=sequence)
        return answer.run()


@dataclass(kw_only=True)
class _AnswerRelay:
    """Relays one answer, which several runners in turn may produce.

    :param relay: dependencies shared by all answers.
    :param stream: state of the answer, as the timeouts see it.
    :param body: the prompt.
    :param sequence: position in the answer.
    :param failed_runners: runners to avoid until the next retry delay has passed.
    :param failed_attempts: failed attempts since a runner last added to the answer.
    :param next_dispatch: placement of the next attempt, after a migration.
    """

    relay: PromptRelay
    stream: OpenStream
    body: PromptBody
    sequence: AnswerSequence
    failed_runners: set[str] = field(default_factory=set)
    failed_attempts: int = 0
    next_dispatch: Dispatch | None = None

    async def run(self) -> AsyncGenerator[AnswerBatch, None]:
        """Yield the answer, and close an unused placement at the end."""
        try:
            async with aclosing(self._run_attempts()) as batches:
                async for batch in batches:
                    yield batch
        finally:
            if self.next_dispatch is not None:
                self.next_dispatch.close(succeeded=True)

    async def _run_attempts(self) -> AsyncGenerator[AnswerBatch, None]:
        while self.failed_attempts < _MAX_ATTEMPTS_WITHOUT_PROGRESS:
            match await self._place():
                case Success(dispatch) if dispatch.runner in self.failed_runners:
                    dispatch.close(succeeded=True)
                    await self._wait_before_retry()
                    continue
                case Success(dispatch):
                    pass
                case Failure(refusal) if not self.stream.sent_to_runner:
                    yield refusal
                    return
                case _:
                    await self._wait_before_retry()
                    continue
            start_index = self.sequence.next_index
            async with aclosing(self._relay_from(dispatch)) as batches:
                async for batch in batches:
                    yield batch
                    self.stream.record_progress(BlockedOn.RUNNER)
            if self.sequence.ended:
                return
            if self.sequence.next_index > start_index:
                self.failed_attempts = 0
        yield self._final_failure()

    async def _place(self) -> Result[Dispatch, NotRun]:
        """Return the placement of the next attempt."""
        if self.next_dispatch is not None:
            dispatch, self.next_dispatch = self.next_dispatch, None
            return Success(dispatch)
        self.stream.record_progress(BlockedOn.PLACEMENT)
        return await self._place_elsewhere()

    async def _place_elsewhere(self, *avoided: str) -> Result[Dispatch, NotRun]:
        """Return a placement on a runner that has not failed.

        A wait in the dispatcher can swallow a cancellation that arrives as the wait
        ends, so the interruption of the stream is checked again.

        :param avoided: healthy runners to exclude as well.
        """
        placed = await self.relay.dispatcher.place(
            self.stream.profile,
            failed_runners=self.failed_runners,
            vacated_runners=avoided,
            answer_started=self.sequence.next_index > 0,
        )
        if self.stream.interruption is None:
            return placed
        if isinstance(placed, Success):
            placed.unwrap().close(succeeded=True)
        raise asyncio.CancelledError

    async def _wait_before_retry(self) -> None:
        """Wait with exponential backoff, then allow the failed runners again.

        The deadline of the stream bounds the total wait.
        """
        delay_s = _INITIAL_RETRY_DELAY_S * 2 ** min(
            self.failed_attempts, _MAX_BACKOFF_DOUBLINGS
        )
        await self.relay.clock.sleep(delay_s)
        self.failed_runners.clear()

    async def _relay_from(
        self, dispatch: Dispatch
    ) -> AsyncGenerator[AnswerBatch, None]:
        """Yield the part of the answer that one runner sends."""
        self.stream.start_attempt(dispatch.runner)
        succeeded = True
        try:
            async with aclosing(self._receive(dispatch)) as batches:
                async for batch in batches:
                    yield batch
                    if self.stream.migration_requested and await self._migrate(
                        dispatch
                    ):
                        return
        except RunnerError as error:
            succeeded = False
            self._record_broken_stream(dispatch, sent=error.sent)
        except asyncio.CancelledError:
            if not self.stream.consume_cancellation(
                Interruption.SILENT_RUNNER, Interruption.WITHDRAWN_RUNNER
            ):
                raise
            self.stream.clear_interruption()
            succeeded = False
            self._record_broken_stream(dispatch, sent=True)
        finally:
            dispatch.close(succeeded=succeeded)

    def _record_broken_stream(self, dispatch: Dispatch, *, sent: bool) -> None:
        self.relay.metrics.count("prompts.broken_streams")
        self.stream.sent_to_runner = self.stream.sent_to_runner or sent
        self.failed_runners.add(dispatch.runner)
        self.failed_attempts += 1

    async def _receive(self, dispatch: Dispatch) -> AsyncGenerator[AnswerBatch, None]:
        """Yield the lines from one runner that continue the answer.

        :raises RunnerError: the stream broke before the end of the answer.
        """
        message = GenerateRequest(
            request_id=self.sequence.request_id,
            prompt=self.body.prompt,
            max_tokens=self.body.max_tokens,
            priority=dispatch.priority,
            resume_from=self.sequence.next_index,
        )
        lines = self.relay.client.generate(dispatch.url, message)
        async with aclosing(lines) as batches:
            async for batch in batches:
                self.stream.sent_to_runner = True
                self.stream.lines_from_runner += len(batch)
                try:
                    accepted = self.sequence.accept(batch)
                except BrokenSequenceError as error:
                    if error.accepted_lines:
                        yield error.accepted_lines
                    raise RunnerError(str(error), sent=True) from None
                for _ in accepted:
                    dispatch.record_token()
                if accepted:
                    yield accepted
                if self.sequence.ended:
                    return
        raise RunnerError("the stream ended without an end line", sent=True)

    async def _migrate(self, dispatch: Dispatch) -> bool:
        """Place the rest of the answer on another runner.

        :returns: False if the stream stays on its runner, as few tokens remain or no
            other runner accepts it in time.
        """
        self.stream.migration_requested = False
        if not is_migration_worthwhile(self.body.max_tokens - self.sequence.next_index):
            return False
        try:
            async with asyncio.timeout(_MIGRATION_PLACEMENT_TIMEOUT_S):
                placed = await self._place_elsewhere(dispatch.runner)
        except TimeoutError:
            return False
        if not isinstance(placed, Success):
            return False
        self.next_dispatch = placed.unwrap()
        self.relay.metrics.count("prompts.moved_streams")
        await self._import_kv_cache(dispatch, self.next_dispatch)
        return True

    async def _import_kv_cache(self, source: Dispatch, target: Dispatch) -> None:
        """Import the KV cache on the target if that is faster than a prefill.

        If the import fails, the target computes the KV cache itself.
        """
        status = self.relay.view.runners.get(target.runner)
        costs = estimate_migration(
            self.relay.view.fleet,
            source=source.runner,
            target=target.runner,
            role=status.report.role if status else "",
            context_tokens=self.stream.profile.prompt_tokens + self.sequence.next_index,
        )
        if choose_kv_cache_method(costs) is KvCacheMethod.PREFILL:
            return
        message = KvImport(request_id=self.sequence.request_id, source_url=source.url)
        try:
            await self.relay.client.import_kv(
                target.url, message, timeout_s=costs.prefill_s
            )
            self.relay.metrics.count("prompts.kv_imports")
        except RunnerError:
            self.relay.metrics.count("prompts.failed_kv_imports")

    def _final_failure(self) -> AnswerBatch:
        """Return the failure after the last attempt."""
        if not self.stream.sent_to_runner:
            return NotRun(
                reason="no runner accepted the prompt",
                remedy="send the prompt again after the retry time",
            )
        return FailedWhileRunning(
            reason="no runner finished the answer", remedy="send the prompt again"
        )
