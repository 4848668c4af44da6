"""The peers of an instance as it knows them, and which of them it links to."""

from collections.abc import Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.membership.rings import (
    RING_ACROSS,
    RINGS_INSIDE,
    Skip,
    neighbours,
    ring,
)
from redwingscale_daemon._internal.models.member import InstanceMember


class Neighbourhood(NamedTuple):
    """The rings over one list of instances; rebuilt when the list changes."""

    instance: str
    domains_by_instance: dict[str, str]
    rings_inside: tuple[tuple[str, ...], ...]
    ring_across: tuple[str, ...]

    def choose(self, dead: Skip) -> set[str]:
        """Return the peers to link to.

        The neighbours over all listed instances stay linked also while they
        are silent, so that a cut that ends is noticed; beside them the nearest
        living ones keep the ring closed around the ``dead``.
        """
        return self._around(lambda peer: False) | self._around(dead)

    def is_inside(self, peer: str) -> bool:
        """Return whether ``peer`` is of the own failure domain."""
        return self.domains_by_instance.get(peer) == self.domains_by_instance[self.instance]

    def _around(self, skip: Skip) -> set[str]:
        chosen = neighbours(
            self.ring_across, self.instance, lambda peer: self.is_inside(peer) or skip(peer)
        )
        for order in self.rings_inside:
            chosen |= neighbours(order, self.instance, skip)
        return chosen


def build_neighbourhood(
    instance: str, failure_domain: str, peers: Iterable[InstanceMember]
) -> Neighbourhood:
    """Return the rings over ``peers`` and the instance itself."""
    domains = {p.id: p.failure_domain for p in peers} | {instance: failure_domain}
    inside = [i for i, domain in domains.items() if domain == failure_domain]
    rings = tuple(tuple(ring(f"inside-{n}", inside)) for n in range(RINGS_INSIDE))
    return Neighbourhood(instance, domains, rings, tuple(ring(RING_ACROSS, domains)))
