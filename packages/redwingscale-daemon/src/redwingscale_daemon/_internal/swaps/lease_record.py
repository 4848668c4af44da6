"""The row of the leader lease, and the times of the lease."""

from typing import NamedTuple, Protocol

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.software_versions import SoftwareRecord
from redwingscale_daemon._internal.store.rows import RowKey, StoredRow
from redwingscale_daemon._internal.utils.documents import decode_json

LEASE_ROW = RowKey("redwingscale", "", "order-giver")


class LeaderRecord(msgspec.Struct):
    """The row's value; ``start`` is an id of the lease holder's process, new at each start."""

    instance: str
    host: str
    news_port: int
    needs_port: int
    start: str
    released: bool = False
    # The port of its peer server, 0 for none.
    desk_port: int = 0
    # The number of instances, and the peer servers of some, for those that have just started.
    instances: int = 0
    peers: list[str] = []


class SoftwareRows(Protocol):
    """What instances that have just started need to know of software versions."""

    def record(self) -> SoftwareRecord:
        """Return what is known here."""

    def take_row(self, row: StoredRow | None, era: int) -> None:
        """Take over what the leader's row says that was read in ``era``; None without a row."""


class LeaseTiming(NamedTuple):
    """The times of a lease.

    The lease ends ``lease_seconds`` after its last renewal. Between the arrival of the last
    order of a leader and the first order of its successor is a pause of
    ``handover_pause_seconds``.

    Orders are sent only for ``order_seconds`` after a renewal, which is less than the
    lease, and arrive within ``order_call_seconds`` or never: the handover pause counts from
    the end of both, and part of it has passed when the successor takes the lease.

    This instance leaves a free lease to others for ``standby_seconds`` before it takes it.
    """

    lease_seconds: float
    order_seconds: float
    order_call_seconds: float
    handover_pause_seconds: float
    standby_seconds: float = 0.0


def read_record(row: StoredRow) -> LeaderRecord | None:
    """Return the record in ``row``, None if it is invalid."""
    try:
        return decode_json(row.value or b"", LeaderRecord)
    except msgspec.DecodeError as error:
        log_event("giver_row_invalid", level="WARNING", error=error)
        return None
