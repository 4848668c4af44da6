"""The returns of refused requests that the leader announces to all instances."""

import time
from collections.abc import Callable, Iterable

import msgspec

from redwingscale_daemon._internal.admission.return_book import EXPIRY_SECONDS
from redwingscale_daemon._internal.swaps.messages import ReturnEntry

# An update of the leader takes at most 4 KB; loads and unplanned units need a third of it.
MAX_ENTRIES = 60
MAX_BYTES = 2600
# Returns that are due later follow in later updates.
HORIZON_SECONDS = 5.0
# An update may be lost, and the next one too.
TIMES_SENT = 2


class _Announced:
    """A return with the monotonic time at which it is due, and how often it was sent."""

    def __init__(self, entry: ReturnEntry, due_at: float) -> None:
        self.entry = entry
        self.due_at = due_at
        self.times_sent = 0

    @property
    def order(self) -> tuple[int, float]:
        """Sort key: entries that were never sent first, then the earliest due."""
        return self.times_sent, self.due_at


class AnnouncedReturns:
    """Passes on each return twice, at most `MAX_BYTES` of them in an update.

    Made for some hundred refusals a second over all instances. Beyond that, the returns that
    are due last are announced late or never, and are treated as new requests.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_digest: dict[str, _Announced] = {}
        self._encoder = msgspec.msgpack.Encoder()

    def receive(self, entries: Iterable[ReturnEntry]) -> None:
        """Take the new bookings in an instance's update."""
        now = self._clock()
        for entry in entries:
            self._by_digest[entry.request] = _Announced(entry, now + entry.seconds)

    def next_entries(self) -> list[ReturnEntry]:
        """Return the entries of the next periodic update, with the seconds left."""
        now = self._clock()
        self._by_digest = {
            key: one
            for key, one in self._by_digest.items()
            if now - one.due_at < EXPIRY_SECONDS and one.times_sent < TIMES_SENT
        }
        due = [one for one in self._by_digest.values() if one.due_at - now < HORIZON_SECONDS]
        entries: list[ReturnEntry] = []
        size = 0
        for one in sorted(due, key=lambda announced: announced.order)[:MAX_ENTRIES]:
            entry = msgspec.structs.replace(one.entry, seconds=round(one.due_at - now, 3))
            size += len(self._encoder.encode(entry))
            if size > MAX_BYTES:
                break
            one.times_sent += 1
            entries.append(entry)
        return entries

    def clear(self) -> None:
        """Drop everything at the end of a term as leader."""
        self._by_digest = {}
