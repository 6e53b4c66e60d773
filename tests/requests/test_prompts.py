"""Tests of the relay of prompts under seeded faults of the engines."""

import random
from collections import Counter

import msgspec
import pytest

from lacewinglug.requests.answers import AnswerEnd
from lacewinglug.requests.prompts import _AnswerRelay
from lacewinglug.requests.sequence import AnswerSequence
from lacewinglug.upstream.messages import EndLine
from tests.requests.fakes import (
    FAULTS,
    FakeDispatcher,
    FakeEngines,
    collect_lines,
    make_body,
    make_relay,
    make_stream,
)
from tests.streams import judge_answer

RUNNERS = ["a", "b", "c", "d"]


async def run_streams(seed, count, **engine_options):
    """Relay prompts under faults; return outcomes, problems and counters."""
    rng = random.Random(seed)
    dispatcher = FakeDispatcher(RUNNERS, rng)
    relay = make_relay(FakeEngines(rng, **engine_options), dispatcher)
    outcomes = Counter()
    problems = []
    for number in range(count):
        body = make_body(number, rng.randint(1, 40))
        lines = await collect_lines(relay, make_stream(number), body)
        outcome, found = judge_answer(body.prompt, body.max_tokens, lines)
        outcomes[outcome] += 1
        problems += [f"seed {seed}, prompt {number}: {text}" for text in found]
    assert not dispatcher.open_dispatches
    return outcomes, problems, relay.metrics.counts


@pytest.mark.parametrize("seed", range(4))
async def test_every_stream_is_whole_or_explicitly_failed(seed):
    outcomes, problems, counts = await run_streams(seed, 1000)
    assert problems == []
    assert outcomes["answered"] > 900
    assert counts["prompts.crossed_lines"] > 0
    assert counts["prompts.late_lines"] > 0
    assert counts["prompts.gaps"] > 0


@pytest.mark.parametrize("fault", FAULTS)
async def test_each_fault_alone_leaves_no_seam(fault):
    outcomes, problems, _ = await run_streams(1, 200, faults=(fault,), noise_share=0.3)
    assert problems == []
    assert outcomes["answered"] > 150


async def test_engines_that_all_refuse_unsent_prompts_leave_it_not_run():
    outcomes, problems, _ = await run_streams(1, 50, faults=("busy",), fault_share=1.0)
    assert problems == []
    assert outcomes == {"not_run": 50}


async def test_engines_that_all_break_give_a_typed_failure():
    outcomes, problems, _ = await run_streams(
        1, 50, faults=("refuse",), fault_share=1.0
    )
    assert problems == []
    assert outcomes == {"failed_while_running": 50}


async def test_engine_that_is_offered_again_gets_time_to_come_back():
    rng = random.Random(1)
    dispatcher = FakeDispatcher(["a"], rng)
    place = dispatcher.place
    dispatcher.place = lambda profile, **_: place(profile)
    relay = make_relay(FakeEngines(rng, faults=("busy",), fault_share=1.0), dispatcher)
    relay.clock.on_sleep = lambda now_s: (
        now_s > 2.0 and setattr(relay.client, "fault_share", 0.0)
    )
    body = make_body(1, 5)
    lines = await collect_lines(relay, make_stream(), body)
    assert judge_answer(body.prompt, 5, lines) == ("answered", [])
    assert not dispatcher.open_dispatches


def take_crossed(accept):
    def mutant(self, lines):
        own = [
            msgspec.structs.replace(line, request_id=self.request_id) for line in lines
        ]
        return accept(self, own)

    return mutant


def take_late(accept):
    def mutant(self, lines):
        accepted = []
        for line in lines:
            if line.request_id == self.request_id and not isinstance(line, EndLine):
                self.next_index = line.index
            accepted += accept(self, [line])
        return accepted

    return mutant


def take_any_end(accept):
    def mutant(self, lines):
        for line in lines:
            if isinstance(line, EndLine) and line.request_id == self.request_id:
                self.next_index = line.tokens
        return accept(self, lines)

    return mutant


@pytest.mark.parametrize("mutate", [take_crossed, take_late, take_any_end])
async def test_judge_fails_mutants_of_the_sequence(mutate, monkeypatch):
    monkeypatch.setattr(AnswerSequence, "accept", mutate(AnswerSequence.accept))
    _, problems, _ = await run_streams(0, 200)
    assert problems


async def test_judge_fails_a_mutant_that_claims_an_end(monkeypatch):
    monkeypatch.setattr(
        _AnswerRelay,
        "_give_up",
        lambda self: [AnswerEnd(tokens=self.sequence.next_index)],
    )
    _, problems, _ = await run_streams(0, 200, faults=("refuse",), fault_share=0.95)
    assert problems
