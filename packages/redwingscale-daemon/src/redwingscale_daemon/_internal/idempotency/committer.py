"""Commits the row writes of this instance in batches, one transaction at a time."""

import threading
import time
from collections import deque
from collections.abc import Callable

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformUnavailable, WriteUnknown
from redwingscale_daemon._internal.idempotency.row_write import (
    Failed,
    RowWrite,
    WriteConflict,
    WriteResult,
    Written,
)
from redwingscale_daemon._internal.store.row import (
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
)
from redwingscale_daemon._internal.store.table import Table, new_write_id

MAX_BATCH_WRITES = 64
MAX_QUEUED_WRITES = 2048
MAX_TRIES = 2
MAX_PAUSE_SECONDS = 0.5

OrphanHandler = Callable[[RowWrite], None]


class Committer:
    """Commits queued writes on one thread; those that arrive meanwhile form the next batch.

    A transaction is atomic, so a row that was changed by another instance fails the
    whole batch. The platform names the rows in conflict: their writes are settled,
    and the rest of the batch is sent again.
    """

    def __init__(
        self,
        table: Table,
        max_batch_writes: int = MAX_BATCH_WRITES,
        max_pause_seconds: float = MAX_PAUSE_SECONDS,
    ) -> None:
        self._table = table
        self._max_pause_seconds = max_pause_seconds
        self._max_batch_writes = max_batch_writes
        self._condition = threading.Condition()
        self._waiting: deque[RowWrite] = deque()
        self._refuse_until = 0.0
        self._stopped = False
        self._handle_orphan: OrphanHandler = lambda _: None
        self._thread = threading.Thread(target=self._run, name="claims", daemon=True)
        self.transactions = 0

    def on_orphaned(self, handler: OrphanHandler) -> None:
        """Set the handler of orphaned writes.

        These are writes that took effect after their waiter had timed out, and failed
        writes that may still take effect.
        """
        self._handle_orphan = handler

    def start(self) -> None:
        """Start the thread that commits."""
        self._thread.start()

    def stop(self, timeout_seconds: float = 5.0) -> None:
        """Commit the queued writes and stop the thread."""
        with self._condition:
            self._stopped = True
            self._condition.notify_all()
        if self._thread.is_alive():
            self._thread.join(timeout_seconds)

    def submit(self, write: RowWrite) -> None:
        """Queue ``write``, or settle it as failed at once.

        A write fails at once when the committer is stopped, when the queue is full, and
        during the pause after a commit that got no answer.
        """
        with self._condition:
            accepting = not self._stopped and time.monotonic() >= self._refuse_until
            if accepting and len(self._waiting) < MAX_QUEUED_WRITES:
                self._waiting.append(write)
                self._condition.notify_all()
                return
        write.settle(Failed("the platform's table does not answer", may_take_effect=False))

    def _run(self) -> None:
        while self._await_work():
            batch = self._next_batch()
            self._commit(batch)

    def _await_work(self) -> bool:
        """Block until a write is queued; return False once stopped with an empty queue."""
        with self._condition:
            self._condition.wait_for(lambda: self._waiting or self._stopped)
            return bool(self._waiting)

    def _next_batch(self) -> list[RowWrite]:
        by_key: dict[str, RowWrite] = {}
        with self._condition:
            waiting, self._waiting = self._waiting, deque()
            for write in waiting:
                # Two writes of one row cannot share a transaction: the second must
                # check the version that the first one creates.
                if write.key in by_key or len(by_key) >= self._max_batch_writes:
                    self._waiting.append(write)
                elif not write.abandoned:
                    by_key[write.key] = write
        return list(by_key.values())

    def _commit(self, batch: list[RowWrite]) -> None:
        may_take_effect = False
        tries = 0
        began_at = time.monotonic()
        while batch:
            try:
                batch = self._settle(batch, self._send(batch))
            except PlatformUnavailable as error:
                self._fail(batch, Failed(str(error), may_take_effect), began_at)
                return
            except WriteUnknown as error:
                # The reply is lost: the write may have taken effect or may do so later.
                # Sending the batch again settles both cases. If the first write took
                # effect, the checks fail on rows that have its write id; if the second
                # one does, the checks of the late first one fail.
                may_take_effect = True
                tries += 1
                if tries < MAX_TRIES:
                    continue
                self._fail(batch, Failed(str(error), may_take_effect), began_at)
                return

    def _send(self, batch: list[RowWrite]) -> Committed | Conflict:
        write_id = new_write_id()
        for write in batch:
            write.write_ids.add(write_id)
        self.transactions += 1
        transaction = Transaction(
            write_id,
            checks=[Check(w.key, w.version) for w in batch],
            puts=[Put(w.key, w.value) for w in batch],
        )
        try:
            return self._table.commit(transaction)
        except msgspec.MsgspecError as error:
            raise WriteUnknown(f"a reply that is not well-formed: {error}") from error

    def _settle(self, batch: list[RowWrite], outcome: Committed | Conflict) -> list[RowWrite]:
        """Settle the writes that ``outcome`` decides; return the others."""
        match outcome:
            case Committed(rows=rows):
                for write in batch:
                    self._end(write, Written(rows[write.key].version))
                return []
            case Conflict(rows=found):
                for write in batch:
                    if write.key in found:
                        self._end(write, _resolve_conflict(write, found[write.key]))
                rest = [w for w in batch if w.key not in found]
                if len(rest) == len(batch):
                    raise WriteUnknown("a conflict that names none of the rows")
                return rest

    def _fail(self, batch: list[RowWrite], failed: Failed, began_at: float) -> None:
        """Fail ``batch`` and all queued writes, so that their requests are refused early.

        New writes are refused for as long as this commit took, at most the maximum
        pause. Otherwise every claim would wait for the timeout of a platform that
        hangs; one that fails fast causes hardly any pause.
        """
        now = time.monotonic()
        log_event("claims_not_written", level="WARNING", count=len(batch), error=failed.detail)
        with self._condition:
            self._refuse_until = now + min(now - began_at, self._max_pause_seconds)
            waiting, self._waiting = self._waiting, deque()
        for write in batch:
            self._end(write, failed)
        for write in waiting:
            write.settle(Failed(failed.detail, may_take_effect=False))

    def _end(self, write: RowWrite, result: WriteResult) -> None:
        awaited = write.settle(result)
        match result:
            case Written() if not awaited:
                self._handle_orphan(write)
            case Failed(may_take_effect=True):
                self._handle_orphan(write)


def _resolve_conflict(write: RowWrite, row: Row | None) -> WriteResult:
    if row is not None and row.write_id in write.write_ids:
        return Written(row.version)
    return WriteConflict(row)
