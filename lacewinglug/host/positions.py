"""Positions in the topics of the store, which may be restored from a copy."""

from dataclasses import dataclass, replace

FIRST_ERA = 1
"""Era of a store that was never restored; also assumed of one that states none."""
_OFFSET_BITS = 32


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StorePosition:
    """Position in a topic of the store; later positions compare as greater.

    A store that was restored gives out offsets again, so the era decides first: a later
    one is later whatever the offsets.

    :param era: era of the store in which the offset was given out.
    :param offset: number of the records before it in that era.
    """

    era: int
    offset: int

    @property
    def next(self) -> "StorePosition":
        """The position after the record at this one."""
        return replace(self, offset=self.offset + 1)

    @property
    def rank(self) -> int:
        """A number that increases with the position, also from era to era."""
        return ((self.era - FIRST_ERA) << _OFFSET_BITS) + self.offset
