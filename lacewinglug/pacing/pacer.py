"""Tracks which runners are in their ramp, and what a further request there costs."""

import logging
import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

from lacewinglug.host.model import RunnerEntry
from lacewinglug.pacing.ramp import (
    FAILURE_MEMORY_S,
    Ramp,
    RampEnd,
    RampLoad,
    RampReason,
    choose_turn,
)

logger = logging.getLogger(__name__)

ESTABLISHED_S = 10.0
"""Time for which a host must have known a runner for it to carry the work of others in
their ramp, in s. At the start of a deployment no runner is established, so that none is
paced."""
TURN_S = 0.25
"""Time after which other hosts have their turn at a runner, in s; about the lag at
which 61 hosts learn of each other's work."""
MAX_REMEMBERED_ADDRESSES = 256
"""Maximum number of addresses whose last ramp is remembered; several times the runners
of a service."""


@dataclass(kw_only=True, slots=True)
class _KnownRunner:
    entry: RunnerEntry
    since_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _PastRamp:
    ended_s: float
    failures: int


class PacedRequest:
    """A request of this host to a runner in its ramp.

    :param ramp: the ramp that its answer adapts.
    :param tokens: prompt tokens, 0 for plain calls.
    :param expected_s: expected time to the first part of the answer, None if unknown.
    """

    def __init__(self, *, ramp: Ramp, tokens: int, expected_s: float | None) -> None:
        self._ramp = ramp
        self._tokens = tokens
        self._expected_s = expected_s
        self._is_judged = False
        self._has_ended = False
        ramp.own_tokens += tokens

    def record_answer(self, *, took_s: float, host_count: int, now_s: float) -> None:
        """Adapt the ramp to the first part of an answer."""
        if self._is_judged or self._expected_s is None:
            return
        self._is_judged = True
        self._ramp.record_answer(
            took_s=took_s,
            expected_s=self._expected_s,
            host_count=host_count,
            now_s=now_s,
        )

    def record_rejection(self, *, now_s: float) -> None:
        """Adapt the ramp to a rejection or an error of the runner."""
        if not self._is_judged:
            self._is_judged = True
            self._ramp.record_rejection(now_s=now_s)

    def end(self, *, took_s: float, now_s: float) -> None:
        """Record that the request is over; one that is late without answer counts."""
        if self._has_ended:
            return
        self._has_ended = True
        self._ramp.own_tokens -= self._tokens
        if not self._is_judged and self._expected_s is not None:
            self._is_judged = True
            self._ramp.record_no_answer(
                waited_s=took_s, expected_s=self._expected_s, now_s=now_s
            )


@dataclass(kw_only=True)
class RunnerPacer:
    """Paces the runners of all services for one host.

    :param host: name of the host.
    """

    host: str = ""
    _known: dict[str, _KnownRunner] = field(default_factory=dict)
    _ramps: dict[str, Ramp] = field(default_factory=dict)
    _views: dict[str, Sequence[RunnerEntry]] = field(default_factory=dict)
    _past: dict[str, _PastRamp] = field(default_factory=dict)

    @property
    def is_active(self) -> bool:
        """Whether any runner is in its ramp."""
        return bool(self._ramps)

    def observe(
        self, service: str, entries: Sequence[RunnerEntry], *, now_s: float
    ) -> None:
        """Take note of the runners of a service that accept work.

        The first view of a service begins no ramp, since the host doesn't know which
        runners have just started.

        :param entries: the view; the same object as before if it has not changed.
        """
        before = self._views.get(service)
        if entries is before or (not entries and before is None):
            return
        self._views[service] = entries
        for item in entries:
            known = self._known.get(item.instance)
            if known is not None and known.entry.born_ms == item.born_ms:
                known.entry = item
                continue
            returned = known is None and item.address in self._past
            if known is not None:
                self._remember(known.entry, now_s=now_s)
                self._end(item.instance, RampEnd.DEPARTED, now_s=now_s)
            self._known[item.instance] = _KnownRunner(entry=item, since_s=now_s)
            if before is not None and self._has_established(entries, now_s=now_s):
                reason = RampReason.RETURNED if returned else RampReason.STARTED
                self._begin(item, reason, began_s=now_s, now_s=now_s)
        listed = {item.instance for item in entries}
        for item in before or ():
            if item.instance not in listed:
                self._known.pop(item.instance, None)
                self._remember(item, now_s=now_s)
                self._end(item.instance, RampEnd.DEPARTED, now_s=now_s)

    def interrupt(self, instance: str, *, until_s: float, now_s: float) -> None:
        """Record that a runner gets no requests until some time.

        Its ramp begins then; one that is in progress begins again.
        """
        known = self._known.get(instance)
        if known is None:
            return
        ramp = self._ramps.get(instance)
        if ramp is None:
            self._begin(
                known.entry, RampReason.INTERRUPTED, began_s=until_s, now_s=now_s
            )
        elif now_s < ramp.began_s:
            # Other requests in progress met the same failure.
            ramp.postpone(began_s=max(until_s, ramp.began_s))
        else:
            ramp.restart(began_s=until_s)
            self._log("runner interrupted in its ramp", instance, ramp, now_s=now_s)

    def advance(self, *, now_s: float) -> None:
        """End the ramps that are over."""
        for instance, ramp in list(self._ramps.items()):
            reason = ramp.end(now_s)
            if reason is not None:
                self._remember(self._known[instance].entry, now_s=now_s)
                self._end(instance, reason, now_s=now_s)

    def is_paced(self, instance: str) -> bool:
        """Return whether a runner is in its ramp."""
        return instance in self._ramps

    def settled_share(self, service: str, *, now_s: float) -> float:
        """Return the share of a service's runners that can carry the work of others.

        Costs are multiplied by it, so that they vanish if all runners start together.
        """
        entries = self._views.get(service, ())
        if not entries:
            return 0.0
        settled = sum(self._is_established(item, now_s=now_s) for item in entries)
        return settled / len(entries)

    def own_tokens(self, instance: str) -> int:
        """Return the prompt tokens of this host's requests at a runner in its ramp."""
        ramp = self._ramps.get(instance)
        return 0 if ramp is None else ramp.own_tokens

    def cost_s(
        self,
        instance: str,
        load: RampLoad,
        *,
        size: float,
        host_count: int,
        now_s: float,
    ) -> float:
        """Return the cost of one more request, in s, before the share of others.

        :param size: size of the request relative to a typical one.
        """
        ramp = self._ramps.get(instance)
        if ramp is None:
            return 0.0
        turn = choose_turn(
            zlib.crc32(self.host.encode()),
            zlib.crc32(instance.encode()),
            int(now_s / TURN_S),
        )
        return ramp.cost_s(
            load, size=size, host_count=max(1, host_count), turn=turn, now_s=now_s
        )

    def begin_request(
        self, instance: str, *, tokens: int, expected_s: float | None
    ) -> PacedRequest | None:
        """Return a request whose answer is judged, None outside of a ramp."""
        ramp = self._ramps.get(instance)
        if ramp is None:
            return None
        return PacedRequest(ramp=ramp, tokens=tokens, expected_s=expected_s)

    def limits(self, *, now_s: float) -> dict[tuple[str, str], float]:
        """Return the limits of all runners in their ramp, by service and instance."""
        return {
            (self._known[instance].entry.service, instance): ramp.limit(now_s)
            for instance, ramp in self._ramps.items()
        }

    def _has_established(self, entries: Sequence[RunnerEntry], *, now_s: float) -> bool:
        return any(self._is_established(item, now_s=now_s) for item in entries)

    def _is_established(self, entry: RunnerEntry, *, now_s: float) -> bool:
        known = self._known.get(entry.instance)
        return (
            known is not None
            and known.entry.born_ms == entry.born_ms
            and entry.instance not in self._ramps
            and now_s - known.since_s >= ESTABLISHED_S
        )

    def _begin(
        self, entry: RunnerEntry, reason: RampReason, *, began_s: float, now_s: float
    ) -> None:
        past = self._past.get(entry.address)
        failures = 0
        if past is not None and now_s - past.ended_s < FAILURE_MEMORY_S:
            failures = past.failures + 1
        ramp = Ramp(
            reason=reason,
            began_s=began_s,
            slots=max(1, entry.slots),
            cold_until_s=now_s + entry.cold_s,
            failures=failures,
        )
        self._ramps[entry.instance] = ramp
        self._log("runner ramp begins", entry.instance, ramp, now_s=now_s)

    def _remember(self, entry: RunnerEntry, *, now_s: float) -> None:
        """Remember when a ramp ended or a runner left, by its address."""
        ramp = self._ramps.get(entry.instance)
        self._past.pop(entry.address, None)
        self._past[entry.address] = _PastRamp(
            ended_s=now_s if ramp is not None else -math.inf,
            failures=0 if ramp is None else ramp.failures,
        )
        while len(self._past) > MAX_REMEMBERED_ADDRESSES:
            del self._past[next(iter(self._past))]

    def _end(self, instance: str, reason: RampEnd, *, now_s: float) -> None:
        ramp = self._ramps.pop(instance, None)
        if ramp is not None:
            self._log("runner ramp ends", instance, ramp, now_s=now_s, end=reason.value)

    def _log(
        self, message: str, instance: str, ramp: Ramp, *, now_s: float, end: str = ""
    ) -> None:
        logger.info(
            message,
            extra={
                "runner": instance,
                "reason": ramp.reason.value,
                "end": end,
                "starts_in_ms": round(max(0.0, ramp.began_s - now_s) * 1000),
                "lasted_ms": round(max(0.0, now_s - ramp.began_s) * 1000),
                "limit": round(ramp.limit(now_s), 1),
                "slots": ramp.slots,
                "cold_ms": round(max(0.0, ramp.cold_until_s - now_s) * 1000),
                "failures": ramp.failures,
                "in_time": ramp.in_time,
                "late": ramp.late,
                "rejected": ramp.rejected,
            },
        )
