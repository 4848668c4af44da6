"""Which requests go first."""

from typing import NamedTuple

# Each rank doubles the weight, as it does for callers' shares of a full instance.
WEIGHT_STEP = 2.0
# Requests of this rank count once.
DEFAULT_PRIORITY = 1
LOWEST_PRIORITY = 3
# The least urgent route of a workspace counts more than the most urgent one of the next.
WORKSPACE_WEIGHT_STEP = WEIGHT_STEP ** (LOWEST_PRIORITY + 1)


class Urgency(NamedTuple):
    """Ranks, 0 the most urgent: a workspace's goes before its route's.

    ``workspace`` is one of ``workspaces`` different ranks.
    """

    route: int
    workspace: int = 0
    workspaces: int = 1

    @property
    def weight(self) -> float:
        """How much more a request counts than a less urgent one."""
        of_route = WEIGHT_STEP ** (DEFAULT_PRIORITY - min(self.route, LOWEST_PRIORITY))
        return float(of_route / WORKSPACE_WEIGHT_STEP**self.workspace)

    def level(self, levels: int, *, late: bool) -> int:
        """Return which of ``levels`` the request has, 0 the first.

        Each workspace's rank gets as many of them; within it, two for each rank of
        routes, the second one for requests whose latency target is ``late``.
        """
        each = max(1, levels // self.workspaces)
        within = min(each - 1, self.route * 2 + (1 if late else 0))
        return min(levels - 1, self.workspace * each + within)
