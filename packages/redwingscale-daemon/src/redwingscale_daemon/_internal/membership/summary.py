"""Finds which entries two instances do not share, in a few small messages.

A full cycle costs one hash when both sides hold the same. Entries that have
just changed are left out of the hashes (they are on their way by themselves):
else a board that changes all the time would never compare equal.
"""

import functools
import operator
import time
from collections.abc import Iterable, Sequence

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.known import BUCKETS, Known
from redwingscale_daemon._internal.membership.message import Buckets, Root, Versions

SETTLED_SECONDS = 5.0


def root_of(known: Iterable[Known], settled: float) -> Root:
    """Return one hash over all entries that have settled."""
    hashes = _bucket_hashes(known, settled)
    return Root(settled, functools.reduce(operator.xor, hashes))


def buckets_of(known: Iterable[Known], settled: float) -> Buckets:
    """Return the hash of each bucket."""
    return Buckets(settled, _bucket_hashes(known, settled))


def versions_of(known: Sequence[Known], theirs: Buckets) -> Versions | None:
    """Return what is held here in the buckets that differ; None when none does."""
    ours = _bucket_hashes(known, theirs.settled)
    differing = {i for i, (a, b) in enumerate(zip(ours, theirs.hashes, strict=False)) if a != b}
    if not differing:
        return None
    return Versions(sorted(differing), [k.tag for k in known if k.bucket in differing])


def missing_from(known: Iterable[Known], theirs: Versions) -> list[Entry]:
    """Return the entries held here that the sender of ``theirs`` does not have."""
    buckets = set(theirs.buckets)
    tags = set(theirs.tags)
    return [k.entry for k in known if k.bucket in buckets and k.tag not in tags]


def _bucket_hashes(known: Iterable[Known], settled: float) -> list[int]:
    hashes = [0] * BUCKETS
    horizon = time.monotonic() - settled
    for item in known:
        if item.seen_at <= horizon:
            hashes[item.bucket] ^= item.tag
    return hashes
