"""Wires the places of requests that compete for a holder."""

import random
from collections.abc import Callable, Mapping

from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.forwarding.fair_places import FairPlaces, PlaceQueues
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.urgency import LOWEST_PRIORITY
from redwingscale_daemon._internal.settings.scheduling import Mode, is_on
from redwingscale_daemon._internal.workspaces.place_uses import PlaceUses

_Targets = dict[str, dict[int, float]]


class PlaceTargets:
    """The latency targets of the configuration in force, by service and rank of the route."""

    def __init__(self, routes: CurrentRoutes, mode: Mode) -> None:
        self._routes = routes
        self._mode = mode
        self._latest: tuple[RouteTable | None, _Targets] = (None, {})

    def of(self, service: str) -> Mapping[int, float] | None:
        """Return the shortest target of the routes of each rank, None with the feature off."""
        table = self._routes.get()
        if table is None:
            return None
        known, targets = self._latest
        if known is not table:
            targets = _targets(table, self._mode)
            self._latest = (table, targets)
        return targets.get(service)


def build_fair_places(
    mode: Mode,
    routes: CurrentRoutes,
    fleet: Fleet,
    uses: PlaceUses,
    record: Callable[[int, str], None],
) -> FairPlaces:
    """Return the rule for the services where the feature is on by ``mode``."""
    # Not used for secrets, only to share free places among instances.
    queues = PlaceQueues(random.Random())  # noqa: S311
    return FairPlaces(
        PlaceTargets(routes, mode).of, queues, uses, fleet.load_tracker, fleet.changes, record
    )


def _targets(table: RouteTable, mode: Mode) -> _Targets:
    targets: _Targets = {}
    for name, service in table.services_by_name.items():
        if not is_on(mode, service.engine):
            continue
        of_service = targets.setdefault(name, {})
        for route in table.routes:
            if any(one.service == name for one in route.services):
                rank = min(route.priority, LOWEST_PRIORITY)
                target = route.latency_target_seconds
                of_service[rank] = min(target, of_service.get(rank, target))
    return targets
