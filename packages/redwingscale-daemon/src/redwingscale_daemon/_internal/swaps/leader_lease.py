"""The lease that makes one instance the leader."""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import HistoryGone, PlatformError
from redwingscale_daemon._internal.fleet.software_versions import SoftwareRecord
from redwingscale_daemon._internal.leases.clock import Clock, lease_clock
from redwingscale_daemon._internal.store.rows import RowKey, RowStore, StoredRow

LEASE_ROW = RowKey("redwingscale", "", "order-giver")
ABSENT = 0
# One call reads the row, one waits for a change, and one more waits if the lease holder
# has renewed the row meanwhile.
MAX_CALLS_PER_WATCH = 3


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
    # The number of instances, for those that have just started.
    instances: int = 0


class SoftwareRows(Protocol):
    """What instances that have just started need to know of software versions."""

    def record(self) -> SoftwareRecord:
        """Return what is known here."""

    def take_row(self, row: bytes | None) -> None:
        """Take over what the leader's row says, None if there has never been a leader."""


class LeaseTiming(NamedTuple):
    """The times of a lease.

    The lease ends ``lease_seconds`` after its last renewal. Between the last order of a
    leader and the first order of its successor is a pause of ``handover_pause_seconds``.

    Orders are sent only for ``order_seconds`` after a renewal, which is less than the
    lease: the handover pause counts from the end of that time, and part of it has passed
    when the successor takes the lease.

    This instance leaves a free lease to others for ``standby_seconds`` before it takes it.
    """

    lease_seconds: float
    order_seconds: float
    handover_pause_seconds: float
    standby_seconds: float = 0.0


class LeaderLease:
    """A lease on one row of the store: an instance that sees no renewal in time takes it.

    The instances share no clock. The lease holder counts from before it sends a renewal,
    a successor from when it observes the row's last change, so the lease ends first for
    its holder. The clock also counts while the machine is suspended: a lease holder that
    resumes detects at once that its lease has ended. A new leader sends no orders for
    ``handover_pause_seconds``, so that orders of two leaders never interleave.

    ``start`` is an id of this process. ``describe`` returns the record of this instance; it
    is called for each write, as the ports in it are known only once they are open.
    """

    def __init__(
        self,
        store: RowStore,
        start: str,
        describe: Callable[[], LeaderRecord],
        timing: LeaseTiming,
        clock: Clock = lease_clock,
        may_lead: Callable[[], bool] = lambda: True,
        software: SoftwareRows | None = None,
    ) -> None:
        # Writes what is known of software versions with the record, and takes it over from it.
        self._software = software
        self._store = store
        self._start = start
        self._describe = describe
        self._timing = timing
        self._clock = clock
        # Whether this instance may take the lease now.
        self._may_lead = may_lead
        self._row_version = ABSENT
        # The store's version as of the last read, None if the row must be read again.
        self._store_version: int | None = None
        self._changed_at = clock()
        # The newest row version announced by the lease holder, and when it was first received.
        self._announced_renewal = (ABSENT, -math.inf)
        self._record: LeaderRecord | None = None
        self._valid_until = -math.inf
        self._pause_until = -math.inf
        self._released = False
        self._fence = 0

    @property
    def record(self) -> LeaderRecord | None:
        """The record of the lease holder as last read, None if there is none."""
        return self._record

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader now."""
        return self._clock() < self._valid_until

    @property
    def succeeds_another(self) -> bool:
        """Whether another process was the leader before."""
        return self._pause_until > -math.inf

    def fence(self) -> int | None:
        """Return the fencing number if orders may be sent now, else None.

        Call it right before each order: a suspended process can resume at any point.
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
        """Note the row version of a renewal, as announced in an update of the lease holder.

        The row is not read while updates arrive. After the last one, the lease counts from
        the moment at which the row's version was first announced: if it counted from the
        first read after that, the orders of the successor would begin two seconds later.
        """
        if row_version > self._announced_renewal[0]:
            self._announced_renewal = (row_version, self._clock())

    def adopt_record(self, row_version: int, record: LeaderRecord) -> None:
        """Adopt the row as known to a peer, if it is newer.

        This is how an instance that the store rejects finds a new leader.
        """
        if not self.is_leader and row_version > self._row_version:
            self._observe(row_version, record)

    def step(self) -> None:
        """Renew the lease, or read the row and take it if the lease has ended.

        Raises `PlatformError` if the store fails.
        """
        if self.is_leader:
            self._renew()
        else:
            self._read()
        if self._may_take():
            self._take()

    def watch(self, max_seconds: float) -> None:
        """Wait at the store until the row changes or may be taken, and take it then.

        Replaces `step` in an instance that receives no updates of a leader. Reads at a fixed
        rate by some hundred instances would be most of the store's load during a handover,
        and would find the new leader late. Returns after at most ``max_seconds``.
        Raises `PlatformError` if the store fails.
        """
        end = self._clock() + max_seconds
        for _ in range(MAX_CALLS_PER_WATCH):
            seconds_left = end - self._clock()
            if seconds_left <= 0:
                return
            if self._store_version is None:
                self._read()
            else:
                takeable_in = self._seconds_until_takeable() if self._may_lead() else math.inf
                self._wait_for_change(self._store_version, min(seconds_left, takeable_in))
            # Take it right after the wait: with a pause here, the lease would go to whichever
            # instance resumes first, on a small machine as well as on a large one.
            if self._may_take():
                self._take()
                return

    def release(self) -> None:
        """End the lease so that another instance can take it at once; never take it again."""
        self._released = True
        self.hand_over()

    def hand_over(self) -> None:
        """End the lease so that another instance can take it at once."""
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
        fields = msgspec.structs.asdict(record)
        if self._software is not None:
            fields |= msgspec.structs.asdict(self._software.record())
        return self._store.write(LEASE_ROW, msgspec.json.encode(fields), self._row_version)

    def _renew(self) -> None:
        started = self._clock()
        written = self._write(self._describe())
        if written is not None:
            self._row_version = written
            self._valid_until = started + self._timing.lease_seconds
            return
        # Either another instance took the row, or the response to an earlier renewal of this
        # instance was lost.
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
            self._take_software(None)
            self._observe(ABSENT, None)

    def _take_software(self, row: bytes | None) -> None:
        if self._software is not None and self._record is None:
            self._software.take_row(row)

    def _observe_newest(self, rows: Iterable[StoredRow]) -> bool:
        """Note the newest of ``rows``; return whether there is one."""
        row = max(rows, key=lambda row: row.version, default=None)
        if row is None:
            return False
        self._take_software(row.value)
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
        if self.is_leader or self._released or not self._may_lead():
            return False
        return self._seconds_until_takeable() <= 0

    def _seconds_until_takeable(self) -> float:
        """Return the seconds until the row may be taken if it does not change."""
        unchanged = self._clock() - self._changed_at
        standby = self._timing.standby_seconds
        if self._row_version == ABSENT or self._record is None or self._record.released:
            return max(0.0, standby - unchanged)
        if self._is_own(self._record):
            # The lease ended while the store could not be reached, and no instance took it.
            return 0.0
        lease = self._timing.lease_seconds
        return max(0.0, lease + lease / 4 + standby - unchanged)

    def _is_own(self, record: LeaderRecord) -> bool:
        return record.start == self._start

    def _take(self) -> None:
        # Set before the write: if its response is lost, the row turns out to be this
        # instance's own, and the pause could no longer be derived from it.
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
        """Return when the pause after the former leader's last order ends."""
        if self._row_version == ABSENT or self._record is None or self._is_own(self._record):
            return -math.inf
        # A leader that releases the lease has sent its last order before.
        after = 0.0 if self._record.released else self._timing.order_seconds
        last_order = self._changed_at + after
        return last_order + self._timing.handover_pause_seconds


def _record(row: StoredRow) -> LeaderRecord | None:
    try:
        return msgspec.json.decode(row.value or b"", type=LeaderRecord)
    except msgspec.DecodeError as error:
        log_event("giver_row_invalid", level="WARNING", error=error)
        return None
