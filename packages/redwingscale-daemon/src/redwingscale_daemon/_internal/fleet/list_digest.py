"""Whether two copies of the list of upstreams are the same."""

import hashlib
from collections.abc import Iterable
from operator import attrgetter
from typing import NamedTuple

import msgspec

from redwingscale_daemon._internal.fleet.upstream import Upstream

# Two lists that differ have the same digest once in 2^64. The digest of 45 upstreams
# takes 0.04 to 0.06 ms of processor time, that of 910 takes 0.8 to 1.4 ms.
_DIGEST_BYTES = 8


class Listing(NamedTuple):
    """What the order giver tells changes of: who an upstream is, where, and whether it leaves.

    What upstreams hold changes often and is told elsewhere.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool


_fields_of = attrgetter(*Listing._fields)


def listing(upstream: Upstream) -> Listing:
    """Return the part of ``upstream`` that counts as the list."""
    return Listing._make(_fields_of(upstream))


def list_digest(upstreams: Iterable[Upstream]) -> int:
    """Return the same number for the same listings in any order, on every instance."""
    encoded = msgspec.msgpack.encode(sorted(map(listing, upstreams)))
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest())
