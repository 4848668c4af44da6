"""Which instance gives orders."""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import HistoryGone, PlatformError
from redwingscale_daemon._internal.leases.clock import Clock, lease_clock
from redwingscale_daemon._internal.store.rows import RowKey, RowStore, StoredRow

LEASE_ROW = RowKey("redwingscale", "", "order-giver")
ABSENT = 0
# The row as it is now, what comes of it, and a holder that has renewed it meanwhile.
MAX_CALLS_PER_WATCH = 3


class LeaderRecord(msgspec.Struct):
    """The row's value; ``start`` is an id of the holder's process, new at each start."""

    instance: str
    host: str
    news_port: int
    needs_port: int
    start: str
    released: bool = False
    # Where it answers questions, 0 where it does not.
    desk_port: int = 0
    # How many instances there are, for those that have just started.
    instances: int = 0


class LeaseTiming(NamedTuple):
    """``lease_seconds`` from the last renewal; ``handover_pause_seconds`` between two givers' orders.

    Orders are given only for ``order_seconds`` after a renewal, less than the
    lease: the next giver's quiet time counts from the end of these, and is
    partly over when it takes the lease.

    ``standby_seconds`` is what this instance leaves to others before it takes a lease
    that is free.
    """

    lease_seconds: float
    order_seconds: float
    handover_pause_seconds: float
    standby_seconds: float = 0.0


class LeaderLease:
    """One row that its holder rewrites; whoever sees it unchanged for too long takes it.

    No clock is shared: the holder counts from before it sent the renewal, a
    taker from when it saw the row's last change, so the holder's lease ends
    first. The clock also counts while the machine is suspended: a holder that
    wakes sees at once that its lease has ended. A new holder is silent for
    ``handover_pause_seconds``, so that orders of two givers never take turns.

    ``start`` is an id of this process; ``describe`` returns its record, whose
    ports are known once they are open.
    """

    def __init__(
        self,
        store: RowStore,
        start: str,
        describe: Callable[[], LeaderRecord],
        timing: LeaseTiming,
        clock: Clock = lease_clock,
    ) -> None:
        self._store = store
        self._start = start
        self._describe = describe
        self._timing = timing
        self._clock = clock
        self._row_version = ABSENT
        # The store's version as of which the row is known, None before the first read.
        self._store_version: int | None = None
        self._changed_at = clock()
        # The newest version that the holder's news have told, and when first.
        self._announced_renewal = (ABSENT, -math.inf)
        self._record: LeaderRecord | None = None
        self._valid_until = -math.inf
        self._pause_until = -math.inf
        self._released = False
        self._fence = 0

    @property
    def record(self) -> LeaderRecord | None:
        """The holder as last read, None while none is known."""
        return self._record

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the order giver now."""
        return self._clock() < self._valid_until

    @property
    def succeeds_another(self) -> bool:
        """Whether another process gave the orders before."""
        return self._pause_until > -math.inf

    def fence(self) -> int | None:
        """Return the fencing number if orders may be sent now, else None.

        To be asked right before each order: a frozen process wakes up anywhere.
        """
        now = self._clock()
        orders_until = self._valid_until - self._timing.lease_seconds + self._timing.order_seconds
        if now >= orders_until or now < self._pause_until:
            return None
        return self._fence

    @property
    def row_version(self) -> int:
        """The row's version as last read or written here."""
        return self._row_version

    def note_renewal(self, row_version: int) -> None:
        """Note the version of its newest renewal, as the holder's news tell it.

        While news come the row is not read. When they end, the lease counts from the
        moment at which its version was first told: counted from the first read after
        that, the orders of the next giver would begin two seconds later.
        """
        if row_version > self._announced_renewal[0]:
            self._announced_renewal = (row_version, self._clock())

    def adopt_record(self, row_version: int, record: LeaderRecord) -> None:
        """Take the row as a peer knows it, where that is newer.

        An instance that the store turns away finds the next order giver so.
        """
        if not self.is_leader and row_version > self._row_version:
            self._observe(row_version, record)

    def step(self) -> None:
        """Renew the lease, or read the row and take it when it is due; raise `PlatformError`."""
        if self.is_leader:
            self._renew()
        else:
            self._read()
        if self._may_take():
            self._take()

    def watch(self, max_seconds: float) -> None:
        """Wait at the store until the row changes, or until it may be taken; take it then.

        For an instance that hears no holder, in place of `step`: reads at a fixed rate by
        some hundred instances would be most of what a hand-over asks of the store, and
        find the next holder late. Raises `PlatformError`.
        """
        end = self._clock() + max_seconds
        for _ in range(MAX_CALLS_PER_WATCH):
            seconds_left = end - self._clock()
            if seconds_left <= 0:
                return
            if self._store_version is None:
                self._read()
            else:
                self._wait_for_change(
                    self._store_version, min(seconds_left, self._seconds_until_takeable())
                )
            # Right after the wait: a pause here would give the lease to whichever instance
            # wakes first, a small machine as well as a large one.
            if self._may_take():
                self._take()
                return

    def release(self) -> None:
        """Let another instance take over without waiting; take nothing any more."""
        self._released = True
        if not self.is_leader:
            return
        self._valid_until = -math.inf
        ended = msgspec.structs.replace(self._describe(), released=True)
        try:
            self._write(ended)
        except PlatformError as error:
            log_event("giver_release_failed", level="WARNING", error=error)
        else:
            log_event("giver_released", fence=self._fence)

    def _write(self, record: LeaderRecord) -> int | None:
        return self._store.write(LEASE_ROW, msgspec.json.encode(record), self._row_version)

    def _renew(self) -> None:
        started = self._clock()
        written = self._write(self._describe())
        if written is not None:
            self._row_version = written
            self._valid_until = started + self._timing.lease_seconds
            return
        # Either another instance took the row, or the answer to an own renewal was lost.
        self._read()
        if self._record is None or not self._is_own(self._record):
            self._valid_until = -math.inf
            log_event("giver_lost", level="WARNING", fence=self._fence, reason="row was taken")

    def _wait_for_change(self, since: int, seconds: float) -> None:
        try:
            changes = self._store.changes(LEASE_ROW.table, since, seconds)
        except HistoryGone:
            log_event("giver_row_history_gone", row_version=self._row_version)
            self._store_version = None
            return
        self._store_version = changes.version
        self._observe_newest(row for row in changes.rows if row.key == LEASE_ROW)

    def _read(self) -> None:
        snapshot = self._store.read(LEASE_ROW.table, LEASE_ROW.partition)
        self._store_version = snapshot.version
        if not self._observe_newest(row for row in snapshot.rows if row.key == LEASE_ROW):
            self._observe(ABSENT, None)

    def _observe_newest(self, rows: Iterable[StoredRow]) -> bool:
        """Take the row's newest state; return whether there is one."""
        row = max(rows, key=lambda row: row.version, default=None)
        if row is None:
            return False
        if row.value is None:
            self._observe(ABSENT, None)
        else:
            self._observe(row.version, _record(row))
        return True

    def _observe(self, version: int, record: LeaderRecord | None) -> None:
        if version != self._row_version:
            self._row_version = version
            announced_version, announced_at = self._announced_renewal
            self._changed_at = announced_at if version == announced_version else self._clock()
        if record != self._record:
            log_event("giver_seen", giver=record.instance if record else None, row_version=version)
        self._record = record

    def _may_take(self) -> bool:
        if self.is_leader or self._released:
            return False
        return self._seconds_until_takeable() <= 0

    def _seconds_until_takeable(self) -> float:
        """Return the seconds until the row may be taken if it does not change."""
        unchanged = self._clock() - self._changed_at
        standby = self._timing.standby_seconds
        if self._row_version == ABSENT or self._record is None or self._record.released:
            return max(0.0, standby - unchanged)
        if self._is_own(self._record):
            # The lease ended while the store could not be reached, and nobody took it.
            return 0.0
        lease = self._timing.lease_seconds
        return max(0.0, lease + lease / 4 + standby - unchanged)

    def _is_own(self, record: LeaderRecord) -> bool:
        return record.start == self._start

    def _take(self) -> None:
        # Before the write: when its answer is lost, the row is found to be the own one.
        self._pause_until = max(self._pause_until, self._handover_pause_end())
        started = self._clock()
        written = self._write(self._describe())
        if written is None:
            self._read()
            return
        self._row_version = written
        self._record = self._describe()
        self._fence = written
        self._valid_until = started + self._timing.lease_seconds
        orders_in = max(0.0, self._pause_until - self._clock())
        log_event("giver_taken", fence=written, orders_in=round(orders_in, 3))

    def _handover_pause_end(self) -> float:
        """Return when the former giver's last order will be old enough."""
        if self._row_version == ABSENT or self._record is None or self._is_own(self._record):
            return -math.inf
        # One that has released the lease had sent its last order before.
        after = 0.0 if self._record.released else self._timing.order_seconds
        last_order = self._changed_at + after
        return last_order + self._timing.handover_pause_seconds


def _record(row: StoredRow) -> LeaderRecord | None:
    try:
        return msgspec.json.decode(row.value or b"", type=LeaderRecord)
    except msgspec.DecodeError as error:
        log_event("giver_row_invalid", level="WARNING", error=error)
        return None
