"""Assigns priorities to prompts at engines by the time they have to spare."""

SHORT_PREFILL_S = 0.03
"""Prefills up to this length, in seconds, get the highest priority: they hardly
delay the others."""
SLACK_PER_PRIORITY_S = 0.25
"""Spare time per priority level, in seconds."""
FIRST_TOKEN_OVERHEAD_S = 0.1
"""Time to a first token other than prefill and queueing, in seconds."""
URGENT_PRIORITY = 1
"""Priority of prompts with the least time to spare, and of those whose first token
would otherwise be expected close to their deadline."""
URGENT_TIME_FRACTION = 0.5
"""Fraction of the time left for the final answer above which an expected time to
first token counts as close to the deadline."""
LOWEST_PRIORITY = 9
"""Priority of the prompts with the most time to spare."""


def choose_priority(*, time_left_s: float, prefill_s: float) -> int:
    """Return the priority of a prompt, 0 first.

    Short prefills go first, then the prompts with the least time to spare.

    :param time_left_s: time until the first token is late, in seconds.
    :param prefill_s: prefill time of what no engine has cached, in seconds.
    """
    if prefill_s <= SHORT_PREFILL_S:
        return 0
    slack_s = max(0.0, time_left_s - prefill_s - FIRST_TOKEN_OVERHEAD_S)
    return min(LOWEST_PRIORITY, URGENT_PRIORITY + int(slack_s / SLACK_PER_PRIORITY_S))
