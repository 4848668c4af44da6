"""The lease that makes one instance the leader."""

import math
from collections.abc import Callable, Iterable

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import (
    EraChanged,
    HistoryGone,
    PlatformError,
    WriteUnknown,
)
from redwingscale_daemon._internal.leases.clock import Clock, lease_clock
from redwingscale_daemon._internal.store.rows import RowStore, StoredRow
from redwingscale_daemon._internal.store.store_eras import UNTOLD_ERA, StoreEras
from redwingscale_daemon._internal.store.store_version import (
    NO_ROW_NUMBER,
    NOTHING_READ,
    StoreVersion,
)
from redwingscale_daemon._internal.swaps.lease_record import (
    LEASE_ROW,
    LeaderRecord,
    LeaseTiming,
    SoftwareRows,
    read_record,
)

# One call reads the row, one waits for a change, and one more waits if the lease holder
# has renewed the row meanwhile.
MAX_CALLS_PER_WATCH = 3
# After a longer pause the row itself is read: its changes hold each renewal in between.
MAX_PAUSE_SECONDS = 1.0


class LeaderLease:
    """A lease on one row of the store: an instance that sees no renewal in time takes it.

    The instances share no clock. The lease holder counts from before it sends a renewal,
    a successor from when it observes the row's last change, so the lease ends first for
    its holder. The clock also counts while the machine is suspended: a lease holder that
    resumes detects at once that its lease has ended. A new leader sends no orders for
    ``handover_pause_seconds``, so that orders of two leaders never interleave. The pause
    begins when the last order of the former leader can no longer arrive.

    In a new era of the store, the row says nothing of who led last, and no lease counts
    until it is written again. The former leader sends no orders once it knows of the era,
    and at the latest ``order_seconds`` after its last renewal: the pause for it counts
    from when those have arrived, reckoned from when this instance has learned of the era.
    The former leader itself, if its lease has not ended, needs no pause: no other instance
    can lead so early.

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
        eras: StoreEras | None = None,
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
        self._eras = eras or StoreEras()
        self._eras.on_rise(self._note_era)
        self._row_version = NOTHING_READ
        # The store's version as of the last read, None if the row must be read again.
        self._store_version: StoreVersion | None = None
        # When that answer came.
        self._read_at = -math.inf
        self._changed_at = clock()
        # The newest row version announced by the lease holder, and when it was first received.
        self._announced_renewal = (NOTHING_READ, -math.inf)
        self._record: LeaderRecord | None = None
        self._valid_until = -math.inf
        self._pause_until = -math.inf
        # The end of the pause for the leader of an earlier era.
        self._era_pause_until = -math.inf
        self._released = False
        # The row's version when this instance took the lease, and when it last wrote the row.
        self._taken = self._written = NOTHING_READ
        # The era of the last write of this instance whose response was lost.
        self._unanswered_era: int | None = None

    @property
    def record(self) -> LeaderRecord | None:
        """The record of the lease holder as last read, None if there is none."""
        return self._record

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader now."""
        return self._lasts and self._written.era >= self._eras.newest

    @property
    def unconfirmed(self) -> bool:
        """Whether this instance led in an earlier era of the store, and its lease has not ended."""
        return self._lasts and self._written.era < self._eras.newest

    @property
    def _lasts(self) -> bool:
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
        if not self.is_leader or now >= orders_until or now < self._pause_until:
            return None
        return self._taken.fence

    @property
    def row_version(self) -> StoreVersion:
        """The row's version as last read or written here."""
        return self._row_version

    def note_renewal(self, row_version: StoreVersion) -> None:
        """Note the row version of a renewal, as announced in an update of the lease holder.

        The row is not read while updates arrive. After the last one, the lease counts from
        the moment at which the row's version was first announced: if it counted from the
        first read after that, the orders of the successor would begin two seconds later.
        """
        if row_version > self._announced_renewal[0]:
            self._announced_renewal = (row_version, self._clock())

    def adopt_record(self, row_version: StoreVersion, record: LeaderRecord) -> None:
        """Adopt the row as known to a peer, if it is newer.

        This is how an instance that the store rejects finds a new leader.
        """
        newer = row_version > self._row_version and row_version.era >= self._eras.newest
        if newer and not self.is_leader:
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
            paused = self._clock() - self._read_at > MAX_PAUSE_SECONDS
            if paused or self._store_version is None:
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
            written = self._write(ended)
        except PlatformError as error:
            log_event("giver_release_failed", level="WARNING", error=error)
            return
        self._written = written or self._written
        log_event("giver_released", fence=self._taken.fence)

    def _note_era(self, before: int | None, era: int) -> None:
        if before is None and era == UNTOLD_ERA:
            return
        # An instance that starts does not know when the era began.
        timing = self._timing
        pause = timing.order_seconds + self._pause_after_last_order
        self._era_pause_until = self._clock() + pause
        log_event("giver_unconfirmed", era=era, led=self._lasts, pause=round(pause, 3))

    def _write(self, record: LeaderRecord) -> StoreVersion | None:
        """Write the row; return None if it has changed, or the store is in another era."""
        fields = msgspec.structs.asdict(record)
        if self._software is not None:
            fields |= msgspec.structs.asdict(self._software.record())
        expected = self._row_version
        try:
            return self._store.write(LEASE_ROW, msgspec.json.encode(fields), expected)
        except EraChanged as error:
            log_event("giver_row_of_another_era", error=error)
            return None
        except WriteUnknown:
            self._unanswered_era = expected.era
            raise

    def _renew(self) -> None:
        started = self._clock()
        written = self._write(self._describe())
        if written is not None:
            self._row_version = self._written = written
            self._valid_until = started + self._timing.lease_seconds
            return
        # Either another instance took the row, or the response to an earlier renewal of this
        # instance was lost.
        self._read()
        if self._record is None or not self._is_own(self._record):
            self._valid_until = -math.inf
            fence = self._taken.fence
            log_event("giver_lost", level="WARNING", fence=fence, reason="row was taken")

    def _wait_for_change(self, since: StoreVersion, seconds: float) -> None:
        try:
            changes = self._store.changes(LEASE_ROW.table, since, seconds)
        except HistoryGone:
            version = self._row_version
            log_event("giver_row_history_gone", era=version.era, row_version=version.number)
            self._store_version = None
            return
        self._store_version, self._read_at = changes.version, self._clock()
        self._observe_newest(row for row in changes.rows if row.key == LEASE_ROW)

    def _read(self) -> None:
        snapshot = self._store.read(LEASE_ROW.table, LEASE_ROW.partition)
        self._store_version, self._read_at = snapshot.version, self._clock()
        if not self._observe_newest(row for row in snapshot.rows if row.key == LEASE_ROW):
            self._take_software(None, snapshot.version.era)
            self._observe(StoreVersion(snapshot.version.era, NO_ROW_NUMBER), None)

    def _take_software(self, row: StoredRow | None, era: int) -> None:
        if self._software is not None and self._record is None:
            self._software.take_row(row, era)

    def _observe_newest(self, rows: Iterable[StoredRow]) -> bool:
        """Note the newest of ``rows``; return whether there is one."""
        row = max(rows, key=lambda row: row.version, default=None)
        if row is None:
            return False
        self._take_software(row, row.version.era)
        if row.value is None:
            self._observe(StoreVersion(row.version.era, NO_ROW_NUMBER), None)
        else:
            self._observe(row.version, read_record(row))
        return True

    def _observe(self, version: StoreVersion, record: LeaderRecord | None) -> None:
        if record is not None and not self._is_own(record):
            self._unanswered_era = None
        if version != self._row_version:
            self._row_version = version
            announced_version, announced_at = self._announced_renewal
            self._changed_at = announced_at if version == announced_version else self._clock()
        if record != self._record:
            log_event(
                "giver_seen",
                giver=record.instance if record else None,
                era=version.era,
                row_version=version.number,
            )
        self._record = record

    def _may_take(self) -> bool:
        if self.is_leader or self._released or not self._may_lead():
            return False
        return self._seconds_until_takeable() <= 0

    def _seconds_until_takeable(self) -> float:
        """Return the seconds until the row may be taken if it does not change."""
        now = self._clock()
        unchanged = now - self._changed_at
        standby = self._timing.standby_seconds
        if self._record is None or self._record.released:
            # The former leader of an earlier era goes first: it needs no pause.
            reserved_until = self._era_pause_until - self._pause_after_last_order
            return max(0.0, standby - unchanged, reserved_until - now)
        if self._led_last():
            # The lease ended while the store could not be reached, and no instance took it.
            return 0.0
        lease = self._timing.lease_seconds
        return max(0.0, lease + lease / 4 + standby - unchanged)

    def _led_last(self) -> bool:
        """Return whether no other process can have led since this one did.

        An own record does not show that: a copy of the store may bring it back, and so may
        a write that is done late, under a number that was given out again.
        """
        if self._record is None or not self._is_own(self._record):
            return False
        version = self._row_version
        known = version == self._written or version.era == self._unanswered_era
        return known or self.unconfirmed

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
        self._row_version = self._written = self._taken = written
        self._record = self._describe()
        self._valid_until = started + self._timing.lease_seconds
        orders_in = max(0.0, self._pause_until - self._clock())
        log_event(
            "giver_taken", fence=written.fence, era=written.era, orders_in=round(orders_in, 3)
        )

    def _handover_pause_end(self) -> float:
        """Return when the pause after the former leader's last order ends."""
        if self._led_last():
            return -math.inf
        if self._record is None:
            return self._era_pause_until
        # A leader that releases the lease has sent its last order before; it may not have arrived.
        after = 0.0 if self._record.released else self._timing.order_seconds
        last_sent = self._changed_at + after
        return max(self._era_pause_until, last_sent + self._pause_after_last_order)

    @property
    def _pause_after_last_order(self) -> float:
        """The seconds from the sending of a former leader's last order to the first one here."""
        return self._timing.order_call_seconds + self._timing.handover_pause_seconds
