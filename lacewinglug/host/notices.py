"""What runners say in responses about taking further requests, checked at each send."""

from dataclasses import dataclass

from lacewinglug.host.fleet import FleetView, LeavingSource
from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.reporting import HostMetrics
from lacewinglug.platform.headers import decode_response_headers
from lacewinglug.wire.messages import ResponseHead

MAX_NAMED_RUNNERS = 4
"""Maximum number of runners that the log line of a request names as left out."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Unregistered:
    """The runner is no longer registered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """The runner leaves.

    :param source: where the host learned it.
    :param age_s: time since then.
    """

    source: LeavingSource
    age_s: float


Objection = Unregistered | Leaving
"""Reason for which a runner gets no request."""


@dataclass(kw_only=True)
class RunnerNotices:
    """Records what runners say in responses, and objects to sends against it.

    :param fleet: receives the notices of runners that leave.
    :param metrics: metrics of the host.
    """

    fleet: FleetView
    metrics: HostMetrics

    def record(self, entry: RunnerEntry, head: ResponseHead, *, now_s: float) -> None:
        """Record the notices in the head of a response, whatever it responds to.

        :param entry: entry of the runner that the request was sent by.
        """
        metadata = decode_response_headers(head.headers)
        if metadata.leaving and self.fleet.record_leaving(entry, now_s=now_s):
            self.metrics.runner_notices.labels(entry.service, "leaving").inc()

    def find_objection(self, entry: RunnerEntry, *, now_s: float) -> Objection | None:
        """Return why a runner gets no request now, None if it may get one."""
        known = self.fleet.get(entry.instance)
        if known is None:
            return Unregistered()
        for item in (entry, known):
            notice = self.fleet.leaving_notice(item)
            if notice is not None:
                return Leaving(source=notice.source, age_s=now_s - notice.seen_at_s)
        return None

    def describe_left_out(self, service: str) -> dict[str, object]:
        """Return log fields that name runners which only this host leaves out."""
        leaving = self.fleet.leaving_by_response(service)
        return {"leaving": leaving[:MAX_NAMED_RUNNERS]} if leaving else {}


def describe_objection(objection: Objection) -> str:
    """Return a short description for errors."""
    match objection:
        case Unregistered() | Leaving():
            return "runner is draining or has left"


def objection_fields(objection: Objection) -> dict[str, object]:
    """Return the fields of an objection for the log line of a request."""
    match objection:
        case Unregistered():
            return {"reason": "unregistered"}
        case Leaving(source=source, age_s=age_s):
            return {
                "reason": "leaving",
                "source": source.value,
                "age_ms": round(age_s * 1000),
            }
