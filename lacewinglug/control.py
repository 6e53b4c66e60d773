"""Messages between stewards, and between a steward and its local entry."""

from typing import Literal

import msgspec

from lacewinglug.authority.state import ControlState, Tenure
from lacewinglug.backing.log import StoredRecord
from lacewinglug.config.objects import Fleet
from lacewinglug.upstream.messages import LoadReport


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    pass


class EntryHello(_Message, frozen=True, kw_only=True):
    """Heartbeat of an entry to its steward.

    :param host: name of the host.
    :param incarnation: run of the entry process.
    :param revision: revision that the entry serves with, 0 for none.
    :param running: requests in progress.
    :param leaving: whether the entry is shutting down.
    """

    host: str
    incarnation: str
    revision: int
    running: int
    leaving: bool


class ConfigView(_Message, frozen=True, kw_only=True):
    """What the log says, for the entry to serve with.

    :param revision: revision of the configuration.
    :param next_offset: offset up to which the log was replayed.
    :param fleet: the configuration.
    :param draining: hosts and runners that get no new work.
    :param withdrawn: hosts and runners that are gone.
    :param tenures: current tenure of each order domain.
    :param halted: why no further record is applied, empty while they are.
    """

    revision: int
    next_offset: int
    fleet: Fleet
    draining: list[str]
    withdrawn: list[str]
    tenures: dict[str, Tenure]
    halted: str = ""


class RunnerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The last load report of a runner.

    :param runner: name of the runner.
    :param report: the report.
    :param age_s: age of the report when sent, in seconds.
    """

    runner: str
    report: LoadReport
    age_s: float


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a steward knows of an entry host.

    :param host: name of the host.
    :param incarnation: run of its entry process, empty when unknown.
    :param revision: revision that its entry serves with.
    :param running: requests in progress at its entry.
    :param state: ``live``, ``suspect`` or ``leaving`` between stewards; any
        state of the chart ``host`` towards the entry.
    :param version: number that the host raises with each change.
    :param leaving_upstreams: hosts and runners that it saw leaving.
    """

    host: str
    incarnation: str
    revision: int
    running: int
    state: str
    version: int = 0
    leaving_upstreams: tuple[str, ...] = ()


class StatusView(_Message, frozen=True, kw_only=True):
    """Load of the runners and state of the hosts.

    :param runners: status of the runners that the steward polls.
    :param hosts: status of the hosts, None when nothing changed.
    :param leaving: hosts and runners that some host saw leaving.
    """

    runners: list[RunnerStatus]
    hosts: list[HostStatus] | None
    leaving: list[str] = []


class StatusChange(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A host's status in the compact form that stewards exchange."""

    host: str
    incarnation: str
    version: int
    revision: int
    running: int
    state: str
    leaving_upstreams: tuple[str, ...]


class PeerHeartbeat(_Message, frozen=True, kw_only=True):
    """Heartbeat between stewards.

    :param host: name of the sender's host.
    :param next_offset: offset up to which the sender replayed the log.
    :param changes: statuses that the receiver may lack.
    :param purpose: a probe is answered by a reply on the same connection; a
        change is not answered.
    """

    host: str
    next_offset: int
    changes: list[StatusChange]
    purpose: Literal["probe", "reply", "change"]


class ProbeRequest(_Message, frozen=True, kw_only=True):
    """Asks a steward to send a heartbeat to a host that is silent here.

    :param host: name of the sender's host.
    :param target: the silent host.
    """

    host: str
    target: str


class ProbeReply(_Message, frozen=True, kw_only=True):
    """Says that a host answered.

    :param target: the host that answered.
    """

    target: str


class RecordsWanted(_Message, frozen=True, kw_only=True):
    """Asks a steward for records of the log.

    :param host: name of the sender's host.
    :param from_offset: offset of the first record wanted.
    """

    host: str
    from_offset: int


class PeerRecords(_Message, frozen=True, kw_only=True):
    """Records of the log, handed on.

    :param previous_digest: digest of the record before them.
    :param records: consecutive records.
    """

    previous_digest: str
    records: list[StoredRecord]


class PeerState(_Message, frozen=True, kw_only=True):
    """A whole replayed state, for a steward that lacks too many records.

    :param state: the state.
    """

    state: ControlState


PeerMessage = (
    PeerHeartbeat | ProbeRequest | ProbeReply | RecordsWanted | PeerRecords | PeerState
)
ControlMessage = EntryHello | ConfigView | StatusView | PeerMessage

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ControlMessage)


def encode_message(message: ControlMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> ControlMessage | None:
    """Return a message, or None when the bytes are not one."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def pack_status(status: HostStatus) -> StatusChange:
    """Return the compact form of a status."""
    return StatusChange(
        host=status.host,
        incarnation=status.incarnation,
        version=status.version,
        revision=status.revision,
        running=status.running,
        state=status.state,
        leaving_upstreams=status.leaving_upstreams,
    )


def unpack_status(change: StatusChange) -> HostStatus:
    """Return a status from its compact form."""
    return HostStatus(
        host=change.host,
        incarnation=change.incarnation,
        version=change.version,
        revision=change.revision,
        running=change.running,
        state=change.state,
        leaving_upstreams=change.leaving_upstreams,
    )
