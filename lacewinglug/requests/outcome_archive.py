"""Archive of the results of keyed calls in the platform's log.

Other entries answer repeats from it once the owner of a key has ended. Archiving
is best effort: without a record, a repeat is answered as outcome unknown.
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
_MAX_PENDING_OUTCOMES = 20_000
_MAX_BATCH_OUTCOMES = 1_000
_MAX_INDEXED_OUTCOMES = 20_000
_MAX_CACHED_INDEXES = 4


class ArchivedOutcome(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The archived result of one call.

    :param call_id: id of the call: a minted key itself or the id of a
        caller-supplied key.
    :param fingerprint: digest of the call.
    :param reply: reply of the service, None for a failure.
    :param failure: the failure, None for a reply.
    :param status: HTTP status of the failure.
    """

    call_id: str
    fingerprint: str
    reply: CallReply | None = None
    failure: FailureBody | None = None
    status: int = 200


class OutcomeBatch(msgspec.Struct, frozen=True, kw_only=True, tag="outcomes"):
    """A log record with results of one process."""

    outcomes: list[ArchivedOutcome]


_decoder = msgspec.json.Decoder(OutcomeBatch)


def outcome_stream_name(host: str, incarnation: str) -> str:
    """Return the name of the stream of one run of an entry."""
    return f"call-outcomes-{host}-{incarnation}"


def make_archived_outcome(
    call_id: str, fingerprint: str, result: CallResult
) -> ArchivedOutcome | None:
    """Return the archived form of a result, or None if it is too large."""
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


def make_finished_call(outcome: ArchivedOutcome) -> FinishedCall | None:
    """Return the finished call of an archived result, or None for an empty one."""
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
    """Index of the newest archived results of one run of an entry."""

    next_offset: int = 0
    outcomes: dict[str, ArchivedOutcome] = field(default_factory=dict)

    def apply(self, data: bytes) -> None:
        """Add the results of one record; skip a record that cannot be decoded."""
        try:
            batch = _decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        for outcome in batch.outcomes:
            self.outcomes[outcome.call_id] = outcome
        while len(self.outcomes) > _MAX_INDEXED_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]


@dataclass(kw_only=True)
class OutcomeArchive:
    """Archives the results of this process and reads those of other processes.

    :param log: client of the platform's log.
    :param ids: identifies this process.
    :param clock: source of time.
    :param metrics: counters.
    """

    log: LogClient
    ids: IdFactory
    clock: Clock
    metrics: Metrics
    _pending: list[ArchivedOutcome] = field(default_factory=list)
    _indexes: OrderedDict[str, OutcomeIndex] = field(default_factory=OrderedDict)

    def add(self, call_id: str, fingerprint: str, result: CallResult) -> None:
        """Queue a result; drop it if it is too large or the queue is full."""
        outcome = make_archived_outcome(call_id, fingerprint, result)
        if outcome is None or len(self._pending) >= _MAX_PENDING_OUTCOMES:
            self.metrics.count("calls.outcomes_not_archived")
            return
        self._pending.append(outcome)

    async def flush(self) -> None:
        """Append the queued results; those that fail to append stay queued.

        :raises PlatformError: the log is not available.
        """
        stream = outcome_stream_name(self.ids.host, self.ids.incarnation)
        while self._pending:
            batch = self._pending[:_MAX_BATCH_OUTCOMES]
            data = msgspec.json.encode(OutcomeBatch(outcomes=batch))
            self.metrics.count("calls.outcome_appends")
            await self.log.append(stream, data)
            del self._pending[: len(batch)]

    async def find(
        self, host: str, incarnation: str, call_id: str
    ) -> FinishedCall | None:
        """Return a call archived by the given run of an entry, else None.

        :raises PlatformError: the log is not available.
        """
        stream = outcome_stream_name(host, incarnation)
        index = self._indexes.pop(stream, None) or OutcomeIndex()
        self._indexes[stream] = index
        while len(self._indexes) > _MAX_CACHED_INDEXES:
            self._indexes.popitem(last=False)
        while await self._read_batch(stream, index):
            pass
        outcome = index.outcomes.get(call_id)
        return make_finished_call(outcome) if outcome is not None else None

    async def _read_batch(self, stream: str, index: OutcomeIndex) -> bool:
        """Read the next batch of records; return whether more may follow."""
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
        """Append queued results periodically until cancelled.

        :param interval_s: returns the time until the next append, in seconds.
        """
        while True:
            await self.clock.sleep(interval_s())
            try:
                await self.flush()
            except PlatformError:
                self.metrics.count("calls.outcome_appends_failed")
