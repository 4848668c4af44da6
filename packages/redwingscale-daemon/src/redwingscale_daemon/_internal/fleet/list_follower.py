"""Keeps the directory up to date with the list of upstreams in the store."""

import threading
import time
from collections.abc import Callable, Iterable
from functools import partial

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.store.backoff import Backoff
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowStore, Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion

# Entries that lapse during a store outage are written again within two seconds after it:
# until then a missing entry does not mean that its upstream is gone.
LAPSED_RETURN_SECONDS = 2.0
# An entry that was seen since then may have been removed right after it was read last: less
# than the time after which a leaving upstream gets no new work.
SEEN_RETURN_SECONDS = 1.5

# Entries lapse after three check-in intervals without a write: not in a shorter outage.
LEAST_OUTAGE_SECONDS = 2.0
# A further read begins if the last one has had no answer for this long. Each answer is used,
# however late it is: with one read after the other, a store that is slower than a time limit
# would never be read.
FURTHER_READ_SECONDS = 0.4
MAX_OPEN_READS = 5
# The store counts as lost after this long without an answer to any read, in which this process
# had processor time.
SILENT_SECONDS = 0.8
# The most that counts of the time between two steps: the process was slow, not the store.
MAX_STEP_SECONDS = 0.2

# Called with the name of the entry, its row version and its value.
Decode = Callable[[str, StoreVersion, bytes], Upstream]


class ListFollower:
    """Reads the whole list; each step begins a read if one is due.

    Further reads begin while others have no answer yet; an answer to an earlier read than the
    one in use is ignored.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        decode: Decode,
        directory: UpstreamDirectory,
        state: LinkState,
        not_due: Callable[[float], bool] = lambda _: False,
        on_read: Callable[[float], None] = lambda begun_at: None,
        run: Callable[[Callable[[], None]], None] = lambda read: read(),
    ) -> None:
        self._store = store
        self._table = table
        self._decode = decode
        self._directory = directory
        self._state = state
        # Whether no read is due, by the monotonic time at which that of the list in use began.
        self._not_due = not_due
        # Called with the monotonic time at which the read of the current list began.
        self._on_read = on_read
        # Runs a read, in another thread if steps shall go on meanwhile.
        self._run = run
        self._lock = threading.Lock()
        # Held while ``on_read`` runs, which may ask the store: further reads begin meanwhile.
        self._report_lock = threading.Lock()
        # When the reads without an answer began, and the last one of all.
        self._open: set[float] = set()
        self._begun_at = self._stepped_at = float("-inf")
        # For how long all open reads have been silent.
        self._silent_seconds = 0.0
        self._retry = Backoff(immediate_first_retry=True)
        # Decoding errors of invalid entries, by the name of the entry.
        self._faults_by_name: dict[str, str] = {}
        # When the store was reached again, until when entries that lapsed before may come back,
        # and until when the kept upstreams are kept.
        self._reconnected_at = self._lapsed_until = float("-inf")
        self._kept_until: dict[str, float] = {}
        # The upstreams of the last list, unless an outage has come since, and when that read began.
        self._seen_ids: frozenset[str] = frozenset()
        self._seen_at = float("-inf")

    def step(self) -> None:
        """Begin a read of the list if one is due.

        The last list stays in use while the store is unavailable, without the upstreams that
        it lacked and whose entries have not come back in time.
        """
        now = time.monotonic()
        with self._lock:
            self._drop_overdue()
            self._note_silence(now)
            if not self._may_begin(now):
                return
            self._begun_at = now
            self._open.add(now)
        try:
            self._run(partial(self._read, now))
        except RuntimeError:
            # The machine has no room for a thread.
            self._open.discard(now)
            raise

    def _may_begin(self, now: float) -> bool:
        waits = now - self._begun_at < FURTHER_READ_SECONDS
        if self._open and (waits or len(self._open) >= MAX_OPEN_READS):
            return False
        return not self._not_due(self._state.answered_at) and self._retry.due

    def _note_silence(self, now: float) -> None:
        elapsed, self._stepped_at = now - self._stepped_at, now
        if not self._open:
            self._silent_seconds = 0.0
            return
        self._silent_seconds += min(elapsed, MAX_STEP_SECONDS)
        if self._silent_seconds >= SILENT_SECONDS:
            self._state.note_failure(TimeoutError(f"no answer to {len(self._open)} reads"))

    def _read(self, begun_at: float) -> None:
        try:
            snapshot = self._store.read(self._table, "")
        except PlatformError as error:
            with self._lock:
                if begun_at >= self._seen_at:
                    self._state.note_failure(error)
                    self._retry.note_failure()
            return
        finally:
            self._open.discard(begun_at)
        with self._lock:
            in_use = begun_at >= self._seen_at and self._take(snapshot, begun_at)
        if in_use:
            with self._report_lock:
                self._on_read(begun_at)

    def _take(self, snapshot: Snapshot, begun_at: float) -> bool:
        """Use a list; return whether it is in use now."""
        self._retry.note_answer()
        self._silent_seconds = 0.0
        rows, version = snapshot
        listed = [upstream for row in rows if (upstream := self._decode_row(row))]
        self._forget_faults(row.key.key for row in rows)
        lapsed = self._lapsed(listed, version)
        self._seen_ids, self._seen_at = frozenset(one.id for one in listed), begun_at
        if self._directory.replace(listed, version, lapsed, begun_at):
            # Only now: a reader of the list's age must not find the former list.
            self._state.note_answer(begun_at)
            return True
        known = self._directory.copy.version
        log_event(
            "list_outdated",
            level="WARNING",
            era=version.era,
            list_version=version.number,
            known_era=known.era,
            known=known.number,
        )
        return False

    def _drop_overdue(self) -> None:
        now = time.monotonic()
        overdue = [key for key, until in self._kept_until.items() if now >= until]
        if overdue:
            self._directory.update([], overdue, self._directory.copy.version)
            for key in overdue:
                del self._kept_until[key]

    def _lapsed(self, listed: list[Upstream], version: StoreVersion) -> list[Upstream]:
        """Return known upstreams whose entries may only have lapsed in a store outage.

        Each is kept once, for `LAPSED_RETURN_SECONDS` after the store's return, or for
        `SEEN_RETURN_SECONDS` after the last read that had it since then. If the time were
        counted again from each return, an upstream that has left would be kept for as long
        as every second read is lost.
        """
        now = time.monotonic()
        # After a read that failed longer ago, the leader's updates replaced reads and
        # announced which upstreams left since then.
        if self._state.lost and now - self._state.failed_at < LAPSED_RETURN_SECONDS:
            short = now - self._seen_at < LEAST_OUTAGE_SECONDS
            self._note_return(now, now + LAPSED_RETURN_SECONDS, forget_seen=not short)
        elif version.era > self._directory.copy.version.era:
            # What upstreams have written since the copy is written again as well.
            self._note_return(now, now + SEEN_RETURN_SECONDS)
        if now - self._reconnected_at >= LAPSED_RETURN_SECONDS:
            self._kept_until = {}
            return []
        listed_ids = {upstream.id for upstream in listed}
        missing = {one.id: one for one in self._directory.all() if one.id not in listed_ids}
        for key in missing.keys() - self._kept_until.keys():
            seen = key in self._seen_ids
            until = self._seen_at + SEEN_RETURN_SECONDS if seen else self._lapsed_until
            self._kept_until[key] = until
            seconds = round(until - now, 3)
            number, era = version.number, version.era
            log_event("upstream_kept", upstream=key, list_version=number, era=era, seconds=seconds)
        kept = [one for key, one in missing.items() if now < self._kept_until[key]]
        self._kept_until = {one.id: self._kept_until[one.id] for one in kept}
        return kept

    def _note_return(self, now: float, lapsed_until: float, *, forget_seen: bool = True) -> None:
        self._reconnected_at, self._lapsed_until = now, lapsed_until
        if forget_seen:
            self._seen_ids = frozenset()

    def _decode_row(self, row: StoredRow) -> Upstream | None:
        """Return the upstream that an entry describes, None if the entry is invalid.

        Any process may write to the list, so one entry that can't be decoded does not
        affect the others. It is logged once, not at each read.
        """
        name = row.key.key
        try:
            upstream = self._decode(name, row.version, row.value or b"")
        except msgspec.DecodeError as error:
            if self._faults_by_name.get(name) != str(error):
                self._faults_by_name[name] = str(error)
                log_event("upstream_invalid", level="WARNING", upstream=name, error=error)
            return None
        if self._faults_by_name.pop(name, None) is not None:
            log_event("upstream_valid", upstream=name)
        return upstream

    def _forget_faults(self, names: Iterable[str]) -> None:
        for name in self._faults_by_name.keys() - set(names):
            del self._faults_by_name[name]
