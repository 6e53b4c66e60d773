"""A datagram to a large region is sent there once and forwarded inside the region."""

import asyncio

import pytest

from harness.virtual_time import run_virtual
from lacewinglug.host.distance import Geography
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.peers import FORWARDING_MIN_HOSTS, AdvertisedState, PeerProtocol
from tests.host.samples import make_keyed_parts

REGIONS = {"mtl-a": "mtl", "qc-a": "qc"}
PORT = 7380


class Network:
    """A simulated network of hosts that drops datagrams to hosts that are down."""

    def __init__(self, *, far_hosts, near_hosts=2):
        names = [f"near-{n}" for n in range(near_hosts)]
        names += [f"far-{n}" for n in range(far_hosts)]
        self.identities = {name: make_identity(name) for name in names}
        self.down = set()
        self.cross_region_sends = 0
        self.work_received = dict.fromkeys(names, 0)
        self.links = {name: self._make_link(name) for name in names}

    def _make_link(self, name):
        table = HostTable(
            own=self.identities[name], geography=Geography(regions=REGIONS)
        )
        for other in self.identities.values():
            table.add(other)

        def count_work(_):
            self.work_received[name] += 1

        link = PeerProtocol(
            table=table,
            on_work=count_work,
            advertised_state=lambda: AdvertisedState(
                ready=True, leaving=False, knows_cache_contents=True
            ),
        )
        link.connection_made(_Transport(self, name))
        return link

    def send(self, source, data, address):
        target = next(n for n, item in self.identities.items() if item.ip == address)
        if self.identities[source].zone != self.identities[target].zone:
            self.cross_region_sends += 1
        if target not in self.down:
            self.links[target].datagram_received(data, (source, PORT))

    def send_work(self, name, times=1):
        async def run():
            task = asyncio.create_task(self.links[name].send_work_batches())
            for _ in range(times):
                self.links[name].queue_work(
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
    kind, _, number = name.partition("-")
    return HostIdentity(
        name=name,
        incarnation=1,
        ip=f"10.{1 if kind == 'near' else 2}.0.{number}",
        peer_port=PORT,
        zone="mtl-a" if kind == "near" else "qc-a",
        client_address=f"{name}:8149",
    )


@pytest.mark.parametrize(
    ("far_hosts", "cross_region_sends"),
    [
        (FORWARDING_MIN_HOSTS - 1, FORWARDING_MIN_HOSTS - 1),
        (FORWARDING_MIN_HOSTS, 1),
        (25, 1),
    ],
)
def test_every_host_receives_work_once(far_hosts, cross_region_sends):
    network = Network(far_hosts=far_hosts)
    network.send_work("near-0")
    assert network.cross_region_sends == cross_region_sends
    assert network.work_received.pop("near-0") == 0
    assert set(network.work_received.values()) == {1}


def test_a_host_that_is_down_loses_only_its_turns_as_forwarder():
    network = Network(far_hosts=5)
    network.down.add("far-2")
    network.send_work("near-0", times=10)
    received = {network.work_received[f"far-{n}"] for n in (0, 1, 3, 4)}
    assert received == {8}
    assert network.work_received["near-1"] == 10


async def test_a_heartbeat_is_sent_to_a_large_region_once():
    network = Network(far_hosts=6)
    link = network.links["near-0"]
    link.send_heartbeat()
    assert network.cross_region_sends == 0
    link.send_heartbeat()
    assert network.cross_region_sends == 1


async def test_a_leaving_host_sends_to_every_host_directly():
    network = Network(far_hosts=6)
    network.links["near-0"].send_heartbeat(to_all_hosts=True)
    assert network.cross_region_sends == 6
