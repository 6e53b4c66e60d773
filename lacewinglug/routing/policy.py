"""Admission and routing of one entry: typed state in, decision out."""

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from lacewinglug.retries import RetryBudget
from lacewinglug.routing.candidates import CandidateSet, rank_runners
from lacewinglug.routing.choice import (
    Placement,
    RunnerState,
    TransferCost,
    choose_decode_runner,
    choose_placement,
)
from lacewinglug.routing.lanes import Lane, choose_lane, choose_priority
from lacewinglug.routing.migration import (
    StreamPrognosis,
    is_worth_moving,
    remaining_s,
)
from lacewinglug.routing.phases import PhaseAdmission
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.record import RunnerRecord
from lacewinglug.routing.rules import PolicySettings, Refusal, RunnerFacts, Wait
from lacewinglug.upstream.messages import LoadReport

AVOID_S = 2.0
FIRST_TOKEN_SLACK_S = 0.2
CALL_SLACK_S = 0.05
_LONG_KEY = "long"
_HOLD_SAMPLE_WEIGHT = 0.05
_RATIO_SAMPLE_WEIGHT = 0.2


Decision = Placement | Refusal | Wait


@dataclass(kw_only=True)
class RoutingPolicy:
    """Owns an entry's account of the runners of one service.

    :param entry: name of the entry.
    :param settings: rules in force.
    :param entries: entries that serve, this one included.
    :param transfer: cost of moving a KV cache, None when it cannot move.
    """

    entry: str
    settings: PolicySettings = field(default_factory=PolicySettings)
    entries: int = 1
    transfer: TransferCost | None = None
    retries: RetryBudget = field(default_factory=RetryBudget)

    def __post_init__(self) -> None:
        self._records: dict[str, RunnerRecord] = {}
        self._queued: Counter[int] = Counter()
        self._candidates = CandidateSet(entry=self.entry)
        self._admission = PhaseAdmission(fair_shares=self.settings.fair_shares)

    def update_runners(self, facts: Sequence[RunnerFacts]) -> None:
        """Take the runners of the service from the configuration."""
        known = self._records
        self._records = {}
        for item in facts:
            record = known.get(item.name)
            if record is None:
                record = RunnerRecord(facts=item)
            record.facts = item
            self._records[item.name] = record
        self._candidates.update(tuple(self._records))
        for rank, name in enumerate(rank_runners(_LONG_KEY, tuple(self._records))):
            self._records[name].long_rank = rank

    def set_unavailable(self, names: Collection[str]) -> None:
        """Take the runners that get no new work."""
        self._admission.forget_capacity()
        for name, record in self._records.items():
            record.available = name not in names

    def note_report(self, runner: str, report: LoadReport, *, sampled_s: float) -> None:
        """Take a load report.

        :param sampled_s: time when the report was true, in seconds.
        """
        record = self._records.get(runner)
        if record is None:
            return
        before = record.role
        record.ledger.note_report(report, sampled_s)
        if report.role == record.ordered_role:
            record.ordered_role = ""
        if record.role != before:
            record.hints.clear()

    def note_cache(
        self, runner: str, *, added: Sequence[int] = (), evicted: Sequence[int] = ()
    ) -> None:
        """Take a cache event of a runner as a hint."""
        record = self._records.get(runner)
        if record is not None:
            record.hints.add(added)
            record.hints.discard(evicted)

    def decide(
        self,
        profile: RequestProfile,
        *,
        now_s: float,
        organisation_weight: float = 1.0,
        excluded: Collection[str] = (),
        admitted: bool = False,
    ) -> Decision:
        """Place a request, refuse it, or let it wait for room.

        :param profile: the request.
        :param now_s: time, in seconds.
        :param organisation_weight: share of its organisation.
        :param excluded: runners that failed at this request already.
        :param admitted: whether it was admitted before.
        """
        lane = self._lane(profile)
        states = self._states(profile, now_s, excluded)
        if not states:
            return Refusal(reason="no runner accepts work")
        transfer = self.transfer if self.settings.split else None
        placement = choose_placement(
            profile,
            lane,
            states,
            transfer=transfer,
            ahead_share=self._ahead_share(profile, lane),
        )
        if placement is None:
            return Wait()
        if self.settings.deadlines and self._misses_deadline(profile, placement, now_s):
            return Refusal(reason="the answer would come after the deadline")
        is_new = self.settings.admission and not admitted and lane is Lane.SHORT
        if is_new and not self._admission.admit(
            profile,
            placement,
            organisation_weight=organisation_weight,
            records=self._records.values(),
            entries=self.entries,
            now_s=now_s,
        ):
            return Refusal(reason="the runners are full with work of more value")
        return placement

    def hands_over(self, runner: str) -> bool:
        """Return whether streams leave a runner after the first token."""
        record = self._records.get(runner)
        if record is None or not self.settings.split or self.transfer is None:
            return False
        return record.facts.does[record.role] == "prefill"

    def choose_target(
        self,
        profile: RequestProfile,
        *,
        source: str,
        now_s: float,
        excluded: Collection[str],
    ) -> str | None:
        """Return the runner on which a moved stream goes on, None for none.

        :param source: runner that it leaves.
        """
        states = self._states(profile, now_s, excluded)
        target = choose_decode_runner(
            profile,
            self._lane(profile),
            states,
            region=self._records[source].facts.region,
            transfer=self.transfer,
        )
        return target.name if target else None

    def _ahead_share(self, profile: RequestProfile, lane: Lane) -> float:
        """Return the share of queued prompt tokens that run before a request.

        The own tokens stand for those of all entries.
        """
        if not self.settings.priorities:
            return 1.0
        priority = choose_priority(
            lane, value=profile.weight, prefill_tokens=profile.prompt_tokens
        )
        total = 0
        ahead = 0
        for queued_priority, tokens in self._queued.items():
            total += tokens
            if queued_priority <= priority:
                ahead += tokens
        return ahead / total if total > 0 else 1.0

    def note_sent(
        self,
        runner: str,
        *,
        lane: Lane,
        prefill_tokens: int,
        now_s: float,
        priority: int = 0,
    ) -> None:
        """Note that a request was sent to a runner."""
        self._queued[priority] += prefill_tokens
        if runner in self._records:
            self._records[runner].ledger.note(
                now_s,
                in_flight=1,
                low_priority=int(lane is Lane.LONG),
                prefill_tokens=prefill_tokens,
            )

    def note_computed(
        self, runner: str, *, prefill_tokens: int, now_s: float, priority: int = 0
    ) -> None:
        """Note that a runner has computed prompt tokens."""
        self._queued[priority] -= prefill_tokens
        if runner in self._records:
            self._records[runner].ledger.note(now_s, prefill_tokens=-prefill_tokens)

    def note_closed(
        self,
        runner: str,
        *,
        lane: Lane,
        held_s: float,
        now_s: float,
        succeeded: bool = True,
    ) -> None:
        """Note that a runner no longer works on a request.

        :param held_s: time since it was sent there, in seconds.
        :param succeeded: whether it was answered.
        """
        record = self._records.get(runner)
        if record is None:
            return
        record.ledger.note(now_s, in_flight=-1, low_priority=-int(lane is Lane.LONG))
        if not succeeded:
            return
        expected_s = min(item.hold_s for item in self._records.values())
        if record.facts.does[record.role] == "plain":
            record.slowness.note(
                observed_s=held_s, expected_s=expected_s + CALL_SLACK_S, now_s=now_s
            )
        record.hold_s += _HOLD_SAMPLE_WEIGHT * (held_s - record.hold_s)

    def note_prefix(self, runner: str, hashes: Sequence[int]) -> None:
        """Note that a runner was sent a prompt with these pieces."""
        if runner in self._records:
            self._records[runner].hints.add(hashes)

    def note_role(self, runner: str, role: str) -> None:
        """Note a role in force that no report says yet."""
        record = self._records.get(runner)
        if record is not None and role in record.facts.rates:
            record.ordered_role = role
            record.hints.clear()

    def note_failed(self, runner: str, *, now_s: float) -> None:
        """Note that a runner lost or refused a request."""
        record = self._records.get(runner)
        if record is not None:
            record.avoided_until_s = now_s + AVOID_S

    def note_first_token(
        self, runner: str, *, observed_s: float, expected_s: float, now_s: float
    ) -> None:
        """Note the time to a first token beside the predicted one.

        Only runners that generate no tokens are judged by it, and beside their
        peers, since a queue that was predicted too short makes all of them late.
        """
        record = self._records.get(runner)
        if record is None or record.facts.does[record.role] != "prefill":
            return
        record.first_token_ratio += _RATIO_SAMPLE_WEIGHT * (
            observed_s / (expected_s + FIRST_TOKEN_SLACK_S) - record.first_token_ratio
        )
        peers = [
            item.first_token_ratio
            for item in self._records.values()
            if item.accepts_work and item.role == record.role
        ]
        record.slowness.note(
            observed_s=record.first_token_ratio,
            expected_s=max(1.0, min(peers, default=1.0)),
            now_s=now_s,
        )

    def plan_move(
        self,
        profile: RequestProfile,
        *,
        runner: str,
        computed: bool,
        remaining_tokens: int,
        now_s: float,
    ) -> str | None:
        """Return the runner on which a request ends clearly sooner, None for none.

        :param runner: where it runs.
        :param computed: whether the first token has arrived.
        :param remaining_tokens: tokens still to come.
        """
        states = self._states(profile, now_s, ())
        here = next((item for item in states if item.name == runner), None)
        others = [item for item in states if item.name != runner]
        if here is None or not others:
            return None
        if computed:
            there = choose_decode_runner(
                profile,
                self._lane(profile),
                others,
                region=here.region,
                transfer=self.transfer,
            )
        else:
            placement = choose_placement(profile, self._lane(profile), others)
            there = placement.runner if placement else None
        if there is None:
            return None
        prognosis = StreamPrognosis(
            here_s=remaining_s(profile, here, computed, remaining_tokens),
            there_s=remaining_s(profile, there, computed, remaining_tokens),
            move_s=self._move_s(profile, computed, here.region != there.region),
        )
        return there.name if is_worth_moving(prognosis) else None

    def _move_s(
        self, profile: RequestProfile, computed: bool, is_remote: bool
    ) -> float:
        """Return the time without tokens during a move, in seconds."""
        if not computed or self.transfer is None:
            return 0.0
        return self.transfer.transfer_s(profile.prompt_tokens, is_remote=is_remote)

    def note_interval(self, runner: str, *, interval_s: float, now_s: float) -> None:
        """Note the time between two tokens of a stream."""
        record = self._records.get(runner)
        if record is None:
            return
        expected_s = self.expected_interval_s(runner)
        record.slowness.note(observed_s=interval_s, expected_s=expected_s, now_s=now_s)

    def expected_interval_s(self, runner: str) -> float:
        """Return the token interval of a healthy runner at its load, in seconds."""
        record = self._records[runner]
        rates = record.facts.rates[record.role]
        return rates.token_interval_s(record.ledger.estimate().in_flight)

    def slowness_of(self, runner: str, now_s: float) -> float:
        """Return how many times slower than its rates a runner is."""
        return self._records[runner].slowness.current(now_s)

    def _lane(self, profile: RequestProfile) -> Lane:
        if not self.settings.lanes:
            return Lane.SHORT
        return choose_lane(
            prompt_tokens=profile.prompt_tokens, output_tokens=profile.output_tokens
        )

    def _states(
        self, profile: RequestProfile, now_s: float, excluded: Collection[str]
    ) -> list[RunnerState]:
        """Return the state of the candidates that accept work."""
        affinity = profile.organisation
        mirror = max(1.0, self.settings.mirror * self.entries)
        usable = [
            record
            for name in self._candidates.pick(affinity)
            if (record := self._records[name]).accepts_work and name not in excluded
        ]
        reported = [record for record in usable if record.ledger.report is not None]
        reachable = [record for record in reported if record.is_reachable(now_s)]
        return [
            record.state(profile, self.settings, now_s=now_s, mirror=mirror)
            for record in reachable or reported or usable
        ]

    def _misses_deadline(
        self, profile: RequestProfile, placement: Placement, now_s: float
    ) -> bool:
        if self.settings.known_lengths:
            return now_s + placement.finish_s > profile.deadline_s
        least_s = placement.first_token_s
        if placement.runner.does == "plain":
            least_s = placement.slot_wait_s
        return now_s + least_s > profile.deadline_s
