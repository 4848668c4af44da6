"""Lets suspects run one at a time on each engine."""

import time
from collections.abc import Callable

from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.record import Phase, Record, RecordKey
from redwingscale_daemon._internal.quarantine.refusals import deadline_refusal
from redwingscale_daemon._internal.quarantine.shared_records import SharedRecords

# Twice the time in which peers receive an entry (a link delays it by up to 0.15 s). Of two
# instances that request a turn at once, each has the other's record before it decides.
SETTLE_SECONDS = 0.4


def await_turn(
    shared: SharedRecords,
    key: RecordKey,
    record: Record,
    deadline_at: float,
    run: RunState,
    check_caller: Callable[[], None],
) -> bool:
    """Return True once the turn of ``record`` begins, False if it needs none any more.

    Called with the lock of ``shared`` held, and releases it while it waits.
    """
    settled_at = time.monotonic() + SETTLE_SECONDS
    while key in shared.suspects:
        now = time.monotonic()
        if now >= deadline_at:
            raise deadline_refusal(run)
        check_caller()
        if now >= settled_at and _may_run(shared, key, record):
            return True
        shared.changed.wait(max(0.0, min(SETTLE_SECONDS, deadline_at - now)))
    return False


def _may_run(shared: SharedRecords, key: RecordKey, record: Record) -> bool:
    rank = _rank(key, record)
    return not any(
        other.phase is Phase.RUNNING or _rank(other_key, other) < rank
        for other_key, other in shared.suspects.turns()
        if other_key != key
        and (other.target == record.target or other.fingerprint == record.fingerprint)
    )


def _rank(key: RecordKey, record: Record) -> tuple[int, int, str, RecordKey]:
    # First those that no turn has made more suspect, so that they are cleared. Then fewest
    # tokens first: most crashes come at the first tokens, and the cause, once found, clears
    # the other suspects.
    return len(record.turn_crashes), record.position, record.fingerprint, key
