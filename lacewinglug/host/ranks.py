"""Assigns priorities to prompts at engines by the time they have to spare."""

SHORT_PROMPT_PRIORITY = 0
"""Priority of short prompts: they hardly delay the others."""
URGENT_PRIORITY = 1
"""Priority of prompts with the least time to spare, and of those whose first token
would otherwise be expected close to their deadline."""
URGENT_TIME_FRACTION = 0.5
"""Fraction of the time left for the final answer above which an expected time to
first token counts as close to the deadline."""
PRIORITIES_PER_TARGET = 5.0
"""Number of priority levels over which the prompts with up to the longest latency
target of the service to spare spread."""
LATE_PRIORITY = 8
"""Priority of prompts that miss their latency target in any case. They come after
those that can still meet it, so that a load above the capacity delays no others."""


def choose_priority(
    *, time_left_s: float, longest_target_s: float, prefill_s: float, short: bool
) -> int:
    """Return the priority of a prompt, 0 first.

    Short prefills go first, then the prompts with the least time to spare.

    :param time_left_s: time until the first token is late, in seconds.
    :param longest_target_s: longest latency target of the service's routes, in seconds.
    :param prefill_s: prefill time of what no engine has cached, in seconds.
    :param short: whether the prefill is short among those of the service.
    """
    slack_s = time_left_s - prefill_s
    if slack_s < 0.0:
        return LATE_PRIORITY
    if short:
        return SHORT_PROMPT_PRIORITY
    level = int(PRIORITIES_PER_TARGET * slack_s / longest_target_s)
    return min(LATE_PRIORITY - 1, URGENT_PRIORITY + level)
