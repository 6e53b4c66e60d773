"""Time of day that the hosts agree on, although the clock of one of them may jump.

Each host adds an offset to its time since boot, which does not jump. The holder of the
duties takes the median of the hosts' clocks and tells the others.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

logger = logging.getLogger(__name__)

SAMPLE_TTL_S = 5.0
"""Age up to which the clock reading of a host counts, in seconds; hosts send one a
second."""
MIN_SAMPLES = 3
"""Minimum readings, the own one included, whose median excludes a single wrong one."""
JUMP_S = 0.5
"""Difference from the agreed time above which a clock counts as wrong, in seconds."""


@dataclass(kw_only=True)
class FleetClock:
    """Estimates the true time of day from the clocks of all hosts.

    :param wall_s: returns the time of day of this host, in seconds since 1970.
    :param boot_time_s: returns seconds since boot, including time while suspended.
    """

    wall_s: Callable[[], float]
    boot_time_s: Callable[[], float]
    _samples: dict[str, tuple[float, float]] = field(default_factory=dict)
    _offset_s: float = field(init=False)
    _is_wrong: bool = False

    def __post_init__(self) -> None:
        self._offset_s = self.wall_s() - self.boot_time_s()

    def time_s(self) -> float:
        """Return the agreed time of day."""
        return self.boot_time_s() + self._offset_s

    def record_sample(self, host: str, wall_s: float) -> None:
        """Record what the clock of another host shows now."""
        boot_s = self.boot_time_s()
        self._samples[host] = (wall_s - boot_s, boot_s)

    def adopt(self, time_s: float) -> None:
        """Adopt the agreed time of day that the holder of the duties announces."""
        self._offset_s = time_s - self.boot_time_s()

    def adopt_median(self) -> None:
        """Adopt the median of the known clocks, if there are enough of them."""
        boot_s = self.boot_time_s()
        self._samples = {
            host: sample
            for host, sample in self._samples.items()
            if boot_s - sample[1] <= SAMPLE_TTL_S
        }
        offsets = [offset_s for offset_s, _ in self._samples.values()]
        offsets.append(self.wall_s() - boot_s)
        if len(offsets) >= MIN_SAMPLES:
            self._offset_s = median(offsets)

    def own_error_s(self) -> float:
        """Return the time of day of this host minus the agreed one, in seconds."""
        error_s = self.wall_s() - self.time_s()
        is_wrong = abs(error_s) > JUMP_S
        if is_wrong != self._is_wrong:
            self._is_wrong = is_wrong
            text = "differs from" if is_wrong else "agrees again with"
            logger.warning(
                "clock of this host %s the other hosts",
                text,
                extra={"error_s": round(error_s, 3)},
            )
        return error_s
