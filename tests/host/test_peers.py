"""Hosts find one another over the store and tell what they give to engines."""

import asyncio

from lacewinglug.host.engines import EngineWork
from lacewinglug.host.peers import OwnState, PeerLink, decode_identity, encode_identity
from tests.host.hosting import hosting
from tests.host.samples import make_parts
from tests.host.test_hosts import identity, make_table
from tests.platform.scene import HostTestbed, make_settings
from tests.platform.standin import FakeRunner


def test_an_identity_is_read_back_and_rubbish_is_not():
    own = identity("a", "mtl-a")
    assert decode_identity(encode_identity(own)) == own
    assert decode_identity(b"\xc1rubbish") is None


def test_no_datagram_ends_the_link():
    table = make_table()
    link = PeerLink(
        table=table,
        on_work=lambda _: None,
        own_state=lambda: OwnState(ready=True, leaving=False, knows_caches=True),
    )
    for data in (b"", b"\xc1", b"\x90", b"[]", b"\x91\x91\x01"):
        link.datagram_received(data, ("10.0.0.9", 7380))
    assert table.peers == []


async def test_two_hosts_share_work_and_name_each_other():
    engine = FakeRunner("e-1", "llm", stage="decode")
    scene = await HostTestbed().open(engine)
    first = scene.settings
    ip = first["Ip"].rpartition(".")[0] + ".251"
    second = make_settings(ip, scene.store.address, name="edge-2")
    second["InternalPorts"] = first["InternalPorts"]
    try:
        async with asyncio.timeout(40), hosting(first) as a, hosting(second) as b:
            now_s = asyncio.get_running_loop().time
            while not (a.table.serving(now_s=now_s()) and b.ready and a.ready):
                await asyncio.sleep(0.02)
            while not b.table.serving(now_s=now_s()):
                await asyncio.sleep(0.02)
            for process in (a, b):
                named = process.table.addresses(
                    zone="mtl-a", region="mtl", own_serves=True, now_s=now_s()
                )
                assert len(named) == 2
            for process in (a, b):
                state = process.state
                profile = state.routes.service("llm").engine
                state.engines.accounts(state.fleet.ready("llm"), profile)
            work = EngineWork(
                instance="e-1", priority=2, work_s=30.0, parts=make_parts((1, 100))
            )
            a.state.tell_work(work)
            account = b.state.engines.get("e-1")
            while account.backlog.wait_s(2, now_s=now_s()) == 0:
                await asyncio.sleep(0.02)
            assert account.residency.matched_tokens(work.parts) == 100
            b.stop_requested.set()
            while a.table.serving(now_s=now_s()):
                await asyncio.sleep(0.02)
    finally:
        scene.close()
