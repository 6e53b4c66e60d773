"""What clients, runners and the injector of faults have seen in a soak."""

from dataclasses import dataclass, field
from enum import Enum

EVENTS = 4
"""Events of the shortest streams."""
SHORT_EVENTS = 30
LONG_INTERVAL = 5


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

    :param sent_s: time at which the client began to send it.
    :param all_sent_s: time at which the last byte was sent, None if it never was.
    :param paused_s: time for which the client did not read.
    :param deadline_s: time that the client gives.
    :param gave_up: whether the client closed the connection, some time after its
        deadline.
    :param status: status of the answer, None where there was none.
    :param whole: whether the answer came to its proper end.
    :param events: events of the answer if it is a stream.
    """

    request_id: str
    kind: Kind
    host: str
    target: str
    body: bytes
    ended_s: float
    sent_s: float = 0.0
    all_sent_s: float | None = 0.0
    paused_s: float = 0.0
    deadline_s: float = 60.0
    events: int = EVENTS
    gave_up: bool = False
    status: int | None = None
    signature: str = ""
    answer: bytes = b""
    whole: bool = False

    @property
    def route(self):
        """Name of the route that its path has."""
        return self.target.split("/")[1]


@dataclass(kw_only=True)
class Run:
    """A request as a runner got it.

    :param ended_s: time at which the runner's work on it ended.
    :param broken_off: whether the runner broke the answer off.
    """

    request_id: str
    instance: str
    target: str
    body: bytes
    ended_s: float = float("inf")
    broken_off: bool = False


@dataclass(frozen=True, kw_only=True)
class Published:
    """A version of the configuration.

    :param timeouts_s: timeout of each route.
    """

    version: int
    at_s: float
    timeouts_s: dict[str, float]


@dataclass(frozen=True, kw_only=True)
class Trace:
    """What the log of a host says about the end of a request.

    :param gave_up: whether the host gave an engine up because of its silence.
    """

    took_s: float
    route: str
    version: int
    gave_up: bool


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

    :param calm: whether there was planned work only, and trouble of the store.
    :param grace_s: time that a host has after SIGTERM.
    :param stops: hosts that got SIGTERM, and when.
    :param traces: ends of requests in the logs of the host that took each, by id.
    :param errors: log lines that no host should write.
    :param exits: hosts that ended by themselves.
    :param unrecovered: hosts that did not serve again after the last fault.
    """

    calm: bool = False
    grace_s: float = 4.0
    published: list[Published] = field(default_factory=list)
    stops: list[tuple[str, float]] = field(default_factory=list)
    traces: dict[str, Trace] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    exits: list[str] = field(default_factory=list)
    unrecovered: list[str] = field(default_factory=list)


def count_events(target, most):
    """Return the number of events of the stream that answers a path.

    :param most: events of the longest streams; one in five may have so many.
    """
    number = int(target.rpartition("/")[2])
    if number % LONG_INTERVAL:
        most = min(most, SHORT_EVENTS)
    return EVENTS + number % (most - EVENTS + 1)


def plain_answer(request_id):
    """Return the body that a runner gives to a plain call."""
    return f"done {request_id}".encode()


def stream_event(request_id, number):
    """Return one event of the stream that a runner gives to a prompt."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


def stream_answer(request_id, events):
    """Return the whole stream that a runner gives to a prompt."""
    return b"".join(stream_event(request_id, n) for n in range(1, events + 1))
