"""Heartbeats between hosts, and what they say of each host's state."""

from dataclasses import dataclass, field

from lacewinglug.control import HostStatus

SUSPECT_AFTER_S = 3.0
NEIGHBOUR_COUNT = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class TimedStatus:
    """A host's status and when it came.

    :param status: the status.
    :param received_at_s: monotonic time of its arrival, in seconds.
    """

    status: HostStatus
    received_at_s: float


@dataclass(kw_only=True)
class HostTable:
    """The last status of each host."""

    entries: dict[str, TimedStatus] = field(default_factory=dict)

    def note(self, status: HostStatus, *, now_s: float) -> None:
        """Take a status that came from the host itself."""
        self.entries[status.host] = TimedStatus(status=status, received_at_s=now_s)

    def statuses(self, *, now_s: float) -> list[HostStatus]:
        """Return the status of each host, silent ones as suspect."""
        result = []
        for item in self.entries.values():
            status = item.status
            if now_s - item.received_at_s > SUSPECT_AFTER_S:
                status = HostStatus(
                    host=status.host,
                    incarnation=status.incarnation,
                    revision=status.revision,
                    running=status.running,
                    state="suspect",
                )
            result.append(status)
        return result
