"""When an instance asks its peers for a newer configuration or leader."""

from collections.abc import Callable

from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_version_tracker import RouteVersionTracker
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.utils.sustained_condition import SustainedCondition

# An announced version is fetched or read from the store first; peers are asked after this time.
BEHIND_SECONDS = 0.3
# Fraction of the time in which a change must be in force. An own read begins before, and peers
# are asked while it has no answer.
QUERY_FRACTION = 0.7


class PeerQueryRule:
    """Decides from what this instance has heard last, and from whom."""

    def __init__(
        self,
        routes: CurrentRoutes,
        versions: RouteVersionTracker,
        reads: LinkState,
        told_by_instances: Callable[[], int],
        in_force_seconds: float,
    ) -> None:
        self._routes = routes
        self._versions = versions
        self._reads = reads
        # Returns the newest configuration that instances have told the leader here, 0 for none.
        self._told_by_instances = told_by_instances
        self._query_seconds = in_force_seconds * QUERY_FRACTION
        self._behind = SustainedCondition(BEHIND_SECONDS)

    def due(self) -> bool:
        """Return whether there may be a configuration or a leader unknown to this instance."""
        table = self._routes.get()
        version = table.version if table else 0
        if self._told_by_instances() > version:
            return True
        if self._versions.current:
            return self._behind.update(self._versions.version > version)
        return self._reads.lost or self._routes.age > self._query_seconds
