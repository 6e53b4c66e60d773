"""What a steward says to other stewards, without sockets or a clock."""

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

Purpose = Literal["probe", "reply", "change"]

HEARTBEAT_INTERVAL_S = 1.25
_ASK_AFTER_S = 1.0
_HAND_ON_BYTES = 16 * 1024
_SPREAD_INTERVAL_S = 0.1
_PROBE_MEMORY_S = 5.0
_NEIGHBOUR_MEMORY_S = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """A message to the steward of a host.

    :param host: name of the host.
    :param message: the message.
    :param is_reply: whether it goes back on the connection that the host opened.
    """

    host: str
    message: PeerMessage
    is_reply: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Renew:
    """The connection to a host is to be replaced."""

    host: str


PeerAction = Send | Renew


@dataclass(kw_only=True)
class PeerExchange:
    """Owns the host table and decides which messages go to which peers.

    :param host: name of this host.
    :param replica: the replayed state, to hand on and to bring up to date.
    """

    host: str
    replica: Replica
    table: HostTable = field(init=False)
    plan: MonitorAssignment = field(init=False)
    detector: FailureDetector = field(default_factory=FailureDetector)
    _pingers: dict[str, float] = field(default_factory=dict)
    _probes: dict[str, dict[str, float]] = field(default_factory=dict)
    _behind_since_s: float | None = None
    _spread_at_s: float = float("-inf")
    _spread_due: bool = False

    def __post_init__(self) -> None:
        self.table = HostTable(host=self.host)
        self.plan = MonitorAssignment(host=self.host)

    def tick(self, *, now_s: float) -> list[PeerAction]:
        """Return the messages of one heartbeat interval."""
        self._follow_config(now_s)
        actions: list[PeerAction] = []
        for item in self.detector.tick(now_s=now_s):
            match item:
                case Reconnect(host=host):
                    actions.append(Renew(host=host))
                case IndirectProbe(host=host):
                    actions.extend(self._ask_others(host))
                case SuspectHost(host=host):
                    self._spread_due |= self.table.mark_suspect(host)
        actions.extend(
            Send(host=target, message=self._heartbeat(target, "probe"))
            for target in self.detector.monitored
        )
        return [*actions, *self.spread(now_s=now_s)]

    def _follow_config(self, now_s: float) -> None:
        """Choose the hosts to watch from the configuration in force."""
        hosts = self.replica.state.fleet.hosts
        self.plan.set_hosts(hosts)
        self.table.retain_hosts(hosts)
        in_service = self.table.live_hosts() - self.replica.state.withdrawn
        targets = self.plan.targets(in_service | {self.host})
        self.detector.set_targets(targets, now_s=now_s)
        self._pingers = {
            name: at_s
            for name, at_s in self._pingers.items()
            if now_s - at_s < _NEIGHBOUR_MEMORY_S
        }
        self.table.set_neighbours({*targets, *self._pingers})

    def spread(self, *, now_s: float, urgent: bool = False) -> list[PeerAction]:
        """Return heartbeats that carry urgent changes to every neighbour.

        Changes that follow one another closely are carried together.
        """
        self._spread_due |= urgent
        if not self._spread_due or now_s - self._spread_at_s < _SPREAD_INTERVAL_S:
            return []
        self._spread_due = False
        self._spread_at_s = now_s
        return [
            Send(host=name, message=self._heartbeat(name, "change"))
            for name in {**self.detector.monitored, **self._pingers}
        ]

    def hand_on(
        self, records: Sequence[StoredRecord], *, source: str = ""
    ) -> list[PeerAction]:
        """Return messages that hand new records to every neighbour but one.

        Large ones are not handed on unasked, since most peers read the log.
        """
        if not records:
            return []
        if sum(len(record.data) for record in records) > _HAND_ON_BYTES:
            return []
        batch = self.replica.batch_from(records[0].offset)
        if batch is None:
            return []
        message = _pack_batch(batch)
        return [
            Send(host=name, message=message)
            for name in {**self.detector.monitored, **self._pingers}
            if name != source
        ]

    def handle(
        self, source: str, message: PeerMessage, *, now_s: float
    ) -> list[PeerAction]:
        """Take a message of a peer and return what to send.

        :param source: name of the peer, empty when not known yet.
        """
        match message:
            case PeerHeartbeat():
                return self._handle_heartbeat(message, now_s)
            case ProbeRequest(host=host, target=target):
                self._probes.setdefault(target, {})[host] = now_s
                heartbeat = self._heartbeat(target, "probe")
                return [Send(host=target, message=heartbeat)]
            case ProbeReply(target=target):
                self.detector.record_alive(target, now_s=now_s)
                return []
            case RecordsWanted(host=host, from_offset=offset):
                return self._answer_wanted(host, offset)
            case PeerRecords(previous_digest=digest, records=records):
                batch = RecordBatch(previous_digest=digest, records=records)
                fresh = self.replica.apply_batch(batch)
                self._behind_since_s = None
                return self.hand_on(fresh, source=source)
            case PeerState(state=state):
                self.replica.adopt(state)
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
            self._pingers[source] = now_s
            self.table.add_neighbour(source)
            reply = self._heartbeat(source, "reply")
            actions.append(Send(host=source, message=reply, is_reply=True))
        actions.extend(self.spread(now_s=now_s, urgent=urgent))
        actions.extend(self._ask_records(source, message.next_offset, now_s))
        for asker, at_s in self._probes.pop(source, {}).items():
            if now_s - at_s < _PROBE_MEMORY_S:
                actions.append(Send(host=asker, message=ProbeReply(target=source)))
        return actions

    def _ask_records(
        self, source: str, next_offset: int, now_s: float
    ) -> list[PeerAction]:
        """Ask a peer for what has been missing here for a while."""
        own_offset = self.replica.state.next_offset
        if next_offset <= own_offset:
            return []
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if own_offset > 0 and now_s - self._behind_since_s < _ASK_AFTER_S:
            return []
        self._behind_since_s = now_s
        wanted = RecordsWanted(host=self.host, from_offset=own_offset)
        return [Send(host=source, message=wanted)]

    def _answer_wanted(self, host: str, offset: int) -> list[PeerAction]:
        state = self.replica.state
        if offset >= state.next_offset or state.halted:
            return []
        batch = self.replica.batch_from(offset)
        if batch is None:
            return [Send(host=host, message=PeerState(state=state))]
        return [Send(host=host, message=_pack_batch(batch))]

    def _ask_others(self, target: str) -> list[PeerAction]:
        request = ProbeRequest(host=self.host, target=target)
        helpers = self.plan.indirect_probers(target, self.table.live_hosts())
        return [Send(host=name, message=request) for name in helpers]

    def _heartbeat(self, neighbour: str, purpose: Purpose) -> PeerHeartbeat:
        changes = self.table.take_changes(neighbour)
        return PeerHeartbeat(
            host=self.host,
            next_offset=self.replica.state.next_offset,
            changes=[pack_status(status) for status in changes],
            purpose=purpose,
        )


def _pack_batch(batch: RecordBatch) -> PeerRecords:
    return PeerRecords(previous_digest=batch.previous_digest, records=batch.records)
