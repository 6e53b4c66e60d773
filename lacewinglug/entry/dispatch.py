"""Places requests on runners and tracks the work placed on each runner."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from lacewinglug.clock import Clock
from lacewinglug.config.objects import Fleet, Service
from lacewinglug.entry.view import EntryView
from lacewinglug.metrics import Metrics
from lacewinglug.requests.outcomes import NotRun
from lacewinglug.routing.choice import Placement
from lacewinglug.routing.policy import RoutingPolicy
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rates import PLAIN_RATES, EngineRates, rates_of
from lacewinglug.routing.rules import PolicySettings, Refusal, RunnerInfo, WaitForSlot

_CAPACITY_WAIT_S = 0.1
_SECONDS_PER_PRICE_UNIT = 1000.0
_MEAN_ANSWER_GB = 1e-5


@dataclass(kw_only=True)
class Dispatch:
    """A request that was placed on a runner.

    :param runner: name of the runner.
    :param url: base URL of the runner.
    :param profile: the request.
    :param placement: decision of the routing policy, with its predictions.
    :param placed_s: monotonic time of the placement, in seconds.
    """

    runner: str
    url: str
    profile: RequestProfile
    placement: Placement
    placed_s: float
    _dispatcher: "Dispatcher"
    _last_token_s: float = -1.0
    _is_closed: bool = False

    @property
    def priority(self) -> int:
        """Priority at the engine; lower numbers run first."""
        return self.placement.priority

    def record_token(self) -> None:
        """Report the arrival of a token to the routing policy."""
        now_s = self._dispatcher.clock.now_s()
        policy = self._dispatcher.policy_of(self.profile.service)
        if self._last_token_s < 0:
            self._record_first_token(policy, now_s)
        else:
            policy.record_token_interval(
                self.runner, interval_s=now_s - self._last_token_s, now_s=now_s
            )
        self._last_token_s = now_s

    def _record_first_token(self, policy: RoutingPolicy, now_s: float) -> None:
        policy.record_prefill_done(
            self.runner,
            prefill_tokens=self.placement.prefill_tokens,
            now_s=now_s,
            priority=self.priority,
        )
        policy.record_first_token(
            self.runner,
            observed_s=now_s - self.placed_s,
            expected_s=self.placement.first_token_s,
            now_s=now_s,
        )

    def close(self, *, succeeded: bool) -> None:
        """Tell the routing policy that the runner stopped working on the request."""
        if self._is_closed:
            return
        self._is_closed = True
        policy = self._dispatcher.policy_of(self.profile.service)
        now_s = self._dispatcher.clock.now_s()
        if self._last_token_s < 0:
            policy.record_prefill_done(
                self.runner,
                prefill_tokens=self.placement.prefill_tokens,
                now_s=now_s,
                priority=self.priority,
            )
        if not succeeded and self.placement.runner.serving_mode == "plain":
            policy.record_failure(self.runner, now_s=now_s)
        policy.record_closed(
            self.runner,
            length_class=self.placement.length_class,
            slot_time_s=now_s - self.placed_s,
            now_s=now_s,
            succeeded=succeeded,
        )
        self._dispatcher.notify_capacity()


@dataclass(kw_only=True)
class Dispatcher:
    """Places requests with one routing policy for each service.

    The policies track the work that this entry has placed on each runner.

    :param view: configuration and status of the fleet.
    :param clock: source of time.
    :param metrics: counters.
    :param entry: name of the entry; selects its subset of the runners where a service
        has many.
    :param settings: settings of the routing policies.
    """

    view: EntryView
    clock: Clock
    metrics: Metrics
    entry: str = ""
    settings: PolicySettings = field(
        default_factory=lambda: PolicySettings(known_output_lengths=False)
    )
    _policies: dict[str, RoutingPolicy] = field(default_factory=dict)
    _applied_fleet: Fleet | None = None
    _applied_status_updates: int = -1
    _capacity_freed: asyncio.Event = field(default_factory=asyncio.Event)

    async def place(
        self,
        profile: RequestProfile,
        *,
        failed_runners: Collection[str] = (),
        vacated_runners: Collection[str] = (),
        answer_started: bool = False,
    ) -> Result[Dispatch, NotRun]:
        """Choose the runner of a request, or refuse the request as not run.

        Waits for capacity, at most until the deadline of the request.

        :param profile: the request.
        :param failed_runners: runners that already failed to run this request.
        :param vacated_runners: healthy runners that the request moves away from.
        :param answer_started: whether the caller has received part of the answer;
            such a request bypasses admission.
        """
        policy = self.policy_of(profile.service)
        for runner in failed_runners:
            policy.record_failure(runner, now_s=self.clock.now_s())
        excluded = {*failed_runners, *vacated_runners}
        while True:
            self._update_policies()
            now_s = self.clock.now_s()
            decision = policy.decide(
                profile,
                now_s=now_s,
                organisation_weight=self._organisation_weight(profile.organisation),
                excluded=excluded,
                already_admitted=answer_started or bool(excluded),
            )
            match decision:
                case Placement():
                    return Success(self._start_dispatch(profile, decision, now_s))
                case Refusal():
                    return self._refuse(decision)
                case WaitForSlot() if now_s >= profile.deadline_s:
                    return self._refuse(Refusal(reason="no runner has room in time"))
                case WaitForSlot():
                    await self._wait_for_capacity()

    def policy_of(self, service: str) -> RoutingPolicy:
        """Return the routing policy of a service, creating it at the first use."""
        policy = self._policies.get(service)
        if policy is None:
            policy = RoutingPolicy(entry=self.entry, settings=self.settings)
            self._policies[service] = policy
            self._applied_fleet = None
        return policy

    def notify_capacity(self) -> None:
        """Let waiting requests check for free capacity again."""
        self._capacity_freed.set()

    async def _wait_for_capacity(self) -> None:
        self._capacity_freed.clear()
        try:
            await asyncio.wait_for(self._capacity_freed.wait(), _CAPACITY_WAIT_S)
        except TimeoutError:
            return

    def _refuse(self, refusal: Refusal) -> Result[Dispatch, NotRun]:
        self.metrics.count("dispatch.refused")
        return Failure(
            NotRun(
                reason=refusal.reason,
                remedy="send the request again after the retry time",
                retry_after_s=refusal.retry_after_s,
            )
        )

    def _start_dispatch(
        self, profile: RequestProfile, placement: Placement, now_s: float
    ) -> Dispatch:
        runner = placement.runner.name
        policy = self.policy_of(profile.service)
        policy.record_sent(
            runner,
            length_class=placement.length_class,
            prefill_tokens=placement.prefill_tokens,
            now_s=now_s,
            priority=placement.priority,
        )
        policy.record_cached_prefix(runner, profile.prefix_hashes)
        return Dispatch(
            runner=runner,
            url=self.view.fleet.runners[runner].url,
            profile=profile,
            placement=placement,
            placed_s=now_s,
            _dispatcher=self,
        )

    def _organisation_weight(self, name: str) -> float:
        organisation = self.view.fleet.organisations.get(name)
        return organisation.weight if organisation else 1.0

    def _update_policies(self) -> None:
        """Pass new configuration and status to the routing policies."""
        if self._applied_fleet is not self.view.fleet:
            self._applied_fleet = self.view.fleet
            self._applied_status_updates = -1
            for service, policy in self._policies.items():
                policy.update_runners(self._runner_facts(service))
        unavailable = self.view.unavailable()
        for policy in self._policies.values():
            policy.set_unavailable_runners(unavailable)
        if self._applied_status_updates == self.view.status_updates:
            return
        self._applied_status_updates = self.view.status_updates
        live_hosts = sum(host.state == "live" for host in self.view.hosts.values())
        now_s = self.clock.now_s()
        for service, policy in self._policies.items():
            policy.entry_count = max(1, live_hosts)
            for name in self.view.fleet.runners_of(service):
                status = self.view.runners.get(name)
                if status is not None:
                    sampled_s = now_s - status.age_s
                    policy.update_report(name, status.report, sampled_s=sampled_s)

    def _runner_facts(self, service_name: str) -> list[RunnerInfo]:
        """Return the configured properties of the runners of a service."""
        fleet = self.view.fleet
        service = fleet.services.get(service_name)
        if service is None:
            return []
        rates, phases = _rates_and_phases(fleet, service)
        return [
            RunnerInfo(
                name=name,
                rates=rates,
                serving_modes=phases,
                default_role=fleet.runners[name].initial_role or next(iter(rates)),
                region=fleet.region_of(fleet.runners[name].availability_zone),
                delay_s=self.view.delay_s(name),
                region_cost_s=self._region_cost_s(name),
            )
            for name in fleet.runners_of(service_name)
        ]

    def _region_cost_s(self, runner: str) -> float:
        """Return the traffic cost of a runner in another region, in seconds."""
        fleet = self.view.fleet
        region = fleet.region_of(fleet.runners[runner].availability_zone)
        if region == fleet.region_of(self.view.availability_zone):
            return 0.0
        price = fleet.regions[region].cost_per_gb * _MEAN_ANSWER_GB
        return price * _SECONDS_PER_PRICE_UNIT


def _rates_and_phases(
    fleet: Fleet, service: Service
) -> tuple[dict[str, EngineRates], dict[str, str]]:
    """Return the token rates and the phase of each engine role, by role name."""
    if service.kind == "plain" or not service.roles:
        return {"": PLAIN_RATES}, {"": "plain"}
    roles = {name: fleet.engine_roles[name] for name in service.roles}
    return (
        {name: rates_of(role) for name, role in roles.items()},
        {name: role.does for name, role in roles.items()},
    )
