"""Which parts of prompts an engine probably keeps in its KV cache."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from lacewinglug.host.model import Prompt, PromptPart

CAPACITY_SHARE = 0.85
"""Part of an engine's memory that is believed to keep cached parts; running
requests take the rest."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedPart:
    """A part of a prompt, as hosts name it to one another.

    :param key: hash of its model and id.
    :param tokens: its length.
    """

    key: int
    tokens: int


def key_part(model: str, part: PromptPart) -> KeyedPart:
    """Return a part of a model's prompt under its key."""
    key = xxhash.xxh3_64_intdigest(f"{model}/{part.part_id}".encode())
    return KeyedPart(key=key, tokens=part.tokens)


def key_parts(prompt: Prompt) -> tuple[KeyedPart, ...]:
    """Return the parts of a prompt under their keys, in order."""
    return tuple(key_part(prompt.model, part) for part in prompt.parts)


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

    def add(self, parts: Sequence[KeyedPart], *, ready_s: float) -> None:
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
        self, parts: Sequence[KeyedPart], *, by_s: float = math.inf
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

    @property
    def parts(self) -> tuple[KeyedPart, ...]:
        """All parts, the oldest use first."""
        return tuple(
            KeyedPart(key=key, tokens=item.tokens) for key, item in self._parts.items()
        )
