"""Which instance gives orders."""

import math
import threading
from typing import NamedTuple

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.leases.clock import Clock, lease_clock
from redwingscale_daemon._internal.store.rows import RowKey, RowStore, StoredRow

LEASE_ROW = RowKey("redwingscale", "", "order-giver")
ABSENT = 0


class GiverRecord(msgspec.Struct):
    """The row's value; ``start`` is an id of the holder's process, new at each start."""

    instance: str
    host: str
    news_port: int
    needs_port: int
    start: str
    released: bool = False


class LeaseTiming(NamedTuple):
    """``lease_seconds`` from the last renewal; ``quiet_seconds`` between two givers' orders.

    Orders are given only for ``order_seconds`` after a renewal, less than the
    lease: the next giver's quiet time counts from the end of these, and is
    partly over when it takes the lease.
    """

    lease_seconds: float
    order_seconds: float
    quiet_seconds: float


class GiverLease:
    """One row that its holder rewrites; whoever sees it unchanged for too long takes it.

    No clock is shared: the holder counts from before it sent the renewal, a
    taker from when it saw the row's last change, so the holder's lease ends
    first. The clock also counts while the machine is suspended: a holder that
    wakes sees at once that its lease has ended. A new holder is silent for
    ``quiet_seconds``, so that orders of two givers never take turns.
    """

    def __init__(
        self,
        store: RowStore,
        me: GiverRecord,
        timing: LeaseTiming,
        clock: Clock = lease_clock,
    ) -> None:
        self._store = store
        self._me = me
        self._timing = timing
        self._clock = clock
        self._lock = threading.Lock()
        self._row_version = ABSENT
        self._seen_at = clock()
        self._record: GiverRecord | None = None
        self._valid_until = -math.inf
        self._orders_from = math.inf
        self._fence = 0

    @property
    def record(self) -> GiverRecord | None:
        """The holder as last read, None while none is known."""
        return self._record

    @property
    def holds(self) -> bool:
        """Whether this instance is the order giver now."""
        return self._clock() < self._valid_until

    def fence(self) -> int | None:
        """Return the fencing number if orders may be sent now, else None.

        To be asked right before each order: a frozen process wakes up anywhere.
        """
        now = self._clock()
        orders_until = self._valid_until - self._timing.lease_seconds + self._timing.order_seconds
        if now >= orders_until or now < self._orders_from:
            return None
        return self._fence

    def step(self) -> None:
        """Renew the lease, or read the row and take it when it is due; raise `PlatformError`."""
        if self.holds:
            self._renew()
        else:
            self._read()
        if self._may_take():
            self._take()

    def release(self) -> None:
        """Let another instance take over without waiting for the lease to end."""
        if not self.holds:
            return
        self._valid_until = -math.inf
        ended = msgspec.structs.replace(self._me, released=True)
        try:
            self._store.write(LEASE_ROW, msgspec.json.encode(ended), self._row_version)
        except PlatformError as error:
            log_event("giver_release_failed", level="WARNING", error=error)
        else:
            log_event("giver_released", fence=self._fence)

    def _renew(self) -> None:
        started = self._clock()
        written = self._store.write(LEASE_ROW, msgspec.json.encode(self._me), self._row_version)
        if written is not None:
            self._row_version = written
            self._valid_until = started + self._timing.lease_seconds
            return
        # Either another instance took the row, or the answer to an own renewal was lost.
        self._read()
        if self._record is None or not self._mine(self._record):
            self._valid_until = -math.inf
            log_event("giver_lost", level="WARNING", fence=self._fence, reason="row was taken")

    def _read(self) -> None:
        rows = self._store.read(LEASE_ROW.table, LEASE_ROW.partition).rows
        row = next((row for row in rows if row.key == LEASE_ROW), None)
        if row is None or row.value is None:
            self._see(ABSENT, None)
            return
        self._see(row.version, _record(row))

    def _see(self, version: int, record: GiverRecord | None) -> None:
        if version != self._row_version:
            self._row_version = version
            self._seen_at = self._clock()
        if record != self._record:
            log_event("giver_seen", giver=record.instance if record else None, row_version=version)
        self._record = record

    def _may_take(self) -> bool:
        if self.holds:
            return False
        if self._row_version == ABSENT or self._record is None or self._record.released:
            return True
        if self._mine(self._record):
            # The lease ended while the store could not be reached, and nobody took it.
            return True
        unchanged = self._clock() - self._seen_at
        return unchanged > self._timing.lease_seconds + self._timing.lease_seconds / 4

    def _mine(self, record: GiverRecord) -> bool:
        return record.start == self._me.start

    def _take(self) -> None:
        alone = self._row_version == ABSENT or (
            self._record is not None and self._mine(self._record)
        )
        started = self._clock()
        written = self._store.write(LEASE_ROW, msgspec.json.encode(self._me), self._row_version)
        if written is None:
            self._read()
            return
        # The former giver's last order can have gone out this long after its renewal.
        last_order = self._seen_at + self._timing.order_seconds
        orders_from = self._clock() if alone else last_order + self._timing.quiet_seconds
        self._row_version = written
        self._record = self._me
        self._fence = written
        self._orders_from = orders_from
        self._valid_until = started + self._timing.lease_seconds
        log_event("giver_taken", fence=written, orders_in=round(orders_from - self._clock(), 3))


def _record(row: StoredRow) -> GiverRecord | None:
    try:
        return msgspec.json.decode(row.value or b"", type=GiverRecord)
    except msgspec.DecodeError as error:
        log_event("giver_row_invalid", level="WARNING", error=error)
        return None
