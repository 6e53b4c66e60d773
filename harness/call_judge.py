"""Simulated callers that repeat calls, and checks of the answers they got."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from returns.result import Failure, Success

from harness.call_fleet import CallFleet, EntryGoneError, expected_result
from lacewinglug.requests.ledger import CallResult
from lacewinglug.requests.outcomes import NotRun, OutcomeUnknown, outcome_name

_MAX_SENDS = 5
_CONNECTION_LOST = "connection_lost"


@dataclass(frozen=True, kw_only=True, slots=True)
class ObservedAnswer:
    """Answer to one copy of a call.

    :param result: the answer, None if the connection was lost.
    :param execution_count: executions under the key when the answer arrived.
    """

    result: CallResult | None
    execution_count: int


@dataclass(kw_only=True)
class CallHistory:
    """A call and all answers that its caller got."""

    key: str
    body: bytes
    organisation: str
    is_minted: bool
    answers: list[ObservedAnswer] = field(default_factory=list)

    @property
    def last_outcome(self) -> str:
        """Name of the outcome in the last answer."""
        match self.answers[-1].result if self.answers else None:
            case Success(_):
                return "answered"
            case Failure(failure):
                return outcome_name(failure)
            case _:
                return _CONNECTION_LOST


@dataclass(kw_only=True)
class SimulatedCallers:
    """Sends many calls and repeats those whose outcome is still open.

    :param fleet: the fleet under test.
    :param rng: chooses entries and delays.
    :param minted_key_share: share of calls under minted keys.
    :param duplicate_share: share of calls sent as two concurrent copies at first.
    :param repeat_share: share of answered calls that are repeated later.
    """

    fleet: CallFleet
    rng: random.Random
    minted_key_share: float = 0.5
    duplicate_share: float = 0.3
    repeat_share: float = 0.3
    histories: list[CallHistory] = field(default_factory=list)

    async def run(self, count: int, *, spacing_s: float = 0.01) -> None:
        """Send calls at a fixed interval and wait until all are done."""
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._run_call(number))
                await asyncio.sleep(spacing_s)

    async def _run_call(self, number: int) -> None:
        history = self._make_history(number)
        if history is None:
            return
        self.histories.append(history)
        sends = 2 if self.rng.random() < self.duplicate_share else 1
        for _ in range(_MAX_SENDS):
            async with asyncio.TaskGroup() as group:
                for _ in range(sends):
                    group.create_task(self._send_copy(history, self._pick_host()))
            sends = 1
            if not self._should_repeat(history):
                return
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))

    def _make_history(self, number: int) -> CallHistory | None:
        host = self._pick_host()
        is_minted = self.rng.random() < self.minted_key_share
        if is_minted and not self.fleet.entries[host].is_alive:
            return None
        organisation = ("north", "south")[number % 2]
        key = f"order-{number // 2}"
        if is_minted:
            key = self.fleet.mint_key(host, organisation)
        return CallHistory(
            key=key,
            body=f"{number}".encode(),
            organisation=organisation,
            is_minted=is_minted,
        )

    def _pick_host(self) -> str:
        return self.rng.choice(self.fleet.hosts)

    def _should_repeat(self, history: CallHistory) -> bool:
        match history.answers[-1].result:
            case None:
                return True
            case Failure(NotRun() | OutcomeUnknown() as failure):
                return failure.repeat_with == "same_key"
            case _:
                return self.rng.random() < self.repeat_share

    async def _send_copy(self, history: CallHistory, host: str) -> None:
        result: CallResult | None
        try:
            result = await self.fleet.send_call(
                host, history.key, history.body, history.organisation
            )
        except EntryGoneError:
            result = None
        execution_count = sum(
            1
            for execution in self.fleet.service.executions
            if _is_execution_of(execution, history)
        )
        history.answers.append(
            ObservedAnswer(result=result, execution_count=execution_count)
        )


def _is_execution_of(execution: object, history: CallHistory) -> bool:
    return (execution.key, execution.organisation) == (
        history.key,
        history.organisation,
    )


def find_violations(
    fleet: CallFleet, histories: list[CallHistory], *, views_differ: bool = False
) -> list[str]:
    """Return descriptions of violated guarantees.

    :param fleet: the fleet, with the executions at its service.
    :param histories: the calls and their answers.
    :param views_differ: whether entries disagree on a key's claimant while the log
        is down; a refusal to be repeated with the same key then says nothing
        about other copies of the call.
    """
    executions_by_call = Counter(
        (execution.organisation, execution.key)
        for execution in fleet.service.executions
    )
    problems = [
        f"{key} ran {execution_count} times"
        for key, execution_count in executions_by_call.items()
        if execution_count > 1
    ]
    for history in histories:
        execution_count = executions_by_call[history.organisation, history.key]
        for answer in history.answers:
            problems += [
                f"{history.key}: {problem}"
                for problem in _find_problems(
                    history, answer, execution_count, views_differ
                )
            ]
        if execution_count and all(
            _is_not_run(answer.result) for answer in history.answers
        ):
            problems.append(f"{history.key}: ran after every copy was 'not run'")
    return problems


def _is_not_run(result: CallResult | None) -> bool:
    match result:
        case Failure(NotRun()):
            return True
        case _:
            return False


def _find_problems(
    history: CallHistory,
    answer: ObservedAnswer,
    execution_count: int,
    views_differ: bool,
) -> list[str]:
    """Return descriptions of the guarantees that one answer violates.

    :param execution_count: executions under the key by the end of the test.
    """
    match answer.result:
        case Success(reply):
            expected = (history.key, expected_result(history.body))
            if (reply.key, reply.result) != expected:
                return ["the answer to another call"]
            return [] if execution_count == 1 else ["answered without a run"]
        case Failure(NotRun(repeat_with="new_key")):
            return ["ran after a final 'not run'"] if execution_count else []
        case Failure(NotRun()) if not views_differ:
            return ["'not run' after it had run"] if answer.execution_count else []
        case _:
            return []
