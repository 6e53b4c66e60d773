"""A budget that keeps retries to a small share of the requests."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Owns the tokens that bound retries, hedges and moves.

    :param ratio: tokens earned by each first attempt.
    :param capacity: most tokens kept.
    :param tokens: tokens left.
    """

    ratio: float = 0.05
    capacity: float = 10.0
    tokens: float = 10.0

    def note_request(self) -> None:
        """Earn a share of a token for a first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Spend a token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
