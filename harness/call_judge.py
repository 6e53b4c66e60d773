"""Callers that repeat their calls, and the judge of what they were told."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from returns.result import Failure, Success

from harness.call_fleet import CallFleet, EntryGoneError, expected_result
from lacewinglug.requests.ledger import CallResult
from lacewinglug.requests.outcomes import NotRun, OutcomeUnknown, outcome_name

_MAX_SENDS = 5
_LOST = "connection_lost"


@dataclass(frozen=True, kw_only=True, slots=True)
class Told:
    """One answer to one copy of a call.

    :param result: the answer, None for a connection that was lost.
    :param runs: runs of the key in the journal when the answer came.
    """

    result: CallResult | None
    runs: int


@dataclass(kw_only=True)
class CallerStory:
    """One call and everything that its caller was told of it."""

    key: str
    body: bytes
    organisation: str
    is_minted: bool
    told: list[Told] = field(default_factory=list)

    @property
    def last_outcome(self) -> str:
        """Name of the last answer's kind."""
        match self.told[-1].result if self.told else None:
            case Success(_):
                return "answered"
            case Failure(failure):
                return outcome_name(failure)
            case _:
                return _LOST


@dataclass(kw_only=True)
class Callers:
    """Sends many calls, each until its outcome is settled.

    :param fleet: the entries.
    :param rng: decides where and when calls are sent.
    :param minted_share: share of calls under minted keys.
    :param duplicate_share: share of calls sent to two entries at once.
    :param repeat_share: share of answered calls that are sent again later.
    """

    fleet: CallFleet
    rng: random.Random
    minted_share: float = 0.5
    duplicate_share: float = 0.3
    repeat_share: float = 0.3
    stories: list[CallerStory] = field(default_factory=list)

    async def run(self, count: int, *, spacing_s: float = 0.01) -> None:
        """Send calls at an interval and wait for all of them."""
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._tell(number))
                await asyncio.sleep(spacing_s)

    async def _tell(self, number: int) -> None:
        story = self._make_story(number)
        if story is None:
            return
        self.stories.append(story)
        sends = 2 if self.rng.random() < self.duplicate_share else 1
        for _ in range(_MAX_SENDS):
            async with asyncio.TaskGroup() as group:
                for _ in range(sends):
                    group.create_task(self._send(story, self._pick()))
            sends = 1
            if not self._wants_repeat(story):
                return
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))

    def _make_story(self, number: int) -> CallerStory | None:
        host = self._pick()
        is_minted = self.rng.random() < self.minted_share
        if is_minted and not self.fleet.entries[host].alive:
            return None
        organisation = ("north", "south")[number % 2]
        key = f"order-{number // 2}"
        if is_minted:
            key = self.fleet.mint(host, organisation)
        return CallerStory(
            key=key,
            body=f"{number}".encode(),
            organisation=organisation,
            is_minted=is_minted,
        )

    def _pick(self) -> str:
        return self.rng.choice(self.fleet.hosts)

    def _wants_repeat(self, story: CallerStory) -> bool:
        match story.told[-1].result:
            case None:
                return True
            case Failure(NotRun() | OutcomeUnknown() as failure):
                return failure.repeat_with == "same_key"
            case _:
                return self.rng.random() < self.repeat_share

    async def _send(self, story: CallerStory, host: str) -> None:
        result: CallResult | None
        try:
            result = await self.fleet.send(
                host, story.key, story.body, story.organisation
            )
        except EntryGoneError:
            result = None
        runs = sum(1 for line in self.fleet.service.journal if _is_of(line, story))
        story.told.append(Told(result=result, runs=runs))


def _is_of(line: object, story: CallerStory) -> bool:
    return (line.key, line.organisation) == (story.key, story.organisation)


def find_violations(
    fleet: CallFleet, stories: list[CallerStory], *, views_differ: bool = False
) -> list[str]:
    """Return what was promised to callers and did not hold.

    :param fleet: the entries and the service with its journal.
    :param stories: what the callers were told.
    :param views_differ: whether entries disagree on who claims a key while the
        log is down; then a refusal that leaves the key open speaks for its own
        copy of the call only.
    """
    runs = Counter((line.organisation, line.key) for line in fleet.service.journal)
    problems = [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
    for story in stories:
        count = runs[story.organisation, story.key]
        for told in story.told:
            problems += [
                f"{story.key}: {problem}"
                for problem in _check(story, told, count, views_differ)
            ]
        if count and all(_is_not_run(told.result) for told in story.told):
            problems.append(f"{story.key}: ran after every copy was 'not run'")
    return problems


def _is_not_run(result: CallResult | None) -> bool:
    match result:
        case Failure(NotRun()):
            return True
        case _:
            return False


def _check(story: CallerStory, told: Told, runs: int, views_differ: bool) -> list[str]:
    """Return what is wrong with one answer.

    :param runs: runs of the key in the whole journal.
    """
    match told.result:
        case Success(reply):
            expected = (story.key, expected_result(story.body))
            if (reply.key, reply.result) != expected:
                return ["the answer to another call"]
            return [] if runs == 1 else ["answered without a run"]
        case Failure(NotRun(repeat_with="new_key")):
            return ["ran after a final 'not run'"] if runs else []
        case Failure(NotRun()) if not views_differ:
            return ["'not run' after it had run"] if told.runs else []
        case _:
            return []
