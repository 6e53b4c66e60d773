"""The calls that this process runs or ran, kept within a bound."""

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
    :param future: becomes the result.
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


RememberedCall = RunningCall | FinishedCall


@dataclass(kw_only=True)
class CallLedger:
    """Calls by id; the results that finished first are forgotten first.

    :param max_results: number of results kept.
    :param max_bytes: size of the texts of the results kept, in bytes.
    """

    max_results: int
    max_bytes: int
    kept_bytes: int = 0
    _running: dict[str, RunningCall] = field(default_factory=dict)
    _finished: dict[str, FinishedCall] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of calls held."""
        return len(self._running) + len(self._finished)

    def find(self, call_id: str) -> RememberedCall | None:
        """Return a call that runs or whose result is kept."""
        return self._running.get(call_id) or self._finished.get(call_id)

    def begin(self, call_id: str, fingerprint: str) -> RunningCall:
        """Note that a call starts."""
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        call = RunningCall(fingerprint=fingerprint, future=future)
        self._running[call_id] = call
        return call

    def finish(self, call_id: str, result: CallResult) -> None:
        """Keep the result of a call and hand it to everyone who waits."""
        call = self._running.pop(call_id)
        self._finished[call_id] = FinishedCall(
            fingerprint=call.fingerprint, result=result
        )
        self.kept_bytes += _size_bytes(result)
        call.future.set_result(result)
        self._trim()

    def drop(self, call_id: str, result: CallResult) -> None:
        """Hand a result to everyone who waits and forget the call."""
        self._running.pop(call_id).future.set_result(result)

    def _trim(self) -> None:
        while len(self._finished) > self.max_results or (
            self.kept_bytes > self.max_bytes and self._finished
        ):
            oldest = next(iter(self._finished))
            self.kept_bytes -= _size_bytes(self._finished.pop(oldest).result)


def _size_bytes(result: CallResult) -> int:
    """Return the size of the texts of a result, in bytes."""
    match result:
        case Success(CallReply(key=key, result=text)):
            return len(key) + len(text)
        case Failure(failure):
            return len(failure.reason) + len(failure.remedy)
    raise AssertionError("a result is a success or a failure")
