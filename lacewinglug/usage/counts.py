"""Counts of the requests that began to run, by window and organisation."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from lacewinglug.usage.windows import Windows

KEPT_S = 120.0
"""Time after its end for which the counts of a window are kept, in seconds."""
DEFAULT_SENT_WINDOWS = 4
"""Latest windows that are sent while it is not known which of them are decided."""
MAX_COUNTS_PER_DATAGRAM = 40
"""Maximum counts per datagram, so that it fits into one network packet."""

Counts = dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class WindowPart:
    """Cumulative counts of one host in one window, or a part of them.

    :param window: number of the window.
    :param size: number of organisations that have a count in the window.
    :param counts: count by organisation, of some or all of these.
    """

    window: int
    size: int
    counts: Mapping[str, int]


@dataclass(kw_only=True)
class UsageCounter:
    """Counts the requests of this host.

    :param windows: numbering of the windows.
    """

    windows: Windows
    _counts: dict[int, Counts] = field(default_factory=dict)

    def add(self, organisation: str, *, began_s: float) -> None:
        """Count a request.

        :param began_s: time of day at which it began to run.
        """
        counts = self._counts.setdefault(self.windows.at(began_s), {})
        counts[organisation] = counts.get(organisation, 0) + 1

    def remove_old(self, *, time_s: float) -> None:
        """Remove the counts of windows that are not kept any longer."""
        _remove_before(self._counts, self.windows.at(time_s - KEPT_S))

    def parts(self, *, first: int, time_s: float) -> list[list[WindowPart]]:
        """Return the counts from a window on, grouped by datagram.

        Windows without counts are included, so that the receiver knows that there are
        none.
        """
        current = self.windows.at(time_s)
        first = max(first, self.windows.at(time_s - KEPT_S))
        last = max([current, *self._counts])
        groups: list[list[WindowPart]] = [[]]
        room = MAX_COUNTS_PER_DATAGRAM
        for window in range(min(first, current), last + 1):
            for part in self._split(window):
                cost = max(1, len(part.counts))
                if cost > room:
                    groups.append([])
                    room = MAX_COUNTS_PER_DATAGRAM
                groups[-1].append(part)
                room -= cost
        return groups

    def _split(self, window: int) -> Iterator[WindowPart]:
        counts = list(self._counts.get(window, {}).items())
        for start in range(0, max(1, len(counts)), MAX_COUNTS_PER_DATAGRAM):
            chunk = counts[start : start + MAX_COUNTS_PER_DATAGRAM]
            yield WindowPart(window=window, size=len(counts), counts=dict(chunk))


@dataclass(kw_only=True, slots=True)
class _HostCounts:
    """Counts of one process of a host.

    :param sizes: number of organisations by window, of windows that had ended.
    """

    counts: dict[int, Counts] = field(default_factory=dict)
    sizes: dict[int, int] = field(default_factory=dict)

    def is_complete(self, window: int) -> bool:
        size = self.sizes.get(window)
        return size is not None and len(self.counts.get(window, {})) >= size


@dataclass(kw_only=True)
class UsageCollector:
    """Collects the counts of all hosts.

    :param windows: numbering of the windows.
    """

    windows: Windows
    _hosts: dict[tuple[str, int], _HostCounts] = field(default_factory=dict)
    _incarnations: dict[str, int] = field(default_factory=dict)

    def record(
        self,
        host: str,
        *,
        incarnation: int,
        until_s: float,
        parts: Iterable[WindowPart],
    ) -> None:
        """Record counts of a host; datagrams may be lost, doubled or out of order.

        :param incarnation: start time of its process; counts begin anew with each.
        :param until_s: time of day up to which the counts are complete.
        """
        known = self._incarnations.get(host, incarnation)
        self._incarnations[host] = max(known, incarnation)
        found = self._hosts.setdefault((host, incarnation), _HostCounts())
        for part in parts:
            counts = found.counts.setdefault(part.window, {})
            for name, count in part.counts.items():
                counts[name] = max(count, counts.get(name, 0))
            if until_s >= self.windows.end_s(part.window):
                size = max(part.size, found.sizes.get(part.window, 0))
                found.sizes[part.window] = size

    def total(self, window: int) -> Counts:
        """Return the counts of a window over all hosts."""
        total: Counts = {}
        for host in self._hosts.values():
            for name, count in host.counts.get(window, {}).items():
                if count > 0:
                    total[name] = total.get(name, 0) + count
        return total

    def missing(self, window: int, *, hosts: Iterable[str]) -> list[str]:
        """Return those of some hosts whose counts of a window are not complete."""
        return [host for host in hosts if not self._is_complete(host, window)]

    def first_window(self) -> int | None:
        """Return the first window that has a count, None if there is none."""
        windows = [
            window
            for host in self._hosts.values()
            for window, counts in host.counts.items()
            if counts
        ]
        return min(windows, default=None)

    def remove_old(self, *, time_s: float) -> None:
        """Remove the counts of windows that are not kept any longer."""
        oldest = self.windows.at(time_s - KEPT_S)
        for key, host in list(self._hosts.items()):
            _remove_before(host.counts, oldest)
            _remove_before(host.sizes, oldest)
            if not host.counts:
                del self._hosts[key]
        names = {name for name, _ in self._hosts}
        self._incarnations = {
            name: value for name, value in self._incarnations.items() if name in names
        }

    def _is_complete(self, host: str, window: int) -> bool:
        incarnation = self._incarnations.get(host)
        if incarnation is None:
            return False
        found = self._hosts.get((host, incarnation))
        return found is not None and found.is_complete(window)


def _remove_before(items: dict[int, Counts] | dict[int, int], oldest: int) -> None:
    for window in [item for item in items if item < oldest]:
        del items[window]
