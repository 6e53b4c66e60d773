"""Windows of the usage report: equal parts of the time since the start of 1970."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Windows:
    """Numbers the windows.

    :param length_s: length of a window in seconds.
    """

    length_s: float

    def at(self, time_s: float) -> int:
        """Return the window that contains a time since the start of 1970."""
        return math.floor(time_s / self.length_s)

    def end_s(self, window: int) -> float:
        """Return the time at which a window ends."""
        return (window + 1) * self.length_s
