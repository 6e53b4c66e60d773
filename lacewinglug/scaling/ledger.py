"""Keeps the orders of runners that this host gave, and limits the calls."""

from dataclasses import dataclass, field

from lacewinglug.scaling.model import Subject

BOOT_MARGIN_S = 2.5
"""Time after the boot time until a new runner is expected to be registered, in s; it
covers the order, the registration and the age of the view of runners."""
REMOVAL_SETTLE_S = 4.0
"""Time after which a removed runner is expected to be registered as draining, in s."""
LATE_CALL_S = 12.0
"""Time within which a call without an answer may still be executed, in s; as stated by
the platform for orders to engines."""
REFUSAL_HOLD_S = 8.0
"""Time for which a kind of runner is not ordered in a zone after a refusal or reclaim,
in s; doubles with each further refusal."""
MAX_REFUSAL_HOLD_S = 32.0
"""Maximum of that time, in s."""
MAX_REPEATS = 2
"""Repeats of an order without effect after which the zone counts as unavailable."""
CALLS_PER_S = 0.4
"""Calls to the platform per second on average; each has a price, and all duties of all
hosts together may make 50 a second."""
CALL_BURST = 20.0
"""Calls that can be made at once: both kinds in each of six zones, and some repeats."""
RAISE_OVERDRAFT = 8.0
"""Calls beyond the budget for orders that raise a count. Without them the first traffic
after a swap waited 2.5 s for each zone."""
INITIAL_PAUSE_S = 0.5
"""Pause of all orders after a call without an answer, in s; doubles."""
MAX_PAUSE_S = 4.0
"""Maximum of that pause, in s. While a slow interface answers no call in time, the
first orders for six zones still take no more than about 12 s."""
ANSWERED_RECENTLY_S = 2.0
"""Time since an answer within which a failed call counts as refused, in s; without any
answer the interface is down, and says nothing of the zone."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CountOrder:
    """An order that states the wanted number of runners of one kind in one zone.

    :param subject: zone and kind.
    :param count: wanted number.
    """

    subject: Subject
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StandingOrder:
    """The last order for a subject.

    :param count: its wanted number.
    :param sent_at_s: monotonic time at which it was sent.
    :param removes: whether it was below the number of registered runners.
    :param repeats: number of times that it was sent again.
    :param answered: whether the platform answered it.
    """

    count: int
    sent_at_s: float
    removes: bool
    repeats: int = 0
    answered: bool = True

    def is_settled(self, *, boot_time_s: float, now_s: float) -> bool:
        """Return whether the registrations show the effect of the order by now."""
        settle_s = REMOVAL_SETTLE_S if self.removes else boot_time_s + BOOT_MARGIN_S
        return now_s - self.sent_at_s >= settle_s


@dataclass(kw_only=True, slots=True)
class _Hold:
    until_s: float
    next_hold_s: float


@dataclass(kw_only=True)
class OrderLedger:
    """The standing orders for one service, and the subjects that are not available.

    :param boot_time_s: time from an order until the runner serves, in s.
    """

    boot_time_s: float
    _standing: dict[Subject, StandingOrder] = field(default_factory=dict)
    _holds: dict[Subject, _Hold] = field(default_factory=dict)
    _removal_holds: dict[Subject, _Hold] = field(default_factory=dict)

    def standing(self, subject: Subject) -> StandingOrder | None:
        """Return the last order for a subject, None if there is none."""
        return self._standing.get(subject)

    def is_available(self, subject: Subject, *, now_s: float) -> bool:
        """Return whether a kind of runner can presumably be had in a zone."""
        hold = self._holds.get(subject)
        return hold is None or now_s >= hold.until_s

    def booting(self, subject: Subject, *, registered: int, now_s: float) -> int:
        """Return the ordered runners that are not registered and may still come."""
        order = self._standing.get(subject)
        if (
            order is None
            or order.is_settled(boot_time_s=self.boot_time_s, now_s=now_s)
            or not self.is_available(subject, now_s=now_s)
        ):
            return 0
        return max(0, order.count - registered)

    def removing(self, subject: Subject, *, registered: int, now_s: float) -> int:
        """Return the registered runners that an order in progress removes.

        One without an answer may remove them much later.
        """
        order = self._standing.get(subject)
        if order is None or not order.removes:
            return 0
        limit_s = REMOVAL_SETTLE_S if order.answered else LATE_CALL_S
        if now_s - order.sent_at_s >= limit_s:
            return 0
        return max(0, registered - order.count)

    def is_due(self, order: CountOrder, *, registered: int, now_s: float) -> bool:
        """Return whether an order has to be sent, for the first time or again."""
        subject = order.subject
        if order.count == registered:
            return False
        if order.count < registered:
            hold = self._removal_holds.get(subject)
            held = hold is not None and now_s < hold.until_s
        else:
            held = not self.is_available(subject, now_s=now_s)
        if held:
            return False
        known = self._standing.get(subject)
        if known is None or known.count != order.count:
            return True
        return known.is_settled(boot_time_s=self.boot_time_s, now_s=now_s)

    def record_sent(
        self,
        order: CountOrder,
        *,
        registered: int,
        now_s: float,
        answered: bool = True,
    ) -> None:
        """Record an order that may have been carried out.

        :param answered: whether the platform answered it.
        """
        known = self._standing.get(order.subject)
        removes = order.count < registered
        repeats = 0
        if known is not None and (known.count, known.removes) == (order.count, removes):
            repeats = known.repeats + 1
        self._standing[order.subject] = StandingOrder(
            count=order.count,
            sent_at_s=now_s,
            removes=removes,
            repeats=repeats,
            answered=answered,
        )
        if repeats >= MAX_REPEATS and not removes:
            self.hold(order.subject, now_s=now_s)

    def record_accepted(self, subject: Subject) -> None:
        """Record that the platform accepted an order, so that a refusal is over."""
        hold = self._holds.get(subject)
        if hold is not None:
            hold.next_hold_s = REFUSAL_HOLD_S

    def record_refused(
        self, order: CountOrder, *, registered: int, now_s: float
    ) -> None:
        """Record that the platform refused an order; it aims at the earlier count."""
        if order.count < registered:
            _extend(self._removal_holds, order.subject, now_s=now_s)
        else:
            self.hold(order.subject, now_s=now_s)

    def hold(self, subject: Subject, *, now_s: float) -> None:
        """Record that a kind of runner cannot be had in a zone for some time."""
        _extend(self._holds, subject, now_s=now_s)


def _extend(holds: dict[Subject, _Hold], subject: Subject, *, now_s: float) -> None:
    known = holds.get(subject)
    hold_s = REFUSAL_HOLD_S if known is None else known.next_hold_s
    holds[subject] = _Hold(
        until_s=now_s + hold_s, next_hold_s=min(2 * hold_s, MAX_REFUSAL_HOLD_S)
    )


@dataclass(kw_only=True)
class CallPacer:
    """Limits the calls of all services together, and pauses after failed ones."""

    _tokens: float = CALL_BURST
    _updated_at_s: float | None = None
    _paused_until_s: float = float("-inf")
    _pause_s: float = INITIAL_PAUSE_S
    _answered_at_s: float = float("-inf")

    def try_acquire(self, *, raises: bool, now_s: float) -> bool:
        """Return whether a call may be made now, and count it.

        :param raises: whether it raises a count.
        """
        if self._updated_at_s is not None:
            earned = (now_s - self._updated_at_s) * CALLS_PER_S
            self._tokens = min(CALL_BURST, self._tokens + max(0.0, earned))
        self._updated_at_s = now_s
        least = 1.0 - RAISE_OVERDRAFT if raises else 1.0
        if now_s < self._paused_until_s or self._tokens < least:
            return False
        self._tokens -= 1.0
        return True

    def cancel(self) -> None:
        """Give back the last call, which was not sent."""
        self._tokens = min(CALL_BURST, self._tokens + 1.0)

    def record_answered(self, *, now_s: float) -> None:
        """Record a call that the platform answered."""
        self._pause_s = INITIAL_PAUSE_S
        self._answered_at_s = now_s

    def answered_recently(self, *, now_s: float) -> bool:
        """Return whether the platform's interface is known to be up."""
        return now_s - self._answered_at_s <= ANSWERED_RECENTLY_S

    def record_unanswered(self, *, now_s: float) -> None:
        """Pause after a call without an answer, or one that was turned away."""
        self._paused_until_s = now_s + self._pause_s
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
