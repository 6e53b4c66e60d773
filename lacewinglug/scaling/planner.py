"""Plans the orders for one service from its registered runners and its demand.

No clock and no socket: the time is passed in, and the orders are returned.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lacewinglug.host.model import RunnerEntry, Stage
from lacewinglug.scaling.decision import ScaleDecision, decide
from lacewinglug.scaling.demand import DemandForecast
from lacewinglug.scaling.ledger import REMOVAL_SETTLE_S, CountOrder, OrderLedger
from lacewinglug.scaling.model import (
    EngineDemand,
    FleetState,
    RunnerKind,
    ScaleRules,
    StageCounts,
    Subject,
    SubjectState,
)

STEP_INTERVAL_S = 2.0
"""Interval between steps that remove runners, in s; the view of runners shows the last
step by then, and other engines have begun to cache its prompts."""
REGISTRATION_SETTLE_S = 2.0
"""Time for which the number of runners must not have risen before the first order, in
s. An order based on half of the registrations would remove the other runners."""
RETURN_S = 15.0
"""Time for which runners that are no longer registered are assumed to come back, in s;
crashed engines do within about 10 s."""
IDLE_AFTER_S = 4.0
"""Time without any request since this host started after which there is no load, in s;
a host that starts during load hears of it within milliseconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalePlan:
    """Orders that are due, and what they are based on.

    :param state: input of the decision.
    :param decision: wanted counts.
    :param orders: orders that are due, the most important ones first.
    """

    state: FleetState
    decision: ScaleDecision
    orders: tuple[CountOrder, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _SeenCount:
    count: int
    at_s: float


@dataclass(kw_only=True)
class ServicePlanner:
    """Observes the runners of a service and plans how many to order.

    Every host observes, because any one may have to take over planning.

    :param rules: bounds and prices of the runners.
    :param regions: region by zone; all zones in which runners may be ordered.
    :param started_at_s: monotonic time since which the service is observed.
    :param knows_demand: whether the load of the service can be observed.
    :param baseline: runners to have until the demand is known: the highest number of
        normal ones, or of reclaimable ones if these were found first. Their sum would
        count twice the runners that an earlier planner is replacing.
    :param found: runners that were found first.
    """

    rules: ScaleRules
    regions: Mapping[str, str]
    started_at_s: float
    knows_demand: bool = True
    baseline: int = 0
    found: int = 0
    forecast: DemandForecast = field(default_factory=DemandForecast)
    ledger: OrderLedger = field(init=False)
    _entries: tuple[RunnerEntry, ...] = ()
    _highest: dict[Subject, _SeenCount] = field(default_factory=dict)
    _reclaimed: set[str] = field(default_factory=set)
    _grown_at_s: float = float("-inf")
    _most_registered: int = 0
    _removed_at_s: float = float("-inf")

    def __post_init__(self) -> None:
        self.ledger = OrderLedger(boot_time_s=self.rules.boot_time_s)

    def apply_rules(self, rules: ScaleRules) -> None:
        """Apply the rules of the configuration in force."""
        self.rules = rules
        self.ledger.boot_time_s = rules.boot_time_s

    def count_registered(self) -> dict[Subject, int]:
        """Return the registered runners that accept work, of all subjects."""
        counts = {
            Subject(zone=zone, kind=kind): 0
            for zone in self.regions
            for kind in RunnerKind
        }
        for entry in self._entries:
            if not entry.draining:
                subject = subject_of(entry)
                counts[subject] = counts.get(subject, 0) + 1
        return counts

    def observe(
        self, entries: Iterable[RunnerEntry], *, demand: EngineDemand, now_s: float
    ) -> None:
        """Record the registered runners, draining ones included, and their load."""
        self._entries = tuple(entries)
        self.forecast.record(demand, now_s=now_s)
        counts = self.count_registered()
        total = sum(counts.values())
        if total > self._most_registered:
            self._most_registered = total
            self._grown_at_s = now_s
        normal = sum(
            count
            for subject, count in counts.items()
            if subject.kind is RunnerKind.NORMAL
        )
        if self.baseline == 0:
            self.baseline = total - normal
            self.found = total
        self.baseline = max(self.baseline, normal)
        self.found = max(self.found, normal)
        for subject, count in counts.items():
            seen = self._highest.get(subject)
            if seen is None or count >= seen.count or now_s - seen.at_s > RETURN_S:
                self._highest[subject] = _SeenCount(count=count, at_s=now_s)
        self._hold_reclaimed(now_s=now_s)

    def plan(
        self,
        *,
        planner_since_s: float,
        now_s: float,
        cached_tokens: Mapping[str, float] | None = None,
    ) -> ScalePlan | None:
        """Return the orders that are due, None as long as too little is known.

        :param planner_since_s: monotonic time since which this host plans. The removals
            that the one before ordered are registered some time later.
        :param cached_tokens: prompt tokens in the cache of each runner, by instance.
        """
        growing = now_s - self._grown_at_s < REGISTRATION_SETTLE_S
        # Growth by this host's own orders does not make the view incomplete.
        if self.baseline == 0 or (growing and not self._has_ordered()):
            return None
        state = self._fleet_state(
            planner_since_s=planner_since_s,
            now_s=now_s,
            cached_tokens=cached_tokens or {},
        )
        decision = decide(state, self.rules)
        orders = [
            CountOrder(subject=subject, count=count)
            for subject, count in decision.counts.items()
        ]
        due = [
            order
            for order in orders
            if self.ledger.is_due(
                order,
                registered=state.subjects[order.subject].registered,
                now_s=now_s,
            )
        ]
        due.sort(
            key=lambda order: (
                order.count < state.subjects[order.subject].registered,
                order.subject.kind is RunnerKind.NORMAL,
            )
        )
        return ScalePlan(state=state, decision=decision, orders=tuple(due))

    def record_sent(
        self,
        order: CountOrder,
        *,
        registered: int,
        now_s: float,
        answered: bool = True,
    ) -> None:
        """Record an order that the platform accepted or may still carry out.

        :param answered: whether the platform answered it.
        """
        self.ledger.record_sent(
            order, registered=registered, now_s=now_s, answered=answered
        )
        if order.count < registered:
            self._removed_at_s = now_s

    def _highest_seen(self, subject: Subject) -> int:
        seen = self._highest.get(subject)
        return 0 if seen is None else seen.count

    def _has_ordered(self) -> bool:
        return any(
            self.ledger.standing(Subject(zone=zone, kind=kind)) is not None
            for zone in self.regions
            for kind in RunnerKind
        )

    def _hold_reclaimed(self, *, now_s: float) -> None:
        """Order no reclaimable runners in a zone that loses them for some time."""
        leaving = {
            entry.instance: subject_of(entry)
            for entry in self._entries
            if entry.reclaimable and entry.draining and entry.leaves_s is not None
        }
        for subject in {
            subject
            for instance, subject in leaving.items()
            if instance not in self._reclaimed
        }:
            order = self.ledger.standing(subject)
            removed_by_order = (
                order is not None
                and order.removes
                and not order.is_settled(
                    boot_time_s=self.rules.boot_time_s, now_s=now_s
                )
            )
            if not removed_by_order:
                self.ledger.hold(subject, now_s=now_s)
        self._reclaimed = set(leaving)

    def _fleet_state(
        self,
        *,
        planner_since_s: float,
        now_s: float,
        cached_tokens: Mapping[str, float],
    ) -> FleetState:
        registered: dict[Subject, list[RunnerEntry]] = {}
        for entry in self._entries:
            if not entry.draining:
                registered.setdefault(subject_of(entry), []).append(entry)
        subjects = {
            subject: self._subject_state(
                subject,
                registered.get(subject, []),
                cached_tokens=cached_tokens,
                now_s=now_s,
            )
            for zone in self.regions
            for kind in RunnerKind
            for subject in (Subject(zone=zone, kind=kind),)
        }
        lead_s = self.rules.boot_time_s + 1.0
        idle_since_s = max(self.started_at_s, planner_since_s)
        return FleetState(
            regions=self.regions,
            subjects=subjects,
            baseline=self.baseline,
            found=self.found,
            demand=self.forecast.expected_peak(lead_s=lead_s),
            demand_is_settled=self.forecast.is_settled(now_s=now_s),
            idle=(
                self.knows_demand
                and self.forecast.started_at_s is None
                and now_s - idle_since_s >= IDLE_AFTER_S
            ),
            may_remove=(
                now_s - self._removed_at_s >= STEP_INTERVAL_S
                and now_s - planner_since_s >= REMOVAL_SETTLE_S
                and all(
                    item.serving + item.warming == item.registered
                    for item in subjects.values()
                )
            ),
        )

    def _subject_state(
        self,
        subject: Subject,
        entries: list[RunnerEntry],
        *,
        cached_tokens: Mapping[str, float],
        now_s: float,
    ) -> SubjectState:
        count = len(entries)
        ledger = self.ledger
        standing = ledger.standing(subject)
        stages = [entry.stage for entry in entries]
        staying = count - ledger.removing(subject, registered=count, now_s=now_s)
        warming = min(staying, sum(entry.cold_s > 0 for entry in entries))
        return SubjectState(
            registered=count,
            serving=staying - warming,
            warming=warming,
            booting=ledger.booting(subject, registered=count, now_s=now_s),
            ordered=(
                self._highest_seen(subject) if standing is None else standing.count
            ),
            available=ledger.is_available(subject, now_s=now_s),
            stages=StageCounts(
                prefill=stages.count(Stage.PREFILL), decode=stages.count(Stage.DECODE)
            ),
            cached_tokens=sum(
                cached_tokens.get(entry.instance, 0.0) for entry in entries
            ),
        )


def subject_of(entry: RunnerEntry) -> Subject:
    """Return the zone and kind of a registered runner."""
    kind = RunnerKind.RECLAIMABLE if entry.reclaimable else RunnerKind.NORMAL
    return Subject(zone=entry.zone, kind=kind)
