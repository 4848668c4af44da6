"""Messages that instances send each other inside frames."""

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Where the sender listens, and whether it ``chose`` this link by its own rule.

    A link that the sender chose is answered by a link back, so that every link
    is mutual and each end can acknowledge what it hears.
    """

    url: str
    chosen: bool


class Entries(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Entries that the receiver may lack."""

    entries: list[Entry]


class Root(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Hash over all entries that have been known for ``settled`` seconds."""

    settled_seconds: float
    root: int


class Buckets(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Hash of each bucket of entries: the answer to a `Root` that differs."""

    settled_seconds: float
    hashes: list[int]


class Versions(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tags of the entries that the sender has in the ``buckets`` that differ."""

    buckets: list[int]
    tags: list[int]


class Direct(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A message of ``topic`` for the receiver alone."""

    topic: str
    payload: bytes


Message = Hello | Entries | Root | Buckets | Versions | Direct
