"""Versioned entries that instances replicate to each other."""

from collections.abc import Sequence
from typing import NamedTuple


class EntryKey(NamedTuple):
    """Identity of an entry; a newer entry with the same key replaces it."""

    origin: str
    topic: str
    key: str


class Entry(NamedTuple):
    """A ``payload`` (MessagePack) published by the instance ``origin``.

    ``boot`` rises with each start of the origin and ``sequence`` with each of
    its entries, so a delayed or repeated copy never replaces a newer entry.
    """

    origin: str
    topic: str
    key: str
    boot: int
    sequence: int
    payload: bytes

    @property
    def entry_key(self) -> EntryKey:
        return EntryKey(self.origin, self.topic, self.key)

    def is_newer_than(self, other: "Entry | None") -> bool:
        """Return whether this entry replaces ``other``."""
        return other is None or (self.boot, self.sequence) > (other.boot, other.sequence)


class EntryPage(NamedTuple):
    """Some of an instance's entries, in order, and how many follow them."""

    entries: Sequence[Entry]
    left: int = 0
