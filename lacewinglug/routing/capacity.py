"""Computes the capacity of a service for each phase."""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewinglug.routing.record import RunnerRecord

# Share of an engine's time that counts for prefill and for decode, by serving mode.
_PHASE_TIME_SHARES = {
    "prefill": (1.0, 0.0),
    "decode": (0.1, 1.0),
    "plain": (1.0, 1.0),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class PhaseCapacity:
    """Capacity of a service for each phase.

    :param prefill: prefill capacity, in engines of the fastest role for prefill.
    :param decode: decode capacity, in engines of the fastest role for decode.
    :param best_prefill_tokens_per_s: prefill rate of the fastest role.
    :param best_decode_tokens_per_s: decode rate of the fastest role.
    """

    prefill: float
    decode: float
    best_prefill_tokens_per_s: float
    best_decode_tokens_per_s: float


def sum_capacity(
    records: Iterable[RunnerRecord], *, mixed_prefill_share: float, now_s: float
) -> PhaseCapacity:
    """Return the total capacity of the runners that accept work.

    :param records: runners of the service.
    :param mixed_prefill_share: share of their time that mixed engines spend on
        prefill.
    :param now_s: current time, in seconds.
    """
    available = [item for item in records if item.accepts_work]
    roles = [item.info.rates[item.role] for item in available]
    best_prefill = max(item.prefill_tokens_per_s for item in roles)
    best_decode = max(item.decode_tokens_per_s for item in roles)
    mixed_shares = (mixed_prefill_share, 1.0 - mixed_prefill_share)
    prefill = 0.0
    decode = 0.0
    for record, rates in zip(available, roles, strict=True):
        speed = 1.0 / record.slowness.current(now_s)
        shares = _PHASE_TIME_SHARES.get(
            record.info.serving_modes[record.role], mixed_shares
        )
        prefill += speed * shares[0] * rates.prefill_tokens_per_s / best_prefill
        decode += speed * shares[1] * rates.decode_tokens_per_s / best_decode
    return PhaseCapacity(
        prefill=prefill,
        decode=decode,
        best_prefill_tokens_per_s=best_prefill,
        best_decode_tokens_per_s=best_decode,
    )
