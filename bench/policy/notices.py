"""What engines say in their answers about further requests, and who obeys it.

Entries of lacewinglug follow the rule of the hosts (``lacewinglug.host.notices``), and
its policy chooses among the engines that are left. Baselines ignore notices, as simple
balancers do. A notice is the pause that an engine asks for, in seconds, or 0 where it
leaves.
"""

from collections import Counter, defaultdict
from collections.abc import Sequence

from lacewinglug.host.fleet import FleetView
from lacewinglug.host.health import RunnerHealth
from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.notices import RunnerNotices
from lacewinglug.host.reporting import HostMetrics
from lacewinglug.wire.messages import ResponseHead

PAUSE_SETTLE_S = 0.5
"""Time after a push-back in which requests may still arrive, in seconds."""
MAX_REQUESTS_IN_PAUSE = 2


class EngineNotices:
    """Notices of the engines to one entry of lacewinglug.

    :param names: names of the engines.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self._entries = [
            RunnerEntry(instance=name, service="", address=name, zone="", slots=1)
            for name in names
        ]
        fleet = FleetView()
        fleet.update(self._entries, now_s=0.0)
        health: dict[str, RunnerHealth] = defaultdict(RunnerHealth)
        self._notices = RunnerNotices(
            fleet=fleet, health=health.__getitem__, metrics=HostMetrics()
        )
        self._any = False

    def record(self, name: str, pause_s: float, *, now_s: float) -> None:
        """Record a notice, as a host reads it from the head of an answer."""
        head = ResponseHead(status=200, headers=((b"Server-Leaving", b"1"),))
        if pause_s > 0:
            retry_after = b"%.3f" % pause_s
            head = ResponseHead(status=503, headers=((b"Retry-After", retry_after),))
        entry = next(item for item in self._entries if item.instance == name)
        self._notices.record(entry, head, now_s=now_s)
        self._any = True

    def excluded(self, now_s: float) -> frozenset[str]:
        """Return the engines that must not get requests now."""
        return frozenset(
            item.instance
            for item in self._entries
            if self._any and self._notices.find_objection(item, now_s=now_s)
        )


class NoticeCounts:
    """Counts the requests that reach engines against their notices.

    A request is sent to a leaving engine if it arrived after its entry had the notice.
    """

    def __init__(self) -> None:
        self.sent_to_leaving = 0
        self.turned_away = 0
        self._leaving_s: dict[tuple[int, str], float] = {}
        self._pauses: dict[tuple[int, str], dict[float, float]] = {}
        self._in_pause: Counter[tuple[int, str, float]] = Counter()

    def record(self, entry: int, engine: str, pause_s: float, *, now_s: float) -> None:
        """Record that an entry got a notice."""
        key = (entry, engine)
        if pause_s > 0:
            self.turned_away += 1
            pauses = self._pauses.setdefault(key, {})
            pauses[now_s + PAUSE_SETTLE_S] = now_s + pause_s
        else:
            self._leaving_s.setdefault(key, now_s)

    def record_request(
        self, entry: int, engine: str, *, arrival_s: float, now_s: float
    ) -> None:
        """Record that a request reaches an engine.

        :param arrival_s: when it arrived at its entry.
        """
        key = (entry, engine)
        self.sent_to_leaving += arrival_s > self._leaving_s.get(key, float("inf"))
        for start_s, end_s in self._pauses.get(key, {}).items():
            self._in_pause[*key, start_s] += start_s <= now_s < end_s

    @property
    def spread_s(self) -> float:
        """Longest time from the first to the last entry told by a leaving engine."""
        told_s: dict[str, list[float]] = defaultdict(list)
        for (_, engine), at_s in self._leaving_s.items():
            told_s[engine].append(at_s)
        return max((max(item) - min(item) for item in told_s.values()), default=0.0)

    @property
    def pauses_broken(self) -> int:
        """Number of pauses in which more requests than allowed reached the engine."""
        return sum(count > MAX_REQUESTS_IN_PAUSE for count in self._in_pause.values())
