"""Finds the entries that two instances do not share, in a few small messages.

A full cycle costs one hash if both sides store the same entries. Entries that
have just changed are left out of the hashes, since the links already send them:
otherwise a gossip state that changes all the time would never compare equal.
"""

import functools
import operator
import time
from collections.abc import Iterable, Sequence

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.message import Buckets, Root, Versions
from redwingscale_daemon._internal.membership.stored_entry import BUCKETS, StoredEntry

SETTLED_SECONDS = 5.0


def make_root(stored: Iterable[StoredEntry], settled_seconds: float) -> Root:
    """Return one hash over all entries stored for at least ``settled_seconds``."""
    hashes = _bucket_hashes(stored, settled_seconds)
    return Root(settled_seconds, functools.reduce(operator.xor, hashes))


def make_buckets(stored: Iterable[StoredEntry], settled_seconds: float) -> Buckets:
    """Return the hash of each bucket over its settled entries."""
    return Buckets(settled_seconds, _bucket_hashes(stored, settled_seconds))


def make_versions(stored: Sequence[StoredEntry], theirs: Buckets) -> Versions | None:
    """Return the tags of the entries in the buckets that differ; None if none does."""
    ours = _bucket_hashes(stored, theirs.settled_seconds)
    differing = {i for i, (a, b) in enumerate(zip(ours, theirs.hashes, strict=False)) if a != b}
    if not differing:
        return None
    return Versions(sorted(differing), [k.tag for k in stored if k.bucket in differing])


def find_missing(stored: Iterable[StoredEntry], theirs: Versions) -> list[Entry]:
    """Return the stored entries that the sender of ``theirs`` does not have."""
    buckets = set(theirs.buckets)
    tags = set(theirs.tags)
    return [k.entry for k in stored if k.bucket in buckets and k.tag not in tags]


def _bucket_hashes(stored: Iterable[StoredEntry], settled_seconds: float) -> list[int]:
    hashes = [0] * BUCKETS
    horizon = time.monotonic() - settled_seconds
    for item in stored:
        if item.stored_at <= horizon:
            hashes[item.bucket] ^= item.tag
    return hashes
