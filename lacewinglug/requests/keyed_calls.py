"""Answers calls under keys, each of which runs at most once.

A key has one owner, a run of an entry process: the one that minted it, or the
one whose intent is the first in the platform's log. Only the owner ever sends
the call, once, and it answers repeats from memory. Every other entry forwards
repeats to the owner.
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
    IntentClaims,
)
from lacewinglug.requests.intents import HeldKey, shard_of
from lacewinglug.requests.keys import (
    KeyMinter,
    MintedKey,
    is_valid_key,
    key_time_s,
    own_key_id,
    resembles_minted,
)
from lacewinglug.requests.ledger import (
    CallLedger,
    CallResult,
    FinishedCall,
    RememberedCall,
    RunningCall,
)
from lacewinglug.requests.outcome_archive import OutcomeArchive
from lacewinglug.requests.outcomes import OutcomeUnknown
from lacewinglug.requests.peers import (
    NotOwnerError,
    PeerClient,
    PeerDirectory,
    PeerError,
    PeerStep,
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
class Settlement:
    """The end of a call at its owner, or at an entry that tried to own it.

    :param result: the result.
    :param owned: whether this process owns the key, and so keeps the result.
    """

    result: CallResult
    owned: bool


Job = Callable[[Call], Awaitable[Settlement]]


@dataclass(kw_only=True)
class KeyedCalls:
    """Decides where a keyed call is answered.

    :param minter: mints the keys of this process.
    :param ledger: calls that this process runs or ran.
    :param runner: sends calls to runners.
    :param claims: claims callers' own keys.
    :param archive: results in the platform's log.
    :param peers: forwards calls to other entries.
    :param directory: the entry hosts of the fleet.
    :param clock: source of time.
    :param metrics: counters.
    """

    minter: KeyMinter
    ledger: CallLedger
    runner: CallSender
    claims: IntentClaims
    archive: OutcomeArchive
    peers: PeerClient
    directory: PeerDirectory
    clock: Clock
    metrics: Metrics
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def answer(self, call: Call) -> CallResult:
        """Return the result of a caller's call, running it when it is the first."""
        minted = MintedKey.parse(call.key)
        if minted is None:
            return await self._answer_own_key(call)
        if self.minter.owns(minted):
            return await self._answer_minted(call, minted)
        return await self._ask_owner(call, minted.owner, call.key)

    async def answer_peer(
        self, call: Call, *, incarnation: str, step: PeerStep
    ) -> CallResult:
        """Return the result of a call that another entry forwarded.

        :raises NotOwnerError: the run of the entry that is asked for has ended.
        """
        if step is PeerStep.CLAIM:
            return await self._claim_here(call)
        if incarnation != self.minter.incarnation:
            raise NotOwnerError
        minted = MintedKey.parse(call.key)
        if minted is None:
            return await self._answer_held(call)
        return await self._answer_minted(call, minted)

    async def _answer_minted(self, call: Call, key: MintedKey) -> CallResult:
        """Answer a call under a key of this process."""
        if not self.minter.is_genuine(key, call.profile.organisation):
            return Failure(unrecognised_key())
        remembered = self.ledger.find(call.key)
        if remembered is not None:
            return await self._repeat(call, remembered)
        if self.minter.is_spent(key):
            return Failure(result_expired())
        self.minter.spend(key)
        return await self._start(call.key, call, self._run_owned)

    async def _answer_own_key(self, call: Call) -> CallResult:
        """Answer a call under a caller's own key."""
        if not is_valid_key(call.key):
            return Failure(malformed_key())
        if resembles_minted(call.key):
            return Failure(unrecognised_key())
        remembered = self.ledger.find(_own_id(call))
        if remembered is not None:
            return await self._repeat(call, remembered)
        made_at_s = key_time_s(call.key)
        if made_at_s is not None and self._is_too_old(made_at_s):
            return Failure(result_expired())
        claimant = self.directory.claimant_of(shard_of(_own_id(call)))
        if claimant in ("", self.minter.host):
            return await self._claim_here(call)
        try:
            return await self.peers.forward(claimant, "", PeerStep.CLAIM, call)
        except NotOwnerError:
            return await self._claim_here(call)
        except PeerError as error:
            if error.sent:
                return Failure(owner_unreachable(claimant, str(error)))
            return await self._claim_here(call)

    def _is_too_old(self, made_at_s: float) -> bool:
        return made_at_s < self.clock.wall_s() - self.claims.window_s

    async def _claim_here(self, call: Call) -> CallResult:
        """Claim a caller's own key at this entry, and run it when that is won."""
        remembered = self.ledger.find(_own_id(call))
        if remembered is not None:
            return await self._repeat(call, remembered)
        return await self._start(_own_id(call), call, self._claim_and_run)

    async def _answer_held(self, call: Call) -> CallResult:
        """Answer a repeat of an own key that the log says this process holds."""
        remembered = self.ledger.find(_own_id(call))
        if remembered is not None:
            return await self._repeat(call, remembered)
        return await self._start(_own_id(call), call, self._run_abandoned)

    async def _repeat(self, call: Call, remembered: RememberedCall) -> CallResult:
        """Answer a repeat from memory."""
        if remembered.fingerprint != call.fingerprint:
            return Failure(key_reused_for_different_call())
        self.metrics.count("calls.repeats")
        match remembered:
            case FinishedCall(result=result):
                return result
            case RunningCall(future=future):
                return await asyncio.shield(future)

    async def _start(self, call_id: str, call: Call, job: Job) -> CallResult:
        """Start the only run of a call; it goes on when the caller leaves."""
        running = self.ledger.begin(call_id, call.fingerprint)
        task = asyncio.create_task(self._settle(call_id, call, job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(running.future)

    async def _settle(self, call_id: str, call: Call, job: Job) -> None:
        """Run a call to its end and keep its result where this process owns it."""
        try:
            settlement = await job(call)
        except Exception:
            logger.exception("call ended by a fault")
            settlement = Settlement(result=Failure(internal_error()), owned=True)
        if not settlement.owned:
            self.ledger.drop(call_id, settlement.result)
            return
        self.ledger.finish(call_id, settlement.result)
        self.archive.note(call_id, call.fingerprint, settlement.result)

    async def _run_owned(self, call: Call) -> Settlement:
        return Settlement(result=await self.runner.send_once(call), owned=True)

    async def _claim_and_run(self, call: Call) -> Settlement:
        """Claim an own key and run it, or ask the process that was first."""
        call_id = _own_id(call)
        shard = self.claims.shard(shard_of(call_id))
        if self.claims.is_full and shard.find(call_id) is None:
            return Settlement(result=Failure(too_many_keys()), owned=False)
        match await shard.claim(call_id, call.fingerprint):
            case ClaimWon():
                return await self._run_owned(call)
            case ClaimLost(held=held):
                result = await self._ask_holder(call, held)
            case ClaimFailed(reason=reason, complete=True):
                result = Failure(claim_log_unavailable(reason))
            case ClaimFailed(reason=reason):
                result = Failure(key_history_unreadable(reason))
        return Settlement(result=result, owned=False)

    async def _run_abandoned(self, call: Call) -> Settlement:
        """Run an own key of this process whose claim was given up before."""
        call_id = _own_id(call)
        match self.claims.shard(shard_of(call_id)).verdict(call_id):
            case ClaimWon():
                return await self._run_owned(call)
            case _:
                return Settlement(result=Failure(result_expired()), owned=False)

    async def _ask_holder(self, call: Call, held: HeldKey) -> CallResult:
        """Get the result of an own key from the process that holds it."""
        if held.fingerprint != call.fingerprint:
            return Failure(key_reused_for_different_call())
        holder = held.holder
        if (
            holder.host == self.minter.host
            and holder.incarnation == self.minter.incarnation
        ):
            return Failure(result_expired())
        owner = MintedId(host=holder.host, incarnation=holder.incarnation, sequence=0)
        return await self._ask_owner(call, owner, _own_id(call))

    async def _ask_owner(self, call: Call, owner: MintedId, call_id: str) -> CallResult:
        """Get the result of a call from its owner, or from what the owner left."""
        if owner.host == self.minter.host or not self.directory.is_member(owner.host):
            return await self._find_archived(call, owner, call_id)
        self.metrics.count("calls.forwarded")
        try:
            return await self.peers.forward(
                owner.host, owner.incarnation, PeerStep.OWN, call
            )
        except NotOwnerError:
            return await self._find_archived(call, owner, call_id)
        except PeerError as error:
            unreachable = Failure(owner_unreachable(owner.host, str(error)))
        archived = await self._find_archived(call, owner, call_id)
        return unreachable if _is_unknown(archived) else archived

    async def _find_archived(
        self, call: Call, owner: MintedId, call_id: str
    ) -> CallResult:
        """Answer with the result that a process which ended left in the log."""
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


def _own_id(call: Call) -> str:
    """Return the id of a call under a caller's own key."""
    return own_key_id(
        organisation=call.profile.organisation,
        service=call.profile.service,
        key=call.key,
    )


def _is_unknown(result: CallResult) -> bool:
    """Return whether a result says that the outcome is unknown."""
    match result:
        case Failure(OutcomeUnknown()):
            return True
        case _:
            return False
