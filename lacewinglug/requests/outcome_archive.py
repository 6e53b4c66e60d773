"""Results of keyed calls in the platform's log, for others to answer with.

A record is optional: without it, a repeat is answered as outcome unknown.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from returns.result import Failure, Success

from lacewinglug.backing.log import LogClient
from lacewinglug.clock import Clock
from lacewinglug.errors import PlatformError, RecordsExpiredError
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.requests.ledger import CallResult, FinishedCall
from lacewinglug.requests.outcomes import (
    FailureBody,
    failure_body,
    failure_status,
    parse_failure,
)
from lacewinglug.upstream.messages import CallReply

MAX_RESULT_BYTES = 1024
_MAX_PENDING = 20_000
_MAX_BATCH = 1_000
_MAX_INDEXED = 20_000
_MAX_INDEXES = 4


class ArchivedOutcome(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The result of one call.

    :param call_id: id of the key.
    :param fingerprint: digest of the call.
    :param reply: the service's answer, None for a failure.
    :param failure: the failure, None for an answer.
    :param status: HTTP status of the failure.
    """

    call_id: str
    fingerprint: str
    reply: CallReply | None = None
    failure: FailureBody | None = None
    status: int = 200


class OutcomeBatch(msgspec.Struct, frozen=True, kw_only=True, tag="outcomes"):
    """Results of one process, appended together."""

    outcomes: list[ArchivedOutcome]


_decoder = msgspec.json.Decoder(OutcomeBatch)


def outcome_stream(host: str, incarnation: str) -> str:
    """Return the name of the stream of one run of an entry."""
    return f"call-outcomes-{host}-{incarnation}"


def archive_outcome(
    call_id: str, fingerprint: str, result: CallResult
) -> ArchivedOutcome | None:
    """Return the record of a result, or None when it is too large to keep."""
    match result:
        case Success(CallReply() as reply):
            if len(reply.result) > MAX_RESULT_BYTES:
                return None
            return ArchivedOutcome(
                call_id=call_id, fingerprint=fingerprint, reply=reply
            )
        case Failure(failure):
            return ArchivedOutcome(
                call_id=call_id,
                fingerprint=fingerprint,
                failure=failure_body(failure),
                status=failure_status(failure),
            )
    raise AssertionError("a result is a success or a failure")


def restore_call(outcome: ArchivedOutcome) -> FinishedCall | None:
    """Return the finished call that a record describes."""
    result: CallResult
    if outcome.reply is not None:
        result = Success(outcome.reply)
    elif outcome.failure is not None:
        result = Failure(parse_failure(outcome.failure, status=outcome.status))
    else:
        return None
    return FinishedCall(fingerprint=outcome.fingerprint, result=result)


@dataclass(kw_only=True)
class OutcomeIndex:
    """The archived results of one run of an entry, the newest of them."""

    next_offset: int = 0
    outcomes: dict[str, ArchivedOutcome] = field(default_factory=dict)

    def apply(self, data: bytes) -> None:
        """Take the results of one record."""
        try:
            batch = _decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        for outcome in batch.outcomes:
            self.outcomes[outcome.call_id] = outcome
        while len(self.outcomes) > _MAX_INDEXED:
            del self.outcomes[next(iter(self.outcomes))]


@dataclass(kw_only=True)
class OutcomeArchive:
    """Appends this process's results and reads those of others.

    :param log: the platform's log.
    :param ids: names this process.
    :param clock: source of time.
    :param metrics: counters.
    """

    log: LogClient
    ids: IdFactory
    clock: Clock
    metrics: Metrics
    _pending: list[ArchivedOutcome] = field(default_factory=list)
    _indexes: OrderedDict[str, OutcomeIndex] = field(default_factory=OrderedDict)

    def note(self, call_id: str, fingerprint: str, result: CallResult) -> None:
        """Put a result aside for the next append."""
        outcome = archive_outcome(call_id, fingerprint, result)
        if outcome is None or len(self._pending) >= _MAX_PENDING:
            self.metrics.count("calls.outcomes_not_archived")
            return
        self._pending.append(outcome)

    async def flush(self) -> None:
        """Append the results that wait; keep them when the log refuses.

        :raises PlatformError: the log does not answer.
        """
        stream = outcome_stream(self.ids.host, self.ids.incarnation)
        while self._pending:
            batch = self._pending[:_MAX_BATCH]
            data = msgspec.json.encode(OutcomeBatch(outcomes=batch))
            self.metrics.count("calls.outcome_appends")
            await self.log.append(stream, data)
            del self._pending[: len(batch)]

    async def find(
        self, host: str, incarnation: str, call_id: str
    ) -> FinishedCall | None:
        """Return the result of a call that another run of an entry archived.

        :raises PlatformError: the log does not answer.
        """
        stream = outcome_stream(host, incarnation)
        index = self._indexes.pop(stream, None) or OutcomeIndex()
        self._indexes[stream] = index
        while len(self._indexes) > _MAX_INDEXES:
            self._indexes.popitem(last=False)
        while await self._read_on(stream, index):
            pass
        outcome = index.outcomes.get(call_id)
        return restore_call(outcome) if outcome is not None else None

    async def _read_on(self, stream: str, index: OutcomeIndex) -> bool:
        """Read one batch of records; return whether there was one."""
        start = index.next_offset
        try:
            reply = await self.log.read(stream, start, wait_s=0.0)
        except RecordsExpiredError as error:
            index.next_offset = max(index.next_offset, error.first_offset)
            return True
        for stored in reply.records:
            if stored.offset >= index.next_offset:
                index.next_offset = stored.offset + 1
                index.apply(stored.data)
        return bool(reply.records)

    async def run(self, interval_s: Callable[[], float]) -> None:
        """Append results at an interval until cancelled.

        :param interval_s: returns the time to the next append, in seconds.
        """
        while True:
            await self.clock.sleep(interval_s())
            try:
                await self.flush()
            except PlatformError:
                self.metrics.count("calls.outcome_appends_failed")
