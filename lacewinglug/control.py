"""Messages between stewards, and between a steward and its local entry."""

import msgspec

from lacewinglug.authority.replay import Tenure
from lacewinglug.config.objects import Fleet
from lacewinglug.upstream.messages import LoadReport


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
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
    """

    revision: int
    next_offset: int
    fleet: Fleet
    draining: list[str]
    withdrawn: list[str]
    tenures: dict[str, Tenure]


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
    :param state: ``live``, ``suspect``, ``leaving`` or ``gone``.
    """

    host: str
    incarnation: str
    revision: int
    running: int
    state: str


class StatusView(_Message, frozen=True, kw_only=True):
    """Load of the runners and state of the hosts.

    :param runners: status of the runners that the steward polls.
    :param hosts: status of the hosts.
    """

    runners: list[RunnerStatus]
    hosts: list[HostStatus]


class PeerHeartbeat(_Message, frozen=True, kw_only=True):
    """Heartbeat between stewards.

    :param status: status of the sender's host.
    :param steward_incarnation: run of the sender.
    """

    status: HostStatus
    steward_incarnation: str


ControlMessage = EntryHello | ConfigView | StatusView | PeerHeartbeat

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
