"""Carries messages between stewards' exchanges in one process, on virtual time."""

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
    PeerExchange,
    Send,
)
from lacewinglug.steward.replica import Replica

HEADER_BYTES = 112
"""Bytes that TCP, IP and ZMTP add to a message, its acknowledgement included."""


@dataclass(kw_only=True)
class Node:
    """One steward without sockets.

    :param exchange: what it says to others.
    :param tail_delay_s: delay of its log tail, in seconds.
    :param down: whether it neither sends nor receives.
    """

    exchange: PeerExchange
    tail_delay_s: float = 0.0
    down: bool = False

    @property
    def state(self) -> ControlState:
        """The replayed state."""
        return self.exchange.replica.state

    def report(self, *, state: str = "live", leaving: tuple[str, ...] = ()) -> bool:
        """Report as a steward does whose entry serves the revision in force."""
        return self.exchange.table.update_own(
            incarnation="1",
            revision=self.state.revision,
            running=0,
            state=state,
            leaving_upstreams=leaving,
        )


@dataclass(kw_only=True)
class Fabric:
    """Nodes, the messages between them and a log that they tail.

    :param delay_s: one-way delay of a message, in seconds.
    :param blocked: directed pairs of hosts whose messages are lost.
    """

    delay_s: float = 0.02
    nodes: dict[str, Node] = field(default_factory=dict)
    blocked: set[tuple[str, str]] = field(default_factory=set)
    now_s: float = 0.0
    sent_bytes: Counter[str] = field(default_factory=Counter)
    messages: int = 0
    _records: list[StoredRecord] = field(default_factory=list)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: int = 0

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self._sequence += 1
        heapq.heappush(self._queue, (time_s, self._sequence, action))

    def add_node(self, host: str, state: ControlState, *, phase_s: float) -> Node:
        """Start a node that ticks once each heartbeat interval."""
        replica = Replica(state=ControlState())
        adopt_state(replica.state, state)
        node = Node(exchange=PeerExchange(host=host, replica=replica))
        self.nodes[host] = node
        self.at(self.now_s + phase_s, lambda: self._tick(host, node))
        return node

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s

    def append(self, data: bytes) -> None:
        """Append a record to the log; each tail shows it after its delay."""
        offset = max(node.state.next_offset for node in self.nodes.values())
        self._records.append(
            StoredRecord(
                offset=self._records[-1].offset + 1 if self._records else offset,
                data=data,
            )
        )
        records = list(self._records)
        for host, node in self.nodes.items():
            self.at(
                self.now_s + node.tail_delay_s,
                lambda host=host, node=node: self._read(host, node, records),
            )

    def _read(self, host: str, node: Node, records: list[StoredRecord]) -> None:
        if not node.down:
            fresh = node.exchange.replica.apply(records)
            self.perform(host, node.exchange.hand_on(fresh))

    def _tick(self, host: str, node: Node) -> None:
        if self.nodes.get(host) is not node:
            return
        if not node.down:
            own = node.exchange.table.own_status
            node.report(state="live", leaving=own.leaving_upstreams)
            self.perform(host, node.exchange.tick(now_s=self.now_s))
        self.at(self.now_s + HEARTBEAT_INTERVAL_S, lambda: self._tick(host, node))

    def perform(self, source: str, actions: list[PeerAction]) -> None:
        """Carry the messages of a node."""
        for action in actions:
            if not isinstance(action, Send):
                continue
            data = encode_message(action.message)
            self.sent_bytes[source] += len(data) + HEADER_BYTES
            self.messages += 1
            if (source, action.host) not in self.blocked:
                self.at(
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
        actions = node.exchange.handle(
            source,
            message,  # type: ignore[arg-type]
            now_s=self.now_s,
        )
        self.perform(host, actions)


def make_hosts(count: int) -> dict[str, Host]:
    """Return hosts for a fleet."""
    return {
        f"entry-{index}": Host(
            availability_zone="mtl-a",
            address=f"10.0.{index // 250}.{index % 250 + 1}",
            entry_port=8700,
            control_port=8710,
        )
        for index in range(1, count + 1)
    }


def make_fabric(count: int, **options: float) -> Fabric:
    """Return a fabric of hosts that all start with the same configuration."""
    fabric = Fabric(**options)  # type: ignore[arg-type]
    state = ControlState(
        next_offset=1, revision=1, fleet=Fleet(hosts=make_hosts(count))
    )
    for index, host in enumerate(state.fleet.hosts):
        phase_s = HEARTBEAT_INTERVAL_S * index / count
        fabric.add_node(host, state, phase_s=phase_s)
    return fabric
