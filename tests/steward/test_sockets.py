"""Tests of the connections between stewards, through a relay that drops traffic."""

import asyncio

import pytest

from harness.deployment import reserve_port_block
from lacewinglug.authority.state import ControlState
from lacewinglug.clock import SystemClock
from lacewinglug.config.objects import Fleet, Host
from lacewinglug.control import EntryHello
from lacewinglug.metrics import Metrics
from lacewinglug.standin.relay import PathState, TcpRelay
from lacewinglug.steward.peers import PeerProtocol
from lacewinglug.steward.poller import RunnerPoller
from lacewinglug.steward.replica import Replica
from lacewinglug.steward.server import ControlServer


def make_server(host, port, fleet):
    state = ControlState(next_offset=1, revision=1, fleet=fleet)
    clock, metrics = SystemClock(), Metrics()
    server = ControlServer(
        host=host,
        endpoint=f"tcp://127.0.0.1:{port}",
        peer_protocol=PeerProtocol(host=host, replica=Replica(state=state)),
        poller=RunnerPoller(
            client=None, state=state, clock=clock, interval_s=1.0, metrics=metrics
        ),
        get_listed_as_leaving=frozenset,
        clock=clock,
        metrics=metrics,
    )
    server._entry_hello = EntryHello(
        host=host, incarnation="1", revision=1, running=0, leaving=False
    )
    server._entry_hello_at_s = float("inf")
    return server


async def wait_for(condition):
    for _ in range(600):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the condition was not met in time")


@pytest.fixture
async def servers_and_relay():
    """Two control servers; connections to ``b`` pass through a relay."""
    guard, port = reserve_port_block()
    relay = TcpRelay(port=port, target_port=port + 1)
    await relay.start()
    fleet = Fleet(
        hosts={
            name: Host(
                availability_zone="mtl-a",
                address="127.0.0.1",
                entry_port=1,
                control_port=control_port,
            )
            for name, control_port in (("a", port + 2), ("b", port))
        }
    )
    servers = [make_server("a", port + 2, fleet), make_server("b", port + 1, fleet)]
    tasks = [asyncio.create_task(server.run()) for server in servers]
    yield servers, relay
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await relay.stop()
    guard.close()


async def test_silent_connection_is_replaced_before_a_host_is_suspected(
    servers_and_relay,
):
    (first, _), relay = servers_and_relay
    await wait_for(lambda: first.live_hosts() == {"a", "b"})
    relay.silence_open_connections()
    accepted = relay.accepted
    await wait_for(lambda: first.metrics.counts["peers.renewed_connections"] > 0)
    await wait_for(lambda: relay.accepted > accepted)
    watch = first.peer_protocol.detector.monitored["b"]
    await wait_for(lambda: first.peer_protocol.detector.monitored["b"] is not watch)
    assert first.metrics.counts["hosts.suspect"] == 0


async def test_host_is_suspected_while_the_path_to_it_is_cut(servers_and_relay):
    (first, _), relay = servers_and_relay
    await wait_for(lambda: first.live_hosts() == {"a", "b"})
    relay.state = PathState.CUT
    relay.cut_open_connections()
    first.peer_protocol.handle_message = lambda *_, **__: []
    await wait_for(lambda: first.live_hosts() == {"a"})
    del first.peer_protocol.handle_message
    relay.state = PathState.FORWARD
    await wait_for(lambda: first.live_hosts() == {"a", "b"})
