"""Messages that instances send each other inside frames."""

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """The URL of the sender's listener, and whether the sender chose this link itself.

    The receiver links back to a sender that chose the link, so that every link
    is mutual and each end can acknowledge what it receives.
    """

    url: str
    chosen: bool


class Entries(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Entries that the receiver may not have."""

    entries: list[Entry]


class Root(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Hash over all entries that have been stored for ``settled_seconds``."""

    settled_seconds: float
    root: int


class Buckets(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Hash of each bucket of entries: the reply to a `Root` that differs."""

    settled_seconds: float
    hashes: list[int]


class Versions(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tags of the entries that the sender stores in the ``buckets`` that differ."""

    buckets: list[int]
    tags: list[int]


class Direct(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A message of ``topic`` for the receiver alone."""

    topic: str
    payload: bytes


Message = Hello | Entries | Root | Buckets | Versions | Direct
