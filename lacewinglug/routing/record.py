"""What the routing policy keeps of a runner."""

from dataclasses import dataclass, field

from lacewinglug.routing.choice import RunnerState
from lacewinglug.routing.ledger import RunnerLedger
from lacewinglug.routing.prefix import PrefixHints
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rules import PolicySettings, RunnerFacts
from lacewinglug.routing.slowness import SlownessTracker

STALE_REPORT_S = 3.0


@dataclass(kw_only=True)
class RunnerRecord:
    """Owns what the policy keeps of a runner."""

    facts: RunnerFacts
    ledger: RunnerLedger = field(default_factory=RunnerLedger)
    hints: PrefixHints = field(default_factory=PrefixHints)
    slowness: SlownessTracker = field(default_factory=SlownessTracker)
    available: bool = True
    avoided_until_s: float = float("-inf")
    ordered_role: str = ""
    long_rank: int = 0
    hold_s: float = 0.5
    first_token_ratio: float = 1.0

    @property
    def role(self) -> str:
        """Engine role in force, as ordered, reported or declared."""
        if self.ordered_role:
            return self.ordered_role
        report = self.ledger.report
        reported = report.role if report else ""
        return reported if reported in self.facts.rates else self.facts.default_role

    @property
    def slots(self) -> int:
        """Requests that run at the same time."""
        report = self.ledger.report
        if report is None or report.slots < 1 or self.ordered_role:
            return self.facts.rates[self.role].slots
        return report.slots

    @property
    def accepts_work(self) -> bool:
        """Whether it may get new work."""
        report = self.ledger.report
        return self.available and (report is None or report.state == "ready")

    def is_reachable(self, now_s: float) -> bool:
        """Return whether reports are recent and no request failed lately."""
        if now_s < self.avoided_until_s:
            return False
        return now_s - self.ledger.sampled_s < STALE_REPORT_S

    def state(
        self,
        profile: RequestProfile,
        settings: PolicySettings,
        *,
        now_s: float,
        mirror: float,
    ) -> RunnerState:
        """Return what is known of the runner for a request.

        :param profile: the request.
        :param settings: rules in force.
        :param now_s: time, in seconds.
        :param mirror: entries assumed to have sent what this one has sent.
        """
        role = self.role
        facts = self.facts
        load = self.ledger.estimate(mirror=mirror)
        return RunnerState(
            name=facts.name,
            rates=facts.rates[role],
            does=facts.does[role],
            slots=self.slots,
            in_flight=load.in_flight,
            low_priority=load.low_priority,
            prefill_tokens=load.prefill_tokens,
            cached_pieces=(
                self.hints.matched(profile.prefix_hashes) if settings.prefixes else 0
            ),
            slowness=self.slowness.current(now_s) if settings.slowness else 1.0,
            long_rank=self.long_rank,
            hold_s=self.hold_s,
            region=facts.region,
            delay_s=facts.delay_s,
            cost_s=facts.cost_s,
        )
