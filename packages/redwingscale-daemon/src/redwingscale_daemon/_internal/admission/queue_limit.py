"""The longest queue of a holder that a request may join, by urgency and latency target."""

from collections.abc import Mapping
from typing import NamedTuple

# The most urgent requests may join a queue of this many latency targets.
MOST_URGENT_TARGETS = 2.0
# The least urgent requests may join a queue of this fraction of the shortest latency target
# of the more urgent ones, which then still begin well within it.
LEAST_FRACTION = 0.2
# A request whose latency target is this many times the shortest one of its service can wait
# for a quiet moment.
PATIENT_TARGETS = 3.0
# The same fraction for requests of a workspace beyond its share, at first and in the end.
BEYOND_SHARE_FRACTION = 0.15
BEYOND_SHARE_LAST_FRACTION = 0.3


class QueueLimit(NamedTuple):
    """Seconds of queue: ``at_first``, rising to ``at_last`` as the spare time runs out.

    ``patient`` requests can wait for a quiet moment.
    """

    at_first: float
    at_last: float
    patient: bool

    def after(self, used_fraction: float) -> float:
        """Return the limit once this fraction of the spare time is used up."""
        used = min(1.0, max(0.0, used_fraction))
        return self.at_first + (self.at_last - self.at_first) * used


class Standing(NamedTuple):
    """The place of a request among the urgencies of its service.

    The lower the ranks of its ``workspace``, of which there are ``workspaces``, and of its
    ``route``, the more urgent it is; the former takes precedence.
    """

    route: int
    workspace: int
    workspaces: int


def queue_limit(
    standing: Standing,
    target_seconds: float,
    targets_by_route_rank: Mapping[int, float],
    *,
    beyond_share: bool,
) -> QueueLimit:
    """Return the longest queue for a request with a latency target of ``target_seconds``.

    ``targets_by_route_rank`` has the shortest latency target of the routes of each rank.
    Answers routes of three ranks that compete for too few holders: bulk work in bursts of
    four times its rate, beside requests that must begin within a second.
    """
    targets = {standing.route: target_seconds} | dict(targets_by_route_rank)
    shortest = min(targets.values())
    patient = target_seconds >= PATIENT_TARGETS * shortest
    if beyond_share:
        at_first, at_last = BEYOND_SHARE_FRACTION, BEYOND_SHARE_LAST_FRACTION
        return QueueLimit(at_first * shortest, at_last * shortest, patient)
    present = MOST_URGENT_TARGETS * target_seconds
    ranks = sorted(targets)
    step = standing.workspace * len(ranks) + ranks.index(standing.route)
    steps = standing.workspaces * len(ranks)
    more_urgent = [
        target for rank, target in targets.items() if standing.workspace or rank < standing.route
    ]
    if not more_urgent:
        at_first = LEAST_FRACTION * shortest if patient else present
        return QueueLimit(at_first, present, patient)
    bearable = min(more_urgent)
    at_first = min(present, _fraction(step, steps) * bearable)
    if patient:
        at_first = min(at_first, LEAST_FRACTION * shortest)
    at_last = min(present, _fraction(step - 1, steps) * bearable)
    return QueueLimit(at_first, max(at_first, at_last), patient)


def _fraction(step: int, steps: int) -> float:
    """Return 1 for the most urgent of ``steps``, and `LEAST_FRACTION` for the least urgent."""
    return 1.0 - (1.0 - LEAST_FRACTION) * step / max(1, steps - 1)
