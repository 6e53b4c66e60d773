"""Tests of calls to plain services and of the retry budget."""

import pytest
from returns.result import Failure, Success

from harness.call_fleet import FakeDispatch
from harness.virtual_time import VirtualClock, run_virtual
from lacewinglug.metrics import Metrics
from lacewinglug.requests.calls import Call, CallSender, make_retry_budget
from lacewinglug.requests.outcomes import FailedWhileRunning, NotRun, OutcomeUnknown
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.upstream.client import RunnerError
from lacewinglug.upstream.messages import CallReply


class FirstRunnerDispatcher:
    """Places calls on the first runner that is not excluded."""

    async def place(self, profile, *, failed_runners=()):
        names = [name for name in ("a", "b", "c", "d") if name not in failed_runners]
        return Success(FakeDispatch(runner=names[0], url=names[0]))


class FailingTransport:
    """Fails at the given runners and records the URLs called."""

    def __init__(self, failing, sent):
        self.failing = failing
        self.sent = sent
        self.urls = []

    async def call(self, url, path, *, key, **_):
        self.urls.append(url)
        if url in self.failing:
            raise RunnerError("broken", sent=self.sent)
        return CallReply(key=key, result="done")


def run_call(transport, *, budget=None, idempotent=True, timeout_s=5.0, count=1):
    async def run():
        clock = VirtualClock()
        sender = CallSender(
            dispatcher=FirstRunnerDispatcher(),
            client=transport,
            clock=clock,
            metrics=Metrics(),
            retry_budget=budget or make_retry_budget(),
        )
        profile = RequestProfile(
            request_id="r",
            service="booking",
            kind="seats",
            organisation="north",
            weight=1.0,
            deadline_s=clock.now_s() + timeout_s,
            idempotent=idempotent,
        )
        call = Call(profile=profile, path="/", body=b"", key="", timeout_s=timeout_s)
        send = sender.send_idempotent if idempotent else sender.send_once
        return [await send(call) for _ in range(count)][-1]

    return run_virtual(run())


@pytest.mark.parametrize(
    ("failing", "sent", "urls", "expected"),
    [
        ("", True, "a", CallReply),
        ("a", True, "ab", CallReply),
        ("ab", False, "abc", CallReply),
        ("abc", False, "abc", NotRun),
        ("abc", True, "abc", FailedWhileRunning),
    ],
)
def test_idempotent_call_is_retried_on_another_runner(failing, sent, urls, expected):
    transport = FailingTransport(failing, sent)
    match run_call(transport):
        case Success(result) | Failure(result):
            assert isinstance(result, expected)
    assert "".join(transport.urls) == urls


def test_retries_are_limited_by_the_budget():
    transport = FailingTransport("abcd", True)
    run_call(transport, count=1000)
    assert len(transport.urls) <= 1000 + 10 + 1000 * 0.1


@pytest.mark.parametrize("idempotent", [False, True])
def test_call_past_its_deadline_is_not_sent(idempotent):
    transport = FailingTransport("", True)
    result = run_call(transport, idempotent=idempotent, timeout_s=0.0)
    assert isinstance(result.failure(), NotRun)
    assert transport.urls == []


@pytest.mark.parametrize(
    ("failing", "sent", "urls", "expected"),
    [
        ("a", True, "a", OutcomeUnknown),
        ("a", False, "ab", CallReply),
        ("abc", False, "abc", NotRun),
    ],
)
def test_call_that_is_not_idempotent_reaches_at_most_one_runner(
    failing, sent, urls, expected
):
    transport = FailingTransport(failing, sent)
    match run_call(transport, idempotent=False):
        case Success(result) | Failure(result):
            assert isinstance(result, expected)
    assert "".join(url[-1] for url in transport.urls) == urls


def test_refused_call_requires_a_new_key():
    result = run_call(FailingTransport("abc", False), idempotent=False)
    assert result.failure().repeat_with == "new_key"
