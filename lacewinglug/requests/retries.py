"""A budget that keeps retries to a small share of the requests."""

from dataclasses import dataclass

_RETRIES_PER_REQUEST = 0.1
_MAX_SAVED_RETRIES = 10.0


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Allows one retry for every ten requests, and a few at once.

    :param retries: retries that may be made now.
    """

    retries: float = _MAX_SAVED_RETRIES

    def note_request(self) -> None:
        """Add a request's share to the budget."""
        self.retries = min(_MAX_SAVED_RETRIES, self.retries + _RETRIES_PER_REQUEST)

    def take(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.retries < 1.0:
            return False
        self.retries -= 1.0
        return True
