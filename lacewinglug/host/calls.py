"""Relays plain calls; a response is read completely before any of it is sent."""

import asyncio
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass

from lacewinglug.host.answers import (
    NO_RUNNER_RETRY_AFTER_S,
    Refusal,
    RefusalReason,
)
from lacewinglug.host.context import Attempt, HostState, RequestContext
from lacewinglug.host.crashes import CrashMonitor
from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.plain import choose_plain_runner
from lacewinglug.host.verdicts import Verdict, judge_response
from lacewinglug.pacing.costs import plain_costs
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
IN_TIME_FRACTION = 0.5
"""Fraction of the target latency that a runner in its ramp may take for a call, before
the tolerance for late answers."""
REJECTED_RETRY_AFTER_S = 0.3
"""``Retry-After`` when the runners are full, in s; a few typical call durations."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A runner returned a complete response.

    :param response: the response for the client.
    :param failed: whether it is an error of the runner.
    """

    response: Response
    failed: bool


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


@dataclass(frozen=True, kw_only=True, slots=True)
class Pending:
    """No attempt can follow, and silent runners may answer before this one."""


Outcome = Answered | NotExecuted | Unreached | Lost | Pending


@dataclass(kw_only=True)
class CallRelay:
    """Sends plain calls to runners, with retries.

    :param state: state of the host.
    :param crash_monitor: examines engines that lost a request.
    """

    state: HostState
    crash_monitor: CrashMonitor

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

        :param silent: collects the open attempts whose runners did not answer in time,
            and the last attempt beside them.
        """
        failure: Response | None = None
        reason = RefusalReason.REJECTED
        unreached = 0
        while True:
            entry = self._choose_runner(context, silent)
            if entry is None:
                reason = RefusalReason.NO_RUNNER
                break
            outcome = await self._attempt(context, entry, silent)
            match outcome:
                case Unreached():
                    unreached += 1
                    if unreached >= MAX_CONNECT_ATTEMPTS:
                        reason = RefusalReason.UNREACHABLE
                        break
                    continue
                case Answered(response=response, failed=failed):
                    if not failed:
                        return response
                    failure = response
                    if not context.lifecycle.idempotent:
                        return response
                    context.lifecycle.apply("lose")
                case Pending():
                    break
                case NotExecuted():
                    pass
                case Lost():
                    pass
            if not self._may_retry(context):
                break
        final = await self._wait_for_silent(context, silent, failure)
        return final or self._make_refusal(context, reason)

    async def _wait_for_silent(
        self,
        context: RequestContext,
        silent: list[Attempt],
        failure: Response | None,
    ) -> Response | None:
        """Return the first response of the runners with an open attempt.

        The call is not sent again, but these runners may still answer. An error of a
        runner is returned only if no other one answers in time, None if nothing is
        received.

        :param failure: error of a runner that was received already.
        """
        reads = {
            asyncio.create_task(_read_response(attempt)): attempt for attempt in silent
        }
        try:
            while reads:
                done, _ = await asyncio.wait(
                    reads,
                    timeout=None
                    if failure is None
                    else context.time_to_report_s(self.state.now_s()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                read = done.pop()
                attempt = reads.pop(read)
                context.lifecycle.apply("wait")
                try:
                    outcome = await self._receive(
                        context, attempt, read, timeout_s=None
                    )
                finally:
                    silent.remove(attempt)
                    attempt.close()
                self._record_outcome(context, attempt, outcome)
                match outcome:
                    case Answered(response=response, failed=failed):
                        if not failed:
                            return response
                        failure = response
                        context.lifecycle.apply("lose")
        finally:
            for read in reads:
                read.cancel()
            await asyncio.gather(*reads, return_exceptions=True)
        return failure

    def _choose_runner(
        self, context: RequestContext, silent: Sequence[Attempt]
    ) -> RunnerEntry | None:
        """Return the runner for the next attempt, None if there is none.

        A silent runner still has the call, and would run it twice.
        """
        now_s = self.state.now_s()
        busy = {attempt.entry.instance for attempt in silent}
        entries = self.state.notices.accepting(context.service.name, now_s=now_s)
        pacing_costs = self._pacing_costs(context, now_s)
        choice = choose_plain_runner(
            [entry for entry in entries if entry.instance not in busy],
            health=self.state.upstreams.health,
            geography=self.state.geography,
            zone=self.state.settings.zone,
            now_s=now_s,
            excluded=context.tried_instances,
            pacing_costs=pacing_costs,
        )
        if choice is None:
            return None
        instance = choice.entry.instance
        context.expected_answer_s[instance] = max(
            choice.cost_s - pacing_costs.get(instance, 0.0),
            IN_TIME_FRACTION * context.route.target_latency_s,
        )
        context.trace.add_step(
            "place",
            now_s=now_s,
            runner=choice.entry.instance,
            expected_ms=round(choice.cost_s * 1000),
            runners=len(entries),
            **self.state.notices.describe_left_out(context.service.name, now_s=now_s),
        )
        return choice.entry

    def _pacing_costs(self, context: RequestContext, now_s: float) -> dict[str, float]:
        """Return the costs of runners in their ramp, by instance."""
        pacer, service = self.state.upstreams.pacer, context.service.name
        ready = self.state.fleet.ready(service)
        pacer.observe(service, ready, now_s=now_s)
        if not pacer.is_active:
            return {}
        return plain_costs(
            pacer,
            ready,
            service=service,
            health=self.state.upstreams.health,
            host_count=self.state.count_hosts(),
            now_s=now_s,
        )

    async def _attempt(
        self, context: RequestContext, entry: RunnerEntry, silent: list[Attempt]
    ) -> Outcome:
        context.tried_instances.add(entry.instance)
        attempt = Attempt(state=self.state, context=context, entry=entry)
        outcome: Outcome | None = None
        try:
            outcome = await self._exchange(context, attempt, silent)
        finally:
            if _is_open(outcome):
                silent.append(attempt)
            else:
                attempt.close()
        if not isinstance(outcome, Pending):
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

    async def _exchange(
        self, context: RequestContext, attempt: Attempt, silent: Sequence[Attempt]
    ) -> Outcome:
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
        if silent and timeout_s is None:
            context.lifecycle.apply("lose")
            return Pending()
        return await self._receive(
            context, attempt, _read_response(attempt), timeout_s=timeout_s
        )

    async def _receive(
        self,
        context: RequestContext,
        attempt: Attempt,
        read: Awaitable[Response],
        *,
        timeout_s: float | None,
    ) -> Outcome:
        try:
            async with asyncio.timeout(timeout_s):
                response = await read
        except TimeoutError:
            context.lifecycle.apply("lose")
            return Lost(reason="no answer in time", silent=True)
        except UpstreamError as error:
            context.lifecycle.apply("lose")
            attempt.close()
            await self.crash_monitor.examine_loss(context, attempt.entry)
            return Lost(reason=error.reason)
        return self._classify_response(context, response)

    def _classify_response(
        self, context: RequestContext, response: Response
    ) -> Outcome:
        metadata = decode_response_headers(response.headers)
        verdict = judge_response(response.status, metadata)
        match verdict:
            case Verdict.NOT_EXECUTED:
                context.lifecycle.apply("reject")
                return NotExecuted()
            case Verdict.UNVERIFIED:
                context.lifecycle.apply("lose")
                return Lost(reason="response is unsigned or has a content encoding")
            case Verdict.SUCCESS:
                now_s = self.state.now_s()
                self.state.quarantine.record_answer(context.part_keys, now_s=now_s)
        context.lifecycle.apply("answer")
        headers = encode_response_headers(response.headers)
        return Answered(
            response=Response(
                status=response.status, headers=headers, body=response.body
            ),
            failed=verdict is Verdict.SERVER_ERROR,
        )

    def _attempt_timeout_s(self, context: RequestContext) -> float | None:
        """Return the time limit of this attempt, None if no retry can follow."""
        others = [
            item
            for item in self.state.notices.accepting(
                context.service.name, now_s=self.state.now_s()
            )
            if item.instance not in context.tried_instances
        ]
        last = context.attempt_count >= context.route.max_attempts or not others
        if last or not context.lifecycle.idempotent:
            return None
        return context.route.target_latency_s * RETRY_LATENCY_FRACTION

    def _may_retry(self, context: RequestContext) -> bool:
        now_s = self.state.now_s()
        return (
            context.lifecycle.may_send
            and not context.crashed_engine
            and self.state.find_quarantined(context) is None
            and context.attempt_count < context.route.max_attempts
            and context.remaining_s(now_s) > 0
            and self.state.retry_budget(context.service.name).try_spend(
                now_s=now_s, host_count=self.state.count_hosts()
            )
        )

    def _make_refusal(self, context: RequestContext, reason: RefusalReason) -> Refusal:
        if not context.lifecycle.not_executed:
            return Refusal(status=502, reason=RefusalReason.OUTCOME_UNKNOWN)
        no_runner = reason is RefusalReason.NO_RUNNER
        return self.state.notices.refuse(
            context.trace,
            reason,
            retry_after_s=(
                NO_RUNNER_RETRY_AFTER_S if no_runner else REJECTED_RETRY_AFTER_S
            ),
            now_s=self.state.now_s(),
        )


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
        case Pending():
            return "pending"


async def _read_response(attempt: Attempt) -> Response:
    """Read the complete response to an attempt."""
    head = await attempt.read_head()
    attempt.record_answer(head)
    return await attempt.read_response(head, max_bytes=MAX_RESPONSE_BYTES)


def _is_open(outcome: Outcome | None) -> bool:
    match outcome:
        case Lost(silent=silent):
            return silent
        case Pending():
            return True
        case _:
            return False


def _is_failure(outcome: Outcome) -> bool:
    match outcome:
        case Answered(failed=failed):
            return failed
        case _:
            return True
