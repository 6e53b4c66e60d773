"""Tests of the prompt relay with seeded random engine faults."""

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
    """Relay prompts to faulty engines.

    Return the number of answers by outcome, the problems found by the judge, and the
    counters of the relay.
    """
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
async def test_every_answer_is_complete_or_ends_in_a_failure(seed):
    outcomes, problems, counts = await run_streams(seed, 1000)
    assert problems == []
    assert outcomes["answered"] > 900
    assert counts["prompts.crossed_lines"] > 0
    assert counts["prompts.late_lines"] > 0
    assert counts["prompts.gaps"] > 0


@pytest.mark.parametrize("fault", FAULTS)
async def test_each_fault_alone_never_corrupts_an_answer(fault):
    outcomes, problems, _ = await run_streams(
        1, 200, faults=(fault,), stray_line_rate=0.3
    )
    assert problems == []
    assert outcomes["answered"] > 150


async def test_prompt_is_not_run_if_it_reaches_no_engine():
    outcomes, problems, _ = await run_streams(1, 50, faults=("busy",), fault_rate=1.0)
    assert problems == []
    assert outcomes == {"not_run": 50}


async def test_prompt_fails_while_running_if_all_engines_break():
    outcomes, problems, _ = await run_streams(1, 50, faults=("refuse",), fault_rate=1.0)
    assert problems == []
    assert outcomes == {"failed_while_running": 50}


async def test_failed_engine_is_retried_after_a_delay():
    rng = random.Random(1)
    dispatcher = FakeDispatcher(["a"], rng)
    place = dispatcher.place
    dispatcher.place = lambda profile, **_: place(profile)
    relay = make_relay(FakeEngines(rng, faults=("busy",), fault_rate=1.0), dispatcher)
    relay.clock.on_sleep = lambda now_s: (
        now_s > 2.0 and setattr(relay.client, "fault_rate", 0.0)
    )
    body = make_body(1, 5)
    lines = await collect_lines(relay, make_stream(), body)
    assert judge_answer(body.prompt, 5, lines) == ("answered", [])
    assert not dispatcher.open_dispatches


def accept_lines_of_other_requests(accept):
    def mutant(self, lines):
        own = [
            msgspec.structs.replace(line, request_id=self.request_id) for line in lines
        ]
        return accept(self, own)

    return mutant


def accept_repeated_tokens(accept):
    def mutant(self, lines):
        accepted = []
        for line in lines:
            if line.request_id == self.request_id and not isinstance(line, EndLine):
                self.next_index = line.index
            accepted += accept(self, [line])
        return accepted

    return mutant


def accept_any_end(accept):
    def mutant(self, lines):
        for line in lines:
            if isinstance(line, EndLine) and line.request_id == self.request_id:
                self.next_index = line.tokens
        return accept(self, lines)

    return mutant


@pytest.mark.parametrize(
    "mutate", [accept_lines_of_other_requests, accept_repeated_tokens, accept_any_end]
)
async def test_judge_detects_mutants_of_the_sequence(mutate, monkeypatch):
    monkeypatch.setattr(AnswerSequence, "accept", mutate(AnswerSequence.accept))
    _, problems, _ = await run_streams(0, 200)
    assert problems


async def test_judge_detects_a_mutant_that_reports_a_failed_answer_as_complete(
    monkeypatch,
):
    monkeypatch.setattr(
        _AnswerRelay,
        "_final_failure",
        lambda self: [AnswerEnd(tokens=self.sequence.next_index)],
    )
    _, problems, _ = await run_streams(0, 200, faults=("refuse",), fault_rate=0.95)
    assert problems
