"""Forecasts the load of the engines of a service over the time that a runner boots."""

import math
from collections import deque
from dataclasses import dataclass, field

from lacewinglug.scaling.model import EngineDemand

HOLD_S = 25.0
"""Time for which a peak counts, in s. Demand waves have periods of about 11 s, so that
two crests are within it; booting for each crest would lose the caches each time."""
SLOPE_S = 2.0
"""Time over which the slope of the demand is measured, in s; shorter ones follow the
noise of single prompts."""
MAX_RISE = 1.3
"""Maximum forecast relative to the present demand. A wave rises by no more within the
time to boot, and a burst that is over by then must not be extrapolated."""
SETTLED_AFTER_S = 12.0
"""Time of observed demand after which fewer runners than the baseline may be ordered,
in s; a little more than one period of a wave."""
SAMPLE_INTERVAL_S = 0.25
"""Least time between two samples that are kept, in s; bounds their number."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Sample:
    at_s: float
    demand: EngineDemand


@dataclass(kw_only=True)
class DemandForecast:
    """Keeps the demand of the recent past and extrapolates it.

    :param started_at_s: monotonic time of the first demand, None before it.
    """

    started_at_s: float | None = None
    _samples: deque[_Sample] = field(default_factory=deque)

    def record(self, demand: EngineDemand, *, now_s: float) -> None:
        """Record the present demand."""
        if demand.prefill <= 0.0 and self.started_at_s is None:
            return
        if self.started_at_s is None:
            self.started_at_s = now_s
        samples = self._samples
        if not samples or now_s - samples[-1].at_s >= SAMPLE_INTERVAL_S:
            samples.append(_Sample(at_s=now_s, demand=demand))
        while samples and now_s - samples[0].at_s > HOLD_S:
            samples.popleft()

    def is_settled(self, *, now_s: float) -> bool:
        """Return whether the demand was observed over a whole wave."""
        started_at_s = self.started_at_s
        return started_at_s is not None and now_s - started_at_s >= SETTLED_AFTER_S

    def expected_peak(self, *, lead_s: float) -> EngineDemand | None:
        """Return the highest demand to expect, None if there was none recently.

        :param lead_s: time until a runner that is ordered now serves, in s.
        """
        if not self._samples:
            return None
        peak = EngineDemand(
            prefill=max(item.demand.prefill for item in self._samples),
            decode=max(item.demand.decode for item in self._samples),
        )
        latest = self._samples[-1]
        earlier = next(
            (item for item in self._samples if latest.at_s - item.at_s <= SLOPE_S),
            latest,
        )
        elapsed_s = latest.at_s - earlier.at_s
        if elapsed_s < SLOPE_S / 2:
            return peak
        slope = (latest.demand.prefill - earlier.demand.prefill) / elapsed_s
        rising = min(
            latest.demand.prefill + max(0.0, slope) * lead_s,
            latest.demand.prefill * MAX_RISE,
        )
        return EngineDemand(prefill=max(peak.prefill, rising), decode=peak.decode)

    def latest_age_s(self, *, now_s: float) -> float:
        """Return the age of the latest sample in s, infinite without any."""
        return now_s - self._samples[-1].at_s if self._samples else math.inf
