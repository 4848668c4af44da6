"""The routing policies, as data classes that the router matches on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Chooses each engine in turn; a baseline."""


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Chooses a random engine; a baseline."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """Chooses the engine with the fewest requests of this instance; a baseline."""


@dataclass(frozen=True, slots=True)
class PrefixAffinity:
    """Chooses an engine that has the prompt's prefix cached, unless it is too busy.

    Loads are requests per slot. An engine with the prefix may exceed the least load by
    ``affinity_slack``. Without a prefix, the less busy of two random engines within
    ``best_slack`` is chosen. Other failure domains are considered if the least load in
    the own one exceeds theirs by more than ``near_slack``.
    """

    affinity_slack: float = 0.5
    best_slack: float = 0.1
    near_slack: float = 0.25


RoutingPolicy = RoundRobin | RandomChoice | LeastInFlight | PrefixAffinity
