"""Reads from the configuration where pauses of streams are limited."""

from redwingscale_daemon._internal.fleet.pause_cost import PauseRule
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.settings.scheduling import Mode, is_on

MILLISECONDS_PER_SECOND = 1000.0


class PauseRules:
    """The rules of the configuration in force, by service."""

    def __init__(self, routes: CurrentRoutes, mode: Mode) -> None:
        self._routes = routes
        self._mode = mode
        self._latest: tuple[RouteTable | None, dict[str, PauseRule]] = (None, {})

    def rule_of(self, service: str) -> PauseRule | None:
        """Return the rule of a service, None where no pause is limited or the feature is off."""
        table = self._routes.get()
        if table is None:
            return None
        known, rules = self._latest
        if known is not table:
            rules = _rules(table, self._mode)
            self._latest = (table, rules)
        return rules.get(service)


def _rules(table: RouteTable, mode: Mode) -> dict[str, PauseRule]:
    rules = {}
    for name, service in table.services_by_name.items():
        routes = [
            route
            for route in table.routes
            if route.longest_gap_seconds and any(one.service == name for one in route.services)
        ]
        if service.engine is None or not routes or not is_on(mode, service.engine):
            continue
        rules[name] = PauseRule(
            min(route.longest_gap_seconds for route in routes) * MILLISECONDS_PER_SECOND,
            min(route.latency_target_seconds for route in routes) * MILLISECONDS_PER_SECOND,
            service.engine.tokens_per_event,
        )
    return rules
