"""Counts the requests that were served while their service had a worker."""

from redwingscale_standins.soak.ledger import RequestResult
from redwingscale_standins.soak.world import MODEL_SERVICE, PLAIN_SERVICE, World

# Instances know a worker so long after the list names it, or after they reach the store again.
LISTED_SECONDS = 1.0
# Requests of these kinds are to be refused, all or some of them.
REFUSED_KINDS = frozenset({"withdrawn", "limited"})


def is_answered(result: RequestResult) -> bool:
    """Return whether the caller got an answer of a worker."""
    return result.status is not None and result.status < 300


def count_served(world: World) -> tuple[int, int]:
    """Return how many requests could be served, and how many of them were.

    Those that an instance without the store, or one that has just started, received do not count.
    """
    servable = [
        one
        for one in world.ledger.results
        if one.kind not in REFUSED_KINDS
        and one.undisturbed_since + LISTED_SECONDS < one.sent_at
        and _had_worker(world, one)
    ]
    return len(servable), sum(map(is_answered, servable))


def _had_worker(world: World, result: RequestResult) -> bool:
    """Return whether one worker of the service was listed and lived throughout the request."""
    service = MODEL_SERVICE if result.kind == "stream" else PLAIN_SERVICE
    return any(
        host.service == service
        and host.known_at + LISTED_SECONDS < result.sent_at
        and min(host.left_at, host.ended_at) > result.ended_at
        for host in world.all_hosts
    )
