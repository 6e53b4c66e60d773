"""Sends a planned load, open loop: arrivals never wait for answers."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import aiohttp
import msgspec
from returns.result import Failure, Success

from lacewinglug.caller import AnswerFailedError, CallerClient
from lacewinglug.clock import Clock
from lacewinglug.load.plan import Arrival
from lacewinglug.load.summary import RequestResult
from lacewinglug.requests.answers import PromptBody

ANSWERED = "answered"
CONNECTION_LOST = "connection_lost"
_PROGRESS_INTERVAL = 100


@dataclass(kw_only=True)
class LoadDriver:
    """Sends arrivals and collects their results.

    :param caller: client of the entry hosts.
    :param clock: source of time.
    :param on_progress: called with the number of results so far.
    """

    caller: CallerClient
    clock: Clock
    on_progress: Callable[[int], None]
    results: list[RequestResult] = field(default_factory=list)

    async def run(self, arrivals: Iterable[Arrival]) -> list[RequestResult]:
        """Send every arrival at its time and return all results."""
        started_s = self.clock.now_s()
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                wait_s = started_s + arrival.at_s - self.clock.now_s()
                if wait_s > 0:
                    await self.clock.sleep(wait_s)
                group.create_task(self._send(arrival))
        return self.results

    async def _send(self, arrival: Arrival) -> None:
        try:
            if arrival.prompt_tokens > 0:
                result = await self._send_prompt(arrival)
            else:
                result = await self._send_call(arrival)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            result = RequestResult(
                kind=arrival.kind, outcome=CONNECTION_LOST, latency_s=0.0
            )
        self.results.append(result)
        if len(self.results) % _PROGRESS_INTERVAL == 0:
            self.on_progress(len(self.results))

    async def _send_prompt(self, arrival: Arrival) -> RequestResult:
        words = [f"{arrival.number}", *["word"] * (arrival.prompt_tokens - 1)]
        body = PromptBody(
            prompt=" ".join(words), max_tokens=arrival.output_tokens, kind=arrival.kind
        )
        started_s = self.clock.now_s()
        first_token_s = 0.0
        tokens = 0
        outcome = ANSWERED
        try:
            async for _ in self.caller.send_prompt(arrival.service, body):
                tokens += 1
                if tokens == 1:
                    first_token_s = self.clock.now_s() - started_s
        except AnswerFailedError as error:
            outcome = error.body.outcome
        return RequestResult(
            kind=arrival.kind,
            outcome=outcome,
            latency_s=self.clock.now_s() - started_s,
            first_token_s=first_token_s,
            tokens=tokens,
        )

    async def _send_call(self, arrival: Arrival) -> RequestResult:
        started_s = self.clock.now_s()
        key = await self.caller.mint_key()
        sends = [
            self.caller.send_call(
                arrival.service, arrival.kind, str(arrival.number), key=key
            )
            for _ in range(1 + arrival.repeats)
        ]
        first, *_ = await asyncio.gather(*sends)
        match first:
            case Success(_):
                outcome = ANSWERED
            case Failure(body):
                outcome = body.outcome
        return RequestResult(
            kind=arrival.kind,
            outcome=outcome,
            latency_s=self.clock.now_s() - started_s,
        )
