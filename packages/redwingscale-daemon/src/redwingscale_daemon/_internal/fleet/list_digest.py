"""Whether two copies of the list of upstreams are the same."""

import hashlib
from collections.abc import Iterable

import msgspec

from redwingscale_daemon._internal.fleet.upstream import Place, Upstream

# Two lists that differ have the same digest once in 2^64.
_DIGEST_BYTES = 8


def place_in_list(upstream: Upstream) -> Place:
    """Return what the order giver tells changes of.

    What upstreams hold changes often and is told elsewhere: only who they are, where,
    and whether they leave counts.
    """
    return Place(
        upstream.id,
        upstream.service,
        upstream.host,
        upstream.port,
        upstream.failure_domain,
        upstream.slots,
        upstream.leaving,
    )


def list_digest(upstreams: Iterable[Upstream]) -> int:
    """Return the same number for the same places in any order, on every instance."""
    places = sorted(map(place_in_list, upstreams))
    encoded = msgspec.msgpack.encode(places)
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest())
