"""Protocol between stewards, without I/O: failure detection, gossip and log records."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal

from lacewinglug.backing.log import StoredRecord
from lacewinglug.control import (
    PeerHeartbeat,
    PeerMessage,
    PeerRecords,
    PeerState,
    ProbeReply,
    ProbeRequest,
    RecordsWanted,
    pack_status,
    unpack_status,
)
from lacewinglug.membership.detector import (
    FailureDetector,
    IndirectProbe,
    Reconnect,
    SuspectHost,
)
from lacewinglug.membership.neighbours import MonitorAssignment
from lacewinglug.membership.table import HostTable
from lacewinglug.steward.replica import RecordBatch, Replica

HeartbeatPurpose = Literal["probe", "reply", "change"]

HEARTBEAT_INTERVAL_S = 1.25
_RECORDS_REQUEST_DELAY_S = 1.0
_MAX_FORWARD_BYTES = 16 * 1024
_MIN_GOSSIP_INTERVAL_S = 0.1
_PROBE_REQUEST_TTL_S = 5.0
_NEIGHBOUR_TTL_S = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SendMessage:
    """Action: send a message to the steward of a host.

    :param host: name of the host.
    :param message: the message.
    :param is_reply: whether to send it on the connection that the host opened.
    """

    host: str
    message: PeerMessage
    is_reply: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplaceConnection:
    """Action: close the connection to a host and open a new one."""

    host: str


PeerAction = SendMessage | ReplaceConnection


@dataclass(kw_only=True)
class PeerProtocol:
    """Maintains the host table and decides which messages to send to which peers.

    :param host: name of this host.
    :param replica: the replayed state; its records are exchanged with peers.
    """

    host: str
    replica: Replica
    table: HostTable = field(init=False)
    monitor_plan: MonitorAssignment = field(init=False)
    detector: FailureDetector = field(default_factory=FailureDetector)
    _last_probe_at_s: dict[str, float] = field(default_factory=dict)
    _probe_requests: dict[str, dict[str, float]] = field(default_factory=dict)
    _behind_since_s: float | None = None
    _last_gossip_at_s: float = float("-inf")
    _gossip_due: bool = False

    def __post_init__(self) -> None:
        self.table = HostTable(host=self.host)
        self.monitor_plan = MonitorAssignment(host=self.host)

    def tick(self, *, now_s: float) -> list[PeerAction]:
        """Return the actions of one heartbeat interval.

        :param now_s: monotonic time, in seconds.
        """
        self._update_monitored_hosts(now_s)
        actions: list[PeerAction] = []
        for item in self.detector.tick(now_s=now_s):
            match item:
                case Reconnect(host=host):
                    actions.append(ReplaceConnection(host=host))
                case IndirectProbe(host=host):
                    actions.extend(self._request_probes(host))
                case SuspectHost(host=host):
                    self._gossip_due |= self.table.mark_suspect(host)
        actions.extend(
            SendMessage(host=target, message=self._make_heartbeat(target, "probe"))
            for target in self.detector.monitored
        )
        return [*actions, *self.gossip_changes(now_s=now_s)]

    def _update_monitored_hosts(self, now_s: float) -> None:
        """Select the hosts to monitor from the configuration in force."""
        hosts = self.replica.state.fleet.hosts
        self.monitor_plan.set_hosts(hosts)
        self.table.retain_hosts(hosts)
        in_service = self.table.live_hosts() - self.replica.state.withdrawn
        targets = self.monitor_plan.targets(in_service | {self.host})
        self.detector.set_targets(targets, now_s=now_s)
        self._last_probe_at_s = {
            name: at_s
            for name, at_s in self._last_probe_at_s.items()
            if now_s - at_s < _NEIGHBOUR_TTL_S
        }
        self.table.set_neighbours({*targets, *self._last_probe_at_s})

    def gossip_changes(self, *, now_s: float, urgent: bool = False) -> list[PeerAction]:
        """Return heartbeats that send pending urgent changes to every neighbour.

        Rate-limited, so that changes in quick succession are sent together.

        :param now_s: monotonic time, in seconds.
        :param urgent: whether there is a new urgent change.
        """
        self._gossip_due |= urgent
        if (
            not self._gossip_due
            or now_s - self._last_gossip_at_s < _MIN_GOSSIP_INTERVAL_S
        ):
            return []
        self._gossip_due = False
        self._last_gossip_at_s = now_s
        return [
            SendMessage(host=name, message=self._make_heartbeat(name, "change"))
            for name in {**self.detector.monitored, **self._last_probe_at_s}
        ]

    def forward_records(
        self, records: Sequence[StoredRecord], *, source: str = ""
    ) -> list[PeerAction]:
        """Return messages that forward new records to all neighbours but the source.

        Large records are sent only on request, since most peers read the log
        themselves.

        :param records: new consecutive records.
        :param source: peer that sent the records, empty when they come from the log.
        """
        if not records:
            return []
        if sum(len(record.data) for record in records) > _MAX_FORWARD_BYTES:
            return []
        batch = self.replica.find_batch(records[0].offset)
        if batch is None:
            return []
        message = _make_records_message(batch)
        return [
            SendMessage(host=name, message=message)
            for name in {**self.detector.monitored, **self._last_probe_at_s}
            if name != source
        ]

    def handle_message(
        self, source: str, message: PeerMessage, *, now_s: float
    ) -> list[PeerAction]:
        """Process a message from a peer and return the resulting actions.

        :param source: name of the peer, empty when not known yet.
        :param message: the message.
        :param now_s: monotonic time, in seconds.
        """
        match message:
            case PeerHeartbeat():
                return self._handle_heartbeat(message, now_s)
            case ProbeRequest(host=host, target=target):
                self._probe_requests.setdefault(target, {})[host] = now_s
                heartbeat = self._make_heartbeat(target, "probe")
                return [SendMessage(host=target, message=heartbeat)]
            case ProbeReply(target=target):
                self.detector.record_alive(target, now_s=now_s)
                return []
            case RecordsWanted(host=host, from_offset=offset):
                return self._answer_records_request(host, offset)
            case PeerRecords(previous_digest=digest, records=records):
                batch = RecordBatch(previous_digest=digest, records=records)
                new_records = self.replica.apply_batch(batch)
                self._behind_since_s = None
                return self.forward_records(new_records, source=source)
            case PeerState(state=state):
                self.replica.adopt_newer(state)
                return []

    def _handle_heartbeat(
        self, message: PeerHeartbeat, now_s: float
    ) -> list[PeerAction]:
        source = message.host
        self.detector.record_alive(source, now_s=now_s)
        if message.purpose == "reply":
            self.detector.record_reply(source, now_s=now_s)
        urgent = False
        for change in message.changes:
            urgent |= self.table.merge(unpack_status(change), source=source)
        actions: list[PeerAction] = []
        if message.purpose == "probe":
            self._last_probe_at_s[source] = now_s
            self.table.add_neighbour(source)
            reply = self._make_heartbeat(source, "reply")
            actions.append(SendMessage(host=source, message=reply, is_reply=True))
        actions.extend(self.gossip_changes(now_s=now_s, urgent=urgent))
        actions.extend(
            self._request_missing_records(source, message.next_offset, now_s)
        )
        for requester, at_s in self._probe_requests.pop(source, {}).items():
            if now_s - at_s < _PROBE_REQUEST_TTL_S:
                actions.append(
                    SendMessage(host=requester, message=ProbeReply(target=source))
                )
        return actions

    def _request_missing_records(
        self, source: str, next_offset: int, now_s: float
    ) -> list[PeerAction]:
        """Request records from a peer that is ahead.

        A replica that has records already waits for a while first, since they
        usually arrive from the log or another peer.
        """
        own_offset = self.replica.state.next_offset
        if next_offset <= own_offset:
            return []
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if own_offset > 0 and now_s - self._behind_since_s < _RECORDS_REQUEST_DELAY_S:
            return []
        self._behind_since_s = now_s
        request = RecordsWanted(host=self.host, from_offset=own_offset)
        return [SendMessage(host=source, message=request)]

    def _answer_records_request(self, host: str, offset: int) -> list[PeerAction]:
        state = self.replica.state
        if offset >= state.next_offset or state.halted:
            return []
        batch = self.replica.find_batch(offset)
        if batch is None:
            return [SendMessage(host=host, message=PeerState(state=state))]
        return [SendMessage(host=host, message=_make_records_message(batch))]

    def _request_probes(self, target: str) -> list[PeerAction]:
        request = ProbeRequest(host=self.host, target=target)
        monitors = self.monitor_plan.indirect_probers(target, self.table.live_hosts())
        return [SendMessage(host=name, message=request) for name in monitors]

    def _make_heartbeat(
        self, neighbour: str, purpose: HeartbeatPurpose
    ) -> PeerHeartbeat:
        changes = self.table.take_changes(neighbour)
        return PeerHeartbeat(
            host=self.host,
            next_offset=self.replica.state.next_offset,
            changes=[pack_status(status) for status in changes],
            purpose=purpose,
        )


def _make_records_message(batch: RecordBatch) -> PeerRecords:
    return PeerRecords(previous_digest=batch.previous_digest, records=batch.records)
