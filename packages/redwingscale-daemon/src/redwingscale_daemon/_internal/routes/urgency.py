"""The urgency of requests: which ones are served first."""

from typing import NamedTuple

# Each rank doubles the weight, as for callers' shares of an instance at full load.
WEIGHT_STEP = 2.0
# Requests of this rank have weight 1.
DEFAULT_PRIORITY = 1
LOWEST_PRIORITY = 3
# The least urgent route of a workspace has more weight than the most urgent route of a
# workspace of the next rank.
WORKSPACE_WEIGHT_STEP = WEIGHT_STEP ** (LOWEST_PRIORITY + 1)


class Urgency(NamedTuple):
    """Ranks, 0 the most urgent; a workspace's rank takes precedence over its route's.

    ``workspace`` is one of ``workspaces`` different ranks.
    """

    route: int
    workspace: int = 0
    workspaces: int = 1

    @property
    def weight(self) -> float:
        """Weight of a request, higher for a more urgent one."""
        of_route = WEIGHT_STEP ** (DEFAULT_PRIORITY - min(self.route, LOWEST_PRIORITY))
        return float(of_route / WORKSPACE_WEIGHT_STEP**self.workspace)

    @property
    def rank(self) -> int:
        """Rank among all requests, 0 the most urgent; a workspace's takes precedence."""
        return self.workspace * (LOWEST_PRIORITY + 1) + min(self.route, LOWEST_PRIORITY)

    def level(self, levels: int, *, late: bool) -> int:
        """Return which of ``levels`` the request has; level 0 is served first.

        Each workspace rank gets the same number of levels. Within it, each route rank has
        two, the second one for requests with a long latency target (``late``).
        """
        each = max(1, levels // self.workspaces)
        within = min(each - 1, self.route * 2 + (1 if late else 0))
        return min(levels - 1, self.workspace * each + within)
