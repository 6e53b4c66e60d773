"""The weight store's client and stand-in: rate limit, refusals, outages."""

import asyncio
import socket

import aiohttp
import pytest
import uvicorn
from starlette.applications import Starlette

from lacewinglug.backing.weights import HttpWeightStoreClient, WeightsUnavailableError
from lacewinglug.standin.weights import WeightLimits, WeightStoreStandin


@pytest.fixture
async def store():
    """Yield a stand-in that listens, and a client of it."""
    standin = WeightStoreStandin()
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    app = Starlette(routes=standin.routes())
    server = uvicorn.Server(uvicorn.Config(app, log_level="warning", lifespan="off"))
    task = asyncio.create_task(server.serve(sockets=[listener]))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    async with aiohttp.ClientSession() as session:
        yield standin, HttpWeightStoreClient(session=session, base_url=url)
    server.should_exit = True
    await task


async def test_pull_returns_the_size(store):
    standin, client = store
    await client.check("m/v1")
    assert standin.journal.pulls == []
    assert await client.pull("m/v1") > 0
    assert standin.journal.pulls == ["m/v1"]


@pytest.mark.parametrize(
    ("limits", "message", "retry_after_s"),
    [
        (WeightLimits(slots=0, retry_after_s=7.0), "rate limit", 7.0),
        (WeightLimits(down=True), "status 503", 5.0),
        (WeightLimits(missing=("m/v1",)), "put them into the store", 5.0),
    ],
)
async def test_refusal_names_the_retry_time(store, limits, message, retry_after_s):
    standin, client = store
    standin.limits = limits
    for request in (client.check, client.pull):
        with pytest.raises(WeightsUnavailableError, match=message) as caught:
            await request("m/v1")
        assert caught.value.retry_after_s == retry_after_s


async def test_pulls_over_the_limit_are_refused(store):
    standin, client = store
    standin.limits = WeightLimits(slots=2, pull_s=0.5)
    pulls = (client.pull("m/v1") for _ in range(5))
    done = await asyncio.gather(*pulls, return_exceptions=True)
    assert sum(isinstance(item, WeightsUnavailableError) for item in done) == 3
    assert (standin.journal.peak, standin.journal.refused) == (2, 3)


async def test_silent_store_is_an_error_of_its_own():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        async with aiohttp.ClientSession() as session:
            client = HttpWeightStoreClient(session=session, base_url=url)
            with pytest.raises(WeightsUnavailableError, match="does not answer"):
                await client.check("m/v1")
