"""Writes how claims ended, and retries until the platform accepts the writes."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.idempotency.claim import Claim, Released
from redwingscale_daemon._internal.idempotency.committer import Committer
from redwingscale_daemon._internal.idempotency.row_write import (
    RowWrite,
    WriteConflict,
    WriteResult,
    Written,
)
from redwingscale_daemon._internal.store.row import ABSENT
from redwingscale_daemon._internal.store.table import Table

MAX_QUEUED_JOBS = 4096
RETRY_PAUSE_SECONDS = 0.5
WRITE_TIMEOUT_SECONDS = 10.0


class Ending(NamedTuple):
    """The end of the claim in ``row``; ``claim`` makes the new value, may raise `PlatformError`."""

    row: str
    version: int
    claim: Callable[[], Claim]


class _Withdrawal(NamedTuple):
    """An open claim that must not remain, and the release that replaces it."""

    write: RowWrite
    claim: Released


class Settler:
    """Works off a bounded queue on one thread; claims that do not fit stay open and are logged."""

    def __init__(self, committer: Committer, table: Table) -> None:
        self._committer = committer
        self._table = table
        self._condition = threading.Condition()
        self._jobs: deque[Ending | _Withdrawal] = deque()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="settler", daemon=True)

    def start(self) -> None:
        """Start the thread that writes."""
        self._thread.start()

    def add(self, ending: Ending) -> None:
        """Queue ``ending``, to be written as soon as the platform accepts it."""
        self._add(ending)

    def withdraw(self, write: RowWrite, claim: Released) -> None:
        """Queue ``claim`` to replace the open claim of ``write``, which may still take effect."""
        self._add(_Withdrawal(write, claim))

    def stop(self, timeout_seconds: float) -> None:
        """Wait until the queue is empty, at most ``timeout_seconds``, then stop the thread."""
        with self._condition:
            self._condition.wait_for(lambda: not self._jobs, timeout_seconds)
            unfinished = len(self._jobs)
            self._stopped = True
            self._condition.notify_all()
        if unfinished:
            log_event("claims_left_unfinished", level="WARNING", count=unfinished)

    def _add(self, job: Ending | _Withdrawal) -> None:
        with self._condition:
            fits = len(self._jobs) < MAX_QUEUED_JOBS
            if fits:
                self._jobs.append(job)
                self._condition.notify_all()
        if not fits:
            log_event("claims_left_unfinished", level="WARNING", count=1)

    def _run(self) -> None:
        while (job := self._next_job()) is not None:
            if self._process(job):
                with self._condition:
                    self._jobs.popleft()
                    self._condition.notify_all()
            else:
                time.sleep(RETRY_PAUSE_SECONDS)

    def _next_job(self) -> Ending | _Withdrawal | None:
        with self._condition:
            self._condition.wait_for(lambda: self._jobs or self._stopped)
            return None if self._stopped else self._jobs[0]

    def _process(self, job: Ending | _Withdrawal) -> bool:
        try:
            match job:
                case Ending():
                    return self._write_ending(job)
                case _Withdrawal():
                    return self._write_withdrawal(job)
        except (PlatformError, msgspec.MsgspecError) as error:
            log_event("claim_not_ended", level="WARNING", error=error)
            return False

    def _write_withdrawal(self, job: _Withdrawal) -> bool:
        """Release the row if the write has taken effect or may still do so.

        While the row has the version that the write checks for (or is absent), the
        write may still take effect. The release raises the version, so a late claim
        that nobody holds fails its check.
        """
        write = job.write
        row = self._table.read([write.key])[write.key]
        version = row.version if row else ABSENT
        ours = row is not None and row.write_id in write.write_ids
        if not ours and version != write.version:
            return True
        result = self._commit(write.key, version, job.claim)
        # On a conflict the late write has just taken effect; the next try reads its row.
        return isinstance(result, Written)

    def _write_ending(self, ending: Ending) -> bool:
        result = self._commit(ending.row, ending.version, ending.claim())
        # On a conflict an earlier try of this ending has taken effect: no other instance
        # writes the row of an open claim.
        return isinstance(result, Written | WriteConflict)

    def _commit(self, row: str, version: int, claim: Claim) -> WriteResult | None:
        write = RowWrite(row, version, claim)
        self._committer.submit(write)
        return write.wait(WRITE_TIMEOUT_SECONDS)
