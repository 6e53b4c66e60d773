"""Tracks which prompt prefixes are probably in the prefix caches of runners."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

BLOCK_TOKENS = 2000


def hash_prefix_blocks(
    tokens: Sequence[str], *, block_tokens: int = BLOCK_TOKENS, seed: int = 0
) -> tuple[int, ...]:
    """Return a chained hash for each full block of a prompt.

    Each hash covers the block and all blocks before it.

    :param tokens: tokens of the prompt.
    :param block_tokens: tokens per block.
    :param seed: initial hash, different for each model version.
    """
    hashes = []
    previous_hash = seed
    for start in range(0, len(tokens) - block_tokens + 1, block_tokens):
        block = " ".join(tokens[start : start + block_tokens])
        previous_hash = xxhash.xxh3_64_intdigest(block.encode(), seed=previous_hash)
        hashes.append(previous_hash)
    return tuple(hashes)


@dataclass(kw_only=True, slots=True)
class PrefixCacheIndex:
    """LRU index of the blocks that are probably in one runner's prefix cache.

    :param max_blocks: maximum number of blocks to keep.
    """

    max_blocks: int = 512
    _blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def add(self, hashes: Sequence[int]) -> None:
        """Add blocks that the runner computed or was sent."""
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.max_blocks:
            self._blocks.popitem(last=False)

    def discard(self, hashes: Sequence[int]) -> None:
        """Remove blocks that the runner evicted."""
        for block in hashes:
            self._blocks.pop(block, None)

    def clear(self) -> None:
        """Remove all blocks, for example after a change of role or version."""
        self._blocks.clear()

    def count_cached_blocks(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are probably cached."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        return count
