"""Tests of recorded outcomes and request profiles."""

from lacewinglug.routing.prefix import BLOCK_TOKENS
from tests.entry.local import local_entry


async def test_outcome_names_runner_and_default_kind():
    async with local_entry(token_interval_s=0.0) as entry:
        noted = []
        entry.app.context.recorder.note = noted.append
        async with entry.prompt() as response:
            await response.read()
        (outcome,) = noted
        assert outcome.outcome == "answered"
        assert outcome.kind == next(
            iter(entry.app.view.fleet.services["assistant"].kinds)
        )
        assert outcome.runner in entry.engines


async def test_prompts_with_a_common_prefix_go_to_the_runner_that_caches_it():
    async with local_entry(token_interval_s=0.0) as entry:
        prefix = "word " * BLOCK_TOKENS
        noted = []
        entry.app.context.recorder.note = noted.append
        for number in range(4):
            async with entry.prompt(prompt=f"{prefix}{number}") as response:
                await response.read()
        assert len({outcome.runner for outcome in noted}) == 1
