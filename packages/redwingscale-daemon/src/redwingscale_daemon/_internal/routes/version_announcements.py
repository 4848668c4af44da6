"""What a new version of the configuration changes, sent along with its announcement."""

import zlib

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.table_difference import (
    apply_difference,
    encode_difference,
)

# An update may be lost; instances that received none of these fetch the version.
ANNOUNCED_UPDATES = 2
# A larger difference is fetched, within the bounds of what an instance sends at once.
MAX_DIFFERENCE_BYTES = 1024


class VersionAnnouncements:
    """Sends small differences with the leader's updates; used by the leader's thread.

    An instance whose threads wait for the processor needs seconds for a query of its own,
    but receives the leader's updates anyway.
    """

    def __init__(self, routes: CurrentRoutes) -> None:
        self._routes = routes
        self._table: RouteTable | None = None
        self._difference = b""
        self._updates_left = 0

    def next_difference(self) -> bytes:
        """Return the compressed difference for the update to send now, empty for none."""
        table = self._routes.get()
        if table is not self._table:
            self._table = table
            self._difference = self._encode()
            self._updates_left = ANNOUNCED_UPDATES
        if not self._difference or not self._updates_left:
            return b""
        self._updates_left -= 1
        return self._difference

    def _encode(self) -> bytes:
        table, former = self._routes.get(), self._routes.former()
        if table is None or not former:
            return b""
        difference = zlib.compress(encode_difference(former[0], table))
        if len(difference) > MAX_DIFFERENCE_BYTES:
            return b""
        log_event("configuration_announced", version=table.version, bytes=len(difference))
        return difference


def apply_announced(routes: CurrentRoutes, version: int, difference: bytes) -> None:
    """Put the announced ``version`` in force if ``difference`` leads to it from the table here."""
    base = routes.get()
    if not difference or base is None or base.version >= version:
        return
    try:
        table = apply_difference(base, zlib.decompress(difference))
    except (zlib.error, msgspec.DecodeError) as error:
        # An instance that lacks an earlier version fetches this one.
        log_event("configuration_difference_unused", version=version, error=repr(error))
        return
    log_event(
        "configuration_received",
        source="leader",
        version=table.version,
        whole=False,
        bytes=len(difference),
    )
    routes.offer(table)
