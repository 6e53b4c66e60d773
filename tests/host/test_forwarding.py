"""Datagrams to a large region cross once and are handed on inside it."""

import asyncio

import pytest

from harness.virtual_time import run_virtual
from lacewinglug.host.distance import Geography
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.peers import FORWARDED_FROM, OwnState, PeerLink
from tests.host.samples import make_keyed_parts

REGIONS = {"mtl-a": "mtl", "qc-a": "qc"}
PORT = 7380


class Network:
    """Links of hosts that lose the datagrams to hosts that are down."""

    def __init__(self, *, far_hosts, near_hosts=2):
        names = [f"near-{n}" for n in range(near_hosts)]
        names += [f"far-{n}" for n in range(far_hosts)]
        self.identities = {name: make_identity(name) for name in names}
        self.down = set()
        self.crossed = 0
        self.work = dict.fromkeys(names, 0)
        self.links = {name: self._make_link(name) for name in names}

    def _make_link(self, name):
        table = HostTable(
            own=self.identities[name], geography=Geography(regions=REGIONS)
        )
        for other in self.identities.values():
            table.learn(other)

        def take(_):
            self.work[name] += 1

        link = PeerLink(
            table=table,
            on_work=take,
            own_state=lambda: OwnState(ready=True, leaving=False, knows_caches=True),
        )
        link.connection_made(_Transport(self, name))
        return link

    def send(self, source, data, address):
        target = next(n for n, item in self.identities.items() if item.ip == address)
        if self.identities[source].zone != self.identities[target].zone:
            self.crossed += 1
        if target not in self.down:
            self.links[target].datagram_received(data, (source, PORT))

    def tell(self, name, times=1):
        async def run():
            task = asyncio.create_task(self.links[name].send_batches())
            for _ in range(times):
                self.links[name].tell_work(
                    EngineWork(
                        instance="e",
                        priority=0,
                        work_s=0.1,
                        parts=make_keyed_parts((1, 9)),
                    )
                )
                await asyncio.sleep(1.0)
            task.cancel()

        run_virtual(run())


class _Transport(asyncio.DatagramTransport):
    def __init__(self, network, name):
        super().__init__()
        self._network = network
        self._name = name

    def sendto(self, data, addr=None):
        self._network.send(self._name, data, addr[0])

    def is_closing(self):
        return False


def make_identity(name):
    place, _, number = name.partition("-")
    return HostIdentity(
        name=name,
        incarnation=1,
        ip=f"10.{1 if place == 'near' else 2}.0.{number}",
        peer_port=PORT,
        zone="mtl-a" if place == "near" else "qc-a",
        client_address=f"{name}:8149",
    )


@pytest.mark.parametrize(
    ("far_hosts", "crossed"),
    [
        (FORWARDED_FROM - 1, FORWARDED_FROM - 1),
        (FORWARDED_FROM, 1),
        (25, 1),
    ],
)
def test_every_host_hears_of_work_once(far_hosts, crossed):
    network = Network(far_hosts=far_hosts)
    network.tell("near-0")
    assert network.crossed == crossed
    assert network.work.pop("near-0") == 0
    assert set(network.work.values()) == {1}


def test_a_host_that_is_down_swallows_its_turn_only():
    network = Network(far_hosts=5)
    network.down.add("far-2")
    network.tell("near-0", times=10)
    heard = {network.work[f"far-{n}"] for n in (0, 1, 3, 4)}
    assert heard == {8}
    assert network.work["near-1"] == 10


async def test_beats_of_a_large_region_cross_once():
    network = Network(far_hosts=6)
    link = network.links["near-0"]
    link.beat()
    assert network.crossed == 0
    link.beat()
    assert network.crossed == 1


async def test_a_leaving_host_tells_every_host_itself():
    network = Network(far_hosts=6)
    network.links["near-0"].beat(urgent=True)
    assert network.crossed == 6
