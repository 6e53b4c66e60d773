"""Decides whether to refuse a prompt now, and when its caller is to return."""

import zlib
from dataclasses import dataclass

MAX_FILL_WITHOUT_REFUSAL = 0.5
"""Part of the slots taken under which nothing is refused, if no prompt waits."""
MIN_RETRY_S = 0.3
"""Least ``Retry-After`` before it is spread, in s."""
MAX_RETRY_S = 2.0
"""Largest ``Retry-After`` before it is spread, in s."""
RETRY_SPREAD = 0.5
"""Part by which ``Retry-After`` is longer at most, so that callers that were refused
together do not return together."""
HONOURED_FRACTION = 1 / 3
"""Part of the time left to a client up to which it honours ``Retry-After``."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptOutlook:
    """What is expected of a prompt.

    :param expected_s: expected time to the first token.
    :param confidence: how far that may be relied on, from 0 to 1.
    :param left_s: time left until the deadline of the request.
    :param waiting: prompts that its engine takes before it.
    :param fill: part of the slots of the service's engines that is taken.
    """

    expected_s: float
    confidence: float
    left_s: float
    waiting: float
    fill: float


def choose_retry_after_s(outlook: PromptOutlook, *, request_id: str) -> float | None:
    """Return after how long the caller is to return, None to serve the prompt.

    Only a prompt that would miss its deadline is refused: a late answer has a part of
    its value, a refused one that is never served has none.
    """
    overrun_s = outlook.expected_s * outlook.confidence - outlook.left_s
    idle = outlook.waiting <= 0.0 and outlook.fill < MAX_FILL_WITHOUT_REFUSAL
    if overrun_s <= 0.0 or idle:
        return None
    spread = zlib.crc32(request_id.encode()) / 2**32
    room_s = min(max(overrun_s, MIN_RETRY_S), MAX_RETRY_S)
    return min(
        room_s * (1.0 + RETRY_SPREAD * spread),
        max(0.0, outlook.left_s) * HONOURED_FRACTION * (1.0 - 0.5 * spread),
    )
