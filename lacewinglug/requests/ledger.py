"""Bounded cache of the running and finished calls of this process."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from lacewinglug.requests.outcomes import RequestFailure
from lacewinglug.upstream.messages import CallReply

CallResult = Result[CallReply, RequestFailure]


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningCall:
    """A call in progress.

    :param fingerprint: digest of the call.
    :param future: future that receives the result.
    """

    fingerprint: str
    future: asyncio.Future[CallResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class FinishedCall:
    """A call whose result is known.

    :param fingerprint: digest of the call.
    :param result: the result.
    """

    fingerprint: str
    result: CallResult


CachedCall = RunningCall | FinishedCall


@dataclass(kw_only=True)
class CallCache:
    """Calls by id; finished calls are evicted in the order in which they finished.

    :param max_results: maximum number of results kept.
    :param max_bytes: maximum total size of the texts of the results kept, in
        bytes.
    """

    max_results: int
    max_bytes: int
    cached_bytes: int = 0
    _running: dict[str, RunningCall] = field(default_factory=dict)
    _finished: dict[str, FinishedCall] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of running and finished calls kept."""
        return len(self._running) + len(self._finished)

    def find(self, call_id: str) -> CachedCall | None:
        """Return a running call or one whose result is kept, else None."""
        return self._running.get(call_id) or self._finished.get(call_id)

    def add_running(self, call_id: str, fingerprint: str) -> RunningCall:
        """Add a call that starts to run."""
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        call = RunningCall(fingerprint=fingerprint, future=future)
        self._running[call_id] = call
        return call

    def finish(self, call_id: str, result: CallResult) -> None:
        """Keep the result of a call and pass it to all waiters."""
        call = self._running.pop(call_id)
        self._finished[call_id] = FinishedCall(
            fingerprint=call.fingerprint, result=result
        )
        self.cached_bytes += _result_size_bytes(result)
        call.future.set_result(result)
        self._evict()

    def discard(self, call_id: str, result: CallResult) -> None:
        """Pass a result to all waiters and remove the call without keeping it."""
        self._running.pop(call_id).future.set_result(result)

    def _evict(self) -> None:
        while len(self._finished) > self.max_results or (
            self.cached_bytes > self.max_bytes and self._finished
        ):
            oldest = next(iter(self._finished))
            self.cached_bytes -= _result_size_bytes(self._finished.pop(oldest).result)


def _result_size_bytes(result: CallResult) -> int:
    """Return the size of the texts of a result, in bytes."""
    match result:
        case Success(CallReply(key=key, result=text)):
            return len(key) + len(text)
        case Failure(failure):
            return len(failure.reason) + len(failure.remedy)
    raise AssertionError("a result is a success or a failure")
