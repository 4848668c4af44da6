"""An entry with the hashes by which instances compare what they store."""

import hashlib
import time
from typing import NamedTuple

from redwingscale_daemon._internal.membership.entry import Entry

BUCKETS = 32
HASH_BYTES = 8


class StoredEntry(NamedTuple):
    """An entry in the gossip state.

    ``tag`` hashes its key and version, ``bucket`` is the group of keys that it is
    compared in, and ``stored_at`` is on the monotonic clock.
    """

    entry: Entry
    tag: int
    bucket: int
    stored_at: float


def make_stored_entry(entry: Entry) -> StoredEntry:
    """Return ``entry`` as stored now."""
    key = "\0".join(entry.entry_key)
    version = f"{key}\0{entry.boot}\0{entry.sequence}"
    return StoredEntry(entry, _hash(version), _hash(key) % BUCKETS, time.monotonic())


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
