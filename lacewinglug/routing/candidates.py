"""Picks the few runners that a decision looks at when there are many."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

ALL_BELOW = 12
SUBSET_RUNNERS = 48
AFFINITY_RUNNERS = 3
SAMPLED_RUNNERS = 5


def rank_runners(key: str, names: Sequence[str]) -> list[str]:
    """Return names in the order of their rendezvous weight for a key."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()),
        reverse=True,
    )


@dataclass(kw_only=True)
class CandidateSet:
    """Owns an entry's subset of the runners of a service.

    :param entry: name of the entry, which sets its subset.
    :param names: names of all runners, kept to notice a change of the fleet.
    """

    entry: str
    names: tuple[str, ...] = ()
    _subset: list[str] = field(default_factory=list)
    _affinity: dict[str, list[str]] = field(default_factory=dict)
    _next: int = 0

    def update(self, names: tuple[str, ...]) -> None:
        """Take the runners of the service."""
        if names == self.names:
            return
        self.names = names
        self._affinity.clear()
        if len(names) <= ALL_BELOW:
            self._subset = list(names)
        else:
            self._subset = rank_runners(self.entry, names)[:SUBSET_RUNNERS]

    def pick(self, affinity_key: str) -> Sequence[str]:
        """Return the candidates of one decision.

        :param affinity_key: requests with the same key share some candidates.
        """
        if len(self.names) <= ALL_BELOW:
            return self._subset
        picked = list(self._affine(affinity_key))
        size = len(self._subset)
        for step in range(SAMPLED_RUNNERS):
            name = self._subset[(self._next + step) % size]
            if name not in picked:
                picked.append(name)
        self._next = (self._next + SAMPLED_RUNNERS) % size
        return picked

    def _affine(self, key: str) -> Sequence[str]:
        """Return the runners that keep the prefixes of a key."""
        found = self._affinity.get(key)
        if found is None:
            found = rank_runners(key, self.names)[:AFFINITY_RUNNERS]
            self._affinity[key] = found
        return found
