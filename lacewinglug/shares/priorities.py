"""Chooses the priority at engines of a prompt in excess of its organisation's share."""

from lacewinglug.host.ranks import LATE_PRIORITY
from lacewinglug.shares.ledger import ShareDecision

DEFAULT_PRIORITY = 5
"""Priority of an organisation or route that states none."""
EXCESS_PRIORITY = LATE_PRIORITY - 1
"""Priority of a prompt in excess. Prompts within shares never get it: their time to
spare is shorter than the longest latency target, so that they are at most at 5."""
URGENT_EXCESS_PRIORITY = EXCESS_PRIORITY - 1
"""Priority of a prompt in excess of an organisation more urgent than the default."""
LATE_EXCESS_PRIORITY = LATE_PRIORITY + 1
"""Priority of a prompt in excess that misses its latency target in any case; the last
level of engines."""


def choose_share_priority(
    priority: int, decision: ShareDecision | None, *, organisation_priority: int
) -> int:
    """Return the priority of a prompt at the engines.

    :param priority: its priority without shares.
    :param decision: whether it is within the share, None if it has no organisation.
    :param organisation_priority: priority of its organisation, 0 is the highest.
    """
    if decision is None or decision.within:
        return priority
    if priority >= LATE_PRIORITY:
        return LATE_EXCESS_PRIORITY
    if organisation_priority < DEFAULT_PRIORITY:
        return URGENT_EXCESS_PRIORITY
    return EXCESS_PRIORITY
