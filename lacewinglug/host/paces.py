"""Learns how much slower than computed an engine reads, and its link moves."""

from dataclasses import dataclass

PRIOR_S = 0.5
"""Reading as computed with which the pace of an engine begins, in s; some ten
prompts."""
READING_SAMPLE_WEIGHT = 0.15
"""Share of what is known of an engine's reading that each new sample replaces."""
SLOWEST_READING = 4.0
"""Bound of the believed slowness of reading."""
FASTEST_READING = 0.8
"""Bound of the believed speed of reading."""
SHORT_MOVE_S = 0.03
"""Move that is too short to tell a slow link from a late step, in s."""
MOVE_SAMPLE_WEIGHT = 0.3
"""Weight of a new sample of a link; one that turns slow does so at once."""
SLOWEST_LINK = 16.0
"""Bound of the believed slowness of a link."""


@dataclass(kw_only=True, slots=True)
class ReadingPace:
    """Owns the pace at which one engine reads, as a ratio of sums.

    Long readings weigh more than short ones, whose time is mostly waiting.

    :param value: time that reading takes, 1.0 as computed.
    """

    value: float = 1.0
    _computed_s: float = PRIOR_S
    _actual_s: float = PRIOR_S

    def note(self, *, computed_s: float, actual_s: float) -> None:
        """Take a reading that did not wait.

        :param computed_s: time that it takes at pace 1.0.
        """
        kept = 1.0 - READING_SAMPLE_WEIGHT
        self._computed_s = kept * self._computed_s + computed_s
        self._actual_s = kept * self._actual_s + max(0.0, actual_s)
        pace = self._actual_s / self._computed_s
        self.value = min(max(pace, FASTEST_READING), SLOWEST_READING)


@dataclass(kw_only=True, slots=True)
class LinkPace:
    """Owns the pace at which KV cache moves over the link of one engine.

    :param value: time that a move takes, 1.0 as computed.
    """

    value: float = 1.0

    def note(self, *, computed_s: float, actual_s: float) -> None:
        """Take a move to or from the engine.

        :param computed_s: time that it takes at pace 1.0.
        """
        if computed_s < SHORT_MOVE_S:
            return
        sample = min(max(actual_s / computed_s, 1.0), SLOWEST_LINK)
        self.value += MOVE_SAMPLE_WEIGHT * (sample - self.value)
