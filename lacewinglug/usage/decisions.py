"""Which windows are decided, and with what counts, according to the store's log.

The log has one record for each decided window, in increasing order of windows. A record
is appended only where the log is known to end, so the first one decides.
"""

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from lacewinglug.charts import load_chart
from lacewinglug.decoding import MalformedDataError, decode_msgpack
from lacewinglug.host.positions import FIRST_ERA, StorePosition
from lacewinglug.usage.counts import KEPT_S, Counts
from lacewinglug.usage.windows import Windows

logger = logging.getLogger(__name__)

HISTORY_S = 15.0
"""Time in seconds for which the store surely keeps a record. A window that ended within
it and has no record is undecided. The platform keeps 20 s; the rest allows for the
clocks."""
CLOCK_MARGIN_S = 1.0
"""Difference between the hosts' agreed times of day that is allowed for, in seconds."""
_CHART = load_chart("usage_report")


class _UsageRecord(msgspec.Struct, array_like=True):
    """Decision on a window.

    :param era: era of the store in which the record was written. Records that a
        restored store kept have an earlier one.
    :param confirmed: last window up to which the platform has confirmed all reports.
    """

    window: int
    counts: dict[str, int]
    era: int
    confirmed: int


@dataclass(kw_only=True)
class UsageDecisions:
    """What one host knows of the decided windows.

    :param windows: numbering of the windows.
    :param chart_state: state by the state chart ``usage_report``.
    :param pending: counts by decided window that the platform has not confirmed.
    :param next_window: first window that is not decided, None before the first read.
    """

    windows: Windows
    chart_state: str = _CHART.initial
    pending: dict[int, Counts] = field(default_factory=dict)
    next_window: int | None = None
    _end: StorePosition | None = None
    _confirmed: set[int] = field(default_factory=set)
    _decided_below: int | None = None

    @property
    def end(self) -> StorePosition | None:
        """Position at which the next read begins, None for the beginning."""
        return self._end

    @property
    def needs_read(self) -> bool:
        """Whether the log may have decisions that are not known here."""
        return self.chart_state in ("unread", "unsettled")

    @property
    def may_decide(self) -> bool:
        """Whether a window may be decided now."""
        return self.chart_state == "ready"

    def hold(self) -> None:
        """Begin to decide windows; the log has to be read first."""
        if self.chart_state == "idle":
            _CHART.apply(self, "hold")

    def lose(self) -> None:
        """Stop deciding windows, since another host may do so."""
        if self.chart_state != "idle":
            _CHART.apply(self, "lose")
            if self.next_window is not None:
                self.record_announced(self.next_window)
            self._end = None
            self.next_window = None

    def record_announced(self, next_window: int) -> None:
        """Record that a host has said that the windows before one are decided."""
        self._decided_below = max(next_window, self._decided_below or next_window)

    def apply_read(
        self,
        records: Iterable[bytes],
        end: StorePosition,
        *,
        time_s: float,
        first_window: int,
    ) -> None:
        """Apply the records from :attr:`end` on, or all if that is None.

        :param end: position after the last one.
        :param time_s: time of day before the read.
        :param first_window: window to begin with if no window was ever decided.
        """
        found = [_decode_record(record) for record in records]
        known = [record for record in found if record is not None]
        for record in known:
            if record.window not in self._confirmed:
                self.pending.setdefault(record.window, record.counts)
        confirmed = max((record.confirmed for record in known), default=None)
        if confirmed is not None:
            for window in [item for item in self.pending if item <= confirmed]:
                del self.pending[window]
        if self._is_continued(len(found), end) and self.next_window is not None:
            next_window = self.next_window
            if known:
                next_window = max(next_window, known[-1].window + 1)
        else:
            next_window = self._first_undecided(
                known, end, time_s=time_s, first_window=first_window
            )
        if len(known) < len(found):
            next_window = max(next_window, self._first_unended(time_s))
        self.next_window = max(next_window, self._decided_below or next_window)
        self._end = end
        _CHART.apply(self, "read")

    def _is_continued(self, count: int, end: StorePosition) -> bool:
        """Return whether records that were read are all those since the last read."""
        start = self._end
        return (
            start is not None
            and start.era == end.era
            and end.offset == start.offset + count
        )

    def _first_undecided(
        self,
        records: list[_UsageRecord],
        end: StorePosition,
        *,
        time_s: float,
        first_window: int,
    ) -> int:
        """Return the first window that is surely undecided, after a whole read."""
        if records and records[-1].era == end.era:
            return records[-1].window + 1
        if end.era != FIRST_ERA:
            # The restored log may lack decisions on any window that has ended.
            return self._first_unended(time_s)
        if end.offset == 0:
            return first_window
        return self.windows.at(time_s - HISTORY_S)

    def _first_unended(self, time_s: float) -> int:
        return self.windows.at(time_s + CLOCK_MARGIN_S)

    def encode(self, window: int, counts: Mapping[str, int]) -> bytes:
        """Return the record that decides a window."""
        assert self._end is not None
        return msgspec.msgpack.encode(
            _UsageRecord(
                window=window,
                counts=dict(counts),
                era=self._end.era,
                confirmed=min(self.pending, default=window) - 1,
            )
        )

    def apply_appended(self, window: int, counts: Counts) -> None:
        """Apply the decision that was appended at :attr:`end`."""
        assert self._end is not None
        self.pending[window] = counts
        self.next_window = window + 1
        self._end = self._end.next

    def apply_conflict(self) -> None:
        """Apply that the log does not end where it was expected to end."""
        _CHART.apply(self, "conflict")

    def apply_lost_reply(self) -> None:
        """Apply that an append may have taken effect."""
        _CHART.apply(self, "lose_reply")

    def confirm(self, window: int) -> None:
        """Apply that the platform has the report of a window."""
        self.pending.pop(window, None)
        self._confirmed.add(window)

    def remove_old(self, *, time_s: float) -> list[int]:
        """Give up reports that are too old; return their windows."""
        oldest = self.windows.at(time_s - KEPT_S)
        self._confirmed = {item for item in self._confirmed if item >= oldest}
        given_up = [item for item in self.pending if item < oldest]
        for window in given_up:
            del self.pending[window]
        return given_up


def _decode_record(data: bytes) -> _UsageRecord | None:
    try:
        return decode_msgpack(data, kind=_UsageRecord)
    except MalformedDataError as error:
        logger.warning("ignoring a malformed record of a usage report: %s", error)
        return None
