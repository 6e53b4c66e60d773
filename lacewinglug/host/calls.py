"""Relays plain calls: the whole answer is read before the client gets any."""

import asyncio
from dataclasses import dataclass

from lacewinglug.host.answers import Reason, Refusal, not_run
from lacewinglug.host.context import Attempt, HostState, RequestContext
from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.plain import choose_plain_runner
from lacewinglug.platform.headers import (
    decode_response_headers,
    encode_response_headers,
)
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.messages import Response

MOST_ANSWER_BYTES = 16_777_216
"""Longest answer that is kept whole."""
CONNECT_TRIES = 3
"""Runners to which a connection is tried before the request is refused."""
PATIENCE_SHARE = 0.75
"""Share of the target latency after which a safe call moves to another runner."""
REJECTED_RETRY_S = 0.3
"""When to come back after a runner was full, in s; a few usual calls."""
_SERVER_ERROR = 500
_SUCCESS = range(200, 300)


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A runner gave a whole answer.

    :param response: the answer as the client gets it.
    """

    response: Response


@dataclass(frozen=True, kw_only=True, slots=True)
class NotExecuted:
    """A runner states that it did not run the request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreached:
    """No byte of the request was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """The request may have run, and no whole answer came.

    :param reason: what was seen.
    """

    reason: str


Outcome = Answered | NotExecuted | Unreached | Lost


@dataclass(kw_only=True)
class CallRelay:
    """Gives plain calls to runners.

    :param state: the host.
    """

    state: HostState

    async def relay(self, context: RequestContext) -> Response | Refusal:
        """Return the final answer to a plain call."""
        failure: Response | None = None
        unreached = 0
        while True:
            entry = self._choose(context)
            if entry is None:
                return failure or not_run(Reason.NO_RUNNER)
            outcome = await self._try(context, entry)
            match outcome:
                case Unreached():
                    unreached += 1
                    if unreached >= CONNECT_TRIES:
                        return failure or self._give_up(context, Reason.UNREACHABLE)
                    continue
                case Answered(response=response):
                    failed = response.status >= _SERVER_ERROR
                    if not failed:
                        return response
                    failure = response
                    if not context.life.idempotent:
                        return response
                    context.life.apply("lose")
                case NotExecuted():
                    pass
                case Lost():
                    pass
            if not self._may_repeat(context):
                return failure or self._give_up(context, Reason.REJECTED)

    def _choose(self, context: RequestContext) -> RunnerEntry | None:
        now_s = self.state.now_s()
        choice = choose_plain_runner(
            self.state.fleet.ready(context.service.name),
            health=self.state.upstreams.health,
            geography=self.state.geography,
            zone=self.state.settings.zone,
            now_s=now_s,
            excluded=context.tried,
        )
        if choice is None:
            return None
        context.story.add(
            "place",
            now_s=now_s,
            runner=choice.entry.instance,
            expected_ms=round(choice.cost_s * 1000),
            runners=len(self.state.fleet.ready(context.service.name)),
        )
        return choice.entry

    async def _try(self, context: RequestContext, entry: RunnerEntry) -> Outcome:
        context.tried.add(entry.instance)
        attempt = Attempt(state=self.state, context=context, entry=entry)
        try:
            outcome = await self._exchange(context, attempt)
        finally:
            attempt.drop()
        now_s = self.state.now_s()
        context.story.add("outcome", now_s=now_s, result=describe(outcome))
        self.state.metrics.attempts.labels(
            context.service.name, type(outcome).__name__
        ).inc()
        if not isinstance(outcome, Unreached):
            attempt.health.note_answer(failed=_failed(outcome), now_s=now_s)
        return outcome

    async def _exchange(self, context: RequestContext, attempt: Attempt) -> Outcome:
        try:
            await attempt.connect()
            attempt.send(context.make_call(attempt.entry, now_s=self.state.now_s()))
        except UpstreamError:
            return Unreached()
        context.sends += 1
        context.life.apply("send")
        try:
            async with asyncio.timeout(self._patience_s(context)):
                head = await attempt.read_head()
                response = await attempt.read_whole(head, most_bytes=MOST_ANSWER_BYTES)
        except TimeoutError:
            context.life.apply("lose")
            return Lost(reason="no answer in time")
        except UpstreamError as error:
            context.life.apply("lose")
            return Lost(reason=error.reason)
        return self._judge(context, response)

    def _judge(self, context: RequestContext, response: Response) -> Outcome:
        facts = decode_response_headers(response.headers)
        if facts.not_executed or response.status == 421:
            context.life.apply("reject")
            return NotExecuted()
        if response.status in _SUCCESS and (not facts.signed or facts.encoded):
            context.life.apply("lose")
            return Lost(reason="answer without signature")
        context.life.apply("answer")
        headers = encode_response_headers(response.headers)
        return Answered(
            response=Response(
                status=response.status, headers=headers, body=response.body
            )
        )

    def _patience_s(self, context: RequestContext) -> float | None:
        """Return how long an answer is waited for, None up to the very end."""
        others = len(self.state.fleet.ready(context.service.name)) - len(context.tried)
        last = context.sends >= context.route.max_attempts or others < 1
        if last or not context.life.idempotent:
            return None
        return context.route.target_latency_s * PATIENCE_SHARE

    def _may_repeat(self, context: RequestContext) -> bool:
        now_s = self.state.now_s()
        return (
            context.life.may_send
            and context.sends < context.route.max_attempts
            and context.left_s(now_s) > 0
            and self.state.budget(context.service.name).try_spend(
                now_s=now_s, hosts=self.state.hosts()
            )
        )

    def _give_up(self, context: RequestContext, reason: Reason) -> Refusal:
        if context.life.nothing_ran:
            return not_run(reason, retry_after_s=REJECTED_RETRY_S)
        return Refusal(status=502, reason=Reason.UNKNOWN)


def describe(outcome: Outcome) -> str:
    """Return an outcome as a short word for logs."""
    match outcome:
        case Answered(response=response):
            return f"answered {response.status}"
        case NotExecuted():
            return "not executed"
        case Unreached():
            return "unreached"
        case Lost(reason=reason):
            return f"lost: {reason}"


def _failed(outcome: Outcome) -> bool:
    match outcome:
        case Answered(response=response):
            return response.status >= _SERVER_ERROR
        case _:
            return True
