"""What this instance has found out about upstreams since it last told the leader."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.first_event_fit import FirstEvent
from redwingscale_daemon._internal.fleet.fleet import Fleet


class UpstreamCounts(NamedTuple):
    """The requests that an upstream answered and failed."""

    upstream: str
    answered: int
    failed: int


class Findings(NamedTuple):
    """``unreachable`` upstreams have accepted no connection of this instance lately.

    ``first_events`` come with the ms in which each was expected at slowness 1.
    """

    outcomes: list[UpstreamCounts]
    unreachable: list[str]
    first_events: list[tuple[FirstEvent, float]]


def drain_findings(fleet: Fleet) -> Findings:
    """Return what was found out since the last call.

    While the path of this instance is in doubt, its failures say nothing about upstreams.
    """
    outcomes = [UpstreamCounts(*counts) for counts in fleet.outcomes.drain()]
    first_events = fleet.first_events.drain()
    if fleet.path.doubtful:
        return Findings([one._replace(failed=0) for one in outcomes], [], [])
    return Findings(outcomes, fleet.health.all_unreachable(), first_events)
