"""The entries that one peer has not acknowledged yet."""

import time
from collections.abc import Callable, Iterable

from redwingscale_daemon._internal.membership.entry import Entry, EntryKey

# Entries for a peer that answers none of them are kept for this long.
PENDING_SECONDS = 120.0
# The most bytes of entries in a message. A link of 5 Mbit/s carries eight such messages within
# the time in which a peer must answer.
MAX_MESSAGE_BYTES = 32 << 10
# Fewer bytes would be mostly headers.
MIN_MESSAGE_BYTES = 1 << 10
# The fields of an entry beside its payload.
ENTRY_OVERHEAD_BYTES = 64
# The pause after a message without an answer; each further one doubles it.
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0


def first_entries(entries: Iterable[Entry], most_bytes: int = MAX_MESSAGE_BYTES) -> list[Entry]:
    """Return the first of ``entries`` that have at most ``most_bytes``, at least one."""
    chosen: list[Entry] = []
    for entry in entries:
        most_bytes -= len(entry.payload) + ENTRY_OVERHEAD_BYTES
        if chosen and most_bytes < 0:
            break
        chosen.append(entry)
    return chosen


class Outbox:
    """Bounds what is sent at once, and how often while the peer does not answer.

    An unanswered message may have arrived. If all entries were sent again each time, a message
    that a peer cannot answer in time would only grow, and keep both links full.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        # The time of each entry with it, the oldest first.
        self._pending: dict[EntryKey, tuple[Entry, float]] = {}
        self._message_bytes = MAX_MESSAGE_BYTES
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._due_at = 0.0
        # How many of the peer's entries have come, if it is to be asked for all of them.
        self.asks_from: int | None = None
        self.sending = False

    @property
    def due(self) -> bool:
        """Whether a message is to be sent now."""
        wanted = bool(self._pending) or self.asks_from is not None
        return wanted and not self.sending and self._due_at <= self._clock()

    def add(self, entries: Iterable[Entry]) -> None:
        """Add entries; each replaces an older one of its key."""
        now = self._clock()
        for entry in entries:
            self._pending.pop(entry.entry_key, None)
            self._pending[entry.entry_key] = (entry, now)

    def message(self) -> list[Entry]:
        """Return the oldest entries, as many as the next message may hold."""
        return first_entries((entry for entry, _ in self._pending.values()), self._message_bytes)

    def note_answered(self, sent: Iterable[Entry]) -> None:
        """Drop what was acknowledged and is not replaced by newer entries."""
        for entry in sent:
            kept = self._pending.get(entry.entry_key)
            if kept is not None and kept[0] == entry:
                del self._pending[entry.entry_key]
        self._message_bytes = min(MAX_MESSAGE_BYTES, 2 * self._message_bytes)
        self._retry_seconds = FIRST_RETRY_SECONDS

    def note_unanswered(self) -> None:
        """Send less next time, and later each time."""
        self._message_bytes = max(MIN_MESSAGE_BYTES, self._message_bytes // 2)
        self._due_at = self._clock() + self._retry_seconds
        self._retry_seconds = min(MAX_RETRY_SECONDS, 2 * self._retry_seconds)

    def note_heard(self) -> None:
        """Send again now: the peer has sent something, so it can be reached."""
        self._due_at, self._retry_seconds = self._clock(), FIRST_RETRY_SECONDS

    def drop_old(self) -> None:
        """Drop entries that the peer has not acknowledged for `PENDING_SECONDS`."""
        oldest = self._clock() - PENDING_SECONDS
        while self._pending:
            key = next(iter(self._pending))
            if self._pending[key][1] > oldest:
                return
            del self._pending[key]
