"""A datagram to a large region is sent there once and forwarded inside the region."""

import asyncio
from dataclasses import replace

import pytest

from harness.virtual_time import run_virtual
from lacewinglug.host.distance import Geography
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.model import Stage
from lacewinglug.host.peers import FORWARDING_MIN_HOSTS, AdvertisedState, PeerProtocol
from lacewinglug.host.quarantine import Crash, PartQuarantine
from lacewinglug.host.speeds import SharedSpeed, SpeedSums
from tests.host.samples import make_keyed_parts

REGIONS = {"mtl-a": "mtl", "qc-a": "qc"}
PORT = 7380
MAX_PACKET_BYTES = 1472


class Network:
    """A simulated network of hosts that drops datagrams to hosts that are down."""

    def __init__(self, *, far_hosts, near_hosts=2):
        names = [f"near-{n}" for n in range(near_hosts)]
        names += [f"far-{n}" for n in range(far_hosts)]
        self.identities = {name: make_identity(name) for name in names}
        self.down = set()
        self.cross_region_sends = 0
        self.work_received = dict.fromkeys(names, 0)
        self.datagrams_received = dict.fromkeys(names, 0)
        self.tables = {}
        self.speeds_received = dict.fromkeys(names, 0.0)
        self.speeds_to_share = {}
        self.quarantines = {name: PartQuarantine() for name in names}
        self.on_send = lambda data: None
        self.links = {name: self._make_link(name) for name in names}

    def _make_link(self, name):
        table = HostTable(
            own=self.identities[name], geography=Geography(regions=REGIONS)
        )
        for other in self.identities.values():
            table.add(other)

        self.tables[name] = table

        quarantine = self.quarantines[name]

        def now_s():
            return asyncio.get_running_loop().time()

        def count_work(_):
            self.work_received[name] += 1

        def count_speed(speed):
            self.speeds_received[name] += speed.sums.count

        link = PeerProtocol(
            table=table,
            on_work=count_work,
            on_speed=count_speed,
            take_unshared_speeds=lambda: self.speeds_to_share.pop(name, []),
            suspects=lambda: quarantine.reports(now_s=now_s()),
            on_suspect=lambda report: quarantine.apply_report(report, now_s=now_s()),
            on_proven=lambda part: quarantine.apply_proven(part, now_s=now_s()),
            advertised_state=lambda: AdvertisedState(
                ready=True, leaving=False, knows_cache_contents=True
            ),
        )
        link.connection_made(_Transport(self, name))
        quarantine.on_suspect = link.queue_suspect
        quarantine.on_proven = link.queue_proven
        return link

    def send(self, source, data, address):
        self.on_send(data)
        target = next(n for n, item in self.identities.items() if item.ip == address)
        if self.identities[source].zone != self.identities[target].zone:
            self.cross_region_sends += 1
        if target not in self.down and source not in self.down:
            self.datagrams_received[target] += 1
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

    def run(self, script):
        """Run all hosts in virtual time until a coroutine function has ended."""

        async def run():
            jobs = [
                asyncio.create_task(job())
                for link in self.links.values()
                for job in (
                    link.send_heartbeats,
                    link.send_work_batches,
                    link.send_bundles,
                )
            ]
            await script()
            for job in jobs:
                job.cancel()

        run_virtual(run())

    def restart(self, name):
        """Start a host again that was down; it knows nothing."""
        identity = self.identities[name]
        self.identities[name] = replace(identity, incarnation=identity.incarnation + 1)
        self.quarantines[name] = PartQuarantine()
        self.down.discard(name)
        self.links[name] = self._make_link(name)

    def crash(self, name, part, engine):
        """Record at one host that an engine crashed under a prompt part."""
        now_s = asyncio.get_running_loop().time()
        self.quarantines[name].record_crash(
            [part], Crash(engine=engine, at_s=now_s), now_s=now_s
        )

    def hosts_that_refuse(self, part):
        """Return the hosts that have a prompt part in quarantine."""
        return {
            name
            for name, quarantine in self.quarantines.items()
            if part in quarantine.quarantined_parts()
        }

    def silent_hosts(self, name):
        """Return the hosts that a host does not count as serving now."""
        now_s = asyncio.get_running_loop().time()
        serving = self.tables[name].serving_peers(now_s=now_s)
        return set(self.identities) - {name} - {item.name for item in serving}

    def assert_all_serve(self):
        assert all(not self.silent_hosts(name) for name in self.identities)


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


def test_datagrams_to_a_host_do_not_grow_with_the_fleet():
    """Pattern: 195 hosts, each of which spent most of its time on heartbeats.

    The relays of each region bundle them. The bound is a quarter of the datagrams that
    two heartbeats a second of each host of the region would be.
    """
    rates = {}
    for hosts in (20, 60):
        network = Network(near_hosts=hosts, far_hosts=hosts)

        async def watch(network=network, hosts=hosts):
            await asyncio.sleep(5.0)
            before = dict(network.datagrams_received)
            await asyncio.sleep(20.0)
            received = sorted(
                network.datagrams_received[name] - before[name] for name in before
            )
            rates[hosts] = received[hosts] / 20.0
            network.assert_all_serve()

        network.run(watch)
    assert rates[60] < 2 * 60 / 4
    assert rates[60] < 1.7 * rates[20]


def test_relayed_work_reaches_every_other_host_once():
    network = Network(near_hosts=12, far_hosts=12)
    senders = ("near-0", "near-7", "far-3")

    async def send_work():
        await asyncio.sleep(4.0)
        for name in senders:
            network.links[name].queue_work(
                EngineWork(
                    instance="e",
                    priority=0,
                    work_s=0.1,
                    parts=make_keyed_parts((1, 9)),
                )
            )
        await asyncio.sleep(3.0)

    network.run(send_work)
    expected = dict.fromkeys(network.identities, 3) | dict.fromkeys(senders, 2)
    assert network.work_received == expected


@pytest.mark.parametrize("lost", [("near-0",), ("near-0", "near-1")])
def test_lost_relays_make_no_other_host_seem_silent(lost):
    """Pattern: the hosts that bundle all heartbeats lose power at the same moment."""
    network = Network(near_hosts=14, far_hosts=14)
    living = sorted(set(network.identities) - set(lost))

    async def lose_relays():
        await asyncio.sleep(4.0)
        network.down.update(lost)
        for _ in range(40):
            await asyncio.sleep(0.2)
            for name in living:
                assert network.silent_hosts(name) <= network.down
        for name in living:
            assert network.silent_hosts(name) == network.down

    network.run(lose_relays)


def test_a_relay_that_returns_relays_again():
    network = Network(near_hosts=10, far_hosts=2)

    async def lose_and_return():
        await asyncio.sleep(4.0)
        network.down.add("near-0")
        await asyncio.sleep(10.0)
        network.down.clear()
        await asyncio.sleep(10.0)
        network.assert_all_serve()
        now_s = asyncio.get_running_loop().time()
        relays = network.tables["near-9"].relays(now_s=now_s)
        assert [item.name for item in relays] == ["near-0", "near-1"]

    network.run(lose_and_return)


def test_relayed_samples_of_prefill_times_reach_every_host():
    network = Network(near_hosts=12, far_hosts=12)

    async def share():
        await asyncio.sleep(4.0)
        sums = SpeedSums()
        sums.add_sample([0.5, 0.4, 0.1], 2.0, weight=1.0)
        for name in ("near-3", "near-4"):
            network.speeds_to_share[name] = [
                SharedSpeed(service="llm", stage=Stage.PREFILL, sums=sums)
            ]
        await asyncio.sleep(4.0)

    network.run(share)
    assert set(network.speeds_received.values()) == {2.0}


# Guards against hosts that each saw one crash and go on sending the prompts.
@pytest.mark.parametrize(("near_hosts", "far_hosts"), [(2, 1), (4, 5), (12, 12)])
def test_crashes_that_two_hosts_saw_count_together_at_all_hosts(near_hosts, far_hosts):
    network = Network(near_hosts=near_hosts, far_hosts=far_hosts)
    everyone = set(network.links)

    async def script():
        await asyncio.sleep(5.0)
        network.crash("near-0", 7, engine=1)
        await asyncio.sleep(1.0)
        network.crash("far-0", 7, engine=2)
        await asyncio.sleep(1.0)
        assert network.hosts_that_refuse(7) == everyone
        now_s = asyncio.get_running_loop().time()
        network.quarantines["near-1"].record_answer([7], now_s=now_s)
        await asyncio.sleep(1.0)
        assert network.hosts_that_refuse(7) == set()

    network.run(script)


def test_new_host_learns_what_is_quarantined_at_its_first_heartbeat():
    network = Network(near_hosts=4, far_hosts=3)

    async def script():
        network.down.add("near-3")
        for engine in (1, 2):
            network.crash("near-0", 7, engine=engine)
            await asyncio.sleep(1.0)
        network.restart("near-3")
        network.links["near-3"].send_heartbeat(to_all_hosts=True)
        assert "near-3" in network.hosts_that_refuse(7)

    network.run(script)


def test_host_that_was_cut_off_learns_what_is_quarantined():
    network = Network(near_hosts=4, far_hosts=3)

    async def script():
        network.down.add("near-3")
        for engine in (1, 2):
            network.crash("near-0", 7, engine=engine)
            await asyncio.sleep(1.0)
        assert network.hosts_that_refuse(7) == set(network.links) - {"near-3"}
        network.down.clear()
        await asyncio.sleep(3.0)
        assert network.hosts_that_refuse(7) == set(network.links)

    network.run(script)


# Guards against bundles that grow with each host that reports a crash.
def test_relays_merge_reports_of_one_crash():
    network = Network(near_hosts=12, far_hosts=12)
    sizes = []

    async def script():
        await asyncio.sleep(5.0)
        network.on_send = lambda data: sizes.append(len(data))
        for host in network.links:
            for part in range(7, 27):
                network.crash(host, part, engine=1)
        await asyncio.sleep(2.0)
        assert max(sizes) < MAX_PACKET_BYTES

    network.run(script)
