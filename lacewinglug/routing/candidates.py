"""Selects a few candidate runners for each decision in large services."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

# Services of up to this size are considered whole.
FULL_SET_MAX_RUNNERS = 12
SUBSET_SIZE = 48
AFFINITY_CANDIDATES = 3
ROTATING_CANDIDATES = 5


def rank_by_rendezvous_hash(key: str, names: Sequence[str]) -> list[str]:
    """Return names in order of their rendezvous hash for a key, highest first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()),
        reverse=True,
    )


@dataclass(kw_only=True)
class CandidateSelector:
    """Selects the candidate runners of a service for one entry.

    In a large service, each entry routes to a fixed subset of the runners, in
    rotation, and to the affinity runners of the request.

    :param entry: name of the entry, from which its subset is derived.
    :param runner_names: names of all runners, kept to detect changes.
    """

    entry: str
    runner_names: tuple[str, ...] = ()
    _subset: list[str] = field(default_factory=list)
    _affinity_cache: dict[str, list[str]] = field(default_factory=dict)
    _next_index: int = 0

    def update(self, names: tuple[str, ...]) -> None:
        """Set the runners of the service."""
        if names == self.runner_names:
            return
        self.runner_names = names
        self._affinity_cache.clear()
        if len(names) <= FULL_SET_MAX_RUNNERS:
            self._subset = list(names)
        else:
            self._subset = rank_by_rendezvous_hash(self.entry, names)[:SUBSET_SIZE]

    def select(self, affinity_key: str) -> Sequence[str]:
        """Return the candidates for one decision.

        :param affinity_key: requests with the same key share some candidates, on
            any entry.
        """
        if len(self.runner_names) <= FULL_SET_MAX_RUNNERS:
            return self._subset
        selected = list(self._affinity_runners(affinity_key))
        size = len(self._subset)
        for offset in range(ROTATING_CANDIDATES):
            name = self._subset[(self._next_index + offset) % size]
            if name not in selected:
                selected.append(name)
        self._next_index = (self._next_index + ROTATING_CANDIDATES) % size
        return selected

    def _affinity_runners(self, key: str) -> Sequence[str]:
        """Return the runners that requests of a key share for prefix caching."""
        ranked = self._affinity_cache.get(key)
        if ranked is None:
            ranked = rank_by_rendezvous_hash(key, self.runner_names)[
                :AFFINITY_CANDIDATES
            ]
            self._affinity_cache[key] = ranked
        return ranked
