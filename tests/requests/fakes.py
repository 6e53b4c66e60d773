"""Fake dependencies of the prompt relay."""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
from returns.result import Failure, Success

from lacewinglug.entry.view import EntryView
from lacewinglug.metrics import Metrics
from lacewinglug.requests.answers import PromptBody
from lacewinglug.requests.outcomes import NotRun, failure_body
from lacewinglug.requests.prompts import PromptRelay
from lacewinglug.requests.streams import OpenStream
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.standin.engine import expected_token
from lacewinglug.upstream.client import RunnerError
from lacewinglug.upstream.messages import EndLine, TokenLine

FAULTS = ("none", "crash", "short", "gap", "early_end", "no_end", "refuse", "busy")


@dataclass
class FakeClock:
    """Clock that advances only during sleeps."""

    now: float = 0.0
    on_sleep: object = staticmethod(lambda now_s: None)

    def now_s(self):
        return self.now

    async def sleep(self, delay_s):
        self.now += delay_s
        self.on_sleep(self.now)
        await asyncio.sleep(0)


@dataclass
class FakeDispatch:
    """A placement, which must be closed exactly once."""

    priority = 0

    runner: str
    profile: RequestProfile
    open_dispatches: set
    url: str = ""

    def record_token(self):
        pass

    def close(self, *, succeeded):
        self.open_dispatches.remove(id(self))


@dataclass
class FakeDispatcher:
    """Places requests on a random runner that is not excluded."""

    runners: list
    random: random.Random
    open_dispatches: set = field(default_factory=set)

    async def place(
        self, profile, *, failed_runners=(), vacated_runners=(), answer_started=False
    ):
        closed = {*failed_runners, *vacated_runners}
        free = [name for name in self.runners if name not in closed]
        if not free:
            return Failure(NotRun(reason="none is free", remedy="wait"))
        dispatch = FakeDispatch(self.random.choice(free), profile, self.open_dispatches)
        dispatch.url = dispatch.runner
        self.open_dispatches.add(id(dispatch))
        return Success(dispatch)


@dataclass
class FakeEngines:
    """Engines that crash, or that repeat, skip or mix up lines, at random."""

    random: random.Random
    fault_rate: float = 0.5
    stray_line_rate: float = 0.1
    faults: tuple = FAULTS

    async def generate(self, url, message):
        fault = "none"
        if self.random.random() < self.fault_rate:
            fault = self.random.choice(self.faults)
        if fault in ("refuse", "busy"):
            raise RunnerError(fault, sent=fault == "refuse")
        first, count = message.resume_from, message.max_tokens
        break_at = self.random.randint(first, count)
        batch = []
        for index in range(first, count):
            batch += self._make_stray_lines(message, index)
            if index == break_at and fault in ("crash", "short", "early_end"):
                break
            if index == break_at and fault == "gap":
                continue
            batch.append(make_token_line(message, index))
            if self.random.random() < 0.5:
                yield batch
                batch = []
        if fault not in ("crash", "short", "no_end"):
            batch.append(EndLine(request_id=message.request_id, tokens=count))
        if batch:
            yield batch
        await asyncio.sleep(0)
        if fault == "crash":
            raise RunnerError("connection reset", sent=True)

    def _make_stray_lines(self, message, index):
        """Return lines of another request and lines that were sent before."""
        lines = []
        if self.random.random() < self.stray_line_rate:
            other = msgspec.structs.replace(message, request_id="other", prompt="other")
            lines.append(make_token_line(other, index))
            lines.append(EndLine(request_id="other", tokens=index))
        if index and self.random.random() < self.stray_line_rate:
            lines.append(make_token_line(message, self.random.randrange(index)))
        return lines


def make_token_line(message, index):
    return TokenLine(
        request_id=message.request_id,
        index=index,
        text=expected_token(message.prompt, index),
    )


async def no_heartbeat(stream):
    """Send nothing."""


def make_stream(number=0, *, prompt_tokens=10, deadline_s=1e9, task=None):
    profile = RequestProfile(
        request_id=f"r{number}",
        service="assistant",
        kind="",
        organisation="",
        weight=1.0,
        deadline_s=deadline_s,
        idempotent=True,
        prompt_tokens=prompt_tokens,
    )
    return OpenStream(profile=profile, task=task, send_heartbeat=no_heartbeat)


def make_relay(engines, dispatcher, clock=None):
    return PromptRelay(
        dispatcher=dispatcher,
        client=engines,
        view=EntryView(availability_zone="mtl-a"),
        clock=clock or FakeClock(),
        metrics=Metrics(),
    )


async def collect_lines(relay, stream, body):
    """Return the lines that the caller of a prompt receives."""
    lines = []
    async for batch in relay.relay(stream, body):
        if isinstance(batch, list):
            lines += [msgspec.json.encode(line) for line in batch]
        else:
            lines.append(msgspec.json.encode(failure_body(batch)))
    return lines


def make_body(number, max_tokens):
    return PromptBody(prompt=f"prompt {number}", max_tokens=max_tokens)
