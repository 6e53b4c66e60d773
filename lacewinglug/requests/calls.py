"""Sends calls to plain services, with retries where they are safe."""

from dataclasses import dataclass, field

from returns.result import Failure, Success

from lacewinglug.clock import Clock
from lacewinglug.entry.dispatch import Dispatch, Dispatcher
from lacewinglug.metrics import Metrics
from lacewinglug.requests.keys import call_fingerprint
from lacewinglug.requests.ledger import CallResult
from lacewinglug.requests.outcomes import (
    FailedWhileRunning,
    NotRun,
    OutcomeUnknown,
    RequestFailure,
)
from lacewinglug.retries import RetryBudget
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.upstream.client import (
    CallTransport,
    RunnerError,
    RunnerStatusError,
)
from lacewinglug.upstream.messages import CallReply

_MAX_ATTEMPTS = 3
_RETRIES_PER_REQUEST = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A call to a plain service.

    :param profile: the request as used by admission and routing.
    :param path: URL path at the service.
    :param body: body of the call.
    :param key: idempotency key, empty for an idempotent call without one.
    :param timeout_s: time limit of the call, in seconds.
    :param authorization: value of the caller's Authorization header.
    :param attempted_runners: names of the runners tried so far, in order.
    """

    profile: RequestProfile
    path: str
    body: bytes
    key: str
    timeout_s: float
    authorization: str = field(default="", repr=False)
    attempted_runners: list[str] = field(default_factory=list)

    @property
    def last_runner(self) -> str:
        """Name of the last runner tried, empty if there was none."""
        return self.attempted_runners[-1] if self.attempted_runners else ""

    @property
    def fingerprint(self) -> str:
        """Digest that is equal only for repeats of the same call."""
        return call_fingerprint(
            organisation=self.profile.organisation,
            service=self.profile.service,
            kind=self.profile.kind,
            body=self.body,
        )


def make_retry_budget() -> RetryBudget:
    """Return a retry budget for idempotent calls."""
    return RetryBudget(ratio=_RETRIES_PER_REQUEST)


@dataclass(kw_only=True)
class CallSender:
    """Sends calls to runners.

    :param dispatcher: places calls on runners.
    :param client: client of the runners.
    :param clock: source of time.
    :param metrics: counters.
    :param retry_budget: limits the retries of idempotent calls.
    """

    dispatcher: Dispatcher
    client: CallTransport
    clock: Clock
    metrics: Metrics
    retry_budget: RetryBudget = field(default_factory=make_retry_budget)

    async def send_once(self, call: Call) -> CallResult:
        """Send a call that is not idempotent to at most one runner.

        Another runner is tried only if no byte of the call was sent to the last one.
        """
        failed_runners: set[str] = set()
        failure: RequestFailure | None = None
        for _ in range(_MAX_ATTEMPTS):
            match await self.dispatcher.place(
                call.profile, failed_runners=failed_runners
            ):
                case Success(dispatch):
                    pass
                case Failure(refusal):
                    failure = failure or _require_new_key(refusal)
                    break
            try:
                return Success(await self._send(call, dispatch))
            except RunnerError as error:
                failure = _single_send_failure(error)
                if error.sent:
                    break
                failed_runners.add(dispatch.runner)
        assert failure is not None
        if isinstance(failure, OutcomeUnknown):
            self.metrics.count("calls.outcome_unknown")
        return Failure(failure)

    async def send_idempotent(self, call: Call) -> CallResult:
        """Send an idempotent call, with retries on other runners if one fails."""
        self.retry_budget.note_request()
        failed_runners: set[str] = set()
        sent = False
        failure: RequestFailure | None = None
        for attempt in range(_MAX_ATTEMPTS):
            if attempt > 0 and not self._acquire_retry(call):
                break
            match await self.dispatcher.place(
                call.profile, failed_runners=failed_runners
            ):
                case Success(dispatch):
                    pass
                case Failure(refusal):
                    failure = failure or refusal
                    break
            try:
                return Success(await self._send(call, dispatch))
            except RunnerError as error:
                sent = sent or error.sent
                failure = _idempotent_send_failure(error, sent=sent)
                failed_runners.add(dispatch.runner)
        assert failure is not None
        return Failure(failure)

    def _acquire_retry(self, call: Call) -> bool:
        """Take a retry from the budget; return False if none is left or time is up."""
        if self.clock.now_s() >= call.profile.deadline_s:
            return False
        if not self.retry_budget.try_spend():
            self.metrics.count("calls.retries_over_budget")
            return False
        self.metrics.count("calls.retries")
        return True

    async def _send(self, call: Call, dispatch: Dispatch) -> CallReply:
        """Send a call to a runner and return the reply.

        :raises RunnerError: there is no valid reply to this call.
        """
        succeeded = False
        call.attempted_runners.append(dispatch.runner)
        remaining_s = call.profile.deadline_s - self.clock.now_s()
        try:
            if remaining_s <= 0:
                raise RunnerError("the time to answer in is over", sent=False)
            reply = await self.client.call(
                dispatch.url,
                call.path,
                key=call.key or call.profile.request_id,
                organisation=call.profile.organisation,
                body=call.body,
                timeout_s=remaining_s,
                repeatable=call.profile.idempotent,
            )
            succeeded = True
        finally:
            dispatch.close(succeeded=succeeded)
        return reply


def _require_new_key(refusal: NotRun) -> NotRun:
    """Return a refusal that tells the caller to retry with a new key.

    The call will never run under its current key.
    """
    return NotRun(
        reason=refusal.reason,
        remedy=f"{refusal.remedy}, with a new key",
        retry_after_s=refusal.retry_after_s,
        status=refusal.status,
        repeat_with="new_key",
    )


def _single_send_failure(error: RunnerError) -> RequestFailure:
    """Return the failure of a call that is not idempotent."""
    match error:
        case RunnerError(sent=False):
            return NotRun(
                reason=f"no byte of the call was sent: {error}",
                remedy="call again after the retry time, with a new key",
                repeat_with="new_key",
            )
        case RunnerStatusError():
            return FailedWhileRunning(
                reason=f"the service {error}",
                remedy="ask the service whether the call had an effect before "
                "calling again with a new key",
                retry_after_s=0.0,
            )
        case _:
            return OutcomeUnknown(
                reason=f"the service gave {error}",
                remedy="ask the service for the state before calling again",
            )


def _idempotent_send_failure(error: RunnerError, *, sent: bool) -> RequestFailure:
    """Return the failure of an idempotent call.

    :param sent: whether any attempt may have reached a runner.
    """
    if sent:
        return FailedWhileRunning(
            reason=f"no runner finished the call: {error}",
            remedy="send the call again after the retry time",
        )
    return NotRun(
        reason=f"no byte of the call was sent: {error}",
        remedy="send the call again after the retry time",
    )
