"""Admits a request by its API key and its workspace's limit."""

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route import Route
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.workspaces.use_limiter import Drawn, LimitReached, UseLimiter
from redwingscale_daemon._internal.workspaces.workspace import Workspace


def workspace_of(table: RouteTable, route: Route, digest: bytes | None) -> Workspace | None:
    """Return the workspace of the key with ``digest``; raise `Refusal` 401 without a valid key.

    Returns None where no key is required: the table has no keys, or the route is public and
    the request has no known key.
    """
    if table.keys is None:
        return None
    workspace = table.keys.find(digest) if digest is not None else None
    if workspace is not None or route.public:
        return workspace
    if digest is None:
        raise Refusal(401, "key_missing", "a key is needed")
    raise Refusal(401, "key_unknown", f"no key of version {table.version}")


class Permit:
    """A request's authorization, valid until its key is removed from the configuration.

    Units drawn from the workspace's limit are refunded if the request does not run.
    """

    def __init__(
        self,
        routes: CurrentRoutes,
        table: RouteTable,
        route: Route,
        digest: bytes | None,
        limiter: UseLimiter,
    ) -> None:
        self._routes = routes
        self._table = table
        self._route = route
        self._digest = digest
        self._limiter = limiter
        self._drawn = 0.0
        self.workspace = workspace_of(table, route, digest)

    def check(self) -> None:
        """Raise `Refusal` 401 if a newer configuration no longer has the key.

        The key may be removed while the request waits for a holder.
        """
        table = self._routes.get()
        if table is not None and table is not self._table:
            workspace_of(table, self._route, self._digest)
            self._table = table

    def draw(self, request: str, tokens: int | None) -> None:
        """Draw the cost of a request of ``tokens``; raise `Refusal` 429 beyond the limit."""
        if self.workspace is None:
            return
        match self._limiter.draw(self.workspace, tokens):
            case Drawn(units):
                self._drawn = units
            case LimitReached() as reached:
                raise _limit_reached(request, self.workspace, reached)

    def refund(self) -> None:
        """Refund the units drawn for a request that has not run and will not run."""
        if self.workspace is not None:
            self._limiter.refund(self.workspace, self._drawn)
            self._drawn = 0.0


def _limit_reached(request: str, workspace: Workspace, reached: LimitReached) -> Refusal:
    log_event(
        "limit_reached",
        request=request,
        workspace=workspace.name,
        units=round(reached.units),
        left=round(reached.left),
        per_second=round(reached.per_second),
        heard=round(reached.update_age_seconds, 3),
        come_back=round(reached.retry_after_seconds, 3),
    )
    return Refusal(
        429,
        "limit_reached",
        f"{workspace.name} has used its limit",
        retry_after_seconds=reached.retry_after_seconds,
    )
