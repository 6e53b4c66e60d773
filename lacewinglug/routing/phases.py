"""Admits a request when both of its phases are worth the runners' time."""

from collections.abc import Collection
from dataclasses import dataclass

from lacewinglug.routing.admission import AdmissionControl, Offer
from lacewinglug.routing.capacity import Capacity, sum_capacity
from lacewinglug.routing.choice import Placement
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.record import RunnerRecord

CAPACITY_REFRESH_S = 0.25
PREFILL_WAIT_S = 0.02
SLOT_WAIT_S = 0.5
_WORK_SAMPLE_WEIGHT = 0.02


@dataclass(kw_only=True)
class PhaseAdmission:
    """Owns the admission of prompts to compute and of answers to generate.

    :param fair_shares: weigh organisations at a crest.
    """

    fair_shares: bool = True

    def __post_init__(self) -> None:
        self._prefill = AdmissionControl(
            target_wait_s=PREFILL_WAIT_S, fair_shares=self.fair_shares
        )
        self._slots = AdmissionControl(
            target_wait_s=SLOT_WAIT_S, fair_shares=self.fair_shares
        )
        self._known_capacity: Capacity | None = None
        self._capacity_at_s = float("-inf")
        self._mean_prefill_s = 0.0
        self._mean_decode_s = 0.0

    def forget_capacity(self) -> None:
        """Add up the capacity anew at the next request."""
        self._known_capacity = None

    def admit(
        self,
        profile: RequestProfile,
        placement: Placement,
        *,
        organisation_weight: float,
        records: Collection[RunnerRecord],
        entries: int,
        now_s: float,
    ) -> bool:
        """Return whether a request is worth the runners' time in both phases.

        :param profile: the request.
        :param placement: where it would run.
        :param organisation_weight: share of its organisation.
        :param records: runners of the service.
        :param entries: entries that share the runners.
        :param now_s: time, in seconds.
        """
        capacity = self._capacity(records, now_s)
        prefill = Offer(
            organisation=profile.organisation,
            organisation_weight=organisation_weight,
            value=profile.weight,
            work_s=placement.prefill_tokens / capacity.best_prefill_tokens_per_s,
            wait_s=placement.prefill_wait_s,
        )
        slot = Offer(
            organisation=profile.organisation,
            organisation_weight=organisation_weight,
            value=profile.weight,
            work_s=profile.output_tokens / capacity.best_decode_tokens_per_s,
            wait_s=placement.slot_wait_s,
        )
        self._mean_prefill_s += _WORK_SAMPLE_WEIGHT * (
            prefill.work_s - self._mean_prefill_s
        )
        self._mean_decode_s += _WORK_SAMPLE_WEIGHT * (slot.work_s - self._mean_decode_s)
        share = self._share(records, entries)
        return self._prefill.admit(
            prefill, capacity=capacity.prefill * share, now_s=now_s
        ) and self._slots.admit(slot, capacity=capacity.decode * share, now_s=now_s)

    def _share(self, records: Collection[RunnerRecord], entries: int) -> float:
        """Return the share of the runners' time that this entry may use.

        Callers are not spread evenly over the entries: an entry that carries more
        of the running requests than others has a right to more of the time.
        """
        loads = [(item.ledger.in_flight, item.ledger.estimate()) for item in records]
        own = sum(in_flight for in_flight, _ in loads)
        total = sum(load.in_flight for _, load in loads)
        return max(1.0 / entries, own / total if total else 0.0)

    def _capacity(self, records: Collection[RunnerRecord], now_s: float) -> Capacity:
        """Return the runner time for each phase, in seconds a second."""
        age_s = now_s - self._capacity_at_s
        if self._known_capacity is None or age_s > CAPACITY_REFRESH_S:
            total_s = self._mean_prefill_s + self._mean_decode_s
            self._known_capacity = sum_capacity(
                records,
                mixed_prefill_share=self._mean_prefill_s / total_s if total_s else 0.5,
                now_s=now_s,
            )
            self._capacity_at_s = now_s
        return self._known_capacity
