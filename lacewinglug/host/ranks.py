"""Ranks prompts at engines by the time that they can spare."""

SHORT_READING_S = 0.03
"""Reading that goes before all other, in s; it delays the rest by next to
nothing."""
SLACK_STEP_S = 0.25
"""Spare time that makes one rank, in s."""
OVERHEAD_S = 0.1
"""Time of a first token besides reading and waiting, in s."""
URGENT_RANK = 1
"""Rank of prompts that would else come near to their deadline, and of those with
the least time to spare."""
URGENT_SHARE = 0.5
"""Share of the time to the final answer from which a first token is that near."""
LAST_RANK = 9
"""Rank of the least urgent prompts."""


def choose_rank(*, left_s: float, reading_s: float) -> int:
    """Return the rank of a prompt, 0 first.

    Short readings go first, then those with the least time to spare.

    :param left_s: time until its first token is late.
    :param reading_s: time to read what no engine has cached.
    """
    if reading_s <= SHORT_READING_S:
        return 0
    slack_s = max(0.0, left_s - reading_s - OVERHEAD_S)
    return min(LAST_RANK, URGENT_RANK + int(slack_s / SLACK_STEP_S))
