"""Routing policy of one entry: admission control and runner selection."""

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from lacewinglug.retries import RetryBudget
from lacewinglug.routing.candidates import CandidateSelector, rank_by_rendezvous_hash
from lacewinglug.routing.choice import (
    KvTransferCost,
    Placement,
    RunnerState,
    choose_decode_runner,
    choose_placement,
)
from lacewinglug.routing.lanes import LengthClass, choose_length_class, choose_priority
from lacewinglug.routing.migration import (
    MigrationEstimate,
    predict_remaining_s,
    should_migrate,
)
from lacewinglug.routing.phases import PhaseAdmission
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.record import RunnerRecord
from lacewinglug.routing.rules import PolicySettings, Refusal, RunnerInfo, WaitForSlot
from lacewinglug.upstream.messages import LoadReport

FAILURE_BACKOFF_S = 2.0
# Added to expected latencies, so that small absolute deviations do not count.
FIRST_TOKEN_SLACK_S = 0.2
CALL_SLACK_S = 0.05
_LONG_RANK_HASH_KEY = "long"
_SLOT_TIME_EWMA_ALPHA = 0.05
_FIRST_TOKEN_EWMA_ALPHA = 0.2


RoutingDecision = Placement | Refusal | WaitForSlot


@dataclass(kw_only=True)
class RoutingPolicy:
    """Routes the requests of one service at one entry.

    Tracks the state of the service's runners from load reports and from the requests
    that this entry has sent.

    :param entry: name of the entry.
    :param settings: settings of the policy.
    :param entry_count: number of active entries, including this one.
    :param kv_transfer: KV transfer cost, None if the KV cache cannot be transferred.
    :param retry_budget: limits retries and migrations.
    """

    entry: str
    settings: PolicySettings = field(default_factory=PolicySettings)
    entry_count: int = 1
    kv_transfer: KvTransferCost | None = None
    retry_budget: RetryBudget = field(default_factory=RetryBudget)

    def __post_init__(self) -> None:
        self._records: dict[str, RunnerRecord] = {}
        self._queued_tokens_by_priority: Counter[int] = Counter()
        self._candidates = CandidateSelector(entry=self.entry)
        self._admission = PhaseAdmission(fair_sharing=self.settings.fair_sharing)

    def update_runners(self, runners: Sequence[RunnerInfo]) -> None:
        """Set the runners of the service, keeping the state of known ones."""
        known = self._records
        self._records = {}
        for item in runners:
            record = known.get(item.name)
            if record is None:
                record = RunnerRecord(info=item)
            record.info = item
            self._records[item.name] = record
        self._candidates.update(tuple(self._records))
        for rank, name in enumerate(
            rank_by_rendezvous_hash(_LONG_RANK_HASH_KEY, tuple(self._records))
        ):
            self._records[name].long_request_rank = rank

    def set_unavailable_runners(self, names: Collection[str]) -> None:
        """Set the runners that must not get new requests."""
        self._admission.invalidate_capacity()
        for name, record in self._records.items():
            record.available = name not in names

    def update_report(
        self, runner: str, report: LoadReport, *, sampled_s: float
    ) -> None:
        """Process a load report.

        :param runner: name of the runner.
        :param report: the report.
        :param sampled_s: time at which it was sampled, in seconds.
        """
        record = self._records.get(runner)
        if record is None:
            return
        before = record.role
        record.load_tracker.update_report(report, sampled_s)
        if report.role == record.pending_role:
            record.pending_role = ""
        if record.role != before:
            record.cached_prefixes.clear()

    def update_cached_blocks(
        self, runner: str, *, added: Sequence[int] = (), evicted: Sequence[int] = ()
    ) -> None:
        """Update the prefix cache index of a runner from a cache event."""
        record = self._records.get(runner)
        if record is not None:
            record.cached_prefixes.add(added)
            record.cached_prefixes.discard(evicted)

    def decide(
        self,
        profile: RequestProfile,
        *,
        now_s: float,
        organisation_weight: float = 1.0,
        excluded: Collection[str] = (),
        already_admitted: bool = False,
    ) -> RoutingDecision:
        """Place, refuse or queue a request.

        :param profile: the request.
        :param now_s: current time, in seconds.
        :param organisation_weight: fair-share weight of its organisation.
        :param excluded: runners that must not be used, such as those that failed this
            request.
        :param already_admitted: whether an earlier attempt passed admission control.
        """
        length_class = self._length_class(profile)
        states = self._candidate_states(profile, now_s, excluded)
        if not states:
            return Refusal(reason="no runner accepts work")
        transfer = self.kv_transfer if self.settings.disaggregation else None
        placement = choose_placement(
            profile,
            length_class,
            states,
            transfer=transfer,
            queue_ahead_share=self._queue_ahead_share(profile, length_class),
        )
        if placement is None:
            return WaitForSlot()
        if self.settings.deadlines and self._misses_deadline(profile, placement, now_s):
            return Refusal(reason="the answer would come after the deadline")
        needs_admission = (
            self.settings.admission
            and not already_admitted
            and length_class is LengthClass.SHORT
        )
        if needs_admission and not self._admission.admit(
            profile,
            placement,
            organisation_weight=organisation_weight,
            records=self._records.values(),
            entry_count=self.entry_count,
            now_s=now_s,
        ):
            return Refusal(reason="the runners are full with work of more value")
        return placement

    def hands_off_after_prefill(self, runner: str) -> bool:
        """Return whether streams move to a decode runner after prefill."""
        record = self._records.get(runner)
        if (
            record is None
            or not self.settings.disaggregation
            or self.kv_transfer is None
        ):
            return False
        return record.info.serving_modes[record.role] == "prefill"

    def choose_migration_target(
        self,
        profile: RequestProfile,
        *,
        source: str,
        now_s: float,
        excluded: Collection[str],
    ) -> str | None:
        """Return the runner on which a migrated stream continues.

        :param profile: the request.
        :param source: runner that the stream leaves.
        :param now_s: current time, in seconds.
        :param excluded: runners that must not be used.
        :returns: name of the runner, None if there is no candidate.
        """
        states = self._candidate_states(profile, now_s, excluded)
        target = choose_decode_runner(
            profile,
            self._length_class(profile),
            states,
            source_region=self._records[source].info.region,
            transfer=self.kv_transfer,
        )
        return target.name if target else None

    def _queue_ahead_share(
        self, profile: RequestProfile, length_class: LengthClass
    ) -> float:
        """Return the share of queued prompt tokens that run before a request.

        The priorities of other entries' requests are unknown; they are assumed to be
        distributed like those of this entry.
        """
        if not self.settings.priorities:
            return 1.0
        priority = choose_priority(
            length_class, value=profile.weight, prefill_tokens=profile.prompt_tokens
        )
        total = 0
        ahead = 0
        for queued_priority, tokens in self._queued_tokens_by_priority.items():
            total += tokens
            if queued_priority <= priority:
                ahead += tokens
        return ahead / total if total > 0 else 1.0

    def record_sent(
        self,
        runner: str,
        *,
        length_class: LengthClass,
        prefill_tokens: int,
        now_s: float,
        priority: int = 0,
    ) -> None:
        """Record that a request was sent to a runner."""
        self._queued_tokens_by_priority[priority] += prefill_tokens
        if runner in self._records:
            self._records[runner].load_tracker.record_change(
                now_s,
                in_flight=1,
                low_priority=int(length_class is LengthClass.LONG),
                prefill_tokens=prefill_tokens,
            )

    def record_prefill_done(
        self, runner: str, *, prefill_tokens: int, now_s: float, priority: int = 0
    ) -> None:
        """Record that prompt tokens no longer wait for prefill on a runner."""
        self._queued_tokens_by_priority[priority] -= prefill_tokens
        if runner in self._records:
            self._records[runner].load_tracker.record_change(
                now_s, prefill_tokens=-prefill_tokens
            )

    def record_closed(
        self,
        runner: str,
        *,
        length_class: LengthClass,
        slot_time_s: float,
        now_s: float,
        succeeded: bool = True,
    ) -> None:
        """Record that a request has ended on a runner.

        :param runner: name of the runner.
        :param length_class: length class of the request.
        :param slot_time_s: time since the request was sent, in seconds.
        :param now_s: current time, in seconds.
        :param succeeded: whether a response was received.
        """
        record = self._records.get(runner)
        if record is None:
            return
        record.load_tracker.record_change(
            now_s, in_flight=-1, low_priority=-int(length_class is LengthClass.LONG)
        )
        if not succeeded:
            return
        expected_s = min(item.mean_slot_time_s for item in self._records.values())
        if record.info.serving_modes[record.role] == "plain":
            record.slowness.record(
                observed_s=slot_time_s,
                expected_s=expected_s + CALL_SLACK_S,
                now_s=now_s,
            )
        record.mean_slot_time_s += _SLOT_TIME_EWMA_ALPHA * (
            slot_time_s - record.mean_slot_time_s
        )

    def record_cached_prefix(self, runner: str, hashes: Sequence[int]) -> None:
        """Record the prompt blocks that were sent to a runner."""
        if runner in self._records:
            self._records[runner].cached_prefixes.add(hashes)

    def record_role_change(self, runner: str, role: str) -> None:
        """Record a role change that is not in a report yet."""
        record = self._records.get(runner)
        if record is not None and role in record.info.rates:
            record.pending_role = role
            record.cached_prefixes.clear()

    def record_failure(self, runner: str, *, now_s: float) -> None:
        """Avoid a runner for a while after it lost or refused a request."""
        record = self._records.get(runner)
        if record is not None:
            record.backoff_until_s = now_s + FAILURE_BACKOFF_S

    def record_first_token(
        self, runner: str, *, observed_s: float, expected_s: float, now_s: float
    ) -> None:
        """Record the time to first token with its predicted value.

        Only prefill engines are measured this way, since they generate no tokens. Their
        ratio is compared with that of their peers, because an underestimated queue
        delays all of them.
        """
        record = self._records.get(runner)
        if record is None or record.info.serving_modes[record.role] != "prefill":
            return
        record.first_token_ratio += _FIRST_TOKEN_EWMA_ALPHA * (
            observed_s / (expected_s + FIRST_TOKEN_SLACK_S) - record.first_token_ratio
        )
        peers = [
            item.first_token_ratio
            for item in self._records.values()
            if item.accepts_work and item.role == record.role
        ]
        record.slowness.record(
            observed_s=record.first_token_ratio,
            expected_s=max(1.0, min(peers, default=1.0)),
            now_s=now_s,
        )

    def choose_faster_runner(
        self,
        profile: RequestProfile,
        *,
        runner: str,
        prefill_done: bool,
        remaining_tokens: int,
        now_s: float,
    ) -> str | None:
        """Return a runner on which a request would complete clearly sooner.

        :param profile: the request.
        :param runner: runner that it runs on.
        :param prefill_done: whether the first token has arrived.
        :param remaining_tokens: tokens still to generate.
        :param now_s: current time, in seconds.
        :returns: name of the runner, None if migration does not pay off.
        """
        states = self._candidate_states(profile, now_s, ())
        source = next((item for item in states if item.name == runner), None)
        others = [item for item in states if item.name != runner]
        if source is None or not others:
            return None
        if prefill_done:
            target = choose_decode_runner(
                profile,
                self._length_class(profile),
                others,
                source_region=source.region,
                transfer=self.kv_transfer,
            )
        else:
            placement = choose_placement(profile, self._length_class(profile), others)
            target = placement.runner if placement else None
        if target is None:
            return None
        estimate = MigrationEstimate(
            source_remaining_s=predict_remaining_s(
                profile, source, prefill_done, remaining_tokens
            ),
            target_remaining_s=predict_remaining_s(
                profile, target, prefill_done, remaining_tokens
            ),
            transfer_s=self._kv_transfer_s(
                profile, prefill_done, source.region != target.region
            ),
        )
        return target.name if should_migrate(estimate) else None

    def _kv_transfer_s(
        self, profile: RequestProfile, prefill_done: bool, is_remote: bool
    ) -> float:
        """Return the pause of a stream during migration, in seconds."""
        if not prefill_done or self.kv_transfer is None:
            return 0.0
        return self.kv_transfer.transfer_s(profile.prompt_tokens, is_remote=is_remote)

    def record_token_interval(
        self, runner: str, *, interval_s: float, now_s: float
    ) -> None:
        """Record an inter-token latency of a stream."""
        record = self._records.get(runner)
        if record is None:
            return
        expected_s = self.expected_interval_s(runner)
        record.slowness.record(
            observed_s=interval_s, expected_s=expected_s, now_s=now_s
        )

    def expected_interval_s(self, runner: str) -> float:
        """Return the inter-token latency expected at the current load, in seconds."""
        record = self._records[runner]
        rates = record.info.rates[record.role]
        return rates.token_interval_s(record.load_tracker.estimate().in_flight)

    def slowness_of(self, runner: str, now_s: float) -> float:
        """Return the ratio of observed to expected latency of a runner."""
        return self._records[runner].slowness.current(now_s)

    def _length_class(self, profile: RequestProfile) -> LengthClass:
        if not self.settings.length_classes:
            return LengthClass.SHORT
        return choose_length_class(
            prompt_tokens=profile.prompt_tokens, output_tokens=profile.output_tokens
        )

    def _candidate_states(
        self, profile: RequestProfile, now_s: float, excluded: Collection[str]
    ) -> list[RunnerState]:
        """Return the state of the candidates that accept work.

        Runners without recent reports are used only if no other candidate is left.
        """
        affinity_key = profile.organisation
        assumed_senders = max(1.0, self.settings.sender_share * self.entry_count)
        usable = [
            record
            for name in self._candidates.select(affinity_key)
            if (record := self._records[name]).accepts_work and name not in excluded
        ]
        reported = [
            record for record in usable if record.load_tracker.report is not None
        ]
        reachable = [record for record in reported if record.is_reachable(now_s)]
        return [
            record.state(
                profile, self.settings, now_s=now_s, assumed_senders=assumed_senders
            )
            for record in reachable or reported or usable
        ]

    def _misses_deadline(
        self, profile: RequestProfile, placement: Placement, now_s: float
    ) -> bool:
        if self.settings.known_output_lengths:
            return now_s + placement.completion_s > profile.deadline_s
        earliest_s = placement.first_token_s
        if placement.runner.serving_mode == "plain":
            earliest_s = placement.slot_wait_s
        return now_s + earliest_s > profile.deadline_s
