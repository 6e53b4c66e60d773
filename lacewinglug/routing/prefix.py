"""Identifies the pieces of a prompt that an engine may hold in its cache."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

PIECE_TOKENS = 2000


def hash_pieces(
    tokens: Sequence[str], *, piece_tokens: int = PIECE_TOKENS, seed: int = 0
) -> tuple[int, ...]:
    """Return a chained hash of each whole piece of a prompt.

    :param tokens: tokens of the prompt.
    :param piece_tokens: tokens of a piece.
    :param seed: start of the chain, different for each model version.
    """
    hashes = []
    chained = seed
    for start in range(0, len(tokens) - piece_tokens + 1, piece_tokens):
        piece = " ".join(tokens[start : start + piece_tokens])
        chained = xxhash.xxh3_64_intdigest(piece.encode(), seed=chained)
        hashes.append(chained)
    return tuple(hashes)


@dataclass(kw_only=True, slots=True)
class PrefixHints:
    """Owns the pieces that one runner probably caches, the oldest use first.

    :param capacity: most pieces kept.
    """

    capacity: int = 512
    _pieces: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def add(self, hashes: Sequence[int]) -> None:
        """Note pieces that the runner computed or was sent."""
        for piece in hashes:
            self._pieces[piece] = None
            self._pieces.move_to_end(piece)
        while len(self._pieces) > self.capacity:
            self._pieces.popitem(last=False)

    def discard(self, hashes: Sequence[int]) -> None:
        """Note pieces that the runner evicted."""
        for piece in hashes:
            self._pieces.pop(piece, None)

    def clear(self) -> None:
        """Forget all pieces, as after a change of role or version."""
        self._pieces.clear()

    def matched(self, hashes: Sequence[int]) -> int:
        """Return how many leading pieces the runner probably caches."""
        count = 0
        for piece in hashes:
            if piece not in self._pieces:
                break
            count += 1
        return count
