"""State that the routing policy keeps for each runner."""

from dataclasses import dataclass, field

from lacewinglug.routing.choice import RunnerState
from lacewinglug.routing.ledger import RunnerLoadTracker
from lacewinglug.routing.prefix import PrefixCacheIndex
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rules import PolicySettings, RunnerInfo
from lacewinglug.routing.slowness import SlownessTracker

MAX_REPORT_AGE_S = 3.0


@dataclass(kw_only=True)
class RunnerRecord:
    """State of one runner in the routing policy.

    :param info: static properties of the runner.
    :param load_tracker: estimates its load.
    :param cached_prefixes: blocks that are probably in its prefix cache.
    :param slowness: compares its observed with its expected latency.
    :param available: whether it may get new requests.
    :param backoff_until_s: time until which it is avoided after a failure, in seconds.
    :param pending_role: role that took effect and is not in a report yet.
    :param long_request_rank: rank of the runner for long requests.
    :param mean_slot_time_s: smoothed time that a request occupies a slot, in seconds.
    :param first_token_ratio: smoothed ratio of observed to predicted time to first
        token.
    """

    info: RunnerInfo
    load_tracker: RunnerLoadTracker = field(default_factory=RunnerLoadTracker)
    cached_prefixes: PrefixCacheIndex = field(default_factory=PrefixCacheIndex)
    slowness: SlownessTracker = field(default_factory=SlownessTracker)
    available: bool = True
    backoff_until_s: float = float("-inf")
    pending_role: str = ""
    long_request_rank: int = 0
    mean_slot_time_s: float = 0.5
    first_token_ratio: float = 1.0

    @property
    def role(self) -> str:
        """Current engine role: pending, reported or default, in this order."""
        if self.pending_role:
            return self.pending_role
        report = self.load_tracker.report
        reported = report.role if report else ""
        return reported if reported in self.info.rates else self.info.default_role

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests."""
        report = self.load_tracker.report
        if report is None or report.slots < 1 or self.pending_role:
            return self.info.rates[self.role].slots
        return report.slots

    @property
    def accepts_work(self) -> bool:
        """Whether the runner may get new requests."""
        report = self.load_tracker.report
        return self.available and (report is None or report.state == "ready")

    def is_reachable(self, now_s: float) -> bool:
        """Return whether reports are recent and no failure backoff is active."""
        if now_s < self.backoff_until_s:
            return False
        return now_s - self.load_tracker.sampled_s < MAX_REPORT_AGE_S

    def state(
        self,
        profile: RequestProfile,
        settings: PolicySettings,
        *,
        now_s: float,
        assumed_senders: float,
    ) -> RunnerState:
        """Return the state of the runner for routing a request.

        :param profile: the request.
        :param settings: settings of the policy.
        :param now_s: current time, in seconds.
        :param assumed_senders: number of entries, including this one, assumed to have
            sent as much as this one since the last report.
        """
        role = self.role
        info = self.info
        load = self.load_tracker.estimate(assumed_senders=assumed_senders)
        return RunnerState(
            name=info.name,
            rates=info.rates[role],
            serving_mode=info.serving_modes[role],
            slots=self.slots,
            in_flight=load.in_flight,
            low_priority=load.low_priority,
            prefill_tokens=load.prefill_tokens,
            cached_blocks=(
                self.cached_prefixes.count_cached_blocks(profile.prefix_hashes)
                if settings.prefix_affinity
                else 0
            ),
            slowness=self.slowness.current(now_s)
            if settings.slowness_detection
            else 1.0,
            long_request_rank=self.long_request_rank,
            mean_slot_time_s=self.mean_slot_time_s,
            region=info.region,
            delay_s=info.delay_s,
            region_cost_s=info.region_cost_s,
        )
