"""The routing policies: one data class each; the router matches on them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each engine in turn; a baseline."""


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Any engine; a baseline."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The engine with the least requests of this instance; a baseline."""


@dataclass(frozen=True, slots=True)
class PrefixAffinity:
    """The engine that has the prompt's prefix, unless it is busier than others.

    Loads are work per slot. An engine with the prefix may be ``affinity_slack``
    busier than the least busy one; without a prefix, two random ones of those
    within ``best_slack`` are compared. Other failure domains are considered when
    the own one's least busy engine is by ``near_slack`` busier than theirs.
    """

    affinity_slack: float = 0.5
    best_slack: float = 0.1
    near_slack: float = 0.25


RoutingPolicy = RoundRobin | RandomChoice | LeastInFlight | PrefixAffinity
