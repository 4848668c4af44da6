"""What a new version of the configuration changes, sent along with its announcement."""

import zlib
from collections import deque

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
# Updates may skip versions, and instances may miss updates: a difference leads from so many
# earlier tables, or from the last one alone if it would be too large.
MAX_BASES = 4


class VersionAnnouncements:
    """Sends small differences with the leader's updates; used by the leader's thread.

    An instance whose threads wait for the processor needs seconds for a query of its own,
    but receives the leader's updates anyway.
    """

    def __init__(self, routes: CurrentRoutes) -> None:
        self._routes = routes
        self._table: RouteTable | None = None
        # The tables of earlier updates, the newest first.
        self._earlier: deque[RouteTable] = deque(maxlen=MAX_BASES)
        self._difference = b""
        self._updates_left = 0

    def next_difference(self) -> bytes:
        """Return the compressed difference for the update to send now, empty for none."""
        table = self._routes.get()
        if table is not self._table:
            if self._table is not None:
                self._earlier.appendleft(self._table)
            self._table = table
            self._difference = self._encode()
            self._updates_left = ANNOUNCED_UPDATES
        if not self._difference or not self._updates_left:
            return b""
        self._updates_left -= 1
        return self._difference

    def _encode(self) -> bytes:
        table, bases = self._table, self._bases()
        if table is None or not bases:
            return b""
        for others in (bases[1:], []):
            difference = zlib.compress(encode_difference(bases[0], table, others))
            if len(difference) <= MAX_DIFFERENCE_BYTES:
                log_event(
                    "configuration_announced",
                    version=table.version,
                    bytes=len(difference),
                    bases=len(others) + 1,
                )
                return difference
        return b""

    def _bases(self) -> list[RouteTable]:
        """Return the tables that other instances may have, the most likely one first."""
        former = self._routes.former()
        by_version = {one.version: one for one in (*self._earlier, *former)}
        return list(by_version.values())[:MAX_BASES]


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
