"""Relays the answer to a prompt from engines to a caller."""

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
    Carry,
    choose_carry,
    estimate_move,
    is_worth_moving,
)
from lacewinglug.requests.outcomes import FailedWhileRunning, NotRun
from lacewinglug.requests.sequence import AnswerSequence, BrokenSequenceError
from lacewinglug.requests.streams import Interruption, OpenStream, WaitsFor
from lacewinglug.upstream.client import RunnerClient, RunnerError
from lacewinglug.upstream.messages import GenerateRequest, KvImport

_ATTEMPTS_WITHOUT_PROGRESS = 6
_RETRY_DELAY_S = 0.1
_MAX_DOUBLINGS = 3
_MOVE_WAIT_S = 0.1


@dataclass(kw_only=True)
class PromptRelay:
    """Relays prompts, moving to another runner when a stream breaks.

    :param dispatcher: places prompts on runners.
    :param client: client of the runners.
    :param view: what is known of the fleet.
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
        """Yield an answer in batches, the last one with an end or a failure."""
        sequence = AnswerSequence(
            request_id=stream.profile.request_id,
            max_tokens=body.max_tokens,
            metrics=self.metrics,
        )
        answer = _AnswerRelay(relay=self, stream=stream, body=body, sequence=sequence)
        return answer.run()


@dataclass(kw_only=True)
class _AnswerRelay:
    """Relays one answer, from as many engines as it takes.

    :param relay: what all answers share.
    :param stream: the stream to the caller.
    :param body: the prompt.
    :param sequence: the place reached.
    """

    relay: PromptRelay
    stream: OpenStream
    body: PromptBody
    sequence: AnswerSequence
    failed: set[str] = field(default_factory=set)
    attempts: int = 0
    next_dispatch: Dispatch | None = None

    async def run(self) -> AsyncGenerator[AnswerBatch, None]:
        """Yield the answer, and leave no runner occupied."""
        try:
            async with aclosing(self._run_attempts()) as batches:
                async for batch in batches:
                    yield batch
        finally:
            if self.next_dispatch is not None:
                self.next_dispatch.close(succeeded=True)

    async def _run_attempts(self) -> AsyncGenerator[AnswerBatch, None]:
        while self.attempts < _ATTEMPTS_WITHOUT_PROGRESS:
            match await self._place():
                case Success(dispatch) if dispatch.runner in self.failed:
                    dispatch.close(succeeded=True)
                    await self._wait_before_retry()
                    continue
                case Success(dispatch):
                    pass
                case Failure(refusal) if not self.stream.sent:
                    yield refusal
                    return
                case _:
                    await self._wait_before_retry()
                    continue
            reached = self.sequence.next_index
            async with aclosing(self._relay_from(dispatch)) as batches:
                async for batch in batches:
                    yield batch
                    self.stream.advance(WaitsFor.RUNNER)
            if self.sequence.ended:
                return
            if self.sequence.next_index > reached:
                self.attempts = 0
        yield self._give_up()

    async def _place(self) -> Result[Dispatch, NotRun]:
        """Return the runner of the next attempt."""
        if self.next_dispatch is not None:
            dispatch, self.next_dispatch = self.next_dispatch, None
            return Success(dispatch)
        self.stream.advance(WaitsFor.PLACEMENT)
        return await self._place_beside()

    async def _place_beside(self, *left: str) -> Result[Dispatch, NotRun]:
        """Return a runner that has not failed and is not left.

        Waits below may swallow a cancellation that comes as they end, so an
        interruption of the stream is checked again.
        """
        placed = await self.relay.dispatcher.place(
            self.stream.profile,
            failed_runners=self.failed,
            vacated_runners=left,
            answer_started=self.sequence.next_index > 0,
        )
        if self.stream.interruption is None:
            return placed
        if isinstance(placed, Success):
            placed.unwrap().close(succeeded=True)
        raise asyncio.CancelledError

    async def _wait_before_retry(self) -> None:
        """Wait until a runner may accept the rest; the deadline bounds the waits."""
        delay_s = _RETRY_DELAY_S * 2 ** min(self.attempts, _MAX_DOUBLINGS)
        await self.relay.clock.sleep(delay_s)
        self.failed.clear()

    async def _relay_from(
        self, dispatch: Dispatch
    ) -> AsyncGenerator[AnswerBatch, None]:
        """Yield what one runner sends of the answer."""
        self.stream.start_attempt(dispatch.runner)
        succeeded = True
        try:
            async with aclosing(self._receive(dispatch)) as batches:
                async for batch in batches:
                    yield batch
                    if self.stream.move_wanted and await self._move(dispatch):
                        return
        except RunnerError as error:
            succeeded = False
            self._note_break(dispatch, sent=error.sent)
        except asyncio.CancelledError:
            if not self.stream.absorb(
                Interruption.SILENT_RUNNER, Interruption.WITHDRAWN_RUNNER
            ):
                raise
            self.stream.resume()
            succeeded = False
            self._note_break(dispatch, sent=True)
        finally:
            dispatch.close(succeeded=succeeded)

    def _note_break(self, dispatch: Dispatch, *, sent: bool) -> None:
        self.relay.metrics.count("prompts.broken_streams")
        self.stream.sent = self.stream.sent or sent
        self.failed.add(dispatch.runner)
        self.attempts += 1

    async def _receive(self, dispatch: Dispatch) -> AsyncGenerator[AnswerBatch, None]:
        """Yield the lines of one runner that continue the answer.

        :raises RunnerError: the runner's stream broke before the end.
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
                self.stream.sent = True
                self.stream.runner_lines += len(batch)
                try:
                    accepted = self.sequence.accept(batch)
                except BrokenSequenceError as error:
                    if error.lines:
                        yield error.lines
                    raise RunnerError(str(error), sent=True) from None
                for _ in accepted:
                    dispatch.record_token()
                if accepted:
                    yield accepted
                if self.sequence.ended:
                    return
        raise RunnerError("the stream has no end", sent=True)

    async def _move(self, dispatch: Dispatch) -> bool:
        """Place the rest of the answer on another runner, if one accepts it."""
        self.stream.move_wanted = False
        if not is_worth_moving(self.body.max_tokens - self.sequence.next_index):
            return False
        try:
            async with asyncio.timeout(_MOVE_WAIT_S):
                placed = await self._place_beside(dispatch.runner)
        except TimeoutError:
            return False
        if not isinstance(placed, Success):
            return False
        self.next_dispatch = placed.unwrap()
        self.relay.metrics.count("prompts.moved_streams")
        await self._carry_kv(dispatch, self.next_dispatch)
        return True

    async def _carry_kv(self, source: Dispatch, target: Dispatch) -> None:
        """Let the target import the KV cache where that is cheaper."""
        status = self.relay.view.runners.get(target.runner)
        costs = estimate_move(
            self.relay.view.fleet,
            source=source.runner,
            target=target.runner,
            role=status.report.role if status else "",
            tokens=self.stream.profile.prompt_tokens + self.sequence.next_index,
        )
        if choose_carry(costs) is Carry.PREFILL:
            return
        message = KvImport(request_id=self.sequence.request_id, source_url=source.url)
        try:
            await self.relay.client.import_kv(
                target.url, message, timeout_s=costs.prefill_s
            )
            self.relay.metrics.count("prompts.kv_imports")
        except RunnerError:
            self.relay.metrics.count("prompts.failed_kv_imports")

    def _give_up(self) -> AnswerBatch:
        """Return the failure of a prompt that no runner finished."""
        if not self.stream.sent:
            return NotRun(
                reason="no runner accepted the prompt",
                remedy="send the prompt again after the retry time",
            )
        return FailedWhileRunning(
            reason="no runner finished the answer", remedy="send the prompt again"
        )
