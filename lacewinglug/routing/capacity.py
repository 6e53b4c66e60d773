"""Adds up the runner time that a service has for each phase."""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewinglug.routing.record import RunnerRecord

_PHASE_SHARES = {
    "prefill": (1.0, 0.0),
    "decode": (0.1, 1.0),
    "plain": (1.0, 1.0),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """Runner time for each phase, in seconds a second of the best role."""

    prefill: float
    decode: float
    best_prefill_tokens_per_s: float
    best_decode_tokens_per_s: float


def sum_capacity(
    records: Iterable[RunnerRecord], *, mixed_prefill_share: float, now_s: float
) -> Capacity:
    """Return the runner time of the runners that accept work.

    :param records: runners of the service.
    :param mixed_prefill_share: share of prefill in the work of mixed engines.
    :param now_s: time, in seconds.
    """
    usable = [item for item in records if item.accepts_work]
    roles = [item.facts.rates[item.role] for item in usable]
    best_prefill = max(item.prefill_tokens_per_s for item in roles)
    best_decode = max(item.decode_tokens_per_s for item in roles)
    mixed_shares = (mixed_prefill_share, 1.0 - mixed_prefill_share)
    prefill = 0.0
    decode = 0.0
    for record, rates in zip(usable, roles, strict=True):
        speed = 1.0 / record.slowness.current(now_s)
        shares = _PHASE_SHARES.get(record.facts.does[record.role], mixed_shares)
        prefill += speed * shares[0] * rates.prefill_tokens_per_s / best_prefill
        decode += speed * shares[1] * rates.decode_tokens_per_s / best_decode
    return Capacity(
        prefill=prefill,
        decode=decode,
        best_prefill_tokens_per_s=best_prefill,
        best_decode_tokens_per_s=best_decode,
    )
