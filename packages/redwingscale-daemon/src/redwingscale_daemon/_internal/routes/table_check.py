"""Whether the route table in force is current enough to judge requests."""

import time
from collections.abc import Callable
from http import HTTPStatus

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes

# Fraction of the time in which a change must be in force. The rest is for the way from the
# caller.
CURRENT_FRACTION = 0.85
MAX_WAIT_SECONDS = 1.0
# How long to wait for a newer table before looking again.
LOOK_SECONDS = 0.1
# The caller's next try may reach an instance that is up to date.
OUTDATED_RETRY_SECONDS = 0.5
# No such route, or no such key.
_JUDGED_BY_TABLE = frozenset({HTTPStatus.NOT_FOUND, HTTPStatus.UNAUTHORIZED})


class TableCheck:
    """Checked before each request is routed, however late reads and updates are.

    While the store does not answer, requests are routed by the last table. What that table
    does not allow may be allowed by now.
    """

    def __init__(
        self,
        routes: CurrentRoutes,
        in_force_seconds: float,
        store_failed_at: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self._routes = routes
        self._current_seconds = in_force_seconds * CURRENT_FRACTION
        # Returns the monotonic time of the last read without an answer.
        self._store_failed_at = store_failed_at

    @property
    def outdated(self) -> bool:
        """Whether a newer version may have to be in force."""
        return self._routes.age > self._current_seconds

    def wait_until_current(self, request_id: str) -> None:
        """Wait while the table is outdated and the store may soon give a newer one."""
        if not self._is_read_due():
            return
        log_event("waits_for_configuration", request=request_id, age=round(self._routes.age, 3))
        until = time.monotonic() + MAX_WAIT_SECONDS
        while self._is_read_due() and time.monotonic() < until:
            self._routes.wait_for_news(LOOK_SECONDS)

    def is_doubtful(self, refusal: Refusal) -> bool:
        """Return whether a newer table may allow what is refused."""
        return refusal.status in _JUDGED_BY_TABLE and self.outdated

    def final_refusal(self, request_id: str, refusal: Refusal) -> Refusal:
        """Return the refusal to send: one that allows a retry if ``refusal`` is doubtful."""
        table = self._routes.get()
        if refusal.status not in _JUDGED_BY_TABLE or table is None:
            return refusal
        log_event(
            "refused_by_configuration",
            request=request_id,
            version=table.version,
            newest=self._routes.newest,
            age=round(self._routes.age, 3),
            outcome=refusal.code,
        )
        if not self.is_doubtful(refusal):
            return refusal
        return Refusal(
            503,
            "configuration_outdated",
            refusal.detail,
            retry_after_seconds=OUTDATED_RETRY_SECONDS,
        )

    def _is_read_due(self) -> bool:
        confirmed_at = time.monotonic() - self._routes.age
        return self.outdated and self._store_failed_at() < confirmed_at
