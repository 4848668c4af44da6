"""What an instance sends to another one whose configuration is older."""

import time
import zlib
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.table_difference import encode_difference
from redwingscale_daemon._internal.routes.table_record import encode_table

# Events of running streams wait behind what this instance sends. Configurations take this
# fraction of its link, and wait there for at most this long unless a single one takes longer.
LINK_FRACTION = 0.5
LINK_SECONDS = 0.1
BITS_PER_MEGABIT = 1e6
# How many instances that have the version are named to a requester.
MAX_HOLDERS = 8


class TableReply(NamedTuple):
    """The whole table or the difference from the requester's, compressed; both empty for none.

    ``holders`` are the addresses of instances that have received it, in its place.
    """

    table: bytes = b""
    difference: bytes = b""
    holders: list[str] = []


class TableReplies:
    """Encodes each version once; used by one thread.

    Most versions change a few routes of thousands: the difference takes 200 bytes where the
    table takes 100 KB, which 69 instances would request from the leader at the same moment.
    """

    def __init__(self, routes: CurrentRoutes, link_mbps: float) -> None:
        self._routes = routes
        self._bytes_per_second = link_mbps * BITS_PER_MEGABIT / 8 * LINK_FRACTION
        # The table that the encodings are of.
        self._table: RouteTable | None = None
        self._whole = b""
        self._difference_by_base: dict[bytes, bytes] = {}
        # The requesters that were sent this version, the last ones first.
        self._holders: list[str] = []
        # When what was sent has left this instance.
        self._sent_until = float("-inf")

    def reply_to(self, version: int, base: bytes, address: str) -> TableReply:
        """Return what a requester with ``version`` lacks; ``base`` is its table's digest.

        ``base`` is empty if the requester has no table, or does not know differences.
        ``address`` is empty if the requester does not know holders.
        """
        table = self._routes.get()
        if table is None or table.version <= version:
            return TableReply()
        if table is not self._table:
            self._table, self._whole, self._difference_by_base = table, b"", {}
            self._holders = []
        difference = self._difference(table, base) if base else b""
        data = difference or self._whole_table(table)
        if address and not self._may_send(len(data)):
            reply = TableReply(holders=self._holders[:MAX_HOLDERS])
        else:
            self._note_sent(len(data), address)
            reply = TableReply(difference=data) if difference else TableReply(table=data)
        log_event(
            "configuration_sent",
            version=table.version,
            after=version,
            whole=bool(reply.table),
            bytes=len(reply.table or reply.difference),
            holders=len(reply.holders),
        )
        return reply

    def _may_send(self, size: int) -> bool:
        """Return whether the link is free, or takes another ``size`` bytes soon enough."""
        queued_seconds = self._sent_until - time.monotonic()
        size_seconds = size / self._bytes_per_second
        return queued_seconds <= 0 or queued_seconds + size_seconds <= LINK_SECONDS

    def _note_sent(self, size: int, address: str) -> None:
        begins_at = max(time.monotonic(), self._sent_until)
        self._sent_until = begins_at + size / self._bytes_per_second
        if address:
            self._holders.insert(0, address)

    def _whole_table(self, table: RouteTable) -> bytes:
        self._whole = self._whole or zlib.compress(encode_table(table))
        return self._whole

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
