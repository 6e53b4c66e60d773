"""Estimates which prompt parts an engine has in its KV cache."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from lacewinglug.host.model import Prompt, PromptPart

USABLE_CAPACITY_FRACTION = 0.85
"""Fraction of an engine's KV cache that is assumed to hold cached parts; running
requests use the rest."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HashedPart:
    """A part of a prompt, identified by a hash in messages between hosts.

    :param key: hash of the model name and the part's id.
    :param tokens: length in tokens.
    """

    key: int
    tokens: int


def hash_part(model: str, part: PromptPart) -> HashedPart:
    """Return a part of a model's prompt with its hash."""
    key = xxhash.xxh3_64_intdigest(f"{model}/{part.part_id}".encode())
    return HashedPart(key=key, tokens=part.tokens)


def hash_parts(prompt: Prompt) -> tuple[HashedPart, ...]:
    """Return the parts of a prompt with their hashes, in order."""
    return tuple(hash_part(prompt.model, part) for part in prompt.parts)


def format_part(key: int) -> str:
    """Return the key of a part as it appears in logs."""
    return f"{key:016x}"


@dataclass(kw_only=True, slots=True)
class _CachedPart:
    tokens: int
    ready_s: float


@dataclass(kw_only=True, slots=True)
class PrefixCacheEstimate:
    """Estimated contents of one engine's prefix cache, evicted in LRU order.

    :param capacity_tokens: capacity of the engine's KV cache, in tokens.
    """

    capacity_tokens: int
    _parts: OrderedDict[int, _CachedPart] = field(default_factory=OrderedDict)
    _tokens: int = 0

    def add(self, parts: Sequence[HashedPart], *, ready_s: float) -> None:
        """Record that the engine prefills or fetches parts.

        :param ready_s: monotonic time at which they will be cached.
        """
        for part in parts:
            if part.key in self._parts:
                self._parts.move_to_end(part.key)
            else:
                self._parts[part.key] = _CachedPart(tokens=part.tokens, ready_s=ready_s)
                self._tokens += part.tokens
        while (
            self._tokens > self.capacity_tokens * USABLE_CAPACITY_FRACTION
            and self._parts
        ):
            _, evicted = self._parts.popitem(last=False)
            self._tokens -= evicted.tokens

    def matched_tokens(
        self, parts: Sequence[HashedPart], *, ready_by_s: float = math.inf
    ) -> int:
        """Return the tokens of the leading parts that are cached.

        :param ready_by_s: monotonic time by which they must be cached.
        """
        total = 0
        for part in parts:
            cached = self._parts.get(part.key)
            if cached is None or cached.ready_s > ready_by_s:
                break
            total += part.tokens
        return total

    @property
    def tokens(self) -> int:
        """Number of cached tokens."""
        return self._tokens

    @property
    def parts(self) -> tuple[HashedPart, ...]:
        """All cached parts, least recently used first."""
        return tuple(
            HashedPart(key=key, tokens=item.tokens) for key, item in self._parts.items()
        )
