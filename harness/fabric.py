"""Simulated network between the protocols of several stewards, on virtual time."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.authority.replay import adopt_state
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.log import StoredRecord
from lacewinglug.config.objects import Fleet, Host
from lacewinglug.control import decode_message, encode_message
from lacewinglug.steward.peers import (
    HEARTBEAT_INTERVAL_S,
    PeerAction,
    PeerProtocol,
    SendMessage,
)
from lacewinglug.steward.replica import Replica

MESSAGE_OVERHEAD_BYTES = 112
"""Bytes that TCP, IP and ZMTP add per message, including the acknowledgement."""


@dataclass(kw_only=True)
class SimulatedSteward:
    """A steward without sockets, as a node of the simulated network.

    :param peer_protocol: its protocol with other stewards.
    :param tail_delay_s: delay with which its log tail delivers records, in seconds.
    :param down: whether it is down, so that it neither sends nor receives.
    """

    peer_protocol: PeerProtocol
    tail_delay_s: float = 0.0
    down: bool = False

    @property
    def state(self) -> ControlState:
        """The replayed state."""
        return self.peer_protocol.replica.state

    def update_own_status(
        self, *, state: str = "live", leaving: tuple[str, ...] = ()
    ) -> bool:
        """Update its status as if its entry served the revision in force."""
        return self.peer_protocol.table.update_own(
            incarnation="1",
            revision=self.state.revision,
            running=0,
            state=state,
            leaving_upstreams=leaving,
        )


@dataclass(kw_only=True)
class SimulatedNetwork:
    """Stewards, the messages between them and the log that they tail.

    :param delay_s: one-way delay of a message, in seconds.
    :param blocked_paths: pairs of sending and receiving host whose messages are lost.
    """

    delay_s: float = 0.02
    nodes: dict[str, SimulatedSteward] = field(default_factory=dict)
    blocked_paths: set[tuple[str, str]] = field(default_factory=set)
    now_s: float = 0.0
    sent_bytes: Counter[str] = field(default_factory=Counter)
    message_count: int = 0
    _records: list[StoredRecord] = field(default_factory=list)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: int = 0

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        self._sequence += 1
        heapq.heappush(self._queue, (time_s, self._sequence, action))

    def add_node(
        self, host: str, state: ControlState, *, phase_s: float
    ) -> SimulatedSteward:
        """Start a steward that ticks once per heartbeat interval.

        :param phase_s: delay of the first tick, in seconds.
        """
        replica = Replica(state=ControlState())
        adopt_state(replica.state, state)
        node = SimulatedSteward(peer_protocol=PeerProtocol(host=host, replica=replica))
        self.nodes[host] = node
        self.schedule(self.now_s + phase_s, lambda: self._tick(host, node))
        return node

    def run(self, duration_s: float) -> None:
        """Advance virtual time and run the actions that become due."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s

    def append(self, data: bytes) -> None:
        """Append a record to the log; each tail delivers it after its own delay."""
        offset = max(node.state.next_offset for node in self.nodes.values())
        self._records.append(
            StoredRecord(
                offset=self._records[-1].offset + 1 if self._records else offset,
                data=data,
            )
        )
        records = list(self._records)
        for host, node in self.nodes.items():
            self.schedule(
                self.now_s + node.tail_delay_s,
                lambda host=host, node=node: self._apply_records(host, node, records),
            )

    def _apply_records(
        self, host: str, node: SimulatedSteward, records: list[StoredRecord]
    ) -> None:
        if not node.down:
            new_records = node.peer_protocol.replica.apply(records)
            self.execute_actions(host, node.peer_protocol.forward_records(new_records))

    def _tick(self, host: str, node: SimulatedSteward) -> None:
        if self.nodes.get(host) is not node:
            return
        if not node.down:
            own = node.peer_protocol.table.own_status
            node.update_own_status(state="live", leaving=own.leaving_upstreams)
            self.execute_actions(host, node.peer_protocol.tick(now_s=self.now_s))
        self.schedule(self.now_s + HEARTBEAT_INTERVAL_S, lambda: self._tick(host, node))

    def execute_actions(self, source: str, actions: list[PeerAction]) -> None:
        """Deliver the messages of a steward after the network delay."""
        for action in actions:
            if not isinstance(action, SendMessage):
                continue
            data = encode_message(action.message)
            self.sent_bytes[source] += len(data) + MESSAGE_OVERHEAD_BYTES
            self.message_count += 1
            if (source, action.host) not in self.blocked_paths:
                self.schedule(
                    self.now_s + self.delay_s,
                    lambda host=action.host, data=data: self._deliver(
                        source, host, data
                    ),
                )

    def _deliver(self, source: str, host: str, data: bytes) -> None:
        node = self.nodes.get(host)
        message = decode_message(data)
        if node is None or node.down or message is None:
            return
        actions = node.peer_protocol.handle_message(
            source,
            message,  # type: ignore[arg-type]
            now_s=self.now_s,
        )
        self.execute_actions(host, actions)


def make_hosts(count: int) -> dict[str, Host]:
    """Return a number of hosts for a fleet."""
    return {
        f"entry-{index}": Host(
            availability_zone="mtl-a",
            address=f"10.0.{index // 250}.{index % 250 + 1}",
            entry_port=8700,
            control_port=8710,
        )
        for index in range(1, count + 1)
    }


def make_network(count: int, **options: float) -> SimulatedNetwork:
    """Return a network of stewards that all start with the same configuration."""
    network = SimulatedNetwork(**options)  # type: ignore[arg-type]
    state = ControlState(
        next_offset=1, revision=1, fleet=Fleet(hosts=make_hosts(count))
    )
    for index, host in enumerate(state.fleet.hosts):
        phase_s = HEARTBEAT_INTERVAL_S * index / count
        network.add_node(host, state, phase_s=phase_s)
    return network
