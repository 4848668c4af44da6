"""Which peers an instance links to: neighbours on hashed rings.

A ring orders all instances by a hash that each of them computes alike. So the
choice is mutual (the next peer of an instance has it as its previous one), the
degree is fixed, and the links connect all instances by construction. Independent
choices guarantee none of this: with four random choices each, one instance in
fifty is chosen by no other and would receive nothing.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator, Sequence

from redwingscale_common.utils.digests import rendezvous_score

Skip = Callable[[str], bool]
DOMAIN_RING_COUNT = 2
CROSS_DOMAIN_RING = "across"


def make_ring(name: str, instances: Iterable[str]) -> list[str]:
    """Return ``instances`` in their order on the ring ``name``."""
    return sorted(instances, key=lambda i: (rendezvous_score(name, i), i))


def neighbours(order: Sequence[str], instance: str, skip: Skip) -> set[str]:
    """Return the next and the previous peer of ``instance`` that are not skipped."""
    at = order.index(instance)
    after = [*order[at + 1 :], *order[:at]]
    chosen = (next(_not_skipped(peers, skip), None) for peers in (after, reversed(after)))
    return {peer for peer in chosen if peer is not None}


def _not_skipped(peers: Iterable[str], skip: Skip) -> Iterator[str]:
    return itertools.filterfalse(skip, peers)
