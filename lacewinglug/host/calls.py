"""Relays plain calls; a response is read completely before any of it is sent."""

import asyncio
from dataclasses import dataclass

from lacewinglug.host.answers import (
    NO_RUNNER_RETRY_AFTER_S,
    Refusal,
    RefusalReason,
    refuse_as_not_run,
)
from lacewinglug.host.context import (
    Attempt,
    HostState,
    RequestContext,
    wait_for_any,
)
from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.plain import choose_plain_runner
from lacewinglug.platform.headers import (
    decode_response_headers,
    encode_response_headers,
)
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.messages import Response

MAX_RESPONSE_BYTES = 16_777_216
"""Size limit of a response that is buffered, in bytes."""
MAX_CONNECT_ATTEMPTS = 3
"""Number of runners to try to connect to before the request is refused."""
RETRY_LATENCY_FRACTION = 0.75
"""Fraction of the target latency after which a safe call is retried elsewhere."""
REJECTED_RETRY_AFTER_S = 0.3
"""``Retry-After`` when the runners are full, in s; a few typical call durations."""
_MIN_SERVER_ERROR = 500
_SUCCESS_STATUSES = range(200, 300)


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A runner returned a complete response.

    :param response: the response for the client.
    """

    response: Response


@dataclass(frozen=True, kw_only=True, slots=True)
class NotExecuted:
    """A runner reported that it did not run the request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreached:
    """No byte of the request was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """The request may have run, but no complete response was received.

    :param reason: cause of the failure.
    :param silent: whether the runner may still answer.
    """

    reason: str
    silent: bool = False


Outcome = Answered | NotExecuted | Unreached | Lost


@dataclass(kw_only=True)
class CallRelay:
    """Sends plain calls to runners, with retries.

    :param state: state of the host.
    """

    state: HostState

    async def relay(self, context: RequestContext) -> Response | Refusal:
        """Return the final response to a plain call."""
        silent: list[Attempt] = []
        try:
            return await self._relay_attempts(context, silent)
        finally:
            for attempt in silent:
                attempt.close()

    async def _relay_attempts(
        self, context: RequestContext, silent: list[Attempt]
    ) -> Response | Refusal:
        """Send the call to one runner after another.

        :param silent: collects the open attempts whose runners did not answer in time.
        """
        failure: Response | None = None
        unreached = 0
        while True:
            entry = self._choose_runner(context)
            if entry is None:
                return await self._finish_without_retry(
                    context, silent, failure, RefusalReason.NO_RUNNER
                )
            outcome = await self._attempt(context, entry, silent)
            match outcome:
                case Unreached():
                    unreached += 1
                    if unreached >= MAX_CONNECT_ATTEMPTS:
                        return await self._finish_without_retry(
                            context, silent, failure, RefusalReason.UNREACHABLE
                        )
                    continue
                case Answered(response=response):
                    failed = response.status >= _MIN_SERVER_ERROR
                    if not failed:
                        return response
                    failure = response
                    if not context.lifecycle.idempotent:
                        return response
                    context.lifecycle.apply("lose")
                case NotExecuted():
                    pass
                case Lost():
                    pass
            if not self._may_retry(context):
                return await self._finish_without_retry(
                    context, silent, failure, RefusalReason.REJECTED
                )

    async def _finish_without_retry(
        self,
        context: RequestContext,
        silent: list[Attempt],
        failure: Response | None,
        reason: RefusalReason,
    ) -> Response | Refusal:
        """Return the final response to a call that is not sent again.

        :param failure: error response of a runner, returned if no other one answers.
        """
        response = await self._wait_for_silent(context, silent)
        return response or failure or self._make_refusal(context, reason)

    async def _wait_for_silent(
        self, context: RequestContext, silent: list[Attempt]
    ) -> Response | None:
        """Return the response of a runner that was silent, None if there is none.

        The call is not sent again, but these runners may still answer.
        """
        while silent:
            attempt = await wait_for_any(silent)
            silent.remove(attempt)
            context.lifecycle.apply("wait")
            try:
                outcome = await self._receive(context, attempt, timeout_s=None)
            finally:
                attempt.close()
            self._record_outcome(context, attempt, outcome)
            match outcome:
                case Answered(response=response):
                    if response.status < _MIN_SERVER_ERROR:
                        return response
                    context.lifecycle.apply("lose")
        return None

    def _choose_runner(self, context: RequestContext) -> RunnerEntry | None:
        now_s = self.state.now_s()
        choice = choose_plain_runner(
            self.state.fleet.ready(context.service.name),
            health=self.state.upstreams.health,
            geography=self.state.geography,
            zone=self.state.settings.zone,
            now_s=now_s,
            excluded=context.tried_instances,
        )
        if choice is None:
            return None
        context.trace.add_step(
            "place",
            now_s=now_s,
            runner=choice.entry.instance,
            expected_ms=round(choice.cost_s * 1000),
            runners=len(self.state.fleet.ready(context.service.name)),
        )
        return choice.entry

    async def _attempt(
        self, context: RequestContext, entry: RunnerEntry, silent: list[Attempt]
    ) -> Outcome:
        context.tried_instances.add(entry.instance)
        attempt = Attempt(state=self.state, context=context, entry=entry)
        outcome: Outcome | None = None
        try:
            outcome = await self._exchange(context, attempt)
        finally:
            if isinstance(outcome, Lost) and outcome.silent:
                silent.append(attempt)
            else:
                attempt.close()
        self._record_outcome(context, attempt, outcome)
        return outcome

    def _record_outcome(
        self, context: RequestContext, attempt: Attempt, outcome: Outcome
    ) -> None:
        now_s = self.state.now_s()
        context.trace.add_step("outcome", now_s=now_s, result=describe_outcome(outcome))
        self.state.metrics.attempts.labels(
            context.service.name, type(outcome).__name__
        ).inc()
        if not isinstance(outcome, Unreached):
            attempt.health.record_result(failed=_is_failure(outcome), now_s=now_s)

    async def _exchange(self, context: RequestContext, attempt: Attempt) -> Outcome:
        try:
            await attempt.connect()
            attempt.send(
                context.make_forwarding_fields(attempt.entry, now_s=self.state.now_s())
            )
        except UpstreamError:
            return Unreached()
        context.attempt_count += 1
        context.lifecycle.apply("send")
        timeout_s = self._attempt_timeout_s(context)
        return await self._receive(context, attempt, timeout_s=timeout_s)

    async def _receive(
        self, context: RequestContext, attempt: Attempt, *, timeout_s: float | None
    ) -> Outcome:
        try:
            async with asyncio.timeout(timeout_s):
                head = await attempt.read_head()
                response = await attempt.read_response(
                    head, max_bytes=MAX_RESPONSE_BYTES
                )
        except TimeoutError:
            context.lifecycle.apply("lose")
            return Lost(reason="no answer in time", silent=True)
        except UpstreamError as error:
            context.lifecycle.apply("lose")
            return Lost(reason=error.reason)
        return self._classify_response(context, response)

    def _classify_response(
        self, context: RequestContext, response: Response
    ) -> Outcome:
        metadata = decode_response_headers(response.headers)
        if metadata.not_executed or response.status == 421:
            context.lifecycle.apply("reject")
            return NotExecuted()
        if response.status in _SUCCESS_STATUSES and (
            not metadata.signed or metadata.content_encoded
        ):
            context.lifecycle.apply("lose")
            return Lost(reason="response is unsigned or has a content encoding")
        context.lifecycle.apply("answer")
        headers = encode_response_headers(response.headers)
        return Answered(
            response=Response(
                status=response.status, headers=headers, body=response.body
            )
        )

    def _attempt_timeout_s(self, context: RequestContext) -> float | None:
        """Return the time limit of this attempt, None if no retry can follow."""
        others = len(self.state.fleet.ready(context.service.name)) - len(
            context.tried_instances
        )
        last = context.attempt_count >= context.route.max_attempts or others < 1
        if last or not context.lifecycle.idempotent:
            return None
        return context.route.target_latency_s * RETRY_LATENCY_FRACTION

    def _may_retry(self, context: RequestContext) -> bool:
        now_s = self.state.now_s()
        return (
            context.lifecycle.may_send
            and context.attempt_count < context.route.max_attempts
            and context.remaining_s(now_s) > 0
            and self.state.retry_budget(context.service.name).try_spend(
                now_s=now_s, host_count=self.state.count_hosts()
            )
        )

    def _make_refusal(self, context: RequestContext, reason: RefusalReason) -> Refusal:
        if context.lifecycle.not_executed:
            retry_after_s = (
                NO_RUNNER_RETRY_AFTER_S
                if reason is RefusalReason.NO_RUNNER
                else REJECTED_RETRY_AFTER_S
            )
            return refuse_as_not_run(reason, retry_after_s=retry_after_s)
        return Refusal(status=502, reason=RefusalReason.OUTCOME_UNKNOWN)


def describe_outcome(outcome: Outcome) -> str:
    """Return a short description of an outcome for the log."""
    match outcome:
        case Answered(response=response):
            return f"answered {response.status}"
        case NotExecuted():
            return "not executed"
        case Unreached():
            return "unreached"
        case Lost(reason=reason):
            return f"lost: {reason}"


def _is_failure(outcome: Outcome) -> bool:
    match outcome:
        case Answered(response=response):
            return response.status >= _MIN_SERVER_ERROR
        case _:
            return True
