"""Length classes of requests and their scheduling priorities.

Long requests get a limited share of slots and a low priority, so that short ones do
not queue behind them.
"""

import math
from enum import IntEnum

LONG_OUTPUT_TOKENS = 1500
LONG_PROMPT_TOKENS = 16000
LONG_SLOT_SHARE = 0.8
_LONG_PRIORITY_OFFSET = 1000
_PRIORITIES_PER_DOUBLING = 2


class LengthClass(IntEnum):
    """Length class of a request."""

    SHORT = 0
    LONG = 1


def choose_length_class(*, prompt_tokens: int, output_tokens: int) -> LengthClass:
    """Return the length class for a prompt length and an output limit."""
    if output_tokens > LONG_OUTPUT_TOKENS or prompt_tokens > LONG_PROMPT_TOKENS:
        return LengthClass.LONG
    return LengthClass.SHORT


def fits_slot_quota(
    length_class: LengthClass, *, low_priority: float, slots: int
) -> bool:
    """Return whether one more request fits the slot quota of its length class."""
    if length_class is LengthClass.SHORT:
        return True
    return low_priority + 1 <= max(1.0, LONG_SLOT_SHARE * slots)


def choose_priority(
    length_class: LengthClass, *, value: float, prefill_tokens: int
) -> int:
    """Return the engine priority of a request; a lower number runs first.

    Within a length class, requests are ordered by value per prompt token: weighted
    shortest processing time first.
    """
    value_per_token = max(value, 1e-6) / max(1, prefill_tokens)
    urgency = math.floor(_PRIORITIES_PER_DOUBLING * math.log2(value_per_token))
    offset = _LONG_PRIORITY_OFFSET if length_class is LengthClass.LONG else 0
    return offset - urgency
