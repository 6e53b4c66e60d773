"""Names of processes and records that are unique across the fleet."""

import itertools
import secrets
from dataclasses import dataclass, field
from typing import Self

_INCARNATION_BYTES = 6


def make_incarnation() -> str:
    """Return a name for this run of the process, unlike that of any other run."""
    return secrets.token_hex(_INCARNATION_BYTES)


@dataclass(kw_only=True, slots=True)
class IdFactory:
    """Makes ids that no other process makes.

    :param host: name of the host.
    :param incarnation: name of this run of the process.
    """

    host: str
    incarnation: str
    _counter: itertools.count = field(default_factory=lambda: itertools.count(1))

    def make(self) -> str:
        """Return the next id, ``host.incarnation.sequence``."""
        return f"{self.host}.{self.incarnation}.{next(self._counter)}"


@dataclass(frozen=True, kw_only=True, slots=True)
class MintedId:
    """The parts of an id made by :class:`IdFactory`.

    :param host: host of the process that made it.
    :param incarnation: run of the process that made it.
    :param sequence: position among the ids of that run.
    """

    host: str
    incarnation: str
    sequence: int

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Read an id, or return None when it was not made by a factory."""
        host, _, rest = text.partition(".")
        incarnation, _, sequence = rest.partition(".")
        if len(incarnation) != 2 * _INCARNATION_BYTES:
            return None
        if not host or not sequence.isascii() or not sequence.isdigit():
            return None
        return cls(host=host, incarnation=incarnation, sequence=int(sequence))
