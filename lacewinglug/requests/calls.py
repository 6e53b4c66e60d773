"""Runs calls at plain services, those that may not be repeated at most once."""

from dataclasses import dataclass

from returns.result import Failure, Success

from lacewinglug.entry.dispatch import Dispatch, Dispatcher
from lacewinglug.metrics import Metrics
from lacewinglug.requests.keys import CallResult, KeyLedger
from lacewinglug.requests.outcomes import NotRun, OutcomeUnknown
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.upstream.client import RunnerClient, RunnerError


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A call to a plain service.

    :param profile: the request as admission and routing see it.
    :param path: path at the service.
    :param body: body of the call.
    :param key: key of the call.
    :param timeout_s: time to answer in, in seconds.
    """

    profile: RequestProfile
    path: str
    body: bytes
    key: str
    timeout_s: float


@dataclass(kw_only=True)
class CallRunner:
    """Runs calls under keys of this process.

    :param dispatcher: places calls on runners.
    :param client: client of the runners.
    :param ledger: the keys.
    :param metrics: counters.
    """

    dispatcher: Dispatcher
    client: RunnerClient
    ledger: KeyLedger
    metrics: Metrics

    async def run(self, call: Call) -> CallResult:
        """Run a call, or return the result of the same key's first run."""
        earlier = self.ledger.find(call.key)
        if earlier is not None:
            self.metrics.count("calls.repeats")
            return await earlier
        future = self.ledger.begin(call.key)
        result = await self._place(call)
        future.set_result(result)
        return result

    async def _place(self, call: Call) -> CallResult:
        """Send a call to one runner, once."""
        match await self.dispatcher.place(call.profile):
            case Success(dispatch):
                return await self._send(call, dispatch)
            case Failure(refusal):
                return Failure(refusal)
        raise AssertionError("a result is a success or a failure")

    async def _send(self, call: Call, dispatch: Dispatch) -> CallResult:
        succeeded = False
        try:
            reply = await self.client.call(
                dispatch.url,
                call.path,
                key=call.key,
                body=call.body,
                timeout_s=call.timeout_s,
            )
            succeeded = True
        except RunnerError as error:
            if not error.sent:
                return Failure(_not_run(str(error)))
            self.metrics.count("calls.outcome_unknown")
            return Failure(
                OutcomeUnknown(
                    reason=f"the service {error}",
                    remedy="ask the service for the state before calling again",
                )
            )
        finally:
            dispatch.close(succeeded=succeeded)
        return Success(reply)


def _not_run(reason: str) -> NotRun:
    """Return the refusal of a call of which no byte was sent."""
    return NotRun(reason=reason, remedy="call again after the retry time")
