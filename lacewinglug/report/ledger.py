"""Adds up the records of the burn stream."""

from dataclasses import dataclass, field

from lacewinglug.report.windows import (
    FOLD_S,
    MAX_BAD_TALLIES,
    WINDOW_S,
    BadTally,
    BurnFold,
    BurnRecord,
    BurnWindow,
    FoldedMinute,
    ObjectiveTally,
    WindowKey,
    merge_bad,
)

_MINUTES_PER_HOUR = FOLD_S // WINDOW_S


@dataclass(kw_only=True, slots=True)
class MinuteCount:
    """Answers of one objective in one minute.

    :param total: number of answers.
    :param good: number of good answers.
    :param bad: the others by origin.
    """

    total: int = 0
    good: int = 0
    bad: list[BadTally] = field(default_factory=list)

    def add(self, tally: ObjectiveTally) -> None:
        """Add a tally."""
        self.total += tally.total
        self.good += tally.good
        self.bad.extend(tally.bad)


@dataclass(kw_only=True)
class BurnLedger:
    """The answers by objective and minute, each window counted once.

    :param undecodable: number of records that could not be read.
    :param copies: number of windows that came more than once.
    """

    undecodable: int = 0
    copies: int = 0
    _windows: dict[WindowKey, BurnWindow] = field(default_factory=dict)
    _folds: dict[int, BurnFold] = field(default_factory=dict)

    def apply(self, record: BurnRecord | None) -> None:
        """Take one record of the stream."""
        match record:
            case None:
                self.undecodable += 1
            case BurnWindow(key=key):
                if key in self._windows:
                    self.copies += 1
                self._windows.setdefault(key, record)
            case BurnFold(hour=hour):
                current = self._folds.get(hour)
                if current is None or len(record.keys) > len(current.keys):
                    self._folds[hour] = record

    def minutes(self) -> dict[str, dict[int, MinuteCount]]:
        """Return the answers by objective and minute since the Unix epoch."""
        counts: dict[str, dict[int, MinuteCount]] = {}
        folded: set[WindowKey] = set()
        for fold in self._folds.values():
            folded.update(fold.keys)
            for minute in fold.minutes:
                _add_tallies(counts, minute.index, minute.tallies)
        for key, window in self._windows.items():
            if key not in folded:
                _add_tallies(counts, key.index, window.tallies)
        return counts

    def window_keys(self) -> set[WindowKey]:
        """Return the identities of all windows counted."""
        keys = set(self._windows)
        for fold in self._folds.values():
            keys.update(fold.keys)
        return keys

    def make_fold(self, hour: int, *, through_offset: int) -> BurnFold | None:
        """Return a fold of an hour, or None when the newest one holds it all."""
        first = hour * _MINUTES_PER_HOUR
        indexes = range(first, first + _MINUTES_PER_HOUR)
        keys = {key for key in self.window_keys() if key.index in indexes}
        current = self._folds.get(hour)
        if not keys or (current is not None and keys == set(current.keys)):
            return None
        by_index: dict[int, list[ObjectiveTally]] = {}
        for objective, minutes in self.minutes().items():
            for index in indexes:
                if index in minutes:
                    tally = _to_tally(objective, minutes[index])
                    by_index.setdefault(index, []).append(tally)
        return BurnFold(
            hour=hour,
            through_offset=through_offset,
            keys=tuple(
                sorted(keys, key=lambda key: (key.index, key.host, key.incarnation))
            ),
            minutes=tuple(
                FoldedMinute(index=index, tallies=tuple(tallies))
                for index, tallies in sorted(by_index.items())
            ),
        )

    def hours_to_fold(self, *, before_hour: int) -> list[int]:
        """Return hours with single windows that are over."""
        hours = {key.index // _MINUTES_PER_HOUR for key in self._windows}
        return sorted(hour for hour in hours if hour < before_hour)

    def forget_before(self, hour: int) -> None:
        """Drop the windows and folds of earlier hours."""
        if hour <= 0:
            return
        first = hour * _MINUTES_PER_HOUR
        self._windows = {
            key: window for key, window in self._windows.items() if key.index >= first
        }
        self._folds = {key: fold for key, fold in self._folds.items() if key >= hour}


def _add_tallies(
    counts: dict[str, dict[int, MinuteCount]],
    index: int,
    tallies: tuple[ObjectiveTally, ...],
) -> None:
    for tally in tallies:
        minutes = counts.setdefault(tally.objective, {})
        minutes.setdefault(index, MinuteCount()).add(tally)


def _to_tally(objective: str, count: MinuteCount) -> ObjectiveTally:
    return ObjectiveTally(
        objective=objective,
        total=count.total,
        good=count.good,
        bad=merge_bad(count.bad, limit=MAX_BAD_TALLIES),
    )
