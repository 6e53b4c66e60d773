"""Keeps the mix of prefill lengths, to tell how much of it may run beside streams."""

import math
from dataclasses import dataclass, field

MIX_WINDOW_S = 8.0
"""Time constant of the exponential decay of recorded prefills, in s; the same as for
the demand from which stages are planned."""
MAX_LENGTH_CLASS = 40
"""Upper bound of the classes of length; each is twice as long as the one before."""
MIN_PROMPTS = 1e-6
"""Weight of the prompts of a class below which it is ignored; the weight of old ones
decays to values that cannot be divided by."""


@dataclass(kw_only=True, slots=True)
class PrefillMix:
    """Recent prefills by their length, in classes of powers of two."""

    _tokens: dict[int, float] = field(default_factory=dict)
    _prompts: dict[int, float] = field(default_factory=dict)
    _updated_at_s: float = -math.inf

    def record(self, tokens: float, *, now_s: float) -> None:
        """Record a prefill of a number of tokens."""
        if tokens <= 0.0:
            return
        self._decay(now_s)
        length_class = min(math.frexp(tokens)[1], MAX_LENGTH_CLASS)
        self._tokens[length_class] = self._tokens.get(length_class, 0.0) + tokens
        self._prompts[length_class] = self._prompts.get(length_class, 0.0) + 1.0

    def lengths(self) -> list[tuple[float, float]]:
        """Return the mean length of each class, and its share of all tokens."""
        known = [
            (tokens, self._prompts[length_class])
            for length_class, tokens in self._tokens.items()
            if self._prompts[length_class] > MIN_PROMPTS
        ]
        total = sum(tokens for tokens, _ in known)
        return [(tokens / prompts, tokens / total) for tokens, prompts in known]

    def _decay(self, now_s: float) -> None:
        age_s = max(0.0, now_s - self._updated_at_s)
        self._updated_at_s = max(now_s, self._updated_at_s)
        kept = math.exp(-age_s / MIX_WINDOW_S)
        for values in (self._tokens, self._prompts):
            for length_class in values:
                values[length_class] *= kept
