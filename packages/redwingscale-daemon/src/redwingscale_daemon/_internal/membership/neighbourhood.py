"""The listed peers of an instance, and which of them it links to."""

from collections.abc import Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.membership.rings import (
    CROSS_DOMAIN_RING,
    DOMAIN_RING_COUNT,
    Skip,
    make_ring,
    neighbours,
)
from redwingscale_daemon._internal.models.member import InstanceMember


class Neighbourhood(NamedTuple):
    """The rings over one list of instances; built anew when the list changes."""

    instance: str
    domain_by_instance: dict[str, str]
    domain_rings: tuple[tuple[str, ...], ...]
    cross_domain_ring: tuple[str, ...]

    def choose(self, dead: Skip) -> set[str]:
        """Return the peers to link to.

        The neighbours among all listed instances stay linked while they are
        silent, so that the end of a network partition is noticed. The nearest
        live neighbours are linked as well and close the rings around the ``dead``.
        """
        return self._choose_neighbours(lambda peer: False) | self._choose_neighbours(dead)

    def is_same_domain(self, peer: str) -> bool:
        """Return whether ``peer`` is in the failure domain of this instance."""
        return self.domain_by_instance.get(peer) == self.domain_by_instance[self.instance]

    def _choose_neighbours(self, skip: Skip) -> set[str]:
        chosen = neighbours(
            self.cross_domain_ring,
            self.instance,
            lambda peer: self.is_same_domain(peer) or skip(peer),
        )
        for order in self.domain_rings:
            chosen |= neighbours(order, self.instance, skip)
        return chosen


def build_neighbourhood(
    instance: str, failure_domain: str, peers: Iterable[InstanceMember]
) -> Neighbourhood:
    """Return the rings over ``peers`` and the instance itself."""
    domains = {p.id: p.failure_domain for p in peers} | {instance: failure_domain}
    same_domain = [i for i, domain in domains.items() if domain == failure_domain]
    rings = tuple(tuple(make_ring(f"inside-{n}", same_domain)) for n in range(DOMAIN_RING_COUNT))
    return Neighbourhood(instance, domains, rings, tuple(make_ring(CROSS_DOMAIN_RING, domains)))
