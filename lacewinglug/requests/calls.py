"""Sends calls to plain services."""

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

    :param profile: the request as admission and routing see it.
    :param path: path at the service.
    :param body: body of the call.
    :param key: key of the call, empty for an idempotent call without one.
    :param timeout_s: time to answer in, in seconds.
    :param authorization: the caller's proof of its organisation.
    :param runners: runners that it was sent to, in order; filled while it runs.
    """

    profile: RequestProfile
    path: str
    body: bytes
    key: str
    timeout_s: float
    authorization: str = field(default="", repr=False)
    runners: list[str] = field(default_factory=list)

    @property
    def last_runner(self) -> str:
        """Last runner that it was sent to, empty for none."""
        return self.runners[-1] if self.runners else ""

    @property
    def fingerprint(self) -> str:
        """Digest that differs between calls which are not repeats."""
        return call_fingerprint(
            organisation=self.profile.organisation,
            service=self.profile.service,
            kind=self.profile.kind,
            body=self.body,
        )


def make_retry_budget() -> RetryBudget:
    """Return the budget of retries of idempotent calls."""
    return RetryBudget(ratio=_RETRIES_PER_REQUEST)


@dataclass(kw_only=True)
class CallRunner:
    """Sends calls to runners.

    :param dispatcher: places calls on runners.
    :param client: client of the runners.
    :param clock: source of time.
    :param metrics: counters.
    :param budget: bounds the repeats of idempotent calls.
    """

    dispatcher: Dispatcher
    client: CallTransport
    clock: Clock
    metrics: Metrics
    budget: RetryBudget = field(default_factory=make_retry_budget)

    async def run_once(self, call: Call) -> CallResult:
        """Send a call that may not be repeated to one runner, once.

        A runner that no byte reached is passed over for another one.
        """
        failed: set[str] = set()
        failure: RequestFailure | None = None
        for _ in range(_MAX_ATTEMPTS):
            match await self.dispatcher.place(call.profile, failed_runners=failed):
                case Success(dispatch):
                    pass
                case Failure(refusal):
                    failure = failure or _close_key(refusal)
                    break
            try:
                return Success(await self._send(call, dispatch))
            except RunnerError as error:
                failure = _describe_once(error)
                if error.sent:
                    break
                failed.add(dispatch.runner)
        assert failure is not None
        if isinstance(failure, OutcomeUnknown):
            self.metrics.count("calls.outcome_unknown")
        return Failure(failure)

    async def run_idempotent(self, call: Call) -> CallResult:
        """Send a call that may be repeated, to another runner when one fails."""
        self.budget.note_request()
        failed: set[str] = set()
        sent = False
        last: RequestFailure | None = None
        for attempt in range(_MAX_ATTEMPTS):
            if attempt > 0 and not self._may_retry(call):
                break
            match await self.dispatcher.place(call.profile, failed_runners=failed):
                case Success(dispatch):
                    pass
                case Failure(refusal):
                    last = last or refusal
                    break
            try:
                return Success(await self._send(call, dispatch))
            except RunnerError as error:
                sent = sent or error.sent
                last = _describe_idempotent(error, sent=sent)
                failed.add(dispatch.runner)
        assert last is not None
        return Failure(last)

    def _may_retry(self, call: Call) -> bool:
        """Take a retry from the budget when there is time for it."""
        if self.clock.now_s() >= call.profile.deadline_s:
            return False
        if not self.budget.try_spend():
            self.metrics.count("calls.retries_over_budget")
            return False
        self.metrics.count("calls.retries")
        return True

    async def _send(self, call: Call, dispatch: Dispatch) -> CallReply:
        """Send a call to a runner and return the answer.

        :raises RunnerError: the runner gave no answer to this call.
        """
        succeeded = False
        call.runners.append(dispatch.runner)
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


def _close_key(refusal: NotRun) -> NotRun:
    """Return the refusal of a call whose key will never run."""
    return NotRun(
        reason=refusal.reason,
        remedy=f"{refusal.remedy}, with a new key",
        retry_after_s=refusal.retry_after_s,
        status=refusal.status,
        repeat_with="new_key",
    )


def _describe_once(error: RunnerError) -> RequestFailure:
    """Return the failure of a call that may not be repeated."""
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


def _describe_idempotent(error: RunnerError, *, sent: bool) -> RequestFailure:
    """Return the failure of a call that may be repeated."""
    if sent:
        return FailedWhileRunning(
            reason=f"no runner finished the call: {error}",
            remedy="send the call again after the retry time",
        )
    return NotRun(
        reason=f"no byte of the call was sent: {error}",
        remedy="send the call again after the retry time",
    )
