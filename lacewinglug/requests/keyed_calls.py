"""Handles calls under idempotency keys; each call runs at most once.

Each key has one owner, a run of an entry process: the one that minted the key,
or for a caller-supplied key the one whose intent comes first in the platform's
log. Only the owner sends the call, once, and it answers repeats from memory.
Every other entry forwards repeats to the owner.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from returns.result import Failure

from lacewinglug.clock import Clock
from lacewinglug.errors import PlatformError
from lacewinglug.ids import MintedId
from lacewinglug.metrics import Metrics
from lacewinglug.requests.calls import Call, CallSender
from lacewinglug.requests.intent_claims import (
    ClaimFailed,
    ClaimLost,
    ClaimWon,
    KeyClaims,
)
from lacewinglug.requests.intents import ClaimedKey, shard_of_key
from lacewinglug.requests.keys import (
    KeyMinter,
    MintedKey,
    has_minted_key_prefix,
    is_valid_supplied_key,
    supplied_key_id,
    uuid7_time_s,
)
from lacewinglug.requests.ledger import (
    CachedCall,
    CallCache,
    CallResult,
    FinishedCall,
    RunningCall,
)
from lacewinglug.requests.outcome_archive import OutcomeArchive
from lacewinglug.requests.outcomes import OutcomeUnknown
from lacewinglug.requests.peers import (
    ForwardTarget,
    NotOwnerError,
    PeerClient,
    PeerDirectory,
    PeerError,
)
from lacewinglug.requests.refusals import (
    claim_log_unavailable,
    internal_error,
    key_history_unreadable,
    key_reused_for_different_call,
    malformed_key,
    owner_gone,
    owner_unreachable,
    result_expired,
    too_many_keys,
    unrecognised_key,
)

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class JobResult:
    """Result of a job that ran a call or tried to claim its key.

    :param result: the result of the call.
    :param is_owner: whether this process owns the key and keeps the result.
    """

    result: CallResult
    is_owner: bool


CallJob = Callable[[Call], Awaitable[JobResult]]


@dataclass(kw_only=True)
class KeyedCallHandler:
    """Runs keyed calls, answers their repeats, or forwards them to the owner.

    :param minter: mints and verifies the keys of this process.
    :param cache: running and finished calls of this process.
    :param runner: sends calls to runners.
    :param claims: claims caller-supplied keys.
    :param archive: results archived in the platform's log.
    :param peers: forwards calls to other entries.
    :param directory: the entry hosts of the fleet.
    :param clock: source of time.
    :param metrics: counters.
    """

    minter: KeyMinter
    cache: CallCache
    runner: CallSender
    claims: KeyClaims
    archive: OutcomeArchive
    peers: PeerClient
    directory: PeerDirectory
    clock: Clock
    metrics: Metrics
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def handle(self, call: Call) -> CallResult:
        """Return the result of a caller's call; run the call if it is no repeat."""
        minted = MintedKey.parse(call.key)
        if minted is None:
            return await self._handle_supplied_key(call)
        if self.minter.is_minted_here(minted):
            return await self._handle_minted_key(call, minted)
        return await self._forward_to_owner(call, minted.minted_id, call.key)

    async def handle_forwarded(
        self, call: Call, *, incarnation: str, target: ForwardTarget
    ) -> CallResult:
        """Return the result of a call that another entry forwarded.

        :param call: the call.
        :param incarnation: run of the entry process that is asked.
        :param target: role in which this entry is asked.
        :raises NotOwnerError: this process is not the requested run.
        """
        if target is ForwardTarget.CLAIMANT:
            return await self._claim_locally(call)
        if incarnation != self.minter.incarnation:
            raise NotOwnerError
        minted = MintedKey.parse(call.key)
        if minted is None:
            return await self._handle_claimed_key(call)
        return await self._handle_minted_key(call, minted)

    async def _handle_minted_key(self, call: Call, key: MintedKey) -> CallResult:
        """Handle a call under a key that names this process as its minter."""
        if not self.minter.is_authentic(key, call.profile.organisation):
            return Failure(unrecognised_key())
        cached = self.cache.find(call.key)
        if cached is not None:
            return await self._answer_repeat(call, cached)
        if self.minter.is_used(key):
            return Failure(result_expired())
        self.minter.mark_used(key)
        return await self._start_call(call.key, call, self._run_as_owner)

    async def _handle_supplied_key(self, call: Call) -> CallResult:
        """Handle a call under a caller-supplied key, or forward it to the claimant."""
        if not is_valid_supplied_key(call.key):
            return Failure(malformed_key())
        if has_minted_key_prefix(call.key):
            return Failure(unrecognised_key())
        cached = self.cache.find(_supplied_key_id(call))
        if cached is not None:
            return await self._answer_repeat(call, cached)
        created_at_s = uuid7_time_s(call.key)
        if created_at_s is not None and self._is_expired(created_at_s):
            return Failure(result_expired())
        claimant = self.directory.claimant_of(shard_of_key(_supplied_key_id(call)))
        if claimant in ("", self.minter.host):
            return await self._claim_locally(call)
        try:
            return await self.peers.forward(claimant, "", ForwardTarget.CLAIMANT, call)
        except NotOwnerError:
            return await self._claim_locally(call)
        except PeerError as error:
            if error.sent:
                return Failure(owner_unreachable(claimant, str(error)))
            return await self._claim_locally(call)

    def _is_expired(self, created_at_s: float) -> bool:
        return created_at_s < self.clock.wall_s() - self.claims.retention_s

    async def _claim_locally(self, call: Call) -> CallResult:
        """Claim a caller-supplied key at this entry; run the call if the claim wins."""
        cached = self.cache.find(_supplied_key_id(call))
        if cached is not None:
            return await self._answer_repeat(call, cached)
        return await self._start_call(_supplied_key_id(call), call, self._claim_and_run)

    async def _handle_claimed_key(self, call: Call) -> CallResult:
        """Handle a repeat under a supplied key that this process owns by the log."""
        cached = self.cache.find(_supplied_key_id(call))
        if cached is not None:
            return await self._answer_repeat(call, cached)
        return await self._start_call(
            _supplied_key_id(call), call, self._run_abandoned_key
        )

    async def _answer_repeat(self, call: Call, cached: CachedCall) -> CallResult:
        """Answer a repeat with the cached result, waiting for a running call."""
        if cached.fingerprint != call.fingerprint:
            return Failure(key_reused_for_different_call())
        self.metrics.count("calls.repeats")
        match cached:
            case FinishedCall(result=result):
                return result
            case RunningCall(future=future):
                return await asyncio.shield(future)

    async def _start_call(self, call_id: str, call: Call, job: CallJob) -> CallResult:
        """Start a call's only run; it continues if the caller disconnects."""
        running = self.cache.add_running(call_id, call.fingerprint)
        task = asyncio.create_task(self._run_job(call_id, call, job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(running.future)

    async def _run_job(self, call_id: str, call: Call, job: CallJob) -> None:
        """Run a job to completion; keep the result if this process owns the key."""
        try:
            job_result = await job(call)
        except Exception:
            logger.exception("unexpected exception while handling a keyed call")
            job_result = JobResult(result=Failure(internal_error()), is_owner=True)
        if not job_result.is_owner:
            self.cache.discard(call_id, job_result.result)
            return
        self.cache.finish(call_id, job_result.result)
        self.archive.add(call_id, call.fingerprint, job_result.result)

    async def _run_as_owner(self, call: Call) -> JobResult:
        return JobResult(result=await self.runner.send_once(call), is_owner=True)

    async def _claim_and_run(self, call: Call) -> JobResult:
        """Claim a supplied key and run the call, or forward it to the key's owner."""
        call_id = _supplied_key_id(call)
        shard = self.claims.get_shard(shard_of_key(call_id))
        if self.claims.is_full and shard.find_claimed_key(call_id) is None:
            return JobResult(result=Failure(too_many_keys()), is_owner=False)
        match await shard.claim(call_id, call.fingerprint):
            case ClaimWon():
                return await self._run_as_owner(call)
            case ClaimLost(claimed_key=claimed_key):
                result = await self._forward_to_key_owner(call, claimed_key)
            case ClaimFailed(reason=reason, is_index_current=True):
                result = Failure(claim_log_unavailable(reason))
            case ClaimFailed(reason=reason):
                result = Failure(key_history_unreadable(reason))
        return JobResult(result=result, is_owner=False)

    async def _run_abandoned_key(self, call: Call) -> JobResult:
        """Run a call whose claim was abandoned but is in the log as the first."""
        call_id = _supplied_key_id(call)
        match self.claims.get_shard(shard_of_key(call_id)).known_result(call_id):
            case ClaimWon():
                return await self._run_as_owner(call)
            case _:
                return JobResult(result=Failure(result_expired()), is_owner=False)

    async def _forward_to_key_owner(
        self, call: Call, claimed_key: ClaimedKey
    ) -> CallResult:
        """Get the result of a call under a supplied key from the key's owner."""
        if claimed_key.fingerprint != call.fingerprint:
            return Failure(key_reused_for_different_call())
        key_owner = claimed_key.owner
        if (
            key_owner.host == self.minter.host
            and key_owner.incarnation == self.minter.incarnation
        ):
            return Failure(result_expired())
        owner = MintedId(
            host=key_owner.host, incarnation=key_owner.incarnation, sequence=0
        )
        return await self._forward_to_owner(call, owner, _supplied_key_id(call))

    async def _forward_to_owner(
        self, call: Call, owner: MintedId, call_id: str
    ) -> CallResult:
        """Get the result of a call from its owner, or from the owner's archive."""
        if owner.host == self.minter.host or not self.directory.is_member(owner.host):
            return await self._find_archived(call, owner, call_id)
        self.metrics.count("calls.forwarded")
        try:
            return await self.peers.forward(
                owner.host, owner.incarnation, ForwardTarget.OWNER, call
            )
        except NotOwnerError:
            return await self._find_archived(call, owner, call_id)
        except PeerError as error:
            unreachable = Failure(owner_unreachable(owner.host, str(error)))
        archived = await self._find_archived(call, owner, call_id)
        return unreachable if _is_outcome_unknown(archived) else archived

    async def _find_archived(
        self, call: Call, owner: MintedId, call_id: str
    ) -> CallResult:
        """Answer with the result that the owner archived in the log, if any."""
        try:
            found = await self.archive.find(owner.host, owner.incarnation, call_id)
        except PlatformError as error:
            return Failure(key_history_unreadable(str(error)))
        if found is None:
            self.metrics.count("calls.owner_gone")
            return Failure(owner_gone(owner.host))
        if found.fingerprint != call.fingerprint:
            return Failure(key_reused_for_different_call())
        self.metrics.count("calls.answered_from_log")
        return found.result


def _supplied_key_id(call: Call) -> str:
    """Return the id of a call under a caller-supplied key."""
    return supplied_key_id(
        organisation=call.profile.organisation,
        service=call.profile.service,
        key=call.key,
    )


def _is_outcome_unknown(result: CallResult) -> bool:
    """Return whether the outcome of a call is unknown."""
    match result:
        case Failure(OutcomeUnknown()):
            return True
        case _:
            return False
