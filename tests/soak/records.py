"""What clients, runners and the injector of faults have seen in a soak."""

from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """What may be repeated of a request; the value is its route."""

    SAFE = "status"
    UNSAFE = "unlock"
    RESUMABLE = "ask"
    STREAM = "notes"

    @property
    def idempotent(self):
        """Whether it may run more than once."""
        return self in (Kind.SAFE, Kind.RESUMABLE)

    @property
    def streams(self):
        """Whether its answer is a stream."""
        return self in (Kind.RESUMABLE, Kind.STREAM)


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A request and how it ended for its client.

    :param status: status of the answer, None where there was none.
    :param whole: whether the answer came to its proper end.
    """

    request_id: str
    kind: Kind
    host: str
    target: str
    body: bytes
    ended_s: float
    status: int | None = None
    signature: str = ""
    answer: bytes = b""
    whole: bool = False


@dataclass(frozen=True, kw_only=True)
class Run:
    """A request as a runner got it."""

    request_id: str
    instance: str
    target: str
    body: bytes


@dataclass(kw_only=True)
class Fault:
    """Something that was done to the fleet.

    :param planned: whether no request may be cut by it.
    """

    name: str
    start_s: float
    end_s: float
    planned: bool = False


@dataclass(kw_only=True)
class Evidence:
    """All that was seen in a soak.

    :param exits: hosts that ended by themselves.
    :param unrecovered: hosts that did not serve again after the last fault.
    """

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    exits: list[str] = field(default_factory=list)
    unrecovered: list[str] = field(default_factory=list)


def plain_answer(request_id):
    """Return the body that a runner gives to a plain call."""
    return f"done {request_id}".encode()


def stream_event(request_id, number):
    """Return one event of the stream that a runner gives to a prompt."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


def stream_answer(request_id, events):
    """Return the whole stream that a runner gives to a prompt."""
    return b"".join(stream_event(request_id, n) for n in range(1, events + 1))
