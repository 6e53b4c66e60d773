"""Recognizes within a few requests that an engine is slower than usual for a while.

Only decode steps tell it. The time of a prefill holds queues that a host does not know
of yet: taken for slowness and told to all hosts, they drove these to the same few other
engines (see docs/design/stream-gaps.md).
"""

import math
from dataclasses import dataclass, field

from lacewinglug.host.speeds import EngineSlowdown

SLOW_RATIO = 1.6
"""Time of a sample relative to the engine's usual one from which on it counts as slow;
neighbours on the same machine slow an engine by about 2.5."""
NORMAL_RATIO = 1.25
"""Such a time up to which the sample shows that the engine is not slowed; a slowed one
is never that fast, while a stall of this host or the network delays a sample."""
CONFIRM_S = 1.5
"""Time within which a second slow sample, of this or another host, confirms the first
one, in s."""
PACE_DECAY_S = 4.0
"""Time constant with which a slowdown is forgotten without samples, in s; the engine
gets little work meanwhile, so that few samples would tell that it has recovered."""
MAX_PACE = 4.0
"""Upper bound of a temporary slowdown."""
NEWS_RATIO = 1.35
"""Difference between a sample and what a host expects from which on the other hosts are
told of it, as a factor."""
NEWS_INTERVAL_S = 0.25
"""Least time between two such messages of a host about one engine, in s."""
MIN_STEP_GAP_S = 0.015
"""Least expected gap between events, in s, that tells the pace of an engine; shorter
ones are as long as turns of the event loop and delays of the network."""


@dataclass(kw_only=True, slots=True)
class EnginePace:
    """Estimates a temporary slowdown of an engine, relative to its usual speed.

    The usual speed is learned from the same samples, more slowly, so that the slowdown
    is kept relative to the service.
    """

    _slowdown: float = 0.0
    _usual: EngineSlowdown = field(default_factory=EngineSlowdown)
    _known_at_s: float = -math.inf
    _suspected: float = 1.0
    _suspected_at_s: float = -math.inf
    _news_at_s: float = -math.inf

    def factor(self, now_s: float) -> float:
        """Return the estimated time relative to the usual one."""
        if self._slowdown <= self._usual.factor:
            return 1.0
        age_s = max(0.0, now_s - self._known_at_s)
        excess = min(self._slowdown / self._usual.factor, MAX_PACE) - 1.0
        return 1.0 + excess * math.exp(-age_s / PACE_DECAY_S)

    def add_sample(
        self, slowdown: float, *, usual: EngineSlowdown, now_s: float
    ) -> bool:
        """Add the time of a gap without prefill.

        :param slowdown: that time relative to the service.
        :param usual: the engine's usual slowdown.
        :returns: whether other hosts should be told of it.
        """
        ratio = slowdown / usual.factor
        known = self.factor(now_s)
        if ratio >= SLOW_RATIO:
            confirmed = now_s - self._suspected_at_s <= CONFIRM_S
            if confirmed:
                self._slowdown = min(ratio, self._suspected) * usual.factor
                self._usual = usual
                self._known_at_s = now_s
            self._suspected, self._suspected_at_s = ratio, now_s
            is_news = min(ratio, MAX_PACE) >= NEWS_RATIO * known
        elif ratio <= NORMAL_RATIO:
            self._slowdown, self._suspected_at_s = 0.0, -math.inf
            is_news = known >= NEWS_RATIO
        else:
            is_news = False
        if is_news and now_s - self._news_at_s >= NEWS_INTERVAL_S:
            self._news_at_s = now_s
            return True
        return False
