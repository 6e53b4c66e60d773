"""What runners say in responses about taking further requests, checked at each send."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.host.answers import Refusal, RefusalReason, refuse_as_not_run
from lacewinglug.host.fleet import FleetView, LeavingSource
from lacewinglug.host.health import RunnerHealth
from lacewinglug.host.model import RunnerEntry, Stage
from lacewinglug.host.reporting import HostMetrics, LogRateLimiter, RequestTrace
from lacewinglug.platform.headers import decode_response_headers
from lacewinglug.wire.messages import ResponseHead

logger = logging.getLogger(__name__)

PUSH_BACK_LINES_PER_S = 5.0
"""Rate limit of log lines for runners that ask for a pause, per second."""
MAX_NAMED_RUNNERS = 4
"""Maximum number of runners of each kind that the log line of a request names as left
out."""
_UNAVAILABLE = 503


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


@dataclass(frozen=True, kw_only=True, slots=True)
class PushingBack:
    """The runner has asked for a pause.

    :param left_s: time until the pause is over.
    """

    left_s: float


Objection = Unregistered | Leaving | PushingBack
"""Reason for which a runner gets no request."""


@dataclass(kw_only=True)
class RunnerNotices:
    """Records what runners say in responses, and objects to sends against it.

    :param fleet: receives the notices of runners that leave.
    :param health: returns the health of a runner by its instance, which keeps the
        pause that the runner asked for.
    :param metrics: metrics of the host.
    """

    fleet: FleetView
    health: Callable[[str], RunnerHealth]
    metrics: HostMetrics
    _log_limiter: LogRateLimiter = field(
        default_factory=lambda: LogRateLimiter(rate=PUSH_BACK_LINES_PER_S)
    )

    def record(self, entry: RunnerEntry, head: ResponseHead, *, now_s: float) -> None:
        """Record the notices in the head of a response, whatever it responds to.

        :param entry: entry of the runner that the request was sent by.
        """
        metadata = decode_response_headers(head.headers)
        if metadata.leaving and self.fleet.record_leaving(entry, now_s=now_s):
            self.metrics.runner_notices.labels(entry.service, "leaving").inc()
        if head.status == _UNAVAILABLE and metadata.retry_after_s:
            self._record_push_back(entry, metadata.retry_after_s, now_s=now_s)

    def _record_push_back(
        self, entry: RunnerEntry, retry_after_s: float, *, now_s: float
    ) -> None:
        health = self.health(entry.instance)
        known = health.push_back_left_s(entry.born_ms, now_s) > 0
        health.record_push_back(
            born_ms=entry.born_ms, retry_after_s=retry_after_s, now_s=now_s
        )
        self.metrics.runner_notices.labels(entry.service, "push_back").inc()
        if not known and self._log_limiter.try_acquire(now_s):
            logger.info(
                "runner asks for a pause",
                extra={
                    "runner": entry.instance,
                    "born_ms": entry.born_ms,
                    "service": entry.service,
                    "pause_s": round(health.push_back_left_s(entry.born_ms, now_s), 3),
                },
            )

    def find_objection(self, entry: RunnerEntry, *, now_s: float) -> Objection | None:
        """Return why a runner gets no request now, None if it may get one."""
        known = self.fleet.get(entry.instance)
        if known is None:
            return Unregistered()
        for item in (entry, known):
            notice = self.fleet.leaving_notice(item)
            if notice is not None:
                return Leaving(source=notice.source, age_s=now_s - notice.seen_at_s)
        left_s = self.push_back_left_s(known, now_s=now_s)
        return PushingBack(left_s=left_s) if left_s > 0 else None

    def push_back_left_s(self, entry: RunnerEntry, *, now_s: float) -> float:
        """Return the time left of the pause that a runner asked for, in s."""
        return self.health(entry.instance).push_back_left_s(entry.born_ms, now_s)

    def accepting(self, service: str, *, now_s: float) -> tuple[RunnerEntry, ...]:
        """Return the runners of a service that take requests now."""
        return tuple(
            item
            for item in self.fleet.ready(service)
            if self.push_back_left_s(item, now_s=now_s) == 0
        )

    def first_accepts_in_s(self, service: str, *, now_s: float) -> float | None:
        """Return when the first of the runners takes requests again, in s from now.

        Prefill engines don't count, since they can't serve a request alone.

        :returns: None unless all runners have asked for a pause.
        """
        left_s = [
            self.push_back_left_s(item, now_s=now_s)
            for item in self.fleet.ready(service)
            if item.stage is not Stage.PREFILL
        ]
        return min(left_s, default=0.0) or None

    def refuse(
        self,
        trace: RequestTrace,
        reason: RefusalReason,
        *,
        retry_after_s: float,
        now_s: float,
    ) -> Refusal:
        """Return the refusal of a request that has not run.

        It says instead when the first runner takes requests again, if all have asked
        for a pause.
        """
        wait_s = self.first_accepts_in_s(trace.service, now_s=now_s)
        if wait_s is None:
            return refuse_as_not_run(reason, retry_after_s=retry_after_s)
        trace.add_step(
            "refuse",
            now_s=now_s,
            first_accepts_in_ms=round(wait_s * 1000),
            **self.describe_left_out(trace.service, now_s=now_s),
        )
        # Rounded up to the two digits that are sent, or clients would come too early.
        return refuse_as_not_run(
            RefusalReason.PUSHED_BACK, retry_after_s=math.ceil(wait_s * 100) / 100
        )

    def describe_left_out(self, service: str, *, now_s: float) -> dict[str, object]:
        """Return log fields that name runners which only this host leaves out."""
        left_out = {
            "leaving": self.fleet.leaving_by_response(service),
            "pushing_back": [
                item.instance
                for item in self.fleet.ready(service)
                if self.push_back_left_s(item, now_s=now_s) > 0
            ],
        }
        return {
            kind: names[:MAX_NAMED_RUNNERS] for kind, names in left_out.items() if names
        }


def describe_objection(objection: Objection) -> str:
    """Return a short description for errors."""
    match objection:
        case Unregistered() | Leaving():
            return "runner is draining or has left"
        case PushingBack():
            return "runner has asked for a pause"


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
        case PushingBack(left_s=left_s):
            return {"reason": "push_back", "left_ms": round(left_s * 1000)}
