"""Positions in the history of the platform's store."""

from typing import NamedTuple

# A fence holds an era and a number, and fits into the integers that JSON numbers hold.
FENCE_NUMBER_BITS = 40
NO_ROW_NUMBER = 0


class StoreVersion(NamedTuple):
    """The state of the store after transaction ``number`` of ``era``; also that of a row.

    A store that comes back from an older copy begins a new era, in which it gives the
    numbers since the copy out again. Numbers can therefore be compared within one era
    only, and versions are ordered by their eras first. An instance of the release before
    tells no era, which counts as the first one: once the store has begun another, what
    such an instance tells is older, and the store is read.
    """

    era: int
    number: int

    @property
    def fence(self) -> int:
        """One number with the same order, for orders to upstreams."""
        return self.era << FENCE_NUMBER_BITS | self.number


# Before the first read.
NOTHING_READ = StoreVersion(0, NO_ROW_NUMBER)
