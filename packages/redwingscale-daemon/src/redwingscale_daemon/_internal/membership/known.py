"""An entry as this instance keeps it."""

import hashlib
import time
from typing import NamedTuple

from redwingscale_daemon._internal.membership.entry import Entry

BUCKETS = 32
HASH_BYTES = 8


class Known(NamedTuple):
    """``tag`` hashes key and version; ``seen_at`` is on the monotonic clock."""

    entry: Entry
    tag: int
    bucket: int
    seen_at: float


def known_now(entry: Entry) -> Known:
    """Return ``entry`` as known from this moment on."""
    key = "\0".join(entry.entry_key)
    version = f"{key}\0{entry.boot}\0{entry.sequence}"
    return Known(entry, _hash(version), _hash(key) % BUCKETS, time.monotonic())


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
