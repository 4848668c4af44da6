"""Deletes expired claims, found by an index of their expiry times."""

import itertools
import threading
import time
from collections import defaultdict
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.idempotency.claim import Claimant
from redwingscale_daemon._internal.store.row import ABSENT, Check, Committed, Row, Transaction
from redwingscale_daemon._internal.store.table import Table, new_write_id

INDEX_PREFIX = "claim-expiry/"
PROGRESS_KEY = "claim-sweep"
LEASE_NAME = "claim-sweep"
BUCKET_SECONDS = 3600
MAX_INDEX_ROW_CLAIMS = 200
SWEEP_PAUSE_SECONDS = 1.0
# The current bucket, and one more for claims whose retention time started again when
# their requests ended.
GRACE_BUCKETS = 2


class Retention:
    """Indexes the claims of this instance; one lease holder sweeps those of all instances.

    A scan over all claims would read millions of rows. Instead, each instance writes
    from time to time which rows expire in which bucket of time, and the sweep reads
    only the buckets that have passed. Claims that an instance had not yet written to
    the index when it was killed stay in the table.
    """

    def __init__(
        self,
        table: Table,
        claimant: Claimant,
        may_sweep: Callable[[], bool],
        pause_seconds: float = SWEEP_PAUSE_SECONDS,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._claimant = claimant
        self._may_sweep = may_sweep
        self._pause_seconds = pause_seconds
        self._clock = clock
        self._lock = threading.Lock()
        self._index_numbers = itertools.count()
        self._rows_by_bucket: dict[int, list[str]] = defaultdict(list)

    def note(self, row: str, expires_at: int) -> None:
        """Note that the claim in ``row`` expires at ``expires_at``, in Unix seconds."""
        with self._lock:
            self._rows_by_bucket[expires_at // BUCKET_SECONDS].append(row)

    def flush(self) -> None:
        """Write the noted claims to the index; those that cannot be written stay noted."""
        with self._lock:
            noted, self._rows_by_bucket = self._rows_by_bucket, defaultdict(list)
        for bucket, rows in noted.items():
            for start in range(0, len(rows), MAX_INDEX_ROW_CLAIMS):
                self._write_index(bucket, rows[start : start + MAX_INDEX_ROW_CLAIMS])

    def sweep(self) -> None:
        """Delete the expired claims of the next bucket that is due, if the lease can be held."""
        if not self._may_sweep():
            return
        due = int(self._clock()) // BUCKET_SECONDS - GRACE_BUCKETS
        progress = self._table.read([PROGRESS_KEY])[PROGRESS_KEY]
        bucket = progress.value["bucket"] + 1 if progress else due
        if bucket > due:
            return
        deleted = sum(self._sweep_index(key) for key in self._index_keys(bucket))
        version = progress.version if progress else ABSENT
        self._table.put_if(PROGRESS_KEY, {"bucket": bucket}, version)
        log_event("claims_swept", bucket=bucket, deleted=deleted)

    def _write_index(self, bucket: int, rows: list[str]) -> None:
        name = f"{self._claimant.instance}-{self._claimant.boot}-{next(self._index_numbers)}"
        key = f"{INDEX_PREFIX}{bucket}/{name}"
        try:
            self._table.put_if(key, rows, ABSENT)
        except PlatformError as error:
            log_event("claim_index_not_written", level="WARNING", error=error)
            with self._lock:
                self._rows_by_bucket[bucket].extend(rows)

    def _index_keys(self, bucket: int) -> list[str]:
        return list(self._table.scan(f"{INDEX_PREFIX}{bucket}/"))

    def _sweep_index(self, key: str) -> int:
        index = self._table.read([key])[key]
        if index is None:
            return 0
        claims = self._table.read(index.value)
        now = self._clock()
        expired: dict[str, Row] = {}
        for name, row in claims.items():
            if row is None:
                continue
            if row.value["expires_at"] < now:
                expired[name] = row
            else:
                self.note(name, row.value["expires_at"])
        self._delete(key, expired)
        time.sleep(self._pause_seconds)
        return len(expired)

    def _delete(self, index: str, expired: dict[str, Row]) -> None:
        # The checks protect a claim that a repeat is opening at the same time. A lost
        # reply ends this sweep; the next sweep deletes what is left.
        while True:
            transaction = Transaction(
                new_write_id(),
                checks=[Check(name, row.version) for name, row in expired.items()],
                deletes=[index, *expired],
            )
            outcome = self._table.commit(transaction)
            if isinstance(outcome, Committed):
                return
            expired = {name: row for name, row in expired.items() if name not in outcome.rows}
