"""Which parts of prompts an engine probably keeps in its KV cache."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from lacewinglug.host.model import Prompt

CAPACITY_SHARE = 0.85
"""Part of an engine's memory that is believed to keep cached parts; running
requests take the rest."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChainedPart:
    """A part of a prompt together with all parts before it.

    :param key: hash of the ids up to this part.
    :param tokens: length of this part.
    """

    key: int
    tokens: int


def chain_parts(prompt: Prompt) -> tuple[ChainedPart, ...]:
    """Return the parts of a prompt, each under the hash of its chain."""
    chained = xxhash.xxh3_64_intdigest(prompt.model.encode())
    parts = []
    for part in prompt.parts:
        chained = xxhash.xxh3_64_intdigest(part.part_id.encode(), seed=chained)
        parts.append(ChainedPart(key=chained, tokens=part.tokens))
    return tuple(parts)


@dataclass(kw_only=True, slots=True)
class _Resident:
    tokens: int
    ready_s: float


@dataclass(kw_only=True, slots=True)
class Residency:
    """Owns the parts that one engine probably keeps, the oldest use first.

    :param capacity_tokens: tokens that the engine keeps.
    """

    capacity_tokens: int
    _parts: OrderedDict[int, _Resident] = field(default_factory=OrderedDict)
    _tokens: int = 0

    def add(self, parts: Sequence[ChainedPart], *, ready_s: float) -> None:
        """Note that the engine reads or fetches parts.

        :param ready_s: monotonic time at which it will have them.
        """
        for part in parts:
            if part.key in self._parts:
                self._parts.move_to_end(part.key)
            else:
                self._parts[part.key] = _Resident(tokens=part.tokens, ready_s=ready_s)
                self._tokens += part.tokens
        while self._tokens > self.capacity_tokens * CAPACITY_SHARE and self._parts:
            _, dropped = self._parts.popitem(last=False)
            self._tokens -= dropped.tokens

    def matched_tokens(
        self, parts: Sequence[ChainedPart], *, by_s: float = math.inf
    ) -> int:
        """Return the tokens of the leading parts that the engine keeps.

        :param by_s: time by which it must have them.
        """
        total = 0
        for part in parts:
            found = self._parts.get(part.key)
            if found is None or found.ready_s > by_s:
                break
            total += part.tokens
        return total
