"""Hosts discover each other through the store and share the work of engines."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from lacewinglug.decoding import MalformedDataError
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.peers import (
    AdvertisedState,
    PeerProtocol,
    _Bundle,
    _Datagram,
    _SuspectMessage,
    decode_identity,
    encode_identity,
)
from tests.host.hosting import running_host
from tests.host.samples import make_keyed_parts
from tests.host.test_hosts import make_identity, make_table
from tests.platform.scene import HostTestbed, make_settings
from tests.platform.standin import FakeRunner
from tests.test_decoding import append_nested_field


def test_identity_round_trip_and_malformed_identity():
    own = make_identity("a", "mtl-a")
    assert decode_identity(encode_identity(own)) == own
    with pytest.raises(MalformedDataError):
        decode_identity(b"\xc1rubbish")


def test_malformed_datagrams_are_ignored():
    table = make_table()
    link = PeerProtocol(
        table=table,
        on_work=lambda _: None,
        advertised_state=lambda: AdvertisedState(
            ready=True, leaving=False, knows_cache_contents=True
        ),
    )
    nested = append_nested_field(msgspec.msgpack.encode(_Datagram()))
    for data in (b"", b"\xc1", b"\x90", b"[]", b"\x91\x91\x01", nested):
        link.datagram_received(data, ("10.0.0.9", 7380))
    assert table.peers == []


# Guards against a relay that drops one of two crashes of the same engine.
def test_bundle_keeps_separate_crashes_of_one_engine():
    bundle = _Bundle()
    for crashes in ([(10, 5000), (11, 1000)], [(10, 300), (11, 990)]):
        suspect = _SuspectMessage(part=1, crashes=crashes)
        bundle.add(_Datagram(suspects=[suspect]), now_s=0.0)
    [message] = bundle.take(now_s=0.0)
    [suspect] = message.suspects
    assert suspect.crashes == [(10, 300), (11, 1000), (10, 5000)]


# Guards against a datagram socket that is closed for all hosts once a heartbeat goes to
# an address that no socket takes.
@pytest.mark.parametrize(("ip", "port"), [("10.0.0.2", 70_000), ("a..b", 7380)])
async def test_a_host_with_an_invalid_address_is_left_out(ip, port):
    odd = replace(make_identity("odd", "mtl-a"), ip=ip, peer_port=port)
    with pytest.raises(MalformedDataError, match="odd"):
        decode_identity(encode_identity(odd))
    identity = msgspec.msgpack.decode(encode_identity(odd))
    sound = msgspec.msgpack.decode(encode_identity(make_identity("a", "mtl-a")))
    table = make_table()
    table.own = replace(table.own, ip="127.0.0.1", peer_port=0)
    link = PeerProtocol(
        table=table,
        on_work=lambda _: None,
        advertised_state=lambda: AdvertisedState(
            ready=True, leaving=False, knows_cache_contents=True
        ),
    )
    await link.open()
    try:
        for message in (
            [[], identity],
            [[], None, False, False, [identity, sound]],
        ):
            link.datagram_received(msgspec.msgpack.encode(message), ("10.0.0.9", 1))
        assert [peer.name for peer in table.peers] == ["a"]
        assert not link._transport.is_closing()
    finally:
        link.close()


async def test_two_hosts_share_work_and_list_each_other():
    engine = FakeRunner("e-1", "llm", stage="decode")
    scene = await HostTestbed().open(engine)
    first = scene.settings
    ip = first["Ip"].rpartition(".")[0] + ".251"
    second = make_settings(ip, scene.store.address, name="edge-2")
    second["InternalPorts"] = first["InternalPorts"]
    try:
        async with (
            asyncio.timeout(40),
            running_host(first) as a,
            running_host(second) as b,
        ):
            now_s = asyncio.get_running_loop().time
            while not (
                a.host_table.serving_peers(now_s=now_s()) and b.ready and a.ready
            ):
                await asyncio.sleep(0.02)
            while not b.host_table.serving_peers(now_s=now_s()):
                await asyncio.sleep(0.02)
            for process in (a, b):
                returned = process.host_table.addresses_for_client(
                    zone="mtl-a", region="mtl", own_ready=True, now_s=now_s()
                )
                assert len(returned) == 2
            for process in (a, b):
                state = process.state
                profile = state.routes.find_service("llm").engine
                state.engines.track(state.fleet.ready("llm"), profile)
            work = EngineWork(
                instance="e-1",
                priority=2,
                work_s=30.0,
                parts=make_keyed_parts((1, 100)),
            )
            a.state.announce_work(work)
            account = b.state.engines.get("e-1")
            while account.backlog.wait_s(2, now_s=now_s()) == 0:
                await asyncio.sleep(0.02)
            assert account.prefix_cache.matched_tokens(work.parts) == 100
            b.stop_requested.set()
            while a.host_table.serving_peers(now_s=now_s()):
                await asyncio.sleep(0.02)
    finally:
        scene.close()
