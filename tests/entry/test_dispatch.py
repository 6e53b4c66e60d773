"""Tests of placing requests on runners."""

import pytest

from lacewinglug.requests.outcomes import NotRun
from lacewinglug.routing.profile import RequestProfile
from tests.entry.local import local_entry


def make_profile(dispatcher, **changes):
    fields = {
        "request_id": "r",
        "service": "assistant",
        "kind": "kiosk",
        "organisation": "volt",
        "weight": 1.0,
        "deadline_s": dispatcher.clock.now_s() + 30.0,
        "idempotent": True,
        "prompt_tokens": 4,
        "output_tokens": 100,
    }
    return RequestProfile(**fields | changes)


async def place_next(dispatcher, **options):
    """Place a request with options, then one without; return both runners."""
    runners = []
    for chosen in (options, {}):
        placed = await dispatcher.place(make_profile(dispatcher), **chosen)
        dispatch = placed.unwrap()
        dispatch.close(succeeded=True)
        runners.append(dispatch.runner)
    return runners


@pytest.mark.parametrize("names", ["ab", "ba"])
async def test_failed_runner_is_avoided_later_and_a_vacated_one_is_not(names):
    first, other = names
    async with local_entry() as entry:
        dispatcher = entry.app.prompt_handler.relay.dispatcher
        assert await place_next(dispatcher, vacated_runners=[first]) == [other, "a"]
        assert await place_next(dispatcher, failed_runners=[first]) == [other, other]


async def test_started_answer_bypasses_admission():
    async with local_entry() as entry:
        dispatcher = entry.app.prompt_handler.relay.dispatcher
        outcomes = []
        for _ in range(400):
            placed = await dispatcher.place(make_profile(dispatcher))
            outcomes.append(placed)
        refused = [
            item for item in outcomes if isinstance(item.swap().value_or(0), NotRun)
        ]
        assert refused
        begun = await dispatcher.place(make_profile(dispatcher), answer_started=True)
        assert begun.unwrap().runner in entry.engines
