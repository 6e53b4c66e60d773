"""Admission control over both phases of a request: prefill and decode."""

from collections.abc import Collection
from dataclasses import dataclass

from lacewinglug.routing.admission import AdmissionController, OfferedWork
from lacewinglug.routing.capacity import PhaseCapacity, sum_capacity
from lacewinglug.routing.choice import Placement
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.record import RunnerRecord

CAPACITY_MAX_AGE_S = 0.25
TARGET_PREFILL_WAIT_S = 0.02
TARGET_SLOT_WAIT_S = 0.5
_MEAN_WORK_EWMA_ALPHA = 0.02


@dataclass(kw_only=True)
class PhaseAdmission:
    """Admits requests whose prefill and decode work both fit the capacity.

    :param fair_sharing: whether organisations above their fair share lose priority
        under overload.
    """

    fair_sharing: bool = True

    def __post_init__(self) -> None:
        self._prefill_admission = AdmissionController(
            target_wait_s=TARGET_PREFILL_WAIT_S, fair_sharing=self.fair_sharing
        )
        self._decode_admission = AdmissionController(
            target_wait_s=TARGET_SLOT_WAIT_S, fair_sharing=self.fair_sharing
        )
        self._cached_capacity: PhaseCapacity | None = None
        self._capacity_updated_s = float("-inf")
        self._mean_prefill_s = 0.0
        self._mean_decode_s = 0.0

    def invalidate_capacity(self) -> None:
        """Recompute the capacity at the next request."""
        self._cached_capacity = None

    def admit(
        self,
        profile: RequestProfile,
        placement: Placement,
        *,
        organisation_weight: float,
        records: Collection[RunnerRecord],
        entry_count: int,
        now_s: float,
    ) -> bool:
        """Return whether to admit a request.

        :param profile: the request.
        :param placement: its planned placement.
        :param organisation_weight: fair-share weight of its organisation.
        :param records: runners of the service.
        :param entry_count: number of entries that share the runners.
        :param now_s: current time, in seconds.
        """
        capacity = self._current_capacity(records, now_s)
        prefill = OfferedWork(
            organisation=profile.organisation,
            organisation_weight=organisation_weight,
            value=profile.weight,
            work_s=placement.prefill_tokens / capacity.best_prefill_tokens_per_s,
            wait_s=placement.prefill_wait_s,
        )
        decode = OfferedWork(
            organisation=profile.organisation,
            organisation_weight=organisation_weight,
            value=profile.weight,
            work_s=profile.output_tokens / capacity.best_decode_tokens_per_s,
            wait_s=placement.slot_wait_s,
        )
        self._mean_prefill_s += _MEAN_WORK_EWMA_ALPHA * (
            prefill.work_s - self._mean_prefill_s
        )
        self._mean_decode_s += _MEAN_WORK_EWMA_ALPHA * (
            decode.work_s - self._mean_decode_s
        )
        share = self._capacity_share(records, entry_count)
        return self._prefill_admission.admit(
            prefill, capacity=capacity.prefill * share, now_s=now_s
        ) and self._decode_admission.admit(
            decode, capacity=capacity.decode * share, now_s=now_s
        )

    def _capacity_share(
        self, records: Collection[RunnerRecord], entry_count: int
    ) -> float:
        """Return the share of the capacity that this entry may use.

        Callers are not spread evenly over the entries, so an entry with more than an
        equal share of the running requests gets a proportional share of the capacity.
        """
        loads = [
            (item.load_tracker.in_flight, item.load_tracker.estimate())
            for item in records
        ]
        own = sum(in_flight for in_flight, _ in loads)
        total = sum(load.in_flight for _, load in loads)
        return max(1.0 / entry_count, own / total if total else 0.0)

    def _current_capacity(
        self, records: Collection[RunnerRecord], now_s: float
    ) -> PhaseCapacity:
        """Return the capacity for each phase, recomputed if the cached one is old."""
        age_s = now_s - self._capacity_updated_s
        if self._cached_capacity is None or age_s > CAPACITY_MAX_AGE_S:
            total_s = self._mean_prefill_s + self._mean_decode_s
            self._cached_capacity = sum_capacity(
                records,
                mixed_prefill_share=self._mean_prefill_s / total_s if total_s else 0.5,
                now_s=now_s,
            )
            self._capacity_updated_s = now_s
        return self._cached_capacity
