"""What an instance sends to another one whose configuration is older."""

import zlib
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.table_difference import encode_difference
from redwingscale_daemon._internal.routes.table_record import encode_table


class TableReply(NamedTuple):
    """The whole table or the difference from the requester's, compressed; both empty for none."""

    table: bytes = b""
    difference: bytes = b""


class TableReplies:
    """Encodes each version once; used by one thread.

    Most versions change a few routes of thousands: the difference takes 200 bytes where the
    table takes 100 KB, which 69 instances would request from the leader at the same moment.
    """

    def __init__(self, routes: CurrentRoutes) -> None:
        self._routes = routes
        # The table that the encodings are of.
        self._table: RouteTable | None = None
        self._whole = b""
        self._difference_by_base: dict[bytes, bytes] = {}

    def reply_to(self, version: int, base: bytes) -> TableReply:
        """Return what a requester with ``version`` lacks; ``base`` is its table's digest.

        ``base`` is empty if the requester has no table, or does not know differences.
        """
        table = self._routes.get()
        if table is None or table.version <= version:
            return TableReply()
        if table is not self._table:
            self._table, self._whole, self._difference_by_base = table, b"", {}
        difference = self._difference(table, base) if base else b""
        if difference:
            reply = TableReply(difference=difference)
        else:
            self._whole = self._whole or zlib.compress(encode_table(table))
            reply = TableReply(table=self._whole)
        log_event(
            "configuration_sent",
            version=table.version,
            after=version,
            whole=not difference,
            bytes=len(difference or self._whole),
        )
        return reply

    def _difference(self, table: RouteTable, base: bytes) -> bytes:
        """Return the difference, empty if the requester's table is not known here."""
        known = self._difference_by_base.get(base)
        if known is not None:
            return known
        former = next((one for one in self._routes.former() if one.digest == base), None)
        if former is None:
            return b""
        difference = zlib.compress(encode_difference(former, table))
        self._difference_by_base[base] = difference
        return difference
