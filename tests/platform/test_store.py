"""Tests of the store client's calls and of its errors."""

import asyncio

import pytest

from lacewinglug.platform.store import StoreClient, StoreError
from tests.platform.standin import FakeStore


@pytest.fixture
async def store():
    standin = await FakeStore().open()
    yield standin
    standin.close()


async def test_read_newest_returns_the_newest_value_of_each_key(store):
    client = StoreClient(address=store.address)
    await client.put("keyed.hosts", key="a", value=b"1")
    await client.put("keyed.hosts", key="b", value=b"2")
    await client.put("keyed.hosts", key="a", value=b"3")
    await client.put("keyed.hosts", key="b", value=b"")
    snapshot = await client.read_newest("keyed.hosts")
    assert (snapshot.values, snapshot.end_offset) == ({"a": b"3"}, 4)


async def test_append_at_fails_unless_the_topic_ends_there(store):
    client = StoreClient(address=store.address)
    assert await client.append_at("claims", b"x", offset=0)
    assert not await client.append_at("claims", b"y", offset=0)
    assert await client.append_at("claims", b"y", offset=1)
    assert await client.read_records("claims", from_offset=1) == ([b"y"], 2)


async def test_wait_for_records_returns_at_the_next_record(store):
    client = StoreClient(address=store.address)
    assert not await client.wait_for_records("t", from_offset=0, wait_s=0.05)
    waiting = asyncio.create_task(
        client.wait_for_records("t", from_offset=0, wait_s=30.0)
    )
    while store.calls.count("/-/log-read") < 2:
        await asyncio.sleep(0.01)
    await store.append("t", b"new")
    assert await waiting


async def test_error_status_timeout_and_closed_port_raise(store, monkeypatch):
    client = StoreClient(address=store.address)
    store.down = True
    with pytest.raises(StoreError, match="503"):
        await client.read_newest("keyed.op")
    store.down, store.unresponsive = False, True
    monkeypatch.setattr("lacewinglug.platform.store.CALL_TIMEOUT_S", 0.05)
    with pytest.raises(StoreError, match="timed out"):
        await client.read_newest("keyed.op")
    store.close()
    with pytest.raises(StoreError, match="cannot connect"):
        await StoreClient(address=store.address).read_newest("keyed.op")


async def test_client_recovers_after_an_outage(store, monkeypatch):
    monkeypatch.setattr("lacewinglug.platform.store.CALL_TIMEOUT_S", 0.05)
    client = StoreClient(address=store.address)
    store.unresponsive = True
    for _ in range(6):
        with pytest.raises(StoreError):
            await client.read_newest("keyed.op")
    store.unresponsive = False
    monkeypatch.setattr("lacewinglug.platform.store.CALL_TIMEOUT_S", 20.0)
    assert (await client.read_newest("keyed.op")).values == {}
