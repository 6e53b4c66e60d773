"""Quarantines prompt parts whose requests crash engines."""

import logging
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import chain
from types import MappingProxyType

from lacewinglug.host.residency import format_part

logger = logging.getLogger(__name__)

CRASHES_TO_QUARANTINE = 2
"""Separate crashes after which a part is quarantined if no request with it was ever
answered."""
CRASHES_TO_QUARANTINE_PROVEN = 4
"""Separate crashes, without an answer since the first of them, after which a part is
quarantined if requests with it were answered before."""
COMMON_CAUSE_S = 0.15
"""Time within which crashes of several engines count as one, in seconds: a loss of
power ends engines that have nothing else in common. It covers the network delays after
which hosts notice."""
SAME_CRASH_S = 2.0
"""Maximum difference between the reports of several hosts on one crash, in seconds; an
engine takes longer to restart."""
EVIDENCE_TTL_S = 3600.0
"""Time after the last crash after which a part is no longer suspected, in seconds."""
FIRST_TRIAL_S = 20.0
"""Time after which one request with a quarantined part is admitted, in seconds; several
times the restart of an engine."""
TRIAL_INTERVAL_FACTOR = 4.0
"""Factor by which the time to the next trial grows."""
MAX_TRIAL_INTERVAL_S = 600.0
"""Maximum time to the next trial, in seconds."""
TRIAL_SPREAD = 0.25
"""Maximum random extension of the time to a trial, as a fraction, so that several hosts
do not start the same trial."""
MIN_RETRY_AFTER_S = 1.0
"""Minimum ``Retry-After`` for requests with a quarantined part, in seconds."""
MAX_RETRY_AFTER_S = 60.0
"""Maximum ``Retry-After`` for such requests, in seconds."""
MAX_SUSPECTS = 256
"""Maximum number of suspected parts; the least recently reported one is dropped."""
MAX_CRASHES_PER_PART = 8
"""Maximum number of crashes that are remembered for a part. With so many, it gets no
more trials."""
MAX_PARTS_PER_CRASH = 32
"""Maximum number of parts of one request that are suspected because of one crash."""
MAX_LEFT_OUT_PARTS = 8192
"""Maximum number of further parts of such requests whose crashes a host remembers for
itself; the headers of a request hold a fraction of it."""
PROVEN_REPEAT_INTERVAL_S = 0.25
"""Minimum time between repeated news of answers, in seconds."""
MAX_PROVEN_PARTS = 8192
"""Maximum number of parts that are remembered as answered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """A crash of an engine that was beginning to answer a request.

    :param engine: hash of the engine's instance and start time.
    :param at_s: monotonic time of the crash.
    """

    engine: int
    at_s: float

    def is_same(self, other: "Crash") -> bool:
        """Return whether both are reports on one crash.

        An engine can crash again before hosts know its new start time, so the engine
        alone does not tell.
        """
        same_engine = self.engine == other.engine
        return same_engine and abs(self.at_s - other.at_s) < SAME_CRASH_S


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectReport:
    """What a host knows about a suspected part, as sent to other hosts.

    :param part: key of the part.
    :param crashes: engine and age in seconds of each crash.
    :param proven: whether a request with the part was answered before the crashes.
    :param trial_count: requests with the part that were admitted in its quarantine.
    :param next_trial_s: time until the next one, in seconds.
    """

    part: int
    crashes: tuple[tuple[int, float], ...]
    proven: bool = False
    trial_count: int = 0
    next_trial_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """A request may be sent to engines.

    :param trial: whether it tests a quarantined part.
    """

    trial: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Quarantined:
    """A request must not be sent to engines.

    :param part: key of the part that is quarantined.
    :param crash_count: crashes that are known for it.
    :param retry_after_s: time until the next trial, in seconds.
    """

    part: int
    crash_count: int
    retry_after_s: float


@dataclass(kw_only=True, slots=True, eq=False)
class _Suspect:
    crashes: list[Crash] = field(default_factory=list)
    proven: bool = False
    quarantined: bool = False
    ambiguous: bool = False
    trial_count: int = 0
    next_trial_at_s: float = 0.0

    @property
    def threshold(self) -> int:
        return CRASHES_TO_QUARANTINE_PROVEN if self.proven else CRASHES_TO_QUARANTINE

    @property
    def strength(self) -> tuple[bool, int, int]:
        """Evidence against the part, in the order in which it counts."""
        return (not self.proven, self.count_separate(), len(self.crashes))

    @property
    def may_be_tested(self) -> bool:
        """Whether the part gets further trials."""
        return len(self.crashes) < MAX_CRASHES_PER_PART

    def is_trial_due(self, *, alone: bool, now_s: float) -> bool:
        """Return whether a request may test the part now.

        :param alone: whether the request has no other quarantined part.
        """
        if not self.may_be_tested:
            return False
        if alone and self.ambiguous and self.trial_count == 0:
            return True
        return now_s >= self.next_trial_at_s

    def is_expired(self, *, now_s: float) -> bool:
        """Return whether the last crash was too long ago to count."""
        return now_s - self.crashes[-1].at_s > EVIDENCE_TTL_S

    def add(self, crash: Crash) -> bool:
        """Add a crash; return whether it was unknown."""
        if _is_among(crash, self.crashes):
            return False
        self.crashes.append(crash)
        self.crashes.sort(key=lambda item: item.at_s)
        del self.crashes[:-MAX_CRASHES_PER_PART]
        return True

    def has_same_crashes(self, other: "_Suspect") -> bool:
        """Return whether the same crashes speak against another part."""
        if len(self.crashes) != len(other.crashes):
            return False
        # This alone tells most parts apart, in a fraction of the time.
        if abs(self.crashes[-1].at_s - other.crashes[-1].at_s) >= SAME_CRASH_S:
            return False
        return all(_is_among(crash, other.crashes) for crash in self.crashes)

    def count_separate(
        self, explained: Mapping[int, Sequence[Crash]] = MappingProxyType({})
    ) -> int:
        """Return the number of crashes that are apart and not explained otherwise.

        :param explained: crashes that another part explains, by engine.
        """
        count = 0
        group_start_s = float("-inf")
        for crash in self.crashes:
            if _is_among(crash, explained.get(crash.engine, ())):
                continue
            if crash.at_s - group_start_s > COMMON_CAUSE_S:
                count += 1
                group_start_s = crash.at_s
        return count


@dataclass(kw_only=True)
class PartQuarantine:
    """Prompt parts that are suspected to crash engines, as all hosts know them.

    Each host reports the parts of the requests that an engine was beginning to answer
    when it crashed, and the parts of requests that were answered. A part that occurs in
    several crashes and in no answer is quarantined. From the same reports each host
    derives the same result.

    :param random_fraction: returns random numbers from 0 to 1.
    :param on_suspect: called with news about a part that other hosts need.
    :param on_proven: called with a part of which other hosts need to know that a
        request with it was answered.
    """

    random_fraction: Callable[[], float] = random.random
    on_suspect: Callable[[SuspectReport], None] = lambda _: None
    on_proven: Callable[[int], None] = lambda _: None
    _suspects: OrderedDict[int, _Suspect] = field(default_factory=OrderedDict)
    _left_out: OrderedDict[int, _Suspect] = field(default_factory=OrderedDict)
    _proven_at_s: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _proven_repeated_at_s: float = float("-inf")

    def is_proven(self, part: int) -> bool:
        """Return whether a request with a part was answered, with no crash since."""
        return part in self._proven_at_s and part not in self._suspects

    def is_suspicious(self, parts: Iterable[int]) -> bool:
        """Return whether a request that lost its engine must not be sent to another.

        It may be if requests with each of its parts were answered before, and none of
        the parts occurred in several crashes since.
        """
        return any(
            part not in self._proven_at_s
            or (part in self._suspects and self._suspects[part].count_separate() > 1)
            for part in parts
        )

    def find_quarantined(
        self, parts: Iterable[int], *, now_s: float
    ) -> Quarantined | None:
        """Return the first of the parts that is quarantined, None without one."""
        for part in parts if self._suspects else ():
            suspect = self._suspects.get(part)
            if suspect is None or not suspect.quarantined:
                continue
            left_s = suspect.next_trial_at_s - now_s
            if not suspect.may_be_tested:
                left_s = MAX_RETRY_AFTER_S
            return Quarantined(
                part=part,
                crash_count=len(suspect.crashes),
                retry_after_s=min(max(left_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S),
            )
        return None

    def quarantined_parts(self) -> list[int]:
        """Return all quarantined parts."""
        return [key for key, item in self._suspects.items() if item.quarantined]

    def admit(self, parts: Sequence[int], *, now_s: float) -> Admitted | Quarantined:
        """Decide whether a request with the given parts may be sent to engines.

        A request is admitted as a trial when one is due for all its quarantined parts.
        """
        self._remove_expired(now_s=now_s)
        quarantined = self.find_quarantined(parts, now_s=now_s)
        if quarantined is None:
            return Admitted()
        tested = {part for part in parts if self._is_quarantined(part)}
        alone = len(tested) == 1
        for part in tested:
            if not self._suspects[part].is_trial_due(alone=alone, now_s=now_s):
                return quarantined
        for part in tested:
            self._start_trial(part, now_s=now_s)
        return Admitted(trial=True)

    def return_trial(self, parts: Iterable[int], *, now_s: float) -> None:
        """Allow another trial soon, since the last one did not reach an engine."""
        for part in {part for part in parts if self._is_quarantined(part)}:
            suspect = self._suspects[part]
            suspect.trial_count = max(0, suspect.trial_count - 1)
            self._set_next_trial(suspect, MIN_RETRY_AFTER_S, now_s=now_s)

    def record_crash(self, parts: Sequence[int], crash: Crash, *, now_s: float) -> None:
        """Record that an engine crashed while it began to answer a request.

        If the request has parts that are quarantined, only these are suspected.
        """
        quarantined = [part for part in parts if self._is_quarantined(part)]
        ranked = self._rank(quarantined or parts)
        news = {}
        for part in ranked[:MAX_PARTS_PER_CRASH]:
            unknown = part not in self._suspects
            suspect = self._suspect(part)
            if suspect.add(crash) or unknown:
                news[part] = suspect
        for part in ranked[MAX_PARTS_PER_CRASH:]:
            self._leave_out(part, crash)
        if news:
            self._update(now_s=now_s)
        for part, suspect in news.items():
            self.on_suspect(_make_report(part, suspect, now_s=now_s))

    def record_answer(self, parts: Iterable[int], *, now_s: float) -> None:
        """Record that a request with the given parts was answered."""
        for part in parts:
            known = part in self._proven_at_s
            if self._mark_proven(part, now_s=now_s) or not known:
                self.on_proven(part)

    def apply_proven(self, part: int, *, now_s: float) -> None:
        """Apply the news that another host had a request with a part answered."""
        self._mark_proven(part, now_s=now_s)

    def apply_report(self, report: SuspectReport, *, now_s: float) -> None:
        """Add what another host knows about a suspected part."""
        proven_at_s = self._proven_at_s.get(report.part, float("-inf"))
        crashes = [
            Crash(engine=engine, at_s=now_s - age_s)
            for engine, age_s in report.crashes[:MAX_CRASHES_PER_PART]
            if now_s - age_s > proven_at_s and age_s < EVIDENCE_TTL_S
        ]
        if not crashes:
            self._repeat_proven(report.part, now_s=now_s)
            return
        left_out = report.part in self._left_out
        suspect = self._suspect(report.part)
        changed = left_out or (report.proven and not suspect.proven)
        suspect.proven = suspect.proven or report.proven
        for crash in crashes:
            changed = suspect.add(crash) or changed
        if changed:
            self._update(now_s=now_s)
        if report.trial_count > suspect.trial_count:
            suspect.trial_count = report.trial_count
            suspect.next_trial_at_s = now_s + report.next_trial_s
        if left_out:
            self.on_suspect(_make_report(report.part, suspect, now_s=now_s))

    def reports(self, *, now_s: float) -> list[SuspectReport]:
        """Return all suspected parts, the quarantined ones first."""
        ordered = sorted(
            self._suspects.items(), key=lambda item: not item[1].quarantined
        )
        return [_make_report(part, suspect, now_s=now_s) for part, suspect in ordered]

    def _is_quarantined(self, part: int) -> bool:
        suspect = self._suspects.get(part)
        return suspect is not None and suspect.quarantined

    def _suspect(self, part: int) -> _Suspect:
        suspect = self._suspects.get(part)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._drop_oldest_suspect()
            suspect = self._left_out.pop(part, None) or _Suspect()
            suspect.proven = part in self._proven_at_s
            self._suspects[part] = suspect
        self._suspects.move_to_end(part)
        return suspect

    def _rank(self, parts: Iterable[int]) -> list[int]:
        """Return the parts to suspect of a crash, the likeliest first.

        These are the parts of most earlier crashes, then those with which no request
        was answered, then random ones: a deadly part that comes with many new parts is
        found wherever it stands in the prompt.
        """
        ranked = list(dict.fromkeys(parts))
        if len(ranked) > MAX_PARTS_PER_CRASH:
            ranked.sort(
                key=lambda part: (
                    -self._count_crashes(part),
                    self.is_proven(part),
                    self.random_fraction(),
                )
            )
        return ranked

    def _count_crashes(self, part: int) -> int:
        suspect = self._suspects.get(part) or self._left_out.get(part)
        return 0 if suspect is None else len(suspect.crashes)

    def _leave_out(self, part: int, crash: Crash) -> None:
        """Remember a crash of a part for the case that the part is suspected later."""
        if part in self._suspects:
            return
        self._left_out.setdefault(part, _Suspect()).add(crash)
        self._left_out.move_to_end(part)
        if len(self._left_out) > MAX_LEFT_OUT_PARTS:
            self._left_out.popitem(last=False)

    def _drop_oldest_suspect(self) -> None:
        """Drop the oldest suspect, one that is not quarantined if there is any."""
        for part, suspect in self._suspects.items():
            if not suspect.quarantined:
                del self._suspects[part]
                return
        self._suspects.popitem(last=False)

    def _repeat_proven(self, part: int, *, now_s: float) -> None:
        """Tell the other hosts of an answer again, as one still suspects the part."""
        if (
            part in self._proven_at_s
            and now_s - self._proven_repeated_at_s > PROVEN_REPEAT_INTERVAL_S
        ):
            self._proven_repeated_at_s = now_s
            self.on_proven(part)

    def _mark_proven(self, part: int, *, now_s: float) -> bool:
        """Record an answer; return whether the part was suspected."""
        self._proven_at_s[part] = now_s
        self._proven_at_s.move_to_end(part)
        if len(self._proven_at_s) > MAX_PROVEN_PARTS:
            self._proven_at_s.popitem(last=False)
        self._left_out.pop(part, None)
        suspect = self._suspects.pop(part, None)
        if suspect is None:
            return False
        if suspect.quarantined:
            _log_release(part, "a request with it was answered")
        self._update(now_s=now_s)
        return True

    def _remove_expired(self, *, now_s: float) -> None:
        for part, suspect in list(self._suspects.items()):
            if suspect.is_expired(now_s=now_s):
                del self._suspects[part]
                if suspect.quarantined:
                    _log_release(part, "its last crash was long ago")
        while self._left_out:
            part, suspect = next(iter(self._left_out.items()))
            if not suspect.is_expired(now_s=now_s):
                break
            del self._left_out[part]

    def _update(self, *, now_s: float) -> None:
        """Derive from all known crashes which parts are quarantined.

        A crash that one part explains does not count against parts for which there is
        less evidence.
        """
        groups: dict[tuple[bool, int, int], list[int]] = {}
        for part, suspect in self._suspects.items():
            groups.setdefault(suspect.strength, []).append(part)
        explained: dict[int, list[Crash]] = {}
        for strength in sorted(groups, reverse=True):
            found = []
            for part in groups[strength]:
                suspect = self._suspects[part]
                if suspect.count_separate(explained) >= suspect.threshold:
                    found.append(suspect)
                elif suspect.quarantined:
                    suspect.quarantined = False
                    _log_release(part, "its crashes are explained by another part")
            for part in groups[strength]:
                suspect = self._suspects[part]
                if suspect in found:
                    self._quarantine(part, suspect, found, now_s=now_s)
            for crash in chain.from_iterable(item.crashes for item in found):
                explained.setdefault(crash.engine, []).append(crash)

    def _quarantine(
        self, part: int, suspect: _Suspect, found: Sequence[_Suspect], *, now_s: float
    ) -> None:
        """Quarantine a part.

        Where the same crashes speak against several parts, a request with only one of
        them is admitted at once, since it tells which.
        """
        suspect.ambiguous = sum(map(suspect.has_same_crashes, found)) > 1
        if not suspect.quarantined:
            suspect.quarantined = True
            self._set_next_trial(suspect, FIRST_TRIAL_S, now_s=now_s)
            logger.warning(
                "prompt part quarantined",
                extra={
                    "part": format_part(part),
                    "crashes": len(suspect.crashes),
                    "answered_before": suspect.proven,
                    "ambiguous": suspect.ambiguous,
                },
            )

    def _start_trial(self, part: int, *, now_s: float) -> None:
        suspect = self._suspects[part]
        interval_s = FIRST_TRIAL_S * TRIAL_INTERVAL_FACTOR**suspect.trial_count
        suspect.trial_count += 1
        self._set_next_trial(
            suspect, min(interval_s, MAX_TRIAL_INTERVAL_S), now_s=now_s
        )
        logger.info(
            "one request with a quarantined prompt part is admitted",
            extra={"part": format_part(part), "trial": suspect.trial_count},
        )
        self.on_suspect(_make_report(part, suspect, now_s=now_s))

    def _set_next_trial(
        self, suspect: _Suspect, interval_s: float, *, now_s: float
    ) -> None:
        extension = 1.0 + TRIAL_SPREAD * self.random_fraction()
        suspect.next_trial_at_s = now_s + interval_s * extension


def _is_among(crash: Crash, crashes: Iterable[Crash]) -> bool:
    return any(crash.is_same(known) for known in crashes)


def _make_report(part: int, suspect: _Suspect, *, now_s: float) -> SuspectReport:
    return SuspectReport(
        part=part,
        crashes=tuple((item.engine, now_s - item.at_s) for item in suspect.crashes),
        proven=suspect.proven,
        trial_count=suspect.trial_count,
        next_trial_s=max(0.0, suspect.next_trial_at_s - now_s),
    )


def _log_release(part: int, reason: str) -> None:
    logger.info(
        "prompt part no longer quarantined",
        extra={"part": format_part(part), "reason": reason},
    )
