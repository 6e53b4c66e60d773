"""Sorts requests into lanes, so that short ones do not wait behind long ones."""

import math
from enum import IntEnum

LONG_OUTPUT_TOKENS = 1500
LONG_PROMPT_TOKENS = 16000
LONG_SLOT_SHARE = 0.8
_LONG_PRIORITY = 1000
_PRIORITIES_PER_DOUBLING = 2


class Lane(IntEnum):
    """Lane of a request; engines run a lower priority number first."""

    SHORT = 0
    LONG = 1


def choose_lane(*, prompt_tokens: int, output_tokens: int) -> Lane:
    """Return the lane of a request by its predicted length."""
    if output_tokens > LONG_OUTPUT_TOKENS or prompt_tokens > LONG_PROMPT_TOKENS:
        return Lane.LONG
    return Lane.SHORT


def has_room(lane: Lane, *, low_priority: float, slots: int) -> bool:
    """Return whether a runner's share for a lane has room for one more."""
    if lane is Lane.SHORT:
        return True
    return low_priority + 1 <= max(1.0, LONG_SLOT_SHARE * slots)


def choose_priority(lane: Lane, *, value: float, prefill_tokens: int) -> int:
    """Return the engine's priority of a request; a lower number runs first.

    Within a lane, the value a prompt token decides: the weighted rule of the
    shortest processing time first.
    """
    value_per_token = max(value, 1e-6) / max(1, prefill_tokens)
    urgency = math.floor(_PRIORITIES_PER_DOUBLING * math.log2(value_per_token))
    offset = _LONG_PRIORITY if lane is Lane.LONG else 0
    return offset - urgency
