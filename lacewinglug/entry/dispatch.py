"""Places requests on runners and keeps account of them while they run."""

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

_ROOM_WAIT_S = 0.1
_SECONDS_PER_PRICE_UNIT = 1000.0
_MEAN_ANSWER_GB = 1e-5


@dataclass(kw_only=True)
class Dispatch:
    """One request on one runner.

    :param runner: name of the runner.
    :param url: base URL of the runner.
    :param profile: the request.
    :param placement: what the policy predicted.
    :param sent_s: when it was placed, in seconds.
    """

    runner: str
    url: str
    profile: RequestProfile
    placement: Placement
    sent_s: float
    _dispatcher: "Dispatcher"
    _last_token_s: float = -1.0
    _is_closed: bool = False

    @property
    def priority(self) -> int:
        """Priority at the engine; a lower number runs first."""
        return self.placement.priority

    def note_token(self) -> None:
        """Note that a token of the answer arrived."""
        now_s = self._dispatcher.clock.now_s()
        policy = self._dispatcher.policy_of(self.profile.service)
        if self._last_token_s < 0:
            self._note_first_token(policy, now_s)
        else:
            policy.record_token_interval(
                self.runner, interval_s=now_s - self._last_token_s, now_s=now_s
            )
        self._last_token_s = now_s

    def _note_first_token(self, policy: RoutingPolicy, now_s: float) -> None:
        policy.record_prefill_done(
            self.runner,
            prefill_tokens=self.placement.prefill_tokens,
            now_s=now_s,
            priority=self.priority,
        )
        policy.record_first_token(
            self.runner,
            observed_s=now_s - self.sent_s,
            expected_s=self.placement.first_token_s,
            now_s=now_s,
        )

    def close(self, *, succeeded: bool) -> None:
        """Note that the runner no longer works on the request."""
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
            slot_time_s=now_s - self.sent_s,
            now_s=now_s,
            succeeded=succeeded,
        )
        self._dispatcher.wake_waiting()


@dataclass(kw_only=True)
class Dispatcher:
    """Owns the entry's own account of the work that it gave to runners.

    :param view: what is known of the fleet.
    :param clock: source of time.
    :param metrics: counters.
    :param entry: name of the entry, which sets its subset of many runners.
    :param settings: rules in force.
    """

    view: EntryView
    clock: Clock
    metrics: Metrics
    entry: str = ""
    settings: PolicySettings = field(
        default_factory=lambda: PolicySettings(known_output_lengths=False)
    )
    _policies: dict[str, RoutingPolicy] = field(default_factory=dict)
    _fleet: Fleet | None = None
    _status_updates: int = -1
    _room: asyncio.Event = field(default_factory=asyncio.Event)

    async def place(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[str] = (),
        left: Collection[str] = (),
        begun: bool = False,
    ) -> Result[Dispatch, NotRun]:
        """Choose the runner of a request, or refuse it as not run.

        :param profile: the request.
        :param excluded: runners that failed at this request already.
        :param left: healthy runners that the request leaves.
        :param begun: whether part of the answer has gone to the caller, so that
            admission has no say any more.
        """
        policy = self.policy_of(profile.service)
        for runner in excluded:
            policy.record_failure(runner, now_s=self.clock.now_s())
        closed = {*excluded, *left}
        while True:
            self._refresh()
            now_s = self.clock.now_s()
            decision = policy.decide(
                profile,
                now_s=now_s,
                organisation_weight=self._organisation_weight(profile.organisation),
                excluded=closed,
                already_admitted=begun or bool(closed),
            )
            match decision:
                case Placement():
                    return Success(self._open(profile, decision, now_s))
                case Refusal():
                    return self._refuse(decision)
                case WaitForSlot() if now_s >= profile.deadline_s:
                    return self._refuse(Refusal(reason="no runner has room in time"))
                case WaitForSlot():
                    await self._wait_for_room()

    def policy_of(self, service: str) -> RoutingPolicy:
        """Return the policy of a service."""
        policy = self._policies.get(service)
        if policy is None:
            policy = RoutingPolicy(entry=self.entry, settings=self.settings)
            self._policies[service] = policy
            self._fleet = None
        return policy

    def wake_waiting(self) -> None:
        """Let waiting requests look for room again."""
        self._room.set()

    async def _wait_for_room(self) -> None:
        self._room.clear()
        try:
            await asyncio.wait_for(self._room.wait(), _ROOM_WAIT_S)
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

    def _open(
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
            sent_s=now_s,
            _dispatcher=self,
        )

    def _organisation_weight(self, name: str) -> float:
        organisation = self.view.fleet.organisations.get(name)
        return organisation.weight if organisation else 1.0

    def _refresh(self) -> None:
        """Hand the policies what the steward told since the last request."""
        if self._fleet is not self.view.fleet:
            self._fleet = self.view.fleet
            self._status_updates = -1
            for service, policy in self._policies.items():
                policy.update_runners(self._facts(service))
        unavailable = self.view.unavailable()
        for policy in self._policies.values():
            policy.set_unavailable_runners(unavailable)
        if self._status_updates == self.view.status_updates:
            return
        self._status_updates = self.view.status_updates
        live = sum(host.state == "live" for host in self.view.hosts.values())
        now_s = self.clock.now_s()
        for service, policy in self._policies.items():
            policy.entry_count = max(1, live)
            for name in self.view.fleet.runners_of(service):
                status = self.view.runners.get(name)
                if status is not None:
                    sampled_s = now_s - status.age_s
                    policy.update_report(name, status.report, sampled_s=sampled_s)

    def _facts(self, service_name: str) -> list[RunnerInfo]:
        """Return what the configuration says of the runners of a service."""
        fleet = self.view.fleet
        service = fleet.services.get(service_name)
        if service is None:
            return []
        rates, does = _rates(fleet, service)
        return [
            RunnerInfo(
                name=name,
                rates=rates,
                serving_modes=does,
                default_role=fleet.runners[name].initial_role or next(iter(rates)),
                region=fleet.region_of(fleet.runners[name].availability_zone),
                delay_s=self.view.delay_s(name),
                region_cost_s=self._region_cost_s(name),
            )
            for name in fleet.runners_of(service_name)
        ]

    def _region_cost_s(self, runner: str) -> float:
        """Return the cost of a runner's region by volume, in seconds."""
        fleet = self.view.fleet
        region = fleet.region_of(fleet.runners[runner].availability_zone)
        if region == fleet.region_of(self.view.availability_zone):
            return 0.0
        price = fleet.regions[region].cost_per_gb * _MEAN_ANSWER_GB
        return price * _SECONDS_PER_PRICE_UNIT


def _rates(
    fleet: Fleet, service: Service
) -> tuple[dict[str, EngineRates], dict[str, str]]:
    """Return rates and phases by name of the engine role."""
    if service.kind == "plain" or not service.roles:
        return {"": PLAIN_RATES}, {"": "plain"}
    roles = {name: fleet.engine_roles[name] for name in service.roles}
    return (
        {name: rates_of(role) for name, role in roles.items()},
        {name: role.does for name, role in roles.items()},
    )
