"""Which peers an instance links to: neighbours on hashed rings.

A ring orders all instances by a hash that all of them compute alike, so the
choice is mutual (my next peer has me as its previous one), the degree is fixed,
and the links connect everybody by construction. Independent choices of each
instance do none of this: with four random choices each, one instance in fifty
is chosen by nobody and would hear nothing.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator, Sequence

from redwingscale_common.utils.digests import rendezvous_score

Skip = Callable[[str], bool]
DOMAIN_RING_COUNT = 2
CROSS_DOMAIN_RING = "across"


def make_ring(name: str, instances: Iterable[str]) -> list[str]:
    """Return ``instances`` in the order of the ring ``name``."""
    return sorted(instances, key=lambda i: (rendezvous_score(name, i), i))


def neighbours(order: Sequence[str], instance: str, skip: Skip) -> set[str]:
    """Return the next and the previous peer of ``instance`` that is not skipped."""
    at = order.index(instance)
    after = [*order[at + 1 :], *order[:at]]
    chosen = (next(_not_skipped(peers, skip), None) for peers in (after, reversed(after)))
    return {peer for peer in chosen if peer is not None}


def _not_skipped(peers: Iterable[str], skip: Skip) -> Iterator[str]:
    return itertools.filterfalse(skip, peers)
